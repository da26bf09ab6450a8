"""The number of waiting jobs that an entry tells while nobody publishes it, or late.

A job that waited for over 5 s was missing from the number, since entries passed on the
published one whatever its age.
"""

import threading
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.jobstate import encode_progress
from bergamotshore.core.work.model import JobSpec, Step, TaskRef
from bergamotshore.core.work.progress import JobProgress
from bergamotshore.core.work.taskgroups import encode_group
from bergamotshore.entry.countsmark import CountsMark, PublishedCounts, get_age
from bergamotshore.entry.jobrows import (
    JOBS,
    PARTS,
    RUNS,
    JobRows,
    get_group_id,
    get_row_id,
)
from bergamotshore.entry.storedcounts import count_stored_jobs
from bergamotshore.entry.waitingcounts import MAX_COUNT_AGE_SECONDS, WaitingCounts
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.ports.rows import Put
from bergamotshore.ports.runner import WorkerIncarnation
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn
from tests.site.simulation import SERVICE, Simulation

LARGE = (Step(tasks=1, cpu=99000, memory=100),)
# After this time a waiting job has to be among those that are told, in seconds.
VISIBLE_SECONDS = 5.0
POLL_SECONDS = 0.1
SMALL_TASKS, LARGE_TASKS = 4, 400
# Deadline that no call meets, in seconds.
FAR_SECONDS = 1e9


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock, entries=3)
    simulation.advance(3.0)
    return simulation


class CountingStore:
    """Store wrapper that lists the tables that are read.

    :param store: Store that executes the calls.
    """

    def __init__(self, store):
        self._store = store
        self.tables = []

    def read(self, table, *arguments, **options):
        self.tables.append(table)
        return self._store.read(table, *arguments, **options)


def build_counts(entry):
    """Return the ``WaitingCounts`` of an entry, and its store."""
    store = CountingStore(entry.store)
    rows = JobRows(store, entry.clock, entry.clock.now)
    counts = WaitingCounts(
        rows,
        entry.clock,
        entry.registry,
        entry.log,
        entry.election.get_observed_counts_mark,
    )
    return counts, store


def list_others(simulation, *names):
    """Return the entries but for those of some names."""
    return [e for name, e in simulation.entry_by_name.items() if name not in names]


def ask(counts):
    """Return the number of waiting jobs that an entry tells now."""
    return counts.get("queue", counts._clock.now() + 2.4).unwrap()


def check_waiting(simulation, counts, jobs, seconds):
    """Check that all jobs are counted for some time once they have waited for 5 s."""
    simulation.advance(VISIBLE_SECONDS)
    for _ in range(int(seconds / POLL_SECONDS)):
        assert ask(counts) == jobs
        simulation.advance(POLL_SECONDS)


def submit_waiting(simulation, jobs=4):
    for number in range(jobs):
        simulation.submit(f"job{number}", LARGE)


# Guards against a number that is as old as the last scheduling entry.
def test_jobs_are_counted_while_nobody_schedules(simulation):
    first = simulation.leader.name
    simulation.kill_entry(first)
    counts = []
    while simulation.leader is None:
        simulation.advance(POLL_SECONDS)
    successor = simulation.leader.name
    simulation.kill_entry(successor)
    (third,) = list_others(simulation, first, successor)
    third.election._can_schedule = lambda: False
    counts, _ = build_counts(third)
    submit_waiting(simulation)
    check_waiting(simulation, counts, 4, 6.0)


# The process keeps its place in the row of the lease, and renews it no more.
@pytest.mark.parametrize("how", ["paused", "without_store", "killed"])
def test_jobs_are_counted_while_the_scheduling_entry_is_away(simulation, how):
    leader = simulation.leader.name
    for entry in list_others(simulation, leader):
        entry.election._can_schedule = lambda: False
    counts, _ = build_counts(list_others(simulation, leader)[0])
    assert ask(counts) == 0
    if how == "killed":
        simulation.kill_entry(leader)
    else:
        getattr(simulation, how).add(leader)
    submit_waiting(simulation)
    check_waiting(simulation, counts, 4, 6.0)


# The new scheduling entry holds the lease before it has read the open jobs.
def test_number_of_the_term_before_is_not_believed(simulation):
    leader = simulation.leader
    others = list_others(simulation, leader.name)
    counts, _ = build_counts(others[0])
    # Nobody notices that it stands still.
    for entry in simulation.entry_by_name.values():
        entry.stall = SimpleNamespace(
            observe=lambda *_: None, is_stalled=False, seconds=0.0
        )
    leader.dispatcher._reset()
    leader.dispatcher.step = lambda wait: None
    submit_waiting(simulation)
    check_waiting(simulation, counts, 4, 3.0)


def test_published_number_is_told_while_it_is_renewed(simulation):
    submit_waiting(simulation)
    entries = list_others(simulation)
    asked = [build_counts(entry) for entry in entries]
    simulation.advance(2.0)
    for _ in range(50):
        assert [ask(counts) for counts, _ in asked] == [4] * len(entries)
        simulation.advance(POLL_SECONDS)
    assert all(JOBS not in store.tables for _, store in asked)


def test_late_write_of_the_former_scheduling_entry_is_not_believed(simulation):
    dispatcher = simulation.leader.dispatcher
    leader = simulation.leader.name
    for entry in list_others(simulation, leader):
        entry.election._can_schedule = lambda: False
    counts, _ = build_counts(list_others(simulation, leader)[0])
    simulation.store.faults = ["late"]
    dispatcher._counts_row.put(b"\x80", 1.0)
    dispatcher._counts_row._written_value = None
    dispatcher._counts_row.step()
    simulation.store.faults = ["late"]
    simulation.leader.election._renew()
    simulation.kill_entry(leader)
    submit_waiting(simulation)
    simulation.advance(VISIBLE_SECONDS)
    simulation.store.run_late()
    simulation.advance(POLL_SECONDS)
    assert ask(counts) == 4


def test_one_caller_at_a_time_counts(simulation):
    submit_waiting(simulation)
    leader = simulation.leader.name
    entry = list_others(simulation, leader)[0]
    for other in list_others(simulation, leader):
        other.election._can_schedule = lambda: False
    simulation.kill_entry(leader)
    simulation.advance(VISIBLE_SECONDS)
    counts, store = build_counts(entry)
    answers = []
    callers = [
        threading.Thread(target=lambda: answers.append(ask(counts))) for _ in range(20)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert answers == [4] * 20
    assert store.tables.count(JOBS) == store.tables.count(RUNS) == len(PARTS)


def test_caller_is_refused_if_the_jobs_can_not_be_counted_in_time(simulation):
    leader = simulation.leader.name
    entry = list_others(simulation, leader)[0]
    counts, store = build_counts(entry)
    original = store.read

    def read(table, *arguments, **options):
        if table == JOBS:
            return Failure(PlatformUnavailable("no answer"))
        return original(table, *arguments, **options)

    store.read = read
    counts._get_mark = counts._rows.read_counts_mark = lambda *_: Success(None)
    counts._get_mark = lambda: None
    counts._rows._pause = lambda seconds: simulation.clock.advance(seconds)
    outcome = counts.get("queue", simulation.clock.now() + 1.0)
    assert isinstance(outcome.failure(), PlatformUnavailable)


@pytest.mark.parametrize(
    ("published", "mark", "age"),
    [
        (PublishedCounts(5, {}, 12.0), CountsMark(5, 10.5), 1.5),
        # The row was written again since.
        (PublishedCounts(9, {}, 12.0), CountsMark(5, 10.5), 1.5),
        # The row is another one than the holder of the lease knows.
        (PublishedCounts(4, {}, 12.0), CountsMark(5, 10.5), None),
        (PublishedCounts(0, {}, 12.0), CountsMark(5, 10.5), None),
        (PublishedCounts(5, {}, 12.0), None, None),
        (PublishedCounts(5, {}, 12.0), CountsMark(0, 10.5), None),
        # The store tells no time.
        (PublishedCounts(5, {}, 0.0), CountsMark(5, 10.5), None),
        (PublishedCounts(5, {}, 12.0), CountsMark(5, 0.0), None),
    ],
)
def test_age_of_the_published_number(published, mark, age):
    assert get_age(published, mark) == age


def put(store, row_id, value):
    store.write([Put(row_id, value)], [])


def put_job(store, rows, job_id, tasks=SMALL_TASKS, queue="queue", repeats=0):
    """Store a job; return its ``JobProgress``."""
    steps = (Step(tasks=tasks, cpu=100),)
    spec = JobSpec(queue, job_id, SERVICE, "p", steps, 3, repeats, interval=9.0)
    assert rows.accept(spec, FAR_SECONDS) == Success(True)
    progress = JobProgress(spec)
    progress.open_due_occurrences(0.0)
    return progress


def put_state(store, progress):
    put(store, get_row_id(RUNS, progress.key), encode_progress(progress))
    for group in progress.take_changed_groups():
        content = encode_group(progress, group)
        put(store, get_group_id(progress.key, group), content)


@pytest.fixture
def log(clock):
    return EventLog(clock, emit=lambda line: None)


@pytest.fixture
def store(clock):
    return RowsStandIn(clock.now)


@pytest.fixture
def rows(store, clock):
    return JobRows(store, clock, clock.advance)


def count(store):
    return count_stored_jobs(store.read, map).unwrap()


def test_jobs_of_all_queues_are_counted(store, rows):
    for number in range(30):
        put_job(store, rows, f"a{number}", queue="a")
        put_job(store, rows, f"b{number}", queue="b", tasks=LARGE_TASKS)
    assert count(store) == {"a": 30, "b": 30}


def test_cancelled_and_scheduled_jobs_are_not_counted(store, rows):
    put_job(store, rows, "cancelled")
    rows.cancel("queue", "cancelled", FAR_SECONDS)
    put_job(store, rows, "scheduled", repeats=3)
    put_job(store, rows, "waiting")
    assert count(store) == {"queue": 1}


@pytest.mark.parametrize("tasks", [SMALL_TASKS, LARGE_TASKS])
@pytest.mark.parametrize(
    ("trace", "waiting"),
    [("claim", 1), ("released", 1), ("done", 0), ("failed", 0), ("checkpoint", 0)],
)
def test_job_waits_until_a_run_has_left_a_trace(store, rows, tasks, trace, waiting):
    progress = put_job(store, rows, "job", tasks)
    ref = TaskRef(progress.key, 0, 0, tasks - 1)
    run = progress.claim(ref, "node", WorkerIncarnation("worker", 1))
    match trace:
        case "released":
            progress.release(ref, run.number)
        case "checkpoint":
            progress.record_checkpoint(ref, run.number, "saved")
        case "done" | "failed":
            progress.end(ref, run.number, trace, "", 3)
    put_state(store, progress)
    assert count(store).get("queue", 0) == waiting


def test_rows_that_can_not_be_read_stop_no_count(store, rows):
    put_job(store, rows, "job")
    put(store, get_row_id(JOBS, "queue/odd"), b"\xc1")
    put(store, get_row_id(RUNS, "queue/odd"), b"\xc1")
    put(store, get_row_id(RUNS, "queue/job"), b"\xc1")
    assert count(store) == {"queue": 1}


def test_count_fails_if_a_partition_can_not_be_read(store, rows):
    put_job(store, rows, "job")

    def read(table, part, *arguments, **options):
        if part == PARTS[-1]:
            return Failure(PlatformUnavailable("no answer"))
        return store.read(table, part, *arguments, **options)

    outcome = count_stored_jobs(read, map)
    assert isinstance(outcome.failure(), PlatformUnavailable)


def test_number_is_told_within_its_age(clock, registry, log):
    """What was read once is used again for as long as it is young enough."""
    asked = []

    def read_published(deadline):
        asked.append(clock.now())
        return Success(PublishedCounts(1, {"queue": len(asked)}, 100.0 + clock.now()))

    rows = SimpleNamespace(read_published_counts=read_published)
    mark = CountsMark(1, 100.0 + clock.now() - MAX_COUNT_AGE_SECONDS + 0.2)
    counts = WaitingCounts(rows, clock, registry, log, lambda: mark)
    assert [ask(counts), ask(counts)] == [1, 1]
    clock.advance(0.1)
    assert ask(counts) == 1
    mark = CountsMark(1, 100.0 + clock.now())
    clock.advance(0.15)
    assert ask(counts) == 2
