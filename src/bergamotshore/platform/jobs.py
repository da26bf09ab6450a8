"""Wire formats of job submissions and of the job states returned to callers."""

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Count, read_json
from bergamotshore.core.work.model import JobSpec, Step, find_problem
from bergamotshore.exceptions import SubmissionInvalid

MAX_SPEC_BYTES = 4000
# Each step takes a byte or more of a job's row, which the store limits to this size.
MAX_STEPS = 65_536
WIRE_STATE_BY_STATE = {
    "pending": "pending",
    "running": "active",
    "done": "complete",
    "failed": "failed",
    "cancelled": "canceled",
}


class WireStep(msgspec.Struct, frozen=True):
    """One step of a job; callers may omit fields that are 0, false or empty.

    ``cpu`` is in thousandths of a core. ``affinity`` is the preferred rack,
    ``requires`` a label that the worker must have, ``anti_affinity`` the maximum
    number of tasks on one worker. ``fills`` marks best-effort tasks; ``goal_ms`` bounds
    the tail latency. ``may_miss`` is the maximum number of tasks that the scheduler may
    have interrupted at once; None sets no limit.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_ms: float = 0
    after: list[int] = []
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


class WireJob(msgspec.Struct, frozen=True):
    """Body of a submission; ``spec`` is the payload that its tasks run."""

    steps: list[WireStep]
    spec: str = ""
    repeats: Count = 0
    start_at_ms: Count = 0
    interval_ms: Count = 0


def decode_submission(body, queue, job_id, now):
    """Return ``Result`` of the ``JobSpec`` that a submission describes.

    :param queue: ``Queue`` that the job was submitted to.
    :param now: Current wall-clock time, in seconds.
    """
    # Decoded steps take hundreds of times their size, so they are counted before. The
    # text of ``spec`` may hold braces as well.
    if body.count(b"{") > MAX_STEPS + MAX_SPEC_BYTES:
        return Failure(SubmissionInvalid(f"more than {MAX_STEPS} steps"))
    match read_json(body, WireJob):
        case Success(job):
            pass
        case Failure(error):
            return Failure(SubmissionInvalid(str(error)))
    problem = _find_problem(job)
    if problem:
        return Failure(SubmissionInvalid(problem))
    spec = JobSpec(
        queue=queue.name,
        job_id=job_id,
        service=queue.service,
        payload=job.spec,
        steps=tuple(_decode_step(step) for step in job.steps),
        retries=queue.retries,
        repeats=job.repeats,
        first_at=job.start_at_ms / 1000,
        interval=job.interval_ms / 1000,
        accepted_at=now,
    )
    if problem := find_problem(spec):
        return Failure(SubmissionInvalid(problem))
    return Success(spec)


def _find_problem(job):
    if not job.steps:
        return "steps is empty: a job needs at least one step"
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    for number, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            return f"step {number}: count must be positive; cpu, mem_mb, gpu at least 0"
        if any(not 0 <= dependency < number for dependency in step.after):
            return f"step {number}: after may only list the numbers of earlier steps"
    return ""


def _decode_step(step):
    return Step(
        tasks=step.count,
        cpu=step.cpu,
        memory=step.mem_mb,
        accelerators=step.gpu,
        estimate=step.est_ms / 1000,
        after=tuple(step.after),
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
