"""Stops of runs that are no longer needed or make no progress."""

from dataclasses import dataclass

from bergamotshore.core.work.stuck import is_stuck
from bergamotshore.core.work.waiting import group_workers

# A stop order is sent again if the run hasn't ended after this time, in seconds;
# workers take 0.2 s to stop a task.
STOP_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to a worker to stop a run.

    :param node: Node of the worker.
    :param name: Name of the task.
    :param number: Number of the run.
    :param reason: Code of the reason.
    """

    node: str
    name: str
    number: int
    reason: str


def plan_stops(view):
    """Return a ``StopRun`` for each run that should be stopped.

    These are runs of cancelled, failed and closed jobs, redundant runs of finished
    tasks, runs that belong to no job, members of a gang that lacks another one, and
    runs that are stuck or would finish earlier on another worker. Any stop is repeated
    until the run has ended, since the call of the worker may have been lost.
    """
    stops = []
    for worker in view.cluster.worker_by_node.values():
        if worker.stream is None:
            continue
        for name, number in worker.unknown_runs:
            stops.append(StopRun(worker.node, name, number, "unknown"))
        for run in worker.allocation_by_key.values():
            try:
                reason = _find_stop_reason(view, run, worker)
            except Exception as error:
                view.collector.record("stops", run.ref.job, error)
                continue
            is_already_stopping = is_stopping(run, view.now)
            if reason and not is_already_stopping and run.sent_at:
                run.stop_sent_at = view.now
                stops.append(StopRun(worker.node, run.name, run.number, reason))
    return stops


def is_stopping(run, now):
    """Return whether a stop order was sent recently; afterwards it is sent again."""
    return now - run.stop_sent_at < STOP_RETRY_SECONDS


def _find_stop_reason(view, run, worker):
    progress = view.cluster.job_by_key.get(run.ref.job)
    if progress is None:
        return "closed"
    if progress.is_cancelled:
        return "cancelled"
    if progress.outcome == "failed":
        return "failed"
    task = progress.get_task(run.ref)
    if task is None or task.is_done:
        return "done-elsewhere"
    if run.step.is_gang and progress.is_gang_incomplete(run.ref, run.number):
        return "gang-incomplete"
    if run.stop_sent_at:
        return "repeated"
    if is_stuck(run, worker):
        view.cluster.record_stuck(worker, run, view.now)
        return "stuck"
    is_slow = run.key in view.slow_keys and not run.step.is_speculative
    if is_slow and fits_elsewhere(view, run, worker):
        return "slow"
    return ""


def fits_elsewhere(view, run, worker):
    """Return whether another worker has free capacity for a run."""
    return any(
        other.fits(run.step) and (not run.step.label or run.step.label in other.labels)
        for other in group_workers(view).get(worker.service, ())
        if other is not worker
    )
