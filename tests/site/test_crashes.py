"""Tests of tasks under which workers crash."""

import msgspec
import pytest

from bergamotshore.core.work.crashes import (
    CLEARED_SECONDS,
    MAX_CRASHES,
    LostRun,
    record_crash,
)
from bergamotshore.core.work.jobstate import encode_progress
from bergamotshore.core.work.model import Step, TaskRef
from bergamotshore.core.work.workers import WorkerState
from bergamotshore.entry.jobrows import CRASHES, get_row_id
from bergamotshore.ports.rows import Put
from standins.ledger import MAX_CRASHES as MAX_LEDGER_CRASHES
from standins.site import CRASH_SECONDS
from tests.site.simulation import Simulation

WORK_SECONDS = 1.3
TAG = Step(tasks=6, cpu=240, memory=100, estimate=1.3)
WATCH = Step(tasks=6, cpu=400, memory=100, is_lasting=True)
GANG = Step(tasks=3, cpu=240, memory=100, is_gang=True)
COPIED = Step(tasks=3, cpu=240, memory=100, is_speculative=True)
CULPRIT = "deadly.0.0.0"
# Workers crash in 10 to 50 ms of a start, or after some time of work.
CRASH_DELAYS = (0.0, 0.1, 0.8)


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock, nodes=6)
    simulation.advance(1.0)
    return simulation


def work(simulation, seconds):
    """Run the simulation; harmless short tasks end after their work."""
    until = simulation.clock.now() + seconds
    while simulation.clock.now() < until:
        simulation.advance(0.1)
        for runner in simulation.runner_by_node.values():
            for task, number in list(runner.run_by_task.items()):
                started_at = runner.started_at_by_run[(task, number)]
                is_over = simulation.clock.now() - started_at >= WORK_SECONDS
                is_lasting = simulation.ledger.get_step(task).is_lasting
                is_harmless = simulation.ledger.get_crash_delay(task) is None
                if is_over and is_harmless and not is_lasting:
                    runner.finish(task, "done")


def count_crashes(simulation, task=CULPRIT):
    return len(simulation.ledger.crashes_by_task.get(task, ()))


# Guards against one task that takes down worker after worker, with all that runs there.
@pytest.mark.parametrize("delay", CRASH_DELAYS)
def test_task_that_crashes_its_workers_is_given_up(simulation, delay):
    simulation.ledger.record_crashing(CULPRIT, delay)
    simulation.submit("harmless", (TAG, TAG))
    simulation.submit("deadly", (TAG,))
    work(simulation, 40.0)
    assert simulation.get_state("deadly") == "failed"
    assert simulation.get_state("harmless") == "done"
    assert count_crashes(simulation) <= MAX_LEDGER_CRASHES
    assert simulation.ledger.problems == []


# Guards against tasks that are counted in other ways: members of a gang start together,
# copies run beside each other and long-running tasks start again however they end.
@pytest.mark.parametrize(
    "step", [WATCH, GANG, COPIED], ids=["long-running", "gang", "copied"]
)
def test_tasks_of_each_kind_are_given_up(simulation, step):
    simulation.ledger.record_crashing(CULPRIT, 0.1)
    simulation.submit("harmless", (TAG,))
    simulation.submit("deadly", (step,))
    work(simulation, 40.0)
    assert simulation.get_state("deadly") == "failed"
    assert simulation.get_state("harmless") == "done"
    assert simulation.running == []
    assert simulation.ledger.problems == []


# Guards against starting to count anew with each scheduling entry: the task would never
# be given up while entries change.
def test_crashes_are_counted_across_a_takeover(simulation):
    simulation.ledger.record_crashing(CULPRIT, 0.5)
    simulation.submit("deadly", (TAG,))
    last_count = f"crashes={MAX_CRASHES - 1}"
    while not any(last_count in line for line in simulation.lines):
        work(simulation, 0.1)
    assert count_crashes(simulation) == MAX_CRASHES - 1
    # The crash of a run that has already begun again is not counted.
    simulation.kill_entry(simulation.leader.name)
    work(simulation, 30.0)
    assert simulation.get_state("deadly") == "failed"
    assert count_crashes(simulation) <= MAX_CRASHES + 1
    assert simulation.ledger.problems == []


# Guards against giving up a long-running task for crashes that come from elsewhere.
def test_long_running_tasks_survive_workers_that_crash_for_other_reasons(simulation):
    simulation.submit("watch", (WATCH,))
    work(simulation, 2.0)
    for _ in range(2 * MAX_CRASHES):
        ((node, runner), *_) = [
            (node, runner)
            for node, runner in simulation.runner_by_node.items()
            if "watch.0.0.0" in runner.run_by_task
        ]
        runner.crash()
        work(simulation, CLEARED_SECONDS + CRASH_SECONDS)
    assert simulation.get_state("watch") == "running"
    assert len(simulation.running) == WATCH.tasks
    assert simulation.ledger.problems == []


# Guards against blaming the neighbours of a task that crashes workers: a long-running
# task that is placed beside it would be given up instead.
def test_only_the_task_that_crashes_workers_is_given_up(simulation):
    simulation.submit("watch", (WATCH,))
    work(simulation, 1.0)
    simulation.ledger.record_crashing(CULPRIT)
    for number in range(4):
        simulation.submit(f"harmless{number}", (TAG, TAG))
    simulation.submit("deadly", (TAG,))
    work(simulation, 40.0)
    assert simulation.get_state("deadly") == "failed"
    assert simulation.get_state("watch") == "running"
    for number in range(4):
        assert simulation.get_state(f"harmless{number}") == "done"
    assert simulation.ledger.problems == []


# Guards against counting ends that the operator or a loss of power causes: they would
# use up the budget of tasks that crash nothing.
@pytest.mark.parametrize("cause", ["drain", "power", "cut"])
def test_ends_of_workers_for_known_reasons_are_not_counted(simulation, cause):
    simulation.submit("watch", (WATCH,))
    work(simulation, 0.5)
    for node, runner in simulation.runner_by_node.items():
        match cause:
            case "drain":
                runner.is_draining = True
                work(simulation, 1.0)
                runner.is_draining = False
            case "power":
                simulation.start_node(node)
            case "cut":
                for entry in simulation.entry_names:
                    simulation.disconnect(entry, node)
        runner.crash()
    work(simulation, CRASH_SECONDS + 1.0)
    simulation.heal()
    work(simulation, 3.0)
    assert not any("event=crash-counted " in line for line in simulation.lines)


# Guards against suspecting all that ran on a worker: most of it is innocent, and waits
# to be tried alone.
def test_young_runs_are_suspected_before_older_ones(simulation):
    simulation.submit("watch", (WATCH,))
    work(simulation, 3.0)
    simulation.ledger.record_crashing(CULPRIT, 0.3)
    simulation.submit("deadly", (TAG,))
    work(simulation, 2.0)
    counted = [line for line in simulation.lines if "event=crash-counted " in line]
    assert counted
    assert not any("subject=watch" in line for line in counted)


# Guards against suspects that wait for each other after all workers have crashed at
# once: what has capacity has to be started within 3 s.
def test_tasks_start_soon_after_all_workers_have_crashed(simulation):
    for number in range(8):
        simulation.submit(f"harmless{number}", (TAG,))
    simulation.advance(0.3)
    for runner in simulation.runner_by_node.values():
        runner.crash()
    work(simulation, CRASH_SECONDS + 4.0)
    started = {task for task, number, _ in simulation.ledger.starts if number > 1}
    assert len(started) == 8 * TAG.tasks
    work(simulation, 10.0)
    for number in range(8):
        assert simulation.get_state(f"harmless{number}") == "done"
    assert simulation.ledger.problems == []


# Guards against a row that outlives its job, and one that earlier revisions can't read.
def test_counted_crashes_are_stored_beside_the_runs_and_removed_with_the_job(
    simulation,
):
    simulation.ledger.record_crashing(CULPRIT)
    simulation.submit("deadly", (TAG,))
    while not list_crash_rows(simulation):
        work(simulation, 0.1)
    (row,) = list_crash_rows(simulation)
    assert row.id.key == "queue/deadly"
    progress = simulation.leader.dispatcher.cluster.job_by_key["queue/deadly"]
    assert max(len(content) for content in list_encoded_tasks(progress)) <= 6
    work(simulation, 40.0)
    assert list_crash_rows(simulation) == []


# Guards against a takeover that ends, again and again, at a row that can't be read.
def test_unreadable_row_of_crashes_counts_none(simulation):
    simulation.submit("watch", (WATCH,))
    work(simulation, 1.0)
    row_id = get_row_id(CRASHES, "queue/watch")
    simulation.store.write([Put(row_id, b"no crashes")], [])
    simulation.kill_entry(simulation.leader.name)
    work(simulation, 10.0)
    assert len(simulation.running) == WATCH.tasks
    assert any("event=crashes-unreadable " in line for line in simulation.lines)


def list_crash_rows(simulation):
    return [
        row
        for row_id, row in simulation.store.row_by_id.items()
        if row_id.table == CRASHES
    ]


def list_encoded_tasks(progress):
    _, _, occurrences = msgspec.msgpack.decode(encode_progress(progress))
    return [task for steps in occurrences.values() for tasks in steps for task in tasks]


# Guards against trials that tell nothing: a task that has waited long while workers are
# short was placed among other suspects again, and its next crash convicted nobody.
def test_task_with_two_crashes_is_tried_alone_however_long_it_waits(clock):
    simulation = Simulation(clock, nodes=2)
    simulation.advance(1.0)
    simulation.ledger.record_crashing(CULPRIT, 0.1)
    for number in range(3):
        simulation.submit(f"harmless{number}", (TAG, TAG))
    simulation.submit("deadly", (TAG,))
    work(simulation, 60.0)
    assert simulation.get_state("deadly") == "failed"
    assert count_crashes(simulation) == MAX_CRASHES
    for number in range(3):
        assert simulation.get_state(f"harmless{number}") == "done"
    assert simulation.ledger.problems == []


# Guards against a culprit that is started beside a suspect each time: while the suspect
# was blamed for the crashes, nobody counted those of the culprit.
def test_crash_beside_an_earlier_suspect_is_counted_for_both(simulation):
    simulation.ledger.record_crashing(CULPRIT, 0.5)
    simulation.submit("suspect", (Step(tasks=1, cpu=240, memory=100),))
    simulation.submit("deadly", (Step(tasks=1, cpu=240, memory=100),))
    work(simulation, 0.3)
    cluster = simulation.leader.dispatcher.cluster
    suspect, culprit = [
        TaskRef(f"queue/{job_id}", 0, 0, 0) for job_id in ("suspect", "deadly")
    ]
    cluster.job_by_key["queue/suspect"].record_crash(suspect, MAX_CRASHES)
    runs = [
        allocation
        for worker in cluster.worker_by_node.values()
        for allocation in worker.allocation_by_key.values()
    ]
    worker = WorkerState("node", "zone")
    for allocation in runs:
        worker.allocate(allocation)
    record_crash(cluster, worker, {run.key: LostRun(0.1, False) for run in runs})
    assert cluster.count_crashes(suspect) == 2
    assert cluster.count_crashes(culprit) == 1
