"""Waits of steps for near places: when they begin and end, and what they teach.

A wait that has begun is judged again in each planning pass. Differences between the
expected and the real waits correct later estimates for the same place.
"""

import math
from dataclasses import dataclass

# A wait begins if it is expected to take at most this share of the time saved.
BEGIN_SHARE = 0.35
# A wait ends after this share of the time saved at the latest, so that even a task that
# has waited in vain loses less than it stood to gain.
MAX_GAIN_SHARE = 0.75
# All waits of a step end this long after the first has begun, in seconds. Callers may
# expect a job with capacity to run within 3 s; starts and reports take up to 1 s.
MAX_WAIT_SECONDS = 1.5
# No wait begins in the first seconds of a term, in seconds: the scheduler of the term
# before may have let the same task wait, and ends of runs aren't known yet.
SETTLING_SECONDS = 3.0
# Weight of a new observation of real against expected wait, and bounds of the result.
CORRECTION_WEIGHT = 0.3
CORRECTION_RANGE = (0.25, 8.0)
# Ratio by which a wait in vain has at least exceeded its estimate.
GAVE_UP_RATIO = 2.0
# A correction halves in this time, so that a rack that no wait paid for is tried again.
CORRECTION_HALF_LIFE_SECONDS = 10.0
# Bounds of the state kept.
MAX_WAITS = 2000
MAX_PLACES = 500
# Time constant of the share of tasks that find a rack full, in seconds.
DEMAND_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Expected cost and gain of a wait.

    :param place: Service and rack.
    :param uncorrected: Expected wait from ends of runs, in seconds.
    :param expected: The same, corrected by earlier waits for the rack.
    :param gain: Time saved by a place near, in seconds.
    :param spare: Time after which a start elsewhere would miss the deadline, in
        seconds; infinite if it misses the deadline now.
    :param ahead: Tasks that wait for the same place before this one.
    """

    place: tuple
    uncorrected: float
    expected: float
    gain: float
    spare: float = math.inf
    ahead: float = 0.0


@dataclass(frozen=True, slots=True)
class PlaceWait:
    """A wait that has begun.

    :param began_at: When it has begun, in seconds.
    :param ends_at: When it ends at the latest, in seconds.
    :param estimate: ``WaitEstimate`` by which it has begun.
    """

    began_at: float
    ends_at: float
    estimate: WaitEstimate


@dataclass(frozen=True, slots=True)
class WaitEvent:
    """The begin or end of a wait, or an estimate that can't be used.

    :param result: 'began', 'near', 'gave-up' or 'unusable'.
    :param ref: ``TaskRef`` of the first task of the step.
    :param waited: How long it has waited, in seconds.
    :param estimate: ``WaitEstimate``; None when it can't be used.
    """

    result: str
    ref: object
    waited: float = 0.0
    estimate: WaitEstimate | None = None


def may_begin(estimate, limit):
    """Return whether a wait pays and is expected to end in time.

    :param estimate: ``WaitEstimate``.
    :param limit: Longest wait that is allowed, in seconds.
    """
    return estimate.expected <= min(limit, BEGIN_SHARE * estimate.gain)


def may_go_on(wait, estimate, now):
    """Return whether a wait goes on.

    Hysteresis: it goes on at an estimate at which it would not have begun.

    :param wait: ``PlaceWait``.
    :param estimate: ``WaitEstimate`` of now.
    """
    return now < wait.ends_at and estimate.expected <= estimate.gain


def get_wait_limit(estimate, step_seconds):
    """Return the longest wait, in seconds.

    :param step_seconds: Time left for waits of the step, in seconds.
    """
    return min(MAX_GAIN_SHARE * estimate.gain, step_seconds, estimate.spare)


class PlaceWaits:
    """Waits of steps for near places, and what earlier waits have taught.

    It is not stored: a new term begins without waits.
    """

    def __init__(self):
        self.wait_by_ref = {}
        self._events = []
        self._since_by_step = {}
        self._correction_by_place = {}
        self._demand_by_place = {}
        self._first_pass_at = None
        self._unusable_queues = set()

    def pop_events(self):
        """Return the ``WaitEvent`` objects since the last call, and clear them."""
        events, self._events = self._events, []
        return events

    def begin_pass(self, jobs, now):
        """Drop what has become obsolete.

        :param jobs: Keys of all open jobs.
        """
        if self._first_pass_at is None:
            self._first_pass_at = now
        self.wait_by_ref = {
            ref: wait
            for ref, wait in self.wait_by_ref.items()
            if ref.job in jobs and now < wait.ends_at + MAX_WAIT_SECONDS
        }
        self._since_by_step = {
            key: since for key, since in self._since_by_step.items() if key[0] in jobs
        }

    def is_settling(self, now):
        """Return whether the term has begun too recently for waits."""
        return now < self._first_pass_at + SETTLING_SECONDS

    def get_step_seconds(self, ref, now):
        """Return the time left for waits of the step of a task, in seconds."""
        since = self._since_by_step.get(ref.step_key, now)
        return MAX_WAIT_SECONDS - (now - since)

    def judge(self, ref, estimate, now):
        """Begin a wait, let it go on or end it; return whether the step waits.

        :param ref: ``TaskRef`` of the first task of the step.
        :param estimate: ``WaitEstimate``.
        """
        wait = self.wait_by_ref.get(ref)
        if wait is not None:
            if may_go_on(wait, estimate, now):
                return True
            self.end(ref, "gave-up", now)
            self._since_by_step[ref.step_key] = -math.inf
            return False
        limit = get_wait_limit(estimate, self.get_step_seconds(ref, now))
        if len(self.wait_by_ref) >= MAX_WAITS or not may_begin(estimate, limit):
            # Its tasks start elsewhere now, and the step ends with the last of them.
            self._since_by_step[ref.step_key] = -math.inf
            return False
        self.wait_by_ref[ref] = PlaceWait(now, now + limit, estimate)
        self._since_by_step.setdefault(ref.step_key, now)
        self._events.append(WaitEvent("began", ref, 0.0, estimate))
        return True

    def end(self, ref, result, now):
        """End the wait of a step, if there is one, and learn from it.

        :param ref: ``TaskRef`` of the first task of the step.
        """
        wait = self.wait_by_ref.pop(ref, None)
        if wait is None:
            return
        waited = now - wait.began_at
        self._events.append(WaitEvent(result, ref, waited, wait.estimate))
        ratio = waited / wait.estimate.uncorrected
        if result == "gave-up":
            ratio = max(ratio, GAVE_UP_RATIO)
        self._learn(wait.estimate.place, ratio, now)

    def _learn(self, place, ratio, now):
        low, high = CORRECTION_RANGE
        ratio = min(high, max(low, ratio))
        before = self.get_correction(place, now)
        correction = before ** (1.0 - CORRECTION_WEIGHT) * ratio**CORRECTION_WEIGHT
        _put_bounded(self._correction_by_place, place, (correction, now))

    def get_correction(self, place, now):
        """Return the factor between real and expected waits for a place."""
        correction, at = self._correction_by_place.get(place, (1.0, now))
        age = max(0.0, now - at)
        return correction ** (0.5 ** (age / CORRECTION_HALF_LIFE_SECONDS))

    def record_demand(self, place, is_full, now):
        """Record whether a new task found a near place full."""
        full, total = self._get_demand(place, now)
        _put_bounded(self._demand_by_place, place, (full + is_full, total + 1.0, now))

    def _get_demand(self, place, now):
        full, total, at = self._demand_by_place.get(place, (0.0, 0.0, now))
        weight = math.exp((at - now) / DEMAND_SECONDS)
        return full * weight, total * weight

    def get_full_share(self, place, now):
        """Return the share of recent tasks that found a place full."""
        full, total = self._get_demand(place, now)
        return full / total if total > 0.0 else 0.0

    def record_unusable(self, ref):
        """Record once for each queue that a duration or factor can't be used."""
        queue = ref.job.rpartition("/")[0]
        if queue not in self._unusable_queues and len(self._unusable_queues) < 100:
            self._unusable_queues.add(queue)
            self._events.append(WaitEvent("unusable", ref))


def _put_bounded(value_by_place, place, value):
    """Set a value and drop those of the places that were set longest ago."""
    value_by_place.pop(place, None)
    value_by_place[place] = value
    while len(value_by_place) > MAX_PLACES:
        del value_by_place[next(iter(value_by_place))]
