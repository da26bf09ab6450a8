"""Lease sessions: one row with a counter per node, never a wall clock."""

from dataclasses import dataclass, replace

from bergamotshore.generated.rows import SessionRow

DRIFT_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Sighting:
    """When an observer first saw a counter of a session.

    :param session: Identifier of the session.
    :param counter: Counter of the row.
    :param first_seen: Time on the observer's own clock.
    """

    session: str
    counter: int
    first_seen: float


class SessionObserver:
    """Judge sessions of other processes from the rows alone.

    A session may be declared lapsed only after the same counter was seen for the time
    to live plus a margin for drift, on the observer's own clock, and never sooner than
    that after the table service came back from an outage.
    """

    def __init__(self):
        self.by_node = {}
        self.outage_since = None

    def record_outage(self):
        """Record that the table service did not answer."""
        self.outage_since = True

    def observe(self, row, now):
        """Record a row and tell whether its session may be declared lapsed.

        :param row: ``SessionRow`` read just now.
        :param now: Current time.
        :returns: True when the time to live has passed without a renewal.
        """
        if self.outage_since:
            self.by_node.clear()
            self.outage_since = None
        seen = self.by_node.get(row.node)
        if seen is None or (seen.session, seen.counter) != (row.session, row.counter):
            self.by_node[row.node] = Sighting(row.session, row.counter, now)
            return False
        if row.state != "live":
            return False
        return now - seen.first_seen > row.ttl * (1.0 + DRIFT_SHARE)


class SessionHolder:
    """Keep the node's own session.

    The time to live counts from before the renewal that succeeded was sent.

    :param ttl: Time to live, in seconds.
    """

    def __init__(self, ttl):
        self.ttl = ttl
        self.row = None
        self.valid_until = 0.0

    def open(self, row, sent_at):
        """Take over a session row that was written."""
        self.row = row
        self.valid_until = sent_at + self.ttl

    def prepare_renewal(self, operation, clock):
        """Return the row that renews the session."""
        return replace(
            self.row, counter=self.row.counter + 1, operation=operation, clock=clock
        )

    def close(self):
        """Forget the session; no task may start from now on."""
        self.row = None
        self.valid_until = 0.0

    def get_session(self, now):
        """Return the identifier of the session, empty unless it is valid."""
        if self.row is None or now >= self.valid_until:
            return ""
        return self.row.session

    def get_remaining(self, now):
        """Return the time that the session is certain to last, in seconds."""
        return max(0.0, self.valid_until - now)


def may_take_over(row, worker_boot):
    """Tell whether a new session may replace a row without waiting for its lapse.

    The worker's own list proves what runs only while the worker is the same run.

    :param row: ``SessionRow`` found, or None.
    :param worker_boot: Run of the worker beside the new session.
    :returns: True when no task of the old session can run unseen.
    """
    if row is None or row.state != "live":
        return True
    return bool(worker_boot) and row.worker_boot == worker_boot


def create_session(node, zone, session, worker_boot, ttl, operation, clock):
    """Return the first row of a session."""
    return SessionRow(
        node=node,
        zone=zone,
        session=session,
        worker_boot=worker_boot,
        counter=1,
        ttl=ttl,
        state="live",
        operation=operation,
        clock=clock,
    )
