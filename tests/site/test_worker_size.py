"""Tests of workers whose size is unknown, or changes while tasks run on them."""

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.model import JobSpec, Step, TaskRef
from bergamotshore.core.work.site import SiteState
from bergamotshore.entry.orders import OrderSender
from bergamotshore.utils.eventlog import EventLog
from tests.site.simulation import SERVICE, Simulation, build_configuration
from tests.site.workers import (
    build_best_effort_step,
    build_latency_critical_step,
    build_worker,
    place_run,
)

CRITICAL = Step(
    tasks=3,
    cpu=3000,
    memory=100,
    is_lasting=True,
    goal_ms=40.0,
    image="web",
    per_worker=1,
)
BEST_EFFORT = Step(
    tasks=3,
    cpu=1600,
    memory=100,
    is_filling=True,
    has_checkpoints=True,
    per_worker=1,
    image="crunch",
)
SHORT = Step(tasks=1, cpu=2000, memory=100)


def list_running(simulation, job_id):
    return [task for task, _ in simulation.running if task.startswith(f"{job_id}.")]


@pytest.fixture
def colocated(clock):
    """Return a simulation with latency-critical and best-effort tasks on each worker.

    All workers report loads at which best-effort tasks are throttled.
    """
    simulation = Simulation(clock)
    for runner in simulation.runner_by_node.values():
        runner.usage = 20.0
    simulation.advance(1.0)
    simulation.submit("critical", (CRITICAL,))
    simulation.submit("batch", (BEST_EFFORT,))
    simulation.advance(3.0)
    assert len(list_running(simulation, "critical")) == 3
    assert list_running(simulation, "batch")
    return simulation


def find_shared_node(simulation):
    """Return a node whose worker runs tasks of both jobs."""
    return next(
        node
        for node, runner in simulation.runner_by_node.items()
        if {task.split(".")[0] for task in runner.run_by_task} == {"critical", "batch"}
    )


# Guards against an entry that ends by a worker whose node restarted: its size is
# unknown until the next heartbeat, while its runs are listed at once.
def test_a_worker_of_unknown_size_does_not_stop_the_planning_of_others(colocated):
    node = find_shared_node(colocated)
    colocated.without_heartbeats.add(node)
    colocated.start_node(node)
    running = colocated.running
    colocated.submit("other", (SHORT,))
    colocated.advance(2.0)
    assert list_running(colocated, "other")
    assert set(running) <= set(colocated.running)


# Guards against an entry that ends by a worker that has no processors left.
def test_a_worker_that_shrank_to_nothing_keeps_its_runs_and_gets_no_others(colocated):
    node = find_shared_node(colocated)
    colocated.runner_by_node[node].resize(cpu=0)
    running = colocated.running
    colocated.advance(1.0)
    colocated.submit("other", (SHORT,))
    colocated.advance(2.0)
    assert list_running(colocated, "other")
    assert set(running) <= set(colocated.running)
    assert colocated.ledger.problems == []


class RecordingStream:
    """A stream to a node that records the orders sent."""

    peer_clock = 1.0

    def __init__(self):
        self.orders = []

    def send(self, message):
        self.orders.append(message)


@pytest.fixture
def claimed(clock):
    """Return a worker beside a latency-critical task, with an unsent claim.

    :returns: Triple of ``ClusterState``, ``WorkerState`` and ``OrderSender``.
    """
    cluster = ClusterState(build_configuration().get_queue)
    worker = cluster.worker_by_node["node-0"] = build_worker()
    worker.stream = RecordingStream()
    place_run(worker, build_latency_critical_step(), "s", usage=20.0)
    step = build_best_effort_step(memory=100)
    progress = cluster.add_job(JobSpec("queue", "batch", SERVICE, "p", (step,), 3))
    progress.open_due_occurrences(1.0)
    cluster.claim(TaskRef(progress.key, 0, 0, 0), worker, 1.0)
    return (
        cluster,
        worker,
        OrderSender(cluster, SiteState(), 1, EventLog(clock, emit=lambda line: None)),
    )


# Guards against an entry that ends while it orders starts that it claimed before the
# size of the worker became unknown.
def test_claims_on_a_worker_of_unknown_size_are_released(claimed):
    cluster, worker, sender = claimed
    worker.size = None
    sender.send_claims(lambda key, revision: True, "", 2.0)
    assert worker.stream.orders == []
    assert [item.outcome for item in cluster.pop_new_outcomes()] == ["size-unknown"]
    assert worker.best_effort_tasks == 0
