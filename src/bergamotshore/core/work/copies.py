"""Speculative execution: a second run of a short task whose first run is late.

A step may allow two concurrent runs of a task, of which the first to finish counts. A
copy costs processors and avoids the wait for a worker that is silent, stalled or slow.
It is started only for a run that shows such a sign, and only in capacity that no other
task waits for.
"""

from dataclasses import dataclass

from bergamotshore.core.work.tails import PAST_HIGH, Lateness, find_lateness
from bergamotshore.core.work.workers import Allocation, WorkerState

# A run isn't copied in its first second: on a healthy site, orders and heartbeats take
# up to this long, and so does the first planning pass of a new scheduler.
MIN_RUN_AGE_SECONDS = 1.0
# Workers report progress every 0.4 s; a run without progress in three reports is
# stalled.
STALL_SECONDS = 1.2
# Concurrent runs of one task, including the first.
MAX_RUNS_PER_TASK = 2
FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class LateRun:
    """A run that is late and should be copied to another worker.

    :param worker: ``WorkerState`` that it runs on.
    :param allocation: ``Allocation`` that is late.
    :param progress: ``JobProgress`` of its job.
    :param sign: Code of the sign by which it was found to be late.
    :param lateness: ``Lateness`` of a run past the high quantile of its kind.
    """

    worker: WorkerState
    allocation: Allocation
    progress: object
    sign: str
    lateness: Lateness | None = None


def list_late_runs(view):
    """Return a ``LateRun`` for each late run that may have a copy and has none.

    :param view: ``PlanView``.
    """
    late = []
    for worker in view.cluster.worker_by_node.values():
        for run in worker.allocation_by_key.values():
            try:
                found = _find_late_run(view, worker, run)
            except Exception as error:
                view.collector.record("copies", run.ref.job, error)
                continue
            if found is not None:
                late.append(found)
    return late


def _find_late_run(view, worker, run):
    """Return the ``LateRun`` of a run that may have a copy, or None."""
    if not _allows_copies(run.step):
        return None
    progress = view.cluster.job_by_key.get(run.ref.job)
    if progress is None or progress.is_cancelled or progress.outcome:
        return None
    task = progress.get_task(run.ref)
    if task is None or task.is_done or len(task.runs) >= MAX_RUNS_PER_TASK:
        return None
    if task.crashes:
        return None
    sign = find_late_sign(run, worker, view)
    if sign:
        return LateRun(worker, run, progress, sign)
    lateness = find_lateness(view, worker, run)
    if lateness is not None:
        return LateRun(worker, run, progress, PAST_HIGH, lateness)
    return None


def _allows_copies(step):
    return step.is_speculative and not (step.is_lasting or step.is_gang)


def find_late_sign(run, worker, view):
    """Return the code of the sign that a run is late; empty when it isn't late."""
    if run.sent_at == 0.0 or view.now - run.sent_at < MIN_RUN_AGE_SECONDS:
        return ""
    if worker.stream is None or not worker.is_reachable:
        return "node-silent"
    if not worker.is_answering:
        return "worker-silent"
    if not run.is_started:
        return "order-unanswered"
    if run.key in view.slow_keys:
        return "worker-slow"
    is_stalled = worker.reported_at - run.progressed_at >= STALL_SECONDS
    if is_stalled and run.percent < FULL_PERCENT:
        return "stands-still"
    return ""
