"""Order of waiting jobs by what can still end in time.

When more work waits than the workers can do, the earliest due time first is the worst
order: jobs that are late already go before those that could be in time, until all are
late. So the jobs are divided into bands. In the first are the jobs that the capacity
can end in time together, chosen by worth for the work that is left; in the second those
that can still end while they are of use; in the last one all others.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum

from bergamotshore.core.work.largejobs import MIN_LARGE_SHARE, LargeJobShare
from bergamotshore.core.work.model import TaskRef
from bergamotshore.core.work.pools import estimate_capacity

# Jobs are ordered again after this time, in seconds: workers report each 0.4 s.
REFRESH_SECONDS = 0.4
# A late job is of use until this multiple of its objective, see the users' rules.
USE_LIMIT = 3.0
# A job is worth a fixed part and a part by its work relative to its queue's mean, up
# to a limit, see the users' rules.
FIXED_WORTH = 0.3
WORK_WORTH = 0.7
MAX_WORTH = 4.0
# Jobs from this multiple of the mean work on count as large.
LARGE_WORK = 1.5
# Share of the capacity that can be planned with: tasks of a step end at different
# times, and work that is unexpected arrives.
USABLE_SHARE = 0.85
# Weight of a further job in averages, and queues remembered.
MEAN_WEIGHT = 0.05
MAX_QUEUES = 200
# Bounds of the work of a task, in seconds: declared figures may be of any size.
MIN_TASK_SECONDS = 0.05
MAX_TASK_SECONDS = 3600.0
FULL_PERCENT = 100


class Band(IntEnum):
    """What can be expected of a job; the smallest goes first."""

    TIMELY = 0
    USEFUL = 1
    REST = 2


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a job needs in order to end in time.

    :param key: Key of the job and index of the occurrence.
    :param pool: Jobs of one pool compete for the same capacity.
    :param arrived_at: Time from which its objective counts, in seconds.
    :param due: Time at which its objective ends, in seconds.
    :param limit: Time from which it is of no use, in seconds.
    :param work_left: Work of the tasks that aren't done, in seconds x thousandths of a
        CPU.
    :param path_left: Least time in which it can end, in seconds.
    :param relative_work: Work of all its tasks relative to the mean of its queue.
    :param relative_left: Work that is left, relative to the same mean.
    """

    key: tuple
    pool: tuple
    arrived_at: float
    due: float
    limit: float
    work_left: float
    path_left: float
    relative_work: float = 1.0
    relative_left: float = 1.0

    @property
    def worth(self):
        """Return what the job is worth, relative to a mean one of its queue."""
        return min(MAX_WORTH, FIXED_WORTH + WORK_WORTH * self.relative_work)

    @property
    def density(self):
        """Return the worth for the work that is left."""
        return self.worth / max(1e-3, self.relative_left)

    @property
    def is_large(self):
        """Return whether the job is among the large ones of its queue."""
        return self.relative_work >= LARGE_WORK


def assign_bands(demands, capacity, now):
    """Return the ``Band`` of each job of a pool, by key.

    :param demands: ``JobDemand`` objects.
    :param capacity: Capacity in thousandths of a CPU.
    :param now: Current time, in seconds.
    """
    timely = select_feasible(demands, capacity, now, lambda demand: demand.due)
    timely_keys = {demand.key for demand in timely}
    # All that is chosen for the first band takes its capacity first.
    used = sum(demand.work_left for demand in timely)
    others = [demand for demand in demands if demand.key not in timely_keys]
    useful = select_feasible(
        others, capacity, now, lambda demand: demand.limit, used=used
    )
    bands = dict.fromkeys((demand.key for demand in others), Band.REST)
    bands.update(dict.fromkeys((demand.key for demand in useful), Band.USEFUL))
    bands.update(dict.fromkeys(timely_keys, Band.TIMELY))
    return bands


def select_feasible(demands, capacity, now, get_end, used=0.0):
    """Return jobs that can all end by their time, of the highest worth for their work.

    Goes through the jobs by end time and, whenever the work exceeds what the capacity
    does until then, leaves out the job with the least worth for its work. Large jobs
    have to stay at least half as often as all.

    :param get_end: Function of a ``JobDemand`` that returns its end time, in seconds.
    :param used: Work that goes before theirs, in seconds x thousandths of a CPU.
    """
    possible = [item for item in demands if now + item.path_left <= get_end(item)]
    selection = _Selection(work=used)
    for demand in sorted(possible, key=lambda item: (get_end(item), item.key)):
        selection.add(demand)
        selection.reduce_to(capacity * USABLE_SHARE * (get_end(demand) - now))
    return list(selection.kept_by_key.values())


@dataclass(slots=True)
class _Selection:
    """Jobs kept so far, and those gone through.

    :param work: Work of the jobs kept, in seconds x thousandths of a CPU.
    """

    work: float
    kept_by_key: dict = field(default_factory=dict)
    heap: list = field(default_factory=list)
    jobs: int = 0
    large_jobs: int = 0
    kept_large: int = 0

    def add(self, demand):
        """Keep a further job."""
        heapq.heappush(self.heap, (demand.density, demand.key, demand))
        self.kept_by_key[demand.key] = demand
        self.work += demand.work_left
        self.jobs += 1
        self.large_jobs += demand.is_large
        self.kept_large += demand.is_large

    def reduce_to(self, allowed):
        """Leave out jobs of the least worth for their work until the rest fits."""
        spared = []
        while self.work > allowed and self.heap:
            entry = heapq.heappop(self.heap)
            demand = entry[2]
            if demand.is_large and self.heap and not self._may_drop_large():
                spared.append(entry)
                continue
            del self.kept_by_key[demand.key]
            self.kept_large -= demand.is_large
            self.work -= demand.work_left
        for entry in spared:
            heapq.heappush(self.heap, entry)

    def _may_drop_large(self):
        kept_share = (len(self.kept_by_key) - 1) / self.jobs
        return self.kept_large - 1 >= MIN_LARGE_SHARE * kept_share * self.large_jobs


@dataclass(slots=True)
class JobOrder:
    """Order of all open jobs, kept between planning passes.

    It is rebuilt from the open jobs by each scheduler and stored nowhere.

    :param rank_by_key: ``Band``, place in it and due time, by job key and occurrence.
    :param mean_work_by_queue: Mean work of the jobs of a queue.
    :param mean_seconds_by_queue: Mean declared duration of the tasks of a queue.
    :param refreshed_at: Time of the last refresh, in seconds.
    :param fallbacks: Number of figures out of bounds that were replaced so far.
    :param jobs_by_band: Number of open jobs by ``Band``.
    """

    rank_by_key: dict = field(default_factory=dict)
    mean_work_by_queue: dict = field(default_factory=dict)
    mean_seconds_by_queue: dict = field(default_factory=dict)
    refreshed_at: float = -REFRESH_SECONDS
    fallbacks: int = 0
    jobs_by_band: dict = field(default_factory=dict)
    _seen: set = field(default_factory=set)
    _large_share_by_pool: dict = field(default_factory=dict)

    def refresh(self, view):
        """Order the jobs of a view again, unless that was done a moment ago."""
        if 0 <= view.now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = view.now
        percent_by_ref = {
            run.ref: run.percent
            for worker in view.cluster.worker_by_node.values()
            for run in worker.allocation_by_key.values()
        }
        demands_by_pool = {}
        for progress in view.cluster.job_by_key.values():
            with view.containing("order", progress.key):
                for demand in self._list_demands(view, progress, percent_by_ref):
                    demands_by_pool.setdefault(demand.pool, []).append(demand)
        self._seen &= set(view.cluster.job_by_key)
        self.rank_by_key = {}
        self._large_share_by_pool = {
            pool: self._large_share_by_pool.get(pool, LargeJobShare())
            for pool in demands_by_pool
        }
        for pool, demands in demands_by_pool.items():
            capacity = estimate_capacity(view, pool)
            self._rank(pool, demands, capacity, view.wall)
        self.jobs_by_band = dict(Counter(rank[0] for rank in self.rank_by_key.values()))

    def _rank(self, pool, demands, capacity, wall):
        bands = assign_bands(demands, capacity, wall)
        large_share = self._large_share_by_pool[pool]
        large_share.choose(demands, capacity, wall)
        is_overloaded = any(band != Band.TIMELY for band in bands.values())
        for demand in demands:
            band = bands[demand.key]
            place = _get_place(demand, band, is_overloaded)
            if is_overloaded and demand.key in large_share.chosen:
                band, place = Band.TIMELY, float("-inf")
            self.rank_by_key[demand.key] = (band, place, demand.due)

    @property
    def is_overloaded(self):
        """Return whether not all jobs can be in time."""
        return any(self.jobs_by_band.get(band) for band in (Band.USEFUL, Band.REST))

    def get_rank(self, key, occurrence):
        """Return the sort key of an occurrence; jobs that are not known yet go first.

        They have only just arrived, and are placed by the next refresh.
        """
        unknown = (Band.TIMELY, float("inf"), 0.0)
        return self.rank_by_key.get((key, occurrence), unknown)

    def get_band(self, key, occurrence):
        """Return the ``Band`` of an occurrence."""
        return self.get_rank(key, occurrence)[0]

    def _list_demands(self, view, progress, percent_by_ref):
        spec = progress.spec
        if progress.outcome or progress.is_cancelled or spec.is_lasting:
            return
        progress.open_due_occurrences(view.wall)
        self._count_new(spec)
        queue = view.cluster.get_queue(spec.queue)
        seconds = [self._get_task_seconds(view, spec, step) for step in spec.steps]
        total = sum(
            step.tasks * step.cpu * time
            for step, time in zip(spec.steps, seconds, strict=True)
        )
        mean = self._get_mean_work(spec, total)
        path = get_path_seconds(spec, seconds)
        objective = path if queue is None else queue.stretch * path + queue.slack
        pool = (
            view.cluster.get_service(spec),
            view.cluster.get_priority(spec),
            any(step.is_filling for step in spec.steps),
        )
        for occurrence, count, tasks in progress.list_demands():
            begin = spec.get_due_time(occurrence) if spec.repeats else spec.accepted_at
            left = [
                _sum_shares_left(spec, occurrence, number, step_tasks, percent_by_ref)
                for number, step_tasks in enumerate(tasks)
            ]
            work = count * sum(
                share * step.cpu * time
                for (share, _), step, time in zip(
                    left, spec.steps, seconds, strict=True
                )
            )
            times = [
                longest * time for (_, longest), time in zip(left, seconds, strict=True)
            ]
            yield JobDemand(
                key=(spec.key, occurrence),
                pool=pool,
                arrived_at=begin,
                due=begin + objective,
                limit=begin + USE_LIMIT * objective,
                work_left=work,
                path_left=get_path_seconds(spec, times),
                relative_work=total / mean,
                relative_left=work / mean,
            )

    def _get_task_seconds(self, view, spec, step):
        """Return the expected duration of a task, within bounds, in seconds.

        A declared duration may be wrong by almost itself, so it counts half and the
        mean of its queue half, until something better is known.
        """
        if view.scheduling.durations:
            estimate = view.cluster.durations.get_estimate(spec.queue, step)
            is_usable = 0.0 <= estimate.expected <= MAX_TASK_SECONDS
            if estimate.samples > 0 and is_usable:
                return max(MIN_TASK_SECONDS, estimate.expected)
            self.fallbacks += not is_usable
        declared = _limit_seconds(step.estimate)
        mean = self.mean_seconds_by_queue.get(spec.queue, declared)
        return (declared + mean) / 2

    def _count_new(self, spec):
        """Count the declared durations of a job that is new."""
        if spec.key in self._seen:
            return
        for step in spec.steps:
            declared = _limit_seconds(step.estimate)
            mean = self.mean_seconds_by_queue.get(spec.queue, declared)
            mean += MEAN_WEIGHT * (declared - mean)
            _store_bounded(self.mean_seconds_by_queue, spec.queue, mean)

    def _get_mean_work(self, spec, total):
        """Return the mean work of a queue, after counting a job that is new."""
        mean = self.mean_work_by_queue.get(spec.queue, total)
        if spec.key not in self._seen:
            self._seen.add(spec.key)
            mean += MEAN_WEIGHT * (min(total, MAX_WORTH * mean) - mean)
            _store_bounded(self.mean_work_by_queue, spec.queue, mean)
        return max(1.0, mean)


def _limit_seconds(seconds):
    return min(MAX_TASK_SECONDS, max(MIN_TASK_SECONDS, seconds))


def _store_bounded(value_by_queue, queue, value):
    """Store a value; beyond the limit the queue that came first is forgotten."""
    value_by_queue[queue] = value
    if len(value_by_queue) > MAX_QUEUES:
        del value_by_queue[next(iter(value_by_queue))]


def _get_place(demand, band, is_overloaded):
    """Return the sort key of a job within its band.

    Under overload jobs are taken by worth for the work left, not by due time: if each
    starts as late as it can, any error of an estimate makes it late.
    """
    if band == Band.REST:
        return demand.limit
    return -demand.density if is_overloaded else demand.due


def get_path_seconds(spec, seconds):
    """Return the length of the longest chain of steps, in seconds.

    :param seconds: Time that each step takes, by its index.
    """
    finish_times = []
    for step, time in zip(spec.steps, seconds, strict=True):
        start = max((finish_times[earlier] for earlier in step.after), default=0.0)
        finish_times.append(start + time)
    return max(finish_times)


def _sum_shares_left(spec, occurrence, number, tasks, percent_by_ref):
    """Return the work left of the tasks that aren't done, and the most of one of them.

    Both are told in tasks. Those that were never claimed are all left.
    """
    total, longest = float(tasks.untouched), float(tasks.untouched > 0)
    for index, task in tasks.list_touched():
        if task.is_done:
            continue
        ref = TaskRef(spec.key, occurrence, number, index)
        percent = percent_by_ref.get(ref, 0) if task.runs else 0
        share = 1.0 - min(FULL_PERCENT, max(0, percent)) / FULL_PERCENT
        total, longest = total + share, max(longest, share)
    return total, longest
