"""HTTP calls over kept connections, one connection per thread and address."""

import http.client
import select
import socket
import threading
import time
from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.utils.addresses import split_address

LARGEST_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer.

    :param status: HTTP status.
    :param content_type: Media type.
    :param body: Body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A call without a whole answer.

    :param detail: What was seen.
    :param was_sent: False when the server can not have taken the call.
    """

    detail: str
    was_sent: bool
    code: str = "http"


class HttpClient:
    """Call one server.

    :param address: Server as host:port.
    :param timeout: Time allowed for one call, in seconds.
    """

    def __init__(self, address, timeout):
        self.host, self.port = split_address(address)
        self.timeout = timeout
        self._local = threading.local()

    def call(self, method, path, body=b"", headers=None, timeout=None):
        """Send one request, head and body together, and read the whole answer.

        A kept connection may have been closed by the server meanwhile; an idempotent
        GET is sent once more then, anything else is not. Both together take no longer
        than the time allowed.

        :returns: ``Result`` of ``HttpAnswer`` or ``HttpFailure``.
        """
        timeout = timeout or self.timeout
        began = time.monotonic()
        is_kept = getattr(self._local, "connection", None) is not None
        outcome = self._call_once(method, path, body, headers, timeout)
        left = timeout - (time.monotonic() - began)
        match outcome:
            case Failure(HttpFailure()) if is_kept and method == "GET" and left > 0:
                return self._call_once(method, path, body, headers, left)
        return outcome

    def _call_once(self, method, path, body, headers, timeout):
        began = time.monotonic()
        try:
            connection = self._connect(timeout)
        except OSError as error:
            return Failure(HttpFailure(repr(error), was_sent=False))
        left = timeout - (time.monotonic() - began)
        if left <= 0:
            return Failure(HttpFailure("timed out connecting", was_sent=False))
        connection.sock.settimeout(left)
        try:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            connection.request(method, path, body=body, headers=headers or {})
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)
            response = connection.getresponse()
            content = _read_whole(response)
        except (OSError, http.client.HTTPException) as error:
            self._drop()
            return Failure(HttpFailure(repr(error), was_sent=True))
        if response.will_close:
            self._drop()
        content_type = response.getheader("Content-Type", "")
        return Success(HttpAnswer(response.status, content_type, content))

    def _connect(self, timeout):
        connection = getattr(self._local, "connection", None)
        if connection is not None and _is_stale(connection):
            self._drop()
            connection = None
        if connection is None:
            connection = http.client.HTTPConnection(
                self.host, self.port, timeout=timeout
            )
            connection.connect()
            self._local.connection = connection
        return connection

    def _drop(self):
        connection = getattr(self._local, "connection", None)
        self._local.connection = None
        if connection is not None:
            connection.close()


def _read_whole(response):
    """Return the whole body of an answer.

    Only a read without an amount notices that a body ends early, so the announced
    length is checked first. A body that ends with the connection may be cut anywhere.

    :raises http.client.HTTPException: when the body is cut, too large or of no length.
    """
    if response.length is None and not response.chunked:
        raise http.client.HTTPException("the answer has no length")
    if (response.length or 0) > LARGEST_ANSWER_BYTES:
        raise http.client.HTTPException(f"{response.length} bytes are too many")
    return response.read()


def _is_stale(connection):
    """Tell whether the server has closed a kept connection."""
    # select() takes no descriptor above 1,023; an entry may hold thousands open.
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return bool(poll.poll(0))
