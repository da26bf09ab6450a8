"""Leader lease of the scheduling entry, and renewal grants of nodes.

The scheduling entry holds the leader lease as a row in the store. Other entries may
take over once they have observed the same version of the row for its time to live.

A renewal grant permits a node to extend the lease of its worker for a limited time
after a reading of the node's own clock that the scheduling entry has echoed. Such a
grant ends ``HANDOVER_SECONDS`` after the leader lease at the latest, so that a
successor can bound it by the last renewal that it has read of.

An entry that cannot renew its lease makes no further decisions. So that tasks survive
an outage of the store, it may still echo for ``ECHO_GRACE_SECONDS``, and its grants
last their whole duration, while each of the entries named in the row of its lease
permits it. An entry gives this permission only while the store does not answer its
own reads or its claim of the lease, and knows when it gave the last one.

The entry reads the clock value to echo before it checks lease and permissions, so that
a pause in between makes the grant shorter, not longer.
"""

from dataclasses import dataclass

# Time to live of the leader lease and interval between its renewals, in seconds. A
# renewal may take 1.1 s while the store is slow.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.8
# Timeout of one renewal, and pause before it is repeated, in seconds. One renewal
# without an answer, on a connection that has gone silent, leaves time for another one
# before the lease ends.
RENEW_TIMEOUT_SECONDS = 1.2
RENEW_RETRY_SECONDS = 0.1
# Time for which an entry continues to echo after its lease has expired, in seconds.
# Lease, grace period and grant together cover a store outage of 9 s and the second
# until the next renewal.
ECHO_GRACE_SECONDS = 4.0
# Time for which grants may outlast the lease without a permission, in seconds. Lease
# and this time together last until a successor echoes, 4 to 5 s after the last renewal.
HANDOVER_SECONDS = 2.5
# Validity of a permission to echo, counted from the clock reading of the permitted
# entry that it carries, in seconds: two heartbeats, one of them late.
PERMISSION_SECONDS = 1.5
# An entry permits only entries that it heard of in this time, and names those in the
# row of its lease, in seconds: it misses one of their heartbeats.
ENTRY_HEARD_SECONDS = 1.3
# Maximum difference in clock rate between processes, workers included: 2%.
DRIFT_SHARE = 0.02
# Part of the longest worker lease reserved for the latency of a call, in seconds.
CALL_MARGIN_SECONDS = 0.5
# Longest renewal grant. A longer one could outlast those that follow the next renewal.
MAX_GRANT_SECONDS = LEASE_SECONDS + HANDOVER_SECONDS


def get_grant_seconds(longest_hold):
    """Return the duration of a renewal grant after an echoed reading, in seconds.

    :param longest_hold: Longest lease that workers accept, in seconds.
    """
    return min(MAX_GRANT_SECONDS, longest_hold - CALL_MARGIN_SECONDS)


def get_lease_expiry_seconds(duration):
    """Return the time without an echo after which all runs of a node are over.

    The result is in seconds and allows for slow clocks of both node and worker.

    :param duration: Duration of a renewal grant, in seconds.
    """
    return duration * (1.0 + 3 * DRIFT_SHARE) + CALL_MARGIN_SECONDS


def get_last_echo_time(lapsed_at):
    """Return the time by which an entry with an expired lease has stopped echoing.

    :param lapsed_at: Any time after its lease expired, in seconds.
    """
    return lapsed_at + ECHO_GRACE_SECONDS * (1.0 + 2 * DRIFT_SHARE)


def get_last_unpermitted_echo_time(renewed_at, duration):
    """Return when an entry without permissions has certainly sent its last echo.

    A grant that ends with the lease is shortened, and counts like a whole one that was
    given earlier. Until its last renewal, the entry may have given whole ones: the row
    before may have named other entries.

    :param renewed_at: Any time after its last renewal was stored, in seconds.
    :param duration: Duration of a renewal grant, in seconds.
    """
    seconds = max(0.0, LEASE_SECONDS + HANDOVER_SECONDS - duration)
    return renewed_at + seconds * (1.0 + 3 * DRIFT_SHARE)


def get_last_permitted_echo_time(permitted_at):
    """Return the time by which an entry has sent its last echo under a permission.

    :param permitted_at: When the last permission was given, in seconds.
    """
    return permitted_at + PERMISSION_SECONDS * (1.0 + 2 * DRIFT_SHARE)


# Resources that scheduling needs: a whole core, and four times the 4 Mbit/s that the
# reports of 70 nodes use. Smaller entries wait before they claim a free lease, so that
# larger ones can get it first: ``CANDIDACY_DELAY_SECONDS`` for each resource they lack.
# So do entries that the row of a lapsed lease doesn't name, which wait for more echoes.
SUFFICIENT_CORES = 1.0
SUFFICIENT_MBPS = 16.0
CANDIDACY_DELAY_SECONDS = 1.2


def get_candidacy_delay(cores, mbps):
    """Return how long an entry waits before it claims a free lease, in seconds.

    :param cores: Processor cores available to the process.
    :param mbps: Bandwidth of its link, in Mbit/s.
    """
    missing_resources = (cores < SUFFICIENT_CORES) + (mbps < SUFFICIENT_MBPS)
    return missing_resources * CANDIDACY_DELAY_SECONDS


@dataclass(slots=True)
class LeaderLease:
    """Leader lease of this entry, counted from before the renewal was sent.

    :param epoch: Number of the term; 0 while this entry does not lead.
    :param valid_until: End of the lease on this entry's clock, in seconds.
    """

    epoch: int = 0
    valid_until: float = 0.0

    def extend(self, epoch, sent_at):
        """Extend the lease after a successful renewal."""
        former = self.valid_until if self.epoch == epoch else 0.0
        self.epoch = epoch
        self.valid_until = max(former, sent_at + LEASE_SECONDS)

    def resign(self):
        """Release the lease."""
        self.epoch = 0
        self.valid_until = 0.0

    def is_valid(self, now):
        """Return whether this entry is certain to be the only leader."""
        return self.epoch > 0 and now < self.valid_until

    def may_echo(self, now):
        """Return whether this entry may echo clock readings if others permit it."""
        return self.epoch > 0 and now < self.valid_until + ECHO_GRACE_SECONDS


@dataclass(slots=True)
class LeaseObservation:
    """An observer's record of a lease row that the holder renews periodically.

    :param lifetime: Time after which an unchanged row has expired, in seconds.
    :param version: Last observed version; 0 for an absent row, -1 before the first
        observation.
    :param first_seen: When this version was first observed, on the observer's clock,
        in seconds.
    """

    lifetime: float = LEASE_SECONDS
    version: int = -1
    first_seen: float = 0.0

    def observe(self, version, now):
        """Record the version that was read.

        :returns: True if the lease has certainly expired.
        """
        if version != self.version:
            self.version = version
            self.first_seen = now
        return self.get_remaining(now) <= 0.0

    def get_remaining(self, now):
        """Return the time until an unchanged row has certainly expired, in seconds."""
        return self.first_seen + self.lifetime * (1.0 + 2 * DRIFT_SHARE) - now


@dataclass(slots=True)
class RenewalGrant:
    """Permission for a node to extend the lease of its worker.

    :param duration: Duration of the grant after an echoed reading, in seconds.
    :param epoch: Highest epoch seen.
    :param expires_at: Expiry on the node's clock, in seconds.
    """

    duration: float
    epoch: int = 0
    expires_at: float = 0.0

    def record_echo(self, epoch, echo):
        """Record a message from an entry that claims to be the leader.

        :param epoch: Epoch of the entry.
        :param echo: Echoed reading of this node's clock, in seconds; 0 for none.
        :returns: False if the epoch is outdated.
        """
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        if echo > 0.0:
            self.expires_at = max(self.expires_at, echo + self.duration)
        return True

    def get_remaining(self, now):
        """Return the remaining time of the grant, in seconds."""
        return max(0.0, self.expires_at - now)
