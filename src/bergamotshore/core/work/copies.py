"""Second copies of short tasks, where the first is late.

Steps that allow it may have two runs of a task at once, and the first that ends counts.
A copy costs processors and saves the wait for a worker that is silent, stands still or
works slowly, so it begins only for a run that shows such a sign, and only in room that
nothing else waits for.
"""

from dataclasses import dataclass

from bergamotshore.core.work.workers import HeldRun, WorkerView

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

    :param worker: ``WorkerView`` that it is on.
    :param held: ``HeldRun``.
    :param progress: ``JobProgress`` of its job.
    :param sign: What shows that it is late.
    """

    worker: WorkerView
    held: HeldRun
    progress: object
    sign: str


def list_late_runs(view):
    """Return the ``LateRun`` whose step allows a copy and that have none yet.

    :param view: ``PlanView``.
    """
    late = []
    for worker in view.board.worker_by_node.values():
        for held in worker.held_by_key.values():
            if not _allows_copies(held.step):
                continue
            progress = view.board.job_by_key.get(held.ref.job)
            if progress is None or progress.is_cancelled or progress.outcome:
                continue
            task = progress.get_task(held.ref)
            if task is None or task.is_done or len(task.runs) >= MOST_RUNS:
                continue
            sign = find_sign(held, worker, view)
            if sign:
                late.append(LateRun(worker, held, progress, sign))
    return late


def _allows_copies(step):
    return step.is_speculative and not (step.is_lasting or step.is_gang)


def find_sign(held, worker, view):
    """Return what shows that a run is late; empty when nothing does."""
    if held.sent_at == 0.0 or view.now - held.sent_at < YOUNGEST_SECONDS:
        return ""
    if worker.stream is None or not worker.is_heard:
        return "node-silent"
    if not worker.is_answering:
        return "worker-silent"
    if not held.is_started:
        return "order-unanswered"
    if held.key in view.slow_keys:
        return "worker-slow"
    is_still = worker.reported_at - held.moved_at >= STILL_SECONDS
    if is_still and held.percent < FULL_PERCENT:
        return "stands-still"
    return ""
