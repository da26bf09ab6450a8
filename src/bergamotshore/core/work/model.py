"""What callers submit: jobs, their steps, and the names of tasks."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind.

    :param tasks: Number of tasks.
    :param cpu: Processors of a task, in thousandths.
    :param memory: Memory of a task, in MB.
    :param accelerators: Accelerators of a task.
    :param estimate: Declared duration of a task, in seconds; 0 when unknown.
    :param after: Numbers of steps that must be done first.
    :param has_checkpoints: Whether its tasks can resume.
    :param is_gang: Whether its tasks only work together.
    :param is_tight: Whether a gang is slower on more than one rack.
    :param label: Label that the worker must have; empty for none.
    :param rack: Rack near the data; empty for none.
    :param per_worker: Most tasks of the step on one worker; 0 for no limit.
    :param is_speculative: Whether copies may run in parallel.
    :param is_lasting: Whether its tasks run until the job is cancelled.
    :param image: Name of what its tasks run; tasks of one image behave alike.
    :param goal_ms: Bound of the tail latency of its tasks; 0 for none.
    :param is_filling: Whether its tasks only use what others leave unused.
    :param may_miss: Tasks that may be away at once by the system's own actions.
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
        """Return the processors that count against the size of a worker."""
        return 0 if self.is_filling else self.cpu


@dataclass(frozen=True, slots=True)
class JobSpec:
    """One accepted job; never changes.

    :param queue: Name of its queue.
    :param job_id: Identifier that the caller chose.
    :param service: Service that the queue named when the job was accepted.
    :param payload: What its tasks run, as the caller gave it.
    :param steps: Tuple of ``Step``.
    :param retries: Failed runs of a task after which the job has failed, as its queue
        said when it was accepted; counts once the queue is removed.
    :param repeats: Number of occurrences; 0 for a job without times.
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
        """Return the key of the job among all jobs."""
        return get_job_key(self.queue, self.job_id)

    @property
    def is_lasting(self):
        """Tell whether some of its tasks run until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def get_due_time(self, occurrence):
        """Return when an occurrence is due, in seconds since the epoch."""
        return self.first_at + occurrence * self.interval


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Place of one task in its job.

    :param job: Key of the job.
    :param occurrence: Occurrence, from 0.
    :param step: Step, from 0.
    :param index: Task within the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int


def get_job_key(queue, job_id):
    """Return the key of a job among all jobs."""
    return f"{queue}/{job_id}"


def encode_spec(spec):
    """Return the bytes of a job, without fields that have their default."""
    value = msgspec.to_builtins(spec)
    value["steps"] = [_drop_defaults(step) for step in value["steps"]]
    return msgspec.msgpack.encode(value)


def decode_spec(content):
    """Return the ``JobSpec`` of bytes.

    :raises msgspec.MsgspecError: for bytes that are no job.
    """
    return msgspec.msgpack.decode(content, type=JobSpec)


_DEFAULTS = msgspec.to_builtins(Step(tasks=1))


def _drop_defaults(step):
    return {
        name: value
        for name, value in step.items()
        if name == "tasks" or value != _DEFAULTS[name]
    }
