"""Choice of a node for a request, based on delayed load reports."""

from dataclasses import dataclass
from statistics import median

OTHERS_WEIGHT = 0.1
SIGNIFICANT_COST_RATIO = 0.9
MIN_ROUNDS = 0.5
MIN_SERVICE_SECONDS = 0.001
TIE_BREAK = 1e-6


@dataclass(slots=True)
class Candidate:
    """A node that offers a service, with its load as known to an entry.

    :param node: Name of the node.
    :param slots: Maximum number of requests running concurrently.
    :param connections: Maximum number of requests held, running or queued.
    :param own: Requests in flight from this entry, known exactly.
    :param others: Requests of other entries, smoothed over delayed reports.
    :param service_seconds: Service time as reported by the node; 0 when unknown.
    """

    node: str
    slots: int
    connections: int
    own: int
    others: float
    service_seconds: float

    @property
    def load(self):
        """Return the estimated number of requests that the node holds."""
        return self.own + self.others

    @property
    def cost(self):
        """Return the expected time until a new request completes, in seconds."""
        rounds = max((self.load + 1) / max(self.slots, 1), MIN_ROUNDS)
        service_seconds = max(self.service_seconds, MIN_SERVICE_SECONDS)
        return rounds * service_seconds + TIE_BREAK * self.load


def smooth_others(others, held, own):
    """Return the updated estimate of the requests of other entries.

    Reports are delayed and every entry sees the same ones. Following them closely would
    send all entries to the same node at once.

    :param others: Previous estimate.
    :param held: Number of requests held by the node, as reported.
    :param own: Requests in flight from this entry.
    """
    return others + OTHERS_WEIGHT * (max(0, held - own) - others)


def choose_node(candidates, random):
    """Choose the one of two random nodes that is expected to complete first.

    A node with unknown service time is assumed to be average, so that it receives
    requests again. Small differences are ignored, as otherwise a marginally faster
    node would receive all requests.

    :param candidates: List of ``Candidate``.
    :param random: Source of randomness, a ``random.Random``.
    :returns: Chosen ``Candidate``, or None when no node has a free connection.
    """
    available = [c for c in candidates if c.load < c.connections]
    if not available:
        return None
    if len(available) == 1:
        return available[0]
    fill_unknown(available)
    first, second = random.sample(available, 2)
    return second if second.cost < SIGNIFICANT_COST_RATIO * first.cost else first


def fill_unknown(candidates):
    """Set unknown service times to the median of the known ones."""
    known = [c.service_seconds for c in candidates if c.service_seconds > 0]
    default = median(known) if known else MIN_SERVICE_SECONDS
    for candidate in candidates:
        if candidate.service_seconds <= 0:
            candidate.service_seconds = default


class RetryBudget:
    """Limits retries to a share of first attempts.

    :param share: Retries allowed per first attempt; 0 allows none.
    :param burst: Maximum number of unused retries that accumulate.
    """

    def __init__(self, share, burst=10.0):
        self.share = share
        self.burst = burst if share > 0 else 0.0
        self.balance = self.burst

    def earn(self):
        """Credit the budget for a first attempt."""
        self.balance = min(self.burst, self.balance + self.share)

    def spend(self):
        """Deduct one retry from the budget.

        :returns: True when the retry is allowed.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
