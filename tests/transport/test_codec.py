"""Tests of the message encoding and of the stream."""

import socket

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshore.exceptions import (
    MalformedMessageError,
    StreamError,
    UnknownMessageError,
)
from bergamotshore.generated.messages import (
    TYPES_BY_TAG,
    AttemptId,
    Fence,
    Goodbye,
    Heartbeat,
    Hello,
    RequestEnded,
    TaskInventory,
)
from bergamotshore.generated.settings import Stream as StreamSettings
from bergamotshore.timeline.recorder import LamportClock
from bergamotshore.transport.codec import Decoder, encode_message
from bergamotshore.transport.loop import Loop
from bergamotshore.transport.stream import Stream

MAX_MESSAGE_BYTES = 64 * 1024
HELLO = Hello(protocol=1, role="node", name="n", incarnation="i", zone="z")
INVENTORY = TaskInventory(
    session="s",
    taken_at=1.0,
    echo=0.5,
    attempts=[AttemptId(job="t/j", index=0, attempt=3)],
    processors_free=1.5,
    memory_free_gb=2.0,
    accelerators_free=0,
)


@pytest.mark.parametrize("message", [HELLO, INVENTORY, Fence(request_id="r1")])
def test_messages_survive_a_round_trip(message):
    frames = Decoder(MAX_MESSAGE_BYTES).feed(encode_message(message, 7))
    assert [(frame.clock, frame.message) for frame in frames] == [(7, message)]


@given(st.lists(st.binary(max_size=300), max_size=8), st.integers(1, 50))
def test_messages_do_not_depend_on_how_the_bytes_are_split(bodies, size):
    messages = [
        RequestEnded(request_id=f"r{n}", outcome="completed", body=body)
        for n, body in enumerate(bodies)
    ]
    content = b"".join(encode_message(message, 1) for message in messages)
    decoder = Decoder(MAX_MESSAGE_BYTES)
    received = []
    for start in range(0, len(content), size):
        received += decoder.feed(content[start : start + size])
    assert [frame.message for frame in received] == messages


@pytest.mark.parametrize(
    ("content", "error"),
    [
        (b"\xc1", MalformedMessageError),
        (msgpack.packb("text"), MalformedMessageError),
        (msgpack.packb([1, 2]), MalformedMessageError),
        (msgpack.packb([1, -1, {}]), MalformedMessageError),
        (msgpack.packb([7, 1, {}]), MalformedMessageError),
        (msgpack.packb([7, 1, {"request_id": 5}]), MalformedMessageError),
        (msgpack.packb([99, 1, {}]), UnknownMessageError),
        (
            msgpack.packb([7, 1, {"request_id": "x" * MAX_MESSAGE_BYTES}]),
            MalformedMessageError,
        ),
        (b"\xc6\x7f\xff\xff\xff" + b"x" * MAX_MESSAGE_BYTES, MalformedMessageError),
    ],
)
def test_invalid_bytes_raise_a_typed_error(content, error):
    with pytest.raises(error):
        Decoder(MAX_MESSAGE_BYTES).feed(content)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_typed_errors(content):
    try:
        Decoder(MAX_MESSAGE_BYTES).feed(content)
    except StreamError:
        pass


def test_every_type_has_only_one_tag():
    assert len(set(TYPES_BY_TAG.values())) == len(TYPES_BY_TAG)


class RecordingHandler:
    """Record the callbacks of a stream."""

    def __init__(self):
        self.open_count = 0
        self.messages = []
        self.close_reason = ""

    def on_open(self, stream):
        self.open_count += 1

    def on_message(self, stream, message):
        self.messages.append(message)

    def on_close(self, stream):
        self.close_reason = stream.close_reason

    def build_heartbeat(self, stream):
        return Heartbeat(sent_at=stream.loop.clock.now())


@pytest.fixture
def connection(clock):
    """Return a loop, the socket for a stream and the raw socket of its peer."""
    local_sock, peer_sock = socket.socketpair()
    peer_sock.setblocking(False)
    return Loop(clock), local_sock, peer_sock


def open_stream(connection, monkeypatch):
    loop, local_sock, peer_sock = connection
    monkeypatch.setattr(socket.socket, "setsockopt", lambda *_: None)
    handler = RecordingHandler()
    timing = StreamSettings(largest_message=4096)
    stream = Stream(loop, local_sock, HELLO, timing, LamportClock(), handler)
    return stream, handler, peer_sock, loop


def receive_messages(peer_sock):
    decoder = Decoder(MAX_MESSAGE_BYTES)
    try:
        return [
            frame.message for frame in decoder.feed(peer_sock.recv(MAX_MESSAGE_BYTES))
        ]
    except BlockingIOError:
        return []


def test_stream_begins_with_hello(connection, monkeypatch):
    stream, handler, peer_sock, loop = open_stream(connection, monkeypatch)
    assert receive_messages(peer_sock)[0] == HELLO
    peer_sock.send(encode_message(HELLO, 5) + encode_message(Fence(request_id="r"), 6))
    loop.step(0)
    assert handler.open_count == 1
    assert handler.messages == [Fence(request_id="r")]
    assert stream.lamport.tick() > 6


@pytest.mark.parametrize(
    ("content", "reason"),
    [
        (encode_message(Fence(request_id="r"), 1), "message-before-hello"),
        (
            encode_message(
                Hello(protocol=2, role="node", name="n", incarnation="i", zone="z"), 1
            ),
            "protocol-version",
        ),
        (msgpack.packb([99, 1, {}]), "unknown-message"),
        (b"\xc1\xc1", "malformed-message"),
        (encode_message(Goodbye(code="stopping", detail=""), 1), "peer-stopping"),
    ],
)
def test_stream_is_closed_with_a_typed_reason(connection, monkeypatch, content, reason):
    _, handler, peer_sock, loop = open_stream(connection, monkeypatch)
    peer_sock.send(content)
    loop.step(0)
    assert handler.close_reason == reason


def test_peer_receives_the_reason_why_its_bytes_are_refused(connection, monkeypatch):
    _, _, peer_sock, loop = open_stream(connection, monkeypatch)
    receive_messages(peer_sock)
    peer_sock.send(msgpack.packb([99, 1, {}]))
    loop.step(0)
    assert receive_messages(peer_sock)[0].code == "unknown-message"


def test_silent_stream_is_closed(connection, monkeypatch, clock):
    stream, handler, peer_sock, loop = open_stream(connection, monkeypatch)
    peer_sock.send(encode_message(HELLO, 1))
    for _ in range(20):
        clock.advance(0.5)
        loop.step(0)
    assert handler.close_reason == "silent"
    assert not stream.send(Fence(request_id="r"))


def test_heartbeats_keep_a_stream_open(connection, monkeypatch, clock):
    _, handler, peer_sock, loop = open_stream(connection, monkeypatch)
    peer_sock.send(encode_message(HELLO, 1))
    for _ in range(20):
        clock.advance(0.5)
        peer_sock.send(encode_message(Heartbeat(sent_at=clock.now()), 1))
        loop.step(0)
    assert handler.close_reason == ""


def test_stream_to_a_peer_that_does_not_read_is_closed(connection, monkeypatch):
    stream, handler, _, loop = open_stream(connection, monkeypatch)
    body = b"x" * 4000
    for number in range(1000):
        stream.send(RequestEnded(request_id=f"{number}", outcome="unknown", body=body))
    loop.step(0)
    assert handler.close_reason == "stream-overflow"


# Guards against a stream that goes on after messages were lost with the error of an
# earlier one: nobody sends them again.
def test_a_stream_is_closed_by_an_error_with_one_of_its_messages(
    connection, monkeypatch
):
    _, handler, peer_sock, loop = open_stream(connection, monkeypatch)
    monkeypatch.setattr(handler, "on_message", lambda stream, message: 1 / 0)
    messages = [HELLO, Fence(request_id="r"), Fence(request_id="s")]
    peer_sock.send(b"".join(encode_message(message, 5) for message in messages))
    loop.step(0)
    assert handler.close_reason == "message-error"
