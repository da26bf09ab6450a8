"""Writes whose lost answers are settled by asking again, never by assuming."""

import json
import uuid

import msgspec
from returns.result import Failure, Success

from bergamotshore.exceptions import (
    Conflict,
    PlatformAnswerInvalid,
    PlatformUncertain,
)
from bergamotshore.ports.table import Write

TRIES = 3


def create_operation_id():
    """Return a new operation identifier."""
    return uuid.uuid4().hex


def encode_row(row):
    """Return the JSON text of a row."""
    return msgspec.json.encode(row)


def decode_row(table_row, row_type):
    """Return ``Result`` of the typed row, None when it is absent.

    :param table_row: ``TableRow`` as read.
    :param row_type: Type from ``generated.rows``.
    """
    if table_row.version == 0:
        return Success(None)
    try:
        return Success(msgspec.json.decode(table_row.value, type=row_type))
    except msgspec.MsgspecError as error:
        return Failure(PlatformAnswerInvalid(f"{table_row.key}: {error}"))


def write_rows(table, operation, checks, writes):
    """Write rows in one transaction and settle a lost answer.

    The same transaction is sent again after a lost answer: its conditions let it take
    effect once at most. A conflict after a lost answer is decided by the operation
    identifier in the row.

    :param table: ``Table``.
    :param operation: Operation identifier that the written rows carry.
    :returns: ``Result`` as of ``Table.transact``; ``PlatformUncertain`` only when the
        service stayed unreachable.
    """
    was_lost = False
    outcome = Failure(PlatformUncertain("not sent"))
    for _ in range(TRIES):
        outcome = table.transact(checks, writes)
        match outcome:
            case Failure(PlatformUncertain() | PlatformAnswerInvalid()):
                was_lost = True
            case Failure(Conflict()) if was_lost:
                return _settle(table, operation, writes, outcome)
            case Success(_) | Failure(Conflict()):
                return outcome
            case Failure(failure) if was_lost:
                return Failure(PlatformUncertain(failure.detail))
            case _:
                return outcome
    return Failure(PlatformUncertain(outcome.failure().detail))


def _settle(table, operation, writes, conflict):
    stored = [write for write in writes if write.value is not None]
    match table.get([write.key for write in stored]):
        case Success(row_by_key):
            pass
        case Failure(failure):
            return Failure(PlatformUncertain(failure.detail))
    for write in stored:
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
