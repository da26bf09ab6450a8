"""Tasks that only work together, and where they go."""

import pytest

from bergamotshore.core.work.model import Step

GANG = Step(tasks=3, cpu=4000, memory=100, is_gang=True, is_tight=True)


@pytest.fixture
def racks(simulation):
    """Return a world whose workers stand in two racks of two and one."""
    for node, rack in (("node-0", "r1"), ("node-1", "r2"), ("node-2", "r2")):
        simulation.runner_by_node[node].rack = rack
    simulation.advance(0.5)
    return simulation


def get_racks(simulation):
    return {
        runner.rack
        for runner in simulation.runner_by_node.values()
        if runner.run_by_task
    }


def test_a_gang_that_is_slower_on_several_racks_gets_one(racks):
    for number in range(3):
        racks.submit(f"job{number}", (GANG,))
        racks.advance(0.5)
        assert len(racks.running) == 3
        assert len(get_racks(racks)) == 1
        racks.finish_all()
        racks.advance(0.5)
    assert racks.ledger.problems == []


def test_a_gang_too_large_for_a_rack_is_spread_and_runs(racks):
    racks.submit("job1", (Step(tasks=10, cpu=4000, is_gang=True, is_tight=True),))
    racks.advance(0.5)
    assert len(racks.running) == 10
    assert get_racks(racks) == {"r1", "r2"}
    assert racks.ledger.problems == []


def test_a_gang_without_room_claims_and_writes_nothing(racks):
    racks.submit("job1", (Step(tasks=13, cpu=4000, is_gang=True),))
    racks.advance(0.5)
    calls = racks.store.calls
    revision = racks.leader.dispatcher.cluster.job_by_key["queue/job1"].revision
    racks.advance(2.0)
    progress = racks.leader.dispatcher.cluster.job_by_key["queue/job1"]
    assert racks.running == []
    assert progress.revision == revision == 0
    assert racks.store.calls - calls <= 2 * 2.0 / 0.8 + 2


def test_members_share_the_number_of_their_run(racks):
    racks.submit("job1", (GANG,))
    racks.advance(0.5)
    racks.finish_all("failed")
    racks.advance(0.5)
    numbers = {}
    for task, number, _ in racks.ledger.starts:
        numbers.setdefault(number, set()).add(task)
    assert sorted(numbers) == [1, 2]
    assert all(len(tasks) == 3 for tasks in numbers.values())


def test_a_run_in_which_all_members_fail_counts_once(racks):
    racks.submit("job1", (GANG,))
    for _ in range(2):
        racks.advance(0.5)
        racks.finish_all("failed")
    racks.kill_entry(racks.leader.name)
    racks.advance(6.0)
    assert racks.get_state("job1") == "running"
    racks.finish_all("failed")
    racks.advance(0.5)
    assert racks.get_state("job1") == "failed"
    assert len(racks.ledger.starts) == 3 * 3
