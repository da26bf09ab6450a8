"""Bounds of requests that are still arriving, shared by the HTTP servers of a process.

The memory of waitress's buffers is bounded for each request only. Here, each request
accounts for what it holds, from its first byte until it was served.
"""

import re
import threading
from dataclasses import dataclass

from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import RequestEntityTooLarge

from bergamotshore.core.bodybudget import RESERVED_SHARE, SMALL_BYTES, BodyBudget
from bergamotshore.entry.bodies import (
    MAX_FRAMING_PER_BYTE,
    ChunkedBody,
    SizedBody,
)
from bergamotshore.utils.problems import (
    PROBLEM_TYPE,
    build_problem,
    format_retry_after,
)

# Share of the memory of the VM for requests in flight and what they are decoded to; the
# rest is for the program, its state and answers.
MEMORY_SHARE = 1 / 8
BYTES_PER_MB = 1_000_000
# Cost of a request besides its content: channel, parser and buffers, in bytes.
REQUEST_BYTES = 4096
# A header is kept as received, as text and split into fields.
HEADER_COPIES = 3
HEADER_FIELD_BYTES = 256
MAX_HEADER_BYTES = 32 * 1024
# Shortest line of a field: a letter, the colon and the end of the line.
MIN_FIELD_LINE_BYTES = 4
MAX_HEADER_COST = (
    HEADER_COPIES * MAX_HEADER_BYTES
    + HEADER_FIELD_BYTES * MAX_HEADER_BYTES // MIN_FIELD_LINE_BYTES
)
# Waitress's patterns for first lines and fields take time by the square of a line's
# length, or more, where these don't match or leave long spaces.
FIRST_LINE_PATTERN = re.compile(rb"[^ \r\n]+ [^ \r\n]+(?: HTTP/[0-9]\.[0-9])? *\r\n")
SPACES_PATTERN = re.compile(rb"(?:(?:\r\n)?[ \t])+")
# A body is kept in a buffer and handed to the application as a copy.
BODY_COPIES = 2
RETRY_AFTER_SECONDS = 1
# Connections of a server whose clients are few, such as balancer, worker and operators.
MAX_SMALL_SERVER_CONNECTIONS = 256
# Part of the connections that is closed at once beyond the limit.
CLOSED_SHARE = 1 / 32


class OverloadError:
    """Answer to a request that doesn't fit beside the others; it has not run."""

    def to_response(self, ident=None):
        """Return status, headers and body, as waitress expects of its errors."""
        body = build_problem(
            503,
            "bodies-full",
            "too many request bodies are in flight",
            outcome="not-run",
            retry_after_ms=RETRY_AFTER_SECONDS * 1000,
        )
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("Retry-After", format_retry_after(RETRY_AFTER_SECONDS)),
            ("X-Request-Outcome", "not-run"),
        ]
        return "503 Service Unavailable", headers, body


@dataclass(slots=True)
class Discard:
    """Bounds of what is read, without being kept, from a client that was refused.

    A connection that is closed with unread bytes is reset, and its answer lost.

    :param size_left: Bytes that may still be read.
    :param deadline: Time at which the connection is closed.
    """

    size_left: int
    deadline: float


class Intake:
    """Memory and connections of requests, over all HTTP servers of a process.

    :param limits: ``settings.Intake``.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, limits, clock, registry, log):
        self.max_connections = limits.connections
        self._budget = BodyBudget(
            int(limits.memory_mb * BYTES_PER_MB * MEMORY_SHARE), limits.body_stall
        )
        self._lock = threading.Lock()
        self._clock = clock
        self._registry = registry
        self._log = log
        registry.watch("request_memory_bytes", lambda: self._budget.held)

    def ensure_room(self, largest_body, count=1, decoding=0):
        """Raise the limit to what the largest requests of a server may need.

        :param largest_body: Largest body that the server accepts, in bytes.
        :param count: Number of such requests that are served at once in any case.
        :param decoding: Memory that decoding such a body may take, in bytes.
        """
        largest_cost = (
            REQUEST_BYTES + MAX_HEADER_COST + BODY_COPIES * largest_body + decoding
        )
        needed = count * largest_cost + 2 * SMALL_BYTES
        with self._lock:
            self._budget.limit = max(
                self._budget.limit, int(needed / (1 - RESERVED_SHARE))
            )

    def admit(self, request):
        """Return whether a request may hold the memory that it holds by now.

        :param request: ``BudgetedParser``.
        """
        cost = request.get_cost()
        with self._lock:
            admission = self._budget.charge(
                request, cost, self._clock.now(), request.completed
            )
        if not admission.is_admitted:
            self._record("no-room")
        for victim in admission.evicted:
            self._record("stalled")
            victim.channel.drop(victim)
        return admission.is_admitted

    def release(self, request):
        """Record that a request is over."""
        with self._lock:
            self._budget.release(request)

    def start_discard(self, largest_body):
        """Return the ``Discard`` of a client that was refused.

        :param largest_body: Largest body that the server accepts, in bytes.
        """
        return Discard(largest_body, self._clock.now() + self._budget.stall)

    def may_discard(self, discard):
        """Return whether to read on from a client that was refused."""
        return discard.size_left > 0 and self._clock.now() < discard.deadline

    def limit_connections(self, server, newcomer):
        """Close connections without a request when a server has too many.

        Connections that never sent a whole request go first, in the order in which they
        were opened; then those that have been idle for longest.

        :param server: Server of waitress, with ``max_connections``.
        :param newcomer: Channel that was just accepted.
        """
        staying = [
            channel
            for channel in server.active_channels.values()
            if not channel.will_close
        ]
        excess = len(staying) - server.max_connections
        if excess <= 0:
            return
        waiting = [
            channel
            for channel in staying
            if channel is not newcomer and channel.is_waiting()
        ]
        waiting.sort(key=_get_closing_rank)
        closed = max(excess, int(server.max_connections * CLOSED_SHARE))
        for channel in waiting[:closed]:
            channel.will_close = True
            self._record("connections")

    def _record(self, reason):
        self._registry.count("requests_dropped_total", reason=reason)
        self._log.write("request-dropped", reason, held=self._budget.held)


def _get_closing_rank(channel):
    if channel.has_served:
        return True, channel.last_activity
    return False, channel.creation_time


class BudgetedParser(HTTPRequestParser):
    """Parser of one request, which accounts for the memory that the request holds.

    :param adj: Adjustments of waitress.
    :param channel: Channel of the request.
    """

    # Memory that decoding the body may take, once it is complete.
    decoding_bytes = 0
    # Bytes behind the request, which are parsed when it was served.
    following_bytes = 0

    def __init__(self, adj, channel):
        super().__init__(adj)
        self.channel = channel

    def received(self, data):
        """Take received bytes; return how many of them belong to this request."""
        if self.body_rcv is None:
            consumed = super().received(data)
            # Counted before they are parsed, all at once when the last has arrived.
            fields = data.count(b"\n", 0, consumed)
            self.channel.work.record(consumed, fields=fields)
        else:
            consumed = self._receive_body(data)
        if self.completed:
            # Otherwise the channel would ask for a body and never queue the request.
            self.expect_continue = False
            self.following_bytes = len(data) - consumed
        if self.empty:
            # The channel drops blank lines without a word.
            self.close()
        elif self.error:
            # The connection is closed after the answer, whatever follows.
            return len(data)
        elif not self.channel.server.intake.admit(self):
            self._refuse()
            return len(data)
        if not self.completed:
            return consumed
        self.channel.unparsed = data[consumed:]
        return len(data)

    def parse_header(self, header_plus):
        """Parse the first line and the fields, and prepare to receive the body."""
        first_line = FIRST_LINE_PATTERN.match(header_plus)
        if first_line is None:
            raise ParsingError("Start line is invalid")
        fields = SPACES_PATTERN.sub(b" ", header_plus[first_line.end() :])
        try:
            super().parse_header(first_line[0] + fields)
        except ValueError as error:
            # A host in brackets that is no address, or a length of thousands of digits.
            raise ParsingError(str(error)) from error
        if self.chunked:
            self.body_rcv = ChunkedBody()
        elif self.content_length:
            self.body_rcv = SizedBody(self.content_length)

    def _receive_body(self, data):
        body = self.body_rcv
        framing = body.framing
        consumed = body.received(data)
        framing = body.framing - framing
        self.channel.work.record(consumed - framing, framing)
        # Waitress is configured to refuse bodies that reach its limit.
        largest = self.adj.max_request_body_size - 1
        if body.error:
            self.error = body.error
        elif len(body) > largest:
            self.error = RequestEntityTooLarge(f"exceeds {largest} bytes")
        elif body.framing > largest + MAX_FRAMING_PER_BYTE * len(body):
            self.error = RequestEntityTooLarge("the framing exceeds the body")
        self.completed = body.completed or self.error is not None
        if body.completed and not self.error:
            if self.chunked:
                # The application sees a body with a length.
                self.headers["CONTENT_LENGTH"] = str(len(body))
            self.decoding_bytes = self.channel.server.estimate_decoding(body.content)
        return consumed

    def get_cost(self):
        """Return the memory that the request holds, or will when it is decoded."""
        cost = (
            REQUEST_BYTES
            + HEADER_COPIES * self.header_bytes_received
            + HEADER_FIELD_BYTES * len(self.headers)
            + self.following_bytes
        )
        body = self.body_rcv
        if body is not None:
            cost += BODY_COPIES * (len(body) + body.pending) + self.decoding_bytes
        return cost

    def close(self):
        """Give the memory back."""
        super().close()
        self.channel.server.intake.release(self)

    def _refuse(self):
        self.close()
        if not self.headers_finished:
            # The task of the answer needs the fields of a parsed request.
            self.parse_header(b"GET / HTTP/1.0\r\n")
        self.header_plus = b""
        self.body_rcv = None
        self.error = OverloadError()
        self.completed = True
        self.expect_continue = False
        self.channel.is_refused = True
