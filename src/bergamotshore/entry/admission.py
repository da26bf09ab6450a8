"""Admission of jobs at one entry, by the newest estimate that it was told of."""

import math
import threading
from collections import deque
from dataclasses import dataclass, replace

import msgspec

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.core.work.admission import (
    MAX_AGE_SECONDS,
    find_refusal,
    get_longest_wait,
)
from bergamotshore.core.work.backlog import (
    DUES,
    TIMES,
    Arrival,
    Backlog,
    describe_arrival,
    is_ahead,
)
from bergamotshore.core.work.model import MAX_NUMBER
from bergamotshore.exceptions import DecodingError

# Longest time between the clock reading that a heartbeat echoes and its arrival, in
# seconds: two heartbeats of half a second and their transfer. A later one was held up,
# so the age of what it tells isn't known.
MAX_TRANSIT_SECONDS = 1.6
# Jobs accepted within the longest age of an estimate that are counted at most.
MAX_RECENT = 2000
# They are counted together if their objectives differ by less than a fifth: a decision
# takes less than 0.1 ms. Steps of the times by factors of two.
DUE_STEPS = 4
MIN_DUE_SECONDS = 0.25
# Shortest interval between two log lines about invalid estimates, in seconds.
LOG_INTERVAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job that this entry has accepted.

    :param at: When it was stored, in seconds.
    :param arrival: ``Arrival``.
    """

    at: float
    arrival: Arrival


class Admission:
    """Decide about new jobs; the methods may be called from any thread.

    :param is_enabled: Whether jobs are refused, and estimates passed on, at all.
    :param name: Name of this entry.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param count_entries: Function that returns the number of entries.
    """

    def __init__(self, is_enabled, name, clock, registry, log, count_entries=lambda: 1):
        self.is_enabled = is_enabled
        self._name = name
        self._clock = clock
        self._registry = registry
        self._log = log
        self._count_entries = count_entries
        self._lock = threading.Lock()
        self._backlog = None
        # When it was made at the latest, and at the earliest: its way took up to the
        # time since the clock reading that its heartbeat echoed.
        self._made_at = self._made_from = -math.inf
        self._recent = deque(maxlen=MAX_RECENT)
        # Number and core-seconds of jobs accepted since the estimate, by class.
        self._accepted_by_class = {}
        self._fallback = ""
        self._logged_at = -math.inf

    def record(self, backlog, transit=0.0):
        """Record an estimate that was made or told just now.

        :param backlog: ``Backlog``; one that isn't newer than the held one is ignored.
        :param transit: Longest time that it was on its way, in seconds.
        """
        now = self._clock.now()
        with self._lock:
            is_held = now - self._made_from < MAX_AGE_SECONDS
            if not (is_held and backlog.epoch < self._backlog.epoch):
                if self._is_newer(backlog) and backlog.age + transit < MAX_AGE_SECONDS:
                    self._backlog, self._made_at = backlog, now - backlog.age
                    self._made_from = self._made_at - transit
                    self._count_recent()
                return
        self._report_invalid("former-term")

    def _is_newer(self, backlog):
        """Return whether an estimate has another term or a higher number.

        Ages don't tell that: they are known only up to the time on the way.
        """
        held = self._backlog
        if held is None or backlog.epoch != held.epoch:
            return True
        return backlog.number > held.number

    def record_told(self, content, echo):
        """Record the estimate in a heartbeat of another entry.

        :param content: Encoded estimate; empty for none.
        :param echo: This entry's clock as the heartbeat echoes it, in seconds.
        """
        if not content or not self.is_enabled:
            return
        transit = self._clock.now() - echo
        if not 0.0 <= transit <= MAX_TRANSIT_SECONDS:
            # The first heartbeat of a stream echoes nothing yet.
            if echo:
                self._report_invalid("late")
            return
        try:
            backlog = decode_backlog(content)
        except DecodingError as error:
            self._report_invalid("malformed", str(error))
            return
        self.record(backlog, transit)

    def encode(self):
        """Return the estimate to pass on, with its longest age; empty without one."""
        now = self._clock.now()
        with self._lock:
            backlog, age = self._backlog, now - self._made_from
        if backlog is None or not self.is_enabled or age >= MAX_AGE_SECONDS:
            return b""
        return encode_backlog(replace(backlog, age=age))

    def find_refusal(self, spec, queue):
        """Return the ``Refusal`` of a job; None to accept it.

        Scheduled and long-running jobs are never refused for load.

        :param spec: ``JobSpec``.
        :param queue: ``Queue``.
        """
        if not self.is_enabled or spec.repeats or spec.is_lasting:
            return None
        started_at = now = self._clock.now()
        with self._lock:
            backlog, made_at = self._backlog, self._made_at
            longest_age = now - self._made_from
            accepted = list(self._accepted_by_class.items())
        age = now - made_at
        if backlog is None or longest_age >= MAX_AGE_SECONDS:
            reason = "absent" if backlog is None else "old"
            self._report_fallback(reason, longest_age)
            return None
        self._report_resumed(backlog.epoch, age)
        arrival = describe_arrival(spec, queue)
        ahead = [total for key, total in accepted if _goes_before(key, arrival)]
        count = sum(total[0] for total in ahead)
        work = sum(total[1] for total in ahead)
        limit = get_longest_wait(spec, queue)
        entries = max(1, self._count_entries())
        refusal = find_refusal(
            backlog, age, arrival, limit, (count, work), entries, spec.job_id
        )
        self._registry.measure("admission_seconds", self._clock.now() - started_at)
        return refusal

    def record_accepted(self, spec, queue):
        """Record a job that was stored, for the decisions until the next estimate."""
        if self.is_enabled and not spec.repeats and not spec.is_lasting:
            accepted = AcceptedJob(self._clock.now(), describe_arrival(spec, queue))
            with self._lock:
                self._recent.append(accepted)
                self._count(accepted)

    def _count_recent(self):
        """Count the jobs accepted since the estimate anew."""
        while self._recent and self._recent[0].at <= self._made_at:
            self._recent.popleft()
        self._accepted_by_class = {}
        for accepted in self._recent:
            self._count(accepted)

    def _count(self, accepted):
        arrival = accepted.arrival
        due = max(MIN_DUE_SECONDS, arrival.due)
        key = replace(arrival, due=_round_due(due), work=0.0)
        count, work = self._accepted_by_class.get(key, (0, 0.0))
        self._accepted_by_class[key] = (count + 1, work + arrival.work)

    def _report_fallback(self, reason, age):
        self._registry.count("admission_fallbacks_total", reason=reason)
        if self._fallback != reason:
            self._fallback = reason
            told = round(age, 3) if math.isfinite(age) else -1
            self._log.write("admission-fallback", self._name, why=reason, age=told)

    def _report_resumed(self, epoch, age):
        if self._fallback:
            self._fallback = ""
            self._log.write("admission-resumed", self._name, epoch=epoch, age=age)

    def _report_invalid(self, reason, detail=""):
        self._registry.count("estimates_invalid_total", reason=reason)
        now = self._clock.now()
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            why = f"{reason}: {detail}" if detail else reason
            self._log.write("estimate-invalid", self._name, why=why)


def _round_due(seconds):
    """Return the largest of the times that objectives are counted by, in seconds."""
    return 2.0 ** (math.floor(DUE_STEPS * math.log2(seconds)) / DUE_STEPS)


def _goes_before(earlier, arrival):
    """Return whether jobs that were accepted before go before a new one."""
    if is_ahead(earlier, arrival):
        return True
    key = (arrival.service, arrival.priority, arrival.is_filling)
    is_same = (earlier.service, earlier.priority, earlier.is_filling) == key
    return is_same and earlier.due <= arrival.due


def encode_backlog(backlog):
    """Encode a ``Backlog`` as bytes."""
    return msgspec.msgpack.encode(backlog)


def decode_backlog(content):
    """Decode a ``Backlog``.

    :raises DecodingError: if the bytes are not one, or a figure can't be.
    """
    backlog = decode_msgpack(content, Backlog)
    numbers = [backlog.age, *backlog.cores_by_service.values()]
    numbers += backlog.filling_cores_by_service.values()
    numbers += backlog.drain_by_service.values()
    numbers += backlog.idle_by_service.values()
    numbers += backlog.filling_idle_by_service.values()
    for load in backlog.classes:
        numbers += (load.priority, load.used)
        for due, row in load.row_by_due.items():
            numbers += row
            if not 0 <= due <= len(DUES) or len(row) != len(TIMES):
                raise DecodingError("a row of an estimate has another form")
            if any(
                later < earlier for earlier, later in zip(row, row[1:], strict=False)
            ):
                raise DecodingError("a row of an estimate decreases")
    numbers.append(backlog.number)
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise DecodingError("a figure of an estimate is out of range")
    if not 1 <= backlog.epoch <= MAX_NUMBER:
        raise DecodingError("the term of an estimate is out of range")
    return backlog
