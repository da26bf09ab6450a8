"""Stops are repeated until the run has ended."""

import pytest
from returns.result import Failure

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.stops import STOP_RETRY_SECONDS, plan_stops
from bergamotshore.core.work.stuck import STUCK_LONG_RUNNING_SECONDS
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.ports.runner import ListedRun
from tests.site.simulation import SERVICE
from tests.site.workers import build_worker

STEP = Step(tasks=1, cpu=1000, is_lasting=True)


@pytest.fixture
def cluster():
    """Return a cluster with one long-running task that has not fully started."""
    cluster = ClusterState(lambda name: None)
    cluster.worker_by_node["node-0"] = worker = build_worker()
    progress = cluster.add_job(JobSpec("queue", "job", SERVICE, "payload", (STEP,)))
    progress.open_due_occurrences(0.0)
    (ref,) = progress.list_waiting(0, 0)
    run = cluster.claim(ref, worker, 1.0)
    run.sent_at = 1.0
    cluster.record_running(worker, ListedRun(run.name, run.number, "", 10, 0.0), 1.0)
    return cluster


def plan(cluster, now):
    cluster.worker_by_node["node-0"].reported_at = now
    view = PlanView(cluster, SiteState(), now, now, lambda node, now: False)
    return [stop.reason for stop in plan_stops(view)]


# Guards against a stuck long-running task whose only stop was lost: its run is neither
# stopped nor started elsewhere.
def test_the_stop_of_a_stuck_run_is_repeated_until_the_run_has_ended(cluster):
    stuck_at = 1.0 + 1.1 * STUCK_LONG_RUNNING_SECONDS
    assert plan(cluster, stuck_at) == ["stuck"]
    assert plan(cluster, stuck_at + 0.5 * STOP_RETRY_SECONDS) == []
    assert plan(cluster, stuck_at + 1.1 * STOP_RETRY_SECONDS) == ["repeated"]
    assert len(cluster.pop_new_outcomes()) == 1


# Guards against a run that a worker keeps because the call to stop it was lost.
def test_a_lost_stop_is_sent_again(simulation):
    simulation.submit("job", (Step(tasks=1, cpu=1000),), queue="batch")
    simulation.advance(0.5)
    (runner,) = [r for r in simulation.runner_by_node.values() if r.run_by_task]
    stop, calls = runner.stop, []

    def lose_first_stop(task, number, fence):
        calls.append(task)
        if len(calls) == 1:
            return Failure(WorkerFailure("silent", is_certain=False))
        return stop(task, number, fence)

    runner.stop = lose_first_stop
    worker = next(
        item
        for item in simulation.leader.dispatcher.cluster.worker_by_node.values()
        if item.allocation_by_key
    )
    (run,) = worker.allocation_by_key.values()
    run.stop_sent_at = simulation.clock.now()
    simulation.advance(3 * STOP_RETRY_SECONDS)
    assert len(calls) == 2
    assert [number for _, number, _ in simulation.ledger.starts] == [1, 2]
