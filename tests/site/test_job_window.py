"""Passes over more waiting steps than one of them can look at.

With 60,000 waiting steps a pass took a second and more, so that what the entry knew was
too old to start anything by when it ended.
"""

import pytest

from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.jobwindow import SMALL_JOB_STEPS
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.waiting import PlanView, list_waiting
from bergamotshore.generated.settings import Scheduling
from tests.site.simulation import SERVICE
from tests.site.test_job_cost import SMALL, build_cluster, plan

LARGE_JOBS, LARGE_STEPS = 60, 400
# Steps that a pass may look at: more take over a tenth of a second.
MAX_LISTED = 6000
TOO_LARGE_CPU = 99_000
# Time between two passes, and within which each job has to be looked at, in seconds.
PASS_SECONDS, TURN_SECONDS = 0.05, 3.0


def add_job(cluster, name, steps, at):
    cluster.add_job(
        JobSpec("queue", name, SERVICE, "p", tuple(steps), 3, accepted_at=at)
    )


@pytest.fixture
def cluster():
    """Return a cluster with large jobs of which no task fits any worker."""
    cluster = build_cluster()
    for number in range(LARGE_JOBS):
        steps = [Step(tasks=3, cpu=TOO_LARGE_CPU + n) for n in range(LARGE_STEPS)]
        add_job(cluster, f"large{number:03}", steps, float(number))
    return cluster


def build_view(cluster, now):
    return PlanView(
        cluster, SiteState(), now, now, lambda n, t: False, collector=ErrorCollector()
    )


def test_pass_looks_at_a_bounded_number_of_steps(cluster):
    for number in range(5):
        waiting = list_waiting(build_view(cluster, 100.0 + number))
        assert len(waiting) <= MAX_LISTED


def test_same_steps_are_looked_at_throughout_a_pass(cluster):
    view = build_view(cluster, 100.0)
    keys = [item.key for item in list_waiting(view)]
    assert [item.key for item in list_waiting(view)] == keys


def test_first_jobs_are_looked_at_in_each_pass_and_all_in_turn(cluster):
    seen = set()
    for number in range(int(TURN_SECONDS / PASS_SECONDS)):
        waiting = list_waiting(build_view(cluster, 100.0 + number * PASS_SECONDS))
        jobs = {item.key[0] for item in waiting}
        assert {f"queue/large{n:03}" for n in range(5)} <= jobs
        seen |= jobs
    assert seen == set(cluster.job_by_key)


# Guards against ordinary jobs that are never looked at behind jobs that fit no worker.
@pytest.mark.parametrize("steps", [1, SMALL_JOB_STEPS, SMALL_JOB_STEPS + 1, 300])
def test_job_behind_jobs_that_fit_no_worker_is_started(cluster, steps):
    add_job(cluster, "last", [SMALL] * steps, 1000.0)
    progress = cluster.job_by_key["queue/last"]
    now = 100.0
    while not any(True for _ in progress.list_runs()):
        assert now < 100.0 + TURN_SECONDS
        plan(cluster, now, Scheduling())
        now += PASS_SECONDS


def test_steps_that_are_not_looked_at_go_on_waiting(cluster):
    for number in range(40):
        plan(cluster, 100.0 + number * PASS_SECONDS, Scheduling())
    view = build_view(cluster, 100.0 + 40 * PASS_SECONDS)
    waiting = list_waiting(view)
    cluster.record_waiting(waiting, view.now)
    assert all(cluster.get_waiting_since(item) < 102.0 for item in waiting)


def test_job_that_raises_errors_is_left_out(cluster):
    cluster.job_by_key["queue/large010"].critical_path = "long"
    view = build_view(cluster, 100.0)
    assert list_waiting(view)
    assert {error.subject for error in view.errors} == {"queue/large010"}
