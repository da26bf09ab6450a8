"""Conditional writes of typed rows, with retries that resolve a lost answer."""

import json
import uuid

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import read_json
from bergamotshore.exceptions import (
    Conflict,
    PlatformAnswerInvalid,
    PlatformUncertain,
)
from bergamotshore.ports.table import Write

MAX_ATTEMPTS = 3


def create_operation_id():
    """Return a new unique identifier of an operation."""
    return uuid.uuid4().hex


def encode_row(row):
    """Return the JSON encoding of a row."""
    return msgspec.json.encode(row)


def decode_row(table_row, row_type):
    """Return ``Result`` of the typed row, or of None when the row is absent.

    :param table_row: ``TableRow`` read from the table.
    :param row_type: Type from ``generated.rows``.
    """
    if table_row.version == 0:
        return Success(None)
    return read_json(table_row.value, row_type).alt(
        lambda error: PlatformAnswerInvalid(f"{table_row.key}: {error}")
    )


def write_rows(table, operation, checks, writes):
    """Write rows in one transaction, resolving a lost answer.

    After a lost answer the same transaction is sent again; its conditions ensure that
    it takes effect at most once. When a retry conflicts, the operation identifier in
    the stored rows shows whether the first attempt was applied.

    :param table: ``Table``.
    :param operation: Operation identifier stored in the written rows.
    :returns: ``Result`` of ``Table.transact``; ``PlatformUncertain`` only when the
        outcome could not be determined.
    """
    had_lost_answer = False
    outcome = Failure(PlatformUncertain("transaction not sent"))
    for _ in range(MAX_ATTEMPTS):
        outcome = table.transact(checks, writes)
        match outcome:
            case Failure(PlatformUncertain() | PlatformAnswerInvalid()):
                had_lost_answer = True
            case Failure(Conflict()) if had_lost_answer:
                return _resolve_conflict(table, operation, writes, outcome)
            case Success(_) | Failure(Conflict()):
                return outcome
            case Failure(failure) if had_lost_answer:
                return Failure(PlatformUncertain(failure.detail))
            case _:
                return outcome
    return Failure(PlatformUncertain(outcome.failure().detail))


def _resolve_conflict(table, operation, writes, conflict):
    upserts = [write for write in writes if write.value is not None]
    match table.get([write.key for write in upserts]):
        case Success(row_by_key):
            pass
        case Failure(failure):
            return Failure(PlatformUncertain(failure.detail))
    for write in upserts:
        row = row_by_key[write.key]
        if row.version and json.loads(row.value).get("operation") == operation:
            versions = {key: item.version for key, item in row_by_key.items()}
            return Success(versions)
    return conflict


def build_write(key, version, row):
    """Return the conditional write of a typed row.

    :param version: Version expected before the write; 0 for an absent row.
    :param row: Row from ``generated.rows``, or None to delete.
    """
    return Write(key, version, None if row is None else encode_row(row))
