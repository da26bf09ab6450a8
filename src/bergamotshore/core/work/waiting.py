"""What waits for a worker, in the order in which it is placed."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PlanView:
    """What a plan is made from.

    :param cluster: ``ClusterState``.
    :param site: ``SiteState``.
    :param now: Current time, in seconds.
    :param wall: Wall clock, in seconds.
    :param is_held: Tells whether a node gets no new work: ``(node, now) -> bool``.
    :param is_urgent_by_draining_node: Whether time is short, by node that is emptied for its upkeep.
    :param slow_keys: Keys of runs that would end earlier on another worker.
    """

    cluster: object
    site: object
    now: float
    wall: float
    is_held: object
    is_urgent_by_draining_node: dict = field(default_factory=dict)
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
    for progress in view.cluster.job_by_key.values():
        progress.open_due_occurrences(view.wall)
        for occurrence, number in progress.list_ready_steps():
            refs = progress.list_waiting(occurrence, number)
            if refs:
                rank = _get_rank(view, progress, occurrence, number)
                waiting.append(WaitingStep(progress, occurrence, number, refs, rank))
    waiting.sort(key=lambda item: item.rank)
    return waiting


def _get_rank(view, progress, occurrence, number):
    spec = progress.spec
    queue = view.cluster.get_queue(spec.queue)
    priority = queue.priority if queue is not None else 0
    due = spec.get_due_time(occurrence) if spec.repeats else spec.accepted_at
    chain = get_critical_path_seconds(spec)
    allowed = chain if queue is None else queue.stretch * chain + queue.slack
    is_lasting = spec.steps[number].is_lasting
    return (priority, not is_lasting, due + allowed, spec.key)


def get_critical_path_seconds(spec):
    """Return the longest chain of declared work of a job, in seconds."""
    longest = []
    for step in spec.steps:
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + step.estimate)
    return max(longest)


def group_workers(view):
    """Return the workers that may get new work, as lists by service."""
    groups = {}
    for worker in view.cluster.worker_by_node.values():
        is_open = worker.zone not in view.site.closed_zones
        is_held = worker.node in view.is_urgent_by_draining_node or view.is_held(
            worker.node, view.now
        )
        if worker.is_schedulable and is_open and not is_held:
            groups.setdefault(worker.service, []).append(worker)
    return groups


def count_runs_by_node(item):
    """Return how many tasks of a step may be running, by node."""
    counts = {}
    for task in item.progress.tasks_by_occurrence[item.occurrence][item.number]:
        for run in task.runs:
            counts[run.node] = counts.get(run.node, 0) + 1
    return counts


def list_eligible_workers(view, item, workers_by_service):
    """Return the workers of a step's service that have the label it needs."""
    service = view.cluster.get_service(item.progress.spec)
    workers = workers_by_service.get(service, [])
    if not item.step.label:
        return workers
    return [worker for worker in workers if item.step.label in worker.labels]
