"""Placement and failures of gangs."""

import pytest

from bergamotshore.core.work.model import Step
from tests.fakes import ManualExecutor

GANG = Step(tasks=3, cpu=4000, memory=100, is_gang=True, is_tight=True)


@pytest.fixture
def racked_world(simulation):
    """Return a world with one worker in the first rack and two in the second."""
    for node, rack in (("node-0", "r1"), ("node-1", "r2"), ("node-2", "r2")):
        simulation.runner_by_node[node].rack = rack
    simulation.advance(0.5)
    return simulation


def get_used_racks(simulation):
    """Return the racks of all workers that run a task."""
    return {
        runner.rack
        for runner in simulation.runner_by_node.values()
        if runner.run_by_task
    }


def test_a_gang_that_is_slower_across_racks_is_placed_in_one_rack(racked_world):
    for number in range(3):
        racked_world.submit(f"job{number}", (GANG,))
        racked_world.advance(0.5)
        assert len(racked_world.running) == 3
        assert len(get_used_racks(racked_world)) == 1
        racked_world.finish_all()
        racked_world.advance(0.5)
    assert racked_world.ledger.problems == []


def test_a_gang_too_large_for_a_rack_is_spread_across_racks(racked_world):
    racked_world.submit(
        "job1", (Step(tasks=10, cpu=4000, is_gang=True, is_tight=True),)
    )
    racked_world.advance(0.5)
    assert len(racked_world.running) == 10
    assert get_used_racks(racked_world) == {"r1", "r2"}
    assert racked_world.ledger.problems == []


def test_a_gang_without_capacity_claims_and_writes_nothing(racked_world):
    racked_world.submit("job1", (Step(tasks=13, cpu=4000, is_gang=True),))
    racked_world.advance(0.5)
    calls = racked_world.store.calls
    revision = racked_world.leader.dispatcher.cluster.job_by_key["queue/job1"].revision
    racked_world.advance(2.0)
    progress = racked_world.leader.dispatcher.cluster.job_by_key["queue/job1"]
    assert racked_world.running == []
    assert progress.revision == revision == 0
    assert racked_world.store.calls - calls <= 2 * 2.0 / 0.8 + 2


def test_members_of_a_gang_share_the_run_number(racked_world):
    racked_world.submit("job1", (GANG,))
    racked_world.advance(0.5)
    racked_world.finish_all("failed")
    racked_world.advance(0.5)
    numbers = {}
    for task, number, _ in racked_world.ledger.starts:
        numbers.setdefault(number, set()).add(task)
    assert sorted(numbers) == [1, 2]
    assert all(len(tasks) == 3 for tasks in numbers.values())


def test_failures_of_all_members_in_one_run_count_as_one_failure(racked_world):
    racked_world.submit("job1", (GANG,))
    for _ in range(2):
        racked_world.advance(0.5)
        racked_world.finish_all("failed")
    racked_world.kill_entry(racked_world.leader.name)
    racked_world.advance(6.0)
    assert racked_world.get_state("job1") == "running"
    racked_world.finish_all("failed")
    racked_world.advance(0.5)
    assert racked_world.get_state("job1") == "failed"
    assert len(racked_world.ledger.starts) == 3 * 3


# Guards against members that wait alone until their time runs out, because the start of
# another one was refused or lost.
def test_a_gang_that_lacks_a_member_is_stopped_and_started_again(racked_world):
    racked_world.runner_by_node["node-1"].faults = ["silent"]
    racked_world.submit("job1", (GANG,))
    racked_world.advance(2.0)
    assert len(racked_world.running) == 3
    numbers = {number for _, number, _ in racked_world.ledger.starts[-3:]}
    assert numbers == {2}
    assert racked_world.ledger.problems == []


# Guards against starting the other members of a gang although one can't be started.
def test_no_member_of_a_gang_is_ordered_if_one_can_not_be(racked_world):
    leader = racked_world.leader
    racked_world.advance(0.5)
    racked_world.submit("job1", (Step(tasks=3, cpu=9000, is_gang=True),))
    leader.dispatcher.executor = ManualExecutor()
    racked_world.advance(0.1)
    assert leader.dispatcher.executor.pending_calls
    racked_world.runner_by_node["node-2"].is_draining = True
    racked_world.advance(0.2)
    leader.dispatcher.executor.run_all()
    racked_world.advance(1.0)
    assert racked_world.ledger.starts == []
