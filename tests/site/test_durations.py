"""Estimates of durations while declared ones are wrong by ten times either way."""

import itertools
import math
import random

import pytest

from bergamotshore.core.work.cluster import RunOutcome
from bergamotshore.core.work.durations import (
    MAX_JOBS,
    MAX_KINDS,
    DurationEstimate,
    DurationEstimates,
    SampleAccepted,
)
from bergamotshore.core.work.estimatecache import MAX_CACHED, EstimateCache
from bergamotshore.core.work.fullspeed import (
    MeasuredDuration,
    UnusableDuration,
    measure_finished,
    record_work,
)
from bergamotshore.core.work.model import Step, TaskRef
from bergamotshore.core.work.workers import Allocation

QUEUE = "checks"
REPORT_SECONDS = 0.4


def build_run(step, job="job", index=0, number=1, started_at=100.0):
    ref = TaskRef(f"{QUEUE}/{job}", 0, 0, index)
    return Allocation(
        ref=ref,
        name=f"{job}.0.0.{index}",
        number=number,
        step=step,
        born=1,
        stream=object(),
        sent_at=started_at,
        is_started=True,
        started_at=started_at,
    )


def finish(estimates, step, seconds, job="job", index=0, at=200.0):
    run = build_run(step, job, index, started_at=at - seconds)
    return estimates.record_outcome(RunOutcome("node-0", run, "done", at))


def report_until_done(run, seconds, get_speed=lambda at: 1.0, done=0.0):
    """Report a run at each interval until its work is done; return the time of that."""
    now, worked = run.started_at, done * seconds
    while True:
        speed = get_speed(now - run.started_at)
        if worked + speed * REPORT_SECONDS >= seconds:
            return now + (seconds - worked) / speed
        now += REPORT_SECONDS
        worked += speed * REPORT_SECONDS
        run.percent = int(100 * worked / seconds)
        if run.step.is_filling:
            run.usage = speed * run.step.cpu
        record_work(run, now)


def learn_wrong_declarations(estimates, jobs=60, tasks=10, seed=3):
    """Finish jobs of 2 s tasks; declared durations are off by up to ten times."""
    rng = random.Random(seed)
    for number in range(jobs):
        declared = 2.0 * 10 ** rng.uniform(-1.0, 1.0)
        step = Step(tasks=tasks, cpu=500, image="check", estimate=declared)
        for index in range(tasks):
            seconds = 2.0 * rng.lognormvariate(0.0, 0.15)
            seconds *= 7.0 if rng.random() < 0.03 else 1.0
            finish(estimates, step, seconds, f"job{number}", index, 100.0 + number)


@pytest.mark.parametrize("declared", [0.2, 2.0, 20.0])
def test_declared_durations_wrong_by_ten_times_either_way(declared):
    estimates = DurationEstimates(is_enabled=True)
    learn_wrong_declarations(estimates)
    estimate = estimates.get_estimate(
        QUEUE, Step(1, 500, image="check", estimate=declared)
    )
    assert estimate.source == "queue-image"
    assert 1.0 < estimate.expected < 4.0
    assert estimate.expected < estimate.high < 14.0


def test_finished_tasks_of_the_job_correct_its_declared_duration():
    """The factor of the first step holds for the second, three times as long."""
    estimates = DurationEstimates(is_enabled=True)
    learn_wrong_declarations(estimates)
    first = Step(tasks=6, cpu=500, image="check", estimate=1.0)
    for index in range(6):
        finish(estimates, first, 8.0, "large", index)
    second = Step(tasks=6, cpu=500, image="check", estimate=3.0)
    estimate = estimates.get_estimate(QUEUE, second, f"{QUEUE}/large")
    assert estimate.source == "job"
    assert estimate.expected == pytest.approx(24.0, rel=0.3)


def test_declared_durations_that_hold_are_used_within_a_kind():
    estimates = DurationEstimates(is_enabled=True)
    for number in range(40):
        step = Step(1, 500, image="check", estimate=0.5 * 1.15**number)
        finish(estimates, step, 2.0 * step.estimate, f"job{number}", at=1000.0)
    short, long = (
        estimates.get_estimate(QUEUE, Step(1, 500, image="check", estimate=seconds))
        for seconds in (1.0, 30.0)
    )
    assert long.expected > 15 * short.expected


def test_one_job_says_too_little_about_others():
    estimates = DurationEstimates(is_enabled=True)
    step = Step(tasks=30, cpu=500, image="check", estimate=1.0)
    for index in range(30):
        finish(estimates, step, 9.0, "only", index)
    assert estimates.get_estimate(QUEUE, step) == DurationEstimate(1.0, math.inf)


def test_an_unknown_image_is_estimated_from_its_queue_and_size():
    estimates = DurationEstimates(is_enabled=True)
    learn_wrong_declarations(estimates)
    estimate = estimates.get_estimate(QUEUE, Step(1, 400, image="new", estimate=60.0))
    assert estimate.source == "queue-size"
    assert 1.0 < estimate.expected < 4.0
    assert estimates.get_estimate("other", Step(1, 400, estimate=60.0)).expected == 60.0


def test_a_finished_task_leaves_the_estimates_of_other_kinds_as_they_are():
    """A pass asks for hundreds of them, and tasks finish between any two passes."""
    estimates = DurationEstimates(is_enabled=True)
    learn_wrong_declarations(estimates)
    step = Step(tasks=2, cpu=500, image="check", estimate=2.0)
    other = Step(tasks=2, cpu=100, image="other", estimate=2.0)
    near = estimates.get_estimate(QUEUE, step, f"{QUEUE}/open")
    far = estimates.get_estimate("elsewhere", other, "elsewhere/open")
    finish(estimates, step, 9.0, "open", at=200.0)
    assert estimates.get_estimate("elsewhere", other, "elsewhere/open") is far
    assert estimates.get_estimate(QUEUE, step, f"{QUEUE}/open") != near


def test_kept_estimates_are_those_that_would_be_derived():
    rng = random.Random(5)
    kept, derived = (
        DurationEstimates(is_enabled=True),
        DurationEstimates(is_enabled=True),
    )
    for number in range(400):
        image = f"image{rng.randrange(3)}" if rng.random() < 0.8 else ""
        step = Step(4, rng.choice([100, 900]), image=image, estimate=rng.choice([1, 5]))
        job, seconds = f"job{rng.randrange(40)}", rng.lognormvariate(0.0, 0.5)
        for estimates in (kept, derived):
            finish(estimates, step, seconds, job, number, 100.0 + number)
        derived._cache = EstimateCache()
        for size, seen in itertools.product([100, 900], ["image0", "image1", ""]):
            asked = Step(4, size, image=seen, estimate=5)
            expected = derived.get_estimate(QUEUE, asked, f"{QUEUE}/{job}")
            assert kept.get_estimate(QUEUE, asked, f"{QUEUE}/{job}") == expected


def test_kept_estimates_are_bounded():
    cache = EstimateCache()
    for number in range(2 * MAX_CACHED):
        cache.put(number, 1.0, (number % 7, f"job{number}"))
        cache.drop(f"job{number - 3}")
    assert len(cache) <= 3
    assert cache.sources <= 10
    for number in range(2 * MAX_CACHED):
        cache.put(number, 1.0, (f"job{number}",))
    assert len(cache) <= MAX_CACHED
    assert cache.sources <= MAX_CACHED + 10


def test_old_samples_fade():
    estimates = DurationEstimates(is_enabled=True)
    step = Step(1, 500, image="check", estimate=1.0)
    for number in range(40):
        finish(estimates, step, 1.0, f"old{number}", at=100.0)
    for number in range(10):
        finish(estimates, step, 5.0, f"new{number}", at=4000.0)
    assert estimates.get_estimate(QUEUE, step).expected == pytest.approx(5.0, rel=0.01)


def test_a_successor_knows_only_what_is_declared():
    estimate = DurationEstimates(is_enabled=True).get_estimate(
        QUEUE, Step(1, 500, estimate=3.0), "q/j"
    )
    assert estimate == DurationEstimate(3.0, math.inf, 0, "declared")


def test_nothing_is_learned_while_switched_off():
    estimates = DurationEstimates(is_enabled=False)
    learn_wrong_declarations(estimates)
    step = Step(1, 500, image="check", estimate=77.0)
    assert estimates.kinds == 0
    assert estimates.get_estimate(QUEUE, step) == DurationEstimate(77.0, math.inf)


def test_state_is_bounded():
    estimates = DurationEstimates(is_enabled=True)
    for number in range(2 * MAX_JOBS):
        finish(estimates, Step(1, 500, image=f"image{number}"), 1.0, f"job{number}")
    assert estimates.kinds <= MAX_KINDS
    assert len(estimates._samples_by_job) <= MAX_JOBS


@pytest.mark.parametrize("declared", [0.0, -5.0, 1e30, math.inf, math.nan])
def test_bad_declared_durations_count_as_unknown(declared):
    estimates = DurationEstimates(is_enabled=True)
    step = Step(1, 500, image="check", estimate=declared)
    assert estimates.get_estimate(QUEUE, step).expected == 0.0
    for number in range(10):
        finish(estimates, step, 2.0, f"job{number}")
    estimate = estimates.get_estimate(QUEUE, step, f"{QUEUE}/job1")
    assert estimate.expected == pytest.approx(2.0)


@pytest.mark.parametrize("started_at", [1e30, -1e30, 300.0, math.nan])
def test_a_run_with_impossible_times_is_rejected_and_not_learned(started_at):
    estimates = DurationEstimates(is_enabled=True)
    step = Step(1, 500, image="check", estimate=1.0)
    run = build_run(step, started_at=started_at)
    run.percent = 10
    record_work(run, started_at)
    outcome = RunOutcome("node-0", run, "done", 200.0)
    assert estimates.record_outcome(outcome) == UnusableDuration("clock")
    assert estimates.kinds == 0


def test_best_effort_tasks_are_measured_by_their_usage():
    """Speed swings between a quarter and all; the same task takes 4 s at full speed."""
    step = Step(1, 3500, image="tally", is_filling=True)
    run = build_run(step)
    at = report_until_done(run, 4.0, lambda at: 0.25 if at % 4 < 2 else 1.0)
    assert at - run.started_at > 6.0
    measured = measure_finished(run, at)
    assert measured.seconds == pytest.approx(4.0, rel=0.1)


@pytest.mark.parametrize("usage", [-3.0, 1e30, math.inf, math.nan])
def test_a_bad_usage_makes_the_duration_unusable(usage):
    run = build_run(Step(1, 3500, image="tally", is_filling=True))
    at = report_until_done(run, 4.0)
    run.usage = usage
    record_work(run, at)
    assert measure_finished(run, at + 0.1) == UnusableDuration("usage")


def test_a_resumed_run_counts_for_the_share_that_it_did():
    run = build_run(Step(1, 500), number=2)
    at = report_until_done(run, 8.0, done=0.5)
    measured = measure_finished(run, at)
    assert measured.seconds == pytest.approx(8.0, rel=0.1)


def test_a_resumed_run_listed_by_its_node_before_its_worker_counts_for_its_share():
    """Nodes list a run that has just started with a progress of 0."""
    run = build_run(Step(1, 500), number=2)
    record_work(run, run.started_at)
    at = report_until_done(run, 8.0, done=0.5)
    assert measure_finished(run, at).seconds == pytest.approx(8.0, rel=0.1)


def test_a_task_too_short_for_a_report_is_measured_from_its_start():
    run = build_run(Step(1, 500))
    assert measure_finished(run, 100.2).seconds == pytest.approx(0.2)


def test_a_run_found_at_a_takeover_counts_from_its_first_report():
    run = build_run(Step(1, 500))
    at = report_until_done(run, 8.0, done=0.5)
    run.stream = None
    assert measure_finished(run, at) == MeasuredDuration(pytest.approx(8.0, rel=0.1))


def test_the_error_of_an_estimate_is_told():
    sample = finish(
        DurationEstimates(is_enabled=True), Step(1, 500, estimate=10.0), 2.0
    )
    match sample:
        case SampleAccepted(error_seconds=seconds):
            assert seconds == pytest.approx(8.0)
