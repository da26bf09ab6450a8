"""The checks of the ledger: each one fires on a violation and on nothing else."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.platform.operator import encode_wave_status, get_wave_status_id
from bergamotshore.ports.rows import Put
from bergamotshore.ports.runner import Acknowledgement, RunOrder
from standins.ledger import (
    CANCEL_SECONDS,
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    EVACUATE_SECONDS,
    MAX_CRASHES,
    MAX_STARTS_AFTER_CRASHES,
    STOP_SECONDS,
    Ledger,
)
from standins.machines import MachinesStandIn
from standins.site import (
    CRASH_SECONDS,
    LONGEST_HOLD_SECONDS,
    REDUCTION_NOTICE_SECONDS,
    SERVICE,
    Capacity,
    RowsStandIn,
    RunnerStandIn,
)

TASK = "job1.0.0.0"
OTHER_TASK = "job1.0.0.1"
ZONE = "zone-0"
RETRIES = 3
CPU, MEMORY, ACCELERATORS = 8000, 2000, 2
# Half of a worker with that capacity.
HALF = Step(tasks=4, cpu=4000, memory=1000, accelerators=1)
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


def start(runner, number, task=TASK, payload="", checkpoint=""):
    order = RunOrder(task, number, payload, checkpoint, "")
    runner.update()
    return runner.start(order, runner.clock_ms + 5000, 1, runner.incarnation)


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


def test_failed_runs_of_a_long_running_task_give_no_cause_to_fail(ledger, runner):
    record_job(ledger, Step(tasks=1, cpu=100, is_lasting=True))
    for number in range(1, RETRIES + 2):
        start(runner, number)
        runner.finish(TASK, "failed")
    ledger.check_state("job1", "failed")
    assert len(ledger.problems) == 1


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


@pytest.fixture
def small_runner(ledger, runner):
    """Return a worker that is full with two of the tasks."""
    record_job(ledger, HALF)
    runner.capacity = Capacity(CPU, MEMORY, ACCELERATORS)
    return runner


@pytest.mark.parametrize(
    "surplus", [{"cpu": 4001}, {"memory": 1001}, {"accelerators": 2}]
)
def test_start_over_any_part_of_the_capacity_is_reported(ledger, small_runner, surplus):
    start(small_runner, 1)
    start(small_runner, 1, OTHER_TASK)
    assert ledger.problems == []
    record_job(ledger, replace(HALF, **surplus))
    small_runner.finish(TASK, "failed")
    start(small_runner, 2)
    assert len(ledger.problems) == 1


@pytest.mark.parametrize(
    ("seconds", "is_reported"),
    [(REDUCTION_NOTICE_SECONDS - 0.1, False), (REDUCTION_NOTICE_SECONDS, True)],
)
@pytest.mark.parametrize(
    "reduction", [{"cpu": 7999}, {"memory": 1999}, {"accelerators": 1}]
)
def test_start_over_a_reduced_capacity_is_reported_once_it_can_be_known(
    clock, ledger, small_runner, seconds, is_reported, reduction
):
    start(small_runner, 1)
    small_runner.resize(**reduction)
    clock.advance(seconds)
    start(small_runner, 1, OTHER_TASK)
    assert bool(ledger.problems) == is_reported


def test_each_of_several_reductions_counts_from_its_own_moment(
    clock, ledger, small_runner
):
    small_runner.resize(cpu=4000)
    clock.advance(REDUCTION_NOTICE_SECONDS - 0.1)
    small_runner.resize(cpu=1000)
    clock.advance(0.1)
    start(small_runner, 1)
    assert ledger.problems == []
    start(small_runner, 1, OTHER_TASK)
    assert len(ledger.problems) == 1


def test_capacity_that_grew_again_may_be_used_at_once(clock, ledger, small_runner):
    start(small_runner, 1)
    small_runner.resize(cpu=4000)
    clock.advance(2 * REDUCTION_NOTICE_SECONDS)
    small_runner.resize(cpu=CPU)
    start(small_runner, 1, OTHER_TASK)
    assert ledger.problems == []


def test_runs_that_keep_running_on_a_reduced_worker_are_allowed(
    clock, ledger, small_runner
):
    start(small_runner, 1)
    start(small_runner, 1, OTHER_TASK)
    small_runner.resize(cpu=1000, memory=500, accelerators=0)
    clock.advance(REDUCTION_NOTICE_SECONDS)
    small_runner.update()
    assert ledger.problems == []


def test_best_effort_task_uses_memory_but_no_processors(ledger, small_runner):
    start(small_runner, 1)
    start(small_runner, 1, OTHER_TASK)
    record_job(ledger, Step(tasks=3, cpu=4000, is_filling=True))
    start(small_runner, 1, "job1.0.0.2")
    assert ledger.problems == []
    record_job(ledger, replace(HALF, is_filling=True, accelerators=0))
    start(small_runner, 1, "job1.0.0.3")
    assert len(ledger.problems) == 1


def test_run_that_is_being_stopped_uses_capacity(clock, ledger, small_runner):
    small_runner.stop_seconds = 0.5
    for task in (TASK, OTHER_TASK):
        start(small_runner, 1, task)
    small_runner.stop(TASK, 1, 1)
    clock.advance(0.4)
    start(small_runner, 1, "job1.0.0.2")
    assert ledger.problems
    ledger.problems.clear()
    small_runner.finish("job1.0.0.2", "failed")
    clock.advance(0.1)
    start(small_runner, 2, "job1.0.0.2")
    assert ledger.problems == []


def test_capacity_of_a_new_incarnation_counts_at_once(ledger, small_runner):
    small_runner.resize(cpu=4000)
    small_runner.restart()
    start(small_runner, 1)
    start(small_runner, 1, OTHER_TASK)
    assert len(ledger.problems) == 1


def acknowledge_drain(ledger, runner):
    runner.is_draining = True
    ledger.record_heartbeat(runner.build_report(ZONE), runner.clock.now())


def close_zone(ledger, runner):
    ledger.record_closed_zone(ZONE, runner.clock.now())


def cancel_job(ledger, runner):
    ledger.record_cancellation("job1", runner.clock.now())


PROHIBITIONS = [
    (acknowledge_drain, DRAIN_SECONDS),
    (close_zone, EVACUATE_SECONDS),
    (cancel_job, CANCEL_SECONDS),
]


@pytest.fixture
def zone_runner(runner):
    runner.zone = ZONE
    return runner


@pytest.mark.parametrize(("prohibit", "seconds"), PROHIBITIONS)
@pytest.mark.parametrize("surplus", [0.0, 0.1])
def test_start_is_reported_once_its_prohibition_can_be_known(
    clock, ledger, zone_runner, prohibit, seconds, surplus
):
    prohibit(ledger, zone_runner)
    clock.advance(seconds + surplus)
    prohibit(ledger, zone_runner)
    start(zone_runner, 1)
    assert len(ledger.problems) == (surplus > 0)


@pytest.mark.parametrize(("prohibit", "seconds"), PROHIBITIONS)
def test_start_that_the_worker_carries_out_late_is_allowed(
    clock, ledger, zone_runner, prohibit, seconds
):
    zone_runner.faults = ["late"]
    order = RunOrder(TASK, 1, "", "", "")
    zone_runner.start(order, zone_runner.clock_ms + 6000, 1, zone_runner.incarnation)
    prohibit(ledger, zone_runner)
    clock.advance(seconds + 0.1)
    zone_runner.run_late()
    assert len(ledger.starts) == 1
    assert ledger.problems == []


def test_start_is_allowed_once_its_prohibition_is_taken_back(
    clock, ledger, zone_runner
):
    close_zone(ledger, zone_runner)
    acknowledge_drain(ledger, zone_runner)
    clock.advance(EVACUATE_SECONDS + 1.0)
    ledger.record_opened_zone(ZONE)
    zone_runner.is_draining = False
    ledger.record_heartbeat(zone_runner.build_report(ZONE), clock.now())
    start(zone_runner, 1)
    assert ledger.problems == []


def test_drain_of_a_former_incarnation_does_not_count(clock, ledger, zone_runner):
    acknowledge_drain(ledger, zone_runner)
    zone_runner.restart()
    zone_runner.is_draining = False
    clock.advance(DRAIN_SECONDS + 0.1)
    start(zone_runner, 1)
    assert ledger.problems == []


def test_start_in_another_data_centre_is_allowed(clock, ledger, zone_runner):
    ledger.record_closed_zone("other", clock.now())
    clock.advance(EVACUATE_SECONDS + 0.1)
    start(zone_runner, 1)
    assert ledger.problems == []


@pytest.mark.parametrize("attempts", [[True], [True, False], [False], [True, True]])
def test_start_of_a_refused_job_is_reported(ledger, runner, attempts):
    for is_refused in attempts:
        ledger.record_submission("job1", is_refused)
    start(runner, 1)
    assert bool(ledger.problems) == all(attempts)


def test_start_with_another_payload_is_reported(ledger, runner):
    start(runner, 1, payload="other")
    assert len(ledger.problems) == 1


@pytest.mark.parametrize("is_gang", [False, True])
def test_start_with_a_foreign_checkpoint_is_reported(clock, ledger, runner, is_gang):
    """Members of a gang share their checkpoints."""
    step = Step(tasks=2, cpu=100, has_checkpoints=True, is_gang=is_gang)
    record_job(ledger, step)
    start(runner, 1)
    clock.advance(1.0)
    runner.stop(TASK, 1, 1)
    checkpoint = runner.ends[0].checkpoint
    assert checkpoint
    start(runner, 2, checkpoint=checkpoint)
    assert ledger.problems == []
    start(runner, 2, OTHER_TASK, checkpoint=checkpoint)
    assert bool(ledger.problems) == (not is_gang)


@pytest.mark.parametrize(("label", "is_reported"), [("a", False), ("b", True)])
def test_start_without_the_required_label_is_reported(
    ledger, runner, label, is_reported
):
    record_job(ledger, Step(tasks=1, cpu=100, label=label))
    start(runner, 1)
    assert bool(ledger.problems) == is_reported


@pytest.mark.parametrize(("limit", "is_reported"), [(0, False), (1, True), (2, False)])
def test_start_beyond_the_limit_per_worker_is_reported(
    ledger, runner, limit, is_reported
):
    record_job(ledger, Step(tasks=2, cpu=100, per_worker=limit))
    start(runner, 1)
    start(runner, 1, OTHER_TASK)
    assert bool(ledger.problems) == is_reported


@pytest.mark.parametrize("is_done", [False, True])
def test_wave_reported_as_complete_without_a_vm_is_reported(
    clock, ledger, runner, is_done
):
    store = RowsStandIn()
    machines = MachinesStandIn(clock, {"node-0": runner}, ledger)
    machines.machines_by_wave[1] = {runner.machine}
    machines.check_wave_status(store)
    store.write([Put(get_wave_status_id(1), encode_wave_status(False))], [])
    machines.check_wave_status(store)
    assert ledger.problems == []
    if is_done:
        machines.order_maintenance(runner.machine, 1, "holder", 1)
    store.write([Put(get_wave_status_id(1), encode_wave_status(True))], [])
    machines.check_wave_status(store)
    assert bool(ledger.problems) == (not is_done)


@pytest.mark.parametrize(("surplus", "is_reported"), [(0.0, False), (0.1, True)])
def test_run_that_outlasts_its_cancelled_job_is_reported_once(
    clock, ledger, runner, surplus, is_reported
):
    start(runner, 1)
    ledger.record_cancellation("job1", clock.now())
    clock.advance(CANCEL_SECONDS + STOP_SECONDS + surplus)
    for _ in range(2):
        ledger.check_cancelled_runs(clock.now())
    assert len(ledger.problems) == is_reported


def test_run_of_a_cancelled_job_is_not_reported_once_it_has_ended(
    clock, ledger, runner
):
    start(runner, 1)
    ledger.record_cancellation("job1", clock.now())
    runner.stop(TASK, 1, 1)
    clock.advance(2 * CANCEL_SECONDS)
    ledger.check_cancelled_runs(clock.now())
    assert ledger.problems == []


def test_run_started_late_for_a_cancelled_job_has_time_to_be_found(
    clock, ledger, runner
):
    ledger.record_cancellation("job1", clock.now())
    runner.faults = ["late"]
    start(runner, 1)
    clock.advance(CANCEL_SECONDS)
    runner.run_late()
    clock.advance(CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS)
    ledger.check_cancelled_runs(clock.now())
    assert ledger.problems == []
    clock.advance(0.1)
    ledger.check_cancelled_runs(clock.now())
    assert len(ledger.problems) == 1


@pytest.mark.parametrize(("surplus", "is_reported"), [(0.0, False), (0.1, True)])
def test_run_of_a_cancelled_job_is_reported_after_a_period_without_faults(
    clock, surplus, is_reported
):
    harmed_at = clock.now() + 2 * CANCEL_SECONDS
    ledger = Ledger(get_harmed_at=lambda runner: min(clock.now(), harmed_at))
    record_job(ledger)
    start(RunnerStandIn(clock, "worker-0", ledger), 1)
    ledger.record_cancellation("job1", clock.now())
    clock.advance(2 * CANCEL_SECONDS)
    ledger.check_cancelled_runs(clock.now())
    assert ledger.problems == []
    clock.advance(CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + surplus)
    ledger.check_cancelled_runs(clock.now())
    assert len(ledger.problems) == is_reported


# Guards against a worker that obeys a stop with an old fence, as none does.
@pytest.mark.parametrize(("fence", "is_stopped"), [(0, False), (1, True), (2, True)])
def test_worker_ignores_a_stop_with_a_lower_fence(ledger, runner, fence, is_stopped):
    start(runner, 1)
    runner.stop(TASK, 1, fence)
    assert bool(ledger.live) != is_stopped


@pytest.mark.parametrize(
    ("fault", "is_stopped_at_once", "is_stopped_later"),
    [("lost", True, True), ("late", False, True), ("silent", False, False)],
)
def test_stop_without_an_answer_is_obeyed_at_once_or_late_or_never(
    ledger, runner, fault, is_stopped_at_once, is_stopped_later
):
    start(runner, 1)
    runner.stop_faults = [fault]
    assert isinstance(runner.stop(TASK, 1, 1), Failure)
    assert bool(ledger.live) != is_stopped_at_once
    runner.run_late()
    assert bool(ledger.live) != is_stopped_later


# A run that has ended as done counts from then on, also if its end is acknowledged only
# after another start of its task.
@pytest.mark.parametrize(
    ("fields", "is_reported"),
    [({}, True), ({"is_speculative": True}, False), ({"is_lasting": True}, False)],
)
def test_start_between_an_end_as_done_and_its_acknowledgement_is_reported(
    clock, ledger, runner, fields, is_reported
):
    record_job(ledger, Step(tasks=2, cpu=4000, memory=100, **fields))
    start(runner, 1)
    runner.finish(TASK, "done")
    start(RunnerStandIn(clock, "worker-1", ledger), 2)
    runner.renew_lease(None, 1, Acknowledgement(runner.born, 1), 0)
    assert bool(ledger.problems) == is_reported


# The end of a run whose lease has lapsed before it was acknowledged doesn't count.
def test_start_after_an_end_that_lapsed_is_allowed(clock, ledger, runner):
    record_job(ledger)
    start(runner, 1)
    runner.finish(TASK, "done")
    clock.advance(LONGEST_HOLD_SECONDS)
    start(RunnerStandIn(clock, "worker-1", ledger), 2)
    runner.renew_lease(None, 1, Acknowledgement(runner.born, 1), 0)
    assert ledger.problems == []


# Calls without an answer are carried out late by whatever life of the worker is there.
def test_late_calls_reach_the_next_life(ledger, runner):
    record_job(ledger)
    runner.faults, runner.renewal_faults = ["late"], ["late"]
    start(runner, 1)
    longest_ms = runner.clock_ms + 1000 * 60
    runner.renew_lease(longest_ms, 1, Acknowledgement(runner.born, 0), 0)
    runner.restart()
    runner.run_late()
    assert runner.run_by_task == {TASK: 1}
    assert runner.lease_end_ms == runner.clock_ms + 1000 * LONGEST_HOLD_SECONDS
