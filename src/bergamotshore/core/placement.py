"""Placement of pending tasks on nodes."""

from dataclasses import dataclass

from bergamotshore.core.capacity import Size, get_size
from bergamotshore.core.jobs import Placement


@dataclass(slots=True)
class NodeRoom:
    """Room for tasks on one node as far as the entry knows.

    :param node: Name of the node.
    :param zone: Data centre of the node.
    :param session: Session of the node.
    :param total: Size of the worker.
    :param free: Size not reserved.
    """

    node: str
    zone: str
    session: str
    total: Size
    free: Size

    @property
    def share_free(self):
        """Return the free share of the scarcer of processors and memory."""
        processors = self.free.processors / max(self.total.processors, 1e-9)
        memory = self.free.memory_gb / max(self.total.memory_gb, 1e-9)
        return min(processors, memory)


def place_tasks(row, indexes, rooms, budget):
    """Choose the least loaded node that fits for each task.

    Rooms and the budget are charged as tasks are placed.

    :param row: ``JobRow`` of the tasks.
    :param indexes: Indexes of pending tasks.
    :param rooms: List of ``NodeRoom``.
    :param budget: ``TeamBudget`` of the job's team.
    :returns: List of ``Placement``; tasks without room are left out.
    """
    size = get_size(row.spec)
    placements = []
    for index in indexes:
        fitting = [room for room in rooms if room.free.fits(size)]
        if not fitting or not budget.charge(size):
            break
        room = max(fitting, key=lambda item: (item.share_free, item.node))
        room.free = room.free - size
        placements.append(Placement(index, room.node, room.zone, room.session))
    return placements


class TeamBudget:
    """What a team may still claim.

    :param limit: Quota of the team.
    :param used: Size of its claimed tasks.
    """

    def __init__(self, limit, used):
        self.left = limit - used

    def charge(self, size):
        """Take a size out of the budget.

        :returns: True when it fits.
        """
        if not self.left.fits(size):
            return False
        self.left = self.left - size
        return True


def measure_usage(rows):
    """Return the declared size of claimed tasks by team.

    :param rows: Iterable of ``JobRow``.
    """
    used_by_team = {}
    for row in rows:
        size = get_size(row.spec)
        for task in row.tasks:
            if task.state == "claimed":
                used = used_by_team.get(row.team, Size())
                used_by_team[row.team] = used + size
    return used_by_team


def explain_misfit(row, rooms):
    """Return the reason when no known worker could ever hold a task of the job.

    :returns: Error code, or empty when some worker is large enough.
    """
    size = get_size(row.spec)
    if rooms and not any(room.total.fits(size) for room in rooms):
        return "larger-than-any-worker"
    return ""
