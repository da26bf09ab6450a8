"""Stored form of the state of a job."""

from typing import Annotated, Literal, NamedTuple

import msgspec

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.core.work.model import TaskRef
from bergamotshore.core.work.progress import GROUP_TASKS, Run
from bergamotshore.core.work.steptasks import Task
from bergamotshore.exceptions import DecodingError

# Stored numbers are bounded, so that they can be sent in messages.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Crashes are stored for this many tasks of a job at most, those with the most first.
MAX_STORED_CRASHES = 1000


class EncodedTask(msgspec.Struct, frozen=True, array_like=True):
    """Stored state of a task, as an array from whose end fields may be missing."""

    is_done: Literal[0, 1] = 0
    failures: Count = 0
    last_run: Count = 0
    checkpoint: str = ""
    runs: list[tuple[Count, str, str, Count]] = []
    failed_run: Count = 0


class EncodedJob(NamedTuple):
    """Stored state of a job, as an array from whose end fields may be missing.

    :param finished: Number of finished occurrences.
    :param outcome: Outcome of the job; empty while it is open.
    :param occurrences: Tasks of each step by open occurrence.
    :param group_tasks: Tasks in a group; 0 if the tasks are in this row.
    """

    finished: Count
    outcome: str
    occurrences: dict[Count, list[list[EncodedTask]]]
    group_tasks: Count = 0


def encode_progress(progress):
    """Encode the state of a job; tasks that were never claimed are left empty.

    That of a large job tells only where it is; its tasks have rows of their own. It has
    another form, so that earlier revisions don't take it for a job that never ran.
    """
    if progress.is_grouped:
        return msgspec.msgpack.encode(
            [progress.finished_occurrences, progress.outcome, {}, GROUP_TASKS]
        )
    occurrences = {
        occurrence: [
            [encode_task(task) for task in tasks]
            for tasks in progress.list_tasks(occurrence)
        ]
        for occurrence in range(
            progress.finished_occurrences, progress.opened_occurrences
        )
    }
    return msgspec.msgpack.encode(
        [progress.finished_occurrences, progress.outcome, occurrences]
    )


def restore_progress(progress, content):
    """Load an encoded state into a new ``JobProgress``.

    :returns: Whether its tasks are in rows of their own, still to be loaded.
    :raises DecodingError: if the content is not an encoded state of the job.
    """
    finished, outcome, occurrences, group_tasks = decode_msgpack(content, EncodedJob)
    is_other_layout = group_tasks not in (0, GROUP_TASKS)
    if is_other_layout or (group_tasks and not progress.is_grouped):
        raise DecodingError("state of a job in another layout")
    tasks_by_occurrence = {
        occurrence: [[decode_task(task) for task in tasks] for tasks in steps]
        for occurrence, steps in occurrences.items()
    }
    if not progress.restore(finished, outcome, tasks_by_occurrence):
        raise DecodingError("state of a job with other steps")
    if progress.is_grouped and not group_tasks:
        progress.record_moved()
    return group_tasks > 0


def is_run_stored(content):
    """Return whether the stored state of a job tells that a task of it has run.

    :returns: None if the rows of its groups tell.
    :raises DecodingError: if the content is not an encoded state.
    """
    finished, outcome, occurrences, group_tasks = decode_msgpack(content, EncodedJob)
    if finished or outcome:
        return True
    if group_tasks:
        return None
    return any(
        has_trace(task)
        for steps in occurrences.values()
        for tasks in steps
        for task in tasks
    )


def has_trace(task):
    """Return whether an ``EncodedTask`` tells of a run; a claim alone does not."""
    return bool(task.is_done or task.failures or task.checkpoint)


def encode_crashes(progress):
    """Encode the crashes counted for the tasks of a job; empty if there are none.

    They have a row of their own: earlier revisions can't read a longer encoded task.
    """
    crashed = [
        [ref.occurrence, ref.step, ref.index, progress.get_task(ref).crashes]
        for ref in progress.list_crashed()
    ]
    if len(crashed) > MAX_STORED_CRASHES:
        crashed = sorted(crashed, key=lambda row: -row[-1])[:MAX_STORED_CRASHES]
    return msgspec.msgpack.encode(crashed) if crashed else b""


def restore_crashes(progress, content):
    """Load encoded crashes into the restored state of a job.

    :raises DecodingError: if the content is not an encoded list of crashes.
    """
    rows = decode_msgpack(content, list[tuple[Count, Count, Count, Count]])
    for occurrence, step, index, crashes in rows:
        ref = TaskRef(progress.key, occurrence, step, index)
        progress.restore_crashes(ref, crashes)


def encode_task(task):
    """Return the stored form of a task."""
    if task.is_done and not task.runs:
        return [1]
    if not task.last_run:
        return []
    runs = [[run.number, run.node, run.worker, run.born] for run in task.runs]
    content = [int(task.is_done), task.failures, task.last_run, task.checkpoint, runs]
    return [*content, task.failed_run] if task.failed_run else content


def decode_task(content):
    """Return the ``Task`` of an ``EncodedTask``."""
    return Task(
        bool(content.is_done),
        content.failures,
        content.last_run,
        content.checkpoint,
        [Run(*run) for run in content.runs],
        content.failed_run,
    )
