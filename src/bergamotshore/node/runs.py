"""The runs on the worker beside a node: orders, the lease, what is in doubt."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.core.work.confirmation import MAX_ORDER_AGE_SECONDS
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.generated.messages import RunReport
from bergamotshore.ports.runner import RunOrder, RunRejected

# The worker tells a serving task's tail over the last half second; asking a little
# more often sees each figure once.
HOLD_WAIT_MS = 400
RETRY_SECONDS = 0.25
# A start under a shorter lease than this would lapse before the next extension.
SHORTEST_LEASE_SECONDS = 0.8
# Refused connections in a row that prove that no worker process is there.
REFUSALS_FOR_DOWN = 2
# The worker's clock may be slow by this share.
DRIFT_SHARE = 0.02
# Leases end within 2% of the right of a node, 0.12 s at the longest right; what runs
# later is stopped in time for the scheduler, which waits 0.5 s more. In seconds.
OVERDUE_SECONDS = 0.25
# Starts wait for their turn 1.5 s at most; a node gets far fewer stops in that time.
STOPS_KEPT = 2000
# Raising the fence by this much passes any earlier node process: the time of day that
# fences start from may have jumped back by seconds. In microseconds.
FENCE_JUMP = 10_000_000


@dataclass(slots=True)
class Doubt:
    """An order to start whose outcome is not known.

    :param fence: Fence of the call.
    :param is_calling: Whether the call is still under way.
    """

    fence: int
    is_calling: bool = True


class RunManager:
    """Carry out orders on one worker and keep its lease.

    An order without an answer may be carried out seconds later. The keeper settles it
    by raising its fence: once a call with a higher fence is answered, the worker does
    nothing for the old one, so the list in that answer tells whether it runs.

    :param runner: ``Runner``.
    :param grant: ``RenewalGrant``.
    :param clock: ``Clock``.
    :param on_change: Called when there is something new to report.
    :param on_result: Called with task, run and outcome of an order to start.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, runner, grant, clock, on_change, on_result, registry, log):
        self.runner = runner
        self.grant = grant
        self.clock = clock
        self.on_change = on_change
        self.on_result = on_result
        self.registry = registry
        self.log = log
        self.report = None
        self.acknowledged = 0
        self.born = 0
        self.is_answering = False
        self.running = []
        self.ended = []
        self._fence = int(clock.wall() * 1_000_000)
        self._lock = threading.Lock()
        self._doubt_by_key = {}
        self._stopped_run_by_task = OrderedDict()
        self._started_at_by_key = {}
        self._worker_clock = None
        self._lapses_at = 0.0
        self._refusals = 0
        self._is_down = True

    def record_heartbeat(self, report):
        """Take in what the worker says of itself.

        A report of another life than the one that answers calls is late and changes
        nothing.

        :param report: ``WorkerReport``.
        """
        with self._lock:
            is_late = bool(self.born) and report.incarnation.started_ms != self.born
            is_older = (
                self.report is not None
                and report.incarnation == self.report.incarnation
                and report.sequence < self.report.sequence
            )
            if is_late or is_older:
                return
            before, self.report = self.report, report
        if before is None or before.is_draining != report.is_draining:
            self.log.write(
                "worker-reported",
                report.incarnation.worker,
                born=report.incarnation.started_ms,
                draining=report.is_draining,
            )
            self.on_change()

    def accept_orders(self, orders):
        """Check the orders of a message and return those to carry out.

        :param orders: ``RunOrders``.
        :returns: Pair of lists of calls, each a function and its arguments: stops and
            paces, and starts. Starts that are refused are answered at once.
        """
        now = self.clock.now()
        starts = []
        self._note_stops(orders.stops)
        calls = [(self._call_stop, task, number) for task, number in orders.stops] + [
            (self._call_pace, *row) for row in orders.paces
        ]
        if orders.born == self.born:
            self.acknowledged = max(self.acknowledged, orders.acknowledged)
        reason = self._find_refusal(orders, now)
        for task, number, checkpoint, ticket in orders.starts:
            if reason:
                self._answer(task, number, reason)
                continue
            payload = orders.payload_by_job[task.split(".", 1)[0]]
            order = RunOrder(task, number, payload, checkpoint, ticket)
            with self._lock:
                self._doubt_by_key[(task, number)] = Doubt(self._fence)
            starts.append((self._call_start, order, orders))
        return calls, starts

    def _note_stops(self, stops):
        """Keep which runs are to stop, for starts that still wait for their turn."""
        for task, number in stops:
            self._stopped_run_by_task[task] = number
            self._stopped_run_by_task.move_to_end(task)
        while len(self._stopped_run_by_task) > STOPS_KEPT:
            self._stopped_run_by_task.popitem(last=False)

    def _find_refusal(self, orders, now):
        if now - orders.echo > MAX_ORDER_AGE_SECONDS:
            return "stale-order"
        if orders.born != self.born or not self.is_answering:
            return "other-life"
        if self.grant.get_remaining(now) < SHORTEST_LEASE_SECONDS:
            return "no-right"
        return ""

    def _answer(self, task, number, outcome):
        self.registry.count("run_orders_total", outcome=outcome)
        if outcome != "started":
            self.log.write("start-refused", task, run=number, reason=outcome)
        self.on_result(task, number, outcome)

    def _get_lease_end(self, now):
        """Return the end of the right on the worker's clock, in ms; None without."""
        remaining = self.grant.get_remaining(now)
        if remaining <= 0.0 or self._worker_clock is None:
            return None
        read_at, clock_ms = self._worker_clock
        lease_end = now + remaining
        self._lapses_at = max(
            self._lapses_at, now + (lease_end - now) * (1.0 + 2 * DRIFT_SHARE)
        )
        return clock_ms + int((lease_end - read_at) * 1000 * (1.0 - DRIFT_SHARE))

    def _call_start(self, order, orders):
        key = (order.task, order.number)
        now = self.clock.now()
        # Calls that get no answer may have held this one up.
        if reason := self._find_refusal(orders, now):
            self._settle(key, reason)
            return
        if order.number <= self._stopped_run_by_task.get(order.task, 0):
            self._settle(key, "stopped-before")
            return
        with self._lock:
            fence = self._fence
            self._doubt_by_key[key] = Doubt(fence)
            lease_end = self._get_lease_end(now)
            worker = self.report.incarnation.worker if self.report is not None else ""
        if lease_end is None:
            self._settle(key, "no-right")
            return
        outcome = self.runner.start(order, lease_end, fence, worker)
        match outcome:
            case Success(_):
                self._settle(key, "started")
            case Failure(RunRejected(reason=reason)):
                self._settle(key, reason)
            case Failure(WorkerFailure(is_certain=True)):
                self._settle(key, "not-reached")
            case Failure(failure):
                self.log.write(
                    "start-in-doubt", order.task, run=order.number, why=failure.detail
                )
                with self._lock:
                    self._doubt_by_key[key] = Doubt(fence, is_calling=False)
                    self._fence = max(self._fence, fence + 1)

    def _settle(self, key, outcome):
        with self._lock:
            if self._doubt_by_key.pop(key, None) is None:
                return
            if outcome == "started":
                self._started_at_by_key[key] = self.clock.now()
        self._answer(*key, outcome)

    def _call_stop(self, task, number):
        match self.runner.stop(task, number, self._fence):
            case Failure(failure):
                self.registry.count("worker_call_failures_total", call="stop")
                self.log.write("stop-failed", task, why=str(failure))

    def _call_pace(self, task, number, percent):
        match self.runner.throttle(task, number, percent, self._fence):
            case Failure(failure):
                self.registry.count("worker_call_failures_total", call="pace")
                self.log.write("pace-failed", task, why=str(failure))

    def hold(self):
        """Extend the lease and take in what the worker lists.

        :returns: Seconds to wait before the next call.
        """
        sent_at = self.clock.now()
        with self._lock:
            fence = self._fence
            lease_end = self._get_lease_end(sent_at)
            acknowledged = self.acknowledged
        wait_ms = HOLD_WAIT_MS if self.is_answering else 0
        outcome = self.runner.renew_lease(lease_end, fence, acknowledged, wait_ms)
        match outcome:
            case Success(listing):
                self._take_listing(listing, fence, sent_at)
                return 0.0
            case Failure(RunRejected(reason="fence", clock_ms=clock_ms)):
                with self._lock:
                    self._fence = max(self._fence, fence + FENCE_JUMP)
                self.log.write("fence-raised", "worker", fence=self._fence)
                if clock_ms:
                    self._worker_clock = (self.clock.now(), clock_ms)
                return 0.0
            case Failure(failure):
                self._take_failure(failure)
                return RETRY_SECONDS

    def _take_failure(self, failure):
        is_refused = isinstance(failure, WorkerFailure) and failure.is_certain
        self._refusals = self._refusals + 1 if is_refused else 0
        was_answering, self.is_answering = self.is_answering, False
        self._is_down = self._refusals >= REFUSALS_FOR_DOWN
        if was_answering:
            self.log.write("worker-silent", "worker", why=str(failure))
        self.on_change()

    def _take_listing(self, listing, fence, sent_at):
        if listing.started_ms != self.born and not self._take_new_life(listing, fence):
            return
        now = self.clock.now()
        outcomes = []
        with self._lock:
            if not self.is_answering:
                self.log.write("worker-answers", "worker", born=listing.started_ms)
            self._worker_clock = (now, listing.clock_ms)
            self._refusals, self._is_down = 0, False
            self.is_answering = True
            present = {(run.task, run.number) for run in listing.running}
            present |= {(end.task, end.number) for end in listing.ended}
            self._started_at_by_key = {
                key: at
                for key, at in self._started_at_by_key.items()
                if key not in present and at > sent_at
            }
            for key, doubt in list(self._doubt_by_key.items()):
                if not doubt.is_calling and doubt.fence < fence:
                    del self._doubt_by_key[key]
                    outcomes.append((*key, "started" if key in present else "not-run"))
            self.running = listing.running
            self.ended = listing.ended
        for task, number, outcome in outcomes:
            self._answer(task, number, outcome)
        self._stop_overdue(listing, now)
        self.on_change()

    def _stop_overdue(self, listing, now):
        """Stop what outlives the right of this node.

        A worker that restarts under its name takes lease ends of its former clock, so
        that its leases may be longer than the scheduler counts on.
        """
        expires_at = self.grant.expires_at
        if expires_at == 0.0 or now < expires_at + OVERDUE_SECONDS:
            return
        for run in listing.running:
            self.log.write("lease-overdue", run.task, run=run.number)
            self._call_stop(run.task, run.number)

    def _take_new_life(self, listing, fence):
        """Take note of another life of the worker.

        Calls to the former life may still arrive and a new life knows no fence: the
        first answer only raises the fence, the next one is believed.

        :returns: True when the listing may be used.
        """
        with self._lock:
            if (
                self._known_life == (listing.started_ms, True)
                and fence >= self._life_fence
            ):
                self.born = listing.started_ms
                self.acknowledged = 0
                self._worker_clock = None
                self._lapses_at = 0.0
                self._started_at_by_key.clear()
                if (
                    self.report is not None
                    and self.report.incarnation.started_ms != self.born
                ):
                    self.report = None
                self.log.write("worker-life", "worker", born=self.born)
                return True
            self._known_life = (listing.started_ms, True)
            self._fence += 1
            self._life_fence = self._fence
            return False

    _known_life = (0, False)
    _life_fence = 0

    def build_report(self, epoch):
        """Return the ``RunReport`` of this moment, None before the first listing.

        :param epoch: Highest term seen by this node, read before the call.
        """
        with self._lock:
            if not self.born:
                return None
            return self._build_report(epoch)

    def _build_report(self, epoch):
        now = self.clock.now()
        said = self.report
        is_lapsed = self._is_down or (
            not self.is_answering and now > self._lapses_at > 0.0
        )
        fresh = [(task, run, "", 0, 0.0) for task, run in self._started_at_by_key]
        return RunReport(
            epoch=epoch,
            worker=said.incarnation.worker if said is not None else "",
            born=self.born,
            is_answering=self.is_answering,
            is_lapsed=is_lapsed,
            has_right=self.grant.get_remaining(now) > SHORTEST_LEASE_SECONDS,
            service=said.service if said is not None else "",
            cpu=said.cpu if said is not None else 0,
            memory=said.memory if said is not None else 0,
            accelerators=said.accelerators if said is not None else 0,
            labels=list(said.labels) if said is not None else [],
            rack=said.rack if said is not None else "",
            machine=said.machine if said is not None else "",
            is_draining=said is not None and said.is_draining,
            remaining=said.remaining if said is not None else 0.0,
            running=[
                (run.task, run.number, run.checkpoint, run.percent, run.usage)
                for run in self.running
            ]
            + fresh,
            ended=[
                (end.sequence, end.task, end.number, end.outcome, end.checkpoint)
                for end in self.ended
                if end.sequence > self.acknowledged
            ],
            doubtful=list(self._doubt_by_key),
        )
