"""Preemption for urgent work: choice of the running tasks to evict."""

from dataclasses import dataclass

from bergamotshore.core.capacity import Size


@dataclass(frozen=True, slots=True)
class Victim:
    """A claimed task that may be evicted.

    :param job: Job as team/name.
    :param index: Index of the task.
    :param attempt: Attempt number.
    :param node: Node on which it runs.
    :param size: Declared size.
    """

    job: str
    index: int
    attempt: int
    node: str
    size: Size


def choose_victims(size, capacities, victims):
    """Choose the fewest tasks of one node whose eviction frees enough capacity.

    Within a node the largest tasks are evicted first.

    :param size: Required size.
    :param capacities: List of ``NodeCapacity``.
    :param victims: Candidates, a list of ``Victim``; none of them urgent.
    :returns: List of ``Victim``; empty when no node can free enough.
    """
    victims_by_node = {}
    for victim in victims:
        victims_by_node.setdefault(victim.node, []).append(victim)
    best = []
    for capacity in capacities:
        chosen = _select_victims(size, capacity, victims_by_node.get(capacity.node, []))
        if chosen and (not best or len(chosen) < len(best)):
            best = chosen
    return best


def _select_victims(size, capacity, victims):
    """Return the largest tasks that free enough on one node, or an empty list."""
    free = capacity.free
    chosen = []
    for victim in sorted(victims, key=_get_sort_key, reverse=True):
        if free.fits(size):
            break
        chosen.append(victim)
        free = free + victim.size
    return chosen if free.fits(size) else []


def _get_sort_key(victim):
    return (victim.size.processors, victim.size.memory_gb)
