"""Workers as the scheduler sees them: size, what they hold, what is free."""

from dataclasses import dataclass, field

from bergamotshore.core.work.model import Step, TaskRef

# Part of the processors of a serving task that it leaves unused on average.
SERVING_UNUSED_SHARE = 0.5


@dataclass(slots=True)
class Allocation:
    """A run that takes room on a worker until it is proven to be over.

    :param ref: ``TaskRef``.
    :param name: Name of the task at the worker.
    :param number: Number of the run.
    :param step: ``Step`` that it belongs to.
    :param born: Start of the worker's life that it was claimed on, in ms.
    :param priority: Priority of its queue.
    :param revision: Revision of the job that holds the claim.
    :param stream: Stream on which the order was sent; None before that.
    :param sent_at: When the order was sent, in seconds; 0 before that.
    :param is_started: Whether the node has confirmed the start.
    :param started_at: When it was first seen to run, in seconds.
    :param percent: Progress as listed.
    :param first_reported_at: When it was first listed, in seconds; 0 before that.
    :param first_reported_percent: Progress at that time; more than 0 for a run that resumed or
        that an earlier scheduler started.
    :param progressed_at: When the progress last changed, in seconds.
    :param usage: Tail latency in ms or processors in use, as listed.
    :param throttle_percent: Share of its speed that it was last allowed, in percent.
    :param stop_sent_at: When it was last told to stop, in seconds; 0 for never.
    :param checkpoint: Newest checkpoint listed.
    :param ticket: Permission to run there; empty when none is needed.
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
    throttle_percent: int = 100
    stop_sent_at: float = 0.0
    checkpoint: str = ""
    ticket: str = ""

    @property
    def key(self):
        """Return the key of the run on its worker."""
        return (self.name, self.number)


@dataclass(slots=True)
class WorkerState:
    """One worker, known through the node beside it.

    :param node: Name of the node.
    :param zone: Data centre.
    :param stream: Stream to the node; None while there is none.
    :param incarnation: ``WorkerIncarnation``; None before the first report.
    :param service: Service that it belongs to.
    :param cpu: Processors, in thousandths.
    :param memory: Memory, in MB.
    :param accelerators: Accelerators.
    :param labels: Labels.
    :param rack: Rack that it stands in; empty when unknown.
    :param machine: VM that it runs on; empty when unknown.
    :param is_draining: Whether it is about to leave.
    :param leaves_at: When it may leave, in seconds; 0 when it does not.
    :param is_reachable: Whether its node was heard a moment ago.
    :param is_answering: Whether the worker answers its node.
    :param has_right: Whether its node may extend the lease there.
    :param reported_at: When its worker last listed what runs, in seconds.
    :param allocation_by_key: ``Allocation`` by name and number.
    :param unknown_runs: Runs listed there that no job claims.
    :param last_recorded_sequence: Highest end sequence taken in, by this scheduler.
    :param acknowledged: Highest end sequence that may be forgotten.
    :param latency_critical_tasks: Number of tasks with a goal for their tail latency.
    :param latency_critical_cpu: Processors that those asked for, in thousandths.
    :param latency_critical_by_image: Number of those by image.
    :param best_effort_tasks: Number of tasks that use what others leave unused.
    :param is_throttle_stale: Whether load or report are new since paces were planned.
    """

    node: str
    zone: str
    stream: object = None
    incarnation: object = None
    service: str = ""
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    labels: tuple = ()
    rack: str = ""
    machine: str = ""
    is_draining: bool = False
    leaves_at: float = 0.0
    is_reachable: bool = False
    is_answering: bool = False
    has_right: bool = False
    reported_at: float = 0.0
    allocation_by_key: dict = field(default_factory=dict)
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
    is_throttle_stale: bool = True

    def allocate(self, allocation):
        """Take room for a run."""
        self.allocation_by_key[allocation.key] = allocation
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

    def count_other_latency_critical(self, image):
        """Return the number of serving tasks of other images."""
        return self.latency_critical_tasks - self.latency_critical_by_image.get(
            image, 0
        )

    def get_best_effort_cpu(self):
        """Return what filling tasks can get beside those that are here, in thousandths.

        Tasks that serve leave part of what they asked for unused.
        """
        used = self.used_cpu - self.latency_critical_cpu * SERVING_UNUSED_SHARE
        return self.cpu - used - self.best_effort_cpu

    def free(self, key):
        """Give back the room of a run; returns its ``Allocation`` or None."""
        allocation = self.allocation_by_key.pop(key, None)
        if allocation is not None:
            self.used_cpu -= allocation.step.reserved_cpu
            self.used_memory -= allocation.step.memory
            self.used_accelerators -= allocation.step.accelerators
            self._count(allocation.step, -1)
        return allocation

    def fits(self, step):
        """Tell whether a task of a step has room."""
        return (
            self.used_cpu + step.reserved_cpu <= self.cpu
            and self.used_memory + step.memory <= self.memory
            and self.used_accelerators + step.accelerators <= self.accelerators
        )

    def could_fit(self, step):
        """Tell whether an empty worker of this size holds a task of a step."""
        return (
            step.cpu <= self.cpu
            and step.memory <= self.memory
            and step.accelerators <= self.accelerators
            and (not step.label or step.label in self.labels)
        )

    @property
    def is_schedulable(self):
        """Tell whether orders reach it and all that it holds is known."""
        return (
            self.stream is not None
            and self.is_reachable
            and self.is_answering
            and self.has_right
            and self.cpu > 0
            and not self.is_draining
            and not self.unknown_runs
        )

    @property
    def cpu_share(self):
        """Return the share of its processors that is taken."""
        return self.used_cpu / self.cpu if self.cpu else 1.0
