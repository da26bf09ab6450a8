"""Choice of a node for a request from delayed load reports."""

from dataclasses import dataclass
from statistics import median

OTHERS_WEIGHT = 0.1
NOTICEABLE = 0.9
WAVES_FLOOR = 0.5
SERVICE_SECONDS_FLOOR = 0.001
TIE_BREAK = 1e-6


@dataclass(slots=True)
class Candidate:
    """What an entry knows of one node that offers a service.

    :param node: Name of the node.
    :param slots: Requests that may run at once.
    :param connections: Requests that may be held at once.
    :param own: Requests in flight from this entry, known exactly.
    :param others: Requests from elsewhere, smoothed over late reports.
    :param service_seconds: Service time as reported.
    """

    node: str
    slots: int
    connections: int
    own: int
    others: float
    service_seconds: float

    @property
    def load(self):
        """Return the requests that the node holds, to the best knowledge."""
        return self.own + self.others

    @property
    def cost(self):
        """Return the expected time until a new request ends, in seconds."""
        waves = max((self.load + 1) / max(self.slots, 1), WAVES_FLOOR)
        service = max(self.service_seconds, SERVICE_SECONDS_FLOOR)
        return waves * service + TIE_BREAK * self.load


def smooth_others(others, held, own):
    """Return the new estimate of requests from elsewhere.

    Reports are late, and every entry sees the same ones: to follow them closely would
    send all entries to the same node at once.

    :param others: Estimate so far.
    :param held: Requests that the node reports to hold.
    :param own: Requests in flight from this entry.
    """
    return others + OTHERS_WEIGHT * (max(0, held - own) - others)


def choose_node(candidates, random):
    """Choose by two random choices on expected time to end.

    A node whose service time is not known counts as an average one, so that it is
    tried again. Small differences do not count: else the node that happened to be a
    little quicker would get everything.

    :param candidates: List of ``Candidate``.
    :param random: Source of randomness, a ``random.Random``.
    :returns: Chosen ``Candidate``, or None when no node has room.
    """
    with_room = [c for c in candidates if c.load < c.connections]
    if not with_room:
        return None
    if len(with_room) == 1:
        return with_room[0]
    fill_unknown(with_room)
    first, second = random.sample(with_room, 2)
    return second if second.cost < NOTICEABLE * first.cost else first


def fill_unknown(candidates):
    """Give candidates of unknown service time the median of the others."""
    known = [c.service_seconds for c in candidates if c.service_seconds > 0]
    usual = median(known) if known else SERVICE_SECONDS_FLOOR
    for candidate in candidates:
        if candidate.service_seconds <= 0:
            candidate.service_seconds = usual


class RetryBudget:
    """Allow retries as a share of first tries.

    :param share: Retries allowed per first try; 0 allows none.
    :param burst: Most retries that may be saved up.
    """

    def __init__(self, share, burst=10.0):
        self.share = share
        self.burst = burst if share > 0 else 0.0
        self.balance = self.burst

    def earn(self):
        """Count a first try."""
        self.balance = min(self.burst, self.balance + self.share)

    def spend(self):
        """Take one retry out of the budget.

        :returns: True when the retry is allowed.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
