"""Serving WSGI applications with waitress, with a graceful stop."""

import http
import socket
import threading

from waitress import create_server, wasyncore
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from bergamotshore.exceptions import AddressInUseError

CONNECTIONS = 4000
IDLE_SECONDS = 60
SPARE_THREADS = 24
POLL_SECONDS = 0.25
HEADER_BYTES = 32 * 1024
MEMORY_BUFFER_BYTES = 1 << 30


class ClosingTask(WSGITask):
    """Close kept connections after the answer while the server drains."""

    def build_response_header(self):
        """Return the header, with ``Connection: close`` while draining."""
        if self.channel.server.is_draining:
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class ClosingChannel(HTTPChannel):
    """Channel of a server that can drain."""

    task_class = ClosingTask


class HttpServer:
    """Serve one application on one address.

    Bodies stay in memory: the machines have no disks.

    :param app: WSGI application.
    :param address: Pair of host and port.
    :param threads: Requests that may be served at once.
    :param largest_body: Largest body, in bytes.
    """

    def __init__(self, app, address, threads, largest_body):
        host, port = address
        self._map = {}
        self._is_stopped = threading.Event()
        try:
            self._server = self._create(app, host, port, threads, largest_body)
        except OSError as error:
            raise AddressInUseError(f"{host}:{port}", str(error)) from error
        self._server.is_draining = False
        self._server.channel_class = ClosingChannel

    def _create(self, app, host, port, threads, largest_body):
        return create_server(
            app,
            map=self._map,
            host=host,
            port=port,
            threads=threads,
            connection_limit=CONNECTIONS,
            channel_timeout=IDLE_SECONDS,
            max_request_header_size=HEADER_BYTES,
            max_request_body_size=largest_body,
            inbuf_overflow=MEMORY_BUFFER_BYTES,
            outbuf_overflow=MEMORY_BUFFER_BYTES,
            ident="bergamotshore",
            clear_untrusted_proxy_headers=True,
        )

    @property
    def port(self):
        """Return the port that the server listens on."""
        return self._server.effective_port

    def run(self):
        """Serve until ``stop`` is called."""
        while not self._is_stopped.is_set():
            wasyncore.loop(timeout=POLL_SECONDS, use_poll=True, map=self._map, count=1)
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=0.1)
        wasyncore.close_all(self._map)

    def drain(self):
        """Close each kept connection after its next answer."""
        self._server.is_draining = True

    def refuse_connections(self):
        """Stop listening; what is open goes on."""
        try:
            self._server.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._server.accepting = False

    def count_busy_connections(self):
        """Return the number of connections with a request that is not answered."""
        channels = list(self._server.active_channels.values())
        return sum(1 for item in channels if item.requests or item.total_outbufs_len)

    def stop(self):
        """Make ``run`` close every connection and return."""
        self._is_stopped.set()


def reply(start_response, status, content_type, body, headers=()):
    """Answer a WSGI call.

    :param headers: Further pairs of name and value.
    """
    phrase = http.HTTPStatus(status).phrase if status in _STATUSES else "Status"
    start_response(
        f"{status} {phrase}",
        [
            ("Content-Type", content_type or "application/octet-stream"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


_STATUSES = {item.value for item in http.HTTPStatus}
