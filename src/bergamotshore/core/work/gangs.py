"""Placing the tasks of a gang, which only work together."""

from bergamotshore.core.work.placing import choose_worker
from bergamotshore.core.work.waiting import count_runs_by_node
from bergamotshore.core.work.workers import Allocation


def place_gang(view, item, workers):
    """Claim room for all members of a gang, or for none."""
    tasks = item.progress.tasks_by_occurrence[item.occurrence][item.number]
    if any(task.runs for task in tasks):
        return []
    chosen = choose_for_gang(view, item, workers)
    if chosen is None:
        return []
    number = item.progress.get_next_gang_run_number(item.occurrence, item.number)
    checkpoint = next((task.checkpoint for task in tasks if task.checkpoint), "")
    claimed = []
    for ref, worker in zip(item.refs, chosen, strict=True):
        item.progress.get_task(ref).checkpoint = checkpoint
        claimed.append((worker, view.cluster.claim(ref, worker, view.now, number)))
    return claimed


def choose_for_gang(view, item, workers):
    """Return a worker for each member, or None when there is no room for all.

    Members that are slower on several racks share one where some rack has the room.
    Waiting for a rack would cost more: how long it takes is unknown, and the spread
    slows the gang by a known factor.
    """
    if item.step.is_tight:
        for group in _group_by_rack(workers):
            chosen = _choose_all(view, item, group)
            if chosen is not None:
                return chosen
    return _choose_all(view, item, workers)


def _group_by_rack(workers):
    """Return the workers of each rack, those of the emptiest rack first."""
    group_by_rack = {}
    for worker in workers:
        if worker.rack:
            group_by_rack.setdefault(worker.rack, []).append(worker)
    return sorted(
        group_by_rack.values(),
        key=lambda group: sum(worker.used_cpu - worker.cpu for worker in group),
    )


def _choose_all(view, item, workers):
    """Return a worker for each member, looked for with room taken for the others."""
    counts = count_runs_by_node(item)
    taken = []
    for ref in item.refs:
        worker = choose_worker(item.step, workers, counts, view.cluster.interference)
        if worker is None:
            break
        # Stands for the run only while the other members are placed.
        allocation = Allocation(
            ref, "", ref.index, item.step, worker.incarnation.started_ms
        )
        worker.allocate(allocation)
        taken.append((worker, allocation))
        counts[worker.node] = counts.get(worker.node, 0) + 1
    for worker, allocation in taken:
        worker.free(allocation.key)
    if len(taken) < len(item.refs):
        return None
    return [worker for worker, _ in taken]
