"""In-memory row store and worker of the users' platform.

They follow the platform's documented rules and use no network; tests call them in one
thread, the soak serves them over HTTP.
"""

import itertools
import time
from dataclasses import dataclass, replace

from returns.result import Failure, Success

from bergamotshore.core.work.model import build_worker_size
from bergamotshore.exceptions import (
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
    RowsRefused,
    WorkerFailure,
)
from bergamotshore.ports.rows import HistoryLost, RowPage, RowsConflict, StoredRow
from bergamotshore.ports.runner import (
    ListedCompletion,
    ListedRun,
    RunAccepted,
    RunRejected,
    WorkerIncarnation,
    WorkerListing,
    WorkerReport,
)

# Limits of a row, in bytes, and of a transaction.
ROW_BYTES = 65_536
MAX_KEY_BYTES = 200
MAX_ENTRIES = 100
# A worker lists at most this many ends at a time.
MAX_LISTED_ENDS = 500
SERVICE = "books"
LONGEST_HOLD_SECONDS = 6.0
# The worker's clock runs this much slower than true time by default.
WORKER_DRIFT = 0.02
# Time for which a crashed worker refuses connections, in seconds.
CRASH_SECONDS = 3.0
# A reduced capacity limits starts only after this time, in seconds: 3 s of contact and
# one heartbeat.
REDUCTION_NOTICE_SECONDS = 3.0 + 1.1
# Interval of work between two checkpoints, in seconds.
CHECKPOINT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of a worker.

    :param cpu: Processors, in thousandths.
    :param memory: Memory, in MB.
    :param accelerators: Number of accelerators.
    """

    cpu: int
    memory: int
    accelerators: int = 0


class RowsStandIn:
    """Row store in memory; ``faults`` lists the faults of the next transactions.

    Faults are 'ok' (none), 'down' (not executed), 'lost' (executed, response lost) and
    'late' (executed by ``run_late``, if its conditions hold then).

    :param get_now: Function that returns the time on its clock, in seconds.
    """

    def __init__(self, get_now=time.monotonic):
        self.get_now = get_now
        self.largest_value = 0
        self.row_by_id = {}
        self.version = 0
        self.changes = []
        self.oldest = 0
        self.faults = []
        self.late = []
        self.is_down = False
        self.calls = 0

    def transact(self, expects, puts, deletes, timeout=None):
        """Apply all changes or none, subject to the next injected fault."""
        self.calls += 1
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        match self.faults.pop(0) if self.faults else "ok":
            case "down":
                return Failure(PlatformUnavailable("down"))
            case "late":
                self.late.append((expects, puts, deletes))
                return Failure(PlatformUncertain("late"))
            case "lost":
                self._apply(expects, puts, deletes)
                return Failure(PlatformUncertain("lost"))
        return self._apply(expects, puts, deletes)

    def run_late(self):
        """Execute the delayed calls."""
        late, self.late = self.late, []
        for call in late:
            self._apply(*call)

    def write(self, puts, deletes):
        """Apply changes of another writer, which injected faults don't affect."""
        self._apply([], puts, deletes)

    def _apply(self, expects, puts, deletes):
        ids = [item.id for item in (*expects, *puts)] + list(deletes)
        if len({row_id.part for row_id in ids}) > 1:
            return Failure(PlatformAnswerInvalid("entries of several partitions"))
        if problem := self._find_oversize(ids, puts):
            return Failure(RowsRefused(problem))
        expected_rows = [self.row_by_id.get(item.id) for item in expects]
        for expect, row in zip(expects, expected_rows, strict=True):
            if expect.version != (row.version if row is not None else 0):
                return Failure(RowsConflict([row for row in expected_rows if row]))
        self.version += 1
        for put in puts:
            self.row_by_id[put.id] = StoredRow(put.id, self.version, put.value)
            self.changes.append(self.row_by_id[put.id])
        for row_id in deletes:
            if self.row_by_id.pop(row_id, None) is not None:
                self.changes.append(StoredRow(row_id, self.version, b"", True))
        return Success(self.version)

    def _find_oversize(self, ids, puts):
        """Return which limit of the store a transaction exceeds; empty for none."""
        self.largest_value = max(
            [self.largest_value, *(len(put.value) for put in puts)]
        )
        if any(4 * -(-len(put.value) // 3) > ROW_BYTES for put in puts):
            return "value too large"
        if any(len(row_id.key.encode()) > MAX_KEY_BYTES for row_id in ids):
            return "key too long"
        return "too many entries" if len(ids) > MAX_ENTRIES else ""

    def read(self, table, part, first="", last="", limit=0, timeout=None):
        """Read a range of rows."""
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        rows = [
            row
            for row_id, row in sorted(self.row_by_id.items(), key=lambda i: i[0].key)
            if (row_id.table, row_id.part) == (table, part)
            and row_id.key >= first
            and (not last or row_id.key < last)
        ]
        cut = rows[:limit] if limit else rows
        is_partial = len(cut) < len(rows)
        return Success(RowPage(cut, self.version, is_partial, now=self.get_now()))

    def follow(self, table, after, wait, timeout=None):
        """Return the changes after a version; never waits."""
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        if after < self.oldest:
            return Failure(HistoryLost())
        rows = [r for r in self.changes if r.id.table == table and r.version > after]
        return Success(RowPage(rows, self.version, now=self.get_now()))

    def compact(self):
        """Discard the change history."""
        self.changes.clear()
        self.oldest = self.version


class RunnerStandIn:
    """One worker; ``faults`` lists the faults of the next start orders.

    ``usage`` is listed for each run: its tail latency or its processor usage, and
    ``percent``, its progress.

    ``throttle_faults``, ``stop_faults`` and ``renewal_faults`` list those of the next
    throttle and stop orders and renewals of the lease. Faults are 'ok' (none), 'lost'
    (executed, response lost), 'late' (executed by ``run_late``, maybe by a later
    incarnation) and 'silent' (not executed, no response).

    ``stop_seconds`` is the time that a stop takes; the run keeps its resources until
    then.

    ``drift`` is the share by which its clock runs slower than true time, and
    ``longest_hold`` its longest lease, in seconds.

    A task with a crash delay in the ledger crashes the worker after that time of work,
    for ``crash_seconds``; with delay 0, the order to start it gets no response.
    """

    def __init__(self, clock, name, ledger, cpu=16000, memory=64000):
        self.clock = clock
        self.name = name
        self.machine = f"vm of {name}"
        self.ledger = ledger
        self.drift = WORKER_DRIFT
        self.longest_hold = LONGEST_HOLD_SECONDS
        self.capacity = Capacity(cpu, memory)
        self.stop_seconds = 0.0
        self.rack = "r1-1"
        self.zone = ""
        self.usage = 1.0
        self.percent = 100
        self.faults = []
        self.late = []
        self.throttle_faults = []
        self.late_throttles = []
        self.stop_faults = []
        self.late_stops = []
        self.renewal_faults = []
        self.late_renewals = []
        self.is_cut = False
        self.is_gone = False
        self.is_draining = False
        self.down_until = 0.0
        self.crash_seconds = CRASH_SECONDS
        self.incarnation_starts = itertools.count(1_000_000 + 1000 * hash(name) % 977)
        self.begin_incarnation()

    def crash(self, seconds=CRASH_SECONDS):
        """Lose all state and refuse connections for some seconds."""
        self.restart()
        self.down_until = self.clock.now() + seconds

    def restart(self):
        """Crash, and start a new incarnation at once."""
        self.ledger.record_crash(self)
        self.begin_incarnation()

    def begin_incarnation(self):
        """Start a new incarnation without any state."""
        self.ledger.forget_worker(self)
        self.down_until = 0.0
        self.crash_at_by_run = {}
        self.stopped_at_by_run = {}
        self.former_capacities = []
        self.born = next(self.incarnation_starts)
        self.started_at = self.clock.now()
        self.fence = 0
        self.run_by_task = {}
        self.percent_by_run = {}
        self.throttled_at_by_run = {}
        self.started_at_by_run = {}
        self.refused_up_to_number = {}
        self.ends = []
        self.sequence = 0
        self.lease_end_ms = 0
        self.void_sequences = set()
        self._confirmed_ms = None

    @property
    def incarnation(self):
        """Return the present ``WorkerIncarnation``."""
        return WorkerIncarnation(self.name, self.born)

    @property
    def clock_ms(self):
        """Return the time of the worker's clock, in milliseconds."""
        return int((self.clock.now() - self.started_at) * 1000 * (1 - self.drift))

    @property
    def is_down(self):
        """Return whether the worker has crashed and is not back yet."""
        return self.down_until > 0.0

    @property
    def is_sending_heartbeats(self):
        """Return whether heartbeats of the worker reach its node."""
        return not (self.is_cut or self.is_gone or self.is_down)

    @property
    def has_faults(self):
        """Return whether orders are lost, or were left to be executed late."""
        return any(
            (
                self.faults,
                self.late,
                self.stop_faults,
                self.late_stops,
                self.throttle_faults,
                self.late_throttles,
                self.renewal_faults,
                self.late_renewals,
            )
        )

    def resize(self, **changes):
        """Change the capacity of the running worker.

        :param changes: New values of fields of ``Capacity``.
        """
        self.former_capacities.append((self.clock.now(), self.capacity))
        self.capacity = replace(self.capacity, **changes)

    def get_start_limit(self):
        """Return the ``Capacity`` that starts may not exceed.

        Reductions count once the scheduler has had the time to notice them.
        """
        noticed_since = self.clock.now() - REDUCTION_NOTICE_SECONDS
        sizes = [size for at, size in self.former_capacities if at > noticed_since]
        sizes.append(self.capacity)
        return Capacity(
            max(size.cpu for size in sizes),
            max(size.memory for size in sizes),
            max(size.accelerators for size in sizes),
        )

    def update(self):
        """Apply what is due: return after a crash, expired leases, stops, crashes."""
        now = self.clock.now()
        if self.is_down and now >= self.down_until:
            self.begin_incarnation()
        self.end_runs_if_expired()
        for (task, number), stopped_at in list(self.stopped_at_by_run.items()):
            if now >= stopped_at:
                del self.stopped_at_by_run[(task, number)]
                if self.run_by_task.get(task) == number:
                    self.finish(task, "stopped")
        if any(
            self.run_by_task.get(task) == number and now >= crash_at
            for (task, number), crash_at in self.crash_at_by_run.items()
        ):
            self.crash(self.crash_seconds)

    def end_runs_if_expired(self):
        """End all runs once the lease has expired.

        Completions not acknowledged before are void: their tasks may run again.
        """
        if self.clock_ms >= self.lease_end_ms:
            self.void_sequences.update(end.sequence for end in self.ends)
            for task in list(self.run_by_task):
                self.finish(task, "lapsed")

    def finish(self, task, outcome):
        """End a run and queue its completion for the next listing."""
        number = self.run_by_task.pop(task)
        self.sequence += 1
        checkpoint = self._save(task, number) if outcome == "stopped" else ""
        self.ends.append(
            ListedCompletion(self.sequence, task, number, outcome, checkpoint)
        )
        self.refused_up_to_number[task] = max(
            number, self.refused_up_to_number.get(task, 0)
        )
        self.ledger.record_completion(self, task, number, outcome)

    def _save(self, task, number):
        """Return the latest checkpoint of a run, empty without one."""
        if not self.ledger.get_step(task).has_checkpoints:
            return ""
        worked = self.clock.now() - self.started_at_by_run[(task, number)]
        checkpoint = f"{task}/{number}/{worked // CHECKPOINT_SECONDS:.0f}"
        self.ledger.record_checkpoint(task, checkpoint)
        return checkpoint

    def _check_reachable(self):
        self.update()
        if self.is_gone or self.is_down:
            return Failure(WorkerFailure("refused", True, is_refused=True))
        if self.is_cut:
            return Failure(WorkerFailure("silent", is_certain=False))
        return Success(None)

    def is_refusing(self):
        """Return whether a new connection would be refused."""
        self.update()
        return self.is_gone or self.is_down

    def is_confirmed(self, started_ms):
        """Return whether the connection leads to an incarnation."""
        return self._confirmed_ms == started_ms

    def confirm(self, started_ms, fence):
        """Return a failure unless an incarnation answers; it extends nothing."""
        match self._check_reachable():
            case Failure(failure):
                return Failure(replace(failure, is_certain=True))
        if started_ms != self.born:
            return Failure(RunRejected("other-life"))
        return Success(None)

    def start(self, order, lease_end_ms, fence, incarnation):
        """Start a run, subject to the next injected fault."""
        match self._check_reachable():
            case Failure() as failure:
                return failure
        if incarnation.started_ms != self.born:
            return Failure(WorkerFailure("not confirmed", is_certain=True))
        match self.faults.pop(0) if self.faults else "ok":
            case "silent":
                return Failure(WorkerFailure("silent", is_certain=False))
            case "late":
                self.late.append((order, lease_end_ms, fence))
                return Failure(WorkerFailure("late", is_certain=False))
            case "lost":
                self._start(order, lease_end_ms, fence)
                return Failure(WorkerFailure("lost", is_certain=False))
        return self._start(order, lease_end_ms, fence)

    def _extend(self, lease_end_ms):
        longest = self.clock_ms + int(self.longest_hold * 1000)
        self.lease_end_ms = max(self.lease_end_ms, min(longest, lease_end_ms))

    def run_late(self):
        """Execute the delayed calls, those to a former incarnation included."""
        late, self.late = self.late, []
        late_stops, self.late_stops = self.late_stops, []
        late_throttles, self.late_throttles = self.late_throttles, []
        late_renewals, self.late_renewals = self.late_renewals, []
        if self.is_down or self.is_gone:
            return
        for renewal in late_renewals:
            self._renew(*renewal)
        for order, lease_end_ms, fence in late:
            self._start(order, lease_end_ms, fence, is_late=True)
        for stop in late_stops:
            self._stop(*stop)
        for throttle in late_throttles:
            self._throttle(*throttle)

    def _start(self, order, lease_end_ms, fence, is_late=False):
        self.end_runs_if_expired()
        if fence < self.fence:
            return Failure(RunRejected("fence", self.clock_ms))
        self.fence = fence
        self._extend(lease_end_ms)
        if self.run_by_task.get(order.task) == order.number:
            return Success(RunAccepted(self.clock_ms))
        if order.number <= self.refused_up_to_number.get(order.task, 0):
            return Failure(RunRejected("old", self.clock_ms))
        if lease_end_ms <= self.clock_ms:
            return Failure(RunRejected("late", self.clock_ms))
        self.run_by_task[order.task] = order.number
        self.started_at_by_run[(order.task, order.number)] = self.clock.now()
        self.ledger.record_start(self, order, is_late)
        delay = self.ledger.get_crash_delay(order.task)
        if delay is not None:
            crash_at = self.clock.now() + delay
            self.crash_at_by_run[(order.task, order.number)] = crash_at
            self.update()
        if self.is_down:
            return Failure(WorkerFailure("silent", is_certain=False))
        return Success(RunAccepted(self.clock_ms))

    def stop(self, task, number, fence):
        """Stop a run, subject to the next injected fault."""
        match self._check_reachable():
            case Failure() as failure:
                return failure
        match self.stop_faults.pop(0) if self.stop_faults else "ok":
            case "silent":
                return Failure(WorkerFailure("silent", is_certain=False))
            case "late":
                self.late_stops.append((task, number, fence))
                return Failure(WorkerFailure("late", is_certain=False))
            case "lost":
                self._stop(task, number, fence)
                return Failure(WorkerFailure("lost", is_certain=False))
        return self._stop(task, number, fence)

    def _stop(self, task, number, fence):
        if fence < self.fence:
            return Failure(RunRejected("fence", self.clock_ms))
        self.fence = fence
        self.refused_up_to_number[task] = max(
            number, self.refused_up_to_number.get(task, 0)
        )
        if self.run_by_task.get(task) == number:
            if (task, number) not in self.stopped_at_by_run:
                self.ledger.record_stop(self, task)
            stopped_at = self.clock.now() + self.stop_seconds
            self.stopped_at_by_run.setdefault((task, number), stopped_at)
            self.update()
        return Success(RunAccepted(self.clock_ms))

    def throttle(self, task, number, percent, fence):
        """Set the speed limit of a run, subject to the next injected fault."""
        match self._check_reachable():
            case Failure() as failure:
                return failure
        match self.throttle_faults.pop(0) if self.throttle_faults else "ok":
            case "silent":
                return Failure(WorkerFailure("silent", is_certain=False))
            case "late":
                self.late_throttles.append((task, number, percent, fence))
                return Failure(WorkerFailure("late", is_certain=False))
        return self._throttle(task, number, percent, fence)

    def _throttle(self, task, number, percent, fence):
        if fence < self.fence:
            return Failure(RunRejected("fence", self.clock_ms))
        self.fence = fence
        if self.run_by_task.get(task) != number:
            return Failure(RunRejected("invalid", self.clock_ms))
        self.percent_by_run[(task, number)] = percent
        self.throttled_at_by_run.setdefault((task, number), self.clock.now())
        return Success(RunAccepted(self.clock_ms))

    def renew_lease(self, lease_end_ms, fence, acknowledgement, wait_ms):
        """Extend the lease, subject to the next injected fault; list all runs.

        Lease end and acknowledgement only reach the incarnation that they are for.
        """
        outcome = self._renew_lease(lease_end_ms, fence, acknowledgement)
        is_answered = isinstance(outcome, Success)
        self._confirmed_ms = self.born if is_answered else None
        return outcome

    def _renew_lease(self, lease_end_ms, fence, acknowledgement):
        match self._check_reachable():
            case Failure() as failure:
                return failure
        is_bound = acknowledgement.started_ms == self.born
        acknowledged = acknowledgement.sequence if is_bound else 0
        renewal = (lease_end_ms if is_bound else None, fence, acknowledged)
        match self.renewal_faults.pop(0) if self.renewal_faults else "ok":
            case "silent":
                return Failure(WorkerFailure("silent", is_certain=False))
            case "late":
                self.late_renewals.append(renewal)
                return Failure(WorkerFailure("late", is_certain=False))
            case "lost":
                self._renew(*renewal)
                return Failure(WorkerFailure("lost", is_certain=False))
        return self._renew(*renewal)

    def _renew(self, lease_end_ms, fence, acknowledged):
        if fence < self.fence:
            return Failure(RunRejected("fence", self.clock_ms))
        self.fence = fence
        if lease_end_ms is not None:
            self._extend(lease_end_ms)
        for end in self.ends:
            if end.sequence <= acknowledged and end.sequence not in self.void_sequences:
                self.ledger.record_acknowledgement(end)
        self.ends = [end for end in self.ends if end.sequence > acknowledged]
        running = [
            ListedRun(task, number, self._save(task, number), self.percent, self.usage)
            for task, number in self.run_by_task.items()
        ]
        ends = self.ends[:MAX_LISTED_ENDS]
        is_complete = len(ends) < MAX_LISTED_ENDS
        return Success(
            WorkerListing(self.clock_ms, self.born, running, ends, is_complete)
        )

    @property
    def labels(self):
        """Return the labels of the worker: its kind and its rack."""
        return ("a", self.rack)

    def build_report(self, zone):
        """Return the worker's heartbeat report."""
        return WorkerReport(
            incarnation=self.incarnation,
            service=SERVICE,
            zone=zone,
            version="v1",
            is_draining=self.is_draining,
            remaining=0.0,
            warmup=0.0,
            size=build_worker_size(
                self.capacity.cpu, self.capacity.memory, self.capacity.accelerators
            ),
            machine=self.machine,
            labels=self.labels,
            rack=self.rack,
            clock_ms=self.clock_ms,
        )
