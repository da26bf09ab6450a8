"""Job specifications that callers submit, task references, and sizes of workers."""

from dataclasses import dataclass, replace

import msgspec

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.exceptions import DecodingError

# Largest number that every message and every float can hold.
MAX_NUMBER = 2**53
# Duration of a task without an estimate, where one is needed to compare, in seconds.
UNKNOWN_SECONDS = 1.0
# Most tasks of a job, over all its occurrences: each takes a bit once it is done. How
# many there is memory for is decided on arrival, see ``jobcost``.
MAX_TASKS = 2**30


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks within a job.

    :param tasks: Number of tasks.
    :param cpu: Processors requested per task, in thousandths.
    :param memory: Memory requested per task, in MB.
    :param accelerators: Accelerators requested per task.
    :param estimate: Declared duration of a task, in seconds; 0 when unknown.
    :param after: Indexes of the steps that must be done first.
    :param has_checkpoints: Whether its tasks can resume from a checkpoint.
    :param is_gang: Whether its tasks have to run at the same time.
    :param is_tight: Whether a gang is slower on more than one rack.
    :param label: Label that the worker must have; empty for none.
    :param rack: Preferred rack, close to the data; empty for none.
    :param per_worker: Maximum number of its tasks on one worker; 0 for no limit.
    :param is_speculative: Whether speculative copies of a run are allowed.
    :param is_lasting: Whether its tasks are long-running: they run until the job is
        cancelled.
    :param image: Name of the program; tasks of one image are assumed to have the same
        resource usage.
    :param goal_ms: Tail latency objective of its tasks, in ms; 0 for none. Tasks with
        an objective are latency-critical.
    :param is_filling: Whether its tasks are best-effort: they only use resources that
        other tasks leave idle.
    :param may_miss: Disruption budget: tasks that the system's own actions may make
        unavailable at the same time.
    """

    tasks: int
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    is_tight: bool = False
    label: str = ""
    rack: str = ""
    per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    goal_ms: float = 0.0
    is_filling: bool = False
    may_miss: int = -1

    @property
    def reserved_cpu(self):
        """Return the processors reserved per task; best-effort tasks reserve none."""
        return 0 if self.is_filling else self.cpu


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Immutable specification of an accepted job.

    :param queue: Name of its queue.
    :param job_id: Identifier chosen by the caller.
    :param service: Service of the queue when the job was accepted.
    :param payload: Opaque task payload from the caller.
    :param steps: Tuple of ``Step``.
    :param retries: Failed runs of a task after which the job has failed, as configured
        when the job was accepted; applies only once the queue has been removed.
    :param repeats: Number of occurrences; 0 for a job without a schedule.
    :param first_at: Due time of the first occurrence, in seconds since the epoch.
    :param interval: Time between occurrences, in seconds.
    :param accepted_at: Wall clock of the entry that accepted it, in seconds.
    """

    queue: str
    job_id: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    retries: int = 1
    repeats: int = 0
    first_at: float = 0.0
    interval: float = 0.0
    accepted_at: float = 0.0

    @property
    def key(self):
        """Return the key that identifies the job across all queues."""
        return get_job_key(self.queue, self.job_id)

    @property
    def is_lasting(self):
        """Return whether any of its steps is long-running."""
        return any(step.is_lasting for step in self.steps)

    def get_due_time(self, occurrence):
        """Return the due time of an occurrence, in seconds since the epoch."""
        return self.first_at + occurrence * self.interval


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Reference to one task of a job.

    :param job: Key of the job.
    :param occurrence: Index of the occurrence, from 0.
    :param step: Index of the step, from 0.
    :param index: Index of the task within the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self):
        """Return the key of its step: job key, occurrence and index of the step."""
        return (self.job, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class WorkerSize:
    """Resources of a worker, as last reported by it.

    A worker without processors has no size: ``build_worker_size`` returns None.

    :param cpu: Processors, in thousandths; more than 0.
    :param memory: Memory, in MB.
    :param accelerators: Number of accelerators.
    """

    cpu: int
    memory: int
    accelerators: int = 0

    def __post_init__(self):
        if self.cpu <= 0:
            raise ValueError(f"a worker of {self.cpu} processors has no size")

    def get_share(self, cpu):
        """Return the share of the processors that an amount of them makes up.

        :param cpu: Processors, in thousandths.
        """
        return cpu / self.cpu

    def covers(self, cpu, memory, accelerators):
        """Return whether a total of resources fits into the worker."""
        return (
            cpu <= self.cpu
            and memory <= self.memory
            and accelerators <= self.accelerators
        )


def build_worker_size(cpu, memory, accelerators=0):
    """Return a ``WorkerSize``; None for a worker without processors."""
    return WorkerSize(cpu, memory, accelerators) if cpu > 0 else None


def get_critical_path_seconds(spec):
    """Return the critical path of a job by declared durations, in seconds."""
    finish_times = []
    for step in spec.steps:
        start = max((finish_times[earlier] for earlier in step.after), default=0.0)
        finish_times.append(start + step.estimate)
    return max(finish_times)


def sum_work(spec):
    """Return what the tasks of an occurrence occupy of workers, and for how long.

    Tasks that run until the job is cancelled don't count.

    :returns: Tuple of processors in thousandths, memory in MB, accelerators and runs,
        each times seconds.
    """
    work = [0.0] * 4
    for step in spec.steps:
        if not step.is_lasting:
            seconds = step.tasks * (step.estimate or UNKNOWN_SECONDS)
            sizes = (step.reserved_cpu, step.memory, step.accelerators, 1)
            for index, size in enumerate(sizes):
                work[index] += seconds * size
    return tuple(work)


def get_job_key(queue, job_id):
    """Return the key that identifies a job across all queues."""
    return f"{queue}/{job_id}"


def get_queue_name(key):
    """Return the name of the queue of a job from its key."""
    return key.rpartition("/")[0]


def get_job_id(key):
    """Return the id of a job within its queue; ids hold no slash."""
    return key.rpartition("/")[2]


def encode_spec(spec):
    """Encode a job specification, leaving out step fields that have their default."""
    value = msgspec.to_builtins(replace(spec, steps=()))
    # One by one: the fields of a step take many times its memory.
    value["steps"] = [_drop_defaults(msgspec.to_builtins(step)) for step in spec.steps]
    return msgspec.msgpack.encode(value)


def decode_spec(content):
    """Decode a ``JobSpec``.

    :raises DecodingError: if the content is not an encoded job.
    """
    spec = decode_msgpack(content, JobSpec)
    if problem := find_problem(spec):
        raise DecodingError(problem)
    return spec


def find_problem(spec):
    """Return why a job can't be run; empty if it can.

    :param spec: ``JobSpec``.
    """
    times = (spec.first_at, spec.interval, spec.accepted_at)
    if not all(0 <= value <= MAX_NUMBER for value in times):
        return "a time is out of range"
    if not 0 <= spec.repeats <= MAX_TASKS or not 0 <= spec.retries <= MAX_NUMBER:
        return "repeats or retries are out of range"
    for number, step in enumerate(spec.steps):
        if problem := _find_step_problem(step):
            return f"step {number}: {problem}"
    if max(1, spec.repeats) * sum(step.tasks for step in spec.steps) > MAX_TASKS:
        return f"more than {MAX_TASKS} tasks in all"
    return ""


def _find_step_problem(step):
    if not 1 <= step.tasks <= MAX_TASKS:
        return "number of tasks is out of range"
    sizes = (
        step.cpu,
        step.memory,
        step.accelerators,
        step.estimate,
        step.per_worker,
        step.goal_ms,
    )
    if not all(0 <= size <= MAX_NUMBER for size in sizes):
        return "a number is out of range"
    if not -1 <= step.may_miss <= MAX_NUMBER:
        return "number of tasks that may be missing is out of range"
    return ""


_DEFAULTS = msgspec.to_builtins(Step(tasks=1))


def _drop_defaults(step):
    return {
        name: value
        for name, value in step.items()
        if name == "tasks" or value != _DEFAULTS[name]
    }
