"""Placement of gangs, whose tasks have to run at the same time."""

from bergamotshore.core.work.placing import choose_worker
from bergamotshore.core.work.runslots import (
    count_room,
    has_slot,
    list_workers_with_slot,
)
from bergamotshore.core.work.waiting import count_runs_by_node
from bergamotshore.core.work.workers import Allocation


def place_gang(view, item, workers, waits):
    """Claim workers for all members of a gang, or for none.

    :param waits: ``WaitDecisions`` for room in one rack.
    :returns: Pairs of worker and ``Allocation`` claimed.
    """
    tasks = item.progress.get_step_tasks(item.occurrence, item.number)
    if any(task.runs for task in tasks.iterate_touched()):
        return []
    chosen = choose_gang_workers(view, item, workers)
    if chosen is None:
        return []
    racks = _group_by_rack(workers)
    if waits.holds_back_gang(item, chosen, racks, count_runs_by_node(item)):
        return []
    number = item.progress.get_next_gang_run_number(item.occurrence, item.number)
    checkpoints = (task.checkpoint for _, task in tasks.list_touched())
    checkpoint = next(filter(None, checkpoints), "")
    claimed = []
    for ref, worker in zip(item.refs, chosen, strict=True):
        item.progress.record_checkpoint(ref, number, checkpoint)
        claimed.append((worker, view.cluster.claim(ref, worker, view.now, number)))
    return claimed


def choose_gang_workers(view, item, workers):
    """Return a worker for each member, or None when capacity is short for some.

    A gang that is slower across racks is placed in a single rack if one has the
    capacity.
    """
    workers = list_workers_with_slot(view.cluster, item, workers)
    if not _has_room(view, item, workers):
        return None
    if item.step.is_tight:
        for group in _group_by_rack(workers):
            if not _has_room(view, item, group):
                continue
            chosen = _choose_for_all_members(view, item, group)
            if chosen is not None:
                return chosen
    return _choose_for_all_members(view, item, workers)


def _has_room(view, item, workers):
    """Return whether there may be room for all members; exact only if there is none."""
    slots = view.cluster.slots
    left = len(item.refs)
    for worker in workers:
        left -= count_room(worker, item.step, item.progress.key, slots)
        if left <= 0:
            return True
    return False


def _group_by_rack(workers):
    """Return the workers of each rack, the rack with the most free processors first."""
    group_by_rack = {}
    for worker in workers:
        if worker.rack:
            group_by_rack.setdefault(worker.rack, []).append(worker)
    return sorted(
        group_by_rack.values(),
        key=lambda group: sum(worker.used_cpu - worker.size.cpu for worker in group),
    )


def _choose_for_all_members(view, item, workers):
    """Return a worker for each member, or None when capacity is short for some.

    Chosen workers are filled with placeholders, which are removed before returning.
    """
    chosen = []
    try:
        _fill_with_placeholders(view, item, workers, chosen)
    finally:
        for worker, placeholder in chosen:
            worker.free(placeholder.key)
    if len(chosen) < len(item.refs):
        return None
    return [worker for worker, _ in chosen]


def _fill_with_placeholders(view, item, workers, chosen):
    """Allocate a placeholder for each member until one finds no worker.

    :param chosen: List to which each worker and its placeholder is added.
    """
    counts = count_runs_by_node(item)
    slots = view.cluster.slots
    workers = list(workers)
    for ref in item.refs:
        worker = choose_worker(item.step, workers, counts, view.cluster.interference)
        if worker is None:
            return
        placeholder = Allocation(
            ref, "", ref.index, item.step, worker.incarnation.started_ms
        )
        worker.allocate(placeholder)
        chosen.append((worker, placeholder))
        counts[worker.node] = counts.get(worker.node, 0) + 1
        if not has_slot(worker, ref.job, slots):
            workers.remove(worker)
