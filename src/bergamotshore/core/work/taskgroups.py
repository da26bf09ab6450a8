"""Groups of tasks of a large job, each stored in a row of its own.

The store limits the size of a row. The state of a small job fits into one row; that of
a large one is spread over rows of a bounded number of tasks, and a change rewrites only
the rows of the groups that it touches.
"""

from typing import NamedTuple

import msgspec

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.core.work.jobstate import (
    EncodedTask,
    decode_task,
    encode_task,
    has_trace,
)
from bergamotshore.exceptions import DecodingError

SEPARATOR = "#"


class TaskGroup(NamedTuple):
    """Tasks of one step with consecutive indexes.

    :param occurrence: Index of the occurrence.
    :param step: Index of the step.
    :param number: Index of the group within the step.
    """

    occurrence: int
    step: int
    number: int


def get_group_key(job, group):
    """Return the key of the row of a group.

    :param job: Key of the job.
    :param group: ``TaskGroup``.
    """
    return f"{job}{SEPARATOR}{group[0]}.{group[1]}.{group[2]}"


def parse_group_key(key):
    """Return job key and ``TaskGroup`` of a row, or None for another form of key."""
    job, _, name = key.rpartition(SEPARATOR)
    try:
        occurrence, step, number = (int(part) for part in name.split("."))
    except ValueError:
        return None
    if not job or min(occurrence, step, number) < 0:
        return None
    return job, TaskGroup(occurrence, step, number)


def get_group_range(job):
    """Return the bounds of the keys of a job's groups; the second one is excluded."""
    return job + SEPARATOR, job + chr(ord(SEPARATOR) + 1)


def is_run_stored_in_group(content):
    """Return whether the state of a group tells that a task of it has run.

    :raises DecodingError: if the content is not an encoded group.
    """
    return any(map(has_trace, decode_msgpack(content, list[EncodedTask])))


def encode_group(progress, group):
    """Encode the state of the tasks of a group."""
    tasks = progress.list_group(group)
    return msgspec.msgpack.encode([encode_task(task) for task in tasks])


def restore_group(progress, group, content):
    """Load the encoded state of a group into a restored ``JobProgress``.

    :raises DecodingError: if the content is not an encoded group of the job.
    """
    tasks = [decode_task(item) for item in decode_msgpack(content, list[EncodedTask])]
    if not progress.replace_group(group, tasks):
        raise DecodingError("state of a group of tasks that the job does not have")
