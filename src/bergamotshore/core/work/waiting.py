"""Steps that wait for placement in scheduling order, and the workers open to them."""

from dataclasses import dataclass, field, replace

from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.model import UNKNOWN_SECONDS
from bergamotshore.core.work.tails import order_chains
from bergamotshore.generated.settings import Scheduling

# A job is oversized if its work takes all workers this many times its critical path.
OVERSIZE_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class PlanView:
    """Input of one planning pass.

    :param cluster: ``ClusterState``.
    :param site: ``SiteState``.
    :param now: Current time, in seconds.
    :param wall: Wall clock, in seconds.
    :param is_excluded: Callable ``(node, now) -> bool`` that returns whether a node is
        excluded from new work.
    :param is_urgent_by_draining_node: Whether the drain is urgent, by node that is
        being drained for maintenance.
    :param slow_keys: Keys of runs that would finish earlier on another worker.
    :param scheduling: ``Scheduling``: the decisions under load that are switched on.
    :param spread_factor: Factor by which tasks take longer away from their data or
        their group.
    :param collector: ``ErrorCollector`` of the errors that are contained in the pass;
        the default raises them.
    """

    cluster: object
    site: object
    now: float
    wall: float
    is_excluded: object
    is_urgent_by_draining_node: dict = field(default_factory=dict)
    slow_keys: frozenset = frozenset()
    scheduling: Scheduling = Scheduling()
    spread_factor: float = 1.0
    collector: ErrorCollector = field(
        default_factory=lambda: ErrorCollector(is_strict=True)
    )

    @property
    def errors(self):
        """Return the ``ContainedError`` objects of the pass."""
        return self.collector.errors

    def containing(self, part, subject):
        """Return a context manager that leaves out a job or worker that raises."""
        return self.collector.containing(part, subject)


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """Tasks of one step that wait for a worker.

    :param progress: ``JobProgress``.
    :param occurrence: Index of the occurrence.
    :param number: Index of the step.
    :param refs: Sequence of references to its waiting tasks, see ``WaitingTasks``.
    :param rank: Sort key; the smallest is placed first.
    """

    progress: object
    occurrence: int
    number: int
    refs: list
    rank: tuple

    @property
    def key(self):
        """Return the key that identifies the step of an occurrence."""
        return (self.progress.key, self.occurrence, self.number)

    @property
    def step(self):
        """Return the ``Step``."""
        return self.progress.spec.steps[self.number]

    def refresh(self):
        """Return it with the tasks that still wait, after some were claimed."""
        refs = self.progress.list_waiting(self.occurrence, self.number)
        return replace(self, refs=refs)


def list_waiting(view):
    """Return the ``WaitingStep`` that a pass looks at, in scheduling order.

    These are all, unless there are too many, see ``JobWindow``.
    """
    if view.scheduling.order == "value":
        view.cluster.job_order.refresh(view)
    capacity_by_service = measure_capacity(view)
    jobs = []
    for progress in view.cluster.job_by_key.values():
        if progress.key in view.collector.left_out:
            continue
        try:
            progress.open_due_occurrences(view.wall)
            jobs.append((progress, progress.count_ready_steps()))
        except Exception as error:
            view.collector.record("waiting", progress.key, error)
    waiting = []
    for progress in view.cluster.job_window.choose(
        jobs, view.now, lambda job: _get_job_rank(view, job, capacity_by_service)
    ):
        try:
            waiting += _list_waiting_of_job(view, progress, capacity_by_service)
        except Exception as error:
            view.collector.record("waiting", progress.key, error)
    waiting.sort(key=lambda item: item.rank)
    return order_chains(view, waiting)


def _list_waiting_of_job(view, progress, capacity_by_service):
    waiting = []
    time_limit = _get_time_limit(view, progress, capacity_by_service)
    for occurrence, number in progress.list_ready_steps():
        refs = progress.list_waiting(occurrence, number)
        if refs:
            rank = _get_rank(view, progress, occurrence, number, time_limit)
            waiting.append(WaitingStep(progress, occurrence, number, refs, rank))
    return waiting


def _get_time_limit(view, progress, capacity_by_service):
    """Return the time within which a job is to end, in seconds.

    A job that the whole service works at for many times its critical path goes after
    the others, which would wait for all of it otherwise.
    """
    spec = progress.spec
    queue = view.cluster.get_queue(spec.queue)
    seconds = progress.critical_path
    capacity = capacity_by_service.get(view.cluster.get_service(spec))
    if capacity is not None:
        occurrences = progress.opened_occurrences - progress.finished_occurrences
        working_seconds = occurrences * get_working_seconds(progress.work, capacity)
        if working_seconds > OVERSIZE_FACTOR * max(seconds, UNKNOWN_SECONDS):
            seconds = working_seconds
    return seconds if queue is None else queue.stretch * seconds + queue.slack


def _get_job_rank(view, progress, capacity_by_service):
    """Return the sort key of the first step of a job that may wait.

    A job that raises errors goes first, so that it is left out.
    """
    steps = progress.spec.steps
    number = next((n for n, step in enumerate(steps) if step.is_lasting), 0)
    try:
        time_limit = _get_time_limit(view, progress, capacity_by_service)
        occurrence = progress.finished_occurrences
        return (True, *_get_rank(view, progress, occurrence, number, time_limit))
    except Exception as error:
        view.collector.check(error)
        return (False,)


def _get_rank(view, progress, occurrence, number, time_limit):
    spec = progress.spec
    queue = view.cluster.get_queue(spec.queue)
    priority = queue.priority if queue is not None else 0
    due = spec.get_due_time(occurrence) if spec.repeats else spec.accepted_at
    is_lasting = spec.steps[number].is_lasting
    order = (due + time_limit,)
    if view.scheduling.order == "value" and not is_lasting:
        order = view.cluster.job_order.get_rank(spec.key, occurrence)
    share_band = _get_share_band(view, spec.queue)
    return (priority, not is_lasting, share_band, *order, spec.key)


def _get_share_band(view, queue):
    """Return the rank that a queue has by its share of the capacity."""
    shares = getattr(view.cluster, "shares", None)
    return 0 if shares is None else shares.get_band(queue)


def measure_capacity(view):
    """Return the whole size of the workers, by service.

    :returns: Tuples of processors in thousandths, memory in MB, accelerators and runs.
    """
    capacity_by_service = {}
    slots = view.cluster.slots
    for worker in view.cluster.list_sized_workers():
        with view.containing("workers", worker.node):
            size = worker.size
            sizes = (size.cpu, size.memory, size.accelerators, slots)
            total = capacity_by_service.get(worker.service, (0, 0, 0, 0))
            capacity_by_service[worker.service] = tuple(
                former + more for former, more in zip(total, sizes, strict=True)
            )
    return capacity_by_service


def get_working_seconds(work, capacity):
    """Return how long all workers need for some work at least, in seconds.

    :param work: Work, see ``sum_work``.
    :param capacity: Whole size of the workers, see ``measure_capacity``.
    """
    shares = zip(work, capacity, strict=True)
    return max((amount / total for amount, total in shares if total), default=0.0)


def group_workers(view, has_quarantine=True):
    """Return lists of the workers that may receive new work, by service.

    :param has_quarantine: Whether workers in quarantine are left out.
    """
    groups = {}
    for worker in view.cluster.worker_by_node.values():
        if worker.node in view.collector.left_out:
            continue
        with view.containing("workers", worker.node):
            if _is_open(view, worker, has_quarantine):
                groups.setdefault(worker.service, []).append(worker)
    return groups


def _is_open(view, worker, has_quarantine):
    is_excluded = worker.node in view.is_urgent_by_draining_node or (
        has_quarantine and view.is_excluded(worker.node, view.now)
    )
    is_in_open_zone = worker.zone not in view.site.closed_zones
    return worker.is_schedulable and is_in_open_zone and not is_excluded


def count_runs_by_node(item):
    """Return the number of possibly active runs of a step by node."""
    counts = {}
    tasks = item.progress.get_step_tasks(item.occurrence, item.number)
    for task in tasks.iterate_touched():
        for run in task.runs:
            counts[run.node] = counts.get(run.node, 0) + 1
    return counts


def list_eligible_workers(view, item, workers_by_service):
    """Return the workers of a step's service that have the required label."""
    service = view.cluster.get_service(item.progress.spec)
    workers = workers_by_service.get(service, [])
    if not item.step.label:
        return workers
    return [worker for worker in workers if item.step.label in worker.labels]
