"""One stream to a peer process over TCP."""

import selectors
import socket
import threading

from bergamotshore.core.silence import SilenceDetector
from bergamotshore.exceptions import AddressInUseError, StreamError
from bergamotshore.generated.messages import Goodbye, Heartbeat, Hello
from bergamotshore.transport.codec import Decoder, encode_message

PROTOCOL_VERSION = 1
READ_BYTES = 256 * 1024
OUTPUT_MESSAGES = 4
BACKLOG = 1024


class Stream:
    """Send and receive messages; heartbeats find silence.

    ``handler`` is told of the life of the stream in the loop's thread: ``on_open`` once
    the peer has said who it is, ``on_message``, ``on_close``; ``build_heartbeat`` fills
    in the load.

    :param loop: ``Loop``.
    :param sock: Connected socket.
    :param hello: ``Hello`` of this process.
    :param timing: ``settings.Stream``.
    :param lamport: ``LamportClock``.
    :param handler: Told of events.
    """

    def __init__(self, loop, sock, hello, timing, lamport, handler):
        self.loop = loop
        self.sock = sock
        self.timing = timing
        self.lamport = lamport
        self.handler = handler
        self.peer = None
        self.peer_clock = 0.0
        self.close_reason = ""
        self._decoder = Decoder(timing.largest_message)
        self._output = bytearray()
        self._lock = threading.Lock()
        self._silence = SilenceDetector(
            timing.heartbeat, timing.silence_min, timing.silence_max, loop.clock.now()
        )
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.register(sock, selectors.EVENT_READ, self._handle_ready)
        self.send(hello)
        self._beat()

    @property
    def is_open(self):
        """Tell whether messages can be sent."""
        return not self.close_reason

    def send(self, message):
        """Send a message, from any thread.

        :returns: False when the stream is closed, so that nothing was sent.
        """
        content = encode_message(message, self.lamport.tick())
        with self._lock:
            if self.close_reason:
                return False
            was_empty = not self._output
            self._output += content
            if was_empty:
                self._flush()
            is_waiting = bool(self._output)
            overflow = len(self._output) > OUTPUT_MESSAGES * self.timing.largest_message
        if overflow:
            self.loop.call(self.close, "stream-overflow")
        elif is_waiting and was_empty:
            self.loop.call(self._watch_output)
        return True

    def close(self, reason):
        """Close the stream; in the loop's thread.

        :param reason: Error code.
        """
        with self._lock:
            if self.close_reason:
                return
            self.close_reason = reason
        self.loop.unregister(self.sock)
        self.sock.close()
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
        self.loop.modify(self.sock, events, self._handle_ready)

    def _handle_ready(self, events):
        if events & selectors.EVENT_WRITE:
            self._handle_writable()
        if events & selectors.EVENT_READ and not self.close_reason:
            self._handle_readable()

    def _handle_writable(self):
        with self._lock:
            self._flush()
            is_done = not self._output
        if is_done and not self.close_reason:
            self.loop.modify(self.sock, selectors.EVENT_READ, self._handle_ready)

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
            self._handle_message(frame.message)

    def _handle_message(self, message):
        match message:
            case Hello():
                self._handle_hello(message)
            case Goodbye():
                self.close(f"peer-{message.code}")
            case _ if self.peer is None:
                self.close("message-before-hello")
            case Heartbeat():
                self._silence.record_heartbeat(self.loop.clock.now())
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
        self.handler.on_open(self)

    def _beat(self):
        if self.close_reason:
            return
        if self._silence.is_silent(self.loop.clock.now()):
            self.close("silent")
            return
        self.send(self.handler.build_heartbeat(self))
        self.loop.call_later(self.timing.heartbeat, self._beat)


def listen(loop, address, on_socket):
    """Accept connections on an address and hand each socket on.

    :param address: Pair of host and port.
    :returns: Listening socket.
    :raises AddressInUseError: when the address can not be listened on.
    """
    try:
        listener = socket.create_server(address, backlog=BACKLOG)
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
