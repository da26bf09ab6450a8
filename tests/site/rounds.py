"""Faults at planned times in a simulation, judged at each step."""

import random

from tests.site.calmjudge import CalmJudge
from tests.site.simulation import STEP_SECONDS


class Rounds:
    """Planned faults, and the judge of long-running tasks beside them.

    :param simulation: ``Simulation``.
    :param seed: Seed of the faults.
    """

    def __init__(self, simulation, seed):
        self.random = random.Random(seed)
        self.simulation = simulation
        self.judge = CalmJudge(simulation)
        self.actions = []
        self.start = simulation.clock.now()

    def plan(self, at, action, *arguments):
        """Plan an action at a time since the start, in seconds."""
        self.actions.append((self.start + at, len(self.actions), action, arguments))

    def run(self, seconds):
        """Run until a time since the start and carry out the planned faults."""
        until = self.start + seconds
        while self.simulation.clock.now() < until:
            due = sorted(
                item for item in self.actions if item[0] <= self.simulation.clock.now()
            )
            for item in due:
                self.actions.remove(item)
                item[2](*item[3])
            self.simulation.advance(STEP_SECONDS)
            self.judge.check()
