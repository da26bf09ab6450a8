"""Tests of completions that a node reports after its runs have been released."""

import pytest

from bergamotshore.core.work.model import Step

FIRST = Step(tasks=1, cpu=4000, memory=100)
SECOND = Step(tasks=1, cpu=4000, memory=100, after=(0,))
# Time after which both the renewal grant of a silent node and the lease of its worker
# have expired, in seconds.
LEASE_EXPIRY_SECONDS = 9.0


def pause_node_running(world, task):
    """Pause the node of the worker that runs a task; return node name and worker."""
    ((node, runner),) = [
        (node, runner)
        for node, runner in world.runner_by_node.items()
        if task in runner.run_by_task
    ]
    world.paused.add(node)
    return node, runner


@pytest.fixture
def paused_node(world):
    """Return node name and worker of a job's first task, with the node paused."""
    world.submit("job", (FIRST, SECOND))
    world.advance(1.0)
    return pause_node_running(world, "job.0.0.0")


# Guards against waiting for the second run of a task whose first run was completed by a
# worker while its node was paused until after the lease had expired.
def test_task_completed_while_its_node_was_paused_is_not_repeated(world, paused_node):
    node, runner = paused_node
    runner.finish("job.0.0.0", "done")
    world.advance(LEASE_EXPIRY_SECONDS)
    assert [task for task, _ in world.running] == ["job.0.0.0"]
    world.paused.discard(node)
    world.advance(1.5)
    assert [task for task, _ in world.running] == ["job.0.1.0"]
    world.finish_all()
    world.advance(1.0)
    assert world.get_state("job") == "done"
    assert world.ledger.problems == []


@pytest.mark.parametrize("outcome", ["failed", "lapsed"])
def test_late_completion_with_another_outcome_has_no_effect(
    world, paused_node, outcome
):
    node, runner = paused_node
    runner.finish("job.0.0.0", outcome)
    world.advance(LEASE_EXPIRY_SECONDS)
    world.paused.discard(node)
    world.advance(1.5)
    assert [task for task, _ in world.running] == ["job.0.0.0"]
    assert any("event=end-unclaimed" in line for line in world.lines)
    assert world.ledger.problems == []
