"""Placement of waiting steps and speculative copies on workers.

The functions do no I/O; they record claims in the cluster state.
"""

from dataclasses import replace

from bergamotshore.core.work.copies import list_late_runs
from bergamotshore.core.work.gangs import place_gang
from bergamotshore.core.work.placing import choose_least_disturbed_worker, choose_worker
from bergamotshore.core.work.waiting import (
    WaitingStep,
    count_runs_by_node,
    group_workers,
    list_eligible_workers,
    list_waiting,
)

# Starvation limit of best-effort jobs, in seconds: a job without any run gets one task
# started after this wait, on the worker where it causes the least interference.
BEST_EFFORT_STARVATION_SECONDS = 1.5
# A long-running task has to run again within 6 s. After this wait it is started on a
# worker in quarantine if no other one has capacity, in seconds; runs of lower priority
# have been preempted by then where that is possible.
QUARANTINE_LIMIT_SECONDS = 3.0


def plan_starts(view):
    """Claim workers for all tasks that can start now.

    :returns: Pair of a list of claims, each as worker and ``Allocation``, and a list of
        ``AdviceQuery`` for the advice service.
    """
    claimed = []
    questions = []
    workers_by_service = group_workers(view)
    waiting = list_waiting(view)
    view.cluster.record_waiting(waiting, view.now)
    unplaceable = UnplaceableSizes()
    for item in waiting:
        if unplaceable.covers(item, view.cluster) and not _is_starving(view, item):
            continue
        workers = _list_open(view, item, workers_by_service)
        if _needs_advice(item, view.cluster):
            question = _plan_question(view, item, workers)
            questions += [question] if question is not None else []
            workers = _list_permitted(view, item, workers)
        if not workers:
            continue
        if item.step.is_gang:
            placed = place_gang(view, item, workers)
        else:
            placed = _place_tasks(view, item, workers)
            if len(placed) < len(item.refs):
                unplaceable.record(item, view.cluster)
        claimed += _add_tickets(view, item, placed)
    claimed += _place_overdue_tasks(view, waiting)
    return claimed, questions


def _add_tickets(view, item, placed):
    """Set the tickets of claims that need one; return the claims."""
    for worker, allocation in placed:
        allocation.ticket = view.cluster.advice.get_ticket(
            item.key, worker.incarnation, view.now
        )
    return placed


def _place_overdue_tasks(view, waiting):
    """Claim workers in quarantine for long-running tasks that have waited too long."""
    overdue = [
        item
        for item in waiting
        if item.step.is_lasting
        and not item.step.is_gang
        and view.now - view.cluster.get_waiting_since(item) > QUARANTINE_LIMIT_SECONDS
    ]
    workers_by_service = group_workers(view, has_quarantine=False) if overdue else {}
    claimed = []
    for item in overdue:
        workers = _list_open(view, item, workers_by_service)
        if _needs_advice(item, view.cluster):
            workers = _list_permitted(view, item, workers)
        refs = item.progress.list_waiting(item.occurrence, item.number)
        placed = _place_tasks(view, replace(item, refs=refs), workers)
        claimed += _add_tickets(view, item, placed)
    return claimed


class UnplaceableSizes:
    """Cache of task sizes for which no worker has capacity, within one planning pass.

    Free capacity only shrinks during a pass, so tasks that are at least as large can be
    skipped. Other placement constraints are either part of the cache key, or exclude
    the step from the cache. The cache may therefore skip too few steps, never too many.
    """

    def __init__(self):
        self._sizes_by_key = {}

    def record(self, item, cluster):
        """Record that a task of a step could not be placed."""
        is_uncacheable = item.step.per_worker or cluster.has_reservations
        if not is_uncacheable and not _needs_advice(item, cluster):
            key = _get_shape_key(item, cluster)
            self._sizes_by_key.setdefault(key, []).append(_get_size(item.step))

    def covers(self, item, cluster):
        """Return whether tasks of a step are known not to fit on any worker."""
        size = _get_size(item.step)
        return any(
            all(ours >= theirs for ours, theirs in zip(size, known, strict=True))
            for known in self._sizes_by_key.get(_get_shape_key(item, cluster), ())
        )


def _get_shape_key(item, cluster):
    """Return a cache key; steps with equal keys may use the same workers.

    For best-effort tasks the eligible workers depend on the image as well.
    """
    step = item.step
    image = step.image if step.is_filling else None
    return (cluster.get_service(item.progress.spec), step.label, image)


def _get_size(step):
    return (step.cpu, step.memory, step.accelerators)


def plan_copies(view):
    """Claim workers for speculative copies of late runs.

    Has to be called after ``plan_starts``, so that copies only use capacity for which
    no other task waits.

    :returns: List of triples of ``LateRun``, worker and the ``Allocation`` of the copy.
    """
    late = list_late_runs(view)
    workers_by_service = group_workers(view) if late else {}
    claimed = []
    for run in late:
        ref = run.allocation.ref
        item = WaitingStep(run.progress, ref.occurrence, ref.step, [ref], ())
        workers = _list_open(view, item, workers_by_service)
        if _needs_advice(item, view.cluster):
            workers = _list_permitted(view, item, workers)
        others = [worker for worker in workers if worker is not run.worker]
        counts = count_runs_by_node(item)
        worker = choose_worker(item.step, others, counts, view.cluster.interference)
        if worker is not None:
            allocation = view.cluster.claim(ref, worker, view.now)
            allocation.ticket = view.cluster.advice.get_ticket(
                item.key, worker.incarnation, view.now
            )
            claimed.append((run, worker, allocation))
    return claimed


def _list_open(view, item, workers_by_service):
    """Return the eligible workers of a step that are not reserved for another."""
    workers = list_eligible_workers(view, item, workers_by_service)
    if not view.cluster.has_reservations:
        return workers
    return [
        worker
        for worker in workers
        if view.cluster.is_available_to(worker.node, item, view.now)
    ]


def _list_permitted(view, item, workers):
    """Return the workers for which the advice service has issued a valid ticket."""
    return [
        worker
        for worker in workers
        if view.cluster.advice.get_ticket(item.key, worker.incarnation, view.now)
    ]


def _needs_advice(item, cluster):
    queue = cluster.get_queue(item.progress.spec.queue)
    return queue is not None and queue.advice is not None


def _plan_question(view, item, workers):
    fitting = [worker for worker in workers if worker.fits(item.step)]
    fitting.sort(key=lambda worker: worker.cpu_share)
    name = f"{item.progress.spec.job_id}.{item.occurrence}.{item.number}"
    return view.cluster.advice.plan_query(item.key, name, fitting, view.now)


def _place_tasks(view, item, workers):
    claimed = []
    counts = count_runs_by_node(item)
    for ref in item.refs:
        worker = choose_worker(item.step, workers, counts, view.cluster.interference)
        if worker is None and _is_starving(view, item):
            worker = choose_least_disturbed_worker(
                item.step, workers, view.cluster.interference
            )
        if worker is None:
            break
        allocation = view.cluster.claim(ref, worker, view.now)
        claimed.append((worker, allocation))
        counts[worker.node] = counts.get(worker.node, 0) + 1
    return claimed


def _is_starving(view, item):
    """Return whether a best-effort step has waited too long and its job has no run."""
    if not item.step.is_filling:
        return False
    since = view.cluster.get_waiting_since(item)
    return view.now - since > BEST_EFFORT_STARVATION_SECONDS and not any(
        True for _ in item.progress.list_runs()
    )
