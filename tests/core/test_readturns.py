"""Turns of reading under crowds whose requests are costly to parse."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshore.core.readturns import (
    FRAMING_BYTES_PER_READ,
    ORDINARY_WORK,
    TURN_WORK,
    ReadingWork,
    ReadTurns,
)

CROWD = 200
COSTLY_FRAMING = 7000


def read_costly(work):
    work.record(content=1000, framing=COSTLY_FRAMING)


@pytest.fixture
def turns():
    return ReadTurns()


@pytest.fixture
def crowd():
    """Return the work of a crowd whose bodies come in chunks of one byte."""
    work_by_client = {f"client-{number}": ReadingWork() for number in range(CROWD)}
    for work in work_by_client.values():
        read_costly(work)
    return work_by_client


def test_ordinary_request_is_read_before_a_crowd_of_tiny_chunks(turns, crowd):
    crowd["ordinary"] = ReadingWork()
    assert next(turns.take(crowd)) == "ordinary"


def test_one_turn_of_a_crowd_of_tiny_chunks_is_bounded(turns, crowd):
    before = sum(work.total for work in crowd.values())
    for client in turns.take(crowd):
        read_costly(crowd[client])
    spent = sum(work.total for work in crowd.values()) - before
    one_read = 2 + COSTLY_FRAMING / FRAMING_BYTES_PER_READ
    assert TURN_WORK <= spent < TURN_WORK + one_read


def test_all_clients_of_a_crowd_take_turns(turns, crowd):
    reads_by_client = dict.fromkeys(crowd, 0)
    while not all(reads_by_client.values()):
        for client in turns.take(crowd):
            read_costly(crowd[client])
            reads_by_client[client] += 1
    assert set(reads_by_client.values()) <= {1, 2}


def test_body_in_many_pieces_is_costly_and_the_next_request_is_not():
    work = ReadingWork()
    for _ in range(ORDINARY_WORK):
        assert not work.is_costly
        work.record()
    work.record()
    assert work.is_costly
    work.start_request()
    assert not work.is_costly


def test_single_costly_body_is_read_in_each_turn(turns):
    work = ReadingWork()
    for _ in range(100):
        assert list(turns.take({"client": work})) == ["client"]
        read_costly(work)


@given(st.lists(st.floats(0, 100), max_size=50))
def test_each_ready_connection_is_read_at_most_once_in_a_turn(costs):
    turns = ReadTurns()
    crowd = {number: ReadingWork(total=cost) for number, cost in enumerate(costs)}
    taken = list(turns.take(crowd))
    assert len(taken) == len(set(taken))
    assert bool(taken) == bool(crowd)
