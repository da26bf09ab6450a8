"""Nodes that restart again and again beside a worker that hangs or has gone."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import Simulation

LASTING = (Step(tasks=2, cpu=3000, memory=100, is_lasting=True),)
# A long-running task has to run again within this time, and is lost 3 s later.
LOST_SECONDS = 9.0


def start(clock):
    simulation = Simulation(clock, entries=3, nodes=4)
    simulation.advance(3.0)
    simulation.submit("job", LASTING)
    simulation.advance(4.0)
    node = next(n for n, r in simulation.runner_by_node.items() if r.run_by_task)
    return simulation, node


# Guards against the lease of a hung worker that is counted anew with each process of
# its node, though none of these can have extended it.
@pytest.mark.parametrize("restarts", [0, 1, 3])
def test_tasks_of_a_hung_worker_run_again_however_often_its_node_restarts(
    clock, restarts
):
    simulation, node = start(clock)
    runner = simulation.runner_by_node[node]
    task = next(iter(runner.run_by_task))
    runner.is_cut = True
    while runner.run_by_task:
        simulation.advance(0.1)
    ended_at = clock.now()
    for _ in range(restarts):
        simulation.start_node(node)
        simulation.advance(2.0)
    simulation.advance(ended_at + LOST_SECONDS - clock.now())
    assert task in [running for running, _ in simulation.running]


# Guards against the end of a worker that nobody can tell: its node and all entries have
# restarted since it answered, and the node leaves before another entry schedules.
def test_tasks_of_a_gone_worker_run_again_after_all_processes_have_restarted(clock):
    simulation, node = start(clock)
    task = next(iter(simulation.runner_by_node[node].run_by_task))
    simulation.lose_worker(node)
    gone_at = clock.now()
    simulation.start_node(node)
    for name in simulation.entry_names:
        simulation.kill_entry(name)
    for name in simulation.entry_names:
        simulation.start_entry(name)
    simulation.advance(0.4)
    simulation.stop_node(node)
    simulation.advance(gone_at + LOST_SECONDS - clock.now())
    assert task in [running for running, _ in simulation.running]
