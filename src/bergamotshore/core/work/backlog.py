"""Estimate of the work ahead of a new job, by service and class of urgency.

The scheduling entry computes it and tells all entries. Work is counted in core-seconds.
Narrow work that lasts doesn't keep wide work waiting, so that each row tells how much
of it can be done within several times: a task of 60 s on one core is 4 core-seconds
within 4 s. Steps that no open worker can take aren't counted. Gangs aren't considered,
nor which memory is free: where they bind, jobs wait for longer than estimated, and too
few are refused rather than too many.
"""

import math
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from itertools import accumulate

from bergamotshore.core.work.model import get_critical_path_seconds
from bergamotshore.core.work.opencores import (
    build_fit_check,
    get_idle_step_share,
    measure_idle,
    sum_cores,
)
from bergamotshore.core.work.waiting import group_workers

# Times within which work is counted, in seconds. Callers of jobs wait for seconds to a
# minute or two; longer waits refuse nothing.
TIMES = (1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)
# Bounds of the rows by time until the objective, in seconds; 0 for late jobs.
DUES = (0.0, 0.5, *TIMES)
MILLIS = 1000.0
# A job is late, and still of use, up to this multiple of its objective.
USE_FACTOR = 3.0
# Time for which lost capacity still counts, in seconds: nodes that missed heartbeats or
# a stream are back by then, so that only lasting losses lead to refusals.
CAPACITY_WINDOW_SECONDS = 3.0
# Time over which the work that was done is compared with what was declared, in seconds.
DRAIN_WINDOW_SECONDS = 6.0
# Work that waits for each core at least, in seconds, for the drain to be measured: idle
# cores would look like slow ones.
SATURATED_SECONDS = 1.0
# Bounds of the measured drain, relative to the capacity. Durations are declared up to
# ten times too high or low, but the errors of many jobs cancel out in part. It is never
# taken for slower than the capacity: tasks that outlast the window look like that.
MIN_DRAIN, MAX_DRAIN = 1.0, 4.0


@dataclass(slots=True)
class ClassLoad:
    """Work that waits or is at work, of one service and priority.

    :param service: Name of the service.
    :param priority: Priority; 0 is the highest.
    :param is_filling: Whether it is best-effort work.
    :param used: Share of the reserved cores that it really uses.
    :param row_by_due: Core-seconds that can be done within each of ``TIMES``, by index
        of the first of ``DUES`` within which the jobs are due.
    """

    service: str
    priority: int
    is_filling: bool
    used: float = 1.0
    row_by_due: dict[int, list[float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Backlog:
    """Estimate of all work, made by one scheduling entry at one time.

    :param epoch: Term of the scheduling entry.
    :param age: Longest time since it was made when it was told, in seconds.
    :param classes: List of ``ClassLoad``.
    :param cores_by_service: Cores of the workers that take new work, less what
        long-running tasks reserve.
    :param filling_cores_by_service: The same for best-effort work, less what
        long-running tasks use.
    :param drain_by_service: Work that is done per core and second; 1 as declared.
    :param idle_by_service: Share of the cores of open workers that is free.
    :param filling_idle_by_service: The same for best-effort work.
    :param number: Running number within the term.
    """

    epoch: int
    age: float
    classes: list[ClassLoad]
    cores_by_service: dict[str, float]
    filling_cores_by_service: dict[str, float]
    drain_by_service: dict[str, float]
    idle_by_service: dict[str, float] = field(default_factory=dict)
    filling_idle_by_service: dict[str, float] = field(default_factory=dict)
    number: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """What a new job asks for, as far as it concerns the wait for its first start.

    :param service: Name of the service.
    :param priority: Priority of its queue.
    :param is_filling: Whether its first step is best-effort.
    :param due: Time until its objective, in seconds.
    :param work: Its work, in core-seconds.
    """

    service: str
    priority: int
    is_filling: bool
    due: float
    work: float


def describe_arrival(spec, queue):
    """Return the ``Arrival`` of a job, by declared durations.

    :param spec: ``JobSpec``.
    :param queue: ``Queue``.
    """
    work = sum(
        step.tasks * step.cpu / MILLIS * min(step.estimate, TIMES[-1])
        for step in spec.steps
        if not step.is_lasting
    )
    due = queue.stretch * get_critical_path_seconds(spec) + queue.slack
    is_filling = spec.steps[0].is_filling
    return Arrival(queue.service, queue.priority, is_filling, due, work)


def is_ahead(load, arrival):
    """Return whether all work of a class goes before a job.

    :param load: ``ClassLoad`` or ``Arrival``.
    """
    if load.service != arrival.service:
        return False
    if load.is_filling != arrival.is_filling:
        return arrival.is_filling
    return load.priority < arrival.priority


def get_work_ahead(backlog, arrival, seconds):
    """Return the told work that goes before a job within a time, in core-seconds.

    :param seconds: Time, in seconds.
    """
    work = 0.0
    for load in backlog.classes:
        # Best-effort tasks use what latency-critical ones reserve and leave idle.
        share = load.used if arrival.is_filling and not load.is_filling else 1.0
        if is_ahead(load, arrival):
            rows = load.row_by_due.values()
        elif _is_same_class(load, arrival):
            rows = [
                row
                for due, row in load.row_by_due.items()
                if due < len(DUES) and DUES[due] <= arrival.due
            ]
        else:
            continue
        work += share * sum(_interpolate(row, seconds) for row in rows)
    return work


def _is_same_class(load, arrival):
    key = (arrival.service, arrival.priority, arrival.is_filling)
    return (load.service, load.priority, load.is_filling) == key


def _interpolate(row, seconds):
    """Return the work done within a time; never too much, since rows are concave."""
    index = bisect_left(TIMES, seconds)
    if index == len(TIMES):
        return row[-1]
    low, low_work = (TIMES[index - 1], row[index - 1]) if index else (0.0, 0.0)
    share = (seconds - low) / (TIMES[index] - low)
    return low_work + share * (row[index] - low_work)


def get_wait_seconds(backlog, arrival):
    """Return how long a job waits for the told work; infinite beyond ``TIMES``."""
    cores = get_drained_cores(backlog, arrival)
    if not cores:
        return math.inf
    low = 0.0
    for seconds in TIMES:
        busy = get_work_ahead(backlog, arrival, seconds) / cores
        if busy <= seconds:
            return max(low, busy)
        low = seconds
    return math.inf


def get_drained_cores(backlog, arrival):
    """Return the core-seconds of declared work that are done per second for a job."""
    cores_by_service = (
        backlog.filling_cores_by_service
        if arrival.is_filling
        else backlog.cores_by_service
    )
    drain = backlog.drain_by_service.get(arrival.service, 1.0)
    return cores_by_service.get(arrival.service, 0.0) * drain


def get_idle_share(backlog, arrival):
    """Return the share of the open cores that is free for a job; 0 if it isn't told."""
    idle_by_service = (
        backlog.filling_idle_by_service
        if arrival.is_filling
        else backlog.idle_by_service
    )
    return idle_by_service.get(arrival.service, 0.0)


class BacklogTracker:
    """Compute the estimate; the state is that of the last seconds of one term.

    :param epoch: Term of the scheduling entry.
    """

    def __init__(self, epoch):
        self._epoch = epoch
        self._number = 0
        self._cores = deque()
        self._drained = deque()
        self._saturated_since_by_service = {}
        self._expected_by_key = {}

    def record_outcome(self, outcome, service, durations):
        """Record the work of a finished run.

        :param outcome: ``RunOutcome``.
        :param service: Service of its worker.
        :param durations: ``DurationEstimates``.
        """
        step = outcome.allocation.step
        if outcome.outcome != "done" or step.is_lasting:
            return
        queue = outcome.allocation.ref.job.rpartition("/")[0]
        seconds = _get_expected_seconds(durations, queue, step)
        self._drained.append((outcome.at, service, step.cpu / MILLIS * seconds))

    def measure(self, view):
        """Return the ``Backlog`` at present.

        :param view: ``PlanView``.
        """
        # First, so that it stays bounded when a later part fails at each pass.
        self._forget_drained(view.now)
        workers_by_service = group_workers(view)
        present = {
            service: sum_cores(workers)
            for service, workers in workers_by_service.items()
        }
        cores, filling_cores = self._measure_cores(view.now, present)
        classes = _measure_classes(view, workers_by_service)
        drain = self._measure_drain(view.now, classes, filling_cores)
        idle, filling_idle = measure_idle(workers_by_service, present)
        self._number += 1
        return Backlog(
            self._epoch,
            0.0,
            classes,
            cores,
            filling_cores,
            drain,
            idle,
            filling_idle,
            self._number,
        )

    def _forget_drained(self, now):
        while self._drained and self._drained[0][0] < now - DRAIN_WINDOW_SECONDS:
            self._drained.popleft()

    def _measure_cores(self, now, present):
        self._cores.append((now, present))
        while self._cores[0][0] < now - CAPACITY_WINDOW_SECONDS:
            self._cores.popleft()
        cores, filling_cores = {}, {}
        for _, earlier in self._cores:
            for service, (count, filling) in earlier.items():
                cores[service] = max(count, cores.get(service, 0.0))
                filling_cores[service] = max(filling, filling_cores.get(service, 0.0))
        return cores, filling_cores

    def _measure_drain(self, now, classes, cores):
        queued = {}
        for load in classes:
            work = sum(row[-1] for row in load.row_by_due.values())
            queued[load.service] = queued.get(load.service, 0.0) + work
        since = self._saturated_since_by_service
        self._saturated_since_by_service = {
            service: since.get(service, now)
            for service, work in queued.items()
            if work > SATURATED_SECONDS * cores.get(service, 0.0) > 0.0
        }
        drain = {}
        for service, began in self._saturated_since_by_service.items():
            if now - began >= DRAIN_WINDOW_SECONDS:
                done = sum(work for _, name, work in self._drained if name == service)
                ratio = done / (cores[service] * DRAIN_WINDOW_SECONDS)
                drain[service] = min(MAX_DRAIN, max(MIN_DRAIN, ratio))
        return drain

    def compare_starts(self, view, backlog):
        """Return pairs of expected and real time to the first start, in seconds.

        :param backlog: ``Backlog`` that was measured last.
        """
        pairs, expected_by_key = [], {}
        for key, progress in view.cluster.job_by_key.items():
            spec = progress.spec
            queue = view.cluster.get_queue(spec.queue)
            known = self._expected_by_key.get(key)
            is_over = progress.outcome or progress.is_cancelled or queue is None
            if is_over or spec.repeats or spec.is_lasting:
                continue
            if known is None:
                # A job that has run when it is seen first was taken over.
                wait = get_wait_seconds(backlog, describe_arrival(spec, queue))
                is_new = math.isfinite(wait) and not progress.has_run()
                known = (wait if is_new else None, view.now)
            elif known[0] is not None and progress.has_run():
                pairs.append((known[0], view.now - known[1]))
                known = (None, known[1])
            expected_by_key[key] = known
        self._expected_by_key = expected_by_key
        return pairs


def _get_expected_seconds(durations, queue, step):
    """Return the expected duration of a task; a bad figure counts as unknown."""
    expected = durations.get_estimate(queue, step).expected
    return min(expected, TIMES[-1]) if expected >= 0.0 else 0.0


def _measure_classes(view, workers_by_service):
    load_by_key, row_by_occurrence = {}, {}
    can_run = build_fit_check(workers_by_service)
    for progress in view.cluster.job_by_key.values():
        spec = progress.spec
        queue = view.cluster.get_queue(spec.queue)
        if queue is None or progress.outcome or progress.is_cancelled:
            continue
        limit = queue.stretch * get_critical_path_seconds(spec) + queue.slack
        for occurrence, count, steps in progress.list_demands():
            start = spec.get_due_time(occurrence) if spec.repeats else spec.accepted_at
            waited = view.wall - start
            if view.scheduling.order != "due" and waited > USE_FACTOR * limit:
                # It goes last.
                continue
            due = bisect_left(DUES, limit - waited)
            for number, tasks in enumerate(steps):
                step = spec.steps[number]
                if step.is_lasting or not can_run(queue.service, step):
                    continue
                left = count * tasks.left
                seconds = _get_expected_seconds(
                    view.cluster.durations, spec.queue, step
                )
                if not left or not seconds:
                    continue
                key = (queue.service, queue.priority, step.is_filling)
                load = load_by_key.setdefault(key, ClassLoad(*key))
                row = load.row_by_due.setdefault(due, [0.0] * len(TIMES))
                _add(row, left * step.cpu / MILLIS, seconds)
                load.used = min(load.used, 1.0 - get_idle_step_share(step))
                row_by_occurrence[progress.key, occurrence, number] = (row, seconds)
    _subtract_done(view, row_by_occurrence)
    return list(load_by_key.values())


def _add(row, cores, seconds):
    for index, time in enumerate(TIMES):
        row[index] += cores * min(seconds, time)


def _subtract_done(view, row_by_occurrence):
    """Subtract what the runs at work have done."""
    for worker in view.cluster.worker_by_node.values():
        for run in worker.allocation_by_key.values():
            found = row_by_occurrence.get(run.ref.step_key)
            if found is None or not 0 < run.percent <= 100:
                continue
            row, seconds = found
            left = seconds * (1.0 - run.percent / 100.0)
            cores = run.step.cpu / MILLIS
            for index, time in enumerate(TIMES):
                done = cores * (min(seconds, time) - min(left, time))
                row[index] = max(0.0, row[index] - done)
    for row, _ in row_by_occurrence.values():
        # Copies are subtracted twice, and sums are rounded; more time is never less.
        row[:] = accumulate(row, max)
