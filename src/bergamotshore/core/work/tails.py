"""Long tails: tasks that take much longer than others of their kind.

The longest task of a step decides when it ends. What is expected to take longest
starts first. A run past the high quantile of its kind gets a copy if its place is slow,
but not if the task itself is long, because the copy would take as long. The other runs
on the same worker tell these apart.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace
from itertools import groupby
from math import isfinite
from statistics import median

from bergamotshore.core.work.fullspeed import (
    FULL_PERCENT,
    MIN_OBSERVED_SHARE,
    MeasuredDuration,
    is_usable,
    measure_running,
)
from bergamotshore.core.work.model import get_queue_name
from bergamotshore.core.work.places import Place, Speed, judge_neighbours

PAST_HIGH = "past-high"
# Least time saved by a copy, in seconds: a start takes 0.3 s, the rest is a margin for
# errors of the estimates.
MIN_GAIN_SECONDS = 0.5
# Copies are made as long as this share of them is expected to win; the first ones are
# presumed to win half the time.
MIN_WIN_SHARE = 0.33
PRESUMED_WINS, PRESUMED_LOSSES = 1.0, 1.0
# Earlier copies count half after this time, in seconds, so that they are tried again.
HALF_LIFE_SECONDS = 300.0
# Share of a task presumed to be done when it has a checkpoint from an unknown run.
PRESUMED_SHARE = 0.5
# Bounds of the state.
MAX_TASKS = 1000
MAX_QUEUES = 256


@dataclass(frozen=True, slots=True)
class Lateness:
    """Why a run is past the high quantile of its kind.

    :param worked: Time that it has worked, in seconds.
    :param remaining: Time that it needs by its own progress, in seconds.
    :param estimate: ``DurationEstimate`` of its task.
    :param place: ``Place``: speed of its worker.
    """

    worked: float
    remaining: float
    estimate: object
    place: Place = Place()


@dataclass(frozen=True, slots=True)
class EarlierRun:
    """What a run that ended without finishing its task tells about the task.

    :param seconds: Expected duration of the whole task; None if unknown.
    :param percent: Progress of the run.
    """

    seconds: float | None
    percent: int


@dataclass(slots=True)
class CopiedTask:
    """A task with a speculative copy.

    :param number: Run number of the copy.
    :param sign: Sign that the first run was late.
    :param is_decided: Whether one of the two runs is done.
    """

    number: int
    sign: str
    is_decided: bool = False


@dataclass(slots=True)
class CopyRecord:
    """Copies of a queue that finished first, and those that did not, by age.

    :param wins: Number of the former.
    :param losses: Number of the latter.
    :param at: Time up to which their ages are counted, in seconds.
    """

    wins: float = 0.0
    losses: float = 0.0
    at: float = 0.0

    def fade(self, now):
        """Reduce the weight of what was recorded before."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS)
        self.wins, self.losses, self.at = self.wins * factor, self.losses * factor, now


class TailTracker:
    """Knowledge about long tasks and earlier copies, in bounded state."""

    def __init__(self):
        self._earlier_by_ref = OrderedDict()
        self._copied_by_ref = OrderedDict()
        self._record_by_queue = OrderedDict()

    def record_copy(self, ref, number, sign):
        """Record that a task got a copy.

        :param number: Run number of the copy.
        """
        copied = CopiedTask(number, sign)
        _touch(self._copied_by_ref, ref, lambda: copied, MAX_TASKS)

    def record_outcome(self, outcome):
        """Record the end of a run.

        :param outcome: ``RunOutcome``.
        :returns: Pair of sign and core-seconds, if the run was made unneeded by another
            run of its task; otherwise None.
        """
        run = outcome.allocation
        if outcome.outcome == "done":
            self._earlier_by_ref.pop(run.ref, None)
        elif not (run.step.is_lasting or run.step.is_gang) and run.worked_from:
            self._record_earlier(run)
        copied = self._copied_by_ref.get(run.ref)
        if copied is None:
            return None
        if copied.is_decided:
            del self._copied_by_ref[run.ref]
            return copied.sign, _get_core_seconds(run, outcome.at)
        if outcome.outcome == "done":
            copied.is_decided = True
            if copied.sign == PAST_HIGH:
                self._record_result(run, run.number == copied.number, outcome.at)
        else:
            del self._copied_by_ref[run.ref]
        return None

    def _record_earlier(self, run):
        measured = measure_running(run)
        seconds = measured.seconds if isinstance(measured, MeasuredDuration) else None
        percent = min(FULL_PERCENT, max(0, run.percent))
        self._earlier_by_ref.pop(run.ref, None)
        earlier = EarlierRun(seconds, percent)
        _touch(self._earlier_by_ref, run.ref, lambda: earlier, MAX_TASKS)

    def _record_result(self, run, has_won, at):
        queue = get_queue_name(run.ref.job)
        record = _touch(self._record_by_queue, queue, CopyRecord, MAX_QUEUES)
        record.fade(at)
        record.wins += has_won
        record.losses += not has_won

    def is_copy_promising(self, queue, now):
        """Return whether copies of a queue have paid lately, or are untried."""
        record = self._record_by_queue.get(queue, CopyRecord(at=now))
        record.fade(now)
        wins = record.wins + PRESUMED_WINS
        return wins / (wins + record.losses + PRESUMED_LOSSES) >= MIN_WIN_SHARE

    def get_remaining_seconds(self, ref, task, expected):
        """Return how long the next run of a task is expected to take, in seconds.

        :param task: ``Task``.
        :param expected: Expected duration of a whole task of its step.
        """
        earlier = self._earlier_by_ref.get(ref)
        if earlier is None:
            return expected * (1.0 - PRESUMED_SHARE if task.checkpoint else 1.0)
        seconds = expected if earlier.seconds is None else earlier.seconds
        saved = earlier.percent / FULL_PERCENT if task.checkpoint else 0.0
        return seconds * (1.0 - saved)


def order_tasks(view, item):
    """Return the waiting tasks of a step, those that take longest first.

    Among those that take as long, tasks that were started before have lost time, and
    suspects of crashes have to be tried one at a time, so both go first.

    :param view: ``PlanView``.
    :param item: ``WaitingStep``.
    """
    if not view.scheduling.tails or item.step.is_lasting or len(item.refs) < 2:
        return item.refs
    cluster, spec = view.cluster, item.progress.spec
    expected = cluster.durations.get_estimate(spec.queue, item.step, spec.key).expected
    # Without any estimate, only the shares left can be compared.
    expected = expected if is_usable(expected) else 1.0

    def get_rank(ref):
        task = item.progress.get_task(ref)
        seconds = cluster.tails.get_remaining_seconds(ref, task, expected)
        return (-seconds, -task.crashes, -task.failures, -task.last_run, ref.index)

    return item.refs.order_by(get_rank)


def order_chains(view, waiting):
    """Return steps in scheduling order; of those of one rank, the longest chain first.

    :param view: ``PlanView``.
    :param waiting: ``WaitingStep`` objects, sorted by rank.
    """
    if not view.scheduling.tails:
        return waiting
    ordered = []
    for _, group in groupby(waiting, key=lambda item: item.rank):
        items = list(group)
        if len(items) > 1:
            seconds_by_job = {}
            for item in items:
                key = item.progress.key
                if key not in seconds_by_job:
                    seconds_by_job[key] = _list_chain_seconds(view, item.progress.spec)
            items.sort(key=lambda item: -seconds_by_job[item.progress.key][item.number])
        ordered += items
    return ordered


def _list_chain_seconds(view, spec):
    """Return the longest time from the start of each step to the end of its job."""
    durations = view.cluster.durations
    longest_after = [0.0] * len(spec.steps)
    chains = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        expected = durations.get_estimate(spec.queue, step, spec.key).expected
        chain = longest_after[number] + (expected if is_usable(expected) else 0.0)
        chains[number] = chain
        for earlier in step.after:
            longest_after[earlier] = max(longest_after[earlier], chain)
    return chains


def find_lateness(view, worker, run):
    """Return the ``Lateness`` of a run for which a copy is expected to pay, or None.

    Best-effort runs are late because of the speed that they are given; a copy would be
    given no more.

    :param view: ``PlanView``.
    :param worker: ``WorkerState`` that it runs on.
    :param run: ``Allocation``.
    """
    if not view.scheduling.tails or run.step.is_filling:
        return None
    lateness = _compare_with_kind(view, worker, run)
    if lateness is None:
        return None
    place = judge_neighbours(view, worker, run)
    queue = get_queue_name(run.ref.job)
    # A place also looks slow while tasks take longer everywhere, and copies lose.
    is_promising = view.cluster.tails.is_copy_promising(queue, view.now)
    if place.speed is Speed.USUAL or not is_promising:
        return None
    return replace(lateness, place=place)


def _compare_with_kind(view, worker, run):
    """Return the ``Lateness`` of a run past the high quantile of its kind, or None."""
    share = (run.percent + 0.5) / FULL_PERCENT
    observed_share = share - run.worked_from_percent / FULL_PERCENT
    if run.worked_from == 0.0 or not MIN_OBSERVED_SHARE <= observed_share <= share <= 1:
        return None
    total = run.worked_seconds / observed_share
    queue = get_queue_name(run.ref.job)
    estimate = view.cluster.durations.get_estimate(queue, run.step, run.ref.job)
    if not (isfinite(estimate.high) and is_usable(estimate.expected)):
        return None
    worked, remaining = total * share, total * (1.0 - share)
    if not _is_late(worked, remaining, estimate, 1.0):
        return None
    # If the whole job is larger than others of its kind, so are its other tasks.
    scale = _get_sibling_seconds(view, worker, run) / estimate.expected
    if scale > 1.0 and not _is_late(worked, remaining, estimate, scale):
        return None
    return Lateness(worked, remaining, estimate)


def _is_late(worked, remaining, estimate, scale):
    """Return whether a run is past the high quantile and a copy would end before it."""
    fresh = scale * estimate.expected + MIN_GAIN_SECONDS
    return worked > scale * estimate.high and remaining > fresh


def _get_sibling_seconds(view, worker, run):
    """Return the median duration of a step's tasks on other workers; 0 if unknown."""
    progress = view.cluster.job_by_key[run.ref.job]
    tasks = progress.get_step_tasks(run.ref.occurrence, run.ref.step)
    seconds = []
    for index, task in tasks.list_touched():
        for sibling in task.runs if index != run.ref.index else ():
            other = view.cluster.worker_by_node.get(sibling.node)
            if other is None or other is worker:
                continue
            name = f"{run.name.rpartition('.')[0]}.{index}"
            found = other.allocation_by_key.get((name, sibling.number))
            match measure_running(found) if found else None:
                case MeasuredDuration(seconds=measured):
                    seconds.append(measured)
    return median(seconds) if seconds else 0.0


def _get_core_seconds(run, at):
    """Return the processor time reserved by a run, in core-seconds."""
    seconds = at - run.started_at if run.started_at else 0.0
    return seconds * run.step.reserved_cpu / 1000 if is_usable(seconds) else 0.0


def _touch(ordered, key, build, limit):
    """Return the value of a key, built if missing; drop the keys longest unused."""
    if key not in ordered:
        ordered[key] = build()
    ordered.move_to_end(key)
    while len(ordered) > limit:
        ordered.popitem(last=False)
    return ordered[key]
