"""Whether a step waits for workers near its data, or a gang for room in one rack.

A task takes a known multiple of its time elsewhere, and a step ends with its last task.
It waits while the time until all its tasks are expected to have room is a small part of
the time saved, within the bounds of ``placewaits``.
"""

import math
from dataclasses import replace

from bergamotshore.core.work.freeing import (
    CapacityForecast,
    estimate_duration,
    get_learned_duration,
    get_sizes,
    is_usable_duration,
)
from bergamotshore.core.work.placewaits import WaitEstimate

# Time kept between the end of a wait and the last start elsewhere that meets the
# deadline, in seconds: an order and its report.
DEADLINE_MARGIN_SECONDS = 0.4
# Shortest wait that is expected, in seconds: two planning passes.
MIN_EXPECTED_SECONDS = 0.1
# Larger factors are taken for a mistake.
MAX_SPREAD_FACTOR = 100.0


class WaitDecisions:
    """Decisions about waits for near places within one planning pass.

    :param view: ``PlanView``.
    """

    def __init__(self, view):
        self._view = view
        self._waits = view.cluster.place_waits
        self._forecast = CapacityForecast(view)
        self._sizes_ahead_by_place = {}
        self._is_held_by_step = {}
        self._full_share_by_place = {}
        factor = view.spread_factor
        self._extra_share = factor - 1.0 if 1.0 < factor <= MAX_SPREAD_FACTOR else 0.0
        self.is_active = view.scheduling.patience and factor != 1.0
        if self.is_active:
            self._waits.begin_pass(view.cluster.job_by_key, view.now)

    def holds_back(self, item, ref, worker, workers, counts):
        """Return whether a task waits for a near place instead of starting elsewhere.

        All tasks of a step that find no near place wait, or none.

        :param item: ``WaitingStep``.
        :param ref: ``TaskRef`` of the task.
        :param worker: ``WorkerState`` on which it could start now.
        :param workers: Candidate ``WorkerState`` objects.
        :param counts: Number of tasks of the step by node.
        """
        rack = item.step.rack
        if not self.is_active or not rack:
            return False
        is_near = rack in worker.labels
        is_waiting = get_first_ref(ref) in self._waits.wait_by_ref
        if not is_waiting:
            self._record_demand(item, not is_near)
        if is_near:
            if is_waiting and _count_left(item) == 1:
                self._waits.end(get_first_ref(ref), "near", self._view.now)
            return False
        if not self._may_wait(item, ref):
            return False
        if item.key not in self._is_held_by_step:
            self._is_held_by_step[item.key] = self._judge_step(
                item, ref, workers, counts
            )
        return self._is_held_by_step[item.key]

    def _judge_step(self, item, ref, workers, counts):
        """Return whether the tasks of a step that are left wait for near places.

        The step ends with its last task, so that a wait only pays if all get one.
        """
        rack = item.step.rack
        near = [other for other in workers if rack in other.labels]
        return self._judge(item, ref, [(rack, near)], counts, _count_left(item))

    def _record_demand(self, item, is_full):
        place = (self._view.cluster.get_service(item.progress.spec), item.step.rack)
        self._get_full_share(place)
        self._waits.record_demand(place, is_full, self._view.now)

    def _get_full_share(self, place):
        """Return the share of tasks that found a place full, before this pass."""
        share = self._full_share_by_place.get(place)
        if share is None:
            share = self._waits.get_full_share(place, self._view.now)
            self._full_share_by_place[place] = share
        return share

    def holds_back_gang(self, item, chosen, groups, counts):
        """Return whether a gang waits for room in one rack instead of being spread.

        :param item: ``WaitingStep``.
        :param chosen: Worker for each member.
        :param groups: Lists of the ``WorkerState`` objects of each rack.
        :param counts: Number of tasks of the step by node.
        """
        if not self.is_active or not item.step.is_tight:
            return False
        ref = get_first_ref(item.refs[0])
        if len({worker.rack for worker in chosen}) == 1:
            self._waits.end(ref, "near", self._view.now)
            return False
        if not self._may_wait(item, ref):
            return False
        places = [(group[0].rack, group) for group in groups]
        return self._judge(item, ref, places, counts, len(item.refs))

    def _may_wait(self, item, ref):
        """Return whether a wait may help a task and harm nobody.

        The speed of best-effort tasks depends on what others leave. A task that resumes
        has less work left than its kind.
        """
        step, now = item.step, self._view.now
        if step.is_lasting or step.is_filling or self._waits.is_settling(now):
            return False
        if item.progress.get_task(ref).checkpoint:
            return False
        is_waiting = get_first_ref(ref) in self._waits.wait_by_ref
        return is_waiting or self._waits.get_step_seconds(ref, now) > 0.0

    def _judge(self, item, ref, places, counts, tasks):
        ref = get_first_ref(ref)
        estimate = self._estimate(item, ref, places, counts, tasks)
        if estimate is None:
            self._waits.end(ref, "gave-up", self._view.now)
            return False
        is_held = self._waits.judge(ref, estimate, self._view.now)
        if is_held:
            ahead = self._sizes_ahead_by_place.setdefault(estimate.place, [0, 0, 0])
            for index, size in enumerate(get_sizes(item.step)):
                ahead[index] += size * tasks
        return is_held

    def _estimate(self, item, ref, places, counts, tasks):
        """Return the ``WaitEstimate`` for the place that is free first, or None."""
        gain, spare = self._get_gain_and_spare(item, ref)
        if gain <= 0.0:
            return None
        service = self._view.cluster.get_service(item.progress.spec)
        best = None
        for rack, workers in places:
            place = (service, rack)
            ahead = self._count_ahead(place, item.step)
            needed = math.ceil(ahead) + tasks
            seconds = self._estimate_wait(item, workers, counts, needed)
            if best is None or seconds < best[0]:
                best = (seconds, place, ahead)
        if best is None:
            return None
        uncorrected = max(MIN_EXPECTED_SECONDS, best[0])
        correction = self._waits.get_correction(best[1], self._view.now)
        expected = uncorrected * correction
        # Who waits takes the place of a later task, and that task loses the gain if it
        # finds the place full.
        gain *= 1.0 - self._get_full_share(best[1])
        return WaitEstimate(best[1], uncorrected, expected, gain, spare, best[2])

    def _get_gain_and_spare(self, item, ref):
        """Return the time saved by a near place, and that left for a wait, in seconds.

        After the second one, a start elsewhere would miss the deadline of the job; it
        is infinite if a start now would.
        """
        view, spec = self._view, item.progress.spec
        learned = get_learned_duration(view, spec.queue, item.step)
        if not self._extra_share or not is_usable_duration(learned):
            self._waits.record_unusable(ref)
        duration = estimate_duration(view, spec.queue, item.step)
        gain = self._extra_share * duration
        if gain <= 0.0:
            return 0.0, math.inf
        queue = view.cluster.get_queue(spec.queue)
        due = spec.get_due_time(item.occurrence) if spec.repeats else spec.accepted_at
        path = estimate_path(view, spec, None)
        due += path if queue is None else queue.stretch * path + queue.slack
        rest = estimate_path(view, spec, item.number)
        spare = due - view.wall - duration - gain - rest - DEADLINE_MARGIN_SECONDS
        return gain, spare if spare >= 0.0 else math.inf

    def _count_ahead(self, place, step):
        """Return how many tasks of the size of a step wait before it for a place."""
        ahead = self._sizes_ahead_by_place.get(place, (0, 0, 0))
        shares = [
            amount / size
            for amount, size in zip(ahead, get_sizes(step), strict=True)
            if size > 0
        ]
        return max(shares, default=0.0)

    def _estimate_wait(self, item, workers, counts, needed):
        """Return in how many seconds a number of tasks has room, or infinity."""
        if not workers:
            return math.inf
        times = self._forecast.list_slot_times(item.step, workers, counts)
        if needed <= len(times):
            return times[needed - 1]
        rate = self._forecast.get_rate(item.step, workers)
        if rate <= 0.0:
            return math.inf
        last = times[-1] if times else 0.0
        return last + (needed - len(times)) / rate


def get_first_ref(ref):
    """Return the ``TaskRef`` of the first task of a step, which stands for the step."""
    return replace(ref, index=0)


def _count_left(item):
    """Return how many tasks of a step have no run, after the claims of this pass."""
    tasks = item.progress.get_step_tasks(item.occurrence, item.number)
    return tasks.count_waiting()


def estimate_path(view, spec, number):
    """Return the expected length of the longest chain of steps, in seconds.

    :param number: Index of the step after which the chain begins; None for all steps.
    """
    length_by_step = {} if number is None else {number: 0.0}
    for index, step in enumerate(spec.steps):
        earlier = [length_by_step[i] for i in step.after if i in length_by_step]
        if number is None or (index != number and earlier):
            duration = estimate_duration(view, spec.queue, step)
            length_by_step[index] = max(earlier, default=0.0) + duration
    return max(length_by_step.values(), default=0.0)
