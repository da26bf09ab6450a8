"""Runs of lower priority that make room for a step of higher priority.

A stop loses what a run did since its last checkpoint, and most room becomes free by
itself within a moment. So only a step that has waited for a while gets room this way,
on the worker where least work is lost, and that worker is kept for the step until it
had the time to start there.
"""

from dataclasses import dataclass

from bergamotshore.core.work.stops import StopRun, is_stopping
from bergamotshore.core.work.waiting import (
    count_runs_by_node,
    group_workers,
    list_eligible_workers,
    list_waiting,
)

# A step waits this long for room that becomes free by itself, in seconds: workers list
# their ends each 0.4 s.
PATIENCE_SECONDS = 0.5
# Time that a worker is kept for a step: a stop takes 0.2 s, its end is listed within
# 0.4 s, and the order follows the written claim. In seconds.
KEPT_SECONDS = 1.5
# Checkpoints are made each second of work. In seconds.
CHECKPOINT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """A worker that is kept for one step.

    :param key: Key of the ``WaitingStep``.
    :param priority: Its priority; steps that come before it may use the worker.
    :param expires_at: Its end, in seconds.
    """

    key: tuple
    priority: int
    expires_at: float


def plan_preemptions(view):
    """Return the ``StopRun`` that make room for steps which wait for it.

    To be called after ``plan_starts``. One worker at a time is cleared for each step,
    and kept for it.
    """
    workers_by_service = group_workers(view)
    last = _get_last_priority(view)
    stops = []
    for item in list_waiting(view):
        if view.cluster.get_priority(item.progress.spec) >= last:
            break
        if item.step.is_filling or item.step.is_gang:
            continue
        if view.now - view.cluster.get_waiting_since(item) < PATIENCE_SECONDS:
            continue
        if view.cluster.has_reservation(item.key, view.now):
            continue
        chosen = _choose_victims(view, item, workers_by_service)
        if chosen is None:
            continue
        worker, victims = chosen
        priority = view.cluster.get_priority(item.progress.spec)
        until = view.now + KEPT_SECONDS
        view.cluster.reserve(worker.node, Reservation(item.key, priority, until))
        for allocation in victims:
            allocation.stop_sent_at = view.now
            stops.append(
                StopRun(worker.node, allocation.name, allocation.number, "preempted")
            )
    return stops


def _get_last_priority(view):
    """Return the priority of the run that comes last."""
    return max(
        (
            allocation.priority
            for worker in view.cluster.worker_by_node.values()
            for allocation in worker.allocation_by_key.values()
        ),
        default=0,
    )


def _choose_victims(view, item, workers_by_service):
    """Return the worker to clear and the runs to stop there.

    :returns: None when a worker has room, so that something else hinders the step, or
        when no worker can be cleared.
    """
    workers = list_eligible_workers(view, item, workers_by_service)
    counts = count_runs_by_node(item)
    best = None
    for worker in workers:
        if worker.fits(item.step):
            return None
        if item.step.per_worker and counts.get(worker.node, 0) >= item.step.per_worker:
            continue
        victims = list_victims(view, item, worker)
        if victims is None:
            continue
        loss = sum(get_loss(allocation, view.now) for allocation in victims)
        if best is None or loss < best[0]:
            best = (loss, worker, victims)
    return best and best[1:]


def list_victims(view, item, worker):
    """Return the runs whose stop gives a step room on a worker, those lost least.

    :returns: None when no such runs are there.
    """
    step = item.step
    if not worker.could_fit(step):
        return None
    priority = view.cluster.get_priority(item.progress.spec)
    leaving = [
        allocation
        for allocation in worker.allocation_by_key.values()
        if is_stopping(allocation, view.now)
    ]
    candidates = [
        allocation
        for allocation in worker.allocation_by_key.values()
        if allocation.priority > priority and _may_stop(allocation, view.now)
    ]
    candidates.sort(
        key=lambda allocation: (-allocation.priority, get_loss(allocation, view.now))
    )
    victims = []
    while not _fits_without(worker, step, [*leaving, *victims]):
        if not candidates:
            return None
        victims.append(candidates.pop(0))
    return victims


def _may_stop(allocation, now):
    """Tell whether a run may be stopped for another one.

    Lasting tasks serve their own users, and a stopped member breaks its whole gang.
    """
    is_bound = allocation.step.is_lasting or allocation.step.is_gang
    return allocation.is_started and not is_stopping(allocation, now) and not is_bound


def get_loss(allocation, now):
    """Return the work that a stop loses, in seconds times thousandths of processors."""
    seconds = now - allocation.started_at
    if allocation.step.has_checkpoints:
        seconds = min(seconds, CHECKPOINT_SECONDS)
    return seconds * allocation.step.cpu


def _fits_without(worker, step, gone):
    cpu = worker.used_cpu - sum(allocation.step.reserved_cpu for allocation in gone)
    memory = worker.used_memory - sum(allocation.step.memory for allocation in gone)
    accelerators = worker.used_accelerators - sum(
        allocation.step.accelerators for allocation in gone
    )
    return (
        cpu + step.reserved_cpu <= worker.cpu
        and memory + step.memory <= worker.memory
        and accelerators + step.accelerators <= worker.accelerators
    )
