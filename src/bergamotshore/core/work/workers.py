"""Worker state as known to the scheduler: capacity, allocations and free resources."""

from dataclasses import dataclass, field

from bergamotshore.core.work.containment import changes_state
from bergamotshore.core.work.model import Step, TaskRef, WorkerSize

# Share of its requested processors that a latency-critical task leaves idle on average.
LATENCY_CRITICAL_IDLE_SHARE = 0.58
# Workers report usage and latency as means over this time, in seconds.
USAGE_WINDOW_SECONDS = 0.5


@dataclass(slots=True)
class Allocation:
    """Resources of a worker allocated to a run until the run is proven to be over.

    :param ref: ``TaskRef``.
    :param name: Name of the task at the worker.
    :param number: Number of the run.
    :param step: ``Step`` of the task.
    :param born: Start time of the worker incarnation that it was claimed on, in ms.
    :param priority: Priority of its queue.
    :param revision: Revision of the job that includes the claim.
    :param stream: Stream on which the start order was sent; None before that.
    :param sent_at: When the start order was sent, in seconds; 0 before that.
    :param is_started: Whether the node has confirmed the start.
    :param started_at: When it was first known to be running, in seconds.
    :param percent: Last reported progress.
    :param first_reported_at: Time of the first progress report, in seconds; 0 before
        that.
    :param first_reported_percent: Progress in that report; more than 0 for a run
        that resumed or that an earlier scheduler started.
    :param progressed_at: When the progress last changed, in seconds.
    :param usage: Last reported tail latency in ms, or processors in use.
    :param worked_from: Time of the first report of its work, in seconds; 0 before that.
    :param worked_from_percent: Progress in that report.
    :param worked_until: Time of the last report of its work, in seconds.
    :param worked_seconds: Time that its work between these takes at full speed, in
        seconds; NaN when a report had no usable figure.
    :param throttle_percent: Share of its full speed allowed by the last throttle
        order, in percent; None while it is unknown.
    :param stop_sent_at: When a stop order was last sent, in seconds; 0 for never.
    :param checkpoint: Newest reported checkpoint.
    :param ticket: Ticket of the advice service; empty when none is needed.
    :param is_crash_recorded: Whether the crash of its worker has been recorded.
    """

    ref: TaskRef
    name: str
    number: int
    step: Step
    born: int
    priority: int = 0
    revision: int = 0
    stream: object = None
    sent_at: float = 0.0
    is_started: bool = False
    started_at: float = 0.0
    percent: int = 0
    first_reported_at: float = 0.0
    first_reported_percent: int = 0
    progressed_at: float = 0.0
    usage: float = 0.0
    worked_from: float = 0.0
    worked_from_percent: int = 0
    worked_until: float = 0.0
    worked_seconds: float = 0.0
    throttle_percent: int | None = 100
    stop_sent_at: float = 0.0
    checkpoint: str = ""
    ticket: str = ""
    is_crash_recorded: bool = False

    @property
    def key(self):
        """Return the key of the run, unique on its worker."""
        return (self.name, self.number)


@dataclass(slots=True)
class WorkerState:
    """State of one worker, as reported by the node next to it.

    :param node: Name of the node.
    :param zone: Data centre.
    :param stream: Stream to the node; None while disconnected.
    :param incarnation: ``WorkerIncarnation``; None before the first report.
    :param service: Service that it belongs to.
    :param size: ``WorkerSize``; None while it is unknown. Such a worker gets no new
        runs, and what it runs is left as it is.
    :param labels: Tuple of labels.
    :param rack: Rack; empty when unknown.
    :param machine: VM that it runs on; empty when unknown.
    :param is_draining: Whether it is about to shut down.
    :param leaves_at: When it may shut down, in seconds; 0 when it does not.
    :param is_reachable: Whether a heartbeat of its node arrived recently.
    :param is_answering: Whether the worker answers its node.
    :param has_right: Whether its node may extend the worker's lease.
    :param has_failed_report: Whether its last report could not be applied as a whole.
    :param reported_at: When the worker last reported its runs, in seconds.
    :param allocation_by_key: ``Allocation`` by name and number.
    :param runs_by_job: Number of its runs by key of the job.
    :param unknown_runs: Keys of reported runs that no job has claimed.
    :param last_recorded_sequence: Highest completion sequence recorded by this
        scheduler.
    :param acknowledged: Highest completion sequence that the worker may discard.
    :param latency_critical_tasks: Number of latency-critical tasks.
    :param latency_critical_cpu: Processors requested by those, in thousandths.
    :param latency_critical_by_image: Number of latency-critical tasks by image.
    :param best_effort_tasks: Number of best-effort tasks.
    :param best_effort_cpu: Processors requested by those, in thousandths.
    :param ended_best_effort: Pairs of ``Allocation`` and time of end, in seconds, of
        the best-effort tasks that ended within the last window of usage.
    :param is_throttle_stale: Whether load or report changed since throttles were
        planned.
    """

    node: str
    zone: str
    stream: object = None
    incarnation: object = None
    service: str = ""
    size: WorkerSize | None = None
    labels: tuple = ()
    rack: str = ""
    machine: str = ""
    is_draining: bool = False
    leaves_at: float = 0.0
    is_reachable: bool = False
    is_answering: bool = False
    has_right: bool = False
    has_failed_report: bool = False
    reported_at: float = 0.0
    allocation_by_key: dict = field(default_factory=dict)
    runs_by_job: dict = field(default_factory=dict)
    unknown_runs: set = field(default_factory=set)
    last_recorded_sequence: int = 0
    acknowledged: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    used_accelerators: int = 0
    latency_critical_tasks: int = 0
    latency_critical_cpu: int = 0
    latency_critical_by_image: dict = field(default_factory=dict)
    best_effort_tasks: int = 0
    best_effort_cpu: int = 0
    ended_best_effort: list = field(default_factory=list)
    is_throttle_stale: bool = True

    @changes_state
    def allocate(self, allocation):
        """Allocate resources to a run."""
        self.free(allocation.key)
        self.allocation_by_key[allocation.key] = allocation
        job = allocation.ref.job
        self.runs_by_job[job] = self.runs_by_job.get(job, 0) + 1
        self.used_cpu += allocation.step.reserved_cpu
        self.used_memory += allocation.step.memory
        self.used_accelerators += allocation.step.accelerators

        self._count(allocation.step, 1)

    def _count(self, step, sign):
        self.is_throttle_stale = True
        if step.goal_ms:
            self.latency_critical_tasks += sign
            self.latency_critical_cpu += sign * step.cpu
            count = self.latency_critical_by_image.get(step.image, 0) + sign
            self.latency_critical_by_image[step.image] = count
        if step.is_filling:
            self.best_effort_tasks += sign
            self.best_effort_cpu += sign * step.cpu

    def forget_limits(self):
        """Forget the speed limits of best-effort tasks, so that they are sent again."""
        for run in self.allocation_by_key.values():
            if run.step.is_filling:
                run.throttle_percent = None
        self.is_throttle_stale = True

    def record_ended_best_effort(self, allocation, now):
        """Record the end of a best-effort task, whose usage latencies still show."""
        recent = [
            (run, ended_at)
            for run, ended_at in self.ended_best_effort
            if now - ended_at < USAGE_WINDOW_SECONDS
        ]
        self.ended_best_effort = [*recent, (allocation, now)]

    def count_other_latency_critical(self, image):
        """Return the number of latency-critical tasks of other images."""
        return self.latency_critical_tasks - self.latency_critical_by_image.get(
            image, 0
        )

    def get_best_effort_cpu(self):
        """Return the processors left for further best-effort tasks, in thousandths.

        The size of the worker has to be known. Latency-critical tasks leave part of the
        processors that they request idle.
        """
        used = self.used_cpu - self.latency_critical_cpu * LATENCY_CRITICAL_IDLE_SHARE
        return self.size.cpu - used - self.best_effort_cpu

    @changes_state
    def free(self, key):
        """Free the resources of a run; return its ``Allocation``, or None."""
        allocation = self.allocation_by_key.pop(key, None)
        if allocation is not None:
            job = allocation.ref.job
            self.runs_by_job[job] -= 1
            if not self.runs_by_job[job]:
                del self.runs_by_job[job]
            self.used_cpu -= allocation.step.reserved_cpu
            self.used_memory -= allocation.step.memory
            self.used_accelerators -= allocation.step.accelerators
            self._count(allocation.step, -1)
        return allocation

    def fits(self, step):
        """Return whether the free resources suffice for a task of a step."""
        return self.size is not None and self.size.covers(
            self.used_cpu + step.reserved_cpu,
            self.used_memory + step.memory,
            self.used_accelerators + step.accelerators,
        )

    @property
    def is_overcommitted(self):
        """Return whether its runs reserve more than it has; its size is known.

        A worker may shrink while tasks run on it. They run on, but none is started.
        """
        return not self.size.covers(
            self.used_cpu, self.used_memory, self.used_accelerators
        )

    def could_fit(self, step):
        """Return whether the worker could run a task of a step if it were empty."""
        return (
            self.size is not None
            and self.size.covers(step.cpu, step.memory, step.accelerators)
            and (not step.label or step.label in self.labels)
        )

    @property
    def is_schedulable(self):
        """Return whether it can take new runs: reachable, of known size and runs."""
        return (
            self.stream is not None
            and self.is_reachable
            and self.is_answering
            and self.has_right
            and self.size is not None
            and not self.is_draining
            and not self.unknown_runs
            and not self.has_failed_report
        )

    @property
    def cpu_share(self):
        """Return the share of its processors that is allocated; 1 if unknown."""
        return 1.0 if self.size is None else self.size.get_share(self.used_cpu)
