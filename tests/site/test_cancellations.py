"""Runs of cancelled jobs end in time, whatever happens to the scheduling entry."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import CANCEL_SECONDS, Simulation

# Time that a worker takes to stop a run.
STOP_SECONDS = 0.2
WATCH = (Step(tasks=3, cpu=100, memory=10, is_lasting=True),)


@pytest.fixture
def site(clock):
    """Return a site of three entries with a running long-running job."""
    simulation = Simulation(clock, entries=3)
    simulation.advance(1.0)
    simulation.submit("watch", WATCH).unwrap()
    simulation.advance(2.0)
    assert len(list_running(simulation)) == 3
    return simulation


def list_running(simulation):
    """Return the running tasks of the job."""
    return [task for task, _ in simulation.running if task.startswith("watch")]


def cancel_and_wait(simulation):
    """Cancel the job and run until all its runs have to be over."""
    simulation.cancel("watch").unwrap()
    simulation.advance(CANCEL_SECONDS + STOP_SECONDS)


def leave(simulation):
    """End the scheduling entry for good."""
    simulation.kill_entry(simulation.leader.name)


def abandon_term(simulation):
    """Let the scheduling entry end its term because of an unexpected error."""
    simulation.allows_errors = True
    simulation.leader.dispatcher._abandon_term(RuntimeError("provoked"))


def hang(simulation):
    """Let the thread that schedules stand still while the lease is renewed."""
    simulation.leader.dispatcher.step = lambda wait: None


def lose_feed(simulation):
    """Let the scheduling entry get no answers from the feed of jobs."""
    simulation.without_feeds.add(simulation.leader.name)


# Guards against runs of a cancelled job that go on because the scheduling entry is gone,
# stands still or does not know of the cancel.
@pytest.mark.parametrize("since_renewal", [0.0, 0.2, 0.4, 0.6])
@pytest.mark.parametrize("trouble", [leave, abandon_term, hang, lose_feed])
def test_cancelled_job_is_stopped_in_time(site, trouble, since_renewal):
    site.advance(since_renewal)
    trouble(site)
    cancel_and_wait(site)
    assert list_running(site) == []
