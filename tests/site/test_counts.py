"""The number of waiting jobs per queue, as published to all entries."""

import pytest
from returns.result import Failure

from bergamotshore.core.work.model import Step
from bergamotshore.entry.jobrows import COUNTS_ROW
from bergamotshore.entry.latestrow import LatestRow
from bergamotshore.exceptions import PlatformUncertain, WorkerFailure
from bergamotshore.ports.runner import RunRejected
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn
from tests.site.simulation import InlineExecutor

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


def reject_starts(simulation, reason):
    """Let all workers reject each start, and answer all other calls."""
    for runner in simulation.runner_by_node.values():
        runner.start = lambda *arguments: Failure(RunRejected(reason))


# Guards against jobs that vanish from the count once their tasks were claimed, although
# none of them was started.
@pytest.mark.parametrize("reason", ["busy", "room", "ticket"])
def test_job_whose_starts_are_rejected_counts_as_waiting(simulation, reason):
    reject_starts(simulation, reason)
    simulation.submit("job1")
    simulation.advance(MAX_COUNT_AGE_SECONDS)
    assert get_published_count(simulation) == 1


# Guards against the same while a worker that hangs doesn't answer the order.
def test_job_whose_start_is_not_answered_counts_as_waiting(simulation):
    for runner in simulation.runner_by_node.values():
        runner.start = lambda *arguments: Failure(
            WorkerFailure("timed out", is_certain=False)
        )
    simulation.submit("job1")
    simulation.advance(MAX_COUNT_AGE_SECONDS)
    assert get_published_count(simulation) == 1


@pytest.mark.parametrize("outcome", ["", "done", "failed"])
def test_job_that_has_started_does_not_count_after_a_takeover(simulation, outcome):
    simulation.submit("job1", (Step(tasks=2, cpu=100), Step(tasks=1, after=(0,))))
    simulation.advance(1.0)
    assert get_published_count(simulation) == 0
    if outcome:
        simulation.finish_all(outcome)
        simulation.advance(0.5)
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(6.0)
    assert get_published_count(simulation) == 0


# Guards against a number that stays wrong for good, as the store executed a lost write
# in place of the one that was written before and is right again.
def test_lost_write_that_is_executed_late_is_replaced(clock):
    store = RowsStandIn()
    log = EventLog(clock, emit=lambda line: None)
    row = LatestRow(store, COUNTS_ROW, InlineExecutor(), clock, log)
    row.put(b"old")
    row.step()
    store.faults = ["late"]
    row.put(b"new")
    row.step()
    row.put(b"old")
    store.run_late()
    for _ in range(4):
        clock.advance(0.5)
        row.put(b"old")
        row.step()
    assert store.row_by_id[COUNTS_ROW].value == b"old"
