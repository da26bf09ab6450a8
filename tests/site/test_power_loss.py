"""Workers and nodes that lose power about when the scheduling entry ends."""

import pytest

from bergamotshore.core.work.model import Step
from bergamotshore.generated.messages import Heartbeat
from tests.fakes import FakeStream
from tests.site import simulation
from tests.site.calmjudge import CalmJudge
from tests.site.simulation import LONGEST_HOLD_SECONDS, STEP_SECONDS, Simulation

LASTING = (Step(tasks=3, cpu=3000, memory=100, is_lasting=True),)
# Longer than any task may be down, in seconds.
JUDGED_SECONDS = 16.0


class PowerLoss:
    """Loss of the scheduling entry and of a worker with its node, judged at each step.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self.simulation = Simulation(clock, entries=3, nodes=6)
        self.judge = CalmJudge(self.simulation)
        self.run(3.0)
        self.simulation.submit("job", LASTING)
        self.run(5.0)

    def run(self, seconds):
        """Run for a time; no task may be down for too long."""
        until = self.simulation.clock.now() + seconds
        while self.simulation.clock.now() < until:
            self.simulation.advance(STEP_SECONDS)
            self.judge.check()

    def lose_entry(self):
        """End the scheduling entry for good; return its name."""
        name = self.simulation.leader.name
        self.simulation.kill_entry(name)
        return name

    def lose_worker(self):
        """Cut the power of a worker with tasks and of its node."""
        site = self.simulation
        node = next(
            name for name, item in site.runner_by_node.items() if item.run_by_task
        )
        site.lose_worker(node)
        site.kill_node(node)

    def assert_in_time(self):
        """Judge until every task has to run again."""
        self.run(JUDGED_SECONDS)
        assert self.simulation.ledger.problems == []
        assert self.judge.judged > 0
        assert len(self.simulation.running) == LASTING[0].tasks


@pytest.fixture(params=[LONGEST_HOLD_SECONDS, 10.0])
def loss(clock, request, monkeypatch):
    """Return the losses at a site whose workers accept leases of a duration."""
    monkeypatch.setattr(simulation, "LONGEST_HOLD_SECONDS", request.param)
    return PowerLoss(clock)


# Guards against a successor that waits for the grace period of a predecessor, which
# only an outage of the store would have let it use.
@pytest.mark.parametrize("phase", [0.0, 0.4])
@pytest.mark.parametrize("delay", [-1.0, -0.5, 0.0, 0.5, 1.0, 1.5])
def test_tasks_lost_with_the_scheduling_entry_run_again_in_time(loss, delay, phase):
    loss.run(phase)
    first, second = loss.lose_entry, loss.lose_worker
    if delay < 0.0:
        first, second = second, first
    first()
    loss.run(abs(delay))
    second()
    loss.assert_in_time()


# Guards against a wait that is counted from the takeover after an outage of the store,
# although other entries knew until when the former one was there.
@pytest.mark.parametrize("delay", [0.1, 0.5, 1.0])
@pytest.mark.parametrize("rest", [0.5, 2.0])
def test_tasks_lost_with_the_scheduling_entry_in_an_outage_run_again_in_time(
    loss, delay, rest
):
    store = loss.simulation.store
    store.is_down = True
    loss.run(1.5)
    loss.lose_entry()
    loss.run(delay)
    loss.lose_worker()
    loss.run(rest)
    store.is_down = False
    loss.assert_in_time()


# Guards against waits of several terms that are added up.
@pytest.mark.parametrize("delay", [0.0, 0.8])
def test_tasks_lost_with_two_scheduling_entries_run_again_in_time(loss, delay):
    site = loss.simulation
    lost = loss.lose_entry()
    loss.run(1.0)
    site.start_entry(lost)
    while site.leader is None:
        loss.run(STEP_SECONDS)
    loss.run(delay)
    loss.lose_worker()
    lost = loss.lose_entry()
    loss.run(0.5)
    site.start_entry(lost)
    loss.assert_in_time()


# Guards against an entry that waits for the echoes of one that has restarted until the
# next heartbeat but one, also if the other one has opened the stream.
def test_first_heartbeat_of_another_entry_is_answered_at_once(loss):
    entry = loss.simulation.leader
    stream = FakeStream("entry-9", role="entry")
    stream.peer_clock = 5.0
    entry.on_message(stream, Heartbeat(sent_at=5.0))
    assert [message.echo for message in stream.sent] == [5.0]
    entry.on_message(stream, Heartbeat(sent_at=5.5, echo=1.0))
    assert len(stream.sent) == 1
