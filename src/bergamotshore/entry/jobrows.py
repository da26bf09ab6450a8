"""Rows of submitted jobs in the store: their ids, encoding, writes and reads."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median
from typing import Annotated
from zlib import crc32

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.decoding import call_decoder, decode_msgpack
from bergamotshore.core.work.model import (
    MAX_NUMBER,
    decode_spec,
    encode_spec,
    get_job_key,
)
from bergamotshore.core.work.taskgroups import get_group_key
from bergamotshore.entry.countsmark import PublishedCounts
from bergamotshore.entry.election import LEADER_ROW, decode_leader_row
from bergamotshore.exceptions import (
    DecodingError,
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
    RowsRefused,
)
from bergamotshore.ports.rows import Expect, Put, RowId, RowsConflict

JOBS, RUNS, CLOSED, FENCE = "jobs", "runs", "closed", "fence"
CLOSED_STATES = ("done", "failed", "cancelled")
CRASHES = "crashes"
GROUPS = "taskgroups"
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
CANCEL_SUFFIX = "/cancel"
# Longest key that the store takes, and what keys of a job's rows append to its own.
MAX_KEY_BYTES = 200
MAX_SUFFIX_BYTES = 30
# The store runs the transactions of a partition one at a time. While it is slow, each
# takes up to 0.8 s, so 9 submissions per second need 8 partitions; more would split the
# changes of the scheduling entry into more calls. Rows are not moved, so the number can
# only be changed while no job is stored.
PARTS = tuple(f"p{number}" for number in range(8))
INTERFERENCE_ROW = RowId("learned", "", "interference")
COUNTS_ROW = RowId("counts", "", "waiting")
# A slow store takes up to 1.2 s for a write.
WRITE_TIMEOUT_SECONDS = 1.6
# A slow store answers a read in under 0.4 s; callers wait for two seconds or more, so
# there is time for another attempt.
READ_TIMEOUT_SECONDS = 0.8
# Largest share of a caller's time that the first attempt of a read may use.
FIRST_READ_SHARE = 0.5
# Timeout of a call that is made right before its caller's deadline, in seconds.
MIN_TIMEOUT_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.4
# Write latencies are used for this long; a store stays slow for seconds at a time.
LATENCY_WINDOW_SECONDS = 2.0
INITIAL_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ClosedJob:
    """Row of a finished or cancelled job.

    :param state: Final state.
    :param closed_at: Time at which it was closed, in seconds since the Unix epoch.
    """

    state: str
    closed_at: float = 0.0


def get_part(key):
    """Return the partition that holds the rows of a job.

    :param key: Key of the job.
    """
    return PARTS[crc32(key.encode()) % len(PARTS)]


def get_row_id(table, key):
    """Return the id of the row of a job in a table.

    :param key: Key of the job.
    """
    return RowId(table, get_part(key), key)


def get_cancel_id(key):
    """Return the id of the row that marks a job as cancelled."""
    row_id = get_row_id(JOBS, key)
    return RowId(JOBS, row_id.part, key + CANCEL_SUFFIX)


def get_group_id(key, group):
    """Return the id of the row of a group of tasks of a large job.

    :param key: Key of the job.
    :param group: ``TaskGroup``.
    """
    return RowId(GROUPS, get_part(key), get_group_key(key, group))


def find_id_problem(queue, job_id):
    """Return why an id can't name a job; empty if it can.

    Keys of jobs end with their ids, and a cancellation's key with ``CANCEL_SUFFIX``. So
    no key names two jobs, or a job and a cancellation, whatever the queues are called.

    :param queue: Name of the queue.
    :param job_id: Id that the caller chose.
    """
    if not job_id or "/" in job_id or f"/{job_id}" == CANCEL_SUFFIX:
        return (
            f"a job's id is not empty, holds no slash and is not {CANCEL_SUFFIX[1:]!r}"
        )
    key = get_job_key(queue, job_id)
    if len(key.encode()) + MAX_SUFFIX_BYTES > MAX_KEY_BYTES:
        return f"the id takes the keys of the job beyond {MAX_KEY_BYTES} bytes"
    return ""


def get_fence_id(part):
    """Return the id of the fence row of a partition."""
    return RowId(FENCE, part, "epoch")


class WriteLatency:
    """Recent write latency of the store, shared by all threads."""

    def __init__(self):
        self._recent = deque(maxlen=16)

    def record(self, seconds, now):
        """Record the duration of a write that was answered or timed out."""
        self._recent.append((now, seconds))

    def get_expected_seconds(self, now):
        """Return the median of recent write latencies, in seconds; 0 if none."""
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
    :param pause: Function that sleeps for a number of seconds.
    :param on_accepted: Called with each ``JobSpec`` that was stored and the version of
        the store, or None if the write got no answer.
    """

    def __init__(self, store, clock, pause, on_accepted=lambda spec, version: None):
        self._on_accepted = on_accepted
        self._store = store
        self._clock = clock
        self._pause = pause
        self._latency = WriteLatency()
        self._end = math.inf

    def finish_by(self, end):
        """Let all calls end by a time, also those that are in flight.

        :param end: Time on this entry's clock.
        """
        self._end = end

    def accept(self, spec, deadline):
        """Store a job unless it exists.

        :param deadline: When to stop retrying, on this entry's clock.
        :returns: ``Result`` of True if the job was stored, False if it already existed.
            ``PlatformUnavailable`` means that it is not stored and never will be;
            ``PlatformUncertain`` means that it may be stored, ``RowsRefused`` that it
            can't be.
        """
        job = get_row_id(JOBS, spec.key)
        expects = [Expect(job, 0), Expect(get_row_id(CLOSED, spec.key), 0)]
        outcome = self._write(expects, [Put(job, encode_spec(spec))], deadline)
        match outcome:
            case Success(version):
                self._on_accepted(spec, version)
                return Success(True)
            case Failure(RowsConflict()):
                return Success(False)
            case Failure(PlatformUncertain()):
                self._on_accepted(spec, None)
        return outcome

    def cancel(self, queue, job_id, deadline):
        """Mark a job as cancelled.

        :returns: ``Result`` of True if it was marked, False if there is no such open
            job.
        """
        key = get_job_key(queue, job_id)
        job = get_row_id(JOBS, key)
        while True:
            match self._get(job, deadline):
                case Success(None):
                    return Success(False)
                case Success(stored):
                    pass
                case failure:
                    return failure
            put = Put(get_cancel_id(key), b"1")
            outcome = self._write([Expect(job, stored.version)], [put], deadline)
            match outcome:
                case Success(_):
                    return Success(True)
                case Failure(RowsConflict()):
                    continue
            return outcome

    def _write(self, expects, puts, deadline):
        """Retry a transaction until it is answered; its conditions make that safe.

        If the deadline is sooner than the expected write latency, nothing is sent, so
        that the caller gets a definite failure instead of an unknown outcome.
        """
        now = self._clock.now()
        expected = self._latency.get_expected_seconds(now)
        if now + expected > min(deadline, self._end) or now >= self._end:
            return Failure(PlatformUnavailable(f"a write needs {expected:.1f} s"))
        is_uncertain = False
        pause = INITIAL_PAUSE_SECONDS
        while True:
            sent_at = self._clock.now()
            remaining = min(deadline, self._end) - sent_at
            timeout = min(WRITE_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, remaining))
            outcome = self._store.transact(expects, puts, [], timeout)
            self._latency.record(self._clock.now() - sent_at, self._clock.now())
            match outcome:
                case Success(_) | Failure(RowsConflict() | RowsRefused()):
                    return outcome
                case Failure(PlatformUncertain()):
                    is_uncertain = True
            if self._clock.now() + pause >= min(deadline, self._end):
                detail = outcome.failure().detail
                return Failure(PlatformUncertain(detail)) if is_uncertain else outcome
            self._pause(pause)
            pause = min(MAX_PAUSE_SECONDS, 2 * pause)

    def read(self, deadline, *arguments, **options):
        """Retry a read until it is answered, or the deadline has passed.

        One connection may have gone silent while the store answers on others.
        """
        pause = INITIAL_PAUSE_SECONDS
        share = FIRST_READ_SHARE
        while True:
            now = self._clock.now()
            if now >= self._end:
                return Failure(PlatformUnavailable("the entry is shutting down"))
            remaining = max(MIN_TIMEOUT_SECONDS, share * (deadline - now))
            timeout = min(READ_TIMEOUT_SECONDS, remaining, self._end - now)
            share = 1.0
            outcome = self._store.read(*arguments, **options, timeout=timeout)
            is_late = self._clock.now() + pause >= min(deadline, self._end)
            if isinstance(outcome, Success) or is_late:
                return outcome
            self._pause(pause)
            pause = min(MAX_PAUSE_SECONDS, 2 * pause)

    def _get(self, row_id, deadline):
        page = self.read(deadline, row_id.table, row_id.part, row_id.key, limit=1)
        return page.map(
            lambda page: next((row for row in page.rows if row.id == row_id), None)
        )

    def get_state(self, queue, job_id, deadline):
        """Return a ``Result`` of the state of a job, None if there is no such job.

        :param deadline: When to stop retrying, on this entry's clock.
        """
        key = get_job_key(queue, job_id)
        job = get_row_id(JOBS, key)
        rows = self.read(deadline, JOBS, job.part, key, key + "0", limit=2)
        match rows:
            case Success(page):
                keys = {row.id.key for row in page.rows}
            case failure:
                return failure
        if key + CANCEL_SUFFIX in keys:
            return Success("cancelled")
        if key in keys:
            if len(keys) > 1:
                # Ids that begin with this one may come before the cancellation.
                return self._get_open_state(key, deadline)
            return self._get_run_state(key, deadline)
        return self._get(get_row_id(CLOSED, key), deadline).bind(_decode_closed_state)

    def has(self, key, deadline):
        """Return a ``Result`` of whether a job is stored, open or closed.

        The open row is read first: a job that is closed in between is found closed.

        :param key: Key of the job.
        :param deadline: When to stop retrying, on this entry's clock.
        """
        match self._get(get_row_id(JOBS, key), deadline):
            case Success(None):
                closed = self._get(get_row_id(CLOSED, key), deadline)
                return closed.map(lambda row: row is not None)
            case Success(_):
                return Success(True)
            case failure:
                return failure

    def _get_open_state(self, key, deadline):
        match self._get(get_cancel_id(key), deadline):
            case Success(None):
                return self._get_run_state(key, deadline)
            case Success(_):
                return Success("cancelled")
            case failure:
                return failure

    def _get_run_state(self, key, deadline):
        return self._get(get_row_id(RUNS, key), deadline).map(
            lambda row: "pending" if row is None else "running"
        )

    def get_waiting_counts(self, deadline):
        """Return a ``Result`` of the number of waiting jobs by queue.

        :param deadline: When to stop retrying, on this entry's clock.
        """
        published = self.read_published_counts(deadline)
        return published.map(lambda published: published.count_by_queue)

    def read_published_counts(self, deadline):
        """Return a ``Result`` of the ``PublishedCounts``.

        :param deadline: When to stop retrying, on this entry's clock.
        """
        row_id = COUNTS_ROW
        page = self.read(deadline, row_id.table, row_id.part, row_id.key, limit=1)
        return page.bind(_decode_published_counts)

    def read_counts_mark(self, deadline):
        """Return a ``Result`` of the ``CountsMark`` in the row of the lease, or None.

        :param deadline: When to stop retrying, on this entry's clock.
        """
        return self._get(LEADER_ROW, deadline).bind(_decode_counts_mark)


def _decode_published_counts(page):
    row = next((row for row in page.rows if row.id == COUNTS_ROW), None)
    version = row.version if row is not None else 0
    return _decode_counts(row).map(
        lambda count_by_queue: PublishedCounts(version, count_by_queue, page.now)
    )


def _decode_counts_mark(row):
    if row is None:
        return Success(None)
    try:
        return Success(decode_leader_row(row).counts)
    except DecodingError as error:
        return Failure(PlatformAnswerInvalid(f"{row.id.key}: {error}"))


def _decode_counts(row):
    if row is None:
        return Success({})
    try:
        return Success(decode_msgpack(row.value, dict[str, Count]))
    except DecodingError as error:
        return Failure(PlatformAnswerInvalid(f"{row.id.key}: {error}"))


def _decode_closed_state(row):
    if row is None:
        return Success(None)
    try:
        return Success(decode_closed(row.value).state)
    except DecodingError as error:
        return Failure(PlatformAnswerInvalid(f"{row.id.key}: {error}"))


def encode_closed(closed):
    """Encode a ``ClosedJob`` as bytes."""
    return f"{closed.state} {closed.closed_at:.0f}".encode()


def decode_closed(content):
    """Decode a ``ClosedJob``; one without a time is treated as closed long ago.

    :raises DecodingError: if the bytes are not a valid row.
    """
    state, _, time = call_decoder(content.decode).partition(" ")
    closed_at = call_decoder(float, time or 0.0)
    if state not in CLOSED_STATES or not 0 <= closed_at <= MAX_NUMBER:
        raise DecodingError("state or time of a closed job is invalid")
    return ClosedJob(state, closed_at)


def decode_job_row(row):
    """Return the ``JobSpec`` in a row, None if it is invalid or that of another job."""
    try:
        spec = decode_spec(row.value)
    except DecodingError:
        return None
    return spec if spec.key == row.id.key else None
