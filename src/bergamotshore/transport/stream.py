"""Message stream to a peer process over TCP."""

import selectors
import socket
import threading

from bergamotshore.core.silence import SilenceDetector
from bergamotshore.exceptions import AddressInUseError, StreamError
from bergamotshore.generated.messages import Goodbye, Heartbeat, Hello
from bergamotshore.transport.codec import Decoder, encode_message
from bergamotshore.transport.intake import MAX_HELLO_BYTES

PROTOCOL_VERSION = 1
READ_BYTES = 256 * 1024
MAX_BUFFERED_MESSAGES = 4
LISTEN_BACKLOG = 1024


class Stream:
    """Send and receive messages; heartbeats detect a silent peer.

    ``handler`` is called in the loop's thread: ``on_open`` after the peer's ``Hello``,
    ``on_message``, ``on_close``, and ``build_heartbeat``, which returns the next
    heartbeat.

    :param loop: ``Loop``.
    :param sock: Connected socket.
    :param hello: ``Hello`` of this process.
    :param timing: ``settings.Stream``.
    :param lamport: ``LamportClock``.
    :param handler: Receiver of the callbacks above.
    :param intake: ``StreamIntake`` of a stream that the peer opened; None for others.
    """

    def __init__(self, loop, sock, hello, timing, lamport, handler, intake=None):
        self.loop = loop
        self.sock = sock
        self.timing = timing
        self.lamport = lamport
        self.handler = handler
        self.peer = None
        self.peer_clock = 0.0
        self.peer_clock_received_at = 0.0
        self.close_reason = ""
        self._decoder = Decoder(
            timing.largest_message, min(MAX_HELLO_BYTES, timing.largest_message)
        )
        self._intake = intake
        self._output = bytearray()
        self._lock = threading.Lock()
        self._silence = SilenceDetector(
            timing.heartbeat, timing.silence_min, timing.silence_max, loop.clock.now()
        )
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.register(sock, selectors.EVENT_READ, self._handle_events)
        if intake is not None:
            intake.open(self)
        self.send(hello)
        self._send_heartbeat()

    @property
    def is_open(self):
        """Return whether messages can be sent."""
        return not self.close_reason

    @property
    def waiting_bytes(self):
        """Return the number of received bytes that wait for the rest of a message."""
        return self._decoder.waiting_bytes

    def send(self, message):
        """Send a message; safe to call from any thread.

        :returns: False when the stream is closed and nothing was sent.
        """
        content = encode_message(message, self.lamport.tick())
        with self._lock:
            if self.close_reason:
                return False
            was_flushed = not self._output
            self._output += content
            if was_flushed:
                self._flush()
            has_unsent = bool(self._output)
            is_overflowing = (
                len(self._output) > MAX_BUFFERED_MESSAGES * self.timing.largest_message
            )
        if is_overflowing:
            self.loop.call(self.close, "stream-overflow")
        elif has_unsent and was_flushed:
            self.loop.call(self._watch_output)
        return True

    def close(self, reason):
        """Close the stream; only from the loop's thread.

        :param reason: Error code of the cause.
        """
        with self._lock:
            if self.close_reason:
                return
            self.close_reason = reason
        self.loop.unregister(self.sock)
        self.sock.close()
        if self._intake is not None:
            self._intake.close(self)
        self.handler.on_close(self)

    def _flush(self):
        try:
            sent = self.sock.send(self._output)
        except BlockingIOError:
            return
        except OSError:
            self.loop.call(self.close, "connection-lost")
            return
        del self._output[:sent]

    def _watch_output(self):
        if self.close_reason:
            return
        events = selectors.EVENT_READ | selectors.EVENT_WRITE
        self.loop.modify(self.sock, events, self._handle_events)

    def _handle_events(self, events):
        if events & selectors.EVENT_WRITE:
            self._handle_writable()
        if events & selectors.EVENT_READ and not self.close_reason:
            self._handle_readable()

    def _handle_writable(self):
        with self._lock:
            self._flush()
            is_flushed = not self._output
        if is_flushed and not self.close_reason:
            self.loop.modify(self.sock, selectors.EVENT_READ, self._handle_events)

    def _handle_readable(self):
        try:
            content = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close("connection-lost")
            return
        if not content:
            self.close("closed-by-peer")
            return
        try:
            frames = self._decoder.feed(content)
        except StreamError as error:
            self.send(Goodbye(code=error.code, detail=str(error)))
            self.close(error.code)
            return
        for frame in frames:
            if self.close_reason:
                return
            self.lamport.witness(frame.clock)
            try:
                self._handle_message(frame.message)
            except Exception:
                # The messages behind this one are lost, so the stream must end.
                self.close("message-error")
                raise
        if self._intake is not None and not self.close_reason:
            self._intake.update(self)

    def _handle_message(self, message):
        match message:
            case Hello():
                self._handle_hello(message)
            case Goodbye():
                self.close(f"peer-{message.code}")
            case _ if self.peer is None:
                self.close("message-before-hello")
            case Heartbeat():
                now = self.loop.clock.now()
                self._silence.record_heartbeat(now)
                # Set before the reading, which other threads take first: the time that
                # they find is never earlier than that of their reading.
                self.peer_clock_received_at = now
                self.peer_clock = message.sent_at
                self.handler.on_message(self, message)
            case _:
                self.handler.on_message(self, message)

    def _handle_hello(self, hello):
        if hello.protocol != PROTOCOL_VERSION:
            detail = f"version {PROTOCOL_VERSION} is spoken here"
            self.send(Goodbye(code="protocol-version", detail=detail))
            self.close("protocol-version")
            return
        self.peer = hello
        self._decoder.limit = self.timing.largest_message
        if self._intake is not None:
            self._intake.identify(self)
        self.handler.on_open(self)

    def _send_heartbeat(self):
        if self.close_reason:
            return
        if self._silence.is_silent(self.loop.clock.now()):
            self.close("silent")
            return
        self.send(self.handler.build_heartbeat(self))
        self.loop.call_later(self.timing.heartbeat, self._send_heartbeat)


def listen(loop, address, on_socket):
    """Listen on an address and call ``on_socket`` with each accepted socket.

    :param address: Pair of host and port.
    :returns: Listening socket.
    :raises AddressInUseError: when the address cannot be bound.
    """
    try:
        listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise AddressInUseError(f"{address[0]}:{address[1]}", str(error)) from error
    listener.setblocking(False)

    def accept(events):
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        on_socket(sock)

    loop.register(listener, selectors.EVENT_READ, accept)
    return listener
