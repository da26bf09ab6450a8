"""Runs of cancelled jobs end in time, whatever else happens."""

import pytest
from returns.result import Success

from bergamotshore.core.work.model import Step
from standins.ledger import CANCEL_SECONDS, CONTACT_SECONDS, STOP_SECONDS
from tests.site.simulation import LONGEST_HOLD_SECONDS, Simulation

ENTRIES, NODES = 3, 4
ROUNDS = 12
FAULTS_PER_ROUND = 4
# The time after which the ledger judges, and some time for cancellations in it.
CALM_SECONDS = CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + 2.0
ORDER_FAULTS = ("lost", "late", "silent")
STEPS = (
    Step(tasks=2, cpu=2000, memory=100, is_lasting=True),
    Step(tasks=4, cpu=500, memory=100),
    Step(tasks=3, cpu=1000, memory=100, is_lasting=True, per_worker=1),
    Step(tasks=3, cpu=1000, memory=100, is_speculative=True),
    Step(tasks=2, cpu=1000, memory=100, is_gang=True),
)


class Cancellations:
    """Submit jobs and cancel them soon after, beside faults that follow a seed.

    :param simulation: ``Simulation``.
    """

    def __init__(self, simulation):
        self.simulation = simulation
        self.random = simulation.random
        self.due_at_by_job = {}
        self.submitted = 0

    def advance(self, seconds):
        """Let time pass; jobs are submitted, and cancelled when due."""
        until = self.simulation.clock.now() + seconds
        while self.simulation.clock.now() < until:
            self.submit()
            self.cancel_due()
            self.simulation.advance(0.1)
        assert self.simulation.ledger.problems == []

    def submit(self):
        """Submit a job at times, and choose when to cancel it."""
        rng = self.random
        if self.simulation.store.is_down or rng.random() > 0.15:
            return
        self.submitted += 1
        job_id = f"job{self.submitted}"
        steps = (rng.choice(STEPS),)
        if isinstance(self.simulation.submit(job_id, steps), Success):
            is_prompt = rng.random() < 0.7
            wait = rng.uniform(0.0, 1.5) if is_prompt else rng.uniform(1.5, 12.0)
            self.due_at_by_job[job_id] = self.simulation.clock.now() + wait

    def cancel_due(self):
        """Cancel the jobs that are due; one without an answer is tried again."""
        now = self.simulation.clock.now()
        for job_id, due_at in list(self.due_at_by_job.items()):
            is_due = now >= due_at and not self.simulation.store.is_down
            if is_due and isinstance(self.simulation.cancel(job_id), Success):
                del self.due_at_by_job[job_id]

    def cancel_unheard(self):
        """Cancel a job before any entry can read the change from the history."""
        jobs = sorted(self.due_at_by_job)
        if jobs:
            job_id = self.random.choice(jobs)
            self.due_at_by_job[job_id] = 0.0
            self.cancel_due()

    def inject_fault(self):
        """Inject one fault, or take one back."""
        simulation, rng = self.simulation, self.random
        entry = rng.choice(simulation.entry_names)
        node = rng.choice(list(simulation.runner_by_node))
        runner = simulation.runner_by_node[node]
        match rng.randrange(17):
            case 0 | 1 if simulation.leader is not None:
                simulation.kill_entry(simulation.leader.name)
            case 2 if len(simulation.entry_by_name) > 1:
                simulation.stop_entry(entry)
            case 3:
                simulation.start_entry(entry)
            case 4 if len(simulation.node_by_name) > 1:
                simulation.stop_node(node)
            case 5:
                simulation.start_node(node)
            case 6 if len(simulation.node_by_name) > 1:
                simulation.kill_node(node)
            case 7:
                runner.faults = [rng.choice(ORDER_FAULTS) for _ in range(2)]
            case 8:
                runner.stop_faults = [rng.choice(ORDER_FAULTS) for _ in range(2)]
            case 9:
                runner.run_late()
            case 10:
                self.cancel_unheard()
                simulation.store.compact()
            case 11:
                simulation.store.faults = [
                    rng.choice(["lost", "late", "down"]) for _ in range(3)
                ]
            case 12:
                simulation.without_feeds.symmetric_difference_update({entry})
            case 13:
                simulation.paused.symmetric_difference_update({entry})
            case 14:
                simulation.disconnect(entry, node)
            case 15:
                runner.restart()
            case 16:
                runner.is_draining = not runner.is_draining

    def end_faults(self):
        """End all faults; processes that were removed stay away."""
        simulation = self.simulation
        simulation.heal()
        simulation.paused.clear()
        simulation.without_feeds.clear()
        simulation.store.faults = []
        simulation.store.run_late()
        for runner in simulation.runner_by_node.values():
            runner.faults, runner.stop_faults = [], []
            runner.run_late()
        if not simulation.entry_by_name:
            simulation.start_entry(simulation.entry_names[0])

    def finish_some(self):
        """End some of the runs that are not long-running."""
        for runner in self.simulation.runner_by_node.values():
            for task in list(runner.run_by_task):
                step = self.simulation.ledger.get_step(task)
                if not step.is_lasting and self.random.random() < 0.3:
                    runner.finish(task, self.random.choice(["done", "failed"]))


# Guards against runs that go on after their job was cancelled: promptly or late, before
# and after takeovers, beside nodes that are stopped or removed and orders that are lost
# or executed late.
@pytest.mark.parametrize("seed", range(12))
def test_runs_of_cancelled_jobs_end_in_time_after_any_faults(clock, seed):
    simulation = Simulation(clock, entries=ENTRIES, nodes=NODES, seed=seed)
    simulation.advance(1.0)
    cancellations = Cancellations(simulation)
    for _ in range(ROUNDS):
        for _ in range(simulation.random.randint(1, FAULTS_PER_ROUND)):
            cancellations.inject_fault()
            cancellations.advance(simulation.random.choice([0.1, 0.4, 1.0, 2.0]))
        cancellations.end_faults()
        cancellations.advance(CALM_SECONDS)
        cancellations.finish_some()
        for node in simulation.runner_by_node:
            if node not in simulation.node_by_name and simulation.random.random() < 0.7:
                simulation.start_node(node)
    assert simulation.ledger.cancelled_at_by_job
    cancellations.advance(LONGEST_HOLD_SECONDS)
