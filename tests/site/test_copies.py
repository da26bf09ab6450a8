"""Speculative copies of late runs."""

import dataclasses

import pytest

from bergamotshore.core.work.model import Step
from tests.site.burst import (
    LAPSE_SECONDS,
    NODES,
    REPORT_INTERVAL_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
    TASK_SECONDS,
    BurstSimulation,
    simulate_burst,
)

SLOWDOWN = 6.5
SPECULATIVE_STEPS = (
    Step(tasks=3, cpu=4000, memory=100, estimate=1.0, is_speculative=True),
)
# A node is considered silent after 1.3 s; the copy starts at the next planning pass.
MAX_COPY_DELAY_SECONDS = 2.5


def test_copies_avoid_the_wait_for_the_lease_of_a_silent_worker():
    """One worker in four becomes silent; with copies no job waits for its lease.

    A job takes at most two task durations, the silence timeout and some report
    intervals.
    """
    silent = {"node-1": 3.0}
    _, without_copies = simulate_burst({}, silent_from_by_node=silent)
    burst, with_copies = simulate_burst(
        {}, is_speculative=True, silent_from_by_node=silent
    )
    assert max(without_copies) > LAPSE_SECONDS
    assert (
        max(with_copies)
        <= 2 * TASK_SECONDS + SILENCE_TIMEOUT_SECONDS + 3 * REPORT_INTERVAL_SECONDS
    )
    assert set(burst.copy_signs) == {"node-silent"}


def test_runs_on_a_slow_worker_are_copied_and_not_stopped():
    """One worker in four is slow; copies start while the original runs continue."""
    burst, durations = simulate_burst({"node-1": SLOWDOWN}, is_speculative=True)
    late = [seconds for seconds in durations if seconds > 3 * TASK_SECONDS]
    assert len(late) <= len(durations) / 10
    assert "worker-slow" in burst.copy_signs
    assert burst.stop_reasons <= {"done-elsewhere", "closed"}


def test_no_run_is_copied_while_all_workers_are_equally_fast():
    burst, _ = simulate_burst({}, is_speculative=True)
    assert burst.copy_signs == []


def test_late_runs_are_not_copied_while_tasks_wait_for_capacity():
    burst = BurstSimulation(
        {}, is_speculative=True, silent_from_by_node={"node-1": 1.0}
    )
    for number in range(NODES * 4):
        burst.add_job(f"job{number}", tasks=12)
    for _ in range(6):
        burst.step()
    assert burst.cluster.worker_by_node["node-0"].cpu_share > 0.9
    assert burst.copy_signs == []


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_gang": True}])
def test_long_running_tasks_and_gangs_are_not_copied(simulation, fields):
    simulation.submit("job1", (dataclasses.replace(SPECULATIVE_STEPS[0], **fields),))
    simulation.advance(0.5)
    isolate_busiest_node(simulation)
    simulation.advance(MAX_COPY_DELAY_SECONDS)
    assert len(simulation.ledger.starts) == 3


def isolate_busiest_node(simulation):
    """Disconnect the node with the most runs from all entries; return its runner."""
    counts = {n: len(r.run_by_task) for n, r in simulation.runner_by_node.items()}
    node = max(counts, key=counts.get)
    for entry in simulation.entry_by_name:
        simulation.disconnect(entry, node)
    return simulation.runner_by_node[node]


def test_runs_of_a_silent_node_are_copied_and_the_first_completion_counts(simulation):
    simulation.submit("job1", SPECULATIVE_STEPS)
    simulation.advance(0.5)
    isolated = isolate_busiest_node(simulation)
    tasks = set(isolated.run_by_task)
    simulation.advance(MAX_COPY_DELAY_SECONDS)
    started = [task for task, _, _ in simulation.ledger.starts]
    assert {task for task in started if started.count(task) == 2} == tasks
    for runner in simulation.runner_by_node.values():
        for task in list(runner.run_by_task):
            if runner is not isolated:
                runner.finish(task, "done")
    simulation.advance(0.5)
    assert simulation.get_state("job1") == "done"
    assert set(isolated.run_by_task) == tasks
    simulation.heal()
    simulation.advance(1.0)
    assert simulation.running == []
    assert simulation.ledger.problems == []


def test_the_copy_is_stopped_when_the_original_run_finishes(simulation):
    simulation.submit("job1", SPECULATIVE_STEPS)
    simulation.advance(0.5)
    isolated = isolate_busiest_node(simulation)
    simulation.advance(MAX_COPY_DELAY_SECONDS)
    simulation.heal()
    original_tasks = set(isolated.run_by_task)
    for task in original_tasks:
        isolated.finish(task, "done")
    simulation.advance(0.5)
    running = [task for task, _ in simulation.running]
    assert len(running) == 3 - len(original_tasks)
    assert not original_tasks & set(running)
    simulation.finish_all()
    simulation.advance(0.5)
    assert simulation.get_state("job1") == "done"
    assert simulation.ledger.problems == []


def test_copies_survive_a_change_of_the_scheduling_entry(simulation):
    simulation.submit("job1", SPECULATIVE_STEPS)
    simulation.advance(0.5)
    isolate_busiest_node(simulation)
    simulation.advance(MAX_COPY_DELAY_SECONDS)
    starts = len(simulation.ledger.starts)
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(6.0)
    assert simulation.leader is not None
    assert len(simulation.ledger.starts) == starts
    simulation.finish_all()
    simulation.advance(1.0)
    simulation.heal()
    simulation.advance(1.0)
    assert simulation.get_state("job1") == "done"
    assert simulation.ledger.problems == []


def test_a_copy_is_not_started_if_its_task_finishes_before_the_order_is_sent(
    simulation,
):
    simulation.submit("job1", SPECULATIVE_STEPS)
    simulation.advance(0.5)
    isolated = isolate_busiest_node(simulation)
    dispatcher = simulation.leader.dispatcher
    writer_is_written = dispatcher.writer.is_written
    dispatcher.writer.is_written = lambda job, revision: False
    simulation.advance(MAX_COPY_DELAY_SECONDS)
    simulation.heal()
    for task in list(isolated.run_by_task):
        isolated.finish(task, "done")
    simulation.advance(0.5)
    dispatcher.writer.is_written = writer_is_written
    simulation.advance(1.0)
    assert len(simulation.ledger.starts) == 3
    assert simulation.ledger.problems == []
