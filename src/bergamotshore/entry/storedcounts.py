"""Count of the waiting jobs from their rows, by what every entry can read."""

from collections import Counter

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.core.work.jobstate import is_run_stored
from bergamotshore.core.work.taskgroups import get_group_range, is_run_stored_in_group
from bergamotshore.entry.jobrows import CANCEL_SUFFIX, GROUPS, JOBS, PARTS, RUNS
from bergamotshore.exceptions import DecodingError

PAGE_ROWS = 500


class JobHead(msgspec.Struct, frozen=True):
    """What tells of a stored job whether it is counted; the rest isn't decoded."""

    queue: str
    repeats: int = 0


def count_stored_jobs(read, parallel_map):
    """Return the ``Result`` of the number of waiting jobs by queue.

    As for a new scheduling entry, a job waits until a run of it has left a trace in its
    rows. Jobs with a schedule don't count.

    :param read: Function that reads a page of rows of a table and partition, from a
        key and up to one.
    :param parallel_map: Function like ``map`` that may run the calls concurrently.
    """
    outcomes = parallel_map(lambda part: _count_part(read, part), PARTS)
    total = Counter()
    for outcome in outcomes:
        match outcome:
            case Success(count_by_queue):
                total.update(count_by_queue)
            case failure:
                return failure
    return Success(dict(total))


def _count_part(read, part):
    """Return the ``Result`` of the numbers of one partition.

    The states are read before the jobs, so that a job that is closed in between isn't
    taken for one that waits.
    """
    state_by_key = {}
    match _read_all(read, RUNS, part, lambda row: _note_state(state_by_key, row)):
        case Failure() as failure:
            return failure
    queue_by_key, cancelled = {}, set()
    match _read_all(
        read, JOBS, part, lambda row: _note_job(queue_by_key, cancelled, row)
    ):
        case Failure() as failure:
            return failure
    counts = Counter()
    for key, queue in queue_by_key.items():
        has_run = state_by_key.get(key, False)
        if key in cancelled or has_run:
            continue
        if has_run is None:
            match _has_group_run(read, part, key):
                case Success(True):
                    continue
                case Failure() as failure:
                    return failure
        counts[queue] += 1
    return Success(counts)


def _note_state(state_by_key, row):
    """Note whether a job has run; None if that stands in the rows of its groups."""
    try:
        state_by_key[row.id.key] = is_run_stored(row.value)
    except DecodingError:
        # The job can't be scheduled either, so it waits.
        state_by_key[row.id.key] = False


def _note_job(queue_by_key, cancelled, row):
    key = row.id.key
    if key.endswith(CANCEL_SUFFIX):
        cancelled.add(key.removesuffix(CANCEL_SUFFIX))
        return
    try:
        head = decode_msgpack(row.value, JobHead)
    except DecodingError:
        # No entry can read it, and its queue isn't known.
        return
    if not head.repeats:
        queue_by_key[key] = head.queue


def _has_group_run(read, part, key):
    """Return the ``Result`` of whether a group of a large job tells of a run."""
    found = []

    def note(row):
        try:
            found.append(is_run_stored_in_group(row.value))
        except DecodingError:
            found.append(False)
        return found[-1]

    outcome = _read_all(read, GROUPS, part, note, *get_group_range(key))
    return outcome.map(lambda _: any(found))


def _read_all(read, table, part, handle, first="", last=""):
    """Pass rows on one by one until ``handle`` returns True; return a ``Result``."""
    while True:
        match read(table, part, first, last, limit=PAGE_ROWS):
            case Success(page):
                pass
            case failure:
                return failure
        if any(handle(row) for row in page.rows):
            return Success(None)
        if not page.is_partial or not page.rows:
            return Success(None)
        first = page.rows[-1].id.key + "!"
