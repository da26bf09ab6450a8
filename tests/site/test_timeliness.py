"""The judge of sites without faults: each check fires on a violation only."""

from types import SimpleNamespace

import pytest
from returns.result import Success

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.ports.runner import RunOrder
from standins.ledger import Ledger
from standins.site import SERVICE, RunnerStandIn
from tests.site import timeliness
from tests.site.timeliness import TimelinessJudge

POLL_SECONDS = 0.25
CPU = 16000
TASKS = [f"job1.0.0.{index}" for index in range(3)]


class Site:
    """Two workers, one job and the judge, in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.ledger = Ledger()
        self.counts = {}
        self.runners = [
            RunnerStandIn(clock, f"worker-{index}", self.ledger) for index in range(2)
        ]
        simulation = SimpleNamespace(
            ledger=self.ledger,
            runner_by_node=dict(enumerate(self.runners)),
            clock=clock,
            rows=SimpleNamespace(
                get_waiting_counts=lambda deadline: Success(self.counts)
            ),
        )
        self.judge = TimelinessJudge(simulation)

    def submit(self, *steps):
        self.ledger.record_job(JobSpec("queue", "job1", SERVICE, "", steps, 3))
        self.judge.submitted_at_by_job["job1"] = self.clock.now()
        self.counts["queue"] = 1

    def start(self, task, number=1, runner=0):
        worker = self.runners[runner]
        order = RunOrder(task, number, "", "", "")
        worker.start(order, worker.clock_ms + 3_600_000, 1, worker.incarnation)
        worker.lease_end_ms += 3_600_000

    def advance(self, seconds):
        """Advance the time; return whether a problem was found."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(POLL_SECONDS)
            for runner in self.runners:
                runner.update()
            self.judge.check()
        return bool(self.ledger.problems)

    def fill(self):
        """Use all capacity of both workers but for a little."""
        for index in range(len(self.runners)):
            job = f"other{index}"
            step = Step(tasks=1, cpu=CPU)
            self.ledger.record_job(JobSpec("queue", job, SERVICE, "", (step,)))
            self.start(f"{job}.0.0.0", runner=index)


@pytest.fixture
def site(clock):
    return Site(clock)


def test_completion_without_an_acknowledgement_is_reported(site):
    site.submit(Step(tasks=1, cpu=100))
    site.start(TASKS[0])
    site.runners[0].finish(TASKS[0], "done")
    assert not site.advance(timeliness.ACKNOWLEDGE_SECONDS)
    assert site.advance(2 * POLL_SECONDS)


def test_acknowledged_completion_is_not_reported(site):
    site.submit(Step(tasks=1, cpu=100))
    site.start(TASKS[0])
    site.runners[0].finish(TASKS[0], "done")
    site.advance(1.0)
    site.runners[0].ends.clear()
    assert not site.advance(2 * timeliness.ACKNOWLEDGE_SECONDS)


def test_run_of_a_cancelled_job_is_reported(site):
    site.submit(Step(tasks=1, cpu=100))
    site.start(TASKS[0])
    site.ledger.record_cancellation("job1", site.clock.now())
    assert not site.advance(timeliness.CANCEL_SECONDS)
    assert site.advance(timeliness.STOP_SECONDS + 2 * POLL_SECONDS)


@pytest.mark.parametrize(("count", "is_reported"), [(0, True), (1, False)])
def test_count_without_the_waiting_jobs_is_reported(site, count, is_reported):
    site.fill()
    site.submit(Step(tasks=1, cpu=100))
    site.counts["queue"] = count
    limit = timeliness.VISIBLE_SECONDS + timeliness.COUNT_AGE_SECONDS
    assert not site.advance(limit)
    assert site.advance(2 * POLL_SECONDS) == is_reported


@pytest.mark.parametrize(
    ("limit", "stops", "is_reported"),
    [(-1, 3, False), (0, 1, True), (1, 1, False), (1, 2, True), (2, 2, False)],
)
def test_stops_beyond_the_disruption_limit_are_reported(
    site, limit, stops, is_reported
):
    site.submit(Step(tasks=3, cpu=100, is_lasting=True, may_miss=limit))
    for task in TASKS:
        site.start(task)
    site.advance(1.0)
    for task in TASKS[:stops]:
        site.runners[0].stop(task, 1, 1)
        site.advance(POLL_SECONDS)
    assert bool(site.ledger.problems) == is_reported


def test_task_that_is_away_for_long_counts_for_the_disruption_limit(site):
    site.submit(Step(tasks=3, cpu=100, is_lasting=True, may_miss=1))
    for task in TASKS:
        site.start(task)
    site.advance(1.0)
    site.runners[0].finish(TASKS[0], "failed")
    site.runners[0].ends.clear()
    site.advance(timeliness.NOTICE_SECONDS + POLL_SECONDS)
    site.runners[0].stop(TASKS[1], 1, 1)
    assert site.advance(POLL_SECONDS)


@pytest.mark.parametrize("reason", ["back", "draining", "cancelled"])
def test_allowed_stop_is_not_reported(site, reason):
    site.submit(Step(tasks=3, cpu=100, is_lasting=True, may_miss=1))
    for task in TASKS:
        site.start(task)
    site.advance(1.0)
    site.runners[0].is_draining = reason == "draining"
    site.runners[0].stop(TASKS[0], 1, 1)
    site.advance(POLL_SECONDS)
    if reason == "back":
        site.start(TASKS[0], number=2, runner=1)
        site.advance(POLL_SECONDS)
    if reason == "cancelled":
        site.ledger.record_cancellation("job1", site.clock.now())
    site.runners[0].stop(TASKS[1], 1, 1)
    assert not site.advance(POLL_SECONDS)


@pytest.mark.parametrize(("members", "is_reported"), [(2, True), (3, False)])
def test_gang_that_waits_for_members_is_reported(site, members, is_reported):
    site.submit(Step(tasks=3, cpu=100, is_gang=True))
    for task in TASKS[:members]:
        site.start(task)
    assert not site.advance(timeliness.GANG_TIMEOUT_SECONDS)
    assert site.advance(2 * POLL_SECONDS) == is_reported


def test_job_that_waits_with_room_for_it_is_reported(site):
    site.submit(Step(tasks=1, cpu=CPU // 2))
    assert not site.advance(timeliness.IDLE_SECONDS)
    assert site.advance(2 * POLL_SECONDS)


@pytest.mark.parametrize("reason", ["no room", "busy", "closed", "draining"])
def test_job_that_has_to_wait_is_not_reported(site, reason):
    site.submit(Step(tasks=1, cpu=CPU // 2))
    match reason:
        case "no room":
            site.submit(Step(tasks=1, cpu=CPU // 2 + 1))
        case "busy":
            site.fill()
        case "closed":
            site.ledger.record_closed_zone("", site.clock.now())
        case "draining":
            for runner in site.runners:
                runner.is_draining = True
    assert not site.advance(2 * timeliness.IDLE_SECONDS)


@pytest.mark.parametrize(("is_running", "is_reported"), [(True, False), (False, True)])
def test_long_running_task_that_does_not_run_is_reported(site, is_running, is_reported):
    site.submit(Step(tasks=2, cpu=100, is_lasting=True))
    site.start(TASKS[0])
    if is_running:
        site.start(TASKS[1])
    assert site.advance(10.0) == is_reported
