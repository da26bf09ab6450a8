"""The feed of jobs belongs to one term of one scheduling entry."""

import pytest

from bergamotshore.entry.dispatchevents import RowsChanged
from bergamotshore.entry.jobrows import JOBS
from tests.site.simulation import Simulation

TAKEOVER_SECONDS = 4.5


@pytest.fixture
def returning_leader(clock):
    """Return simulation and an entry that led, was replaced and may lead again.

    A job was accepted in its first term, and completed in the term of the other entry.
    """
    simulation = Simulation(clock, entries=2)
    simulation.advance(1.0)
    leader = simulation.leader
    simulation.submit("job")
    simulation.advance(0.5)
    simulation.without_store.add(leader.name)
    simulation.advance(TAKEOVER_SECONDS)
    simulation.finish_all()
    simulation.advance(1.0)
    assert simulation.get_state("job") == "done"
    simulation.without_store.clear()
    simulation.advance(1.0)
    return simulation, leader


def lead_again(simulation, leader):
    """Let an entry take the lease again."""
    other = next(e for e in simulation.entry_by_name.values() if e is not leader)
    simulation.kill_entry(other.name)
    simulation.advance(TAKEOVER_SECONDS)
    assert simulation.leader is leader


def assert_nothing_is_repeated(simulation):
    simulation.advance(1.0)
    assert simulation.ledger.problems == []
    assert len(simulation.ledger.starts) == 2


# Guards against running a job again whose rows of a former term are followed once more.
def test_a_feed_that_looks_during_a_takeover_does_not_replay_a_former_term(
    returning_leader,
):
    simulation, leader = returning_leader
    restore = leader.dispatcher._restore

    def restore_while_the_feed_looks(open_jobs):
        epoch, version = leader.dispatcher.epoch, leader.dispatcher.feed_version
        if epoch:
            leader.feed = (epoch, leader._follow_jobs(version, epoch))
        restore(open_jobs)

    leader.dispatcher._restore = restore_while_the_feed_looks
    lead_again(simulation, leader)
    assert_nothing_is_repeated(simulation)


# Guards against the same by a reading that was begun in a former term.
def test_rows_that_were_read_in_a_former_term_are_not_applied(returning_leader):
    simulation, leader = returning_leader
    rows = [row for row in simulation.store.changes if row.id.table == JOBS]
    lead_again(simulation, leader)
    leader.dispatcher.post(RowsChanged(rows, simulation.clock.now(), 1))
    assert_nothing_is_repeated(simulation)
