"""Placement of pending tasks on nodes."""

from dataclasses import dataclass

from bergamotshore.core.capacity import Size, get_size
from bergamotshore.core.jobs import Placement

SAMPLE_SIZE = 16


@dataclass(slots=True)
class NodeCapacity:
    """Capacity of one node for tasks, as known to the entry.

    :param node: Name of the node.
    :param zone: Data centre of the node.
    :param session: Session of the node.
    :param total: Total size of the worker.
    :param free: Unreserved size.
    """

    node: str
    zone: str
    session: str
    total: Size
    free: Size

    @property
    def free_share(self):
        """Return the free share of the scarcer of processors and memory."""
        processors = self.free.processors / max(self.total.processors, 1e-9)
        memory = self.free.memory_gb / max(self.total.memory_gb, 1e-9)
        return min(processors, memory)


def place_tasks(row, indexes, capacities, budget, random):
    """Place each task on the least loaded node that fits, from a random sample.

    The free capacity of the nodes and the budget are updated as tasks are placed. The
    time per task does not grow with the number of nodes, except when the task fits on
    no node of the sample.

    :param row: ``JobRow`` of the tasks.
    :param indexes: Indexes of pending tasks.
    :param capacities: List of ``NodeCapacity``.
    :param budget: ``TeamBudget`` of the job's team.
    :param random: Source of randomness, a ``random.Random``.
    :returns: List of ``Placement``, without the tasks that could not be placed.
    """
    size = get_size(row.spec)
    placements = []
    for index in indexes:
        capacity = _choose_node(
            _exclude_failed(capacities, row.tasks[index]), size, random
        )
        if capacity is None or not budget.charge(size):
            break
        capacity.free = capacity.free - size
        placements.append(
            Placement(index, capacity.node, capacity.zone, capacity.session)
        )
    return placements


def _exclude_failed(capacities, task):
    """Return the nodes without the last one the task ran on, if the task has failed.

    A single node is never excluded.

    :param task: ``TaskState``.
    """
    if not task.failures or len(capacities) < 2:
        return capacities
    return [capacity for capacity in capacities if capacity.node != task.node]


def _choose_node(capacities, size, random):
    """Return the least loaded fitting node of a sample, else of all nodes, or None."""
    sample = capacities
    if len(capacities) > SAMPLE_SIZE:
        sample = random.sample(capacities, SAMPLE_SIZE)
    fitting = [capacity for capacity in sample if capacity.free.fits(size)]
    if not fitting:
        fitting = [capacity for capacity in capacities if capacity.free.fits(size)]
    return max(fitting, key=_get_sort_key, default=None)


def _get_sort_key(capacity):
    return (capacity.free_share, capacity.node)


class TeamBudget:
    """Remaining quota of a team.

    :param limit: Quota of the team.
    :param used: Total size of its claimed tasks.
    """

    def __init__(self, limit, used):
        self.remaining = limit - used

    def charge(self, size):
        """Deduct a size from the budget.

        :returns: True on success; False, deducting nothing, when the size does not fit.
        """
        if not self.remaining.fits(size):
            return False
        self.remaining = self.remaining - size
        return True


def get_misfit_reason(row, capacities):
    """Return why a task of the job cannot fit on any known worker, even an idle one.

    :returns: Error code, or empty when some worker is large enough or none is known.
    """
    size = get_size(row.spec)
    if capacities and not any(capacity.total.fits(size) for capacity in capacities):
        return "larger-than-any-worker"
    return ""
