"""What leaves a worker ahead of planned work, without a task missed too often."""

from bergamotshore.core.work.stops import StopRun, has_room_elsewhere, is_stopping

FULL_PERCENT = 100


def plan_evictions(view, is_late_by_node):
    """Return the ``StopRun`` that empty some nodes.

    Tasks with checkpoints are stopped at once and go on elsewhere; others finish.
    Lasting tasks are stopped only while enough others of their step are at work, and
    only when they can start elsewhere or time is short.

    :param view: ``PlanView``.
    :param is_late_by_node: Whether time is short, by node that gets no new work.
    """
    stops = []
    leaving_by_step = {}
    for node, is_late in sorted(is_late_by_node.items()):
        worker = view.cluster.worker_by_node.get(node)
        if worker is None or worker.stream is None:
            continue
        for allocation in worker.allocation_by_key.values():
            if not allocation.is_started or is_stopping(allocation, view.now):
                continue
            if not (is_late or has_room_elsewhere(view, allocation, worker)):
                continue
            if not _may_leave(view, allocation, leaving_by_step):
                continue
            key = get_step_key(allocation.ref)
            leaving_by_step[key] = leaving_by_step.get(key, 0) + 1
            allocation.stop_sent_at = view.now
            stops.append(StopRun(node, allocation.name, allocation.number, "upkeep"))
    return stops


def _may_leave(view, allocation, leaving_by_step):
    step = allocation.step
    if step.is_gang or not (step.is_lasting or step.has_checkpoints):
        return False
    if not step.is_lasting or step.may_miss < 0:
        return True
    away = count_away(view.cluster, allocation.ref) + leaving_by_step.get(
        get_step_key(allocation.ref), 0
    )
    return away < step.may_miss


def get_step_key(ref):
    """Return what tells the step of a task from all others."""
    return (ref.job, ref.occurrence, ref.step)


def count_away(cluster, ref):
    """Return how many other tasks of a lasting step are not at work.

    :param cluster: ``ClusterState``.
    :param ref: ``TaskRef`` of the task that is left out.
    """
    at_work = {
        allocation.ref.index
        for worker in cluster.worker_by_node.values()
        for allocation in worker.allocation_by_key.values()
        if get_step_key(allocation.ref) == get_step_key(ref)
        and allocation.percent >= FULL_PERCENT
        and allocation.stop_sent_at == 0.0
        and worker.is_reachable
    }
    progress = cluster.job_by_key[ref.job]
    tasks = progress.tasks_by_occurrence[ref.occurrence][ref.step]
    return sum(
        1 for index in range(len(tasks)) if index != ref.index and index not in at_work
    )
