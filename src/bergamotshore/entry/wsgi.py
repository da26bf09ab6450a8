"""HTTP server for WSGI applications, on waitress, with graceful shutdown."""

import functools
import http
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from waitress import create_server, wasyncore
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from bergamotshore.core.readturns import ReadingWork, ReadTurns
from bergamotshore.entry.intake import MAX_HEADER_BYTES, BudgetedParser, Intake
from bergamotshore.exceptions import AddressInUseError
from bergamotshore.generated.settings import Intake as IntakeSettings
from bergamotshore.metrics.registry import Registry
from bergamotshore.ports.clock import SystemClock
from bergamotshore.utils.eventlog import EventLog

# Beyond the limit of connections, a server still accepts some before those that it
# closes are gone.
SPARE_CONNECTIONS = 32
# Receive buffer of the kernel for each connection: it counts as memory of the process,
# too.
RECEIVE_BUFFER_BYTES = 64 * 1024
IDLE_TIMEOUT_SECONDS = 60
EXTRA_THREADS = 24
POLL_SECONDS = 0.25
# Pause between two checks whether the last answers have been sent, in seconds.
FINISH_POLL_SECONDS = 0.02
# Least time for the answers to requests that arrive at the end of a drain, in seconds.
MIN_FINISH_SECONDS = 0.3
# Time for the threads of calls that are given up, in seconds.
THREADS_EXIT_SECONDS = 0.1
MAX_BUFFER_BYTES = 1 << 30


@dataclass(frozen=True, slots=True)
class DecodingMemory:
    """Memory that the application takes to decode a body.

    :param estimate: Returns it for a body, in bytes; never less than is taken.
    :param estimate_largest: Returns the most that any body of a size takes, in bytes.
    """

    estimate: Callable[[bytearray], int]
    estimate_largest: Callable[[int], int]


NO_DECODING = DecodingMemory(lambda content: 0, lambda size: 0)


class DrainingTask(WSGITask):
    """Task that closes keep-alive connections while the server drains."""

    def build_response_header(self):
        """Return the response header, with ``Connection: close`` while draining."""
        if self.channel.server.is_draining:
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class DrainableChannel(HTTPChannel):
    """Channel of a server that supports draining and bounds what requests hold."""

    task_class = DrainingTask
    # Whether a whole request has been received.
    has_served = False
    # Whether a request didn't fit; what still comes is discarded after its answer.
    is_refused = False
    discard = None
    # Received bytes behind the request that is being served.
    unparsed = b""

    def __init__(self, server, sock, addr, adj, map=None):
        super().__init__(server, sock, addr, adj, map)
        self.work = ReadingWork()
        self.parser_class = functools.partial(BudgetedParser, channel=self)
        server.intake.limit_connections(server, self)

    def is_waiting(self):
        """Return whether no whole request and no answer is in flight here."""
        return not (self.requests or self.total_outbufs_len or self.will_close)

    def drop(self, request):
        """Close the connection of a request that is still arriving."""
        # Whoever holds the lock changes the request, which is then charged anew.
        if not self.requests_lock.acquire(blocking=False):
            return
        try:
            # The trigger of a server that has ended is another's descriptor by now.
            if not self.connected or self.request is not request:
                return
            # An earlier answer is still owed in full.
            if self.requests or self.total_outbufs_len:
                return
            self.will_close = True
        finally:
            self.requests_lock.release()
        self.server.pull_trigger()

    def received(self, data):
        """Take received bytes."""
        super().received(data)
        if self.request is None:
            self.work.start_request()

    def service(self):
        """Execute one request."""
        self.has_served = True
        super().service()

    def handle_write(self):
        """Send output; after a refusal, end the output before the connection."""
        if not (self.is_refused and self.close_when_flushed) or self.will_close:
            super().handle_write()
        elif self.total_outbufs_len:
            self._flush_exception(self._flush_some)
        else:
            self._start_discard()

    def _start_discard(self):
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()
            return
        self.discard = self.server.intake.start_discard(self.adj.max_request_body_size)
        self.close_when_flushed = False

    def handle_read(self):
        """Receive data, which is not kept after a refusal."""
        if self.unparsed:
            data, self.unparsed = self.unparsed, b""
            self.received(data)
            return
        if self.discard is None:
            super().handle_read()
            return
        try:
            # At the end of the input, this closes the connection.
            data = self.recv(self.adj.recv_bytes)
        except OSError:
            self.handle_close()
            return
        self.work.record(len(data))
        self.discard.size_left -= len(data)

    def handle_close(self):
        """Close the connection and give back what its unfinished request holds."""
        super().handle_close()
        request, self.request = self.request, None
        if request is not None:
            request.close()

    def readable(self):
        """Return whether to read; no further request is read during the last answers.

        A request that is read has to be answered, while one that isn't has provably
        not run.
        """
        if self.discard is not None and not self.server.intake.may_discard(
            self.discard
        ):
            self.will_close = True
        return not self.server.is_finishing and super().readable()


class HttpServer:
    """HTTP server for one application on one address.

    Bodies are buffered in memory because the machines have no disks.

    :param app: WSGI application.
    :param address: Pair of host and port.
    :param threads: Maximum number of requests served concurrently.
    :param largest_body: Maximum size of a request body, in bytes.
    :param intake: ``Intake`` of the process.
    :param max_connections: Maximum number of open connections; None for that of the
        intake.
    :param decoding: ``DecodingMemory``; None where bodies are not decoded.
    """

    def __init__(
        self,
        app,
        address,
        threads,
        largest_body,
        intake=None,
        max_connections=None,
        decoding=None,
    ):
        host, port = address
        decoding = decoding or NO_DECODING
        self._socket_map = {}
        self._turns = ReadTurns()
        self._is_stopped = threading.Event()
        self._has_ended = threading.Event()
        self._finish_deadline = 0.0
        intake = intake or _build_intake()
        intake.ensure_room(
            largest_body, decoding=decoding.estimate_largest(largest_body)
        )
        max_connections = min(
            intake.max_connections, max_connections or intake.max_connections
        )
        try:
            self._server = self._create(
                app, host, port, threads, largest_body, max_connections
            )
        except OSError as error:
            raise AddressInUseError(f"{host}:{port}", str(error)) from error
        self._server.intake = intake
        self._server.estimate_decoding = decoding.estimate
        self._server.max_connections = max_connections
        self._server.is_draining = False
        self._server.is_finishing = False
        self._server.channel_class = DrainableChannel
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def _create(self, app, host, port, threads, largest_body, max_connections):
        return create_server(
            app,
            map=self._socket_map,
            host=host,
            port=port,
            threads=threads,
            connection_limit=max_connections + SPARE_CONNECTIONS,
            channel_timeout=IDLE_TIMEOUT_SECONDS,
            max_request_header_size=MAX_HEADER_BYTES,
            # Waitress refuses bodies that reach its limit.
            max_request_body_size=largest_body + 1,
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
            for channel in list(self._server.active_channels.values()):
                channel.handle_close()
            wasyncore.close_all(self._socket_map)
        finally:
            self._has_ended.set()

    def _poll(self, timeout):
        """Wait for events of the sockets and handle them.

        As ``wasyncore.poll2`` does, but new connections come first, and requests that
        are costly to read come last and take turns.
        """
        poller = select.poll()
        flags_by_descriptor = {}
        for descriptor, item in list(self._socket_map.items()):
            flags = 0
            if item.readable():
                flags |= select.POLLIN | select.POLLPRI
                if isinstance(item, DrainableChannel) and item.unparsed:
                    flags_by_descriptor[descriptor] = select.POLLIN
            # The listener must not be asked for output.
            if item.writable() and not item.accepting:
                flags |= select.POLLOUT
            if flags:
                poller.register(descriptor, flags)
        if flags_by_descriptor:
            timeout = 0
        for descriptor, flags in poller.poll(int(timeout * 1000)):
            flags_by_descriptor[descriptor] = (
                flags_by_descriptor.get(descriptor, 0) | flags
            )
        if flags_by_descriptor.pop(self._server._fileno, 0):
            self._accept()
        work_by_descriptor = {}
        for descriptor, flags in flags_by_descriptor.items():
            item = self._socket_map.get(descriptor)
            if item is None:
                continue
            if flags & select.POLLIN and isinstance(item, DrainableChannel):
                work_by_descriptor[descriptor] = item.work
            else:
                wasyncore.readwrite(item, flags)
        for descriptor in self._turns.take(work_by_descriptor):
            item = self._socket_map.get(descriptor)
            if item is not None:
                wasyncore.readwrite(item, flags_by_descriptor[descriptor])

    def _accept(self):
        """Accept the connections that wait, as many as there may be at once."""
        server = self._server
        for _ in range(SPARE_CONNECTIONS):
            connections = len(self._socket_map)
            if connections >= server.adj.connection_limit:
                return
            wasyncore.read(server)
            if len(self._socket_map) == connections:
                return

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


def _build_intake():
    """Return the intake of a server that shares it with no other."""
    clock = SystemClock()
    return Intake(IntakeSettings(), clock, Registry(), EventLog(clock))


_STANDARD_STATUSES = {item.value for item in http.HTTPStatus}
