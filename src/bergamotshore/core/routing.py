"""Choice of a node for a request from delayed load reports."""

from dataclasses import dataclass

CONCURRENCY_FLOOR = 1


@dataclass(slots=True)
class Candidate:
    """What an entry knows of one node that offers a service.

    :param node: Name of the node.
    :param slots: Requests that may run at once.
    :param connections: Requests that may be held at once.
    :param reported: Requests held by the node when it last reported.
    :param sent_since: Requests in flight from this entry.
    :param service_seconds: Service time as reported.
    """

    node: str
    slots: int
    connections: int
    reported: int
    sent_since: int
    service_seconds: float

    @property
    def load(self):
        """Return the requests that the node holds, to the best knowledge."""
        return max(self.reported, self.sent_since)

    @property
    def cost(self):
        """Return the expected time until a new request ends, relative."""
        waves = (self.load + 1) / max(self.slots, CONCURRENCY_FLOOR)
        return max(waves, 1.0) * max(self.service_seconds, 0.001) + 1e-6 * self.load


def choose_node(candidates, random):
    """Choose by two random choices on expected time to end.

    :param candidates: List of ``Candidate``.
    :param random: Source of randomness, a ``random.Random``.
    :returns: Chosen ``Candidate``, or None when no node has room.
    """
    with_room = [c for c in candidates if c.load < c.connections]
    if not with_room:
        return None
    if len(with_room) == 1:
        return with_room[0]
    first, second = random.sample(with_room, 2)
    return first if first.cost <= second.cost else second


class RetryBudget:
    """Allow retries as a share of first tries.

    :param share: Retries allowed per first try.
    :param burst: Most retries that may be saved up.
    """

    def __init__(self, share, burst=10.0):
        self.share = share
        self.burst = burst
        self.balance = burst

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
