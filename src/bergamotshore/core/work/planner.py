"""Placement of waiting steps and speculative copies on workers.

The functions do no I/O; they record claims in the cluster state.
"""

from dataclasses import dataclass, field

from bergamotshore.core.work.copies import list_late_runs
from bergamotshore.core.work.crashes import MAX_TRIAL_WAIT_SECONDS, Trials
from bergamotshore.core.work.gangs import place_gang
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.patience import WaitDecisions
from bergamotshore.core.work.placing import choose_least_disturbed_worker, choose_worker
from bergamotshore.core.work.runslots import has_slot, list_workers_with_slot
from bergamotshore.core.work.tails import PAST_HIGH, order_tasks
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
# Tasks started in one pass for each worker, and at least, so that the pass ends soon.
# The others are started in the next one, which follows within 0.05 s.
STARTS_PER_WORKER = 20
MIN_STARTS_PER_PASS = 500
# Steps of no job, one of each kind that is placed in its own way.
PROBE_STEPS = (
    Step(tasks=1, cpu=1, label="probe", rack="probe"),
    Step(tasks=1, cpu=1, image="probe", is_filling=True),
    Step(tasks=1, cpu=1, image="probe", goal_ms=1.0),
)
# A long-running task has to run again within 6 s. After this wait it is started on a
# worker in quarantine if no other one has capacity, in seconds; runs of lower priority
# have been preempted by then where that is possible.
QUARANTINE_LIMIT_SECONDS = 3.0


def plan_starts(view, waiting=None):
    """Claim workers for all tasks that can start now.

    :param waiting: ``WaitingStep`` objects in scheduling order, if known.
    :returns: Pair of a list of claims, each as worker and ``Allocation``, and a list of
        ``AdviceQuery`` for the advice service.
    """
    waiting = list_waiting(view) if waiting is None else waiting
    view.cluster.record_waiting(waiting, view.now)
    workers = view.cluster.worker_by_node.values()
    limit = STARTS_PER_WORKER * len(workers)
    starts = StartPlan(
        group_workers(view),
        Trials(view),
        WaitDecisions(view),
        max(MIN_STARTS_PER_PASS, limit),
        max((len(worker.allocation_by_key) for worker in workers), default=0),
    )
    for item in waiting:
        try:
            _plan_item(view, item, starts)
        except Exception as error:
            _leave_out(view, item, starts, error)
    starts.claimed += _place_overdue_tasks(view, waiting, starts)
    return starts.claimed, starts.questions


@dataclass(slots=True)
class StartPlan:
    """Starts planned so far in a pass.

    :param workers_by_service: ``WorkerState`` objects by service.
    :param trials: ``Trials`` of suspects.
    :param waits: ``WaitDecisions`` for near places.
    :param limit: Number of starts after which no further step is planned.
    :param most_runs: Most runs of a worker at the begin of the pass.
    :param claimed: Pairs of worker and ``Allocation``.
    :param questions: ``AdviceQuery`` objects.
    :param unplaceable: ``UnplaceableSizes``.
    """

    workers_by_service: dict
    trials: Trials
    waits: WaitDecisions
    limit: int
    most_runs: int
    claimed: list = field(default_factory=list)
    questions: list = field(default_factory=list)
    unplaceable: object = field(default_factory=lambda: UnplaceableSizes())

    def may_lack_slots(self, slots):
        """Return whether a job may have no slot at some worker, see ``runslots``."""
        return 2 * (self.most_runs + len(self.claimed)) >= slots

    @property
    def left(self):
        """Return how many further tasks may be started in this pass."""
        return max(0, self.limit - len(self.claimed))


def _plan_item(view, item, starts):
    """Claim workers for the tasks of one step."""
    if starts.unplaceable.covers(item, view.cluster) and not _is_starving(view, item):
        return
    workers = _list_open(view, item, starts.workers_by_service)
    if _needs_advice(item, view.cluster):
        question = _plan_question(view, item, workers)
        starts.questions += [question] if question is not None else []
        workers = _list_permitted(view, item, workers)
    if not workers or not starts.left:
        return
    if item.step.is_gang:
        placed = place_gang(view, item, workers, starts.waits)
        for worker, allocation in placed:
            allocation.ticket = _get_ticket(view, item, worker)
    else:
        placed, is_short = _place_tasks(view, item, workers, starts)
        if is_short:
            starts.unplaceable.record(item, view.cluster)
    starts.claimed += placed


def _get_ticket(view, item, worker):
    return view.cluster.advice.get_ticket(item.key, worker.incarnation, view.now)


def _leave_out(view, item, starts, error):
    """Plan a step again without the workers that raise errors, or leave it out.

    Whether a worker raises errors is tested with steps that belong to no job: the
    values of the step itself may raise on some workers and not on others.
    """
    view.collector.check(error)
    unsound_workers = [
        worker
        for workers in starts.workers_by_service.values()
        for worker in workers
        if not _is_sound(view, worker)
    ]
    for worker in unsound_workers:
        view.collector.record("starts", worker.node, error)
    if not unsound_workers:
        view.collector.record("starts", item.progress.key, error)
        return
    starts.workers_by_service = group_workers(view)
    with view.containing("starts", item.progress.key):
        _plan_item(view, item.refresh(), starts)


def _is_sound(view, worker):
    """Return whether a worker can be compared with others for steps of each kind."""
    try:
        for step in PROBE_STEPS:
            choose_worker(step, [worker], {}, view.cluster.interference)
            choose_least_disturbed_worker(step, [worker], view.cluster.interference)
            worker.could_fit(step)
    except Exception:
        return False
    return True


def _place_overdue_tasks(view, waiting, starts):
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
        with view.containing("starts", item.progress.key):
            workers = _list_open(view, item, workers_by_service)
            if _needs_advice(item, view.cluster):
                workers = _list_permitted(view, item, workers)
            claimed += _place_tasks(view, item.refresh(), workers, starts)[0]
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


def plan_copies(view, waiting=None):
    """Claim workers for speculative copies of late runs.

    Has to be called after ``plan_starts``, so that copies only use capacity for which
    no other task waits.

    :param waiting: ``WaitingStep`` objects from before ``plan_starts``, if known.
    :returns: List of triples of ``LateRun``, worker and the ``Allocation`` of the copy.
    """
    late = list_late_runs(view)
    workers_by_service = group_workers(view) if late else {}
    if any(run.sign == PAST_HIGH for run in late):
        late = _leave_room(view, late, waiting)
    claimed = []
    for run in late:
        with view.containing("copies", run.progress.key):
            claimed += _plan_copy(view, run, workers_by_service)
    return claimed


def _leave_room(view, late, waiting):
    """Return the late runs without those for whose service tasks wait.

    A run past the high quantile of its kind still works, unlike other late ones, so
    its copy can wait.
    """
    cluster = view.cluster
    waiting = list_waiting(view) if waiting is None else waiting
    busy_services = {
        cluster.get_service(item.progress.spec)
        for item in waiting
        if item.progress.key not in view.collector.left_out and item.refresh().refs
    }
    return [
        run
        for run in late
        if run.sign != PAST_HIGH
        or cluster.get_service(run.progress.spec) not in busy_services
    ]


def _plan_copy(view, run, workers_by_service):
    """Claim a worker for the copy of a late run; return the triple in a list."""
    ref = run.allocation.ref
    item = WaitingStep(run.progress, ref.occurrence, ref.step, [ref], ())
    workers = _list_open(view, item, workers_by_service)
    if _needs_advice(item, view.cluster):
        workers = _list_permitted(view, item, workers)
    workers = list_workers_with_slot(view.cluster, item, workers)
    others = [worker for worker in workers if worker is not run.worker]
    if run.sign == PAST_HIGH:
        # Best-effort tasks don't give way to a copy of a run that works.
        cpu = item.step.cpu
        others = [worker for worker in others if worker.get_best_effort_cpu() >= cpu]
    worker = _choose_for_copy(view, run, item, others)
    if worker is None:
        return []
    ticket = _get_ticket(view, item, worker)
    allocation = view.cluster.claim(ref, worker, view.now)
    allocation.ticket = ticket
    if view.scheduling.tails:
        view.cluster.tails.record_copy(ref, allocation.number, run.sign)
    return [(run, worker, allocation)]


def _choose_for_copy(view, run, item, workers):
    """Return a worker for the copy of a late run, or None.

    On another slow worker, a copy of a run that works would be as late.
    """
    counts = count_runs_by_node(item)
    places, interference = view.cluster.places, view.cluster.interference
    worker = choose_worker(item.step, workers, counts, interference)
    if run.sign != PAST_HIGH:
        return worker
    # Only the chosen ones are judged, because judging all takes longer than a choice.
    while worker is not None and places.is_slow(worker.node, view.now):
        workers = [other for other in workers if other is not worker]
        worker = choose_worker(item.step, workers, counts, interference)
    return worker


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
    policy = view.cluster.get_queue(item.progress.spec.queue).advice
    return view.cluster.advice.plan_query(item.key, name, fitting, policy, view.now)


def _place_tasks(view, item, workers, starts):
    """Claim workers for the tasks of a step.

    Tasks that wait for a place near their data get none.

    :returns: Pair of a list of claims and whether no worker has capacity for more;
        workers that are closed because of a trial may have it.
    """
    claimed = []
    trials = starts.trials
    may_wait = not _needs_advice(item, view.cluster)
    counts = count_runs_by_node(item)
    has_waited = _has_waited(view, item)
    slots = view.cluster.slots
    untried = trials.list_suspects(item, has_waited)
    is_short = False
    with_slot = workers
    if starts.may_lack_slots(slots):
        with_slot = list_workers_with_slot(view.cluster, item, workers)
    has_lost_slots = len(with_slot) < len(workers)
    workers = with_slot
    for ref in order_tasks(view, item):
        if len(claimed) >= starts.left:
            break
        if ref in untried:
            untried.discard(ref)
            claimed += _try_suspect(view, item, ref, workers, counts, trials)
            continue
        worker = _choose_worker(view, item, workers, counts, trials, has_waited)
        if worker is None:
            is_short = True
            break
        near = trials.list_open(workers)
        # A step waits as a whole, so that nothing changes for its next tasks.
        if may_wait and starts.waits.holds_back(item, ref, worker, near, counts):
            break
        claimed.append(_claim(view, item, ref, worker, counts))
        if not has_slot(worker, ref.job, slots):
            workers = [other for other in workers if other is not worker]
            has_lost_slots = True
    # Suspects may use other workers than the rest.
    for ref in item.refs.list_touched() if untried else ():
        if ref in untried:
            claimed += _try_suspect(view, item, ref, workers, counts, trials)
    is_short &= not has_lost_slots and (has_waited or not trials.nodes)
    return claimed, is_short


def _claim(view, item, ref, worker, counts):
    """Claim a worker for a task; return worker and ``Allocation``."""
    ticket = _get_ticket(view, item, worker)
    allocation = view.cluster.claim(ref, worker, view.now)
    allocation.ticket = ticket
    counts[worker.node] = counts.get(worker.node, 0) + 1
    return worker, allocation


def _try_suspect(view, item, ref, workers, counts, trials):
    """Claim a worker for a suspect where no other one is; return it in a list."""
    worker = trials.choose_worker(item, workers, counts, _has_waited(view, item))
    if worker is None:
        return []
    trials.record(worker)
    return [_claim(view, item, ref, worker, counts)]


def _has_waited(view, item):
    """Return whether a step has waited for a trial for too long."""
    waited = view.now - view.cluster.get_waiting_since(item)
    return waited > MAX_TRIAL_WAIT_SECONDS


def _choose_worker(view, item, workers, counts, trials, has_waited):
    """Return a worker for a task that isn't on trial, or None."""
    step, interference = item.step, view.cluster.interference
    open_workers = trials.list_open(workers)
    worker = choose_worker(step, open_workers, counts, interference)
    if worker is None and has_waited:
        open_workers = workers
        worker = choose_worker(step, open_workers, counts, interference)
    if worker is None and _is_starving(view, item):
        worker = choose_least_disturbed_worker(step, open_workers, interference)
    return worker


def _is_starving(view, item):
    """Return whether a best-effort step has waited too long and its job has no run."""
    if not item.step.is_filling:
        return False
    since = view.cluster.get_waiting_since(item)
    return view.now - since > BEST_EFFORT_STARVATION_SECONDS and not any(
        True for _ in item.progress.list_runs()
    )
