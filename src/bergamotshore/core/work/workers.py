"""Worker state as known to the scheduler: capacity, allocations and free resources."""

from dataclasses import dataclass, field

from bergamotshore.core.work.model import Step, TaskRef

# Share of its requested processors that a latency-critical task leaves idle on average.
LATENCY_CRITICAL_IDLE_SHARE = 0.5


@dataclass(slots=True)
class HeldRun:
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
    :param listed_at: Time of the first progress report, in seconds; 0 before
        that.
    :param listed_percent: Progress in that report; more than 0 for a run
        that resumed or that an earlier scheduler started.
    :param moved_at: When the progress last changed, in seconds.
    :param usage: Last reported tail latency in ms, or processors in use.
    :param pace: Share of its full speed allowed by the last throttle
        order, in percent.
    :param stop_sent_at: When a stop order was last sent, in seconds; 0 for never.
    :param checkpoint: Newest reported checkpoint.
    :param ticket: Ticket of the advice service; empty when none is needed.
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
    listed_at: float = 0.0
    listed_percent: int = 0
    moved_at: float = 0.0
    usage: float = 0.0
    pace: int = 100
    stop_sent_at: float = 0.0
    checkpoint: str = ""
    ticket: str = ""

    @property
    def key(self):
        """Return the key of the run, unique on its worker."""
        return (self.name, self.number)


@dataclass(slots=True)
class WorkerView:
    """State of one worker, as reported by the node next to it.

    :param node: Name of the node.
    :param zone: Data centre.
    :param stream: Stream to the node; None while disconnected.
    :param life: ``WorkerLife``; None before the first report.
    :param service: Service that it belongs to.
    :param cpu: Processors, in thousandths.
    :param memory: Memory, in MB.
    :param accelerators: Number of accelerators.
    :param labels: Tuple of labels.
    :param rack: Rack; empty when unknown.
    :param machine: VM that it runs on; empty when unknown.
    :param is_draining: Whether it is about to shut down.
    :param leaves_at: When it may shut down, in seconds; 0 when it does not.
    :param is_heard: Whether a heartbeat of its node arrived recently.
    :param is_answering: Whether the worker answers its node.
    :param has_right: Whether its node may extend the worker's lease.
    :param reported_at: When the worker last reported its runs, in seconds.
    :param held_by_key: ``HeldRun`` by name and number.
    :param unknown: Keys of reported runs that no job has claimed.
    :param seen_end: Highest completion sequence recorded by this
        scheduler.
    :param acknowledged: Highest completion sequence that the worker may discard.
    :param serving: Number of latency-critical tasks.
    :param serving_cpu: Processors requested by those, in thousandths.
    :param serving_by_image: Number of latency-critical tasks by image.
    :param filling: Number of best-effort tasks.
    :param filling_cpu: Processors requested by those, in thousandths.
    :param is_changed: Whether load or report changed since throttles were
        planned.
    """

    node: str
    zone: str
    stream: object = None
    life: object = None
    service: str = ""
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    labels: tuple = ()
    rack: str = ""
    machine: str = ""
    is_draining: bool = False
    leaves_at: float = 0.0
    is_heard: bool = False
    is_answering: bool = False
    has_right: bool = False
    reported_at: float = 0.0
    held_by_key: dict = field(default_factory=dict)
    unknown: set = field(default_factory=set)
    seen_end: int = 0
    acknowledged: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    used_accelerators: int = 0
    serving: int = 0
    serving_cpu: int = 0
    serving_by_image: dict = field(default_factory=dict)
    filling: int = 0
    filling_cpu: int = 0
    is_changed: bool = True

    def hold(self, held):
        """Allocate resources to a run."""
        self.held_by_key[held.key] = held
        self.used_cpu += held.step.counted_cpu
        self.used_memory += held.step.memory
        self.used_accelerators += held.step.accelerators

        self._count(held.step, 1)

    def _count(self, step, sign):
        self.is_changed = True
        if step.goal_ms:
            self.serving += sign
            self.serving_cpu += sign * step.cpu
            count = self.serving_by_image.get(step.image, 0) + sign
            self.serving_by_image[step.image] = count
        if step.is_filling:
            self.filling += sign
            self.filling_cpu += sign * step.cpu

    def count_other_serving(self, image):
        """Return the number of latency-critical tasks of other images."""
        return self.serving - self.serving_by_image.get(image, 0)

    def get_unused_cpu(self):
        """Return the processors left for further best-effort tasks, in thousandths.

        Latency-critical tasks leave part of the processors that they request idle.
        """
        used = self.used_cpu - self.serving_cpu * LATENCY_CRITICAL_IDLE_SHARE
        return self.cpu - used - self.filling_cpu

    def free(self, key):
        """Free the resources of a run; return its ``HeldRun``, or None."""
        held = self.held_by_key.pop(key, None)
        if held is not None:
            self.used_cpu -= held.step.counted_cpu
            self.used_memory -= held.step.memory
            self.used_accelerators -= held.step.accelerators
            self._count(held.step, -1)
        return held

    def fits(self, step):
        """Return whether the free resources suffice for a task of a step."""
        return (
            self.used_cpu + step.counted_cpu <= self.cpu
            and self.used_memory + step.memory <= self.memory
            and self.used_accelerators + step.accelerators <= self.accelerators
        )

    def could_hold(self, step):
        """Return whether the worker could run a task of a step if it were empty."""
        return (
            step.cpu <= self.cpu
            and step.memory <= self.memory
            and step.accelerators <= self.accelerators
            and (not step.label or step.label in self.labels)
        )

    @property
    def is_usable(self):
        """Return whether it can take new runs: reachable, with all its runs known."""
        return (
            self.stream is not None
            and self.is_heard
            and self.is_answering
            and self.has_right
            and self.cpu > 0
            and not self.is_draining
            and not self.unknown
        )

    @property
    def cpu_share(self):
        """Return the share of its processors that is allocated."""
        return self.used_cpu / self.cpu if self.cpu else 1.0
