"""Removal of the rows of closed jobs once callers no longer query or resubmit them."""

from returns.result import Failure, Success

from bergamotshore.entry.jobrows import CLOSED, PARTS, decode_closed
from bergamotshore.ports.rows import Expect

# Interval between sweeps of all rows, in seconds.
SWEEP_SECONDS = 60.0
# Time for which rows stay beyond the configured one: clocks of entries differ by
# seconds, and a repeated submission may arrive seconds after the first was answered.
MARGIN_SECONDS = 60.0
# The store returns at most 500 rows per read.
PAGE_ROWS = 500
# The store accepts 100 items per transaction; a removal takes two of them, an
# expectation and a key.
MAX_BATCH_ROWS = 45


class Retention:
    """Remove the rows of jobs that were closed long ago.

    :param store: ``RowStore``.
    :param executor: Runs the sweep.
    :param clock: ``Clock``.
    :param retention_seconds: Time for which the state of a closed job can be read.
    :param log: ``EventLog``.
    """

    def __init__(self, store, executor, clock, retention_seconds, log):
        self._store = store
        self._executor = executor
        self._clock = clock
        self._retention_seconds = retention_seconds + MARGIN_SECONDS
        self._log = log
        self._next_sweep_at = clock.now() + SWEEP_SECONDS

    def sweep_if_due(self, now):
        """Start a sweep if one is due; called by the scheduling entry."""
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_SECONDS
            self._executor.submit(self.sweep)

    def sweep(self):
        """Read all rows once and remove the expired ones."""
        removed = sum(self._sweep_part(part) for part in PARTS)
        if removed:
            self._log.write("closed-jobs-removed", CLOSED, rows=removed)

    def _sweep_part(self, part):
        first_key, removed = "", 0
        while True:
            match self._store.read(CLOSED, part, first_key, limit=PAGE_ROWS):
                case Success(page):
                    removed += self._remove(
                        [r for r in page.rows if self._is_expired(r)]
                    )
                case Failure(failure):
                    self._log.write("store-failed", CLOSED, why=str(failure))
                    return removed
            if not page.is_partial or not page.rows:
                return removed
            first_key = page.rows[-1].id.key + "!"

    def _is_expired(self, row):
        try:
            closed_at = decode_closed(row.value).closed_at
        except ValueError as error:
            self._log.write("closed-row-invalid", row.id.key, why=str(error))
            return False
        return self._clock.wall() - closed_at > self._retention_seconds

    def _remove(self, rows):
        removed = 0
        for start in range(0, len(rows), MAX_BATCH_ROWS):
            batch = rows[start : start + MAX_BATCH_ROWS]
            expects = [Expect(row.id, row.version) for row in batch]
            outcome = self._store.transact(expects, [], [row.id for row in batch])
            match outcome:
                case Success(_):
                    removed += len(batch)
                case Failure(failure):
                    self._log.write("store-failed", CLOSED, why=str(failure))
        return removed
