"""Long-running tasks run again in time, and the log tells why one does not."""

import pytest

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.preemption import Reservation
from tests.site.test_promises import LONG_RUNNING

# Downtimes are reported after 4 s, by a check that is made each second, in seconds.
REPORT_SECONDS = 5.2


def find_lines(simulation, event):
    """Return the lines of an event."""
    return [line for line in simulation.lines if f"event={event} " in line]


def find_node_running(simulation, task):
    """Return the node beside the worker that runs a task, and that worker."""
    return next(
        (node, runner)
        for node, runner in simulation.runner_by_node.items()
        if task in runner.run_by_task
    )


# Guards against a log that does not tell a task whose run is taken for active from one
# that waits for room or for a worker.
@pytest.mark.parametrize(
    ("has_node", "reason"),
    [(False, "run-at-silent-node"), (True, "run-at-node-without-report")],
)
def test_a_task_whose_run_is_taken_for_active_is_logged_with_the_reason(
    simulation, has_node, reason
):
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(1.0)
    node, runner = find_node_running(simulation, "watch.0.0.0")
    runner.is_cut = True
    simulation.kill_node(node)
    if has_node:
        simulation.start_node(node)
    simulation.advance(REPORT_SECONDS)
    (line, *_) = find_lines(simulation, "task-down")
    assert "subject=watch.0.0.0" in line
    assert f"why={reason}" in line
    assert f"node={node}" in line
    runner.is_cut = False
    simulation.advance(4.0)
    assert "subject=watch.0.0.0" in find_lines(simulation, "task-up")[0]


def close_data_centres(simulation):
    for entry in simulation.entry_by_name.values():
        entry.follower.state.closed_zones |= {"zone-0", "zone-1"}


def close_by_size(simulation):
    for runner in simulation.runner_by_node.values():
        runner.resize(cpu=100)
    simulation.advance(0.5)


def drain_workers(simulation):
    for runner in simulation.runner_by_node.values():
        runner.is_draining = True
    simulation.advance(0.5)


def reserve_workers(simulation):
    until = simulation.clock.now() + 2 * REPORT_SECONDS
    cluster = simulation.leader.dispatcher.cluster
    for node in simulation.runner_by_node:
        cluster.reserve(node, Reservation(("queue/wide", 0, 0), 0, until))
    simulation.submit("wide", (Step(tasks=1, cpu=20000),))


@pytest.mark.parametrize(
    ("close", "reason"),
    [
        (close_data_centres, "zone-closed"),
        (close_by_size, "no-room"),
        (drain_workers, "worker-away"),
        (reserve_workers, "worker-reserved"),
    ],
)
def test_a_task_that_no_worker_may_take_is_logged_with_the_reason(
    simulation, close, reason
):
    close(simulation)
    simulation.submit("watch", (Step(tasks=1, cpu=3000, is_lasting=True),))
    simulation.advance(REPORT_SECONDS)
    (line,) = find_lines(simulation, "task-down")
    assert f"why={reason}" in line
