"""Wire formats of job submissions and of the job states returned to callers."""

import threading

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Count, read_json
from bergamotshore.core.work.model import JobSpec, Step, find_problem
from bergamotshore.exceptions import SubmissionInvalid

MAX_SPEC_BYTES = 4000
# What the store takes of a job's row, and what each step and each of its dependencies
# take of it at least, in bytes. A job that can't be stored is not decoded to its end.
MAX_ROW_BYTES = 65_536
MIN_STEP_BYTES = 8
MIN_DEPENDENCY_BYTES = 1
MAX_STEPS = MAX_ROW_BYTES // MIN_STEP_BYTES
# Memory of a step while it is decoded and encoded for its row, in bytes: on its own,
# and for each value in it. Commas separate the values.
STEP_DECODING_BYTES = 1024
VALUE_DECODING_BYTES = 48
# Shortest text of a value with its name and comma.
MIN_VALUE_BYTES = 8
# Copies of a text that are alive at once; one letter beyond ASCII makes all of a text
# take four bytes each.
TEXT_COPIES = 2
WIDE_TEXT_COPIES = 9
WIRE_STATE_BY_STATE = {
    "pending": "pending",
    "running": "active",
    "done": "complete",
    "failed": "failed",
    "cancelled": "canceled",
}


class RowLimit(threading.local):
    """Row bytes that the steps of the job being decoded by this thread take at least.

    The decoder would otherwise build all steps of a body before they can be counted.
    """

    taken = 0

    def add(self, size):
        """Add the least size of a step.

        :raises ValueError: when the row of the job can't hold it.
        """
        self.taken += size
        if self.taken > MAX_ROW_BYTES:
            raise ValueError(f"the steps take more than {MAX_ROW_BYTES} bytes")


ROW_LIMIT = RowLimit()


class WireStep(msgspec.Struct, frozen=True, gc=False):
    """One step of a job; callers may omit fields that are 0, false or empty.

    ``cpu`` is in thousandths of a core. ``affinity`` is the preferred rack,
    ``requires`` a label that the worker must have, ``anti_affinity`` the maximum
    number of tasks on one worker. ``fills`` marks best-effort tasks; ``goal_ms`` bounds
    the tail latency. ``may_miss`` is the maximum number of tasks that the scheduler may
    have interrupted at once; None sets no limit. ``after`` is decoded by
    ``read_dependencies``.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_ms: float = 0
    after: msgspec.Raw = msgspec.Raw(b"[]")
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    goal_ms: float = 0
    fills: bool = False
    may_miss: int | None = None

    def __post_init__(self):
        dependencies = bytes(self.after).count(b",")
        ROW_LIMIT.add(MIN_STEP_BYTES + MIN_DEPENDENCY_BYTES * dependencies)

    def read_dependencies(self):
        """Return ``Result`` of ``after`` as a tuple, or of a ``DecodingError``."""
        return read_json(self.after, tuple[int, ...])


class WireJob(msgspec.Struct, frozen=True):
    """Body of a submission; ``spec`` is the payload that its tasks run."""

    steps: list[WireStep]
    spec: str = ""
    repeats: Count = 0
    start_at_ms: Count = 0
    interval_ms: Count = 0


def estimate_decoding(content):
    """Return the memory that decoding a submission may take, in bytes.

    Never less than it takes, and often more: braces and commas count within texts, too.

    :param content: Body of the submission, as bytes or ``bytearray``.
    """
    is_wide = not content.isascii() or b"\\u" in content
    return _estimate(
        len(content),
        content.count(b"{"),
        content.count(b","),
        WIDE_TEXT_COPIES if is_wide else TEXT_COPIES,
    )


def estimate_largest_decoding(size):
    """Return the memory that decoding any submission of a size may take, in bytes.

    :param size: Size of the body, in bytes.
    """
    return _estimate(size, size, size, WIDE_TEXT_COPIES)


def _estimate(size, braces, commas, text_copies):
    most_values = MAX_ROW_BYTES // MIN_DEPENDENCY_BYTES + size // MIN_VALUE_BYTES
    return (
        min(braces, MAX_STEPS) * STEP_DECODING_BYTES
        + min(commas, most_values) * VALUE_DECODING_BYTES
        + text_copies * size
    )


def decode_submission(body, queue, job_id, now):
    """Return ``Result`` of the ``JobSpec`` that a submission describes.

    :param queue: ``Queue`` that the job was submitted to.
    :param now: Current wall-clock time, in seconds.
    """
    ROW_LIMIT.taken = 0
    match read_json(body, WireJob).bind(_decode_steps):
        case Success((job, steps)):
            pass
        case Failure(error):
            return Failure(SubmissionInvalid(str(error)))
    problem = _find_problem(job, steps)
    if problem:
        return Failure(SubmissionInvalid(problem))
    spec = JobSpec(
        queue=queue.name,
        job_id=job_id,
        service=queue.service,
        payload=job.spec,
        steps=steps,
        retries=queue.retries,
        repeats=job.repeats,
        first_at=job.start_at_ms / 1000,
        interval=job.interval_ms / 1000,
        accepted_at=now,
    )
    if problem := find_problem(spec):
        return Failure(SubmissionInvalid(problem))
    return Success(spec)


def _decode_steps(job):
    steps = []
    for step in job.steps:
        match step.read_dependencies():
            case Success(after):
                steps.append(_decode_step(step, after))
            case failure:
                return failure
    return Success((job, tuple(steps)))


def _find_problem(job, steps):
    if not steps:
        return "steps is empty: a job needs at least one step"
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    for number, step in enumerate(steps):
        if step.tasks < 1 or min(step.cpu, step.memory, step.accelerators) < 0:
            return f"step {number}: count must be positive; cpu, mem_mb, gpu at least 0"
        if any(not 0 <= dependency < number for dependency in step.after):
            return f"step {number}: after may only list the numbers of earlier steps"
    return ""


def _decode_step(step, after):
    return Step(
        tasks=step.count,
        cpu=step.cpu,
        memory=step.mem_mb,
        accelerators=step.gpu,
        estimate=step.est_ms / 1000,
        after=after,
        has_checkpoints=step.checkpoint,
        is_gang=step.gang,
        is_tight=step.same_rack,
        label=step.requires,
        rack=step.affinity,
        per_worker=step.anti_affinity,
        is_speculative=step.speculative,
        is_lasting=step.long_running,
        image=step.image,
        goal_ms=step.goal_ms,
        is_filling=step.fills,
        may_miss=-1 if step.may_miss is None else step.may_miss,
    )


def encode_job_state(state):
    """Return the response body with the state of a job."""
    return msgspec.json.encode({"state": WIRE_STATE_BY_STATE[state]})


def encode_queue_length(count):
    """Return the response body with the number of queued jobs of a queue."""
    return msgspec.json.encode({"queued_jobs": count})
