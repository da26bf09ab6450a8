"""Rounds of restarts of entries while workers and their nodes leave for good."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.rounds import Rounds
from tests.site.simulation import Simulation

NODES = 9
ROUNDS = 3
ROUND_SECONDS = 24.0
LEAVING_PER_ROUND = 2
LASTING = (Step(tasks=3, cpu=3000, memory=100, is_lasting=True),)


class LeavingRounds(Rounds):
    """Faults of several rounds at random times, with a calm end to each round.

    :param clock: ``Clock``.
    :param seed: Seed of the faults.
    """

    def __init__(self, clock, seed):
        super().__init__(Simulation(clock, entries=3, nodes=NODES, seed=seed), seed)

    def plan_round(self, at):
        """Plan the faults of a round that begins at a time, in seconds."""
        site, draw = self.simulation, self.random.uniform
        begins, ends = at + draw(0.0, 3.0), at + draw(4.0, 9.0)
        if self.random.random() < 0.5:
            self.plan(begins, setattr, site.store, "is_down", True)
            self.plan(ends, setattr, site.store, "is_down", False)
        else:
            name = self.random.choice(site.entry_names)
            self.plan(begins, site.without_store.add, name)
            self.plan(ends, site.without_store.discard, name)
        first_at = at + draw(0.0, 4.0)
        for index, name in enumerate(self.random.sample(site.entry_names, 2)):
            self.plan(first_at + 3.0 * index, site.kill_entry, name)
            self.plan(first_at + 3.0 * index + draw(0.3, 3.5), site.start_entry, name)
        for _ in range(LEAVING_PER_ROUND):
            self.plan(at + draw(3.0, 8.0), self.begin_to_leave)

    def begin_to_leave(self):
        """Let a worker and its node go, if possible one that runs tasks.

        They leave one after another, or lose power together.
        """
        site = self.simulation
        nodes = [
            node
            for node in site.node_by_name
            if not site.runner_by_node[node].is_draining
        ]
        nodes.sort(key=lambda node: not site.runner_by_node[node].run_by_task)
        node = nodes[0]
        site.runner_by_node[node].is_draining = True
        leaves_at = site.clock.now() - self.start + self.random.uniform(0.0, 3.5)
        if self.random.random() < 0.3:
            self.plan(leaves_at, site.lose_worker, node)
            self.plan(leaves_at, site.kill_node, node)
            return
        if self.random.random() < 0.5:
            self.plan(leaves_at - 0.2, site.delay_calls, node, 1.9)
        is_lost = self.random.random() < 0.2
        take_away = site.lose_worker if is_lost else site.take_worker_away
        self.plan(leaves_at, take_away, node)
        self.plan(leaves_at + 1.0, site.stop_node, node)


# Guards against waits that begin anew with each entry that schedules: each task of a
# long-running job has to run again in time, whenever workers, nodes and entries left.
# In the later seeds, workers lose power with their nodes about when the scheduling
# entry ends.
@pytest.mark.parametrize("seed", [*range(12), 105, 133, 145, 156, 171, 3498])
def test_long_running_tasks_run_again_in_time_after_each_round(clock, seed):
    rounds = LeavingRounds(clock, seed)
    rounds.run(3.0)
    for job in ("first", "second"):
        rounds.simulation.submit(job, LASTING)
    for number in range(ROUNDS):
        rounds.plan_round(5.0 + ROUND_SECONDS * number)
    rounds.run(5.0 + ROUND_SECONDS * ROUNDS)
    assert rounds.simulation.ledger.problems == []
    assert rounds.judge.judged > 0
