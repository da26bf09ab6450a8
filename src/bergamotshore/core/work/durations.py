"""Estimates of how long tasks take, from finished tasks of the same kind.

A kind is a queue and an image; where too few jobs of it are known, the image in any
queue, the queue and the size of the task, or the whole queue. Within a kind, durations
spread for two reasons that are kept apart: jobs differ in size, and tasks of one job
differ among themselves. A job with finished tasks is therefore estimated mostly from
these.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from math import exp, inf, log
from statistics import median

from bergamotshore.core.work.estimatecache import EstimateCache
from bergamotshore.core.work.fullspeed import (
    MeasuredDuration,
    UnusableDuration,
    is_usable,
    measure_finished,
)
from bergamotshore.core.work.kindsummary import DurationSample, summarize
from bergamotshore.core.work.model import get_queue_name

DECLARED = "declared"
# Fewer jobs of a kind, each weighted by its age, say too little about the next one.
MIN_JOBS = 3
# Bounds of the state: a sample takes about 150 bytes and belongs to at most 4 kinds.
MAX_KINDS = 128
MAX_SAMPLES_PER_KIND = 128
MAX_JOBS = 1000
MAX_SAMPLES_PER_JOB = 32
# A kind is summarized again after this share of its samples is new.
NEW_SHARE = 0.125
# Number of finished tasks of a job that say as much about the rest of it as all other
# jobs of its kind do.
KIND_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Expected duration of a task at full speed.

    :param expected: Median, in seconds; 0 when nothing is known.
    :param high: Duration that few tasks of its kind exceed, in seconds; infinite when
        too little is known.
    :param samples: Number of finished tasks behind it; 0 when it is as declared.
    :param source: What it is derived from: declared, job, or the kind, which is one of
        queue-image, image, queue-size and queue.
    """

    expected: float
    high: float
    samples: int = 0
    source: str = DECLARED


@dataclass(frozen=True, slots=True)
class SampleAccepted:
    """The duration of a finished task was learned.

    :param seconds: Duration at full speed, in seconds.
    :param estimate: ``DurationEstimate`` of the task before that.
    """

    seconds: float
    estimate: DurationEstimate

    @property
    def error_seconds(self):
        """Return the difference between real and expected duration, in seconds."""
        return abs(self.seconds - self.estimate.expected)


@dataclass(slots=True)
class Kind:
    """Samples of one kind and their summary.

    :param samples: Latest ``DurationSample`` objects.
    :param summary: ``KindSummary``; None before the first use.
    :param new_samples: Number of samples that the summary lacks.
    """

    samples: deque = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES_PER_KIND))
    summary: object = None
    new_samples: int = 0

    @property
    def is_due(self):
        """Return whether the samples have to be summarized again before use."""
        return self.summary is None or self.new_samples > NEW_SHARE * len(self.samples)


class DurationEstimates:
    """Durations of finished tasks, by kind of task and by job.

    :param is_enabled: Whether durations are learned; otherwise the declared ones are
        returned.
    """

    def __init__(self, is_enabled=False):
        self.is_enabled = is_enabled
        self._kind_by_key = OrderedDict()
        self._samples_by_job = OrderedDict()
        self._latest_at = 0.0
        self._cache = EstimateCache()

    @property
    def kinds(self):
        """Return the number of kinds that samples are kept of."""
        return len(self._kind_by_key)

    def record_outcome(self, outcome, is_slow_place=False):
        """Record how long a finished run has worked.

        :param outcome: ``RunOutcome``.
        :param is_slow_place: Whether its worker is slow, so that the duration says
            nothing about others and is only compared.
        :returns: ``SampleAccepted``; ``UnusableDuration`` if a figure is wrong; None
            for a run that tells no duration.
        """
        run = outcome.allocation
        is_measured = not (run.step.is_lasting or run.step.is_gang)
        if not (self.is_enabled and is_measured and outcome.outcome == "done"):
            return None
        queue = get_queue_name(run.ref.job)
        match measure_finished(run, outcome.at):
            case MeasuredDuration(seconds=seconds):
                estimate = self.get_estimate(queue, run.step, run.ref.job)
                if not is_slow_place:
                    self._add_sample(queue, run, seconds, outcome.at)
                return SampleAccepted(seconds, estimate)
            case UnusableDuration() as unusable:
                return unusable
        return None

    def _add_sample(self, queue, run, seconds, at):
        self._latest_at = max(self._latest_at, at)
        sample = DurationSample(run.ref.job, at, log(seconds), _get_log(run.step))
        for _, key in _list_keys(queue, run.step):
            kind = self._kind_by_key.setdefault(key, Kind())
            self._kind_by_key.move_to_end(key)
            kind.samples.append(sample)
            kind.new_samples += 1
            if kind.is_due:
                self._cache.drop(key)
        of_job = self._samples_by_job.setdefault(
            run.ref.job, deque(maxlen=MAX_SAMPLES_PER_JOB)
        )
        self._samples_by_job.move_to_end(run.ref.job)
        of_job.append(sample)
        self._cache.drop(run.ref.job)
        for key in _drop_oldest(self._kind_by_key, MAX_KINDS):
            self._cache.drop(key)
        for job in _drop_oldest(self._samples_by_job, MAX_JOBS):
            self._cache.drop(job)

    def get_estimate(self, queue, step, job_key=None):
        """Return the ``DurationEstimate`` of a task, as declared if little is known.

        :param queue: Name of the queue of its job.
        :param step: ``Step``.
        :param job_key: Key of its job, whose finished tasks then count most.
        """
        if not self.is_enabled or step.is_lasting:
            return DurationEstimate(step.estimate, inf)
        key = (queue, job_key, step.image, step.cpu, step.estimate)
        estimate = self._cache.get(key)
        if estimate is None:
            source, kind, keys = self._find_kind(queue, step)
            estimate = self._estimate(step, job_key, source, kind)
            self._cache.put(key, estimate, (job_key, *keys))
        return estimate

    def _estimate(self, step, job_key, source, kind):
        declared_log = _get_log(step)
        own = self._get_own_log(job_key, declared_log)
        if kind is None:
            return _estimate_without_kind(own, step)
        kind_log = kind.predict(declared_log)
        if own is None:
            return DurationEstimate(
                exp(kind_log), exp(kind_log + kind.high), kind.samples, source
            )
        own_log, samples = own
        weight = samples / (samples + KIND_WEIGHT)
        expected_log = weight * own_log + (1.0 - weight) * kind_log
        high = weight * kind.high_within_job + (1.0 - weight) * kind.high
        return DurationEstimate(
            exp(expected_log), exp(expected_log + high), samples, "job"
        )

    def _find_kind(self, queue, step):
        """Return the closest known kind of a step.

        :returns: Code, ``KindSummary`` or None, and the keys of the kinds tried.
        """
        keys = []
        for source, key in _list_keys(queue, step):
            keys.append(key)
            kind = self._kind_by_key.get(key)
            if kind is None:
                continue
            if kind.is_due:
                kind.summary = summarize(kind.samples, self._latest_at)
                kind.new_samples = 0
            if kind.summary.jobs >= MIN_JOBS:
                return source, kind.summary, keys
        return DECLARED, None, keys

    def _get_own_log(self, job_key, declared_log):
        """Return what the finished tasks of a job tell about another one of it.

        The declared duration of a job is off by one factor for all of its steps.

        :returns: Pair of the logarithm of a duration and the number of tasks, or None.
        """
        samples = self._samples_by_job.get(job_key)
        if not samples:
            return None
        if declared_log is None:
            return median(sample.log for sample in samples), len(samples)
        ratios = [
            sample.log - sample.declared_log
            for sample in samples
            if sample.declared_log is not None
        ]
        return (declared_log + median(ratios), len(ratios)) if ratios else None


def _estimate_without_kind(own, step):
    """Return the ``DurationEstimate`` when no kind of a step is known."""
    if own is not None:
        own_log, samples = own
        return DurationEstimate(exp(own_log), inf, samples, "job")
    return DurationEstimate(step.estimate if is_usable(step.estimate) else 0.0, inf)


def _get_log(step):
    """Return the logarithm of the declared duration, None if it can't be believed."""
    return log(step.estimate) if is_usable(step.estimate) else None


def _list_keys(queue, step):
    """Return pairs of code and key of the kinds of a step, the closest one first."""
    # Sizes within a factor of two count as one.
    size = step.cpu.bit_length()
    keys = [("queue-size", (queue, None, size)), ("queue", (queue, None, None))]
    if step.image:
        images = [("queue-image", (queue, step.image, None))]
        keys = [*images, ("image", (None, step.image, None)), *keys]
    return keys


def _drop_oldest(ordered, limit):
    """Drop the first items beyond a number of them; return their keys."""
    excess = range(len(ordered) - limit)
    return [ordered.popitem(last=False)[0] for _ in excess]
