"""Calls to the store through peers, some of which the store turns away as well."""

from types import SimpleNamespace

import pytest

from bergamotshore.adapters.http import HttpAnswer
from bergamotshore.entry.relay import PEER_BACKOFF_SECONDS, StoreRelay
from bergamotshore.generated.messages import StoreAnswer
from bergamotshore.timeline.recorder import LamportClock
from tests.fakes import FakeStream


@pytest.fixture
def relay(clock, loop, links, executor):
    settings = SimpleNamespace(name="entry-0", zone="zone-a", stream=None)
    relay = StoreRelay(loop, settings, "run", LamportClock(), None, executor, clock)
    relay.links = links
    return relay


def add_peer(relay, name, status, was_sent=True):
    """Add a peer whose calls to the store end with a status; 0 for no answer."""
    stream = FakeStream(name, incarnation=f"run of {name}")
    stream.status = status

    def answer(message):
        relay.on_message(
            stream,
            StoreAnswer(
                call_id=message.call_id,
                status=stream.status,
                body=b"{}",
                detail="",
                was_sent=was_sent,
            ),
        )

    stream.on_send = answer
    relay.links.streams.append(stream)
    return stream


def get_status(outcome):
    return outcome.map(lambda answer: answer.status).value_or(0)


# Guards against an entry that loses the store, and with it its knowledge of what is
# declared, because it asks a peer that is turned away like itself.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_peer_that_is_turned_away_too_is_passed_over(relay, method):
    for name in ("a", "b"):
        add_peer(relay, name, 503)
    add_peer(relay, "c", 200)
    for _ in range(6):
        assert get_status(relay.call(method, "/x", b"", 1.0)) == 200


def test_peers_that_are_turned_away_are_asked_again_only_after_a_while(relay, clock):
    away = add_peer(relay, "a", 503)
    add_peer(relay, "b", 200)
    for _ in range(6):
        relay.call("GET", "/x", b"", 1.0)
    assert len(away.sent) == 1
    away.status = 200
    clock.advance(PEER_BACKOFF_SECONDS)
    for _ in range(6):
        relay.call("GET", "/x", b"", 1.0)
    assert len(away.sent) > 1


def test_a_write_that_may_have_been_taken_is_sent_through_no_other_peer(relay):
    doubtful = add_peer(relay, "a", 0)
    other = add_peer(relay, "b", 200)
    relay.call("POST", "/x", b"", 1.0)
    relay.call("POST", "/x", b"", 1.0)
    assert len(doubtful.sent) == 1
    assert len(other.sent) == 1


def test_with_all_peers_turned_away_the_call_is_too(relay):
    for name in ("a", "b"):
        add_peer(relay, name, 503)
    for _ in range(3):
        assert relay.call("GET", "/x", b"", 1.0).unwrap() == HttpAnswer(
            503, "application/json", b"{}"
        )
