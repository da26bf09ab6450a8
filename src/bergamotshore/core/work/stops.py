"""Which runs nobody wants."""

from dataclasses import dataclass

from bergamotshore.core.work.stuck import is_stuck
from bergamotshore.core.work.waiting import group_workers

# A stop that is not followed by an end is sent again after this time, in seconds;
# workers take 0.2 s to stop a task.
STOP_AGAIN_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StopRun:
    """Tell a worker to stop a run.

    :param node: Node of the worker.
    :param name: Name of the task.
    :param number: Number of the run.
    :param reason: Why.
    """

    node: str
    name: str
    number: int
    reason: str


def plan_stops(view):
    """Return the ``StopRun`` of runs that nobody wants.

    These are runs of cancelled and closed jobs, further copies of tasks that are done,
    and runs that no job claims.
    """
    stops = []
    for worker in view.cluster.worker_by_node.values():
        if worker.stream is None:
            continue
        for name, number in worker.unknown_runs:
            stops.append(StopRun(worker.node, name, number, "unknown"))
        for allocation in worker.allocation_by_key.values():
            reason = _find_stop_reason(view, allocation, worker)
            is_sent = is_stopping(allocation, view.now)
            if reason and not is_sent and allocation.sent_at:
                allocation.stop_sent_at = view.now
                stops.append(
                    StopRun(worker.node, allocation.name, allocation.number, reason)
                )
    return stops


def is_stopping(allocation, now):
    """Tell whether a run was told to stop a moment ago; later it is told again."""
    return now - allocation.stop_sent_at < STOP_AGAIN_SECONDS


def _find_stop_reason(view, allocation, worker):
    progress = view.cluster.job_by_key.get(allocation.ref.job)
    if progress is None:
        return "closed"
    if progress.is_cancelled:
        return "cancelled"
    if progress.outcome == "failed":
        return "failed"
    task = progress.get_task(allocation.ref)
    if task is None or task.is_done:
        return "done-elsewhere"
    if is_stuck(allocation, worker):
        view.cluster.record_stuck(worker, allocation, view.now)
        return "stuck"
    is_slow = allocation.key in view.slow_keys and not allocation.step.is_speculative
    if is_slow and has_room_elsewhere(view, allocation, worker):
        return "slow"
    return ""


def has_room_elsewhere(view, allocation, worker):
    """Tell whether a run could start at once on another worker."""
    return any(
        other.fits(allocation.step)
        and (not allocation.step.label or allocation.step.label in other.labels)
        for other in group_workers(view).get(worker.service, ())
        if other is not worker
    )
