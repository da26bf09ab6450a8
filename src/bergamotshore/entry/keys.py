"""Idempotency keys of callers, kept in the table service."""

import base64
import hashlib
import threading
from dataclasses import replace

from loguru import logger
from returns.result import Failure, Success

from bergamotshore.adapters.rowwrites import (
    build_write,
    create_operation_id,
    decode_row,
    write_rows,
)
from bergamotshore.entry.outcomes import (
    Completed,
    KeyBusy,
    KeyMismatch,
    NotRun,
    Unknown,
)
from bergamotshore.exceptions import Conflict
from bergamotshore.generated.rows import KeyRow

LARGEST_KEPT_BYTES = 4096
TABLE_RETRY_AFTER_SECONDS = 2.0
CLEAN_TRIES = 30
CLEAN_INTERVAL_SECONDS = 1.0


class HeldKey:
    """A key that this entry has taken for one request.

    :param key: Key of the row.
    :param version: Version of the row.
    :param row: The row.
    """

    def __init__(self, key, version, row):
        self.key = key
        self.version = version
        self.row = row
        self.lock = threading.Lock()


class KeyStore:
    """Take a key before a run, and record the outcome after it.

    :param table: ``Table``.
    :param executor: Executor for writes that no caller waits for.
    :param sleep: Waits some seconds.
    """

    def __init__(self, table, executor, sleep):
        self._table = table
        self._executor = executor
        self._sleep = sleep

    def begin(self, request, request_id):
        """Take the key of a request.

        :param request: ``CallerRequest``.
        :returns: ``HeldKey``, or the outcome when the request must not run.
        """
        key = f"key/{request.service}/{request.idempotency_key}"
        row = KeyRow(
            state="started",
            request_id=request_id,
            digest=digest_request(request),
            operation=create_operation_id(),
        )
        writes = [build_write(key, 0, row)]
        match write_rows(self._table, row.operation, [], writes):
            case Success(versions):
                return HeldKey(key, versions[key], row)
            case Failure(Conflict()):
                return self._explain(key, row.digest)
            case Failure(failure):
                self._executor.submit(self._clean, key, row.operation)
                return NotRun(failure.code, TABLE_RETRY_AFTER_SECONDS)

    def finish(self, held, outcome):
        """Record the outcome of the run.

        A request that did not run gives the key free before the caller is told.

        :param held: ``HeldKey``.
        :param outcome: ``Outcome``.
        """
        match outcome:
            case NotRun():
                self._release(held)
            case Completed():
                self._executor.submit(self._write, held, _complete(held.row, outcome))
            case Unknown():
                row = replace(held.row, state="unknown")
                self._executor.submit(self._write, held, row)

    def finish_late(self, held, outcome):
        """Record an outcome that became known after the caller was told."""
        match outcome:
            case NotRun():
                self._executor.submit(self._release, held)
            case Completed():
                self.finish(held, outcome)

    def _explain(self, key, digest):
        outcome = self._table.get([key]).bind(
            lambda rows: decode_row(rows[key], KeyRow)
        )
        match outcome:
            case Success(None):
                return NotRun("key-just-released", 0.1)
            case Success(KeyRow() as row) if row.digest != digest:
                return KeyMismatch()
            case Success(KeyRow(state="completed", is_body_kept=True) as row):
                body = base64.b64decode(row.body)
                return Completed(row.status, row.content_type, body, is_replay=True)
            case Success(KeyRow(state=state)):
                return KeyBusy(state)
            case Failure(failure):
                return NotRun(failure.code, TABLE_RETRY_AFTER_SECONDS)

    def _write(self, held, row):
        with held.lock:
            is_late = row.state == "unknown" and held.row.state != "started"
            if not is_late:
                self._write_locked(held, row)

    def _write_locked(self, held, row):
        row = replace(row, operation=create_operation_id())
        for _ in range(CLEAN_TRIES):
            writes = [build_write(held.key, held.version, row)]
            match write_rows(self._table, row.operation, [], writes):
                case Success(versions):
                    held.version = versions[held.key]
                    held.row = row
                    return
                case Failure(Conflict()):
                    return
            self._sleep(CLEAN_INTERVAL_SECONDS)
        logger.warning("the outcome of a key was not recorded: {}", held.key)

    def _release(self, held):
        with held.lock:
            write = build_write(held.key, held.version, None)
            match self._table.transact([], [write]):
                case Success(_) | Failure(Conflict()):
                    return
        self._executor.submit(self._clean, held.key, held.row.operation)

    def _clean(self, key, operation):
        """Delete a row that was written for a request that never runs."""
        for _ in range(CLEAN_TRIES):
            self._sleep(CLEAN_INTERVAL_SECONDS)
            if self._try_clean(key, operation):
                return
        logger.warning("a key of a request that never ran was not released: {}", key)

    def _try_clean(self, key, operation):
        match self._table.get([key]):
            case Success(row_by_key):
                stored = row_by_key[key]
            case _:
                return False
        match decode_row(stored, KeyRow):
            case Success(KeyRow(operation=found)) if found == operation:
                write = build_write(key, stored.version, None)
                return isinstance(self._table.transact([], [write]), Success)
        return True


def digest_request(request):
    """Return the digest of method, path and body of a request."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _complete(row, outcome):
    is_kept = len(outcome.body) <= LARGEST_KEPT_BYTES
    body = base64.b64encode(outcome.body).decode("ascii") if is_kept else ""
    return replace(
        row,
        state="completed",
        status=outcome.status,
        content_type=outcome.content_type,
        body=body,
        is_body_kept=is_kept,
    )
