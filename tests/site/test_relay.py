"""Tests of store calls relayed through peers, some of which the store rejects too."""

from types import SimpleNamespace

import pytest

from bergamotshore.adapters.http import HttpAnswer
from bergamotshore.entry.cancellations import RecentCancellations
from bergamotshore.entry.relay import PEER_BACKOFF_SECONDS, StoreRelay
from bergamotshore.entry.workerends import WorkerEnds
from bergamotshore.entry.workerleases import WorkerLeases
from bergamotshore.generated.messages import Heartbeat, StoreAnswer
from bergamotshore.timeline.recorder import LamportClock
from tests.fakes import FakeStream


@pytest.fixture
def announced():
    """Return the list of jobs that peers have announced as cancelled."""
    return []


@pytest.fixture
def relay(clock, loop, links, executor, announced):
    settings = SimpleNamespace(name="entry-0", zone="zone-a", stream=None)
    relay = StoreRelay(
        loop,
        settings,
        "incarnation",
        LamportClock(),
        None,
        executor,
        clock,
        RecentCancellations(clock),
        WorkerEnds(clock),
        WorkerLeases(clock),
        lambda peer, heartbeat: announced.extend(heartbeat.cancelled),
        lambda peer: {"superseded_epoch": 7, "permits_echo": peer.name == "permitted"},
    )
    relay.links = links
    return relay


def add_peer(relay, name, status, was_sent=True):
    """Add a peer whose calls to the store return a status, 0 for no answer."""
    stream = FakeStream(name, incarnation=f"incarnation of {name}")
    stream.status = status

    def send_answer(message):
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

    stream.on_send = send_answer
    relay.links.streams.append(stream)
    return stream


def get_status(outcome):
    return outcome.map(lambda answer: answer.status).value_or(0)


# Guards against an entry that loses the store, and so can not confirm the operator's
# rows, because it relays calls through a peer that the store rejects as well.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_call_rejected_through_one_peer_is_retried_through_another(relay, method):
    for name in ("a", "b"):
        add_peer(relay, name, 503)
    add_peer(relay, "c", 200)
    for _ in range(6):
        assert get_status(relay.call(method, "/x", b"", 1.0)) == 200


def test_a_rejected_peer_is_used_again_only_after_its_backoff(relay, clock):
    rejected_peer = add_peer(relay, "a", 503)
    add_peer(relay, "b", 200)
    for _ in range(6):
        relay.call("GET", "/x", b"", 1.0)
    assert len(rejected_peer.sent) == 1
    rejected_peer.status = 200
    clock.advance(PEER_BACKOFF_SECONDS)
    for _ in range(6):
        relay.call("GET", "/x", b"", 1.0)
    assert len(rejected_peer.sent) > 1


def test_a_write_that_may_have_been_applied_is_not_retried_through_another_peer(relay):
    unanswered_peer = add_peer(relay, "a", 0)
    other_peer = add_peer(relay, "b", 200)
    relay.call("POST", "/x", b"", 1.0)
    relay.call("POST", "/x", b"", 1.0)
    assert len(unanswered_peer.sent) == 1
    assert len(other_peer.sent) == 1


def test_a_call_is_rejected_when_the_store_rejects_all_peers(relay):
    for name in ("a", "b"):
        add_peer(relay, name, 503)
    for _ in range(3):
        assert relay.call("GET", "/x", b"", 1.0).unwrap() == HttpAnswer(
            503, "application/json", b"{}"
        )


# Guards against an entry of a large site that hears of no cancellation: no other entry
# connects to it, but it connects to some.
def test_announcements_on_streams_that_an_entry_opened_are_heard(relay, announced):
    heartbeat = Heartbeat(sent_at=1.0, cancelled=["queue/job"])
    relay.on_message(FakeStream("entry-1"), heartbeat)
    assert announced == ["queue/job"]


# Guards against an end of a worker that is not told to an entry of a large site.
def test_ends_of_workers_are_passed_on_on_streams_that_an_entry_opened(relay):
    relay._worker_ends.record_report("node", 1_000, is_gone=True)
    heartbeat = relay.build_heartbeat(FakeStream("entry-1"))
    assert [(end.node, end.born) for end in heartbeat.worker_ends] == [("node", 1_000)]


# Guards against an entry of a large site that hears nothing of the terms of others, and
# waits for their echoes.
@pytest.mark.parametrize("name", ["permitted", "refused"])
def test_heartbeats_on_streams_that_an_entry_opened_tell_of_terms(relay, name):
    heartbeat = relay.build_heartbeat(FakeStream(name))
    assert heartbeat.superseded_epoch == 7
    assert heartbeat.permits_echo == (name == "permitted")


# Guards against an entry that waits for the echoes of one that has restarted until the
# next heartbeat but one.
def test_first_heartbeat_of_a_peer_is_answered_at_once(relay):
    stream = FakeStream("entry-1")
    stream.peer_clock = 5.0
    relay.on_message(stream, Heartbeat(sent_at=5.0))
    assert [message.echo for message in stream.sent] == [5.0]
    relay.on_message(stream, Heartbeat(sent_at=5.5, echo=1.0))
    assert len(stream.sent) == 1
