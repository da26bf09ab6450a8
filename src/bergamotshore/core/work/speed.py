"""Workers that turned slow, found by how long tasks of the same step take elsewhere.

What a job declares of durations is off by up to 0.9, but tasks of one step run the same
code on input of about the same size. A worker counts as slow when its tasks need a
multiple of what their siblings need on other workers. Tasks that last have no duration,
and that of filling tasks depends on what others leave unused, so neither is judged.
"""

from dataclasses import dataclass
from statistics import geometric_mean, median

# Two lists of a worker, which come each 0.4 s, show progress. In seconds.
SHORTEST_LOOK_SECONDS = 0.8
# Tasks of one step differ by up to a factor of two; slow workers are slower than that.
SLOW_RATIO = 2.5
# A single task shows a slow worker only when it is slower than any sibling may be.
LONE_RATIO = 4.0
# Siblings on other workers that a task is compared with, at least.
FEWEST_SIBLINGS = 2
# A run moves when that brings its end forward by more than a stop and a start, 0.3 s,
# and some room for errors. In seconds.
LEAST_GAIN_SECONDS = 0.5
FULL_PERCENT = 100
# Less of a task than this tells too little of its duration.
LEAST_SHARE = 0.2
# Tasks that seem shorter count as this long, in seconds; lists come each 0.4 s.
SHORTEST_TASK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class JudgedRun:
    """A run and how long such a task seems to need in all.

    :param node: Node of its worker.
    :param allocation: ``Allocation``.
    :param duration: How long it seems to need, in seconds.
    :param usual: How long its siblings need on other workers, in seconds.
    """

    node: str
    allocation: object
    duration: float
    usual: float

    @property
    def ratio(self):
        """Return how much slower it is than its siblings."""
        return self.duration / self.usual

    @property
    def is_worth_moving(self):
        """Tell whether it would end earlier if it began anew elsewhere."""
        left = self.duration * (1.0 - self.allocation.percent / FULL_PERCENT)
        return left > self.usual + LEAST_GAIN_SECONDS


@dataclass(frozen=True, slots=True)
class SlowWorker:
    """A worker that works slowly.

    :param node: Its node.
    :param ratio: How much slower than others.
    :param runs_to_move: ``Allocation`` that would end earlier elsewhere.
    """

    node: str
    ratio: float
    runs_to_move: tuple


class StepDurations:
    """Durations of tasks that are done, by step."""

    def __init__(self):
        self._times_by_step = {}

    def record_fact(self, fact):
        """Take in a ``RunOutcome``."""
        allocation = fact.allocation
        if fact.outcome != "done" or not is_judged(allocation):
            return
        share = (FULL_PERCENT - allocation.first_reported_percent) / FULL_PERCENT
        if share >= LEAST_SHARE:
            times = self._times_by_step.setdefault(get_step_key(allocation), [])
            times.append((fact.node, (fact.at - allocation.first_reported_at) / share))

    def prune(self, live_jobs):
        """Drop what belongs to jobs that are closed."""
        for key in [key for key in self._times_by_step if key[0] not in live_jobs]:
            del self._times_by_step[key]

    def find_slow_workers(self, workers):
        """Return the ``SlowWorker`` among some workers.

        :param workers: Iterable of ``WorkerState``.
        """
        looks_by_step = {key: list(t) for key, t in self._times_by_step.items()}
        running = [look for worker in workers for look in _look_at(worker)]
        for node, allocation, duration in running:
            looks_by_step.setdefault(get_step_key(allocation), []).append(
                (node, duration)
            )
        judged_by_node = {}
        for node, allocation, duration in running:
            siblings = looks_by_step[get_step_key(allocation)]
            others = [seconds for name, seconds in siblings if name != node]
            if len(others) >= FEWEST_SIBLINGS:
                usual = max(SHORTEST_TASK_SECONDS, median(others))
                run = JudgedRun(node, allocation, duration, usual)
                judged_by_node.setdefault(node, []).append(run)
        judged = [_judge(node, runs) for node, runs in judged_by_node.items()]
        return [slow for slow in judged if slow is not None]


def is_judged(allocation):
    """Tell whether the duration of a run says something of its worker."""
    step = allocation.step
    is_finite = not (step.is_lasting or step.is_filling or step.is_gang)
    return is_finite and allocation.first_reported_at > 0.0


def get_step_key(allocation):
    """Return what tells the step of a run from all others."""
    return (allocation.ref.job, allocation.ref.occurrence, allocation.ref.step)


def _look_at(worker):
    """Yield node, run and duration of the runs that were seen for long enough.

    Only progress since the first list counts: a run may have resumed, or have begun
    under an earlier scheduler.
    """
    for allocation in worker.allocation_by_key.values():
        elapsed = worker.reported_at - allocation.first_reported_at
        if is_judged(allocation) and elapsed >= SHORTEST_LOOK_SECONDS:
            # The percentage is rounded down.
            share = (
                allocation.percent - allocation.first_reported_percent + 0.5
            ) / FULL_PERCENT
            yield worker.node, allocation, elapsed / share


def _judge(node, runs):
    ratio = geometric_mean([max(run.ratio, 0.01) for run in runs])
    is_slow = ratio >= (SLOW_RATIO if len(runs) > 1 else LONE_RATIO)
    if not is_slow:
        return None
    return SlowWorker(
        node, ratio, tuple(run.allocation for run in runs if run.is_worth_moving)
    )
