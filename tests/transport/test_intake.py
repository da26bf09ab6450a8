"""Bounds of streams whose peers connect to a process."""

import msgpack
import pytest

from bergamotshore.exceptions import MalformedMessageError
from bergamotshore.generated.messages import Hello
from bergamotshore.generated.settings import Intake as IntakeSettings
from bergamotshore.transport.codec import (
    KEPT_BUFFER_BYTES,
    Decoder,
    encode_message,
)
from bergamotshore.transport.intake import (
    MAX_HELLO_BYTES,
    MESSAGE_COPIES,
    STREAM_BYTES,
    StreamIntake,
)
from bergamotshore.utils.eventlog import EventLog

LARGEST_MESSAGE = 100_000
PLACES = 64
HELLO = Hello(protocol=1, role="node", name="node-1", incarnation="a", zone="zone-a")


class StubStream:
    """Stream that holds a number of bytes."""

    def __init__(self, intake, waiting_bytes=0):
        self.waiting_bytes = waiting_bytes
        self.close_reason = ""
        self._intake = intake

    def close(self, reason):
        self.close_reason = reason
        self._intake.close(self)


@pytest.fixture
def intake(clock, registry):
    log = EventLog(clock, lambda line: None)
    limits = IntakeSettings(memory_mb=64, connections=PLACES)
    return StreamIntake(limits, LARGEST_MESSAGE, clock, registry, log)


def open_streams(intake, count, waiting_bytes=0):
    streams = [StubStream(intake, waiting_bytes) for _ in range(count)]
    for stream in streams:
        intake.open(stream)
    return streams


def test_oldest_unidentified_stream_gives_its_place_to_a_new_one(intake, registry):
    streams = open_streams(intake, PLACES + 2)
    assert [stream.close_reason for stream in streams[:2]] == ["intake-connections"] * 2
    assert not any(stream.close_reason for stream in streams[2:])
    assert registry.get_count("streams_dropped_total", reason="connections") == 2


def test_identified_streams_take_no_place(intake):
    identified = open_streams(intake, PLACES)
    for stream in identified:
        intake.identify(stream)
        intake.update(stream)
    open_streams(intake, PLACES)
    assert not any(stream.close_reason for stream in identified)


def test_message_without_room_closes_its_stream_and_no_identified_one(intake):
    size = 1_000_000
    fitting = int(64_000_000 / 8 * 0.75 / (MESSAGE_COPIES * size))
    streams = []
    for _ in range(fitting + 1):
        (stream,) = open_streams(intake, 1)
        intake.identify(stream)
        intake.update(stream)
        streams.append(stream)
    for stream in streams:
        stream.waiting_bytes = size
        intake.update(stream)
    assert [stream.close_reason for stream in streams] == [""] * fitting + [
        "intake-no-room"
    ]


def test_closed_streams_give_their_memory_back(intake, registry):
    def read_held():
        lines = registry.render().splitlines()
        name = "bergamotshore_stream_memory_bytes "
        return float(next(line for line in lines if line.startswith(name)).split()[1])

    streams = open_streams(intake, 3, waiting_bytes=1000)
    assert read_held() == 3 * (STREAM_BYTES + MESSAGE_COPIES * 1000)
    for stream in streams:
        intake.close(stream)
    assert read_held() == 0


def test_first_message_has_a_limit_of_its_own():
    decoder = Decoder(LARGEST_MESSAGE, MAX_HELLO_BYTES)
    assert decoder.feed(encode_message(HELLO, 1))[0].message == HELLO
    with pytest.raises(MalformedMessageError):
        decoder.feed(msgpack.packb(b"x" * (MAX_HELLO_BYTES + 10))[:-2])


def test_message_that_is_whole_within_one_read_may_exceed_the_limit_of_its_rest():
    decoder = Decoder(LARGEST_MESSAGE, 10)
    frames = decoder.feed(encode_message(HELLO, 1) * 3)
    assert [frame.message for frame in frames] == [HELLO] * 3
    assert decoder.waiting_bytes == 0


def test_messages_beyond_the_kept_buffer_are_decoded_in_pieces():
    decoder = Decoder(LARGEST_MESSAGE)
    wire = encode_message(HELLO, 1) * (3 * KEPT_BUFFER_BYTES // 60)
    frames = []
    for start in range(0, len(wire), 1000):
        frames += decoder.feed(wire[start : start + 1000])
    assert {frame.message for frame in frames} == {HELLO}
    assert len(frames) == 3 * KEPT_BUFFER_BYTES // 60
