"""The checks of the ledger: each one fires on a violation and on nothing else."""

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.ports.runner import RunOrder
from standins.ledger import MAX_CRASHES, MAX_STARTS_AFTER_CRASHES, Ledger
from standins.site import CRASH_SECONDS, SERVICE, RunnerStandIn

TASK = "job1.0.0.0"
OTHER_TASK = "job1.0.0.1"
RETRIES = 3
ALLOWED_STARTS = MAX_CRASHES + MAX_STARTS_AFTER_CRASHES - 1
SECONDS_UNTIL_CRASH = 1.5


@pytest.fixture
def ledger():
    ledger = Ledger()
    record_job(ledger)
    return ledger


@pytest.fixture
def runner(clock, ledger):
    return RunnerStandIn(clock, "worker-0", ledger)


def record_job(ledger, step=None, **fields):
    step = step or Step(tasks=2, cpu=4000, memory=100)
    ledger.record_job(JobSpec("queue", "job1", SERVICE, "", (step,), RETRIES, **fields))


def start(runner, number, task=TASK):
    order = RunOrder(task, number, "", "", "")
    return runner.start(order, runner.clock_ms + 5000, 1, runner.name)


def is_refused(outcome):
    """Return whether the worker refused the connection."""
    return isinstance(outcome, Failure) and outcome.failure().is_certain


def crash_repeatedly(clock, runner, starts):
    for number in range(1, starts + 1):
        start(runner, number)
        clock.advance(CRASH_SECONDS)


def test_worker_is_down_after_a_crash_and_returns_as_a_new_incarnation(
    clock, ledger, runner
):
    """A stand-in that answers while it is down would hide faults of the node."""
    ledger.record_crashing("job1")
    born = runner.born
    assert start(runner, 1) == Failure(WorkerFailure("silent", is_certain=False))
    assert ledger.live == {}
    assert not runner.is_sending_heartbeats
    clock.advance(CRASH_SECONDS - 0.1)
    assert is_refused(start(runner, 2, OTHER_TASK))
    clock.advance(0.1)
    runner.update()
    assert runner.is_sending_heartbeats
    assert runner.born > born
    assert runner.name == "worker-0"
    assert runner.clock_ms == 0


def test_worker_crashes_after_the_given_time_of_work(clock, ledger, runner):
    ledger.record_crashing(TASK, SECONDS_UNTIL_CRASH)
    assert isinstance(start(runner, 1), Success)
    assert isinstance(start(runner, 1, OTHER_TASK), Success)
    clock.advance(SECONDS_UNTIL_CRASH - 0.1)
    runner.update()
    assert len(ledger.live) == 2
    clock.advance(0.1)
    runner.update()
    assert ledger.live == {}
    assert is_refused(start(runner, 2, OTHER_TASK))


def test_worker_survives_a_crashing_task_that_ended_before(clock, ledger, runner):
    ledger.record_crashing(TASK, SECONDS_UNTIL_CRASH)
    start(runner, 1)
    runner.stop(TASK, 1, 1)
    clock.advance(SECONDS_UNTIL_CRASH)
    runner.update()
    assert not runner.is_down


def test_late_order_is_not_executed_by_a_crashed_worker(clock, ledger, runner):
    ledger.record_crashing(TASK)
    runner.faults = ["late"]
    start(runner, 1, OTHER_TASK)
    start(runner, 1)
    runner.run_late()
    clock.advance(CRASH_SECONDS)
    runner.run_late()
    assert [task for task, _, _ in ledger.starts] == [TASK]


@pytest.mark.parametrize("surplus", [0, 1])
def test_task_that_crashes_worker_after_worker_is_reported(
    clock, ledger, runner, surplus
):
    ledger.record_crashing("job1")
    crash_repeatedly(clock, runner, ALLOWED_STARTS + surplus)
    assert len(ledger.problems) == surplus


def test_crashes_are_counted_across_workers(clock, ledger):
    ledger.record_crashing("job1")
    for index in range(ALLOWED_STARTS + 1):
        start(RunnerStandIn(clock, f"worker-{index}", ledger), 1)
    assert len(ledger.problems) == 1


def test_harmless_task_beside_a_crashing_one_may_start_again(clock, ledger, runner):
    ledger.record_crashing(OTHER_TASK)
    for number in range(1, ALLOWED_STARTS + 2):
        start(runner, number)
        start(RunnerStandIn(clock, "worker-0", ledger), 1, OTHER_TASK)
    assert [text for text in ledger.problems if text.startswith(TASK)] == []


@pytest.mark.parametrize(("crashes", "is_reported"), [(0, True), (1, True), (2, False)])
def test_failed_job_is_reported_unless_two_workers_crashed_under_a_task(
    clock, ledger, runner, crashes, is_reported
):
    for number in range(1, crashes + 1):
        start(runner, number)
        runner.crash()
        clock.advance(CRASH_SECONDS)
    ledger.check_state("job1", "failed")
    assert bool(ledger.problems) == is_reported


def test_crashes_under_different_tasks_give_no_cause_to_fail(clock, ledger, runner):
    for task in (TASK, OTHER_TASK):
        start(runner, 1, task)
        runner.crash()
        clock.advance(CRASH_SECONDS)
    ledger.check_state("job1", "failed")
    assert ledger.problems


def test_maintenance_is_no_crash(clock, ledger, runner):
    for number in (1, 2):
        start(runner, number)
        runner.begin_incarnation()
    ledger.check_state("job1", "failed")
    assert ledger.problems


@pytest.mark.parametrize("outcome", ["failed", "stopped", "lapsed", "broken", "alone"])
def test_only_failed_runs_give_cause_to_fail(clock, ledger, runner, outcome):
    for number in range(1, RETRIES + 1):
        ledger.check_state("job1", "active")
        start(runner, number)
        runner.finish(TASK, outcome)
    ledger.check_state("job1", "failed")
    assert bool(ledger.problems) == (outcome != "failed")


def test_failed_runs_of_different_members_fail_a_gang(ledger, runner):
    record_job(ledger, Step(tasks=2, cpu=100, is_gang=True))
    for number in range(1, RETRIES + 1):
        task = (TASK, OTHER_TASK)[number % 2]
        start(runner, number, task)
        runner.finish(task, "failed")
    ledger.check_state("job1", "failed")
    assert ledger.problems == []


@pytest.mark.parametrize("state", ["done", "complete"])
def test_complete_job_is_reported_while_a_task_is_not_done(ledger, runner, state):
    for task in (TASK, OTHER_TASK):
        ledger.check_state("job1", "active")
        assert ledger.problems == []
        ledger.check_state("job1", state)
        assert len(ledger.problems) == 1
        ledger.problems.clear()
        start(runner, 1, task)
        runner.finish(task, "done")
    ledger.check_state("job1", state)
    assert ledger.problems == []


def test_complete_job_is_reported_while_an_occurrence_is_not_done(ledger, runner):
    record_job(ledger, Step(tasks=1, cpu=100), repeats=2)
    start(runner, 1)
    runner.finish(TASK, "done")
    ledger.check_state("job1", "complete")
    assert ledger.problems
