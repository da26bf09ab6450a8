"""Long-running tasks run again in time after any series of faults."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import Simulation
from tests.site.test_promises import inject_fault

LONG_RUNNING = (Step(tasks=2, cpu=3000, memory=100, is_lasting=True, goal_ms=40.0),)
JOBS = 4
NODES = 5
# Workers that may be lost for good; the others have more than twice the capacity that
# the tasks need.
MAX_LOST_WORKERS = 2
# Longest time after the last fault in which a long-running task may be without a run,
# in seconds: 3 s until machines count as undisturbed, 4 s of calm and the 3 s that are
# judged.
RESTART_SECONDS = 10.0


class FaultSeries:
    """Random faults that follow each other and overlap, some of them permanent.

    :param simulation: ``Simulation``.
    """

    def __init__(self, simulation):
        self.simulation = simulation
        self.random = simulation.random
        self.lost_nodes = set()

    def inject(self):
        """Inject one fault."""
        match self.random.randrange(8):
            case 0:
                self._lose_worker()
            case 1 if self.simulation.leader is not None:
                self.simulation.kill_entry(self.simulation.leader.name)
            case 2:
                for name in self.simulation.entry_names:
                    self.simulation.start_entry(name)
            case 3:
                for name in list(self.simulation.node_by_name):
                    self.simulation.start_node(name)
            case _:
                inject_fault(self.simulation, self.random)

    def _lose_worker(self):
        """Lose a worker for good; its node stays, restarts or is lost after it."""
        simulation = self.simulation
        nodes = sorted(simulation.runner_by_node.keys() - self.lost_nodes)
        if len(self.lost_nodes) >= MAX_LOST_WORKERS:
            return
        node = self.random.choice(nodes)
        self.lost_nodes.add(node)
        simulation.runner_by_node[node].restart()
        simulation.runner_by_node[node].is_gone = True
        match self.random.randrange(3):
            case 0:
                simulation.start_node(node)
            case 1:
                simulation.advance(self.random.choice([0.0, 0.3, 1.0, 3.0]))
                simulation.kill_node(node)

    def end(self):
        """End all faults but the permanent ones."""
        simulation = self.simulation
        simulation.heal()
        simulation.paused.clear()
        simulation.store.is_down = False
        simulation.store.faults = []
        simulation.store.run_late()
        for runner in simulation.runner_by_node.values():
            runner.is_cut = False
            runner.faults = []
            runner.run_late()
        for name in simulation.entry_names:
            if name not in simulation.entry_by_name:
                simulation.start_entry(name)
        for name in simulation.runner_by_node.keys() - self.lost_nodes:
            if name not in simulation.node_by_name:
                simulation.start_node(name)


# Guards against long-running tasks that do not run although there is room: whatever is
# believed of their former runs has to be given up, or be refuted, in time.
@pytest.mark.parametrize("seed", range(40))
def test_long_running_tasks_run_again_in_time_after_the_last_fault(clock, seed):
    simulation = Simulation(clock, entries=3, nodes=NODES, seed=seed)
    simulation.advance(1.0)
    for number in range(JOBS):
        simulation.submit(f"watch{number}", LONG_RUNNING)
    simulation.advance(1.0)
    series = FaultSeries(simulation)
    for _ in range(simulation.random.randint(3, 14)):
        series.inject()
        simulation.advance(simulation.random.choice([0.0, 0.1, 0.4, 1.0, 3.0]))
        assert simulation.ledger.problems == []
    series.end()
    simulation.advance(RESTART_SECONDS)
    assert len(simulation.running) == 2 * JOBS
    assert simulation.ledger.problems == []
