"""Tests of workers whose size is unknown, or changes while tasks run on them."""

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.model import JobSpec, Step, TaskRef, WorkerSize
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


# Guards against starts that exceed a worker which shrank while their claims waited to
# be written, such as during an outage of one partition of the store.
@pytest.mark.parametrize("size", [WorkerSize(2900, 64000), WorkerSize(16000, 99)])
def test_claims_that_no_longer_fit_are_released(claimed, size):
    cluster, worker, sender = claimed
    worker.size = size
    sender.send_claims(lambda key, revision: True, "", 2.0)
    assert worker.stream.orders == []
    assert [item.outcome for item in cluster.pop_new_outcomes()] == ["no-room"]


# Guards against a release of all claims on a worker that has room for some of them.
def test_only_as_many_claims_are_released_as_do_not_fit(claimed):
    cluster, worker, sender = claimed
    progress = cluster.add_job(
        JobSpec("queue", "more", SERVICE, "p", (Step(tasks=4, cpu=4000),), 3)
    )
    progress.open_due_occurrences(1.0)
    for index in range(3):
        cluster.claim(TaskRef(progress.key, 0, 0, index), worker, 1.0)
    worker.size = WorkerSize(11000, 64000)
    sender.send_claims(lambda key, revision: True, "", 2.0)
    (order,) = worker.stream.orders
    assert [name for name, *_ in order.starts] == ["more.0.0.1", "more.0.0.2"]
    assert worker.used_cpu == 11000


# Guards against starts beside runs whose resources nobody knows.
def test_claims_on_a_worker_with_unknown_runs_are_released(claimed):
    cluster, worker, sender = claimed
    worker.unknown_runs = {("other.0.0.0", 1)}
    sender.send_claims(lambda key, revision: True, "", 2.0)
    assert worker.stream.orders == []
