"""HTTP server for WSGI applications, on waitress, with graceful shutdown."""

import http
import socket
import threading
import time

from waitress import create_server, wasyncore
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from bergamotshore.exceptions import AddressInUseError

MAX_CONNECTIONS = 4000
IDLE_TIMEOUT_SECONDS = 60
EXTRA_THREADS = 24
POLL_SECONDS = 0.25
# Pause between two checks whether the last answers have been sent, in seconds.
FINISH_POLL_SECONDS = 0.02
# Least time for the answers to requests that arrive at the end of a drain, in seconds.
MIN_FINISH_SECONDS = 0.3
# Time for the threads of calls that are given up, in seconds.
THREADS_EXIT_SECONDS = 0.1
MAX_HEADER_BYTES = 32 * 1024
MAX_BUFFER_BYTES = 1 << 30


class DrainingTask(WSGITask):
    """Task that closes keep-alive connections while the server drains."""

    def build_response_header(self):
        """Return the response header, with ``Connection: close`` while draining."""
        if self.channel.server.is_draining:
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class DrainableChannel(HTTPChannel):
    """Channel of a server that supports draining."""

    task_class = DrainingTask

    def readable(self):
        """Return whether to read; no further request is read during the last answers.

        A request that is read has to be answered, while one that isn't has provably
        not run.
        """
        return not self.server.is_finishing and super().readable()


class HttpServer:
    """HTTP server for one application on one address.

    Bodies are buffered in memory because the machines have no disks.

    :param app: WSGI application.
    :param address: Pair of host and port.
    :param threads: Maximum number of requests served concurrently.
    :param largest_body: Maximum size of a request body, in bytes.
    """

    def __init__(self, app, address, threads, largest_body):
        host, port = address
        self._socket_map = {}
        self._is_stopped = threading.Event()
        self._has_ended = threading.Event()
        self._finish_deadline = 0.0
        try:
            self._server = self._create(app, host, port, threads, largest_body)
        except OSError as error:
            raise AddressInUseError(f"{host}:{port}", str(error)) from error
        self._server.is_draining = False
        self._server.is_finishing = False
        self._server.channel_class = DrainableChannel

    def _create(self, app, host, port, threads, largest_body):
        return create_server(
            app,
            map=self._socket_map,
            host=host,
            port=port,
            threads=threads,
            connection_limit=MAX_CONNECTIONS,
            channel_timeout=IDLE_TIMEOUT_SECONDS,
            max_request_header_size=MAX_HEADER_BYTES,
            max_request_body_size=largest_body,
            inbuf_overflow=MAX_BUFFER_BYTES,
            outbuf_overflow=MAX_BUFFER_BYTES,
            ident="bergamotshore",
            clear_untrusted_proxy_headers=True,
        )

    @property
    def port(self):
        """Return the port on which the server listens."""
        return self._server.effective_port

    def run(self):
        """Serve until ``stop`` or ``finish`` is called."""
        try:
            while not self._is_stopped.is_set():
                self._poll(POLL_SECONDS)
            self._server.is_finishing = True
            while self.count_busy_connections() and not self._is_finish_overdue():
                self._poll(FINISH_POLL_SECONDS)
            self._server.task_dispatcher.shutdown(
                cancel_pending=True, timeout=THREADS_EXIT_SECONDS
            )
            wasyncore.close_all(self._socket_map)
        finally:
            self._has_ended.set()

    def _poll(self, timeout):
        wasyncore.loop(timeout=timeout, use_poll=True, map=self._socket_map, count=1)

    def _is_finish_overdue(self):
        return time.monotonic() >= self._finish_deadline

    def drain(self):
        """Close each keep-alive connection after its next response."""
        self._server.is_draining = True

    def refuse_connections(self):
        """Stop accepting connections; open ones stay open."""
        try:
            self._server.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._server.accepting = False

    def count_busy_connections(self):
        """Return the number of connections with an unanswered request."""
        channels = list(self._server.active_channels.values())
        return sum(1 for item in channels if item.requests or item.total_outbufs_len)

    def finish(self, timeout):
        """Read no further requests, send the answers to those read, then stop.

        Returns once ``run`` has closed all connections, at the latest shortly after the
        timeout.

        :param timeout: Longest wait for the answers, in seconds; at least
            ``MIN_FINISH_SECONDS`` are allowed.
        """
        timeout = max(MIN_FINISH_SECONDS, timeout)
        self._finish_deadline = time.monotonic() + timeout
        self._is_stopped.set()
        self._has_ended.wait(timeout + POLL_SECONDS + THREADS_EXIT_SECONDS)

    def stop(self):
        """Ask ``run`` to close all connections and return."""
        self._is_stopped.set()


def reply(start_response, status, content_type, body, headers=()):
    """Start a WSGI response and return its body.

    :param headers: Additional headers, as pairs of name and value.
    """
    phrase = (
        http.HTTPStatus(status).phrase if status in _STANDARD_STATUSES else "Status"
    )
    start_response(
        f"{status} {phrase}",
        [
            ("Content-Type", content_type or "application/octet-stream"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


_STANDARD_STATUSES = {item.value for item in http.HTTPStatus}
