"""Orders that reach another life of a worker before its node knows of it."""

from bergamotshore.core.work.model import Step
from bergamotshore.ports.runner import RunOrder

TASK = (Step(tasks=1, cpu=4000, memory=100),)


# Guards against a task that runs again after its end was acknowledged by the number of
# an end of the worker's former life.
def test_an_end_of_a_new_life_is_not_acknowledged_by_a_number_of_the_former(simulation):
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
    runner.start(order, runner.clock_ms + 5000, 1, runner.name)
    runner.finish("second.0.0.0", "done")
    run_manager.hold()
    assert "second.0.0.0" not in simulation.ledger.acknowledged_done
