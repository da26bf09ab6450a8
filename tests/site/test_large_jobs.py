"""Jobs of many tasks, whose state is spread over rows of the store."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshore.core.work.jobstate import encode_progress, encode_task
from bergamotshore.core.work.model import JobSpec, Step, TaskRef
from bergamotshore.core.work.progress import GROUP_TASKS, MAX_TASKS_IN_ROW, JobProgress
from bergamotshore.core.work.taskgroups import parse_group_key, restore_group
from bergamotshore.entry import jobwriter
from bergamotshore.entry.jobrows import GROUPS, RUNS, get_row_id
from bergamotshore.entry.takeover import restore_job
from bergamotshore.ports.rows import Put, StoredRow
from bergamotshore.ports.runner import WorkerIncarnation
from standins.site import ROW_BYTES

TAKEOVER_SECONDS = 10.0
LONGEST_NAME = "n" * 100


@pytest.fixture
def small_transactions(monkeypatch):
    """Let a write of 400 tasks take several transactions."""
    monkeypatch.setattr(jobwriter, "MAX_BATCH_ENTRIES", 9)


def list_group_rows(simulation):
    return [row_id for row_id in simulation.store.row_by_id if row_id.table == GROUPS]


def build_step(tasks):
    return Step(tasks=tasks, cpu=1, memory=1, estimate=1.0)


# Guards against a job whose row exceeds what the store takes: no task of it was ever
# started, nor was any other change of its partition written.
@pytest.mark.parametrize("tasks", [1, MAX_TASKS_IN_ROW, MAX_TASKS_IN_ROW + 1, 700])
def test_job_of_any_size_runs_beside_others(simulation, tasks):
    simulation.submit("large", [build_step(tasks)])
    for number in range(16):
        simulation.submit(f"small{number}", [build_step(1)])
    simulation.advance(3.0)
    assert len(simulation.running) == tasks + 16
    simulation.finish_all()
    simulation.advance(5.0)
    assert simulation.get_state("large") == "done"
    assert {simulation.get_state(f"small{n}") for n in range(16)} == {"done"}
    assert simulation.store.largest_value <= ROW_BYTES / 2
    assert list_group_rows(simulation) == []
    assert simulation.ledger.problems == []


# A write of several transactions may end halfway, with the scheduling entry.
@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.3, 1.0])
def test_no_task_of_a_large_job_runs_twice_after_a_takeover(
    simulation, small_transactions, seconds
):
    simulation.submit("large", [build_step(400)])
    simulation.advance(seconds)
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(TAKEOVER_SECONDS)
    assert len(simulation.running) == 400
    simulation.finish_all()
    simulation.advance(15.0)
    assert simulation.get_state("large") == "done"
    assert len(simulation.ledger.starts) == 400
    assert simulation.ledger.problems == []


@pytest.mark.parametrize("fault", ["lost", "late", "down"])
def test_large_job_survives_lost_and_late_writes(simulation, small_transactions, fault):
    simulation.submit("large", [build_step(400)])
    simulation.store.faults = ["ok", fault, "ok", fault]
    simulation.advance(1.0)
    simulation.store.run_late()
    simulation.advance(5.0)
    simulation.finish_all()
    simulation.advance(15.0)
    assert simulation.get_state("large") == "done"
    assert len(simulation.ledger.starts) == 400
    assert simulation.ledger.problems == []


def test_row_of_an_earlier_revision_is_moved_to_groups(simulation):
    simulation.submit("large", [build_step(300)])
    simulation.advance(1.0)
    (progress,) = simulation.leader.dispatcher.cluster.job_by_key.values()
    tasks = [encode_task(task) for task in progress.list_tasks(0)[0]]
    content = msgspec.msgpack.encode([0, "", {0: [tasks]}])
    simulation.kill_entry(simulation.leader.name)
    put = Put(get_row_id(RUNS, progress.key), content)
    simulation.store.write([put], list_group_rows(simulation))
    simulation.advance(TAKEOVER_SECONDS)
    assert len(list_group_rows(simulation)) == 300 / GROUP_TASKS
    assert len(simulation.running) == len(simulation.ledger.starts) == 300


# Guards against a job that the store refuses and that holds up its whole partition.
def test_refused_state_of_one_job_holds_up_no_other(simulation):
    writer = simulation.leader.dispatcher.writer
    original = writer._add_progress

    def add_oversized(batch, key, progress):
        size = original(batch, key, progress)
        if progress.spec.job_id == "culprit":
            batch.puts.append(Put(get_row_id("runs", key), b"x" * ROW_BYTES))
        return size

    writer._add_progress = add_oversized
    simulation.submit("culprit", [build_step(1)])
    for number in range(32):
        simulation.submit(f"small{number}", [build_step(1)])
    simulation.advance(3.0)
    assert len(simulation.running) == 32
    assert any("job-unwritable" in line for line in map(str, simulation.lines))


@settings(max_examples=30, deadline=None)
@given(
    counts=st.lists(st.integers(1, 250), min_size=1, max_size=4),
    claimed=st.lists(st.integers(0, 1000), max_size=40),
)
def test_state_of_a_job_of_any_size_is_restored_and_fits_its_rows(counts, claimed):
    steps = tuple(build_step(count) for count in counts)
    spec = JobSpec("q" * 60, "a" * 16, "service", "", steps)
    progress = JobProgress(spec)
    progress.open_due_occurrences(0.0)
    incarnation = WorkerIncarnation(LONGEST_NAME, 1)
    for number in claimed:
        step = number % len(counts)
        ref = TaskRef(spec.key, 0, step, number % counts[step])
        progress.claim(ref, LONGEST_NAME, incarnation)
    rows = [
        (group, StoredRow(None, 1, encode_group_of(progress, group)))
        for group in progress.changed_groups
    ]
    value = encode_progress(progress)
    assert all(len(row.value) <= ROW_BYTES / 2 for _, row in rows)
    restored = JobProgress(spec)
    restore_job(restored, StoredRow(None, 1, value), rows)
    restored.open_due_occurrences(0.0)
    assert restored.list_tasks(0) == progress.list_tasks(0)


def encode_group_of(progress, group):
    return msgspec.msgpack.encode([encode_task(t) for t in progress.list_group(group)])


@pytest.mark.parametrize("key", ["", "job", "#0.0.0", "q/j#0.0", "q/j#0.0.-1", "q/j#a"])
def test_odd_key_of_a_group_names_none(key):
    assert parse_group_key(key) is None


def test_group_of_another_shape_is_refused():
    spec = JobSpec("queue", "job", "service", "", (build_step(200),))
    progress = JobProgress(spec)
    with pytest.raises(Exception, match="group of tasks"):
        restore_group(progress, (0, 0, 99), msgspec.msgpack.encode([[1]]))
