"""Eviction of runs from workers whose VM is about to go down for maintenance.

No step gets more tasks missing at once than its ``may_miss`` allows.
"""

from bergamotshore.core.work.stops import StopRun, fits_elsewhere, is_stopping

FULL_PERCENT = 100


def plan_evictions(view, is_urgent_by_node):
    """Return a ``StopRun`` for each run to evict from the nodes that are drained.

    Tasks with checkpoints are stopped and resume on another worker; other finite tasks
    are left to finish. Long-running tasks are stopped only while enough other tasks of
    their step are running. Either kind is stopped only if it fits on another worker or
    the maintenance is urgent.

    :param view: ``PlanView``.
    :param is_urgent_by_node: Whether maintenance is urgent, by node that is drained.
    """
    stops = []
    evictions_by_step = {}
    for node, is_urgent in sorted(is_urgent_by_node.items()):
        worker = view.cluster.worker_by_node.get(node)
        if worker is None or worker.stream is None:
            continue
        for run in worker.allocation_by_key.values():
            try:
                is_due = _is_eviction_due(view, run, worker, is_urgent)
                is_allowed = is_due and _may_evict(view, run, evictions_by_step)
            except Exception as error:
                view.collector.record("evictions", run.ref.job, error)
                continue
            if not is_allowed:
                continue
            key = run.ref.step_key
            evictions_by_step[key] = evictions_by_step.get(key, 0) + 1
            run.stop_sent_at = view.now
            stops.append(StopRun(node, run.name, run.number, "upkeep"))
    return stops


def _is_eviction_due(view, run, worker, is_urgent):
    if not run.is_started or is_stopping(run, view.now):
        return False
    return is_urgent or fits_elsewhere(view, run, worker)


def _may_evict(view, run, evictions_by_step):
    """Return whether a run may be stopped now.

    Gangs are never evicted. A negative ``may_miss`` sets no limit.
    """
    step = run.step
    if step.is_gang or not (step.is_lasting or step.has_checkpoints):
        return False
    if not step.is_lasting or step.may_miss < 0:
        return True
    unavailable = count_unavailable(view.cluster, run.ref) + evictions_by_step.get(
        run.ref.step_key, 0
    )
    return unavailable < step.may_miss


def count_unavailable(cluster, ref):
    """Return how many other tasks of a long-running step are not available.

    :param cluster: ``ClusterState``.
    :param ref: ``TaskRef`` of the task that isn't counted.
    """
    available = {
        run.ref.index
        for worker in cluster.worker_by_node.values()
        for run in worker.allocation_by_key.values()
        if run.ref.step_key == ref.step_key
        and run.percent >= FULL_PERCENT
        and run.stop_sent_at == 0.0
        and worker.is_reachable
    }
    step = cluster.job_by_key[ref.job].spec.steps[ref.step]
    return step.tasks - len(available | {ref.index})
