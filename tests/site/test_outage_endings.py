"""Outages of the store in which an entry ends."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import Simulation

# Longest outage of the store in the users' scenarios.
OUTAGE_SECONDS = 5.0
LASTING = (Step(tasks=3, cpu=3000, memory=100, is_lasting=True),)


# Guards against an outage in which all long-running tasks end because one entry, which
# does not schedule, is not there to permit echoes.
@pytest.mark.parametrize("phase", [0.0, 0.4])
@pytest.mark.parametrize("lead", [-0.5, 1.0])
def test_tasks_survive_an_outage_in_which_another_entry_ends(clock, lead, phase):
    simulation = Simulation(clock, entries=3, nodes=6)
    simulation.advance(3.0)
    simulation.submit("job", LASTING)
    simulation.advance(5.0 + phase)
    starts = len(simulation.ledger.starts)
    other = next(e for e in simulation.entry_by_name if e != simulation.leader.name)
    if lead > 0.0:
        simulation.kill_entry(other)
        simulation.advance(lead)
        simulation.store.is_down = True
        simulation.advance(OUTAGE_SECONDS)
    else:
        simulation.store.is_down = True
        simulation.advance(-lead)
        simulation.kill_entry(other)
        simulation.advance(OUTAGE_SECONDS + lead)
    simulation.store.is_down = False
    simulation.advance(3.0)
    assert len(simulation.ledger.starts) == starts
    assert len(simulation.running) == LASTING[0].tasks


# Guards against an outage in which all long-running tasks end because the scheduling
# entry is killed at its begin, before others permit whole grants.
@pytest.mark.parametrize("phase", [0.0, 0.2, 0.4, 0.6])
def test_tasks_survive_an_outage_in_which_the_scheduling_entry_restarts(clock, phase):
    simulation = Simulation(clock, entries=3, nodes=4)
    simulation.advance(3.0)
    simulation.submit("job", LASTING)
    simulation.advance(5.0 + phase)
    starts = len(simulation.ledger.starts)
    leader = simulation.leader.name
    simulation.store.is_down = True
    simulation.advance(1.0)
    simulation.kill_entry(leader)
    simulation.advance(1.0)
    simulation.start_entry(leader)
    simulation.advance(OUTAGE_SECONDS - 2.0)
    simulation.store.is_down = False
    simulation.advance(8.0)
    assert len(simulation.ledger.starts) == starts
    assert len(simulation.running) == LASTING[0].tasks
