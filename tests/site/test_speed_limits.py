"""Tests of speed limits on their way from the scheduling entry to the worker."""

import pytest
from returns.result import Success

from bergamotshore.core.work.model import Step
from bergamotshore.generated.messages import RunOrders
from bergamotshore.node.speedlimits import SpeedLimits
from bergamotshore.utils.eventlog import EventLog

CRITICAL = (
    Step(tasks=1, cpu=9000, memory=100, image="web", goal_ms=20.0, is_lasting=True),
)
FILLING = (Step(tasks=1, cpu=4000, memory=100, image="crunch", is_filling=True),)
RUN = ("batch.0.0.0", 1)


class RecordingRunner:
    """Worker that records throttle calls and returns the given outcomes in turn."""

    def __init__(self, on_call=lambda: None):
        self.calls = []
        self.on_call = on_call

    def throttle(self, task, number, percent, fence):
        self.calls.append((task, number, percent))
        self.on_call()
        return Success(None)


@pytest.fixture
def build_limits(clock, registry):
    def build(runner):
        log = EventLog(clock, emit=lambda line: None)
        return SpeedLimits(runner, lambda: 1, lambda fence: None, registry, log)

    return build


@pytest.fixture
def node(simulation):
    """Return the node of a worker that runs a limited best-effort task.

    The latency-critical task beside it leaves no room for further load.
    """
    for runner in simulation.runner_by_node.values():
        runner.usage = 19.0
    for index in range(3):
        simulation.submit(f"critical{index}", CRITICAL)
    simulation.advance(3.0)
    simulation.submit("batch", FILLING)
    simulation.advance(3.0)
    return next(
        simulation.node_by_name[name]
        for name, runner in simulation.runner_by_node.items()
        if RUN[0] in runner.run_by_task
    )


def order_limit(node, percent):
    """Let a node execute an order with a new limit for the run."""
    orders = RunOrders(
        epoch=1,
        echo=node.clock.now(),
        born=node.runner.born,
        starts=[],
        reserved=(0, 0, 0),
        payload_by_job={},
        stops=[],
        paces=[(*RUN, percent)],
        acknowledged=0,
    )
    calls, _ = node.run_manager.accept_orders(orders)
    for call, *arguments in calls:
        call(*arguments)


# Guards against the disturbance that a run causes at full speed until the next report
# of its worker.
def test_a_run_beside_a_task_near_its_goal_is_limited_from_its_start(node):
    assert node.runner.percent_by_run[RUN] == 0
    assert node.runner.throttled_at_by_run[RUN] == node.runner.started_at_by_run[RUN]


# Guards against a limit that is lost with its call: nobody would send it again until it
# changes.
@pytest.mark.parametrize("fault", ["silent", "late"])
def test_a_limit_that_was_not_accepted_is_sent_again(simulation, node, fault):
    node.runner.throttle_faults = [fault, fault]
    order_limit(node, 40)
    simulation.advance(1.0)
    assert node.runner.percent_by_run[RUN] == 40


# Guards against a limit that is carried out late and replaces a newer one.
def test_a_limit_carried_out_late_does_not_replace_a_newer_one(simulation, node):
    node.runner.throttle_faults = ["late"]
    order_limit(node, 90)
    order_limit(node, 10)
    simulation.advance(0.5)
    node.runner.run_late()
    assert node.runner.percent_by_run[RUN] == 10


def test_a_limit_recorded_during_a_call_is_sent_after_it(build_limits):
    runner = RecordingRunner()
    limits = build_limits(runner)
    limits.record(RUN, 80)

    def record_newer_limit():
        runner.on_call = lambda: None
        limits.record(RUN, 20)
        limits.send(RUN)

    runner.on_call = record_newer_limit
    limits.send(RUN)
    assert runner.calls == [(*RUN, 80), (*RUN, 20)]
    assert limits.list_unaccepted() == []


def test_limits_of_runs_that_are_over_are_dropped(build_limits):
    limits = build_limits(RecordingRunner())
    limits.record(RUN, 80)
    limits.drop_obsolete({RUN})
    assert limits.list_unaccepted() == [RUN]
    limits.drop_obsolete(set())
    assert limits.list_unaccepted() == []


def allow_full_speed(simulation):
    """Let the figures of latency-critical tasks show plenty of room."""
    for runner in simulation.runner_by_node.values():
        runner.usage = 6.0


# Guards against a paused run that stays paused after a takeover: the successor would
# take its speed for full, call it stuck and quarantine its worker.
def test_a_successor_sends_the_limits_of_runs_that_it_took_over(simulation, node):
    assert node.runner.percent_by_run[RUN] == 0
    allow_full_speed(simulation)
    simulation.start_entry(simulation.leader.name)
    simulation.advance(8.0)
    assert node.runner.percent_by_run[RUN] == 100
    assert RUN[0] in node.runner.run_by_task


# Guards against a limit that is lost with the stream on which it was sent.
def test_limits_are_sent_again_on_a_new_stream(simulation, node):
    node.runner.percent_by_run[RUN] = 77
    for entry in simulation.entry_by_name:
        simulation.disconnect(entry, node.name)
    for stream in node.streams:
        stream.close("lost")
        stream.other.close("lost")
    simulation.heal()
    simulation.advance(1.0)
    assert node.runner.percent_by_run[RUN] == 0
