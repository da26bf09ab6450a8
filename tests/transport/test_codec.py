"""Tests of messages on the stream and of the stream itself."""

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

LARGEST = 64 * 1024
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
def test_messages_come_back_as_they_were(message):
    frames = Decoder(LARGEST).feed(encode_message(message, 7))
    assert [(frame.clock, frame.message) for frame in frames] == [(7, message)]


@given(st.lists(st.binary(max_size=300), max_size=8), st.integers(1, 50))
def test_any_cut_of_the_bytes_gives_the_same_messages(bodies, size):
    messages = [
        RequestEnded(request_id=f"r{n}", outcome="completed", body=body)
        for n, body in enumerate(bodies)
    ]
    content = b"".join(encode_message(message, 1) for message in messages)
    decoder = Decoder(LARGEST)
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
        (msgpack.packb([7, 1, {"request_id": "x" * LARGEST}]), MalformedMessageError),
        (b"\xc6\x7f\xff\xff\xff" + b"x" * LARGEST, MalformedMessageError),
    ],
)
def test_bad_bytes_give_a_typed_error(content, error):
    with pytest.raises(error):
        Decoder(LARGEST).feed(content)


@given(st.binary(max_size=200))
def test_no_bytes_give_an_untyped_error(content):
    try:
        Decoder(LARGEST).feed(content)
    except StreamError:
        pass


def test_every_tag_has_one_type():
    assert len(set(TYPES_BY_TAG.values())) == len(TYPES_BY_TAG)


class Handler:
    """Keep what a stream tells."""

    def __init__(self):
        self.opened = 0
        self.messages = []
        self.closed = ""

    def on_open(self, stream):
        self.opened += 1

    def on_message(self, stream, message):
        self.messages.append(message)

    def on_close(self, stream):
        self.closed = stream.close_reason

    def build_heartbeat(self, stream):
        return Heartbeat(sent_at=stream.loop.clock.now())


@pytest.fixture
def pair(clock):
    """Return a stream's loop, its handler and the raw socket of its peer."""
    near, far = socket.socketpair()
    far.setblocking(False)
    return Loop(clock), near, far


def open_stream(pair, monkeypatch):
    loop, near, far = pair
    monkeypatch.setattr(socket.socket, "setsockopt", lambda *_: None)
    handler = Handler()
    timing = StreamSettings(largest_message=4096)
    stream = Stream(loop, near, HELLO, timing, LamportClock(), handler)
    return stream, handler, far, loop


def read_all(far):
    decoder = Decoder(LARGEST)
    try:
        return [frame.message for frame in decoder.feed(far.recv(LARGEST))]
    except BlockingIOError:
        return []


def test_a_stream_begins_with_hello(pair, monkeypatch):
    stream, handler, far, loop = open_stream(pair, monkeypatch)
    assert read_all(far)[0] == HELLO
    far.send(encode_message(HELLO, 5) + encode_message(Fence(request_id="r"), 6))
    loop.step(0)
    assert handler.opened == 1
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
def test_a_stream_is_closed_with_a_typed_reason(pair, monkeypatch, content, reason):
    _, handler, far, loop = open_stream(pair, monkeypatch)
    far.send(content)
    loop.step(0)
    assert handler.closed == reason


def test_the_peer_is_told_why_its_bytes_are_refused(pair, monkeypatch):
    _, _, far, loop = open_stream(pair, monkeypatch)
    read_all(far)
    far.send(msgpack.packb([99, 1, {}]))
    loop.step(0)
    assert read_all(far)[0].code == "unknown-message"


def test_a_silent_stream_is_closed(pair, monkeypatch, clock):
    stream, handler, far, loop = open_stream(pair, monkeypatch)
    far.send(encode_message(HELLO, 1))
    for _ in range(20):
        clock.advance(0.5)
        loop.step(0)
    assert handler.closed == "silent"
    assert not stream.send(Fence(request_id="r"))


def test_heartbeats_keep_a_stream_open(pair, monkeypatch, clock):
    _, handler, far, loop = open_stream(pair, monkeypatch)
    far.send(encode_message(HELLO, 1))
    for _ in range(20):
        clock.advance(0.5)
        far.send(encode_message(Heartbeat(sent_at=clock.now()), 1))
        loop.step(0)
    assert handler.closed == ""


def test_a_peer_that_does_not_read_is_dropped(pair, monkeypatch):
    stream, handler, _, loop = open_stream(pair, monkeypatch)
    body = b"x" * 4000
    for number in range(1000):
        stream.send(RequestEnded(request_id=f"{number}", outcome="unknown", body=body))
    loop.step(0)
    assert handler.closed == "stream-overflow"
