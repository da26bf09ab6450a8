"""Slow places: workers on which runs of several jobs take longer than expected.

Unlike ``speed.py``, which compares tasks of one step on different workers, this
compares each run with the estimate of its duration. It also judges a worker whose runs
have no siblings elsewhere.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum
from math import exp, inf, isfinite, log, sqrt
from statistics import median, median_high

from bergamotshore.core.work.fullspeed import (
    MeasuredDuration,
    is_usable,
    measure_running,
)
from bergamotshore.core.work.model import get_queue_name

# A worker whose runs take this many times as long as expected is slow.
SLOW_RATIO = 1.5
# Fewer jobs don't tell whether a worker is slow: long tasks are rare, but a large share
# of those that run at a given time.
MIN_JOBS = 3
# Standard deviations from the median to the high quantile of an estimate, 0.95, and by
# which the ratio has to exceed that of a slow worker.
HIGH_DEVIATIONS = 1.645
# Finished runs tell about the speed of their worker for this time, in seconds.
WINDOW_SECONDS = 5.0
# The median over all places is derived again after this time, in seconds: workers
# report the ends of runs this often.
MEDIAN_INTERVAL_SECONDS = 0.4
# Bounds of the state.
MAX_NODES = 2000
MAX_RUNS_PER_NODE = 16


class Speed(Enum):
    """Speed of a worker compared with others."""

    UNKNOWN = "unknown"
    USUAL = "usual"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Place:
    """What the runs on a worker tell about its speed.

    :param speed: ``Speed``.
    :param ratio: Median ratio of real and expected durations; 0 if too few tell.
    """

    speed: Speed = Speed.UNKNOWN
    ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class Comparison:
    """Duration of a run compared with what was expected.

    :param at: When it ended, in seconds.
    :param job: Key of its job.
    :param ratio: Logarithm of the real by the expected duration.
    :param deviation: Standard deviation of that logarithm.
    """

    at: float
    job: str
    ratio: float
    deviation: float


class PlaceTracker:
    """Comparisons of runs that ended lately, by node."""

    def __init__(self):
        self._comparisons_by_node = OrderedDict()
        self._usual_ratio = 1.0
        self._usual_ratio_at = -inf

    def record_duration(self, node, job, at, sample):
        """Record how a finished run compares with what was expected.

        :param job: Key of its job.
        :param sample: ``SampleAccepted``.
        """
        comparison = _compare(at, job, sample.seconds, sample.estimate)
        if comparison is None:
            return
        comparisons = self._comparisons_by_node.setdefault(
            node, deque(maxlen=MAX_RUNS_PER_NODE)
        )
        self._comparisons_by_node.move_to_end(node)
        comparisons.append(comparison)
        if len(self._comparisons_by_node) > MAX_NODES:
            self._comparisons_by_node.popitem(last=False)

    def is_slow(self, node, now):
        """Return whether the runs that ended lately show that a worker is slow.

        If runs take longer on half of the workers, the estimates are wrong instead.
        """
        place = judge_place(self.list_recent(node, now))
        if place.speed is not Speed.SLOW:
            return False
        return place.ratio >= SLOW_RATIO * self._get_usual_ratio(now)

    def _get_usual_ratio(self, now):
        """Return the median ratio of the workers that can be judged."""
        if not 0.0 <= now - self._usual_ratio_at < MEDIAN_INTERVAL_SECONDS:
            places = [
                judge_place(self.list_recent(node, now))
                for node in self._comparisons_by_node
            ]
            ratios = [place.ratio for place in places if place.ratio > 0.0]
            self._usual_ratio = median_high(ratios) if ratios else 1.0
            self._usual_ratio_at = now
        return self._usual_ratio

    def list_recent(self, node, now):
        """Return the ``Comparison`` objects of runs that ended lately on a node."""
        return [
            comparison
            for comparison in self._comparisons_by_node.get(node, ())
            if now - comparison.at <= WINDOW_SECONDS
        ]


def judge_place(comparisons):
    """Return the ``Place`` that comparisons show; each job counts once.

    Jobs differ in size, so a worker counts as slow only if this doesn't explain it.

    :param comparisons: ``Comparison`` objects of one worker.
    """
    comparisons_by_job = {}
    for comparison in comparisons:
        comparisons_by_job.setdefault(comparison.job, []).append(comparison)
    jobs = len(comparisons_by_job)
    if jobs < MIN_JOBS:
        return Place()
    ratio = median(
        median(item.ratio for item in of_job) for of_job in comparisons_by_job.values()
    )
    deviation = median(item.deviation for item in comparisons)
    margin = HIGH_DEVIATIONS * deviation / sqrt(jobs)
    if ratio >= log(SLOW_RATIO) + margin:
        return Place(Speed.SLOW, exp(ratio))
    is_usual = ratio < log(SLOW_RATIO)
    return Place(Speed.USUAL if is_usual else Speed.UNKNOWN, exp(ratio))


def judge_neighbours(view, worker, run):
    """Return the ``Place`` of a run by the runs of other jobs on its worker.

    :param view: ``PlanView``.
    :param worker: ``WorkerState``.
    :param run: ``Allocation``.
    """
    comparisons = [
        comparison
        for comparison in view.cluster.places.list_recent(worker.node, view.now)
        if comparison.job != run.ref.job
    ]
    for other in worker.allocation_by_key.values():
        is_comparable = not (other.step.is_lasting or other.step.is_gang)
        if is_comparable and other.ref.job != run.ref.job:
            comparison = _compare_running(view, other)
            comparisons += [comparison] if comparison is not None else []
    return judge_place(comparisons)


def _compare_running(view, run):
    """Return the ``Comparison`` of an unfinished run, or None if it tells nothing."""
    job = run.ref.job
    queue = get_queue_name(job)
    estimate = view.cluster.durations.get_estimate(queue, run.step, job)
    match measure_running(run):
        case MeasuredDuration(seconds=seconds):
            return _compare(view.now, job, seconds, estimate)
        case None if run.worked_seconds > estimate.expected:
            # It takes at least as long as it has worked.
            return _compare(view.now, job, run.worked_seconds, estimate)
    return None


def _compare(at, job, seconds, estimate):
    """Return a ``Comparison``, or None if the duration was only declared."""
    is_learned = estimate.samples and is_usable(estimate.expected)
    if not (is_learned and is_usable(seconds) and isfinite(estimate.high)):
        return None
    spread = log(max(1.0, estimate.high / estimate.expected))
    ratio = log(seconds / estimate.expected)
    return Comparison(at, job, ratio, spread / HIGH_DEVIATIONS)
