"""A scheduling entry keeps its term only while the thread that schedules goes on."""

import pytest

from bergamotshore.core.work.leases import LEASE_SECONDS, RENEW_SECONDS
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.stall import MAX_STALL_SECONDS
from tests.site.simulation import Simulation

# Time until another entry schedules: two renewals until the stall shows, and one until
# the lease is taken, beside the stall itself.
MAX_TAKEOVER_SECONDS = MAX_STALL_SECONDS + 3 * RENEW_SECONDS + 0.2
LASTING = (Step(tasks=3, cpu=100, memory=10, is_lasting=True),)


@pytest.fixture
def site(clock):
    """Return a site of three entries with a running job."""
    simulation = Simulation(clock, entries=3)
    simulation.advance(1.0)
    simulation.submit("watch", LASTING).unwrap()
    simulation.advance(2.0)
    return simulation


def list_holders(site):
    """Return the entries that hold the lease."""
    return [item for item in site.entry_by_name.values() if item.election.lease.epoch]


def stand_still(entry):
    """Let the thread that schedules stand still; return how to let it go on."""
    step = entry.dispatcher.step
    entry.dispatcher.step = lambda wait: None
    return lambda: setattr(entry.dispatcher, "step", step)


# Guards against starts, evacuations, drains and counts that wait for a scheduling entry
# that stands still and renews its lease.
def test_term_of_a_scheduler_that_stands_still_is_taken_over(site):
    stalled = site.leader
    go_on = stand_still(stalled)
    site.submit("next").unwrap()
    site.advance(MAX_TAKEOVER_SECONDS)
    assert list_holders(site) and stalled not in list_holders(site)
    site.advance(3.0)
    site.finish_all()
    site.advance(2.0)
    assert site.get_state("next") == "done"
    go_on()
    site.advance(10.0)
    assert site.ledger.problems == []
    assert sum("scheduler-stalled" in line for line in site.lines) == 1


# Guards against an entry that takes the lease again and again and never schedules.
def test_entry_whose_scheduler_stands_still_does_not_take_the_lease(clock):
    simulation = Simulation(clock, entries=1)
    simulation.advance(1.0)
    entry = simulation.leader
    go_on = stand_still(entry)
    simulation.advance(3 * MAX_TAKEOVER_SECONDS)
    assert entry.election.lease.epoch == 0
    go_on()
    simulation.advance(2.0)
    assert entry.election.lease.epoch == 2


# Guards against a change of the term because a pass of a loaded entry takes long.
def test_scheduler_that_is_slow_keeps_its_term(site):
    slow = site.leader
    step = slow.dispatcher.step
    passes = iter(range(1_000_000))

    def step_rarely(wait):
        """Step about once in two thirds of the longest stall."""
        if next(passes) % int(20 * MAX_STALL_SECONDS) == 0:
            step(wait)

    slow.dispatcher.step = step_rarely
    epoch = slow.election.lease.epoch
    site.advance(30.0)
    assert site.leader is slow
    assert slow.election.lease.epoch == epoch
    assert site.ledger.problems == []


# Guards against a term given up because the whole process was paused: its thread goes
# on like the one that renews the lease.
@pytest.mark.parametrize("since_renewal", [0.0, 0.3, 0.6])
def test_entry_that_was_paused_keeps_its_term(site, since_renewal):
    site.advance(since_renewal)
    paused = site.leader
    epoch = paused.election.lease.epoch
    step, paused.step = paused.step, lambda: None
    site.advance(LEASE_SECONDS - 2 * RENEW_SECONDS)
    paused.step = step
    site.advance(5.0)
    assert site.leader is paused
    assert paused.election.lease.epoch == epoch
