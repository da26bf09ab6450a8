"""Order of waiting jobs when more work arrives than the workers can do.

A small model: workers with processors, jobs of two wide steps that arrive all the time,
and tasks that end after their duration. The planner decides what is started.
"""

import random
from dataclasses import dataclass

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.durations import DurationEstimate
from bergamotshore.core.work.model import JobSpec, Step, WorkerSize
from bergamotshore.core.work.order import Band, JobOrder
from bergamotshore.core.work.planner import plan_starts
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView, list_waiting
from bergamotshore.generated.settings import Scheduling
from bergamotshore.ports.runner import WorkerIncarnation
from tests.site.simulation import SERVICE

WORKERS, CPU, TASK_CPU = 6, 16000, 2000
SECONDS, TICK_SECONDS = 60.0, 0.4
STRETCH, SLACK, USE_LIMIT = 2.0, 1.0, 3.0
MAX_OBJECTIVE = 12.0
QUEUE_BY_NAME = {
    name: Queue(name, "host", f"/{name}/", SERVICE, 2, 4, STRETCH, SLACK)
    for name in ("batch", "other")
}
MEAN_WIDTH, MEAN_TASK_SECONDS = 8, 2.0
JOBS_PER_SECOND_AT_CAPACITY = (WORKERS * CPU / TASK_CPU) / (
    2 * MEAN_WIDTH * MEAN_TASK_SECONDS
)
# What the users ask for: share of what the capacity allows that is in time.
TARGET_BY_LOAD = {2: 0.8, 4: 0.7}
DUE = Scheduling()
VALUE = Scheduling(order="value")


@dataclass
class ModelJob:
    """A job of the model; ``work`` is in seconds x tasks."""

    key: str
    arrived_at: float
    work: float
    objective: float
    ended_at: float = float("inf")

    @property
    def seconds(self):
        return self.ended_at - self.arrived_at


class LearnedDurations:
    """Durations by queue and width, as tasks have really taken."""

    def __init__(self):
        self.seconds_by_step = {}

    def get_estimate(self, queue, step):
        return DurationEstimate(
            self.seconds_by_step[(queue, step.estimate)], float("inf"), 10
        )


class LoadModel:
    """Jobs that arrive evenly and run on a few workers."""

    def __init__(self, scheduling, declared_factors=(1.0,)):
        self.scheduling = scheduling
        self.declared_factors = declared_factors
        self.random = random.Random(7)
        self.cluster = ClusterState(QUEUE_BY_NAME.get)
        self.durations = LearnedDurations()
        if scheduling.durations:
            self.cluster.durations = self.durations
        self.jobs = {}
        self.seconds_by_step = {}
        self.ends = []
        self.now = 1000.0
        for index in range(WORKERS):
            worker = self.cluster.get_worker(f"node-{index}", "zone-0")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.size = SERVICE, WorkerSize(CPU, 64000)
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True

    def submit(self, queue="batch"):
        """Submit a job of two steps; a fifth of the jobs have four times the width."""
        width = 4 if self.random.random() < 0.8 else 24
        name = f"j{len(self.jobs)}"
        steps, path = [], 0.0
        for number in range(2):
            seconds = MEAN_TASK_SECONDS * self.random.uniform(0.7, 1.3)
            declared = seconds * self.random.choice(self.declared_factors)
            after = (number - 1,) if number else ()
            step = Step(
                width, TASK_CPU, memory=100, estimate=declared, after=after, image="x"
            )
            steps.append(step)
            self.durations.seconds_by_step[(queue, declared)] = seconds
            path += seconds
        spec = JobSpec(queue, name, SERVICE, "p", tuple(steps), 4, accepted_at=self.now)
        self.cluster.add_job(spec)
        for number, step in enumerate(steps):
            seconds = self.durations.seconds_by_step[(queue, step.estimate)]
            self.seconds_by_step[(spec.key, number)] = seconds
        self.jobs[spec.key] = ModelJob(
            spec.key, self.now, width * path, STRETCH * path + SLACK
        )

    def build_view(self):
        return PlanView(
            self.cluster,
            SiteState(),
            self.now,
            self.now,
            lambda node, at: False,
            scheduling=self.scheduling,
        )

    def advance(self, seconds, load=0.0, queues=("batch",)):
        """Let jobs arrive at a multiple of the capacity."""
        until = self.now + seconds
        arriving = 0.0
        while self.now < until:
            self.now += TICK_SECONDS
            arriving += load * JOBS_PER_SECOND_AT_CAPACITY * TICK_SECONDS
            while arriving >= 1.0:
                arriving -= 1.0
                self.submit(queues[len(self.jobs) % len(queues)])
            self._end_runs()
            for worker, run in plan_starts(self.build_view())[0]:
                run.sent_at = self.now
                ends_at = self.now + self.seconds_by_step[(run.ref.job, run.ref.step)]
                self.ends.append((ends_at, worker, run))

    def _end_runs(self):
        due = [end for end in self.ends if end[0] <= self.now]
        self.ends = [end for end in self.ends if end[0] > self.now]
        for _, worker, run in due:
            progress = self.cluster.job_by_key[run.ref.job]
            progress.end(run.ref, run.number, "done", "", 4)
            worker.free(run.key)
            if progress.outcome:
                self.jobs[run.ref.job].ended_at = self.now
                self.cluster.remove_job(run.ref.job)

    def get_share_in_time(self, load):
        """Return the work ended in time relative to what the capacity allows.

        Jobs that arrive at the end still have their time.
        """
        self.advance(MAX_OBJECTIVE)
        in_time = sum(
            job.work for job in self.jobs.values() if job.seconds <= job.objective
        )
        offered = sum(job.work for job in self.jobs.values())
        return in_time / (offered / load)

    def get_share_served(self, jobs):
        """Return the share of jobs that ended while they were of use."""
        served = [job for job in jobs if job.seconds <= USE_LIMIT * job.objective]
        return len(served) / len(jobs)


@pytest.mark.parametrize("load", TARGET_BY_LOAD)
def test_sustained_overload_leaves_most_of_the_capacity_to_jobs_in_time(load):
    model = LoadModel(VALUE)
    model.advance(SECONDS, load)
    assert model.get_share_in_time(load) >= TARGET_BY_LOAD[load]


@pytest.mark.parametrize("load", TARGET_BY_LOAD)
def test_sustained_overload_makes_all_jobs_late_in_the_order_of_due_times(load):
    model = LoadModel(DUE)
    model.advance(SECONDS, load)
    assert model.get_share_in_time(load) < TARGET_BY_LOAD[load]


def test_below_the_capacity_all_jobs_are_in_time():
    model = LoadModel(VALUE)
    model.advance(SECONDS, 0.6)
    model.advance(15.0)
    assert all(job.seconds <= job.objective for job in model.jobs.values())


def test_declared_durations_wrong_by_ten_times_are_replaced_by_learned_ones():
    scheduling = Scheduling(order="value", durations=True)
    model = LoadModel(scheduling, declared_factors=(0.1, 1.0, 10.0))
    model.advance(SECONDS, 2)
    assert model.get_share_in_time(2) >= TARGET_BY_LOAD[2]


def test_jobs_that_declare_a_tenth_are_not_given_up_before_others():
    """Declared durations are off by up to nine tenths, and nothing is learned yet."""
    model = LoadModel(VALUE, declared_factors=(0.1, 1.0, 1.9))
    for _ in range(12):
        model.submit()
    list_waiting(model.build_view())
    model.now += USE_LIMIT * (STRETCH * MEAN_TASK_SECONDS * 0.1 * 2 + SLACK) + 2.0
    list_waiting(model.build_view())
    ranks = model.cluster.job_order.rank_by_key.values()
    assert all(rank[0] != Band.REST for rank in ranks)


@pytest.mark.parametrize("load", TARGET_BY_LOAD)
def test_large_jobs_among_small_ones_are_served_half_as_often_at_least(load):
    model = LoadModel(VALUE)
    model.advance(SECONDS, load)
    model.advance(20.0)
    jobs = sorted(model.jobs.values(), key=lambda job: -job.work)
    tenth = len(jobs) // 10
    share = model.get_share_served(jobs)
    assert model.get_share_served(jobs[:tenth]) >= share / 2
    assert model.get_share_served(jobs[tenth : 3 * tenth]) >= share / 2


def test_two_queues_of_one_priority_are_served_alike_under_overload():
    model = LoadModel(VALUE)
    model.advance(SECONDS, 2, queues=("batch", "other"))
    shares = [
        model.get_share_served(
            [job for job in model.jobs.values() if job.key.startswith(queue)]
        )
        for queue in ("batch", "other")
    ]
    assert min(shares) >= max(shares) / 2


def test_a_scheduler_that_takes_over_under_overload_orders_from_open_jobs():
    """The order is stored nowhere, so that its loss costs nothing."""
    model = LoadModel(VALUE)
    for _ in range(6):
        model.advance(SECONDS / 6, 2)
        model.cluster.job_order = JobOrder()
    assert model.get_share_in_time(2) >= TARGET_BY_LOAD[2]


def test_all_jobs_end_once_an_overload_is_over():
    model = LoadModel(VALUE)
    model.advance(SECONDS / 2, 4)
    model.advance(3 * SECONDS)
    assert not model.cluster.job_by_key


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0, 1e30])
def test_an_estimate_out_of_bounds_is_replaced_by_the_declared_one(figure):
    model = LoadModel(Scheduling(order="value", durations=True))
    model.submit()
    declared = LoadModel(VALUE)
    declared.submit()
    for step in model.durations.seconds_by_step:
        model.durations.seconds_by_step[step] = figure
    ranks = []
    for each in (model, declared):
        list_waiting(each.build_view())
        ranks.append(each.cluster.job_order.rank_by_key)
    assert ranks[0] == ranks[1]
    assert model.cluster.job_order.fallbacks


def test_a_job_that_is_too_late_goes_behind_one_that_can_be_in_time():
    model = LoadModel(VALUE)
    model.submit()
    model.now += 1000.0
    model.submit()
    waiting = list_waiting(model.build_view())
    assert [item.progress.spec.job_id for item in waiting] == ["j1", "j0"]
    order = model.cluster.job_order
    assert [order.get_band(f"batch/j{number}", 0) for number in (0, 1)] == [
        Band.REST,
        Band.TIMELY,
    ]
