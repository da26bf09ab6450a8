"""Runs of a worker that is lost while its node restarts are given up in time."""

import pytest

from bergamotshore.core.work.leases import get_grant_seconds, get_lease_expiry_seconds
from bergamotshore.core.work.model import Step
from tests.site.simulation import LONGEST_HOLD_SECONDS
from tests.site.test_promises import LONG_RUNNING

# A long-running task has to run again this long after its last run, in seconds.
RESTART_SECONDS = 6.0
# Time after which the lease of a worker that nobody renews has certainly expired, and
# a second for reports and orders.
EXPIRY_SECONDS = 1.0 + get_lease_expiry_seconds(get_grant_seconds(LONGEST_HOLD_SECONDS))
FINITE = (Step(tasks=2, cpu=3000, memory=100),)
STEPS_BY_KIND = {"long-running": LONG_RUNNING, "finite": FINITE}


def lose_worker_running(simulation, task):
    """Take a worker away for good; return the node beside it."""
    node, runner = next(
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if task in runner.run_by_task
    )
    runner.restart()
    runner.is_gone = True
    return node


# Guards against tasks that are taken for running for ever: a node that restarts beside
# a worker that is gone has nothing to list, but its heartbeats go on.
@pytest.mark.parametrize("kind", STEPS_BY_KIND)
def test_tasks_of_a_worker_that_is_gone_run_again_after_its_node_restarts(
    simulation, kind
):
    simulation.submit("job", STEPS_BY_KIND[kind])
    simulation.advance(1.0)
    simulation.start_node(lose_worker_running(simulation, "job.0.0.0"))
    simulation.advance(RESTART_SECONDS)
    assert [task for task, _ in simulation.running] == ["job.0.0.0", "job.0.0.1"]
    assert simulation.ledger.problems == []


# Guards against the same after a loss of power of all processes.
def test_tasks_of_a_worker_that_is_gone_run_again_after_all_processes_restart(
    simulation,
):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    lose_worker_running(simulation, "job.0.0.0")
    for entry in simulation.entry_names:
        simulation.start_entry(entry)
    for node in simulation.runner_by_node:
        simulation.start_node(node)
    simulation.advance(RESTART_SECONDS)
    assert [task for task, _ in simulation.running] == ["job.0.0.0", "job.0.0.1"]
    assert simulation.ledger.problems == []


# Guards against the same beside a worker that never answers again.
def test_tasks_of_a_worker_that_is_silent_run_again_after_its_node_restarts(
    simulation,
):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    node, runner = next(
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if runner.run_by_task
    )
    runner.is_cut = True
    simulation.start_node(node)
    simulation.advance(EXPIRY_SECONDS)
    assert [task for task, _ in simulation.running] == ["job.0.0.0", "job.0.0.1"]
    assert simulation.ledger.problems == []


# Guards against giving runs up too early: a worker that is silent for a while keeps
# its runs, whether its node restarts or not.
@pytest.mark.parametrize("restarts", [1, 2])
def test_tasks_of_a_worker_that_answers_again_are_kept(simulation, restarts):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    node, runner = next(
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if runner.run_by_task
    )
    runner.is_cut = True
    for _ in range(restarts):
        simulation.start_node(node)
        simulation.advance(1.0)
    runner.is_cut = False
    simulation.advance(EXPIRY_SECONDS)
    assert len(simulation.ledger.starts) == 2
    assert len(simulation.running) == 2
