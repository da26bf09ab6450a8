"""Preemption of runs of lower priority in favour of a step of higher priority.

Stopping a run loses its work since the last checkpoint, and most capacity is freed by
finishing runs within a moment. So runs are preempted only for a step that has waited
for a while, on the worker where least work is lost. That worker is then reserved for
the step until it has had time to start there.
"""

from dataclasses import dataclass

from bergamotshore.core.work.stops import StopRun, is_stopping
from bergamotshore.core.work.waiting import (
    count_runs_by_node,
    group_workers,
    list_eligible_workers,
    list_waiting,
)

# A step waits this long for running tasks to finish before others are preempted, in
# seconds: workers report finished runs every 0.4 s.
PREEMPTION_DELAY_SECONDS = 0.5
# How long a worker is reserved for a step, in seconds: stopping a run takes 0.2 s, its
# completion is reported within 0.4 s, and the claim is written before the start order.
RESERVATION_SECONDS = 1.5
# Tasks write a checkpoint after each second of work. In seconds.
CHECKPOINT_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """A reservation of a worker for one step.

    :param key: Key of the ``WaitingStep``.
    :param priority: Priority of the step; steps of higher priority may still use the
        worker.
    :param expires_at: Time at which the reservation expires, in seconds.
    """

    key: tuple
    priority: int
    expires_at: float


def plan_preemptions(view):
    """Return a ``StopRun`` for each run to preempt for a waiting step.

    Must be called after ``plan_starts``. For each step, one worker at a time is cleared
    and reserved.
    """
    workers_by_service = group_workers(view)
    lowest_priority = _get_lowest_priority(view)
    stops = []
    for item in list_waiting(view):
        if view.cluster.get_priority(item.progress.spec) >= lowest_priority:
            break
        if item.step.is_filling or item.step.is_gang:
            continue
        if view.now - view.cluster.get_waiting_since(item) < PREEMPTION_DELAY_SECONDS:
            continue
        if view.cluster.has_reservation(item.key, view.now):
            continue
        chosen = None
        with view.containing("preemption", item.progress.key):
            chosen = _choose_victims(view, item, workers_by_service)
        if chosen is None:
            continue
        worker, victims = chosen
        priority = view.cluster.get_priority(item.progress.spec)
        until = view.now + RESERVATION_SECONDS
        view.cluster.reserve(worker.node, Reservation(item.key, priority, until))
        for run in victims:
            run.stop_sent_at = view.now
            stops.append(StopRun(worker.node, run.name, run.number, "preempted"))
    return stops


def _get_lowest_priority(view):
    """Return the lowest priority of all runs, which is the highest number."""
    return max(
        (
            run.priority
            for worker in view.cluster.worker_by_node.values()
            for run in worker.allocation_by_key.values()
        ),
        default=0,
    )


def _choose_victims(view, item, workers_by_service):
    """Return the worker to clear and the runs to stop there.

    :returns: None when a worker already has free capacity, in which case the step waits
        for another reason, or when no worker can be cleared.
    """
    workers = list_eligible_workers(view, item, workers_by_service)
    counts = count_runs_by_node(item)
    best = None
    for worker in workers:
        if item.step.per_worker and counts.get(worker.node, 0) >= item.step.per_worker:
            continue
        if worker.fits(item.step):
            return None
        victims = list_victims(view, item, worker)
        if victims is None:
            continue
        lost_work = sum(get_lost_work(run, view.now) for run in victims)
        if best is None or lost_work < best[0]:
            best = (lost_work, worker, victims)
    return best and best[1:]


def list_victims(view, item, worker):
    """Return the runs to stop so that a task of a step fits on a worker.

    Runs of the lowest priority are chosen first, then those that lose least work.

    :returns: None when stopping runs can't free enough capacity.
    """
    step = item.step
    if not worker.could_fit(step):
        return None
    priority = view.cluster.get_priority(item.progress.spec)
    stopping = [
        run for run in worker.allocation_by_key.values() if is_stopping(run, view.now)
    ]
    candidates = [
        run
        for run in worker.allocation_by_key.values()
        if run.priority > priority and _may_preempt(run, view.now)
    ]
    candidates.sort(key=lambda run: (-run.priority, get_lost_work(run, view.now)))
    victims = []
    while not _fits_after_removal(worker, step, [*stopping, *victims]):
        if not candidates:
            return None
        victims.append(candidates.pop(0))
    return victims


def _may_preempt(run, now):
    """Return whether a run may be preempted.

    Long-running tasks serve users directly, and stopping one member of a gang breaks
    the whole gang.
    """
    is_protected = run.step.is_lasting or run.step.is_gang
    return run.is_started and not is_stopping(run, now) and not is_protected


def get_lost_work(run, now):
    """Return the work lost by stopping a run, in seconds x thousandths of a CPU."""
    seconds = now - run.started_at
    if run.step.has_checkpoints:
        seconds = min(seconds, CHECKPOINT_INTERVAL_SECONDS)
    return seconds * run.step.cpu


def _fits_after_removal(worker, step, removed):
    cpu = worker.used_cpu - sum(run.step.reserved_cpu for run in removed)
    memory = worker.used_memory - sum(run.step.memory for run in removed)
    accelerators = worker.used_accelerators - sum(
        run.step.accelerators for run in removed
    )
    return worker.size.covers(
        cpu + step.reserved_cpu,
        memory + step.memory,
        accelerators + step.accelerators,
    )
