"""The number of waiting jobs per queue, as published to all entries."""

import pytest
from returns.result import Failure

from bergamotshore.core.work.model import Step
from bergamotshore.entry.jobrows import COUNTS_ROW
from bergamotshore.exceptions import PlatformUncertain

# Largest accepted age of the published number, in seconds.
MAX_COUNT_AGE_SECONDS = 2.0
LARGE = (Step(tasks=1, cpu=99000, memory=100),)


class CountWritesLostStore:
    """Store wrapper that loses the answers of the next writes of the counts row.

    :param lost: Number of these writes.
    :param is_done: Whether the store executes them all the same.
    """

    def __init__(self, store, lost, is_done):
        self._store = store
        self.lost = lost
        self.is_done = is_done

    def __getattr__(self, name):
        return getattr(self._store, name)

    def transact(self, expects, puts, deletes, timeout=None):
        if self.lost and any(put.id == COUNTS_ROW for put in puts):
            self.lost -= 1
            if self.is_done:
                self._store.transact(expects, puts, deletes)
            return Failure(PlatformUncertain("timed out"))
        return self._store.transact(expects, puts, deletes)


def get_published_count(simulation):
    return simulation.rows.get_waiting_counts(0.0).unwrap().get("queue", 0)


@pytest.mark.parametrize("is_done", [False, True])
def test_a_lost_write_of_the_count_is_retried(simulation, is_done):
    simulation.advance(1.0)
    dispatcher = simulation.leader.dispatcher
    dispatcher._counts_row._store = CountWritesLostStore(dispatcher.store, 2, is_done)
    for number in range(5):
        simulation.submit(f"job{number}", LARGE)
    simulation.advance(MAX_COUNT_AGE_SECONDS)
    assert get_published_count(simulation) == 5


def test_a_late_write_does_not_restore_an_old_count(simulation):
    simulation.advance(1.0)
    simulation.submit("job1", LARGE)
    dispatcher = simulation.leader.dispatcher
    simulation.store.faults = ["late"]
    dispatcher._publish_counts(simulation.clock.now() + 1.0)
    dispatcher._counts_row.step()
    for number in range(2, 6):
        simulation.submit(f"job{number}", LARGE)
    simulation.advance(MAX_COUNT_AGE_SECONDS)
    simulation.store.run_late()
    assert get_published_count(simulation) == 5


def test_a_successor_publishes_its_own_count(simulation):
    simulation.submit("job1", LARGE)
    simulation.advance(MAX_COUNT_AGE_SECONDS)
    simulation.kill_entry(simulation.leader.name)
    simulation.submit("job2", LARGE)
    simulation.advance(10.0)
    assert get_published_count(simulation) == 2


def test_an_unchanged_count_is_not_written_again(simulation):
    simulation.submit("job1", LARGE)
    simulation.advance(MAX_COUNT_AGE_SECONDS)
    version = simulation.store.row_by_id[COUNTS_ROW].version
    simulation.advance(5.0)
    assert simulation.store.row_by_id[COUNTS_ROW].version == version
