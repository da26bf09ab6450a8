"""Placement of pending tasks on nodes."""

from dataclasses import dataclass

from bergamotshore.core.capacity import Size, get_size
from bergamotshore.core.jobs import Placement

SAMPLE = 16


@dataclass(slots=True)
class NodeCapacity:
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


def place_tasks(row, indexes, rooms, budget, random):
    """Choose the least loaded of some random nodes that fit for each task.

    Rooms and the budget are charged as tasks are placed. The time for a task does not
    grow with the number of nodes, except when none of the sample has room.

    :param row: ``JobRow`` of the tasks.
    :param indexes: Indexes of pending tasks.
    :param rooms: List of ``NodeCapacity``.
    :param budget: ``TeamBudget`` of the job's team.
    :param random: Source of randomness, a ``random.Random``.
    :returns: List of ``Placement``; tasks without room are left out.
    """
    size = get_size(row.spec)
    placements = []
    for index in indexes:
        room = _choose_room(_leave_out(rooms, row.tasks[index]), size, random)
        if room is None or not budget.charge(size):
            break
        room.free = room.free - size
        placements.append(Placement(index, room.node, room.zone, room.session))
    return placements


def _leave_out(rooms, task):
    """Return the rooms without the one where the task failed last, if there are others.

    :param task: ``TaskState``.
    """
    if not task.failures or len(rooms) < 2:
        return rooms
    return [room for room in rooms if room.node != task.node]


def _choose_room(rooms, size, random):
    """Return the least loaded room of a sample, or of all if the sample is full."""
    sample = rooms
    if len(rooms) > SAMPLE:
        sample = random.sample(rooms, SAMPLE)
    fitting = [room for room in sample if room.free.fits(size)]
    if not fitting:
        fitting = [room for room in rooms if room.free.fits(size)]
    return max(fitting, key=_get_rank, default=None)


def _get_rank(room):
    return (room.share_free, room.node)


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


def get_misfit_reason(row, rooms):
    """Return the reason when no known worker could ever hold a task of the job.

    :returns: Error code, or empty when some worker is large enough.
    """
    size = get_size(row.spec)
    if rooms and not any(room.total.fits(size) for room in rooms):
        return "larger-than-any-worker"
    return ""
