"""Lease sessions, based on one row with a counter per node instead of a wall clock."""

from dataclasses import dataclass, replace

from bergamotshore.generated.rows import SessionRow

DRIFT_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Observation:
    """First observation of a counter value of a session.

    :param session: Identifier of the session.
    :param counter: Counter of the row.
    :param first_seen: Time of the first observation, on the observer's own clock.
    """

    session: str
    counter: int
    first_seen: float


class SessionObserver:
    """Detects lapsed sessions of other processes from their rows alone.

    A session may be declared lapsed only after its counter has not changed for the time
    to live plus a margin for clock drift, measured on the observer's own clock. After
    an outage of the table service this period starts anew.
    """

    def __init__(self):
        self.observation_by_node = {}
        self.had_outage = None

    def record_outage(self):
        """Record that the table service did not respond."""
        self.had_outage = True

    def observe(self, row, now):
        """Record a row and return whether its session may be declared lapsed.

        :param row: ``SessionRow`` that was just read.
        :param now: Current time.
        :returns: True when the time to live and the drift margin have passed without a
            renewal.
        """
        if self.had_outage:
            self.observation_by_node.clear()
            self.had_outage = None
        last = self.observation_by_node.get(row.node)
        if last is None or (last.session, last.counter) != (row.session, row.counter):
            self.observation_by_node[row.node] = Observation(
                row.session, row.counter, now
            )
            return False
        if row.state != "live":
            return False
        return now - last.first_seen > row.ttl * (1.0 + DRIFT_SHARE)


class SessionHolder:
    """Holds the node's own session.

    The time to live is counted from just before the latest successful renewal was sent.

    :param ttl: Time to live, in seconds.
    """

    def __init__(self, ttl):
        self.ttl = ttl
        self.row = None
        self.valid_until = 0.0

    def open(self, row, sent_at):
        """Adopt a session row that was successfully written."""
        self.row = row
        self.valid_until = sent_at + self.ttl

    def prepare_renewal(self, operation, clock):
        """Return the row that renews the session."""
        return replace(
            self.row, counter=self.row.counter + 1, operation=operation, clock=clock
        )

    def close(self):
        """Discard the session; no task may start afterwards."""
        self.row = None
        self.valid_until = 0.0

    def get_session(self, now):
        """Return the identifier of the session, or an empty string if not valid."""
        if self.row is None or now >= self.valid_until:
            return ""
        return self.row.session

    def get_remaining(self, now):
        """Return how long the session is guaranteed to stay valid, in seconds."""
        return max(0.0, self.valid_until - now)


def may_take_over(row, worker_boot):
    """Whether a new session may replace a row without waiting for its lapse.

    The worker's list of attempts proves what is running only as long as the worker is
    the same incarnation.

    :param row: Existing ``SessionRow``, or None.
    :param worker_boot: Incarnation of the worker that belongs to the new session.
    :returns: True when no task of the old session can be running undetected.
    """
    if row is None or row.state != "live":
        return True
    return bool(worker_boot) and row.worker_boot == worker_boot


def create_session(node, zone, session, worker_boot, ttl, operation, clock):
    """Return the initial row of a session."""
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
