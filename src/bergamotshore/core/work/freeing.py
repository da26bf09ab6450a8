"""Forecast of when workers have free capacity for further tasks of a step.

Progress that workers report is preferred to estimated durations, which may be wrong by
a multiple. Capacity that frees later than the known ends of runs is extrapolated from
the rate at which recent runs have ended.
"""

import math

from bergamotshore.core.work.stops import is_stopping

# Ends within this time count for the rate, in seconds: a few times the duration of
# short tasks, and short enough to follow a burst.
RATE_WINDOW_SECONDS = 3.0
# Fewer ends allow no rate.
MIN_ENDS_FOR_RATE = 4
# Ends further ahead are of no use for a wait, in seconds.
HORIZON_SECONDS = 3.0
# Workers report ends every 0.4 s, so that an end is known that late at most.
REPORT_SECONDS = 0.4
# A smaller observed share of a task doesn't allow an estimate of its speed.
MIN_OBSERVED_SHARE = 0.1
FULL_PERCENT = 100
# Further slots of a worker don't change a decision, as no wait is that long.
MAX_SLOTS_PER_WORKER = 200
# Longest duration that is believed, in seconds: a day.
MAX_DURATION_SECONDS = 86400.0


class CapacityForecast:
    """Forecast of free capacity within one planning pass.

    :param view: ``PlanView``.
    """

    def __init__(self, view):
        self._view = view
        self._ends_by_node = {}
        self._freed_by_node = None

    def list_slot_times(self, step, workers, counts):
        """Return when each further task of a step could start, soonest first.

        :param step: ``Step``.
        :param workers: ``WorkerState`` objects to consider.
        :param counts: Number of tasks of the step by node.
        :returns: Seconds from now; 0 for capacity that is free already.
        """
        times = []
        for worker in workers:
            limit = MAX_SLOTS_PER_WORKER
            if step.per_worker:
                limit = min(limit, step.per_worker - counts.get(worker.node, 0))
            if limit > 0 and worker.could_fit(step):
                times += self._list_slot_times_of_worker(step, worker, limit)
        return sorted(times)

    def _list_slot_times_of_worker(self, step, worker, limit):
        size = worker.size
        free = [
            size.cpu - worker.used_cpu,
            size.memory - worker.used_memory,
            size.accelerators - worker.used_accelerators,
        ]
        times = []
        for seconds, ended in ((0.0, (0, 0, 0)), *self._list_ends(worker)):
            free = [amount + more for amount, more in zip(free, ended, strict=True)]
            slots = min(count_slots(step, free), limit)
            times += [seconds] * int(slots - len(times))
        return times

    def _list_ends(self, worker):
        """Return pairs of seconds from now and freed sizes, soonest first."""
        ends = self._ends_by_node.get(worker.node)
        if ends is None:
            ends = []
            for run in worker.allocation_by_key.values():
                seconds = estimate_remaining(self._view, worker, run)
                if seconds <= HORIZON_SECONDS:
                    ends.append((seconds + REPORT_SECONDS / 2, get_sizes(run.step)))
            ends.sort()
            self._ends_by_node[worker.node] = ends
        return ends

    def get_rate(self, step, workers):
        """Return how many tasks of a step recent ends on workers made room for.

        :returns: Tasks per second; 0 when there were too few ends.
        """
        if self._freed_by_node is None:
            self._freed_by_node = self._sum_recent_ends()
        freed, ends = [0, 0, 0], 0
        for worker in workers:
            number, sizes = self._freed_by_node.get(worker.node, (0, (0, 0, 0)))
            freed = [amount + more for amount, more in zip(freed, sizes, strict=True)]
            ends += number
        if ends < MIN_ENDS_FOR_RATE:
            return 0.0
        return count_slots(step, freed, is_whole=False) / RATE_WINDOW_SECONDS

    def _sum_recent_ends(self):
        freed_by_node = {}
        for outcome in reversed(self._view.cluster.recent_outcomes):
            if self._view.now - outcome.at > RATE_WINDOW_SECONDS:
                break
            run = outcome.allocation
            if not run.is_started:
                continue
            number, sizes = freed_by_node.get(outcome.node, (0, (0, 0, 0)))
            more = get_sizes(run.step)
            total = tuple(a + b for a, b in zip(sizes, more, strict=True))
            freed_by_node[outcome.node] = (number + 1, total)
        return freed_by_node


def get_sizes(step):
    """Return what a task of a step reserves: processors, memory and accelerators."""
    return (step.reserved_cpu, step.memory, step.accelerators)


def count_slots(step, free, is_whole=True):
    """Return for how many tasks of a step an amount of resources suffices.

    :param free: Processors, memory and accelerators; what is overcommitted is negative.
    :param is_whole: Whether to round down.
    """
    shares = [
        amount / size
        for amount, size in zip(free, get_sizes(step), strict=True)
        if size > 0
    ]
    slots = max(0.0, min(shares, default=0.0))
    return math.floor(slots) if is_whole else slots


def estimate_remaining(view, worker, run):
    """Return in how many seconds a run is expected to end; infinite when unknown.

    Runs that are being stopped are unknown: they are stopped to make room for others.
    """
    if run.step.is_lasting or not run.is_started or is_stopping(run, view.now):
        return math.inf
    share = (run.percent - run.first_reported_percent) / FULL_PERCENT
    if MIN_OBSERVED_SHARE <= share <= 1.0 and run.first_reported_at > 0.0:
        observed_seconds = worker.reported_at - run.first_reported_at
        left = max(0.0, 1.0 - run.percent / FULL_PERCENT)
        remaining = observed_seconds / share * left - (view.now - worker.reported_at)
        return max(0.0, remaining) if math.isfinite(remaining) else math.inf
    duration = estimate_duration(view, run.ref.job.rpartition("/")[0], run.step)
    remaining = duration - (view.now - run.started_at)
    # A run that exceeds its estimate without reported progress may go on for any time.
    return remaining if remaining > 0.0 else math.inf


def estimate_duration(view, queue, step):
    """Return the expected duration of a task, in seconds; 0 when it is unknown.

    A learned duration that is unusable is replaced by the declared one.

    :param queue: Name of the queue of its job.
    """
    learned = get_learned_duration(view, queue, step)
    for duration in (learned, step.estimate):
        if is_usable_duration(duration):
            return duration
    return 0.0


def get_learned_duration(view, queue, step):
    """Return the learned duration of a task unchecked, or that declared."""
    if not view.scheduling.durations:
        return step.estimate
    return view.cluster.durations.get_estimate(queue, step).expected


def is_usable_duration(duration):
    """Return whether a duration is a number of seconds that a task may take."""
    is_number = isinstance(duration, (int, float)) and math.isfinite(duration)
    return is_number and 0.0 <= duration <= MAX_DURATION_SECONDS
