"""Tests of planning over many workers: caches are exact and the cost scales."""

import random
import sys

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.model import JobSpec, Step, WorkerSize
from bergamotshore.core.work.planner import UnplaceableSizes
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.ports.runner import WorkerIncarnation
from tests.site.simulation import SERVICE

QUEUES = {
    name: Queue(name, "host", f"/{name}/", SERVICE, priority=priority)
    for priority, name in enumerate(("first", "second"))
}
SMALL, LARGE = 100, 400


def build_board(rng, nodes=6, jobs=40):
    """Return a cluster state with workers of mixed sizes and jobs of all kinds."""
    cluster = ClusterState(QUEUES.get)
    for index in range(nodes):
        worker = cluster.get_worker(f"node-{index}", "zone")
        worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
        worker.service = SERVICE
        cpu = rng.choice([8000, 16000, 24000])
        worker.size = WorkerSize(cpu, 32000, rng.choice([0, 0, 2]))
        worker.labels = (rng.choice("ab"), f"r{index % 3}")
        worker.stream = object()
        worker.is_reachable = worker.is_answering = worker.has_right = True
    for number in range(jobs):
        step = Step(
            tasks=rng.randint(1, 6),
            cpu=rng.choice([500, 2000, 6000, 9000, 30000]),
            memory=rng.choice([100, 4000, 16000]),
            accelerators=rng.choice([0, 0, 0, 1]),
            label=rng.choice(["", "", "a", "b"]),
            per_worker=rng.choice([0, 0, 1]),
            is_filling=rng.random() < 0.3,
            is_gang=rng.random() < 0.1,
            goal_ms=rng.choice([0.0, 0.0, 40.0]),
            image=rng.choice(["x", "y"]),
        )
        queue = rng.choice(["first", "second"])
        cluster.add_job(
            JobSpec(queue, f"j{number}", SERVICE, "p", (step,), 3, accepted_at=number)
        )
    return cluster


def plan(cluster, now=100.0, is_full_scan=True):
    """Run one planning pass."""
    view = PlanView(cluster, SiteState(), now, now, lambda node, at: False)
    return make_plan(view, may_start=True, is_full_scan=is_full_scan)


def list_claims(cluster):
    return sorted(
        (worker.node, allocation.name, allocation.number)
        for worker in cluster.worker_by_node.values()
        for allocation in worker.allocation_by_key.values()
    )


@pytest.mark.parametrize("seed", range(40))
def test_cache_of_unplaceable_sizes_changes_no_decision(monkeypatch, seed):
    """The second pass is late enough for best-effort steps to count as starving."""
    cached, uncached = (build_board(random.Random(seed)) for _ in range(2))
    for now in (100.0, 102.0):
        plan(cached, now)
        with monkeypatch.context() as patch:
            patch.setattr(UnplaceableSizes, "covers", lambda self, item, cluster: False)
            plan(uncached, now)
    assert list_claims(cached) == list_claims(uncached)
    assert list_claims(cached)


def test_throttles_are_planned_again_when_a_worker_changes():
    cluster = build_board(random.Random(1))
    plan(cluster)
    plan(cluster)
    assert not any(
        worker.is_throttle_stale for worker in cluster.worker_by_node.values()
    )
    worker = next(w for w in cluster.worker_by_node.values() if w.allocation_by_key)
    worker.free(next(iter(worker.allocation_by_key)))
    assert worker.is_throttle_stale


def count_plan_steps(nodes):
    """Return the number of lines run by a pass in which nothing can start.

    Unlike the processor time, it does not depend on what else the machine does.
    """
    cluster = build_board(random.Random(1), nodes, jobs=10 * nodes)
    for _ in range(3):
        plan(cluster)
    steps = 0

    def count(frame, event, argument):
        nonlocal steps
        steps += 1
        return count

    previous = sys.gettrace()
    sys.settrace(count)
    try:
        plan(cluster, is_full_scan=False)
    finally:
        sys.settrace(previous)
    return steps


def measure_growth():
    return count_plan_steps(LARGE) / count_plan_steps(SMALL)


def test_planning_cost_does_not_grow_with_the_square_of_the_site():
    assert measure_growth() < 2 * LARGE / SMALL


# Guards against a measure of the cost that does not notice a planner without its cache.
def test_cost_without_the_cache_grows_with_the_square_of_the_site(monkeypatch):
    monkeypatch.setattr(UnplaceableSizes, "covers", lambda self, item, cluster: False)
    assert measure_growth() >= 2 * LARGE / SMALL
