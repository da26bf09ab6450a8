"""State transitions of job rows; the attempt number serves as fencing token."""

from dataclasses import dataclass, replace
from zlib import crc32

from returns.result import Failure, Success

from bergamotshore.exceptions import StaleAttempt
from bergamotshore.generated.rows import JobRow, TaskState

BUCKET_COUNT = 16
MAX_FAILURES = 5
OPEN_PREFIX = "job-open/"
DONE_PREFIX = "job-done/"


@dataclass(frozen=True, slots=True)
class Placement:
    """Assignment of a pending task to a node.

    :param index: Index of the task.
    :param node: Name of the node.
    :param zone: Data centre of the node.
    :param session: Session of the node.
    """

    index: int
    node: str
    zone: str
    session: str


def get_job_id(row):
    """Return the job identifier, as team/name."""
    return f"{row.team}/{row.name}"


def get_bucket(job_id):
    """Return the bucket of a job, as two hexadecimal digits."""
    return f"{crc32(job_id.encode()) % BUCKET_COUNT:02x}"


def list_buckets():
    """Return all buckets."""
    return [f"{number:02x}" for number in range(BUCKET_COUNT)]


def get_open_key(job_id):
    """Return the key of the job's row while the job is unfinished."""
    return f"{OPEN_PREFIX}{get_bucket(job_id)}/{job_id}"


def get_done_key(job_id):
    """Return the key of the job's row once the job is finished."""
    return f"{DONE_PREFIX}{job_id}"


def create_job(team, name, kind, origin, spec, count, urgent=False):
    """Return the row of a new job.

    :param count: Number of tasks.
    """
    tasks = [TaskState(index=index) for index in range(count)]
    return JobRow(
        team=team,
        name=name,
        kind=kind,
        origin=origin,
        urgent=urgent,
        spec=spec,
        tasks=tasks,
    )


def list_pending(row):
    """Return the indexes of tasks that may be claimed."""
    if row.is_cancelled:
        return []
    return [task.index for task in row.tasks if task.state == "pending"]


def is_finished(row):
    """Whether every task of the job has reached a final state."""
    return all(task.state in ("completed", "cancelled", "failed") for task in row.tasks)


def claim_tasks(row, placements, operation):
    """Start a new attempt of each placed task that is still pending.

    :param row: ``JobRow`` as read.
    :param placements: List of ``Placement``.
    :param operation: Identifier of the operation that writes the row.
    :returns: Updated row.
    """
    placement_by_index = {placement.index: placement for placement in placements}
    tasks = [
        _claim_task(task, placement_by_index.get(task.index), operation)
        for task in row.tasks
    ]
    return replace(row, tasks=tasks, operation=operation)


def _claim_task(task, placement, operation):
    if placement is None or task.state != "pending":
        return task
    return replace(
        task,
        state="claimed",
        attempt=task.attempt + 1,
        node=placement.node,
        zone=placement.zone,
        session=placement.session,
        claim=operation,
        reason="",
    )


def end_attempt(row, ended):
    """Record the outcome of an attempt.

    :param row: ``JobRow`` as read.
    :param ended: ``TaskEnded`` reported by the node.
    :returns: ``Success`` of the updated row, or ``Failure`` of ``StaleAttempt``.
    """
    attempt = ended.attempt
    if attempt.index >= len(row.tasks):
        return Failure(StaleAttempt(attempt.job, attempt.index, attempt.attempt, 0))
    task = row.tasks[attempt.index]
    if task.attempt != attempt.attempt or task.state != "claimed":
        return Failure(
            StaleAttempt(attempt.job, attempt.index, attempt.attempt, task.attempt)
        )
    return Success(_replace_task(row, _apply_outcome(row, task, ended)))


def _apply_outcome(row, task, ended):
    checkpoint = ended.checkpoint or task.checkpoint
    updated = replace(task, checkpoint=checkpoint, reason=ended.reason)
    if ended.outcome == "completed" and row.kind == "batch":
        return replace(updated, state="completed", result=ended.result)
    if row.is_cancelled or ended.outcome == "cancelled":
        return replace(updated, state="cancelled")
    if ended.outcome != "failed":
        return replace(updated, state="pending")
    failures = task.failures + 1
    is_exhausted = row.kind == "batch" and failures >= MAX_FAILURES
    state = "failed" if is_exhausted else "pending"
    return replace(updated, state=state, failures=failures)


def release_attempt(row, index, attempt, reason):
    """Return a claimed task to pending, once its attempt provably cannot run.

    :returns: Updated row, or the same row when the attempt is not the current one.
    """
    task = row.tasks[index]
    if task.attempt != attempt or task.state != "claimed":
        return row
    state = "cancelled" if row.is_cancelled else "pending"
    return _replace_task(row, replace(task, state=state, reason=reason))


def set_pending_reason(row, reason):
    """Record the reason why pending tasks cannot run.

    :returns: Updated row, or the same row when nothing changes.
    """
    tasks = [
        replace(task, reason=reason) if task.state == "pending" else task
        for task in row.tasks
    ]
    return row if tasks == row.tasks else replace(row, tasks=tasks)


def cancel_job(row):
    """Mark a job as cancelled; pending tasks are cancelled immediately.

    :returns: Updated row.
    """
    tasks = [
        replace(task, state="cancelled") if task.state == "pending" else task
        for task in row.tasks
    ]
    return replace(row, is_cancelled=True, tasks=tasks)


def _replace_task(row, task):
    tasks = list(row.tasks)
    tasks[task.index] = task
    return replace(row, tasks=tasks)
