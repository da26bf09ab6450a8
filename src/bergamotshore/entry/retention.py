"""Rows of closed jobs: kept as long as callers may ask or repeat, then removed."""

from returns.result import Failure, Success

from bergamotshore.entry.jobrows import CLOSED, PARTS, decode_closed
from bergamotshore.ports.rows import Expect

# How often the rows are looked through, in seconds.
SWEEP_SECONDS = 60.0
# Rows stay this much longer than promised: clocks of entries differ by seconds, and a
# caller's repeated submission may arrive seconds after its answer.
MARGIN_SECONDS = 60.0
# The store answers with at most 500 rows.
PAGE_ROWS = 500
# The store takes 100 entries a call; a removal is an expectation and a key.
LARGEST_BATCH_ROWS = 45


class Retention:
    """Remove the rows of jobs that were closed long ago.

    :param store: ``RowStore``.
    :param executor: Runs the sweep.
    :param clock: ``Clock``.
    :param kept: How long a state can be read, in seconds.
    :param log: ``EventLog``.
    """

    def __init__(self, store, executor, clock, kept, log):
        self._store = store
        self._executor = executor
        self._clock = clock
        self._kept = kept + MARGIN_SECONDS
        self._log = log
        self._next_at = clock.now() + SWEEP_SECONDS

    def sweep_if_due(self, now):
        """Sweep when it is time; called by the entry that schedules."""
        if now >= self._next_at:
            self._next_at = now + SWEEP_SECONDS
            self._executor.submit(self.sweep)

    def sweep(self):
        """Look through all rows once and remove those that are over."""
        removed = sum(self._sweep_part(part) for part in PARTS)
        if removed:
            self._log.write("closed-jobs-removed", CLOSED, rows=removed)

    def _sweep_part(self, part):
        first, removed = "", 0
        while True:
            match self._store.read(CLOSED, part, first, limit=PAGE_ROWS):
                case Success(page):
                    removed += self._remove([r for r in page.rows if self._is_over(r)])
                case Failure(failure):
                    self._log.write("store-failed", CLOSED, why=str(failure))
                    return removed
            if not page.is_partial or not page.rows:
                return removed
            first = page.rows[-1].id.key + "!"

    def _is_over(self, row):
        try:
            closed_at = decode_closed(row.value).closed_at
        except ValueError as error:
            self._log.write("closed-row-invalid", row.id.key, why=str(error))
            return False
        return self._clock.wall() - closed_at > self._kept

    def _remove(self, rows):
        removed = 0
        for start in range(0, len(rows), LARGEST_BATCH_ROWS):
            batch = rows[start : start + LARGEST_BATCH_ROWS]
            expects = [Expect(row.id, row.version) for row in batch]
            outcome = self._store.transact(expects, [], [row.id for row in batch])
            match outcome:
                case Success(_):
                    removed += len(batch)
                case Failure(failure):
                    self._log.write("store-failed", CLOSED, why=str(failure))
        return removed
