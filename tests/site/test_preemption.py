"""Preemption of runs of lower priority when all workers are full."""

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.model import JobSpec, Step, WorkerSize
from bergamotshore.core.work.preemption import (
    PREEMPTION_DELAY_SECONDS,
    RESERVATION_SECONDS,
)
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.ports.runner import ListedCompletion, ListedRun, WorkerIncarnation
from tests.site.simulation import SERVICE, build_configuration

NODES = 3
CPU = 16000
BATCH_SECONDS = 6.0
PLANNING_INTERVAL_SECONDS = 0.2
# A stop takes 0.2 s, and the completion is reported within 0.4 s.
STOP_SECONDS = 0.6
QUEUE_BY_NAME = {
    "quick": Queue("quick", "host", "/quick/", SERVICE, priority=0, retries=3),
    "batch": Queue("batch", "host", "/batch/", SERVICE, priority=2, retries=3),
}


class OverloadSimulation:
    """Simulation of workers that are filled by batch tasks, in virtual time."""

    def __init__(self):
        self.now = 100.0
        self.cluster = ClusterState(QUEUE_BY_NAME.get)
        self.stops = []
        self.started = []
        self.pending_stops = []
        self.sequence = 0
        for index in range(NODES):
            worker = self.cluster.get_worker(f"node-{index}", "zone-0")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.size = SERVICE, WorkerSize(CPU, 64000)
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True

    def add_job(self, queue, name, **fields):
        step = Step(**{"tasks": 1, "cpu": 2000, "memory": 100, **fields})
        self.cluster.add_job(
            JobSpec(queue, name, SERVICE, "p", (step,), 3, accepted_at=self.now)
        )

    def step(self):
        """Advance by one interval: workers report, then the planner runs."""
        self.now += PLANNING_INTERVAL_SECONDS
        for worker in self.cluster.worker_by_node.values():
            self._report(worker)
        site = SiteState(build_configuration())
        view = PlanView(self.cluster, site, self.now, self.now, lambda node, now: False)
        plan = make_plan(view, may_start=True, is_full_scan=True)
        self.stops += plan.stops
        self.pending_stops += [(stop, self.now + STOP_SECONDS) for stop in plan.stops]
        for worker in self.cluster.worker_by_node.values():
            for run in worker.allocation_by_key.values():
                if not run.sent_at:
                    run.sent_at = self.now
                    self.started.append((self.now, run.name, worker.node))
                    self.cluster.record_order_result(
                        worker, run.key, "started", self.now
                    )

    def advance(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()

    def _report(self, worker):
        worker.reported_at = self.now
        for run in list(worker.allocation_by_key.values()):
            progress_share = (self.now - run.sent_at) / BATCH_SECONDS
            if progress_share >= 1.0 and not run.step.is_lasting:
                self._finish_run(worker, run, "done")
                continue
            listed = ListedRun(run.name, run.number, "", int(100 * progress_share), 0.0)
            self.cluster.record_running(worker, listed, self.now)
        for stop, at in list(self.pending_stops):
            if stop.node == worker.node and self.now >= at:
                self.pending_stops.remove((stop, at))
                if (stop.name, stop.number) in worker.allocation_by_key:
                    self._finish_run(worker, stop, "stopped")

    def _finish_run(self, worker, run, outcome):
        self.sequence += 1
        listed = ListedCompletion(self.sequence, run.name, run.number, outcome, "")
        self.cluster.record_completion(worker, listed, self.now)

    def get_start_time(self, job):
        """Return when the first task of a job started, or None."""
        times = [at for at, name, _ in self.started if name.split(".")[0] == job]
        return times[0] if times else None


@pytest.fixture
def overload():
    """Return a simulation with full workers and as many batch tasks waiting."""
    overload = OverloadSimulation()
    for number in range(2 * NODES * CPU // 2000):
        overload.add_job("batch", f"batch{number}")
    overload.advance(1.0)
    return overload


def test_a_large_task_of_high_priority_preempts_batch_tasks(overload):
    """The task needs half a worker, which is freed in small pieces and reserved."""
    overload.add_job("quick", "wide", cpu=CPU // 2)
    submitted_at = overload.now
    overload.advance(
        PREEMPTION_DELAY_SECONDS + STOP_SECONDS + 4 * PLANNING_INTERVAL_SECONDS
    )
    assert overload.get_start_time("wide") is not None
    assert overload.get_start_time("wide") - submitted_at < RESERVATION_SECONDS
    assert {stop.reason for stop in overload.stops} == {"preempted"}
    assert len(overload.stops) == 4
    assert len({stop.node for stop in overload.stops}) == 1


def test_preempted_tasks_run_again_and_finish(overload):
    overload.add_job("quick", "wide", cpu=CPU // 2)
    overload.advance(8 * BATCH_SECONDS)
    assert all(progress.outcome for progress in overload.cluster.job_by_key.values())


def test_the_runs_that_lose_least_work_are_preempted(overload):
    overload.advance(2.0)
    worker = overload.cluster.worker_by_node["node-0"]
    for run in list(worker.allocation_by_key.values())[:2]:
        overload._finish_run(worker, run, "done")
    overload.advance(0.4)
    recently_started = {
        h.name
        for h in worker.allocation_by_key.values()
        if overload.now - h.sent_at < 1
    }
    overload.add_job("quick", "wide", cpu=4000)
    overload.advance(PREEMPTION_DELAY_SECONDS + 2 * PLANNING_INTERVAL_SECONDS)
    assert {stop.name for stop in overload.stops} == recently_started


def test_runs_of_the_same_priority_are_not_preempted(overload):
    overload.add_job("batch", "wide", cpu=CPU // 2)
    overload.advance(2 * PREEMPTION_DELAY_SECONDS)
    assert overload.stops == []


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_gang": True}])
def test_long_running_tasks_and_gangs_are_not_preempted(fields):
    overload = OverloadSimulation()
    for number in range(NODES):
        overload.add_job("batch", f"bound{number}", cpu=CPU, **fields)
    overload.advance(0.4)
    overload.add_job("quick", "quick")
    overload.advance(4 * PREEMPTION_DELAY_SECONDS)
    assert overload.stops == []


def test_nothing_is_preempted_for_a_step_that_fits_no_worker(overload):
    overload.add_job("quick", "huge", cpu=CPU + 1)
    overload.advance(4 * PREEMPTION_DELAY_SECONDS)
    assert overload.stops == []


def test_nothing_is_preempted_for_a_step_that_can_start_at_once(overload):
    worker = overload.cluster.worker_by_node["node-1"]
    overload._finish_run(worker, next(iter(worker.allocation_by_key.values())), "done")
    overload.add_job("quick", "quick")
    overload.advance(2 * PREEMPTION_DELAY_SECONDS)
    assert overload.get_start_time("quick") is not None
    assert overload.stops == []


# Guards against a task that waits for ever: the only worker with room runs as many
# tasks of its step as it may, and the others are full of tasks of lower priority.
def test_a_worker_with_room_that_a_step_may_not_use_does_not_prevent_preemption():
    overload = OverloadSimulation()
    free_worker = overload.cluster.worker_by_node["node-0"]
    free_worker.is_draining = True
    for number in range((NODES - 1) * CPU // 2000):
        overload.add_job("batch", f"batch{number}")
    overload.advance(1.0)
    free_worker.is_draining = False
    overload.add_job("quick", "apart", tasks=2, cpu=4000, per_worker=1)
    overload.advance(2.0)
    assert len([name for _, name, _ in overload.started if "apart" in name]) == 2
    assert {stop.reason for stop in overload.stops} == {"preempted"}
