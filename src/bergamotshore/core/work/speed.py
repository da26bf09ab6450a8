"""Detection of slow workers by comparing durations of tasks of the same step.

Durations declared by jobs are off by up to 0.9, but tasks of one step run the same code
on input of about the same size. A worker is considered slow when its tasks take a
multiple of the time that their siblings take on other workers. Long-running tasks have
no duration, and that of best-effort tasks depends on unused capacity, so neither is
compared.
"""

from dataclasses import dataclass
from statistics import geometric_mean, median

# Time for two reports of a worker, which are sent every 0.4 s and show progress. In
# seconds.
MIN_OBSERVATION_SECONDS = 0.8
# Durations within a step differ by up to a factor of two; slow workers exceed that.
SLOW_RATIO = 2.5
# For a worker with a single comparable run, the ratio must exceed any difference
# between siblings.
SINGLE_RUN_SLOW_RATIO = 4.0
# Least number of siblings on other workers to compare a run with.
MIN_SIBLINGS = 2
# Least time saved for a run to be moved, in seconds: a stop and a start take 0.3 s, the
# rest is a margin for estimation errors.
MIN_GAIN_SECONDS = 0.5
FULL_PERCENT = 100
# A smaller observed share of a task doesn't allow an estimate of its duration.
MIN_OBSERVED_SHARE = 0.2
# Lower bound of the expected duration, in seconds; reports come every 0.4 s.
MIN_TASK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class RunEstimate:
    """A run with its estimated and its expected duration.

    :param node: Node of its worker.
    :param run: ``Allocation``.
    :param duration: Estimated total duration, in seconds.
    :param expected_duration: Median duration of its siblings on other workers, in
        seconds.
    """

    node: str
    run: object
    duration: float
    expected_duration: float

    @property
    def ratio(self):
        """Return the estimated duration divided by the expected one."""
        return self.duration / self.expected_duration

    @property
    def is_worth_moving(self):
        """Return whether it would finish earlier if restarted on another worker."""
        remaining = self.duration * (1.0 - self.run.percent / FULL_PERCENT)
        return remaining > self.expected_duration + MIN_GAIN_SECONDS


@dataclass(frozen=True, slots=True)
class SlowWorker:
    """A worker that works slowly.

    :param node: Its node.
    :param ratio: Factor by which it is slower than other workers.
    :param runs_to_move: ``Allocation`` objects that would finish earlier elsewhere.
    """

    node: str
    ratio: float
    runs_to_move: tuple


class StepDurations:
    """Durations of finished tasks, by step."""

    def __init__(self):
        self._durations_by_step = {}

    def record_fact(self, fact):
        """Record the duration of a finished task from a ``RunOutcome``."""
        run = fact.allocation
        if fact.outcome != "done" or not is_comparable(run):
            return
        share = (FULL_PERCENT - run.first_reported_percent) / FULL_PERCENT
        if share >= MIN_OBSERVED_SHARE:
            durations = self._durations_by_step.setdefault(run.ref.step_key, [])
            durations.append((fact.node, (fact.at - run.first_reported_at) / share))

    def prune(self, live_jobs):
        """Remove the durations of closed jobs.

        :param live_jobs: Keys of all open jobs.
        """
        for key in [key for key in self._durations_by_step if key[0] not in live_jobs]:
            del self._durations_by_step[key]

    def find_slow_workers(self, workers):
        """Return a ``SlowWorker`` for each of the workers that is slow.

        :param workers: Iterable of ``WorkerState``.
        """
        durations_by_step = {key: list(t) for key, t in self._durations_by_step.items()}
        running = [
            estimated for worker in workers for estimated in _estimate_durations(worker)
        ]
        for node, run, duration in running:
            durations_by_step.setdefault(run.ref.step_key, []).append((node, duration))
        estimates_by_node = {}
        for node, run, duration in running:
            siblings = durations_by_step[run.ref.step_key]
            others = [seconds for name, seconds in siblings if name != node]
            if len(others) >= MIN_SIBLINGS:
                expected_duration = max(MIN_TASK_SECONDS, median(others))
                estimate = RunEstimate(node, run, duration, expected_duration)
                estimates_by_node.setdefault(node, []).append(estimate)
        checked = [
            _check_worker(node, estimates)
            for node, estimates in estimates_by_node.items()
        ]
        return [slow for slow in checked if slow is not None]


def is_comparable(run):
    """Return whether the duration of a run can be compared with its siblings'."""
    step = run.step
    is_finite = not (step.is_lasting or step.is_filling or step.is_gang)
    return is_finite and run.first_reported_at > 0.0


def _estimate_durations(worker):
    """Yield node, run and estimated duration of the runs observed for long enough.

    Only progress since the first report of the run counts: it may have resumed from a
    checkpoint, or have been started by an earlier scheduler.
    """
    for run in worker.allocation_by_key.values():
        observed_seconds = worker.reported_at - run.first_reported_at
        if is_comparable(run) and observed_seconds >= MIN_OBSERVATION_SECONDS:
            # The percentage is rounded down.
            share = (run.percent - run.first_reported_percent + 0.5) / FULL_PERCENT
            yield worker.node, run, observed_seconds / share


def _check_worker(node, estimates):
    """Return a ``SlowWorker`` from the estimates of its runs, or None if not slow."""
    ratio = geometric_mean([max(estimate.ratio, 0.01) for estimate in estimates])
    is_slow = ratio >= (SLOW_RATIO if len(estimates) > 1 else SINGLE_RUN_SLOW_RATIO)
    if not is_slow:
        return None
    return SlowWorker(
        node,
        ratio,
        tuple(estimate.run for estimate in estimates if estimate.is_worth_moving),
    )
