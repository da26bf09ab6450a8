"""Tests of completions that a node reports after its runs have been released."""

import pytest

from bergamotshore.core.work.model import Step

FIRST = Step(tasks=1, cpu=4000, memory=100)
SECOND = Step(tasks=1, cpu=4000, memory=100, after=(0,))
# Time after which both the renewal grant of a silent node and the lease of its worker
# have expired, in seconds.
LEASE_EXPIRY_SECONDS = 9.0


def pause_node_running(simulation, task):
    """Pause the node of the worker that runs a task; return node name and worker."""
    ((node, runner),) = [
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if task in runner.run_by_task
    ]
    simulation.paused.add(node)
    return node, runner


@pytest.fixture
def paused_node(simulation):
    """Return node name and worker of a job's first task, with the node paused."""
    simulation.submit("job", (FIRST, SECOND))
    simulation.advance(1.0)
    return pause_node_running(simulation, "job.0.0.0")


# Guards against waiting for the second run of a task whose first run was completed by a
# worker while its node was paused until after the lease had expired.
def test_task_completed_while_its_node_was_paused_is_not_repeated(
    simulation, paused_node
):
    node, runner = paused_node
    runner.finish("job.0.0.0", "done")
    simulation.advance(LEASE_EXPIRY_SECONDS)
    assert [task for task, _ in simulation.running] == ["job.0.0.0"]
    simulation.paused.discard(node)
    simulation.advance(1.5)
    assert [task for task, _ in simulation.running] == ["job.0.1.0"]
    simulation.finish_all()
    simulation.advance(1.0)
    assert simulation.get_state("job") == "done"
    assert simulation.ledger.problems == []


@pytest.mark.parametrize("outcome", ["failed", "lapsed"])
def test_late_completion_with_another_outcome_has_no_effect(
    simulation, paused_node, outcome
):
    node, runner = paused_node
    runner.finish("job.0.0.0", outcome)
    simulation.advance(LEASE_EXPIRY_SECONDS)
    simulation.paused.discard(node)
    simulation.advance(1.5)
    assert [task for task, _ in simulation.running] == ["job.0.0.0"]
    assert any("event=end-unclaimed" in line for line in simulation.lines)
    assert simulation.ledger.problems == []
