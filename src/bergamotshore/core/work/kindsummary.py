"""Summary of the durations of finished tasks of one kind.

Logarithms are used throughout: durations differ by factors. Each job counts alike,
however many tasks it has, and older samples count less.
"""

from dataclasses import dataclass
from statistics import median

# Programs and their input change over days and loads over minutes; a sample counts half
# after this time, in seconds.
HALF_LIFE_SECONDS = 600.0
HIGH_QUANTILE = 0.95
# Variance times jobs from which declared durations are believed by half. Fewer jobs, or
# declarations that hardly differ, don't show whether they mean anything.
SLOPE_PRIOR = 1.0
# Smaller groups of tasks of one job don't show how these differ.
MIN_TASKS_TO_COMPARE = 3


@dataclass(frozen=True, slots=True)
class DurationSample:
    """Duration of one finished task.

    :param job: Key of its job.
    :param at: When it ended, in seconds.
    :param log: Logarithm of its duration at full speed, in seconds.
    :param declared_log: That of the declared duration; None if there is none.
    """

    job: str
    at: float
    log: float
    declared_log: float | None


@dataclass(frozen=True, slots=True)
class KindSummary:
    """What the finished tasks of a kind tell about the next one.

    :param jobs: Number of jobs, each weighted by its age.
    :param samples: Number of tasks.
    :param middle: Logarithm of the median duration, at the mean declared one.
    :param high: What the high quantile exceeds the median by, as a logarithm.
    :param high_within_job: The same for tasks of one job.
    :param slope: How far real durations follow the declared ones, 0 to 1.
    :param declared_middle: Logarithm of the mean declared duration.
    :param declared_range: Smallest and largest logarithm of a declared duration.
    """

    jobs: float
    samples: int
    middle: float
    high: float
    high_within_job: float
    slope: float
    declared_middle: float
    declared_range: tuple

    def predict(self, declared_log):
        """Return the logarithm of the median duration of a task.

        :param declared_log: That of its declared duration; None if there is none.
        """
        if declared_log is None:
            return self.middle
        low, high = self.declared_range
        # Nothing is known outside of the durations that were declared so far.
        known_log = min(high, max(low, declared_log))
        return self.middle + self.slope * (known_log - self.declared_middle)


def summarize(samples, now):
    """Return the ``KindSummary`` of samples.

    :param samples: Non-empty iterable of ``DurationSample``.
    :param now: Current time, in seconds.
    """
    samples_by_job = {}
    for sample in samples:
        samples_by_job.setdefault(sample.job, []).append(sample)
    weighted = []
    jobs = 0.0
    for of_job in samples_by_job.values():
        ages = [0.5 ** ((now - sample.at) / HALF_LIFE_SECONDS) for sample in of_job]
        jobs += max(ages)
        weighted += [
            (sample, age / len(of_job))
            for sample, age in zip(of_job, ages, strict=True)
        ]
    declared = [
        (sample, weight)
        for sample, weight in weighted
        if sample.declared_log is not None
    ]
    slope, declared_middle = _get_slope(declared, jobs)
    residuals = [
        (sample.log - slope * _get_offset(sample, declared_middle), weight)
        for sample, weight in weighted
    ]
    middle = get_quantile(residuals, 0.5)
    high = get_quantile(residuals, HIGH_QUANTILE) - middle
    logs = [sample.declared_log for sample, _ in declared] or [0.0]
    return KindSummary(
        jobs,
        len(weighted),
        middle,
        high,
        _get_high_within_job(samples_by_job.values(), high),
        slope,
        declared_middle,
        (min(logs), max(logs)),
    )


def get_quantile(weighted, share):
    """Return the weighted quantile of pairs of value and weight."""
    ordered = sorted(weighted)
    limit = share * sum(weight for _, weight in ordered)
    reached = 0.0
    for value, weight in ordered:
        reached += weight
        if reached >= limit:
            return value
    return ordered[-1][0]


def _get_offset(sample, declared_middle):
    if sample.declared_log is None:
        return 0.0
    return sample.declared_log - declared_middle


def _get_slope(declared, jobs):
    """Return how far real durations follow the declared ones, and the mean of these.

    Least squares, with a prior for no relation.
    """
    total = sum(weight for _, weight in declared)
    if total <= 0.0:
        return 0.0, 0.0
    declared_middle = sum(s.declared_log * weight for s, weight in declared) / total
    middle = sum(sample.log * weight for sample, weight in declared) / total
    variance = covariance = 0.0
    for sample, weight in declared:
        offset = sample.declared_log - declared_middle
        variance += weight * offset**2
        covariance += weight * offset * (sample.log - middle)
    scale = jobs / total
    slope = scale * covariance / (scale * variance + SLOPE_PRIOR)
    return min(1.0, max(0.0, slope)), declared_middle


def _get_high_within_job(groups, otherwise):
    """Return what the high quantile of a job's tasks exceeds their median by."""
    deviations = []
    for of_job in groups:
        if len(of_job) >= MIN_TASKS_TO_COMPARE:
            middle = median(sample.log for sample in of_job)
            deviations += [(sample.log - middle, 1.0) for sample in of_job]
    return get_quantile(deviations, HIGH_QUANTILE) if deviations else otherwise
