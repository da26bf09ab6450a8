"""Transitions of job rows; the attempt number is the fencing token."""

from dataclasses import dataclass, replace
from zlib import crc32

from returns.result import Failure, Success

from bergamotshore.exceptions import StaleAttempt
from bergamotshore.generated.rows import JobRow, TaskState

BUCKETS = 16
FAILURES_MAX = 5
OPEN_PREFIX = "job-open/"
DONE_PREFIX = "job-done/"


@dataclass(frozen=True, slots=True)
class Placement:
    """Where one pending task is to run.

    :param index: Index of the task.
    :param node: Node chosen.
    :param zone: Data centre of the node.
    :param session: Session of the node.
    """

    index: int
    node: str
    zone: str
    session: str


def get_job_id(row):
    """Return the job as team/name."""
    return f"{row.team}/{row.name}"


def get_bucket(job_id):
    """Return the bucket of a job, two hexadecimal digits."""
    return f"{crc32(job_id.encode()) % BUCKETS:02x}"


def list_buckets():
    """Return every bucket."""
    return [f"{number:02x}" for number in range(BUCKETS)]


def get_open_key(job_id):
    """Return the key of the row while the job has work left."""
    return f"{OPEN_PREFIX}{get_bucket(job_id)}/{job_id}"


def get_done_key(job_id):
    """Return the key of the row once the job is over."""
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
    """Tell whether no task of the job is left to run."""
    return all(task.state in ("completed", "cancelled", "failed") for task in row.tasks)


def claim_tasks(row, placements, operation):
    """Begin a new attempt of each placed task that is still pending.

    :param row: Row as read.
    :param placements: List of ``Placement``.
    :param operation: Operation that writes the row.
    :returns: New row.
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
    """Record the end of an attempt.

    :param row: Row as read.
    :param ended: ``TaskEnded`` of the node.
    :returns: ``Success`` of the new row, or ``Failure`` of ``StaleAttempt``.
    """
    attempt = ended.attempt
    if attempt.index >= len(row.tasks):
        return Failure(StaleAttempt(attempt.job, attempt.index, attempt.attempt, 0))
    task = row.tasks[attempt.index]
    if task.attempt != attempt.attempt or task.state != "claimed":
        return Failure(
            StaleAttempt(attempt.job, attempt.index, attempt.attempt, task.attempt)
        )
    return Success(_replace_task(row, _apply_end(row, task, ended)))


def _apply_end(row, task, ended):
    checkpoint = ended.checkpoint or task.checkpoint
    idle = replace(task, checkpoint=checkpoint, reason=ended.reason)
    if ended.outcome == "completed" and row.kind == "batch":
        return replace(idle, state="completed", result=ended.result)
    if row.is_cancelled or ended.outcome == "cancelled":
        return replace(idle, state="cancelled")
    if ended.outcome != "failed":
        return replace(idle, state="pending")
    failures = task.failures + 1
    is_hopeless = row.kind == "batch" and failures >= FAILURES_MAX
    state = "failed" if is_hopeless else "pending"
    return replace(idle, state=state, failures=failures)


def release_attempt(row, index, attempt, reason):
    """Make a task eligible again after proof that its attempt can not run.

    :returns: New row, or the same row when the attempt is not the newest.
    """
    task = row.tasks[index]
    if task.attempt != attempt or task.state != "claimed":
        return row
    state = "cancelled" if row.is_cancelled else "pending"
    return _replace_task(row, replace(task, state=state, reason=reason))


def set_pending_reason(row, reason):
    """Write why pending tasks can not run.

    :returns: New row, or the same row when it says so already.
    """
    tasks = [
        replace(task, reason=reason) if task.state == "pending" else task
        for task in row.tasks
    ]
    return row if tasks == row.tasks else replace(row, tasks=tasks)


def cancel_job(row):
    """Ask for the end of a job; pending tasks end at once.

    :returns: New row.
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
