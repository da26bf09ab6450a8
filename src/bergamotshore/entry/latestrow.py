"""One row that ends with the newest value, whatever becomes of single writes."""

from returns.result import Failure, Success

from bergamotshore.ports.rows import Expect, Put, RowsConflict

# Pause after a write that failed, in seconds.
RETRY_SECONDS = 0.3


class LatestRow:
    """Write the newest value of a row, one write at a time.

    Each write names the version that it replaces: one that the store carries out late
    changes nothing, and one whose answer was lost is found out by the next.

    :param store: ``RowStore``.
    :param row_id: ``RowId``.
    :param executor: Runs the writes.
    :param clock: ``Clock``.
    :param log: ``EventLog``.
    """

    def __init__(self, store, row_id, executor, clock, log):
        self._log = log
        self._store = store
        self._row_id = row_id
        self._executor = executor
        self._clock = clock
        self._version = 0
        self._wanted = None
        self._written = None
        self._is_writing = False
        self._retry_at = 0.0

    def put(self, value):
        """Take the value that the row is to have.

        :param value: Bytes.
        """
        self._wanted = value

    def step(self):
        """Write when the newest value is not written and no write is under way."""
        is_due = self._wanted != self._written and self._clock.now() >= self._retry_at
        if is_due and not self._is_writing:
            self._is_writing = True
            self._executor.submit(self._write, self._wanted)

    def _write(self, value):
        expects = [Expect(self._row_id, self._version)]
        match self._store.transact(expects, [Put(self._row_id, value)], []):
            case Success(version):
                self._version, self._written = version, value
            case Failure(RowsConflict(rows=rows)):
                self._version = next(
                    (row.version for row in rows if row.id == self._row_id), 0
                )
            case Failure(failure):
                self._retry_at = self._clock.now() + RETRY_SECONDS
                self._log.write("store-failed", self._row_id.table, why=str(failure))
        self._is_writing = False
