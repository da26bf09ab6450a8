"""Tests of the relocation of best-effort runs that get little speed where they are."""

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.model import JobSpec, TaskRef
from bergamotshore.core.work.relocation import MIN_STAY_SECONDS, plan_relocations
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.waiting import PlanView
from tests.site.simulation import SERVICE, build_configuration
from tests.site.workers import (
    build_best_effort_step,
    build_latency_critical_step,
    build_worker,
    get_tail_latency,
    place_run,
)

STARTED_AT = 1.0
SETTLED_AT = STARTED_AT + MIN_STAY_SECONDS


class Cluster:
    """Workers beside a latency-critical task, and workers without one."""

    def __init__(self, busy=1, free=1, **step_fields):
        self.state = ClusterState(build_configuration().get_queue)
        fields = {"has_checkpoints": True, "tasks": busy, **step_fields}
        self.step = build_best_effort_step(**fields)
        self.progress = self.state.add_job(
            JobSpec("queue", "batch", SERVICE, "p", (self.step,), 3, accepted_at=1.0)
        )
        self.progress.open_due_occurrences(1.0)
        for index in range(busy):
            self._add_busy_worker(f"busy-{index}", index)
        for index in range(free):
            node = f"free-{index}"
            self.state.worker_by_node[node] = build_worker(node)

    def _add_busy_worker(self, node, index):
        worker = self.state.worker_by_node[node] = build_worker(node)
        critical = place_run(
            worker,
            build_latency_critical_step(),
            f"critical{index}",
            usage=get_tail_latency(0.72),
            job="queue/critical",
        )
        for at in (STARTED_AT, STARTED_AT + 0.4):
            self.state.interference.record_report(worker, at)
        critical.percent = 100
        ref = TaskRef(self.progress.key, 0, 0, index)
        run = self.state.claim(ref, worker, STARTED_AT)
        run.sent_at = run.started_at = STARTED_AT
        run.is_started = True

    @property
    def runs(self):
        return [
            run
            for worker in self.state.worker_by_node.values()
            for run in worker.allocation_by_key.values()
            if run.step.is_filling
        ]

    def plan(self, now=SETTLED_AT):
        site = SiteState(build_configuration())
        view = PlanView(self.state, site, now, now, lambda node, at: False)
        return plan_relocations(view)


def test_a_throttled_run_moves_to_a_worker_where_it_is_much_faster():
    (stop,) = Cluster().plan()
    assert (stop.node, stop.reason) == ("busy-0", "relocated")


def test_a_run_stays_where_no_other_worker_is_much_faster():
    assert Cluster(busy=2, free=0).plan() == []


def test_a_run_stays_at_first():
    assert Cluster().plan(SETTLED_AT - 0.1) == []


def test_a_run_that_is_being_stopped_is_not_stopped_again():
    cluster = Cluster()
    assert len(cluster.plan()) == 1
    assert cluster.plan(SETTLED_AT + 0.2) == []


@pytest.mark.parametrize(("percent", "moves"), [(5, 1), (60, 0)])
def test_a_run_without_checkpoints_only_moves_while_little_is_done(percent, moves):
    cluster = Cluster(has_checkpoints=False)
    cluster.runs[0].percent = percent
    assert len(cluster.plan()) == moves


# Guards against a stampede: all throttled runs of a wide step would be stopped at once
# for the same free worker.
def test_throttled_runs_of_a_wide_step_move_a_few_at_a_time():
    cluster = Cluster(busy=30, free=10)
    first = cluster.plan()
    assert len(first) == 4
    second = cluster.plan(SETTLED_AT + 0.2)
    assert {stop.name for stop in first}.isdisjoint(stop.name for stop in second)


def test_runs_of_a_cancelled_job_are_not_moved():
    cluster = Cluster()
    cluster.progress.cancel()
    assert cluster.plan() == []
