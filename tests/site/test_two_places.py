"""Tasks in two places after a former scheduling entry was permitted to echo."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import STEP_SECONDS, Simulation

LASTING = (Step(tasks=2, cpu=3000, memory=100, is_lasting=True),)


# Guards against running tasks twice that a former scheduling entry keeps alive, because
# its successor permits that between a claim without an answer and the next one.
@pytest.mark.parametrize("outage", [1.7, 2.5])
def test_tasks_kept_alive_after_a_lost_claim_are_not_rescheduled(clock, outage):
    simulation = Simulation(clock, entries=2, nodes=3)
    simulation.submit("watch", LASTING)
    simulation.advance(2.0)
    former = simulation.leader
    successor = next(e for e in simulation.entry_by_name.values() if e is not former)
    for node in simulation.node_by_name:
        if simulation.runner_by_node[node].run_by_task:
            simulation.disconnect(successor.name, node)
    simulation.without_store.add(former.name)
    term = former.dispatcher.epoch
    simulation.store.faults = ["lost"]
    while successor.election.row is None or simulation.store.faults:
        simulation.advance(STEP_SECONDS)
    simulation.store.is_down = True
    simulation.advance(outage)
    simulation.store.is_down = False
    simulation.advance(12.0)
    assert successor.dispatcher.epoch > term
    assert len(simulation.running) == LASTING[0].tasks
    assert simulation.ledger.problems == []
