"""What to start, and where: pure functions over the board."""

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

# A job of which nothing runs gets one filling task started after this wait, in seconds,
# wherever it disturbs least, so that none is left behind.
BEST_EFFORT_STARVATION_SECONDS = 1.5


def plan_starts(view):
    """Claim a worker for all that can start now.

    :returns: Pair of a list of worker and ``Allocation`` claimed, and a list of
        ``AdviceQuery`` for the advice service.
    """
    claimed = []
    questions = []
    workers_by_service = group_workers(view)
    waiting = list_waiting(view)
    view.cluster.record_waiting(waiting, view.now)
    full = UnplaceableSizes()
    for item in waiting:
        if full.covers(item, view.cluster) and not _is_starving(view, item):
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
                full.note(item, view.cluster)
        for worker, allocation in placed:
            allocation.ticket = view.cluster.advice.get_ticket(
                item.key, worker.incarnation, view.now
            )
        claimed += placed
    return claimed, questions


class UnplaceableSizes:
    """Sizes of tasks for which no worker has room, within one plan.

    Room only shrinks while a plan is made, so tasks that are no smaller need no look.
    What else keeps a step from workers is part of the key, or such a step is not kept:
    then fewer steps are passed over, never more.
    """

    def __init__(self):
        self._sizes_by_key = {}

    def note(self, item, cluster):
        """Take note that a task of a step found no worker."""
        is_bound = item.step.per_worker or cluster.has_reservations
        if not is_bound and not _needs_advice(item, cluster):
            key = _get_shape_key(item, cluster)
            self._sizes_by_key.setdefault(key, []).append(_get_size(item.step))

    def covers(self, item, cluster):
        """Tell whether tasks of a step can find no worker either."""
        size = _get_size(item.step)
        return any(
            all(own >= other for own, other in zip(size, full, strict=True))
            for full in self._sizes_by_key.get(_get_shape_key(item, cluster), ())
        )


def _get_shape_key(item, cluster):
    """Return what tells the workers that a step may use from those of other steps.

    Where a filling task may go depends on its image as well.
    """
    step = item.step
    image = step.image if step.is_filling else None
    return (cluster.get_service(item.progress.spec), step.label, image)


def _get_size(step):
    return (step.cpu, step.memory, step.accelerators)


def plan_copies(view):
    """Claim a worker for a copy of each late run that may have one.

    To be called after ``plan_starts``: copies take only what nothing else waits for.

    :returns: List of triples of ``LateRun``, worker and ``Allocation`` claimed.
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
    """Return the workers that a step may use and that are not kept for another."""
    workers = list_eligible_workers(view, item, workers_by_service)
    if not view.cluster.has_reservations:
        return workers
    return [
        worker
        for worker in workers
        if view.cluster.is_available_to(worker.node, item, view.now)
    ]


def _list_permitted(view, item, workers):
    """Return the workers for which the advice service has given a ticket."""
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
    """Tell whether a filling step has waited long and nothing of its job runs."""
    if not item.step.is_filling:
        return False
    since = view.cluster.get_waiting_since(item)
    return view.now - since > BEST_EFFORT_STARVATION_SECONDS and not any(
        True for _ in item.progress.list_runs()
    )
