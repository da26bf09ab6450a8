"""Numbers of waiting jobs by queue, as an entry tells them to callers.

The scheduling entry publishes the numbers in one row, which stays as it is while nobody
schedules. So the row alone doesn't say how old they are: the row of the scheduling
lease, which its holder renews all the time, tells when they were last found to be
right. Numbers that are older than callers are promised, or whose age isn't known, are
counted from the stored jobs.
"""

import threading
from functools import partial

from returns.result import Failure, Success

from bergamotshore.entry.countsmark import get_age
from bergamotshore.entry.storedcounts import count_stored_jobs
from bergamotshore.exceptions import PlatformUnavailable

# Callers are told that a number may be this old, in seconds.
MAX_COUNT_AGE_SECONDS = 2.0
# Time for which an answer of the store is used again, in seconds: of the row, and of a
# count of all jobs, which takes many calls.
ROW_CACHE_SECONDS = 0.5
COUNT_CACHE_SECONDS = 1.0


class WaitingCounts:
    """Answer how many jobs of a queue wait; the methods may be called from any thread.

    :param rows: ``JobRows``.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param get_mark: Function that returns the ``CountsMark`` that this entry has read
        or written last, or None.
    :param parallel_map: Function like ``map`` that may run the calls concurrently.
    """

    def __init__(
        self, rows, clock, registry, log, get_mark=lambda: None, parallel_map=map
    ):
        self._rows = rows
        self._clock = clock
        self._registry = registry
        self._log = log
        self._get_mark = get_mark
        self._parallel_map = parallel_map
        # One caller at a time asks the store; the others wait for its answer.
        self._asking = threading.Lock()
        self._count_by_queue = {}
        self._usable_until = -1.0
        self._is_published = True

    def get(self, queue, deadline):
        """Return the ``Result`` of the number of waiting jobs of a queue.

        :param queue: Name of the queue.
        :param deadline: When to stop asking the store, on this entry's clock.
        """
        if self._clock.now() < self._usable_until:
            return Success(self._count_by_queue.get(queue, 0))
        timeout = max(0.0, deadline - self._clock.now())
        if not self._asking.acquire(timeout=timeout):
            return Failure(PlatformUnavailable("the numbers are still being counted"))
        try:
            if self._clock.now() >= self._usable_until:
                outcome = self._refresh(deadline)
                if isinstance(outcome, Failure):
                    return outcome
            return Success(self._count_by_queue.get(queue, 0))
        finally:
            self._asking.release()

    def _refresh(self, deadline):
        asked_at = self._clock.now()
        match self._rows.read_published_counts(deadline):
            case Success(published):
                pass
            case Failure(failure) if isinstance(failure, PlatformUnavailable):
                return Failure(failure)
            case Failure(failure):
                # The row can't be read, and the jobs may be.
                return self._count(deadline, "row-invalid")
        age = get_age(published, self._get_mark())
        if age is None or age > MAX_COUNT_AGE_SECONDS:
            # This entry reads the row of the lease less often than it is renewed.
            mark = self._rows.read_counts_mark(deadline).value_or(None)
            age = get_age(published, mark)
        if age is None or age > MAX_COUNT_AGE_SECONDS:
            return self._count(deadline, "unknown" if age is None else "old")
        self._record_source(is_published=True, reason="", age=age)
        usable_seconds = min(ROW_CACHE_SECONDS, MAX_COUNT_AGE_SECONDS - age)
        self._keep(published.count_by_queue, asked_at + usable_seconds)
        return Success(None)

    def _count(self, deadline, reason):
        asked_at = self._clock.now()
        read = partial(self._rows.read, deadline)
        outcome = count_stored_jobs(read, self._parallel_map)
        match outcome:
            case Success(count_by_queue):
                self._registry.count("counts_from_store_total", reason=reason)
                self._record_source(is_published=False, reason=reason)
                self._keep(count_by_queue, asked_at + COUNT_CACHE_SECONDS)
        return outcome

    def _keep(self, count_by_queue, until):
        self._count_by_queue = count_by_queue
        self._usable_until = until

    def _record_source(self, is_published, reason, age=None):
        """Log when the source of the numbers changes."""
        if is_published == self._is_published:
            return
        self._is_published = is_published
        if is_published:
            self._log.write("counts-published", "waiting", age=round(age, 3))
        else:
            self._log.write("counts-from-store", "waiting", why=reason)
