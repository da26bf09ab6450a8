"""HTTP client with persistent connections, one per thread and address."""

import http.client
import itertools
import math
import select
import socket
import threading
import time
from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.utils.addresses import split_address

MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response.

    :param status: HTTP status.
    :param content_type: Media type.
    :param body: Body.
    :param connection: Number of the connection it was received on, unique within the
        client.
    """

    status: int
    content_type: str
    body: bytes
    connection: int = 0


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A call without a complete response.

    :param detail: Description of the error.
    :param was_sent: False when the server cannot have received the request.
    :param is_refused: Whether the connection was refused: no process listens at the
        address.
    :param has_ended: Whether the server ended the connection during the call, so that
        it was there until then. A reset shows less: it may come from a later process.
    :param was_reused: Whether the request was sent on a connection that had been used
        before, so that the server may still answer on a new one.
    """

    detail: str
    was_sent: bool
    is_refused: bool = False
    was_reused: bool = False
    has_ended: bool = False
    code: str = "http"


class ConnectionReplaced(ConnectionError):
    """The connection that a call was bound to is no longer open."""


class HttpClient:
    """Call one server.

    Open connections may go silent while the server answers on new ones. If a reused one
    times out, each connection that has been idle for longer than that call is replaced
    before its next use.

    :param address: Address of the server as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self.host, self.port = split_address(address)
        self.timeout = timeout
        self._local = threading.local()
        self._connection_numbers = itertools.count(1)
        self._timed_out_call_sent_at = -math.inf

    def call(self, method, path, body=b"", headers=None, timeout=None, connection=None):
        """Send one request and return the complete response.

        The server may have closed an idle persistent connection. A GET that fails on a
        reused connection is therefore sent once more; other methods are not, since they
        may not be idempotent. Both attempts together take no longer than the timeout.

        :param connection: Number of the only connection on which the request may be
            sent; None for any. A connection ends with the server process, so this also
            names the process that receives the request.
        :returns: ``Result`` of ``HttpAnswer`` or ``HttpFailure``.
        """
        timeout = timeout or self.timeout
        started_at = time.monotonic()
        is_reused = getattr(self._local, "connection", None) is not None
        outcome = self._call_once(method, path, body, headers, timeout, connection)
        remaining = timeout - (time.monotonic() - started_at)
        match outcome:
            case Failure(HttpFailure()) if (
                is_reused and method == "GET" and remaining > 0
            ):
                return self._call_once(
                    method, path, body, headers, remaining, connection
                )
        return outcome

    def is_open(self, number):
        """Return whether the calling thread's connection is open and has this number.

        :param number: Number of the connection, as in ``HttpAnswer``.
        """
        connection = getattr(self._local, "connection", None)
        return (
            connection is not None
            and self._local.number == number
            and not self._is_to_be_replaced(connection)
        )

    def is_refusing(self, timeout):
        """Return whether the server refuses a new connection, which is closed at once.

        :param timeout: Time for the connection, in seconds.
        """
        try:
            socket.create_connection((self.host, self.port), timeout).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def _call_once(self, method, path, body, headers, timeout, required):
        started_at = time.monotonic()
        former_connection = getattr(self._local, "connection", None)
        try:
            connection = self._connect(timeout, required)
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return Failure(HttpFailure(repr(error), False, is_refused))
        remaining = timeout - (time.monotonic() - started_at)
        if remaining <= 0:
            return Failure(
                HttpFailure("timed out connecting to the server", was_sent=False)
            )
        connection.sock.settimeout(remaining)
        try:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            connection.request(method, path, body=body, headers=headers or {})
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)
            response = connection.getresponse()
            content = _read_body(response)
        except (OSError, http.client.HTTPException) as error:
            was_reused = connection is former_connection
            is_timeout = isinstance(error, TimeoutError)
            if is_timeout and was_reused:
                # An earlier call may time out later.
                self._timed_out_call_sent_at = max(
                    self._timed_out_call_sent_at, started_at
                )
            self._discard_connection()
            return Failure(
                HttpFailure(
                    repr(error),
                    was_sent=True,
                    was_reused=was_reused,
                    has_ended=isinstance(error, http.client.HTTPException),
                )
            )
        self._local.answered_at = time.monotonic()
        if response.will_close:
            self._discard_connection()
        content_type = response.getheader("Content-Type", "")
        return Success(
            HttpAnswer(response.status, content_type, content, self._local.number)
        )

    def _connect(self, timeout, required):
        connection = getattr(self._local, "connection", None)
        if connection is not None and self._is_to_be_replaced(connection):
            self._discard_connection()
            connection = None
        if required is not None and (
            connection is None or self._local.number != required
        ):
            raise ConnectionReplaced(f"connection {required} is no longer open")
        if connection is None:
            connection = http.client.HTTPConnection(
                self.host, self.port, timeout=timeout
            )
            connection.connect()
            self._local.connection = connection
            self._local.number = next(self._connection_numbers)
            self._local.answered_at = time.monotonic()
        return connection

    def _is_to_be_replaced(self, connection):
        return (
            _is_stale(connection)
            or self._local.answered_at < self._timed_out_call_sent_at
        )

    def _discard_connection(self):
        connection = getattr(self._local, "connection", None)
        self._local.connection = None
        if connection is not None:
            connection.close()


def _read_body(response):
    """Return the complete body of a response.

    Only ``read()`` without an amount detects a truncated body, so the size limit is
    checked against Content-Length first. A body without Content-Length that ends with
    the connection could be truncated unnoticed and is refused.

    :raises http.client.HTTPException: when the body is truncated, too large or has no
        length.
    """
    if response.length is None and not response.chunked:
        raise http.client.HTTPException(
            "response has neither Content-Length nor chunked encoding"
        )
    if (response.length or 0) > MAX_ANSWER_BYTES:
        raise http.client.HTTPException(
            f"{response.length} bytes of response body exceed the size limit"
        )
    return response.read()


def _is_stale(connection):
    """Return whether the server has closed an idle connection."""
    # select() rejects descriptors above 1,023; an entry may have thousands open.
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return bool(poll.poll(0))
