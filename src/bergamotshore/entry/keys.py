"""Storage of callers' idempotency keys in the table service."""

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

MAX_STORED_BODY_BYTES = 4096
STORAGE_RETRY_AFTER_SECONDS = 2.0
WRITE_ATTEMPTS = 30
RETRY_INTERVAL_SECONDS = 1.0


class ReservedKey:
    """An idempotency key that this entry has reserved for one request.

    :param key: Key of the row.
    :param version: Version of the row as last written.
    :param row: ``KeyRow`` as last written.
    """

    def __init__(self, key, version, row):
        self.key = key
        self.version = version
        self.row = row
        self.lock = threading.Lock()


class KeyStore:
    """Reserve a key before a request runs and record the outcome afterwards.

    :param table: ``Table``.
    :param executor: Executor for background writes.
    :param sleep: Function that sleeps for a number of seconds.
    """

    def __init__(self, table, executor, sleep):
        self._table = table
        self._executor = executor
        self._sleep = sleep

    def reserve(self, request, request_id):
        """Reserve the key of a request.

        :param request: ``CallerRequest``.
        :returns: ``ReservedKey``, or the outcome if the request must not run.
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
                return ReservedKey(key, versions[key], row)
            case Failure(Conflict()):
                return self._get_existing_outcome(key, row.digest)
            case Failure(failure):
                self._executor.submit(self._delete_orphaned_row, key, row.operation)
                return NotRun(failure.code, STORAGE_RETRY_AFTER_SECONDS)

    def record_outcome(self, reserved_key, outcome):
        """Record the outcome of a request.

        If the request did not run, the key is released before the caller gets the
        answer.

        :param reserved_key: ``ReservedKey``.
        :param outcome: ``Outcome``.
        """
        match outcome:
            case NotRun():
                self._release(reserved_key)
            case Completed():
                self._executor.submit(
                    self._write,
                    reserved_key,
                    _build_completed_row(reserved_key.row, outcome),
                )
            case Unknown():
                row = replace(reserved_key.row, state="unknown")
                self._executor.submit(self._write, reserved_key, row)

    def record_late_outcome(self, reserved_key, outcome):
        """Record an outcome that arrived after the caller's deadline."""
        match outcome:
            case NotRun():
                self._executor.submit(self._release, reserved_key)
            case Completed():
                self.record_outcome(reserved_key, outcome)

    def _get_existing_outcome(self, key, digest):
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
                return NotRun(failure.code, STORAGE_RETRY_AFTER_SECONDS)

    def _write(self, reserved_key, row):
        with reserved_key.lock:
            is_superseded = (
                row.state == "unknown" and reserved_key.row.state != "started"
            )
            if not is_superseded:
                self._write_locked(reserved_key, row)

    def _write_locked(self, reserved_key, row):
        row = replace(row, operation=create_operation_id())
        for _ in range(WRITE_ATTEMPTS):
            writes = [build_write(reserved_key.key, reserved_key.version, row)]
            match write_rows(self._table, row.operation, [], writes):
                case Success(versions):
                    reserved_key.version = versions[reserved_key.key]
                    reserved_key.row = row
                    return
                case Failure(Conflict()):
                    return
            self._sleep(RETRY_INTERVAL_SECONDS)
        logger.warning(
            "could not record the outcome of idempotency key {}", reserved_key.key
        )

    def _release(self, reserved_key):
        with reserved_key.lock:
            write = build_write(reserved_key.key, reserved_key.version, None)
            match self._table.transact([], [write]):
                case Success(_) | Failure(Conflict()):
                    return
        self._executor.submit(
            self._delete_orphaned_row, reserved_key.key, reserved_key.row.operation
        )

    def _delete_orphaned_row(self, key, operation):
        """Delete a row that may have been written for a request that never runs."""
        for _ in range(WRITE_ATTEMPTS):
            self._sleep(RETRY_INTERVAL_SECONDS)
            if self._try_delete_orphaned_row(key, operation):
                return
        logger.warning("could not release idempotency key {} of a request not run", key)

    def _try_delete_orphaned_row(self, key, operation):
        match self._table.get([key]):
            case Success(row_by_key):
                stored = row_by_key[key]
            case _:
                return False
        match decode_row(stored, KeyRow):
            case Success(KeyRow(operation=stored_operation)) if (
                stored_operation == operation
            ):
                write = build_write(key, stored.version, None)
                return isinstance(self._table.transact([], [write]), Success)
        return True


def digest_request(request):
    """Return a digest of the method, path and body of a request."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _build_completed_row(row, outcome):
    is_body_kept = len(outcome.body) <= MAX_STORED_BODY_BYTES
    body = base64.b64encode(outcome.body).decode("ascii") if is_body_kept else ""
    return replace(
        row,
        state="completed",
        status=outcome.status,
        content_type=outcome.content_type,
        body=body,
        is_body_kept=is_body_kept,
    )
