"""How long a run has worked or would have worked at full speed.

The speed of a best-effort run varies with what other tasks leave. Its processors in
use, as the worker reports them, are integrated over its reports. Any other run counts
as running at full speed.
"""

import math
from dataclasses import dataclass

FULL_PERCENT = 100
# A smaller observed share of a task doesn't allow an estimate of its duration.
MIN_OBSERVED_SHARE = 0.2
# Below this mean speed, the error of the reported figures exceeds what they tell.
MIN_MEAN_SPEED = 0.15
# Shortest and longest duration that is believed, in seconds: a report takes longer than
# the one, and no finite task runs for a month.
MIN_SECONDS = 0.01
MAX_SECONDS = 30 * 86400.0
# A start is confirmed within this time unless messages were lost, in seconds.
MAX_START_SECONDS = 1.0
# Usage that exceeds the requested processors by more is no figure of this run.
MAX_USAGE_RATIO = 4.0


@dataclass(frozen=True, slots=True)
class MeasuredDuration:
    """Duration of a task at full speed.

    :param seconds: Duration, in seconds.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class UnusableDuration:
    """A duration that can't be derived, because a figure is wrong.

    :param reason: Code of the figure: clock, percent or usage.
    """

    reason: str


def is_usable(seconds):
    """Return whether a declared or measured duration can be believed."""
    return 0.0 < seconds <= MAX_SECONDS


def get_speed(run):
    """Return the share of full speed at which a run works, 0 to 1; NaN if unknown.

    :param run: ``Allocation``.
    """
    if not run.step.is_filling:
        return 1.0
    if run.usage == 0.0 or run.step.cpu <= 0:
        limit = run.throttle_percent
        return math.nan if limit is None else limit / FULL_PERCENT
    ratio = run.usage / run.step.cpu
    return min(1.0, ratio) if 0.0 < ratio <= MAX_USAGE_RATIO else math.nan


def record_work(run, now):
    """Add the work since the last report of a run, updated from this report.

    A figure that can't be believed makes the sum NaN for the rest of the run.

    :param run: ``Allocation``.
    """
    if run.worked_from:
        run.worked_seconds += get_speed(run) * (now - run.worked_until)
    elif run.percent == 0 and run.number > 1:
        # Its node tells this until the worker lists it; it may have resumed.
        return
    else:
        run.worked_from, run.worked_from_percent = now, run.percent
    run.worked_until = now


def measure_finished(run, at):
    """Return how long a run that is done took at full speed.

    :param run: ``Allocation``.
    :param at: When it ended, in seconds.
    :returns: ``MeasuredDuration``, ``UnusableDuration`` or, if too little of the run
        was observed, None.
    """
    if _is_observed_from_start(run):
        return _check_seconds(at - run.started_at)
    if run.worked_from == 0.0:
        return None
    worked_seconds = run.worked_seconds + get_speed(run) * (at - run.worked_until)
    return _extrapolate(run, worked_seconds, FULL_PERCENT, at)


def measure_running(run):
    """Return how long an unfinished run takes in all, by its progress so far.

    :param run: ``Allocation``.
    :returns: As ``measure_finished``.
    """
    if run.worked_from == 0.0:
        return None
    # The percentage is rounded down.
    return _extrapolate(run, run.worked_seconds, run.percent + 0.5, run.worked_until)


def _is_observed_from_start(run):
    """Return whether the time since its start is that of the whole task.

    A first run can't have resumed. One that an earlier scheduler started has no stream
    and is known to this one from its first report on.
    """
    is_start_known = (
        run.stream is not None
        and run.started_at > 0.0
        and run.started_at - run.sent_at <= MAX_START_SECONDS
    )
    return run.number == 1 and is_start_known and not run.step.is_filling


def _extrapolate(run, worked_seconds, percent, at):
    if not 0 <= run.worked_from_percent <= percent <= FULL_PERCENT + 0.5:
        return UnusableDuration("percent")
    if not 0.0 <= at - run.worked_from <= MAX_SECONDS:
        return UnusableDuration("clock")
    if math.isnan(worked_seconds):
        return UnusableDuration("usage")
    share = (percent - run.worked_from_percent) / FULL_PERCENT
    is_slow = worked_seconds < MIN_MEAN_SPEED * (at - run.worked_from)
    if share < MIN_OBSERVED_SHARE or is_slow:
        return None
    return _check_seconds(worked_seconds / share)


def _check_seconds(seconds):
    if not 0.0 <= seconds <= MAX_SECONDS:
        return UnusableDuration("clock")
    return MeasuredDuration(max(MIN_SECONDS, seconds))
