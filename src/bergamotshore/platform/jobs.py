"""Jobs as callers submit them, and the states that callers read."""

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.exceptions import SubmissionInvalid

LARGEST_SPEC_BYTES = 4000
WORD_BY_STATE = {
    "pending": "pending",
    "running": "active",
    "done": "complete",
    "failed": "failed",
    "cancelled": "canceled",
}


class WireStep(msgspec.Struct, frozen=True):
    """One step; fields that are 0, false or empty are left out.

    ``cpu`` is in thousandths of a core; ``anti_affinity`` is the most tasks on one
    worker; ``affinity`` is a rack, ``requires`` a label of the worker.
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
    """The body of a submission; ``spec`` is what its tasks run."""

    steps: list[WireStep]
    spec: str = ""
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


def decode_submission(body, queue, job_id, now):
    """Return ``Result`` of the ``JobSpec`` in a submission.

    :param queue: ``Queue`` that it was sent to.
    :param now: Wall clock, in seconds.
    """
    try:
        job = msgspec.json.decode(body, type=WireJob)
    except msgspec.MsgspecError as error:
        return Failure(SubmissionInvalid(str(error)))
    problem = _find_problem(job)
    if problem:
        return Failure(SubmissionInvalid(problem))
    return Success(
        JobSpec(
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
    )


def _find_problem(job):
    if not job.steps:
        return "a job needs a step"
    if len(job.spec.encode()) > LARGEST_SPEC_BYTES:
        return f"spec has over {LARGEST_SPEC_BYTES} bytes"
    for number, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            return f"step {number} has a negative size or no tasks"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number} waits for a step that is not before it"
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
    """Return the body that tells a caller the state of a job."""
    return msgspec.json.encode({"state": WORD_BY_STATE[state]})


def encode_queue_length(count):
    """Return the body that tells a caller how many jobs of a queue wait."""
    return msgspec.json.encode({"queued_jobs": count})
