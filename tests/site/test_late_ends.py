"""Ends that a node reports after its runs were given up."""

import pytest

from bergamotshore.core.work.model import Step

FIRST = Step(tasks=1, cpu=4000, memory=100)
SECOND = Step(tasks=1, cpu=4000, memory=100, after=(0,))
# The right of a node and the lease of its worker are over after this time, in seconds.
GIVEN_UP_SECONDS = 9.0


def freeze_node_of(simulation, task):
    """Freeze the node beside the worker of a task; returns node and worker."""
    ((node, runner),) = [
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if task in runner.run_by_task
    ]
    simulation.paused.add(node)
    return node, runner


@pytest.fixture
def frozen(simulation):
    """Return node and worker of a job's first task, whose node stands still."""
    simulation.submit("job", (FIRST, SECOND))
    simulation.advance(1.0)
    return freeze_node_of(simulation, "job.0.0.0")


# Guards against a job that waits for the second run of a task whose first run was done
# on a worker whose node stood still past its lease.
def test_work_done_beside_a_frozen_node_is_not_done_again(simulation, frozen):
    node, runner = frozen
    runner.finish("job.0.0.0", "done")
    simulation.advance(GIVEN_UP_SECONDS)
    assert [task for task, _ in simulation.running] == ["job.0.0.0"]
    simulation.paused.discard(node)
    simulation.advance(1.5)
    assert [task for task, _ in simulation.running] == ["job.0.1.0"]
    simulation.finish_all()
    simulation.advance(1.0)
    assert simulation.get_state("job") == "done"
    assert simulation.ledger.problems == []


@pytest.mark.parametrize("outcome", ["failed", "lapsed"])
def test_other_late_ends_change_nothing(simulation, frozen, outcome):
    node, runner = frozen
    runner.finish("job.0.0.0", outcome)
    simulation.advance(GIVEN_UP_SECONDS)
    simulation.paused.discard(node)
    simulation.advance(1.5)
    assert [task for task, _ in simulation.running] == ["job.0.0.0"]
    assert any("event=end-unclaimed" in line for line in simulation.lines)
    assert simulation.ledger.problems == []
