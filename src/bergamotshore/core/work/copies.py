"""Second copies of short tasks, where the first is late.

Steps that allow it may have two runs of a task at once, and the first that ends counts.
A copy costs processors and saves the wait for a worker that is silent, stands still or
works slowly, so it begins only for a run that shows such a sign, and only in room that
nothing else waits for.
"""

from dataclasses import dataclass

from bergamotshore.core.work.workers import Allocation, WorkerState

# A run gets no copy in its first second: orders and heartbeats take up to this long
# while all is well, and so does the first look of a new scheduler.
YOUNGEST_SECONDS = 1.0
# Workers list progress each 0.4 s; a run that did not move in three lists stands still.
STILL_SECONDS = 1.2
# Runs of one task at once, the first included.
MOST_RUNS = 2
FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class LateRun:
    """A run that had better have a copy on another worker.

    :param worker: ``WorkerState`` that it is on.
    :param allocation: ``Allocation``.
    :param progress: ``JobProgress`` of its job.
    :param sign: What shows that it is late.
    """

    worker: WorkerState
    allocation: Allocation
    progress: object
    sign: str


def list_late_runs(view):
    """Return the ``LateRun`` whose step allows a copy and that have none yet.

    :param view: ``PlanView``.
    """
    late = []
    for worker in view.cluster.worker_by_node.values():
        for allocation in worker.allocation_by_key.values():
            if not _allows_copies(allocation.step):
                continue
            progress = view.cluster.job_by_key.get(allocation.ref.job)
            if progress is None or progress.is_cancelled or progress.outcome:
                continue
            task = progress.get_task(allocation.ref)
            if task is None or task.is_done or len(task.runs) >= MOST_RUNS:
                continue
            sign = find_sign(allocation, worker, view)
            if sign:
                late.append(LateRun(worker, allocation, progress, sign))
    return late


def _allows_copies(step):
    return step.is_speculative and not (step.is_lasting or step.is_gang)


def find_sign(allocation, worker, view):
    """Return what shows that a run is late; empty when nothing does."""
    if allocation.sent_at == 0.0 or view.now - allocation.sent_at < YOUNGEST_SECONDS:
        return ""
    if worker.stream is None or not worker.is_reachable:
        return "node-silent"
    if not worker.is_answering:
        return "worker-silent"
    if not allocation.is_started:
        return "order-unanswered"
    if allocation.key in view.slow_keys:
        return "worker-slow"
    is_still = worker.reported_at - allocation.progressed_at >= STILL_SECONDS
    if is_still and allocation.percent < FULL_PERCENT:
        return "stands-still"
    return ""
