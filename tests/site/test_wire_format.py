"""Streams of the simulation carry messages in their wire format."""

import pytest

from bergamotshore.exceptions import MalformedMessageError
from bergamotshore.generated.messages import Heartbeat
from tests.site.simulation import Simulation

UNENCODABLE_TEXT = "\ud800"


@pytest.fixture
def stream(clock):
    """Return an entry's end of a stream to a node."""
    simulation = Simulation(clock, entries=1, nodes=1)
    simulation.advance(1.0)
    return simulation.entry_by_name["entry-0"].streams[0]


# Guards against simulations that miss messages which no process can send, such as the
# addresses that could not be encoded.
def test_message_that_cannot_be_encoded_is_not_delivered(stream):
    with pytest.raises(UnicodeEncodeError):
        stream.send(Heartbeat(sent_at=1.0, echo=1.0, cancelled=[UNENCODABLE_TEXT]))


# Guards against simulations that miss messages which no process accepts.
def test_message_outside_the_bounds_of_its_type_is_not_delivered(stream):
    assert stream.send(Heartbeat(sent_at="now", echo=1.0))
    with pytest.raises(MalformedMessageError):
        stream.other.deliver()


# Guards against processes of a simulation that share the objects in their messages.
def test_delivered_message_is_a_copy(stream):
    keys = ["job"]
    stream.send(Heartbeat(sent_at=1.0, echo=1.0, cancelled=keys))
    received = []
    stream.other.owner.on_message = lambda _, message: received.append(message)
    keys.append("changed later")
    stream.other.deliver()
    assert received[-1].cancelled == ["job"]
