"""Client of the table service, with JSON over HTTP."""

import base64

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import read_json
from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
from bergamotshore.exceptions import (
    Conflict,
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
)
from bergamotshore.ports.table import TableRow

JSON_HEADERS = {"Content-Type": "application/json"}
# Share of the timeout after which a read is repeated on a new connection, if the one
# that it was sent on had been open before and may have gone silent.
FIRST_READ_SHARE = 0.5


class RowAnswer(msgspec.Struct, frozen=True):
    """One row on the wire; the value is in base64."""

    key: str
    version: int
    value: str = ""


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer to a read."""

    rows: list[RowAnswer]


class VersionsAnswer(msgspec.Struct, frozen=True):
    """Answer to a committed transaction."""

    versions: dict[str, int]


class ConflictAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction with a failed condition."""

    key: str
    version: int


class HttpTable:
    """Call the table service.

    :param address: Address of the service as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)
        self._timeout = timeout

    def get(self, keys):
        """Read rows by key; see the port."""
        return self._read("/v1/get", {"keys": list(keys)}).map(
            lambda rows: {row.key: row for row in rows}
        )

    def scan(self, prefix):
        """Read rows by prefix; see the port."""
        return self._read("/v1/scan", {"prefix": prefix})

    def transact(self, checks, writes):
        """Write all rows or none; see the port."""
        request = {
            "checks": [{"key": item.key, "version": item.version} for item in checks],
            "writes": [_encode_write(item) for item in writes],
        }
        answer = self._post("/v1/transact", request)
        match answer:
            case Success(HttpAnswer(status=200, body=body)):
                return _decode(body, VersionsAnswer).map(lambda item: item.versions)
            case Success(HttpAnswer(status=409, body=body)):
                return _decode(body, ConflictAnswer).bind(
                    lambda item: Failure(Conflict(item.key, item.version))
                )
            case Success(HttpAnswer(status=status)) if status >= 500:
                return Failure(PlatformUnavailable(f"status {status}"))
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformAnswerInvalid(f"status {status}"))
            case Failure(HttpFailure(detail=detail, was_sent=True)):
                return Failure(PlatformUncertain(detail))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))

    def _read(self, path, request):
        first_timeout = FIRST_READ_SHARE * self._timeout
        answer = self._post(path, request, first_timeout)
        match answer:
            case Failure(HttpFailure(was_reused=True)):
                answer = self._post(path, request, self._timeout - first_timeout)
        match answer:
            case Success(HttpAnswer(status=200, body=body)):
                return _decode(body, RowsAnswer).bind(_decode_rows)
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformUnavailable(f"status {status}"))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))

    def _post(self, path, request, timeout=None):
        body = msgspec.json.encode(request)
        return self._client.call("POST", path, body, JSON_HEADERS, timeout)


def _encode_write(write):
    value = None
    if write.value is not None:
        value = base64.b64encode(write.value).decode("ascii")
    return {"key": write.key, "version": write.version, "value": value}


def _decode(body, answer_type):
    return read_json(body, answer_type).alt(
        lambda error: PlatformAnswerInvalid(str(error))
    )


def _decode_rows(answer):
    try:
        rows = [
            TableRow(row.key, row.version, base64.b64decode(row.value, validate=True))
            for row in answer.rows
        ]
    except ValueError as error:
        return Failure(PlatformAnswerInvalid(str(error)))
    return Success(rows)
