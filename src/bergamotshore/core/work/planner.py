"""What to start, where, and what to stop: pure functions over the board."""

from dataclasses import dataclass

from bergamotshore.core.work.copies import list_late
from bergamotshore.core.work.pacing import get_expected_pace
from bergamotshore.core.work.stuck import is_stuck

# A stop that is not followed by an end is sent again after this time, in seconds;
# workers take 0.2 s to stop a task.
STOP_AGAIN_SECONDS = 1.0
# A filling task waits for another worker rather than get less than this share of its
# processors.
LEAST_FILLING_SHARE = 0.35
# A job of which nothing runs gets one filling task started after this wait, in seconds,
# wherever it disturbs least, so that none is left behind.
LONGEST_FILLING_WAIT = 1.5
# A filling task goes beside serving ones only where it can work at this share of its
# speed, on average.
LEAST_PACE = 0.5


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


@dataclass(frozen=True, slots=True)
class PlanView:
    """What a plan is made from.

    :param board: ``Board``.
    :param site: ``SiteState``.
    :param now: Current time, in seconds.
    :param wall: Wall clock, in seconds.
    :param is_held: Tells whether a node gets no new work: ``(node, now) -> bool``.
    :param slow_keys: Keys of runs that would end earlier on another worker.
    """

    board: object
    site: object
    now: float
    wall: float
    is_held: object
    slow_keys: frozenset = frozenset()


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """Tasks of one step that wait for a worker.

    :param progress: ``JobProgress``.
    :param occurrence: Occurrence.
    :param number: Number of the step.
    :param refs: References of its waiting tasks.
    :param rank: Sort key; the smallest comes first.
    """

    progress: object
    occurrence: int
    number: int
    refs: list
    rank: tuple

    @property
    def key(self):
        """Return what tells this step from all others."""
        return (self.progress.key, self.occurrence, self.number)

    @property
    def step(self):
        """Return the ``Step``."""
        return self.progress.spec.steps[self.number]


def list_waiting(view):
    """Return every ``WaitingStep`` in the order in which they are placed."""
    waiting = []
    for progress in view.board.job_by_key.values():
        progress.open_due(view.wall)
        for occurrence, number in progress.list_ready_steps():
            refs = progress.list_waiting(occurrence, number)
            if refs:
                rank = _get_rank(view, progress, occurrence, number)
                waiting.append(WaitingStep(progress, occurrence, number, refs, rank))
    waiting.sort(key=lambda item: item.rank)
    return waiting


def _get_rank(view, progress, occurrence, number):
    spec = progress.spec
    queue = view.board.get_queue(spec.queue)
    priority = queue.priority if queue is not None else 0
    due = spec.get_due(occurrence) if spec.repeats else spec.accepted_at
    chain = get_chain(spec)
    allowed = chain if queue is None else queue.stretch * chain + queue.slack
    is_lasting = spec.steps[number].is_lasting
    return (priority, not is_lasting, due + allowed, spec.key)


def get_chain(spec):
    """Return the longest chain of declared work of a job, in seconds."""
    longest = []
    for step in spec.steps:
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + step.estimate)
    return max(longest)


def plan_starts(view):
    """Claim a worker for all that can start now.

    :returns: Pair of a list of worker and ``HeldRun`` claimed, and a list of
        ``Question`` for the advice service.
    """
    claimed = []
    questions = []
    workers_by_service = _group_workers(view)
    waiting = list_waiting(view)
    view.board.note_waiting(waiting, view.now)
    for item in waiting:
        workers = _list_labelled(view, item, workers_by_service)
        if _needs_advice(view, item):
            question = _plan_question(view, item, workers)
            questions += [question] if question is not None else []
            workers = _list_permitted(view, item, workers)
        if not workers:
            continue
        if item.step.is_gang:
            placed = _place_gang(view, item, workers)
        else:
            placed = _place_tasks(view, item, workers)
        for worker, held in placed:
            held.ticket = view.board.advice.get_ticket(item.key, worker.life, view.now)
        claimed += placed
    return claimed, questions


def plan_copies(view):
    """Claim a worker for a copy of each late run that may have one.

    To be called after ``plan_starts``: copies take only what nothing else waits for.

    :returns: List of triples of ``LateRun``, worker and ``HeldRun`` claimed.
    """
    late = list_late(view)
    workers_by_service = _group_workers(view) if late else {}
    claimed = []
    for run in late:
        ref = run.held.ref
        item = WaitingStep(run.progress, ref.occurrence, ref.step, [ref], ())
        workers = _list_labelled(view, item, workers_by_service)
        if _needs_advice(view, item):
            workers = _list_permitted(view, item, workers)
        others = [worker for worker in workers if worker is not run.worker]
        counts = _count_by_node(item)
        worker = choose_worker(item.step, others, counts, view.board.interference)
        if worker is not None:
            held = view.board.claim(ref, worker, view.now)
            held.ticket = view.board.advice.get_ticket(item.key, worker.life, view.now)
            claimed.append((run, worker, held))
    return claimed


def _list_labelled(view, item, workers_by_service):
    """Return the workers of a step's service that have the label it needs."""
    service = view.board.get_service(item.progress.spec)
    return [
        worker
        for worker in workers_by_service.get(service, ())
        if not item.step.label or item.step.label in worker.labels
    ]


def _list_permitted(view, item, workers):
    """Return the workers for which the advice service has given a ticket."""
    return [
        worker
        for worker in workers
        if view.board.advice.get_ticket(item.key, worker.life, view.now)
    ]


def _needs_advice(view, item):
    queue = view.board.get_queue(item.progress.spec.queue)
    return queue is not None and queue.advice is not None


def _plan_question(view, item, workers):
    fitting = [worker for worker in workers if worker.fits(item.step)]
    fitting.sort(key=lambda worker: worker.cpu_share)
    name = f"{item.progress.spec.job_id}.{item.occurrence}.{item.number}"
    return view.board.advice.plan_question(item.key, name, fitting, view.now)


def _group_workers(view):
    groups = {}
    for worker in view.board.worker_by_node.values():
        is_open = worker.zone not in view.site.closed_zones
        if worker.is_usable and is_open and not view.is_held(worker.node, view.now):
            groups.setdefault(worker.service, []).append(worker)
    return groups


def _place_tasks(view, item, workers):
    claimed = []
    counts = _count_by_node(item)
    for ref in item.refs:
        worker = choose_worker(item.step, workers, counts, view.board.interference)
        if worker is None and _is_starving(view, item, counts):
            worker = choose_any_worker(item.step, workers, view.board.interference)
        if worker is None:
            break
        held = view.board.claim(ref, worker, view.now)
        claimed.append((worker, held))
        counts[worker.node] = counts.get(worker.node, 0) + 1
    return claimed


def _is_starving(view, item, counts):
    """Tell whether a filling step has waited long and nothing of its job runs."""
    if not item.step.is_filling or counts:
        return False
    since = view.board.waiting_since(item)
    return view.now - since > LONGEST_FILLING_WAIT and not any(
        True for _ in item.progress.list_runs()
    )


def choose_any_worker(step, workers, interference):
    """Return the worker on which a filling task disturbs and is disturbed least."""
    fitting = [worker for worker in workers if worker.fits(step)]
    return min(
        fitting,
        key=lambda worker: (
            -get_expected_pace(worker, step, interference),
            worker.filling_cpu / max(1, worker.cpu),
        ),
        default=None,
    )


def _place_gang(view, item, workers):
    """Claim room for all members of a gang, or for none."""
    counts = _count_by_node(item)
    tasks = item.progress.tasks_by_occurrence[item.occurrence][item.number]
    if any(task.runs for task in tasks):
        return []
    number = item.progress.get_gang_number(item.occurrence, item.number)
    checkpoint = next((task.checkpoint for task in tasks if task.checkpoint), "")
    claimed = []
    for ref in item.refs:
        worker = choose_worker(item.step, workers, counts, view.board.interference)
        if worker is None:
            for holder, held in claimed:
                view.board.release(holder, held, "no-room-for-gang", view.now)
            return []
        item.progress.get_task(ref).checkpoint = checkpoint
        held = view.board.claim(ref, worker, view.now, number)
        claimed.append((worker, held))
        counts[worker.node] = counts.get(worker.node, 0) + 1
    return claimed


def _count_by_node(item):
    counts = {}
    for task in item.progress.tasks_by_occurrence[item.occurrence][item.number]:
        for run in task.runs:
            counts[run.node] = counts.get(run.node, 0) + 1
    return counts


def choose_worker(step, workers, counts, interference):
    """Return the best worker with room for a task of a step, or None.

    :param step: ``Step``.
    :param workers: Candidates.
    :param counts: Tasks of the step by node.
    :param interference: ``Interference``.
    """
    best = None
    best_cost = None
    for worker in workers:
        if not worker.fits(step):
            continue
        count = counts.get(worker.node, 0)
        if step.per_worker and count >= step.per_worker:
            continue
        cost = _get_cost(step, worker, interference)
        if cost is not None and (best is None or cost < best_cost):
            best, best_cost = worker, cost
    return best


def _get_cost(step, worker, interference):
    """Return the sort key of a worker for a task; None when it had better wait."""
    is_far = bool(step.rack) and step.rack not in worker.labels
    if step.is_filling:
        cost = _get_filling_cost(step, worker, interference)
        return None if cost is None else (is_far, *cost)
    if step.goal_ms:
        # Serving tasks stay together, so that filling tasks disturb nobody on the other
        # workers; those of one image do, as a filling task disturbs only some images.
        others = worker.count_other_serving(step.image)
        is_new = worker.serving == 0
        return (is_far, is_new, others, worker.filling, -worker.cpu_share)
    return (is_far, worker.serving == 0, worker.cpu_share)


def _get_filling_cost(step, worker, interference):
    unused = worker.get_unused_cpu()
    if worker.serving == 0:
        if unused < step.cpu * LEAST_FILLING_SHARE:
            return None
        return (False, -unused)
    expected = get_expected_pace(worker, step, interference)
    if expected < LEAST_PACE or unused < step.cpu:
        return None
    return (True, -min(1.0, expected))


def plan_stops(view):
    """Return the ``StopRun`` of runs that nobody wants.

    These are runs of cancelled and closed jobs, further copies of tasks that are done,
    and runs that no job claims.
    """
    stops = []
    for worker in view.board.worker_by_node.values():
        if worker.stream is None:
            continue
        for name, number in worker.unknown:
            stops.append(StopRun(worker.node, name, number, "unknown"))
        for held in worker.held_by_key.values():
            reason = _find_stop_reason(view, held, worker)
            is_sent = view.now - held.stop_sent_at < STOP_AGAIN_SECONDS
            if reason and not is_sent and held.sent_at:
                held.stop_sent_at = view.now
                stops.append(StopRun(worker.node, held.name, held.number, reason))
    return stops


def _find_stop_reason(view, held, worker):
    progress = view.board.job_by_key.get(held.ref.job)
    if progress is None:
        return "closed"
    if progress.is_cancelled:
        return "cancelled"
    if progress.outcome == "failed":
        return "failed"
    task = progress.get_task(held.ref)
    if task is None or task.is_done:
        return "done-elsewhere"
    if is_stuck(held, worker):
        view.board.note_stuck(worker, held, view.now)
        return "stuck"
    is_slow = held.key in view.slow_keys and not held.step.is_speculative
    if is_slow and _has_room_elsewhere(view, held, worker):
        return "slow"
    return ""


def _has_room_elsewhere(view, held, worker):
    """Tell whether a run could start at once on another worker."""
    return any(
        other.fits(held.step)
        and (not held.step.label or held.step.label in other.labels)
        for other in _group_workers(view).get(worker.service, ())
        if other is not worker
    )
