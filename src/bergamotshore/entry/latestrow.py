"""Writes the newest value of one row, also when single writes fail."""

from returns.result import Failure, Success

from bergamotshore.entry.background import run_background_call
from bergamotshore.entry.countsmark import CountsMark
from bergamotshore.ports.rows import Expect, Put, RowsConflict

# Delay after a failed write, in seconds.
RETRY_SECONDS = 0.3


class LatestRow:
    """Write the newest value of a row, one write at a time.

    Each write is conditional on the version that it replaces: a write that the store
    executes late has no effect, and one whose answer was lost makes the next write fail
    with a conflict that returns the current version.

    :param store: ``RowStore``.
    :param row_id: ``RowId``.
    :param executor: Executor of the writes.
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
        self._desired_value = None
        self._written_value = None
        self._is_writing = False
        self._retry_at = 0.0
        self._measured_at = 0.0
        self._confirmed = None

    @property
    def confirmed(self):
        """Return the ``CountsMark`` of the last value that was right and written.

        :returns: None before the first one.
        """
        return self._confirmed

    def put(self, value, measured_at=0.0):
        """Set the value to write; the write itself is done by ``step``.

        :param value: Bytes.
        :param measured_at: Time on the store's clock at which it was right, in seconds.
        """
        self._desired_value, self._measured_at = value, measured_at
        if not self._is_writing and value == self._written_value:
            self._confirmed = CountsMark(self._version, measured_at)

    def step(self):
        """Start a write if the newest value isn't written and no write is in flight."""
        is_due = (
            self._desired_value != self._written_value
            and self._clock.now() >= self._retry_at
        )
        if is_due and not self._is_writing:
            self._is_writing = True
            self._executor.submit(self._write, self._desired_value, self._measured_at)

    def _write(self, value, measured_at):
        expects = [Expect(self._row_id, self._version)]
        outcome = run_background_call(
            lambda: self._store.transact(expects, [Put(self._row_id, value)], []),
            self._row_id.table,
            self._log,
        )
        match outcome:
            case Success(version):
                self._version, self._written_value = version, value
                self._confirmed = CountsMark(version, measured_at)
            case Failure(RowsConflict(rows=rows)):
                self._version = next(
                    (row.version for row in rows if row.id == self._row_id), 0
                )
            case Failure(failure):
                self._retry_at = self._clock.now() + RETRY_SECONDS
                # The store may execute it later, in place of a newer one.
                self._written_value = None
                self._log.write("store-failed", self._row_id.table, why=str(failure))
        self._is_writing = False
