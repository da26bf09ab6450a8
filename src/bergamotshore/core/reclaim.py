"""Room for urgent work: which running tasks give way."""

from dataclasses import dataclass

from bergamotshore.core.capacity import Size


@dataclass(frozen=True, slots=True)
class Victim:
    """A claimed task that could give way.

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


def choose_victims(size, rooms, victims):
    """Choose the fewest tasks of one node whose eviction makes room.

    :param size: Size that is needed.
    :param rooms: List of ``NodeCapacity``.
    :param victims: List of ``Victim``, none of them urgent.
    :returns: List of ``Victim``, empty when no node could make room.
    """
    victims_by_node = {}
    for victim in victims:
        victims_by_node.setdefault(victim.node, []).append(victim)
    best = []
    for room in rooms:
        chosen = _free_room(size, room, victims_by_node.get(room.node, []))
        if chosen and (not best or len(chosen) < len(best)):
            best = chosen
    return best


def _free_room(size, room, victims):
    """Return the largest tasks that are enough, or nothing."""
    free = room.free
    chosen = []
    for victim in sorted(victims, key=_get_weight, reverse=True):
        if free.fits(size):
            break
        chosen.append(victim)
        free = free + victim.size
    return chosen if free.fits(size) else []


def _get_weight(victim):
    return (victim.size.processors, victim.size.memory_gb)
