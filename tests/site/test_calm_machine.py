"""Stateful property test of guarantees with a time limit, on a site without faults.

Jobs, cancellations, changes of the configuration, closed data centres, capacities that
change, workers that leave and maintenance are no faults: what the users are promised
within some time has to hold all the while.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.site import Wave
from tests.fakes import FakeClock
from tests.site.simulation import Simulation, build_configuration
from tests.site.timeliness import TimelinessJudge

NODES = 4
CPU = 16000
NODE = st.sampled_from([f"node-{index}" for index in range(NODES)])
# Time between two rules, in seconds.
SECONDS = st.sampled_from([0.1, 0.4, 1.0, 4.0])
TASK = Step(tasks=2, cpu=3000, memory=100, estimate=1.0)
LONG_RUNNING = Step(tasks=2, cpu=2000, memory=100, is_lasting=True)
STEPS_BY_KIND = {
    "plain": (TASK,),
    "chain": (TASK, Step(tasks=1, cpu=2000, memory=100, after=(0,))),
    "gang": (Step(tasks=3, cpu=4000, memory=100, is_gang=True, is_tight=True),),
    "lasting": (LONG_RUNNING,),
    "bound": (Step(tasks=3, cpu=2000, memory=100, is_lasting=True, may_miss=1),),
    "saving": (Step(tasks=2, cpu=3000, memory=100, has_checkpoints=True),),
    "labelled": (Step(tasks=2, cpu=1000, memory=100, label="a"),),
    "wide": (Step(tasks=1, cpu=14000, memory=100),),
}
QUEUES = ["queue", "batch"]
# A worker may leave this long after its drain was acknowledged, in seconds.
LEAVE_SECONDS = 2.0
ABSENCE_SECONDS = 2.0


class CalmSimulation(Simulation):
    """Simulation that is checked after each step."""

    judge = None

    def step(self):
        super().step()
        if self.judge is not None:
            self.judge.check()


class CalmMachine(RuleBasedStateMachine):
    """Submissions, planned changes and maintenance in any order."""

    def __init__(self):
        super().__init__()
        self.simulation = CalmSimulation(
            FakeClock(), entries=2, nodes=NODES, has_operator=True
        )
        for index, runner in enumerate(self.simulation.runner_by_node.values()):
            runner.rack = f"r{index % 2}"
        self.queue_by_job = {}
        self.drained_at_by_node = {}
        self.has_wave = False
        self.version = self.simulation.configuration.version

    @initialize()
    def begin(self):
        """Wait until the processes are connected."""
        self.simulation.advance(5.0)
        self.judge = self.simulation.judge = TimelinessJudge(self.simulation)

    @rule(
        kind=st.sampled_from(sorted(STEPS_BY_KIND)),
        queue=st.sampled_from(QUEUES),
        then=SECONDS,
    )
    def submit(self, kind, queue, then):
        job_id = f"{kind}{len(self.queue_by_job)}"
        self.simulation.submit(job_id, STEPS_BY_KIND[kind], queue).unwrap()
        self.queue_by_job[job_id] = queue
        self.judge.submitted_at_by_job[job_id] = self.simulation.clock.now()
        self.simulation.advance(then)

    @precondition(lambda self: self.queue_by_job)
    @rule(data=st.data(), then=SECONDS)
    def cancel(self, data, then):
        job_id = data.draw(st.sampled_from(sorted(self.queue_by_job)))
        self.simulation.cancel(job_id, self.queue_by_job[job_id]).unwrap()
        self.simulation.advance(then)

    @rule(node=NODE, outcome=st.sampled_from(["done", "done", "failed"]), then=SECONDS)
    def end_runs(self, node, outcome, then):
        runner = self.simulation.runner_by_node[node]
        for task in list(runner.run_by_task):
            step = self.simulation.ledger.get_step(task)
            is_endless = step.is_lasting and outcome == "done"
            if not (is_endless or step.is_gang):
                runner.finish(task, outcome)
        self.simulation.advance(then)

    @rule(outcome=st.sampled_from(["done", "done", "failed"]), then=SECONDS)
    def end_gangs(self, outcome, then):
        self._end_gangs(outcome)
        self.simulation.advance(then)

    def _end_gangs(self, outcome):
        for runner in self.simulation.runner_by_node.values():
            for task in list(runner.run_by_task):
                if self.simulation.ledger.get_step(task).is_gang:
                    runner.finish(task, outcome)

    @rule(node=NODE, cpu=st.sampled_from([4000, 8000, CPU, CPU]), then=SECONDS)
    def resize_worker(self, node, cpu, then):
        self.simulation.runner_by_node[node].resize(cpu=cpu)
        self.simulation.advance(then)

    @rule(zone=st.sampled_from(["zone-0", "zone-1"]), then=SECONDS)
    def close_or_open_zone(self, zone, then):
        self.simulation.operator.close_or_open_zone(zone)
        self.simulation.advance(then)

    @rule(then=SECONDS)
    def change_configuration(self, then):
        self.version += 3
        self.simulation.operator.declare(build_configuration(self.version))
        self.simulation.advance(then)

    @rule(node=NODE, then=SECONDS)
    def drain_worker(self, node, then):
        runner = self.simulation.runner_by_node[node]
        if not (runner.is_gone or runner.is_draining):
            runner.is_draining = True
            self.drained_at_by_node[node] = self.simulation.clock.now()
        self.simulation.advance(then)

    @rule(then=SECONDS)
    def replace_drained_workers(self, then):
        """End the drained workers, and start others in their place."""
        leaving = [
            self.simulation.runner_by_node[node]
            for node, at in self.drained_at_by_node.items()
            if self.simulation.clock.now() - at >= LEAVE_SECONDS
        ]
        self.drained_at_by_node.clear()
        for runner in leaving:
            self._end_gangs("broken")
            runner.is_gone = True
            runner.begin_incarnation()
        self.simulation.advance(ABSENCE_SECONDS)
        for runner in self.simulation.runner_by_node.values():
            runner.is_draining = False
        for runner in leaving:
            runner.is_gone = False
            runner.begin_incarnation()
        self.simulation.advance(then)

    @precondition(lambda self: not self.has_wave)
    @rule(at_once=st.integers(1, 2), then=SECONDS)
    def announce_wave(self, at_once, then):
        self.has_wave = True
        machines = self.simulation.machines
        wave = Wave(1, tuple(machines.vm_by_name), 40.0, at_once)
        machines.machines_by_wave[1] = set(wave.machines)
        machines.at_once = at_once
        self.simulation.operator.request_wave(wave)
        self.simulation.advance(then)

    @precondition(lambda self: self.queue_by_job)
    @rule(data=st.data())
    def look_up(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.queue_by_job)))
        state = self.simulation.get_state(job_id, self.queue_by_job[job_id])
        assert state is not None

    @rule(seconds=st.sampled_from([4.0, 10.0]))
    def wait(self, seconds):
        self.simulation.advance(seconds)

    @invariant()
    def guarantees_hold(self):
        assert self.simulation.ledger.problems == []


TestCalmMachine = CalmMachine.TestCase
TestCalmMachine.settings = settings(
    max_examples=15, stateful_step_count=40, derandomize=True, deadline=None
)
