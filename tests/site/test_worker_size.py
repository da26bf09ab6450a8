"""Tests of workers whose size is unknown, or changes while tasks run on them."""

from dataclasses import replace

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.leases import RenewalGrant, get_grant_seconds
from bergamotshore.core.work.model import JobSpec, Step, TaskRef, WorkerSize
from bergamotshore.core.work.site import SiteState
from bergamotshore.entry.orders import OrderSender
from bergamotshore.node.runs import RunManager
from bergamotshore.utils.eventlog import EventLog
from standins.ledger import Ledger
from standins.site import REDUCTION_NOTICE_SECONDS, RunnerStandIn
from tests.fakes import ManualExecutor
from tests.site.simulation import (
    LONGEST_HOLD_SECONDS,
    SERVICE,
    InlineExecutor,
    Simulation,
    build_configuration,
)
from tests.site.workers import (
    build_best_effort_step,
    build_latency_critical_step,
    build_worker,
    place_run,
)

GRANT_SECONDS = get_grant_seconds(LONGEST_HOLD_SECONDS)
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


def find_node_with_pending_starts(simulation):
    """Return the node whose orders to start wait in the queue of calls."""
    return next(
        name
        for name, node in simulation.node_by_name.items()
        if node.starts.pending_calls
    )


# Guards against starts that exceed a worker which shrank while their orders waited at
# its node, behind calls without an answer.
@pytest.mark.parametrize("reduction", [{"cpu": 1999}, {"memory": 99}])
def test_a_queued_start_that_no_longer_fits_is_refused_by_the_node(
    simulation, reduction
):
    for node in simulation.node_by_name.values():
        node.starts = ManualExecutor()
    simulation.submit("job", (SHORT,))
    simulation.advance(0.2)
    name = find_node_with_pending_starts(simulation)
    simulation.runner_by_node[name].resize(**reduction)
    simulation.advance(0.2)
    simulation.node_by_name[name].starts.run_all()
    assert simulation.ledger.starts == []
    for node in simulation.node_by_name.values():
        node.starts = InlineExecutor()
    simulation.advance(1.0)
    ((_, worker),) = simulation.running
    assert worker != simulation.runner_by_node[name].name


# Guards against a start beside a run that was ordered before the worker shrank and of
# which the worker lists only one, because the other is being stopped.
def test_a_run_that_is_being_stopped_takes_room(clock):
    simulation = Simulation(clock, nodes=1)
    (runner,) = simulation.runner_by_node.values()
    runner.stop_seconds = 0.5
    simulation.advance(1.0)
    simulation.submit("first", (Step(tasks=1, cpu=12000, memory=100),))
    simulation.advance(0.5)
    simulation.rows.cancel("queue", "first", clock.now() + 1.0).unwrap()
    simulation.submit("second", (Step(tasks=1, cpu=12000, memory=100),))
    simulation.advance(3.0)
    assert list_running(simulation, "second")
    assert simulation.ledger.problems == []


# Guards against starts on a worker whose reports no longer arrive, by the size that it
# had before.
def test_nothing_starts_by_a_size_that_is_out_of_date(simulation):
    simulation.without_heartbeats.update(simulation.node_by_name)
    for runner in simulation.runner_by_node.values():
        runner.resize(cpu=1000)
    simulation.advance(REDUCTION_NOTICE_SECONDS + 0.5)
    simulation.submit("job", (SHORT,))
    simulation.advance(1.0)
    assert simulation.running == []
    assert simulation.ledger.problems == []
    simulation.without_heartbeats.clear()
    for runner in simulation.runner_by_node.values():
        runner.resize(cpu=2000)
    simulation.advance(1.0)
    assert list_running(simulation, "job")


# Guards against taking a heartbeat that was delayed for a current one.
@pytest.mark.parametrize(("delay", "is_known"), [(1.0, True), (4.0, False)])
def test_the_age_of_a_size_counts_from_when_it_was_reported(
    simulation, delay, is_known
):
    node, runner = next(iter(simulation.runner_by_node.items()))
    run_manager = simulation.node_by_name[node].run_manager
    simulation.without_heartbeats.add(node)
    delayed = runner.build_report("zone-0")
    simulation.advance(delay)
    run_manager.record_heartbeat(delayed)
    assert (run_manager.build_report(1).cpu > 0) == is_known


@pytest.fixture
def changes():
    return []


@pytest.fixture
def run_manager(clock, registry, changes):
    """Return a ``RunManager`` that adds a value to ``changes`` for each change."""
    return RunManager(
        RunnerStandIn(clock, "worker-0", Ledger()),
        RenewalGrant(GRANT_SECONDS),
        LONGEST_HOLD_SECONDS,
        clock,
        lambda: changes.append(True),
        lambda *result: None,
        registry,
        EventLog(clock, emit=lambda line: None),
    )


# Guards against orders that are refused because the scheduling entry hears of a smaller
# worker only with the next list of its runs.
@pytest.mark.parametrize("size", [{"cpu": 8000}, {"memory": 99}, {"accelerators": 1}])
def test_a_change_of_size_is_reported_at_once(run_manager, changes, size):
    run_manager.record_heartbeat(run_manager.runner.build_report("zone-0"))
    changes.clear()
    run_manager.record_heartbeat(run_manager.runner.build_report("zone-0"))
    assert changes == []
    run_manager.runner.resize(**size)
    run_manager.record_heartbeat(run_manager.runner.build_report("zone-0"))
    assert changes == [True]


def test_a_report_without_a_clock_counts_from_its_arrival(run_manager, clock):
    run_manager.grant.record_echo(1, clock.now())
    report = run_manager.runner.build_report("zone-0")
    run_manager.record_heartbeat(replace(report, clock_ms=None))
    for _ in range(2):
        run_manager.hold()
    assert run_manager.build_report(1).cpu > 0
    clock.advance(4.0)
    run_manager.hold()
    assert run_manager.build_report(1).cpu == 0


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
        OrderSender(
            cluster,
            SiteState(),
            1,
            EventLog(clock, emit=lambda line: None),
            ErrorCollector(),
        ),
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
