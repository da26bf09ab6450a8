"""Runs of workers and nodes that were lost between two scheduling entries."""

from bergamotshore.core.work.leases import (
    ECHO_GRACE_SECONDS,
    LEASE_SECONDS,
    get_grant_seconds,
    get_lease_expiry_seconds,
)
from tests.site.simulation import LONGEST_HOLD_SECONDS
from tests.site.test_promises import LONG_RUNNING
from tests.site.test_restarted_nodes import lose_worker_running

# Pause between the loss of a worker and that of its node, in seconds: the node is told
# to end once its worker has left.
NODE_LEAVES_SECONDS = 1.0
# Time in which another entry takes the lease of one that was killed, in seconds.
TAKEOVER_SECONDS = 4.5
LEASE_EXPIRY_SECONDS = get_lease_expiry_seconds(get_grant_seconds(LONGEST_HOLD_SECONDS))


# Guards against waiting for the last possible echo of the former scheduling entry and
# the lease after it, 11 s after a takeover, for the runs of a worker whose end its node
# has told before it left.
def test_tasks_of_a_worker_and_node_that_left_before_a_takeover_run_again_after_it(
    simulation,
):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    simulation.kill_entry(simulation.leader.name)
    node = lose_worker_running(simulation, "job.0.0.0")
    simulation.advance(NODE_LEAVES_SECONDS)
    simulation.kill_node(node)
    simulation.advance(TAKEOVER_SECONDS - NODE_LEAVES_SECONDS)
    assert simulation.leader is not None
    simulation.advance(1.0)
    assert [task for task, _ in simulation.running] == ["job.0.0.0", "job.0.0.1"]
    assert simulation.ledger.problems == []


# Guards against the same wait for a worker that is lost together with its node, after
# the process of the former scheduling entry has ended for certain.
def test_tasks_of_a_node_lost_with_the_scheduling_entry_wait_for_one_lease_only(
    simulation,
):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    former = simulation.leader.name
    simulation.kill_entry(former)
    simulation.kill_node(lose_worker_running(simulation, "job.0.0.0"))
    simulation.advance(TAKEOVER_SECONDS)
    assert simulation.leader is not None
    simulation.start_entry(former)
    simulation.advance(LEASE_EXPIRY_SECONDS + 2.0)
    assert [task for task, _ in simulation.running] == ["job.0.0.0", "job.0.0.1"]
    assert simulation.ledger.problems == []


# Guards against giving up the runs of a worker that refused connections for a while.
def test_runs_of_a_worker_that_was_taken_for_gone_are_kept_after_a_takeover(
    simulation,
):
    for runner in simulation.runner_by_node.values():
        runner.is_gone = True
    simulation.advance(1.5)
    for runner in simulation.runner_by_node.values():
        runner.is_gone = False
    simulation.advance(1.0)
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(2 * TAKEOVER_SECONDS)
    assert simulation.leader is not None
    assert len(simulation.ledger.starts) == 2
    assert len(simulation.running) == 2


# Guards against giving up runs whose leases the former scheduling entry still renews,
# with the permission that its successor gave before the store was back for it.
def test_runs_of_a_node_that_only_the_former_entry_reaches_are_kept_while_it_echoes(
    simulation,
):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    former = simulation.leader.name
    simulation.without_store.add(former)
    (successor,) = set(simulation.entry_names) - {former}
    for node, runner in simulation.runner_by_node.items():
        if runner.run_by_task:
            simulation.disconnect(successor, node)
    simulation.store.is_down = True
    simulation.advance(LEASE_SECONDS + ECHO_GRACE_SECONDS - 1.0)
    simulation.store.is_down = False
    simulation.advance(1.0)
    assert simulation.entry_by_name[successor].dispatcher.epoch == 2
    assert len(simulation.ledger.starts) == 2
    simulation.advance(LEASE_EXPIRY_SECONDS + 2.0)
    assert len(simulation.ledger.starts) == 4
    assert [task for task, _ in simulation.running] == ["job.0.0.0", "job.0.0.1"]
    assert simulation.ledger.problems == []
