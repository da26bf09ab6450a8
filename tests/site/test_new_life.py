"""Tests of orders that reach a restarted worker before its node notices the restart."""

from bergamotshore.core.work.model import Step
from bergamotshore.ports.runner import RunOrder

TASK = (Step(tasks=1, cpu=4000, memory=100),)


# Guards against running a completed task again. Sequence numbers of completions start
# anew with each incarnation of a worker, so a number recorded for the previous one can
# acknowledge a completion of the current one that was never seen.
def test_old_sequence_number_does_not_acknowledge_completion_of_restarted_worker(
    simulation,
):
    simulation.submit("first", TASK)
    simulation.advance(1.0)
    ((node, runner),) = [
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if "first.0.0.0" in runner.run_by_task
    ]
    runner.finish("first.0.0.0", "done")
    simulation.advance(1.0)
    run_manager = simulation.node_by_name[node].run_manager
    assert run_manager.acknowledged == 1
    runner.restart()
    simulation.submit("second", TASK)
    order = RunOrder("second.0.0.0", 1, "payload", "")
    runner.start(order, runner.clock_ms + 5000, 1, runner.incarnation)
    runner.finish("second.0.0.0", "done")
    run_manager.hold()
    assert "second.0.0.0" not in simulation.ledger.acknowledged_done
