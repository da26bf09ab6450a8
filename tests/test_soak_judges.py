"""The judges of the soak: each fires on a violation and on nothing else."""

import pytest

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.ports.runner import RunOrder
from soak.changes import (
    CONFIG_PROPAGATION_SECONDS,
    REGRESSION_SECONDS,
    Change,
    NewestSeen,
    check_answer,
)
from soak.judges import (
    CALM_SECONDS,
    MISSING_SECONDS,
    RESTART_SECONDS,
    LongRunningJudge,
)
from soak.run import Evidence
from standins.ledger import CANCEL_SECONDS, CONTACT_SECONDS, STOP_SECONDS, Ledger
from standins.site import SERVICE, RunnerStandIn

CHANGES = [Change(2, 10.0, 10.1), Change(3, 20.0, 20.1)]


@pytest.mark.parametrize(
    ("version", "status", "sent_at", "is_broken"),
    [
        (2, 200, 20.1 + CONFIG_PROPAGATION_SECONDS - 0.01, False),
        (2, 200, 20.1 + CONFIG_PROPAGATION_SECONDS + 0.01, True),
        (2, 404, 10.1 + CONFIG_PROPAGATION_SECONDS - 0.01, False),
        (2, 404, 10.1 + CONFIG_PROPAGATION_SECONDS + 0.01, True),
        (2, 404, 19.99, False),
        (2, 503, 30.0, False),
        (3, 200, 30.0, False),
        (3, 404, 30.0, True),
    ],
)
def test_stale_configuration_is_reported_only_after_the_propagation_time(
    version, status, sent_at, is_broken
):
    problem = check_answer(CHANGES, version, status, sent_at, sent_at + 0.05)
    assert bool(problem) == is_broken


LATE = 20.0 + REGRESSION_SECONDS + 0.01


@pytest.mark.parametrize(
    ("version", "status", "sent_at", "process", "is_broken"),
    [
        (2, 200, LATE, "same", True),
        (2, 200, LATE - 0.02, "same", False),
        (2, 200, LATE, "other", False),
        (2, 404, LATE, "same", False),
        (3, 404, LATE, "same", True),
        (3, 404, LATE - 0.02, "same", False),
        (3, 404, LATE, "other", False),
        (3, 503, LATE, "same", False),
    ],
)
def test_older_configuration_is_reported_after_a_newer_one_was_seen(
    version, status, sent_at, process, is_broken
):
    newest = NewestSeen()
    assert newest.check("same", CHANGES, 3, 200, 19.9, 20.0) == ""
    problem = newest.check(process, CHANGES, version, status, sent_at, sent_at + 0.01)
    assert bool(problem) == is_broken


def test_queue_that_was_dropped_meanwhile_is_no_regression():
    newest = NewestSeen()
    changes = [*CHANGES, Change(4, LATE, LATE + 0.1)]
    assert newest.check("same", changes, 3, 200, 19.9, 20.0) == ""
    assert newest.check("same", changes, 3, 404, LATE, LATE + 0.01) == ""


JOB = "lasting-1"
CPU = 4000
# Time after which a task that never runs is reported.
LIMIT_SECONDS = RESTART_SECONDS + MISSING_SECONDS
POLL_SECONDS = 0.25


class Watch:
    """A worker, a long-running job and the judge, polled in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.ledger = Ledger()
        self.evidence = Evidence(accepted={JOB})
        step = Step(tasks=1, cpu=CPU, is_lasting=True)
        self.ledger.record_job(JobSpec("queue", JOB, SERVICE, "", (step,)))
        self.worker = RunnerStandIn(clock, "worker-0", self.ledger, cpu=2 * CPU)
        self.judge = LongRunningJudge([self.worker], self.ledger, None, self.evidence)
        self.judge.calm_since = clock.now()

    def start_task(self):
        order = RunOrder(f"{JOB}.0.0.0", 1, "", "", "")
        lease_end_ms = self.worker.clock_ms + 3_600_000
        self.worker.start(order, lease_end_ms, 1, self.worker.incarnation)

    def advance(self, seconds):
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(POLL_SECONDS)
            self.worker.update()
            self.judge.check(self.clock.now())
        return bool(self.evidence.problems)


@pytest.fixture
def watch(clock):
    return Watch(clock)


def test_long_running_task_that_never_runs_is_reported(watch):
    assert not watch.advance(LIMIT_SECONDS)
    assert watch.advance(2 * POLL_SECONDS)
    watch.advance(MISSING_SECONDS)
    assert len(watch.evidence.problems) == 1


def test_time_since_the_last_run_counts(watch):
    watch.start_task()
    assert not watch.advance(4.0)
    watch.worker.finish(f"{JOB}.0.0.0", "failed")
    assert not watch.advance(LIMIT_SECONDS)
    assert watch.advance(2 * POLL_SECONDS)


def test_time_of_faults_does_not_count(watch):
    watch.judge.calm_since = None
    assert not watch.advance(2 * LIMIT_SECONDS)
    watch.judge.calm_since = watch.clock.now()
    assert not watch.advance(CALM_SECONDS + MISSING_SECONDS)
    assert watch.advance(2 * POLL_SECONDS)


def test_time_while_a_worker_is_down_does_not_count(watch):
    watch.advance(RESTART_SECONDS)
    watch.worker.crash(3.0)
    assert not watch.advance(3.0 + CALM_SECONDS + MISSING_SECONDS - POLL_SECONDS)
    assert watch.advance(3 * POLL_SECONDS)


def test_time_without_room_for_the_task_twice_does_not_count(watch):
    watch.advance(RESTART_SECONDS)
    watch.worker.resize(cpu=2 * CPU - 1)
    assert not watch.advance(LIMIT_SECONDS)
    watch.worker.resize(cpu=2 * CPU)
    assert not watch.advance(MISSING_SECONDS)
    assert watch.advance(2 * POLL_SECONDS)


@pytest.mark.parametrize("outcome", ["cancelling", "not accepted"])
def test_task_of_a_job_that_need_not_run_is_not_reported(watch, outcome):
    if outcome == "cancelling":
        watch.evidence.cancelling.add(JOB)
    else:
        watch.evidence.accepted.clear()
    assert not watch.advance(2 * LIMIT_SECONDS)


# Guards against a run that goes on after its job was cancelled and that ends before the
# soak does.
@pytest.mark.parametrize("is_calm", [True, False])
def test_run_of_a_cancelled_job_is_reported_in_a_period_without_faults(watch, is_calm):
    watch.start_task()
    watch.worker.lease_end_ms += 3_600_000
    watch.ledger.record_cancellation(JOB, watch.clock.now())
    watch.evidence.cancelling.add(JOB)
    watch.judge.calm_since = watch.clock.now() if is_calm else None
    watch.advance(CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS - POLL_SECONDS)
    assert watch.ledger.problems == []
    watch.advance(3 * POLL_SECONDS)
    assert len(watch.ledger.problems) == is_calm
