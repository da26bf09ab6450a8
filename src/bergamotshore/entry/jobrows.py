"""Rows of submitted jobs: where they are, and how entries write and read them."""

from collections import deque
from dataclasses import dataclass
from statistics import median
from zlib import crc32

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.model import decode_spec, encode_spec, get_job_key
from bergamotshore.exceptions import PlatformUnavailable, PlatformUncertain
from bergamotshore.ports.rows import Expect, Put, RowId, RowsConflict

JOBS, RUNS, CLOSED, FENCE = "jobs", "runs", "closed", "fence"
CANCEL_SUFFIX = "/cancel"
# A partition carries out its transactions one after another. While the store is slow,
# one of them takes up to 0.8 s, and 9 submissions a second need 8 partitions; more
# would split the changes of the scheduling entry into more calls. Rows stay where they
# were written, so the number can only change while no job is stored.
PARTS = tuple(f"p{number}" for number in range(8))
LEARNED_ROW = RowId("learned", "", "interference")
COUNTS_ROW = RowId("counts", "", "waiting")
# Time for one write; a slow store takes up to 1.2 s. In seconds.
WRITE_SECONDS = 1.6
LONGEST_PAUSE_SECONDS = 0.4
# What writes needed counts for this long; spells of a slow store last seconds.
LATENCY_WINDOW_SECONDS = 2.0
FIRST_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ClosedJob:
    """The row of a job that is over.

    :param state: Its last state.
    :param closed_at: When it was closed, in seconds since the epoch.
    """

    state: str
    closed_at: float = 0.0


def get_part(key):
    """Return the partition that holds the rows of a job.

    :param key: Key of the job.
    """
    return PARTS[crc32(key.encode()) % len(PARTS)]


def get_row_id(table, key):
    """Return the place of a row of a job.

    :param key: Key of the job.
    """
    return RowId(table, get_part(key), key)


def get_cancel_id(key):
    """Return the place of the row that cancels a job."""
    row_id = get_row_id(JOBS, key)
    return RowId(JOBS, row_id.part, key + CANCEL_SUFFIX)


def get_fence_id(part):
    """Return the place of the row that fences writes to a partition."""
    return RowId(FENCE, part, "epoch")


class WriteTimes:
    """How long writes of any thread need at present."""

    def __init__(self):
        self._recent = deque(maxlen=16)

    def note(self, seconds, now):
        """Take note of a write that was answered, or given up after that time."""
        self._recent.append((now, seconds))

    def get_expected(self, now):
        """Return what a write needs, in seconds; 0 when none was made lately."""
        recent = [
            seconds
            for at, seconds in list(self._recent)
            if now - at < LATENCY_WINDOW_SECONDS
        ]
        return median(recent) if recent else 0.0


class JobRows:
    """Accept, cancel and look up jobs in the store.

    :param store: ``RowStore``.
    :param clock: ``Clock``.
    :param pause: Waits some seconds.
    """

    def __init__(self, store, clock, pause):
        self._store = store
        self._clock = clock
        self._pause = pause
        self._times = WriteTimes()

    def accept(self, spec, until):
        """Write a job once.

        :param until: When to give up, on this entry's clock.
        :returns: ``Result`` of True when it is stored, False when it was before.
            ``PlatformUnavailable`` means that it is not stored and never will be;
            ``PlatformUncertain`` that it may be.
        """
        job = get_row_id(JOBS, spec.key)
        expects = [Expect(job, 0), Expect(get_row_id(CLOSED, spec.key), 0)]
        outcome = self._write(expects, [Put(job, encode_spec(spec))], until)
        match outcome:
            case Success(_):
                return Success(True)
            case Failure(RowsConflict()):
                return Success(False)
        return outcome

    def cancel(self, queue, job_id, until):
        """Write that a job is cancelled.

        :returns: ``Result`` of True when it is, False when there is no such open job.
        """
        key = get_job_key(queue, job_id)
        job = get_row_id(JOBS, key)
        while True:
            match self._get(job):
                case Success(None):
                    return Success(False)
                case Success(stored):
                    pass
                case failure:
                    return failure
            put = Put(get_cancel_id(key), b"1")
            outcome = self._write([Expect(job, stored.version)], [put], until)
            match outcome:
                case Success(_):
                    return Success(True)
                case Failure(RowsConflict()):
                    continue
            return outcome

    def _write(self, expects, puts, until):
        """Send one transaction until it is answered; its conditions allow that.

        Without the time that writes need at present nothing is sent, so that the caller
        can be told for certain that nothing was done.
        """
        expected = self._times.get_expected(self._clock.now())
        if self._clock.now() + expected > until:
            return Failure(PlatformUnavailable(f"a write needs {expected:.1f} s"))
        is_uncertain = False
        pause = FIRST_PAUSE_SECONDS
        while True:
            remaining = max(0.1, until - self._clock.now())
            timeout = min(WRITE_SECONDS, remaining)
            sent_at = self._clock.now()
            outcome = self._store.transact(expects, puts, [], timeout)
            self._times.note(self._clock.now() - sent_at, self._clock.now())
            match outcome:
                case Success(_) | Failure(RowsConflict()):
                    return outcome
                case Failure(PlatformUncertain()):
                    is_uncertain = True
            if self._clock.now() + pause >= until:
                detail = outcome.failure().detail
                return Failure(PlatformUncertain(detail)) if is_uncertain else outcome
            self._pause(pause)
            pause = min(LONGEST_PAUSE_SECONDS, 2 * pause)

    def _get(self, row_id):
        page = self._store.read(row_id.table, row_id.part, row_id.key, limit=1)
        return page.map(
            lambda page: next((row for row in page.rows if row.id == row_id), None)
        )

    def get_state(self, queue, job_id):
        """Return ``Result`` of the state of a job, None when there is no such job."""
        key = get_job_key(queue, job_id)
        job = get_row_id(JOBS, key)
        rows = self._store.read(JOBS, job.part, key, key + "0", limit=2)
        match rows:
            case Success(page):
                keys = {row.id.key for row in page.rows}
            case failure:
                return failure
        if key + CANCEL_SUFFIX in keys:
            return Success("cancelled")
        if key in keys:
            return self._get(get_row_id(RUNS, key)).map(
                lambda row: "pending" if row is None else "running"
            )
        return self._get(get_row_id(CLOSED, key)).map(
            lambda row: None if row is None else decode_closed(row.value).state
        )

    def get_waiting_counts(self):
        """Return ``Result`` of the number of waiting jobs by queue."""
        return self._get(COUNTS_ROW).map(_decode_counts)


def _decode_counts(row):
    return {} if row is None else msgspec.msgpack.decode(row.value, type=dict[str, int])


def encode_closed(closed):
    """Return the bytes of a ``ClosedJob``."""
    return f"{closed.state} {closed.closed_at:.0f}".encode()


def decode_closed(content):
    """Return the ``ClosedJob`` of bytes; without a time it counts as closed long ago.

    :raises ValueError: for bytes that are no such row.
    """
    state, _, closed_at = content.decode().partition(" ")
    return ClosedJob(state, float(closed_at or 0.0))


def decode_job_row(row):
    """Return the ``JobSpec`` in a row, None when it can not be read."""
    try:
        return decode_spec(row.value)
    except msgspec.MsgspecError:
        return None
