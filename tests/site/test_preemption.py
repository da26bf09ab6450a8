"""Room for steps of high priority while runs of lower priority hold all of it."""

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.preemption import KEPT_SECONDS, PATIENCE_SECONDS
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.ports.runner import ListedCompletion, ListedRun, WorkerIncarnation
from tests.site.simulation import SERVICE, build_configuration

NODES = 3
CPU = 16000
BATCH_SECONDS = 6.0
LOOK_SECONDS = 0.2
# A stop takes 0.2 s, its end is listed within 0.4 s.
STOP_SECONDS = 0.6
QUEUE_BY_NAME = {
    "quick": Queue("quick", "host", "/quick/", SERVICE, priority=0, retries=3),
    "batch": Queue("batch", "host", "/batch/", SERVICE, priority=2, retries=3),
}


class Overload:
    """Batch tasks that fill all workers, in virtual time."""

    def __init__(self):
        self.now = 100.0
        self.cluster = ClusterState(QUEUE_BY_NAME.get)
        self.stops = []
        self.begun = []
        self.stopping = []
        self.sequence = 0
        for index in range(NODES):
            worker = self.cluster.get_worker(f"node-{index}", "zone-0")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.cpu, worker.memory = SERVICE, CPU, 64000
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True

    def add(self, queue, name, **fields):
        step = Step(**{"tasks": 1, "cpu": 2000, "memory": 100, **fields})
        self.cluster.add_job(
            JobSpec(queue, name, SERVICE, "p", (step,), 3, accepted_at=self.now)
        )

    def step(self):
        self.now += LOOK_SECONDS
        for worker in self.cluster.worker_by_node.values():
            self._report(worker)
        site = SiteState(build_configuration())
        view = PlanView(self.cluster, site, self.now, self.now, lambda node, now: False)
        plan = make_plan(view, may_start=True, is_full_scan=True)
        self.stops += plan.stops
        self.stopping += [(stop, self.now + STOP_SECONDS) for stop in plan.stops]
        for worker in self.cluster.worker_by_node.values():
            for allocation in worker.allocation_by_key.values():
                if not allocation.sent_at:
                    allocation.sent_at = self.now
                    self.begun.append((self.now, allocation.name, worker.node))
                    self.cluster.record_order_result(
                        worker, allocation.key, "started", self.now
                    )

    def advance(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()

    def _report(self, worker):
        worker.reported_at = self.now
        for allocation in list(worker.allocation_by_key.values()):
            share = (self.now - allocation.sent_at) / BATCH_SECONDS
            if share >= 1.0 and not allocation.step.is_lasting:
                self._end(worker, allocation, "done")
                continue
            listed = ListedRun(
                allocation.name, allocation.number, "", int(100 * share), 0.0
            )
            self.cluster.record_running(worker, listed, self.now)
        for stop, at in list(self.stopping):
            if stop.node == worker.node and self.now >= at:
                self.stopping.remove((stop, at))
                if (stop.name, stop.number) in worker.allocation_by_key:
                    self._end(worker, stop, "stopped")

    def _end(self, worker, run, outcome):
        self.sequence += 1
        listed = ListedCompletion(self.sequence, run.name, run.number, outcome, "")
        self.cluster.record_completion(worker, listed, self.now)

    def get_start(self, job):
        """Return when the first task of a job began, or None."""
        times = [at for at, name, _ in self.begun if name.split(".")[0] == job]
        return times[0] if times else None


@pytest.fixture
def overload():
    """Return workers that batch tasks fill; more of them wait."""
    overload = Overload()
    for number in range(2 * NODES * CPU // 2000):
        overload.add("batch", f"batch{number}")
    overload.advance(1.0)
    return overload


def test_a_wide_quick_task_in_a_flood_of_batch_gets_room(overload):
    """One task as large as half a worker: room frees in small pieces and is kept."""
    overload.add("quick", "wide", cpu=CPU // 2)
    begun = overload.now
    overload.advance(PATIENCE_SECONDS + STOP_SECONDS + 4 * LOOK_SECONDS)
    assert overload.get_start("wide") is not None
    assert overload.get_start("wide") - begun < KEPT_SECONDS
    assert {stop.reason for stop in overload.stops} == {"preempted"}
    assert len(overload.stops) == 4
    assert len({stop.node for stop in overload.stops}) == 1


def test_what_was_stopped_runs_again_and_ends(overload):
    overload.add("quick", "wide", cpu=CPU // 2)
    overload.advance(8 * BATCH_SECONDS)
    assert all(progress.outcome for progress in overload.cluster.job_by_key.values())


def test_the_runs_that_lose_least_are_stopped(overload):
    overload.advance(2.0)
    worker = overload.cluster.worker_by_node["node-0"]
    for allocation in list(worker.allocation_by_key.values())[:2]:
        overload._end(worker, allocation, "done")
    overload.advance(0.4)
    fresh = {
        h.name
        for h in worker.allocation_by_key.values()
        if overload.now - h.sent_at < 1
    }
    overload.add("quick", "wide", cpu=4000)
    overload.advance(PATIENCE_SECONDS + 2 * LOOK_SECONDS)
    assert {stop.name for stop in overload.stops} == fresh


def test_work_of_the_same_priority_is_not_stopped(overload):
    overload.add("batch", "wide", cpu=CPU // 2)
    overload.advance(2 * PATIENCE_SECONDS)
    assert overload.stops == []


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_gang": True}])
def test_lasting_tasks_and_gangs_are_not_stopped(fields):
    overload = Overload()
    for number in range(NODES):
        overload.add("batch", f"bound{number}", cpu=CPU, **fields)
    overload.advance(0.4)
    overload.add("quick", "quick")
    overload.advance(4 * PATIENCE_SECONDS)
    assert overload.stops == []


def test_nothing_is_stopped_for_a_step_that_could_never_run(overload):
    overload.add("quick", "huge", cpu=CPU + 1)
    overload.advance(4 * PATIENCE_SECONDS)
    assert overload.stops == []


def test_a_step_that_needs_no_room_yet_stops_nothing(overload):
    """Tasks that start at once, or soon, as others end, cost nobody anything."""
    worker = overload.cluster.worker_by_node["node-1"]
    overload._end(worker, next(iter(worker.allocation_by_key.values())), "done")
    overload.add("quick", "quick")
    overload.advance(2 * PATIENCE_SECONDS)
    assert overload.get_start("quick") is not None
    assert overload.stops == []
