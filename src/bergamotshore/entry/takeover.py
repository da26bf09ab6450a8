"""Start of a term: fence off the predecessor, then read the open jobs."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.core.work.jobstate import restore_progress
from bergamotshore.core.work.taskgroups import parse_group_key, restore_group
from bergamotshore.entry.jobrows import (
    CANCEL_SUFFIX,
    CRASHES,
    GROUPS,
    INTERFERENCE_ROW,
    JOBS,
    PARTS,
    RUNS,
    decode_job_row,
    get_fence_id,
)
from bergamotshore.exceptions import (
    BergamotshoreError,
    DecodingError,
    PlatformUnavailable,
)
from bergamotshore.ports.rows import Expect, Put, RowPage, RowsConflict

PAGE_ROWS = 500
Epoch = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Interference factors as (latency-critical image, best-effort image, factor), then the
# lowest latency of each image, in ms.
INTERFERENCE_STATE = tuple[list[tuple[str, str, float]], list[tuple[str, float]]]
MAX_ATTEMPTS = 4


class TakeoverFailed(BergamotshoreError):
    """A term could not be started.

    :param detail: Description of the failure.
    :param is_superseded: Whether a later term has already started.
    """

    code = "takeover-failed"

    def __init__(self, detail, is_superseded=False):
        super().__init__(detail)
        self.is_superseded = is_superseded


@dataclass(slots=True)
class OpenJobs:
    """Open jobs as read from the store.

    :param version: Version of the store before the first read.
    :param specs: List of ``JobSpec``.
    :param unreadable: Key and row version of each job whose row can't be read.
    :param cancelled: Keys of cancelled jobs.
    :param progress_by_key: Pair of row version and row of the state, by job key.
    :param crashes_by_key: Content of the row of counted crashes by job key.
    :param group_rows_by_key: Pairs of ``TaskGroup`` and row by key of a large job.
    :param interference_state: Interference model of the predecessor; None if there is
        none.
    """

    version: int = 0
    specs: list = field(default_factory=list)
    unreadable: list = field(default_factory=list)
    cancelled: set = field(default_factory=set)
    progress_by_key: dict = field(default_factory=dict)
    crashes_by_key: dict = field(default_factory=dict)
    group_rows_by_key: dict = field(default_factory=dict)
    interference_state: list | None = None


def write_fences(store, epoch, parallel_map):
    """Write the fencing token of a term to every partition.

    :param parallel_map: Function like ``map`` that runs the calls concurrently.
    :returns: Version of the fence row by partition.
    :raises TakeoverFailed: if the store fails or a partition has the fence of a later
        term.
    """
    versions = parallel_map(lambda part: _write_fence(store, part, epoch), PARTS)
    return dict(zip(PARTS, versions, strict=True))


def _write_fence(store, part, epoch):
    fence = get_fence_id(part)
    detail = ""
    for _ in range(MAX_ATTEMPTS):
        match store.read(fence.table, part, fence.key, limit=1):
            case Success(page):
                pass
            case Failure(failure):
                detail = str(failure)
                continue
        row = next((row for row in page.rows if row.id == fence), None)
        stored_epoch = _decode_epoch(row) if row is not None else 0
        if stored_epoch > epoch:
            raise TakeoverFailed(f"term {stored_epoch} has begun", is_superseded=True)
        version = row.version if row is not None else 0
        if stored_epoch == epoch:
            return version
        put = Put(fence, msgspec.msgpack.encode(epoch))
        match store.transact([Expect(fence, version)], [put], []):
            case Success(written):
                return written
            case Failure(RowsConflict() as failure):
                detail = failure.code
            case Failure(failure):
                detail = str(failure)
    raise TakeoverFailed(detail)


def _decode_epoch(row):
    """Return the term in a fence row; 0 for an unreadable row, which is replaced."""
    try:
        return decode_msgpack(row.value, Epoch)
    except DecodingError:
        return 0


def read_open_jobs(store, parallel_map):
    """Return the ``OpenJobs`` of all partitions.

    :param parallel_map: Function like ``map`` that runs the calls concurrently.
    :raises TakeoverFailed: if the store fails.
    """
    open_jobs = OpenJobs()
    partitions = list(parallel_map(lambda part: _read_part(store, part), PARTS))
    for partition in partitions:
        open_jobs.specs += partition.specs
        open_jobs.unreadable += partition.unreadable
        open_jobs.cancelled |= partition.cancelled
        open_jobs.progress_by_key |= partition.progress_by_key
        open_jobs.crashes_by_key |= partition.crashes_by_key
        open_jobs.group_rows_by_key |= partition.group_rows_by_key
    # Partitions are read at different versions; following the changes from the lowest
    # one misses none.
    open_jobs.version = min(partition.version for partition in partitions)
    open_jobs.interference_state = _read_interference(store)
    return open_jobs


def _read_part(store, part):
    """Return the ``OpenJobs`` of one partition."""
    open_jobs = OpenJobs()
    for row in _read_table(store, JOBS, part, open_jobs):
        key = row.id.key
        if key.endswith(CANCEL_SUFFIX):
            open_jobs.cancelled.add(key.removesuffix(CANCEL_SUFFIX))
            continue
        spec = decode_job_row(row)
        if spec is not None:
            open_jobs.specs.append(spec)
        else:
            open_jobs.unreadable.append((key, row.version))
    for row in _read_table(store, RUNS, part, open_jobs):
        open_jobs.progress_by_key[row.id.key] = (row.version, row)
    for row in _read_table(store, GROUPS, part, open_jobs):
        match parse_group_key(row.id.key):
            case (key, group):
                rows = open_jobs.group_rows_by_key.setdefault(key, [])
                rows.append((group, row))
    for row in _read_table(store, CRASHES, part, open_jobs):
        open_jobs.crashes_by_key[row.id.key] = row.value
    return open_jobs


def _read_interference(store):
    """Return the interference model of the predecessor, or None; it is optional."""
    row = INTERFERENCE_ROW
    page = store.read(row.table, row.part, row.key, limit=1).value_or(None)
    stored = [item for item in page.rows if item.id == row] if page is not None else []
    if not stored:
        return None
    try:
        return decode_msgpack(stored[0].value, INTERFERENCE_STATE)
    except DecodingError:
        return None


def read_job_rows(store):
    """Return a ``Result`` of a ``RowPage`` with all rows of the job table."""
    open_jobs = OpenJobs()
    try:
        rows = [
            row for part in PARTS for row in _read_table(store, JOBS, part, open_jobs)
        ]
    except TakeoverFailed as failure:
        return Failure(PlatformUnavailable(str(failure)))
    return Success(RowPage(rows, open_jobs.version))


def restore_job(progress, row, group_rows):
    """Load the stored state of a job into a new ``JobProgress``.

    :param row: Row of the job.
    :param group_rows: Pairs of ``TaskGroup`` and row.
    :returns: Whether the tasks of a large job are still in one row.
    :raises DecodingError: if a row is not a state of the job.
    """
    if not restore_progress(progress, row.value):
        return progress.is_grouped
    for group, group_row in group_rows:
        restore_group(progress, group, group_row.value)
    return False


def _read_table(store, table, part, open_jobs):
    start_key = ""
    while True:
        match store.read(table, part, start_key, limit=PAGE_ROWS):
            case Success(page):
                open_jobs.version = open_jobs.version or page.version
            case Failure(failure):
                raise TakeoverFailed(str(failure))
        yield from page.rows
        if not page.is_partial or not page.rows:
            return
        start_key = page.rows[-1].id.key + "!"
