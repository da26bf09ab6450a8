"""The begin of a term: fence off the predecessor, then read what is open."""

from dataclasses import dataclass, field

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.progress import restore_progress
from bergamotshore.entry.jobrows import (
    CANCEL_SUFFIX,
    JOBS,
    LEARNED_ROW,
    PARTS,
    RUNS,
    decode_job_row,
    get_fence_id,
)
from bergamotshore.exceptions import BergamotshoreError, PlatformUnavailable
from bergamotshore.ports.rows import Expect, Put, RowPage, RowsConflict

PAGE_ROWS = 500
# Factors as serving image, filling image, factor; then lowest latency by image, in ms.
LEARNED = tuple[list[tuple[str, str, float]], list[tuple[str, float]]]
TRIES = 4


class TakeoverFailed(BergamotshoreError):
    """A term could not begin.

    :param detail: What was seen.
    :param is_superseded: Whether a later term has begun.
    """

    code = "takeover-failed"

    def __init__(self, detail, is_superseded=False):
        super().__init__(detail)
        self.is_superseded = is_superseded


@dataclass(slots=True)
class OpenJobs:
    """What is open in the store.

    :param version: Version of the store before the first reading.
    :param specs: List of ``JobSpec``.
    :param cancelled: Keys of jobs that are cancelled.
    :param progress_by_key: Pair of row version and function that restores a
        ``JobProgress``, by key of the job.
    :param learned: What the predecessor learned of interference; None without.
    """

    version: int = 0
    specs: list = field(default_factory=list)
    cancelled: set = field(default_factory=set)
    progress_by_key: dict = field(default_factory=dict)
    learned: list | None = None


def write_fences(store, epoch, run):
    """Put the fence of a term on every partition.

    :param run: Applies a function to each of several values, at the same time.
    :returns: Version of the fence row by partition.
    :raises TakeoverFailed: when the store fails or a later term has its fence there.
    """
    versions = run(lambda part: _take_fence(store, part, epoch), PARTS)
    return dict(zip(PARTS, versions, strict=True))


def _take_fence(store, part, epoch):
    fence = get_fence_id(part)
    detail = ""
    for _ in range(TRIES):
        match store.read(fence.table, part, fence.key, limit=1):
            case Success(page):
                pass
            case Failure(failure):
                detail = str(failure)
                continue
        row = next((row for row in page.rows if row.id == fence), None)
        found = msgspec.msgpack.decode(row.value, type=int) if row is not None else 0
        if found > epoch:
            raise TakeoverFailed(f"term {found} has begun", is_superseded=True)
        version = row.version if row is not None else 0
        if found == epoch:
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


def read_open_jobs(store, run):
    """Return ``OpenJobs`` of all partitions.

    :param run: Applies a function to each of several values, at the same time.
    :raises TakeoverFailed: when the store fails.
    """
    found = OpenJobs()
    pieces = list(run(lambda part: _read_part(store, part), PARTS))
    for piece in pieces:
        found.specs += piece.specs
        found.cancelled |= piece.cancelled
        found.progress_by_key |= piece.progress_by_key
    # Changes since the first reading of any partition may have been missed.
    found.version = min(piece.version for piece in pieces)
    found.learned = _read_learned(store)
    return found


def _read_part(store, part):
    """Return the ``OpenJobs`` of one partition."""
    found = OpenJobs()
    for row in _read_table(store, JOBS, part, found):
        key = row.id.key
        if key.endswith(CANCEL_SUFFIX):
            found.cancelled.add(key.removesuffix(CANCEL_SUFFIX))
            continue
        spec = decode_job_row(row)
        if spec is not None:
            found.specs.append(spec)
    for row in _read_table(store, RUNS, part, found):
        found.progress_by_key[row.id.key] = (row.version, _build_restore(row))
    return found


def _read_learned(store):
    """Return what the predecessor learned; a term can begin without it."""
    row = LEARNED_ROW
    page = store.read(row.table, row.part, row.key, limit=1).value_or(None)
    stored = [item for item in page.rows if item.id == row] if page is not None else []
    if not stored:
        return None
    try:
        return msgspec.msgpack.decode(stored[0].value, type=LEARNED)
    except msgspec.MsgspecError:
        return None


def read_job_rows(store):
    """Return ``Result`` of a ``RowPage`` of the whole table of jobs."""
    found = OpenJobs()
    try:
        rows = [row for part in PARTS for row in _read_table(store, JOBS, part, found)]
    except TakeoverFailed as failure:
        return Failure(PlatformUnavailable(str(failure)))
    return Success(RowPage(rows, found.version))


def _build_restore(row):
    return lambda progress: restore_progress(progress, row.value)


def _read_table(store, table, part, found):
    first = ""
    while True:
        match store.read(table, part, first, limit=PAGE_ROWS):
            case Success(page):
                found.version = found.version or page.version
            case Failure(failure):
                raise TakeoverFailed(str(failure))
        yield from page.rows
        if not page.is_partial or not page.rows:
            return
        first = page.rows[-1].id.key + "!"
