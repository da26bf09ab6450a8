"""Second copies of tasks whose step allows them."""

import dataclasses

import pytest

from bergamotshore.core.work.model import Step
from tests.site.burst import (
    HEARD_SECONDS,
    LAPSE_SECONDS,
    LOOK_SECONDS,
    NODES,
    SECONDS,
    Burst,
    play,
)

SLOWER = 6.5
COPIED = (Step(tasks=3, cpu=4000, memory=100, estimate=1.0, is_speculative=True),)
# A node counts as silent after 1.3 s, and its copy starts at the next look.
COPY_BOUND_SECONDS = 2.5


def test_silence_of_a_worker_in_a_burst_of_short_tasks():
    """One worker in four falls silent: with copies no job waits for its lease.

    A job takes its work twice, the time until the silence shows, and some looks.
    """
    silent = {"node-1": 3.0}
    _, alone = play({}, silent_from_by_node=silent)
    burst, copied = play({}, is_speculative=True, silent_from_by_node=silent)
    assert max(alone) > LAPSE_SECONDS
    assert max(copied) <= 2 * SECONDS + HEARD_SECONDS + 3 * LOOK_SECONDS
    assert set(burst.copied) == {"node-silent"}


def test_a_slow_worker_in_a_burst_of_short_tasks():
    """One worker in four turns slow: copies run beside its runs, none is stopped."""
    burst, times = play({"node-1": SLOWER}, is_speculative=True)
    late = [seconds for seconds in times if seconds > 3 * SECONDS]
    assert len(late) <= len(times) / 10
    assert "worker-slow" in burst.copied
    assert burst.stopped_reasons <= {"done-elsewhere", "closed"}


def test_nothing_is_copied_while_all_workers_work_alike():
    burst, _ = play({}, is_speculative=True)
    assert burst.copied == []


def test_copies_take_only_room_that_nothing_waits_for():
    """With tasks waiting for all room, late runs get no copy."""
    burst = Burst({}, is_speculative=True, silent_from_by_node={"node-1": 1.0})
    for number in range(NODES * 4):
        burst.add(f"job{number}", tasks=12)
    for _ in range(6):
        burst.step()
    assert burst.cluster.worker_by_node["node-0"].cpu_share > 0.9
    assert burst.copied == []


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_gang": True}])
def test_lasting_tasks_and_gangs_have_no_copies(simulation, fields):
    simulation.submit("job1", (dataclasses.replace(COPIED[0], **fields),))
    simulation.advance(0.5)
    cut_off(simulation)
    simulation.advance(COPY_BOUND_SECONDS)
    assert len(simulation.ledger.starts) == 3


def cut_off(simulation):
    """Cut the node with the most runs off from all entries; return its worker."""
    counts = {n: len(r.run_by_task) for n, r in simulation.runner_by_node.items()}
    node = max(counts, key=counts.get)
    for entry in simulation.entry_by_name:
        simulation.disconnect(entry, node)
    return simulation.runner_by_node[node]


def test_runs_of_a_silent_node_are_copied_and_the_first_end_counts(simulation):
    simulation.submit("job1", COPIED)
    simulation.advance(0.5)
    lost = cut_off(simulation)
    tasks = set(lost.run_by_task)
    simulation.advance(COPY_BOUND_SECONDS)
    started = [task for task, _, _ in simulation.ledger.starts]
    assert {task for task in started if started.count(task) == 2} == tasks
    for runner in simulation.runner_by_node.values():
        for task in list(runner.run_by_task):
            if runner is not lost:
                runner.finish(task, "done")
    simulation.advance(0.5)
    assert simulation.get_state("job1") == "done"
    assert set(lost.run_by_task) == tasks
    simulation.heal()
    simulation.advance(1.0)
    assert simulation.running == []
    assert simulation.ledger.problems == []


def test_a_first_run_that_ends_after_all_stops_its_copy(simulation):
    simulation.submit("job1", COPIED)
    simulation.advance(0.5)
    lost = cut_off(simulation)
    simulation.advance(COPY_BOUND_SECONDS)
    simulation.heal()
    first = set(lost.run_by_task)
    for task in first:
        lost.finish(task, "done")
    simulation.advance(0.5)
    running = [task for task, _ in simulation.running]
    assert len(running) == 3 - len(first)
    assert not first & set(running)
    simulation.finish_all()
    simulation.advance(0.5)
    assert simulation.get_state("job1") == "done"
    assert simulation.ledger.problems == []


def test_copies_outlive_a_change_of_the_scheduling_entry(simulation):
    simulation.submit("job1", COPIED)
    simulation.advance(0.5)
    cut_off(simulation)
    simulation.advance(COPY_BOUND_SECONDS)
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


def test_a_copy_whose_task_is_done_before_its_order_is_not_started(simulation):
    simulation.submit("job1", COPIED)
    simulation.advance(0.5)
    lost = cut_off(simulation)
    dispatcher = simulation.leader.dispatcher
    writer_is_written = dispatcher.writer.is_written
    dispatcher.writer.is_written = lambda job, revision: False
    simulation.advance(COPY_BOUND_SECONDS)
    simulation.heal()
    for task in list(lost.run_by_task):
        lost.finish(task, "done")
    simulation.advance(0.5)
    dispatcher.writer.is_written = writer_is_written
    simulation.advance(1.0)
    assert len(simulation.ledger.starts) == 3
    assert simulation.ledger.problems == []
