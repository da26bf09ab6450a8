"""Two leases: that of the scheduling entry, and a node's right to let tasks run.

The scheduling entry holds a row in the store. Others may take over once they have seen
the same version of the row for its time to live. A node may extend the lease of its
worker for a while after a clock reading of its own that the scheduling entry has
echoed. An entry that can not renew its lease decides nothing more, but goes on echoing
for ``ECHO_GRACE_SECONDS``, so that tasks outlive an outage of the store. It reads the
echo before it looks at its own lease, so that a successor knows an upper bound of every
right: its own takeover, the grace and the right.
"""

from dataclasses import dataclass

# Time to live of the scheduling entry's lease, in seconds. A renewal may take 1.1 s
# while the store is slow; renewals are this many seconds apart.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.8
# How long an entry goes on echoing after the end of its lease, in seconds. Lease, grace
# and right together outlast an outage of 9 s and the second until the next renewal.
ECHO_GRACE_SECONDS = 4.0
# Clocks of processes may differ in rate by 2%, as those of workers do.
DRIFT_SHARE = 0.02
# Part of the longest worker lease that is left for the way of a call, in seconds.
HOLD_MARGIN_SECONDS = 0.5
LONGEST_RIGHT_SECONDS = 6.0


def get_grant_seconds(longest_hold):
    """Return how long a node may extend leases after an echoed reading.

    :param longest_hold: Longest lease that workers grant, in seconds.
    """
    return min(LONGEST_RIGHT_SECONDS, longest_hold - HOLD_MARGIN_SECONDS)


def get_lease_expiry_seconds(duration):
    """Return after what time without an echo all runs of a node are over, in seconds.

    Both the node's clock and that of its worker may be slow.
    """
    return duration * (1.0 + 3 * DRIFT_SHARE) + HOLD_MARGIN_SECONDS


def get_last_echo_time(lapsed_at):
    """Return when an entry whose lease lapsed has sent its last echo, in seconds.

    :param lapsed_at: A time after the end of its lease.
    """
    return lapsed_at + ECHO_GRACE_SECONDS * (1.0 + 2 * DRIFT_SHARE)


# What scheduling needs: a whole core, and four times the 4 Mbit/s that the reports of
# 70 nodes take. Smaller entries leave a free place to larger ones for a while.
ENOUGH_CORES = 1.0
ENOUGH_MBPS = 16.0
CANDIDACY_DELAY_SECONDS = 1.2


def get_candidacy_delay(cores, mbps):
    """Return how long an entry leaves a free lease to others, in seconds.

    :param cores: Cores that the process gets.
    :param mbps: Bandwidth of its link, in Mbit/s.
    """
    shortages = (cores < ENOUGH_CORES) + (mbps < ENOUGH_MBPS)
    return shortages * CANDIDACY_DELAY_SECONDS


@dataclass(slots=True)
class LeaderLease:
    """The lease of this entry, counted from before a renewal was sent.

    :param epoch: Number of the term; 0 while this entry does not lead.
    :param valid_until: End of the lease on this entry's clock, in seconds.
    """

    epoch: int = 0
    valid_until: float = 0.0

    def extend(self, epoch, sent_at):
        """Take note of a renewal that was written."""
        self.epoch = epoch
        self.valid_until = sent_at + LEASE_SECONDS

    def resign(self):
        """Give the lease up."""
        self.epoch = 0
        self.valid_until = 0.0

    def is_valid(self, now):
        """Tell whether no other entry can lead at this moment."""
        return self.epoch > 0 and now < self.valid_until

    def may_echo(self, now):
        """Tell whether nodes may go on extending leases by this entry's echoes."""
        return self.epoch > 0 and now < self.valid_until + ECHO_GRACE_SECONDS


@dataclass(slots=True)
class LeaseObservation:
    """When an observer first saw a version of a row that its holder keeps fresh.

    :param lifetime: Time after which an unchanged row has lapsed, in seconds.
    :param version: Version of the row; 0 when it is absent.
    :param first_seen: Clock of the observer, in seconds.
    """

    lifetime: float = LEASE_SECONDS
    version: int = -1
    first_seen: float = 0.0

    def observe(self, version, now):
        """Take note of the row as read.

        :returns: True when the row has certainly lapsed.
        """
        if version != self.version:
            self.version = version
            self.first_seen = now
        return now - self.first_seen > self.lifetime * (1.0 + 2 * DRIFT_SHARE)


@dataclass(slots=True)
class RenewalGrant:
    """A node's right to extend the lease of its worker.

    :param duration: Length of the right after an echoed reading, in seconds.
    :param epoch: Highest term seen.
    :param expires_at: End of the right on the node's clock, in seconds.
    """

    duration: float
    epoch: int = 0
    expires_at: float = 0.0

    def record_echo(self, epoch, echo):
        """Take in a heartbeat of an entry that says it leads.

        :param epoch: Its term.
        :param echo: Reading of this node's clock that it echoed; 0 for none.
        :returns: False for a term that is over.
        """
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        if echo > 0.0:
            self.expires_at = max(self.expires_at, echo + self.duration)
        return True

    def get_remaining(self, now):
        """Return the time left, in seconds."""
        return max(0.0, self.expires_at - now)
