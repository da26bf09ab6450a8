"""Tests of the own load of latency-critical steps and its forecast."""

import math
import random

import pytest

from bergamotshore.core.work.stepload import (
    DEFAULT_VARIANCE,
    MAX_FORECAST_SECONDS,
    StepLoad,
)

NOISE = 0.05
# A step of 24 tasks, each reported every 0.4 s.
REPORT_SECONDS = 0.4 / 24


def get_swinging_load(at):
    return 0.42 + 0.2 * math.sin(2 * math.pi * at / 10.0)


def follow(step_load, get_load, seconds, begin=0.0, noise=NOISE):
    """Feed noisy measurements of a load into the filter."""
    rng = random.Random(begin)
    at = begin
    while at < begin + seconds:
        step_load.predict(at)
        error = get_load(at) + rng.gauss(0.0, noise) - step_load.level
        step_load.correct(error, step_load.variance + NOISE**2)
        at += REPORT_SECONDS
    return at - REPORT_SECONDS


# Guards against speed limits that follow a rising load one report too late: the trend
# has to take off a quarter of the error of the latest level alone.
def test_the_trend_of_a_swinging_load_improves_its_forecast():
    step_load = StepLoad()
    at = follow(step_load, get_swinging_load, 20.0)
    errors, naive_errors = [], []
    for _ in range(600):
        at = follow(step_load, get_swinging_load, REPORT_SECONDS, at + REPORT_SECONDS)
        expected = get_swinging_load(at + 0.6)
        errors.append(abs(step_load.forecast(at + 0.6) - expected))
        naive_errors.append(abs(step_load.level - expected))
    assert sum(errors) < 0.75 * sum(naive_errors)


def test_a_measurement_from_before_the_latest_one_does_not_move_the_filter_back():
    step_load = StepLoad()
    at = follow(step_load, get_swinging_load, 5.0)
    level = step_load.level
    step_load.predict(at - 1.0)
    assert (step_load.level, step_load.at) == (level, at)


def test_a_trend_is_not_extrapolated_far():
    step_load = StepLoad()
    at = follow(step_load, lambda at: 0.1 * at, 5.0, noise=0.0)
    far = step_load.forecast(at + 60.0)
    assert far == step_load.forecast(at + MAX_FORECAST_SECONDS) < 1.0


def test_certainty_is_lost_without_measurements():
    step_load = StepLoad()
    at = follow(step_load, get_swinging_load, 5.0)
    assert step_load.variance < DEFAULT_VARIANCE / 10
    step_load.predict(at + 30.0)
    assert (step_load.variance, step_load.trend) == (DEFAULT_VARIANCE, 0.0)


def test_the_mean_of_a_short_history_covers_all_of_it():
    step_load = StepLoad()
    follow(step_load, lambda at: 0.7, 2.0)
    assert step_load.mean_level == pytest.approx(0.7, abs=0.05)
