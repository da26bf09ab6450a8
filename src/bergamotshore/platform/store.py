"""``RowStore`` backed by the platform's metadata store."""

import base64
import urllib.parse

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Count, read_json, read_value
from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.exceptions import (
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
    RowsRefused,
)
from bergamotshore.ports.rows import (
    HistoryLost,
    RowId,
    RowPage,
    RowsConflict,
    StoredRow,
)

# Longer descriptions of a row are cut in log lines.
MAX_LOGGED_CHARACTERS = 300
JSON_HEADERS = {"Content-Type": "application/json"}


class WireRow(msgspec.Struct, frozen=True):
    """One row on the wire; ``ver`` is the version and ``value`` is in base64."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: Count = 0
    deleted: bool = False


class WireRowId(msgspec.Struct, frozen=True):
    """Identifier of a row of which the rest can't be read."""

    table: str
    key: str
    part: str = ""


class WireRowVersion(msgspec.Struct, frozen=True):
    """Version of a row of which the rest can't be read."""

    ver: Count


class WireAnswer(msgspec.Struct, frozen=True):
    """Answer to every call about rows.

    ``ver`` is the newest version of the store, ``now_ms`` the time on its clock.
    """

    ver: Count = 0
    now_ms: Count = 0
    rows: list[msgspec.Raw] = []
    truncated: bool = False


class PlatformRowStore:
    """Call the store over HTTP, with one persistent connection per thread.

    :param client: ``RelayedClient``, or an object with the same ``call``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, client, registry, log):
        self._client = client
        self._registry = registry
        self._log = log

    def transact(self, expects, puts, deletes, timeout=None):
        """Apply all changes or none; see the port."""
        request = {
            "expected": [
                {**_encode_row_id(item.id), "ver": item.version} for item in expects
            ],
            "puts": [
                {
                    **_encode_row_id(item.id),
                    "value": base64.b64encode(item.value).decode(),
                }
                for item in puts
            ],
            "remove": [_encode_row_id(row_id) for row_id in deletes],
        }
        body = msgspec.json.encode(request)
        outcome = self._client.call("POST", "/rows-tx", body, JSON_HEADERS, timeout)
        return decode_transaction(outcome)

    def read(self, table, part, first="", last="", limit=0, timeout=None):
        """Read rows; see the port."""
        query = {"table": table, "part": part}
        if first:
            query["from"] = first
        if last:
            query["target"] = last
        if limit:
            query["limit"] = limit
        return self._get("/rows-get", query, timeout)

    def follow(self, table, after, wait, timeout):
        """Wait for changes to a table; see the port."""
        query = {"table": table, "after": after, "wait_ms": int(wait * 1000)}
        return self._get("/rows-feed", query, timeout, may_probe=False)

    def _get(self, path, query, timeout, may_probe=True):
        path = f"{path}?{urllib.parse.urlencode(query)}"
        match self._client.call("GET", path, timeout=timeout, may_probe=may_probe):
            case Success(HttpAnswer(status=200, body=body)):
                return decode_page(body).map(
                    lambda page: self._record_problems(query["table"], page)
                )
            case Success(HttpAnswer(status=410)):
                return Failure(HistoryLost())
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformUnavailable(f"status {status}"))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))

    def _record_problems(self, table, page):
        for problem in page.problems:
            self._registry.count("rows_invalid_total", table=table)
            self._log.write("row-invalid", table, why=problem[:MAX_LOGGED_CHARACTERS])
        return page


def decode_transaction(outcome):
    """Return the ``Result`` of a transaction, given that of its HTTP call."""
    match outcome:
        case Success(HttpAnswer(status=200, body=body)):
            match decode_page(body):
                case Success(page):
                    return Success(page.version)
                case Failure(failure):
                    return Failure(PlatformUncertain(failure.detail))
        case Success(HttpAnswer(status=412, body=body)):
            return decode_page(body).bind(lambda page: Failure(RowsConflict(page.rows)))
        case Success(HttpAnswer(status=429 | 503 as status)):
            return Failure(PlatformUnavailable(f"status {status}"))
        case Success(HttpAnswer(status=status)) if status >= 500:
            return Failure(PlatformUncertain(f"status {status}"))
        case Success(HttpAnswer(status=400 | 413 | 422 as status, body=body)):
            return Failure(RowsRefused(f"status {status}: {body[:200]!r}"))
        case Success(HttpAnswer(status=status, body=body)):
            return Failure(PlatformAnswerInvalid(f"status {status}: {body[:200]!r}"))
        case Failure(HttpFailure(detail=detail, was_sent=True)):
            return Failure(PlatformUncertain(detail))
        case Failure(failure):
            return Failure(PlatformUnavailable(failure.detail))


def decode_page(body):
    """Return ``Result`` of the ``RowPage`` in the body of an answer.

    A row that can't be read is there without a value, so that nobody takes it for
    absent; one that can't be identified is left out.
    """
    return (
        read_json(body, WireAnswer)
        .map(_decode_answer)
        .alt(lambda error: PlatformAnswerInvalid(str(error)))
    )


def _decode_answer(answer):
    rows, problems = [], []
    for content in answer.rows:
        wire_row = read_json(content, WireRow)
        match wire_row.bind(lambda row: read_value(_decode_row, row)):
            case Success(row):
                rows.append(row)
            case Failure(error):
                row = _decode_unreadable_row(content, answer.ver)
                rows += [row] if row is not None else []
                problems.append(f"{row.id if row is not None else 'unknown'}: {error}")
    now = answer.now_ms / 1000
    return RowPage(rows, answer.ver, answer.truncated, tuple(problems), now)


def _decode_row(row):
    value = base64.b64decode(row.value, validate=True)
    return StoredRow(RowId(row.table, row.part, row.key), row.ver, value, row.deleted)


def _decode_unreadable_row(content, page_version):
    """Return a row without its value; None if it can't be identified.

    If its version can't be read either, that of the page makes conditional writes fail.
    """
    match read_json(content, WireRowId):
        case Success(row_id):
            version = read_json(content, WireRowVersion).map(lambda row: row.ver)
            return StoredRow(
                RowId(row_id.table, row_id.part, row_id.key),
                version.value_or(page_version),
            )
    return None


def _encode_row_id(row_id):
    return {"table": row_id.table, "part": row_id.part, "key": row_id.key}
