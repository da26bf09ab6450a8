"""Ends of workers that entries pass on to each other."""

from dataclasses import replace

import pytest

from bergamotshore.entry.workerends import (
    ANNOUNCE_SECONDS,
    MAX_ANNOUNCED,
    MAX_ENDS_PER_NODE,
    WorkerEnds,
)
from tests.site.simulation import FakeStream
from tests.site.test_promises import LONG_RUNNING

BORN = 1_000


@pytest.fixture
def entries(clock):
    """Return what three entries know."""
    return [WorkerEnds(clock) for _ in range(3)]


def pass_on(sender, receiver):
    return [receiver.record_passed_on(end) for end in sender.list_announced()]


def test_end_is_passed_on_from_entry_to_entry(entries):
    first, second, third = entries
    assert first.record_report("node", BORN, is_gone=True)
    assert not first.record_report("node", BORN, is_gone=True)
    assert pass_on(first, second) == [True]
    assert pass_on(first, second) == [False]
    assert pass_on(second, third) == [True]
    assert third.get_ended_incarnations("node") == (BORN,)
    assert third.get_ended_incarnations("other") == ()


# Guards against entries that tell each other of an end for ever.
def test_end_is_passed_on_for_a_limited_time(entries, clock):
    first, second, _ = entries
    first.record_report("node", BORN, is_gone=True)
    clock.advance(0.6 * ANNOUNCE_SECONDS)
    pass_on(first, second)
    clock.advance(0.6 * ANNOUNCE_SECONDS)
    assert second.list_announced() == []
    assert second.get_ended_incarnations("node") == (BORN,)


# Guards against releasing runs of a worker that answers again, by what an entry says
# that has not heard of it.
def test_end_that_was_taken_back_is_not_learnt_again(entries):
    first, second, third = entries
    first.record_report("node", BORN, is_gone=True)
    pass_on(first, second)
    second.record_report("node", BORN, is_gone=False)
    assert pass_on(first, second) == [False]
    assert second.get_ended_incarnations("node") == ()
    pass_on(second, first)
    pass_on(second, third)
    assert first.get_ended_incarnations("node") == ()
    assert pass_on(first, third) == [False]
    assert third.get_ended_incarnations("node") == ()


def test_end_that_a_node_tells_after_it_took_one_back_is_believed(entries, clock):
    first, second, _ = entries
    first.record_report("node", BORN, is_gone=True)
    first.record_report("node", BORN, is_gone=False)
    pass_on(first, second)
    clock.advance(1.0)
    assert second.record_report("node", BORN, is_gone=True)
    pass_on(first, second)
    assert second.get_ended_incarnations("node") == (BORN,)


def test_ordinary_reports_are_not_passed_on(entries):
    assert not entries[0].record_report("node", BORN, is_gone=False)
    assert entries[0].list_announced() == []


# Guards against a wait for the lease of a worker whose node has restarted and doesn't
# know which incarnation has ended.
def test_end_without_an_incarnation_is_that_of_the_last_known_one(entries):
    first, second, _ = entries
    assert not first.record_end_of_known("node")
    first.record_report("node", BORN, is_gone=False)
    first.record_report("other", BORN + 1, is_gone=False)
    assert first.record_end_of_known("node")
    assert not first.record_end_of_known("node")
    assert first.get_ended_incarnations("node") == (BORN,)
    assert first.get_ended_incarnations("other") == ()
    assert pass_on(first, second) == [True]
    first.record_report("node", BORN, is_gone=False)
    assert first.get_ended_incarnations("node") == ()


# Guards against an end of the incarnation that has answered since, by a report that is
# read late from a stream that the node has replaced.
@pytest.mark.parametrize("is_late", [False, True])
def test_end_without_an_incarnation_on_a_former_stream_ends_nothing(
    simulation, is_late
):
    simulation.advance(1.0)
    node = simulation.node_by_name["node-0"]
    born = simulation.runner_by_node["node-0"].born
    directory = simulation.leader.directory
    report = node.run_manager.build_report(1)
    (stream,) = [
        stream for stream in directory.list_streams() if stream.peer.name == "node-0"
    ]
    if is_late:
        stream = FakeStream(simulation.leader, stream.peer)
    late_report = replace(report, born=0, is_gone=True)
    assert directory.record_report(stream, late_report) == (not is_late)
    ended = directory.ends.get_ended_incarnations("node-0")
    assert ended == (() if is_late else (born,))


# Guards against heartbeats and memory that grow with the number of ends.
def test_announced_and_known_ends_are_limited(entries, clock):
    for number in range(MAX_ANNOUNCED):
        for born in range(2 * MAX_ENDS_PER_NODE):
            entries[0].record_report(f"node-{number}", born, is_gone=True)
        clock.advance(0.1)
    announced = entries[0].list_announced()
    assert len(announced) == MAX_ANNOUNCED
    assert announced[-1].node == f"node-{MAX_ANNOUNCED - 1}"
    assert len(entries[0].get_ended_incarnations("node-0")) == MAX_ENDS_PER_NODE


# Guards against an end that is learnt from others after the node has said that its
# worker answers, and against an entry that is not told of that.
def test_end_is_refuted_by_an_earlier_report_that_the_worker_answers(entries, clock):
    first, second, _ = entries
    first.record_report("node", BORN, is_gone=True)
    clock.advance(1.0)
    second.record_report("node", BORN, is_gone=False)
    assert pass_on(first, second) == [False]
    assert second.get_ended_incarnations("node") == ()
    pass_on(second, first)
    assert first.get_ended_incarnations("node") == ()


# Guards against starting tasks twice by an old end that was taken back elsewhere.
def test_old_end_that_was_taken_back_elsewhere_starts_nothing_twice(simulation):
    first = simulation.leader.name
    second = next(name for name in simulation.entry_names if name != first)
    simulation.kill_entry(first)
    simulation.advance(6.0)
    runner = simulation.runner_by_node["node-0"]
    runner.is_gone = True
    simulation.advance(1.0)
    simulation.disconnect(second, "node-0")
    runner.is_gone = False
    simulation.without_store.add(second)
    simulation.advance(ANNOUNCE_SECONDS + 1.0)
    simulation.start_entry(first)
    simulation.advance(6.0)
    lease_of_first = simulation.entry_by_name[first].election.lease
    assert lease_of_first.is_valid(simulation.clock.now())
    for job in ("job", "job2", "job3"):
        simulation.submit(job, LONG_RUNNING)
    simulation.advance(2.0)
    assert runner.run_by_task
    simulation.without_store.discard(second)
    simulation.advance(1.0)
    simulation.kill_entry(first)
    simulation.advance(7.0)
    assert simulation.leader.name == second
    assert simulation.ledger.problems == []
