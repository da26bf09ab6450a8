"""Orders to the worker beside a node, its lease and orders of unknown outcome."""

import math
import threading
from collections import OrderedDict

from returns.result import Failure, Success

from bergamotshore.core.work.cancellations import CancelledJobs
from bergamotshore.core.work.confirmation import MAX_ORDER_AGE_SECONDS
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.generated.messages import RunReport
from bergamotshore.node.lostruns import LostRuns
from bergamotshore.node.reportedsize import ReportedSize
from bergamotshore.node.speedlimits import SpeedLimits
from bergamotshore.node.unresolvedorder import UnresolvedOrder
from bergamotshore.node.workerlease import Extension, WorkerLease
from bergamotshore.ports.runner import (
    Acknowledgement,
    RunOrder,
    RunRejected,
    WorkerIncarnation,
)
from bergamotshore.utils.eventlog import describe_error

# The worker reports the tail latency of a latency-critical task over the last half
# second; polling slightly more often reads each figure once.
HOLD_WAIT_MS = 400
RETRY_SECONDS = 0.25
# A run started under a shorter lease than this would lapse before its next renewal.
MIN_LEASE_SECONDS = 0.8
# Time over which connections have to be refused to prove that no worker process is
# listening, in seconds; refusals at the same moment may have one cause. A worker that
# doesn't accept a connection in time may still work on.
MIN_REFUSAL_SECONDS = RETRY_SECONDS
# Time for which a worker that takes leave is expected to end, in seconds.
FAREWELL_SECONDS = 3.0
# Leases end within 2% of the node's renewal grant, 0.12 s for the longest grant. Runs
# still listed after this margin are stopped, in time for the scheduler, which waits
# 0.5 s more.
OVERDUE_MARGIN_SECONDS = 0.25
# Starts are queued for 1.5 s at most; a node receives far fewer stops in that time.
MAX_STOPS_KEPT = 2000
# Raising the fence by this much exceeds the fences of any earlier node process: fences
# start from the wall clock, which may have been set back by seconds.
FENCE_JUMP_MICROSECONDS = 10_000_000


class RunManager:
    """Execute orders on one worker and renew its lease.

    The worker may execute an unanswered order seconds later. Such an order is resolved
    by raising the fencing token: once the worker has answered a call with a higher
    token, it rejects the old one, so the runs listed in that answer show whether the
    order was executed.

    :param runner: ``Runner``.
    :param grant: ``RenewalGrant``.
    :param longest_lease: Longest lease that the worker accepts, in seconds.
    :param clock: ``Clock``.
    :param on_change: Called when the report of this node may have changed.
    :param on_result: Called with task, run number and outcome of an order to start.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(
        self,
        runner,
        grant,
        longest_lease,
        clock,
        on_change,
        on_result,
        registry,
        log,
    ):
        self.runner = runner
        self.grant = grant
        self.clock = clock
        self.on_change = on_change
        self.on_result = on_result
        self.registry = registry
        self.log = log
        self.worker_report = None
        self._reported_size = ReportedSize()
        self.incarnation = 0
        # Start of an incarnation that has answered and isn't fenced yet; None for none.
        self._candidate_incarnation = None
        self._incarnation_fence = 0
        self._has_seen_end = False
        self.is_answering = False
        self.running = []
        self.ended = []
        self._is_list_complete = True
        self._acknowledgement = Acknowledgement()
        self._fence = int(clock.wall() * 1_000_000)
        self._lock = threading.Lock()
        self._unresolved_by_key = {}
        self._stopped_run_by_task = OrderedDict()
        self._cancelled_jobs = CancelledJobs()
        self._started_at_by_key = {}
        self._lost_runs = LostRuns()
        self._lease = WorkerLease(grant, longest_lease, clock.now())
        # When the first of the latest refused connections was refused.
        self._refused_since = math.inf
        self._is_worker_down = False
        self._state_known_at = -math.inf
        # When the current incarnation last gave a sign of life.
        self._alive_at = -math.inf
        self._farewell_at = -math.inf
        self._speed_limits = SpeedLimits(
            runner, lambda: self._fence, self._void_fence, registry, log
        )

    def record_heartbeat(self, report):
        """Store the worker's report on itself.

        A report from another incarnation than the one that answers calls is out of date
        and ignored, and so is one that is older than the stored report.

        :param report: ``WorkerReport``.
        """
        with self._lock:
            is_other_incarnation = (
                bool(self.incarnation)
                and report.incarnation.started_ms != self.incarnation
            )
            is_out_of_order = (
                self.worker_report is not None
                and report.incarnation == self.worker_report.incarnation
                and report.sequence < self.worker_report.sequence
            )
            if is_other_incarnation or is_out_of_order:
                return
            previous, self.worker_report = self.worker_report, report
            self._alive_at = self.clock.now()
            self._reported_size.record(report, self.clock.now())
        is_new = previous is None or previous.is_draining != report.is_draining
        has_new_size = previous is None or previous.size != report.size
        if has_new_size:
            self.log.write(
                "worker-sized",
                report.incarnation.worker,
                size=_encode_size(report.size),
            )
        if is_new:
            self.log.write(
                "worker-reported",
                report.incarnation.worker,
                born=report.incarnation.started_ms,
                draining=report.is_draining,
            )
        if is_new or has_new_size:
            self.on_change()

    def accept_orders(self, orders):
        """Validate the orders of a message and return the calls that execute them.

        :param orders: ``RunOrders``.
        :returns: Pair of lists of calls, each a function and its arguments: stops and
            throttles, and starts. The outcome of a refused start is reported at once.
        """
        now = self.clock.now()
        starts = []
        self._record_stops(orders.stops)
        calls = [(self._call_stop, task, number) for task, number in orders.stops]
        calls += self._record_limits(orders)
        self._record_acknowledgement(Acknowledgement(orders.born, orders.acknowledged))
        reason = self._find_refusal_reason(orders, now)
        for task, number, checkpoint, ticket in orders.starts:
            if reason:
                self._report_outcome(task, number, reason)
                continue
            payload = orders.payload_by_job.get(task.split(".", 1)[0])
            if payload is None:
                self._report_outcome(task, number, "no-payload")
                continue
            order = RunOrder(task, number, payload, checkpoint, ticket)
            with self._lock:
                self._unresolved_by_key[(task, number)] = UnresolvedOrder(self._fence)
            starts.append((self._call_start, order, orders))
        return calls, starts

    @property
    def acknowledged(self):
        """Return the highest completion that the current incarnation may discard."""
        acknowledgement = self._acknowledgement
        is_current = acknowledgement.started_ms == self.incarnation
        return acknowledgement.sequence if is_current else 0

    def _record_acknowledgement(self, acknowledgement):
        """Record an acknowledgement unless it is for another incarnation."""
        with self._lock:
            is_current = acknowledgement.started_ms == self.incarnation
            if is_current and acknowledgement.sequence > self.acknowledged:
                self._acknowledgement = acknowledgement

    def _record_limits(self, orders):
        """Record speed limits; return calls to send those of runs that are there."""
        starting = {(task, number) for task, number, _, _ in orders.starts}
        calls = []
        for task, number, percent in orders.paces:
            key = (task, number)
            self._speed_limits.record(key, percent)
            if key not in starting and key not in self._unresolved_by_key:
                calls.append((self._speed_limits.send, key))
        return calls

    def list_repeated_limits(self):
        """Return calls that send speed limits which the worker has not accepted."""
        with self._lock:
            running_keys = {(run.task, run.number) for run in self.running}
            pending_keys = {*self._unresolved_by_key, *self._started_at_by_key}
        self._speed_limits.drop_obsolete(running_keys | pending_keys)
        return [
            (self._speed_limits.send, key)
            for key in self._speed_limits.list_unaccepted()
            if key in running_keys
        ]

    def record_cancelled(self, job_keys):
        """Record jobs that were cancelled; return the calls that stop their runs."""
        with self._lock:
            new = self._cancelled_jobs.record(job_keys, self.clock.now())
        for job_id in new:
            self.log.write("cancel-announced", job_id)
        return self.list_cancelled_stops()

    def list_cancelled_stops(self):
        """Return the calls that stop the listed runs of cancelled jobs."""
        with self._lock:
            due = self._cancelled_jobs.choose_stops(self.running, self.clock.now())
        return [(self._call_stop, task, number) for task, number in due]

    def _record_stops(self, stops):
        """Record the runs to stop, so that starts still queued for them are dropped."""
        for task, number in stops:
            self._stopped_run_by_task[task] = number
            self._stopped_run_by_task.move_to_end(task)
        while len(self._stopped_run_by_task) > MAX_STOPS_KEPT:
            self._stopped_run_by_task.popitem(last=False)

    def _find_refusal_reason(self, orders, now):
        if now - orders.echo > MAX_ORDER_AGE_SECONDS:
            return "stale-order"
        if orders.born != self.incarnation or not self.is_answering:
            return "other-life"
        if self.grant.get_remaining(now) < MIN_LEASE_SECONDS:
            return "no-right"
        return self._find_lack_of_room(orders.reserved, now)

    def _find_lack_of_room(self, reserved, now):
        """Return why the worker may lack room for all its runs; empty if it has it.

        :param reserved: Processors, memory and accelerators of all its runs; None if
            they are not told.
        """
        if reserved is None:
            return ""
        size = self._reported_size.get(now)
        if size is None:
            return "size-unknown"
        return "" if size.covers(*reserved) else "no-room"

    def _report_outcome(self, task, number, outcome):
        self.registry.count("run_orders_total", outcome=outcome)
        if outcome != "started":
            self.log.write("start-refused", task, run=number, reason=outcome)
        self.on_result(task, number, outcome)

    def _call_start(self, order, orders):
        try:
            self._start(order, orders)
        except Exception as error:
            self.registry.count("order_errors_total")
            self.log.write("order-error", order.task, why=describe_error(error))
            self._mark_in_doubt((order.task, order.number), self._fence)

    def _start(self, order, orders):
        key = (order.task, order.number)
        # Calls without an answer may have delayed this one, so it is checked again, and
        # once more after the worker has been asked for its incarnation.
        reason = self._find_refusal_reason(orders, self.clock.now())
        reason = reason or self._confirm(orders.born)
        now = self.clock.now()
        if reason := reason or self._find_refusal_reason(orders, now):
            self._resolve(key, reason)
            return
        if order.number <= self._stopped_run_by_task.get(order.task, 0):
            self._resolve(key, "stopped-before")
            return
        with self._lock:
            is_cancelled = self._cancelled_jobs.includes(order.task, now)
        if is_cancelled:
            self._resolve(key, "job-cancelled")
            return
        with self._lock:
            # A later incarnation, once it has answered, accepts starts under the fence
            # that is raised for it.
            is_current = orders.born == self.incarnation and self.is_answering
            fence = self._fence
            extension = self._lease.extend(now) if is_current else Extension()
            is_allowed = extension.end_ms is not None
            sent_at = now if is_allowed else math.inf
            self._unresolved_by_key[key] = UnresolvedOrder(fence, sent_at=sent_at)
            worker = (
                self.worker_report.incarnation.worker
                if self.worker_report is not None
                else ""
            )
        if not is_allowed:
            self._resolve(key, "no-right" if is_current else "other-life")
            return
        incarnation = WorkerIncarnation(worker, orders.born)
        outcome = self.runner.start(order, extension.end_ms, fence, incarnation)
        match outcome:
            case Success(_):
                self._speed_limits.send(key)
                self._resolve(key, "started", orders.born)
            case Failure(RunRejected(reason=reason)):
                self._resolve(key, reason)
            case Failure(WorkerFailure(is_certain=True)):
                with self._lock:
                    self._lease.withdraw(extension)
                self._resolve(key, "not-reached")
            case Failure(failure):
                if failure.has_ended:
                    self._alive_at = self.clock.now()
                self.log.write(
                    "start-in-doubt", order.task, run=order.number, why=failure.detail
                )
                self._mark_in_doubt(key, fence)

    def _confirm(self, born):
        """Return why no start can be sent to an incarnation; empty if it can."""
        match self.runner.confirm(born, self._fence):
            case Failure(RunRejected(reason=reason)):
                return reason
            case Failure(_):
                return "not-reached"
        return ""

    def _mark_in_doubt(self, key, fence):
        """Let the next list of runs show whether an order was carried out."""
        with self._lock:
            if key in self._unresolved_by_key:
                order = self._unresolved_by_key[key]
                order.fence, order.is_in_flight = fence, False
        self._void_fence(fence)

    def _void_fence(self, fence):
        """Make the worker reject a call that it may carry out late."""
        with self._lock:
            self._fence = max(self._fence, fence + 1)

    def _resolve(self, key, outcome, born=0):
        """Report the outcome of an order unless it is known already.

        :param born: Start time of the incarnation that has started the run, in ms.
        """
        with self._lock:
            if self._unresolved_by_key.pop(key, None) is None:
                return
            if outcome == "started" and born != self.incarnation:
                # The worker has restarted since, so the run is over.
                outcome = "other-life"
            if outcome == "started":
                now = self._started_at_by_key[key] = self.clock.now()
                self._lost_runs.record_started(key, now)
        self._report_outcome(*key, outcome)

    def _call_stop(self, task, number):
        match self.runner.stop(task, number, self._fence):
            case Failure(failure):
                self.registry.count("worker_call_failures_total", call="stop")
                self.log.write("stop-failed", task, why=str(failure))

    def hold(self):
        """Renew the worker's lease and apply the list of runs in its answer.

        An answer that raises an error counts as none.

        :returns: Seconds to wait before the next call.
        """
        try:
            return self._hold()
        except Exception as error:
            self.registry.count("service_errors_total", service="hold")
            self.log.write("service-error", "hold", why=describe_error(error))
            failure = WorkerFailure("unexpected error", is_certain=False)
            self._record_failure(failure, self.clock.now())
            return RETRY_SECONDS

    def _hold(self):
        sent_at = self.clock.now()
        is_confirmed = self.runner.is_confirmed(self.incarnation)
        with self._lock:
            fence = self._fence
            extension = self._lease.extend(sent_at) if is_confirmed else Extension()
            acknowledgement = self._build_acknowledgement()
        wait_ms = HOLD_WAIT_MS if self.is_answering else 0
        outcome = self.runner.renew_lease(
            extension.end_ms, fence, acknowledgement, wait_ms
        )
        match outcome:
            case Success(listing):
                self._apply_listing(listing, fence, sent_at)
                return 0.0
            case Failure(RunRejected(reason="fence")):
                # The answer doesn't name the incarnation whose clock it tells.
                with self._lock:
                    self._fence = max(self._fence, fence + FENCE_JUMP_MICROSECONDS)
                self.log.write("fence-raised", "worker", fence=self._fence)
                return 0.0
            case Failure(failure):
                if isinstance(failure, WorkerFailure) and failure.is_certain:
                    with self._lock:
                        self._lease.withdraw(extension)
                self._record_failure(failure, sent_at)
                return RETRY_SECONDS

    def _build_acknowledgement(self):
        """Return the ``Acknowledgement`` to send.

        It names nothing that the worker has discarded already: a call may be carried
        out late, by an incarnation whose completions have the same numbers.
        """
        acknowledged = self.acknowledged
        is_due = any(end.sequence <= acknowledged for end in self.ended)
        return Acknowledgement(self.incarnation, acknowledged if is_due else 0)

    def record_farewell(self, worker):
        """Record that the worker takes leave, which proves nothing by itself."""
        self.log.write("worker-left", worker)
        self._farewell_at = self.clock.now()

    @property
    def is_worker_down(self):
        """Return whether the worker is certainly gone."""
        return self._is_worker_down

    def is_end_expected(self):
        """Return whether the worker has taken leave and is not known to be gone."""
        is_recent = self.clock.now() - self._farewell_at < FAREWELL_SECONDS
        return is_recent and not self._is_worker_down

    def check_connection(self):
        """Check whether the worker refuses a new connection.

        Unlike the call that renews the lease, this does not wait for a worker that has
        stopped answering.

        :returns: Whether it does.
        """
        sent_at = self.clock.now()
        is_refused = self.runner.is_refusing()
        if not is_refused:
            with self._lock:
                self._refused_since = math.inf
        else:
            failure = WorkerFailure("refused", is_certain=True, is_refused=True)
            self._record_failure(failure, sent_at)
        return is_refused

    def _record_failure(self, failure, sent_at):
        """Record a failed call, unless the state of the worker is known since.

        A call may end without an answer after another one has shown that the worker is
        gone, or that it answers.
        """
        is_refused = isinstance(failure, WorkerFailure) and failure.is_refused
        has_ended = isinstance(failure, WorkerFailure) and failure.has_ended
        with self._lock:
            if sent_at < self._state_known_at:
                return
            if has_ended:
                self._alive_at = self.clock.now()
            refused_seconds = sent_at - self._refused_since
            self._refused_since = (
                min(self._refused_since, self.clock.now()) if is_refused else math.inf
            )
            was_answering, self.is_answering = self.is_answering, False
            was_down = self._is_worker_down
            # Only an answer takes an end back: a call that fails otherwise says nothing
            # of the incarnation that has ended.
            self._is_worker_down = was_down or (
                is_refused and refused_seconds >= MIN_REFUSAL_SECONDS
            )
            if self._is_worker_down:
                self._state_known_at = self.clock.now()
                if not was_down:
                    self._record_worker_end()
        if was_answering:
            self.log.write("worker-silent", "worker", why=str(failure))
        self.on_change()

    def _apply_listing(self, listing, fence, sent_at):
        if listing.started_ms != self.incarnation and not self._confirm_incarnation(
            listing, fence
        ):
            return
        now = self.clock.now()
        outcomes = []
        with self._lock:
            if not self.is_answering:
                self.log.write("worker-answers", "worker", born=listing.started_ms)
            self._lease.record_clock(now, listing.clock_ms)
            self._reported_size.record_clock(sent_at, listing.clock_ms)
            self._refused_since, self._is_worker_down = math.inf, False
            self._candidate_incarnation = None
            self._state_known_at = self._alive_at = now
            self.is_answering = True
            listed_keys = {(run.task, run.number) for run in listing.running}
            listed_keys |= {
                (completion.task, completion.number) for completion in listing.ended
            }
            self._started_at_by_key = {
                key: at
                for key, at in self._started_at_by_key.items()
                if key not in listed_keys and (at > sent_at or not listing.is_complete)
            }
            for key, order in list(self._unresolved_by_key.items()):
                is_decided = key in listed_keys or listing.is_complete
                if is_decided and order.sent_at < sent_at:
                    order.was_absent = key not in listed_keys
                if not order.is_in_flight and order.fence < fence and is_decided:
                    del self._unresolved_by_key[key]
                    outcomes.append(
                        (*key, "started" if key in listed_keys else "not-run")
                    )
            self.running = listing.running
            self.ended = listing.ended
            self._is_list_complete = listing.is_complete
            running_keys = {(run.task, run.number) for run in listing.running}
            self._lost_runs.record_present(
                {*running_keys, *self._started_at_by_key}, now
            )
            self._lost_runs.withdraw(listed_keys)
        # The report goes first, as it tells which runs were lost with their worker; the
        # outcome of an order releases its run.
        self.on_change()
        for task, number, outcome in outcomes:
            self._report_outcome(task, number, outcome)
        self._stop_overdue(listing, now)

    def _stop_overdue(self, listing, now):
        """Stop runs that are still listed after the renewal grant has ended.

        A worker that restarts under the same name accepts lease ends computed for its
        former clock, so its leases may be longer than the scheduler assumes.
        """
        expires_at = self.grant.expires_at
        if expires_at == 0.0 or now < expires_at + OVERDUE_MARGIN_SECONDS:
            return
        for run in listing.running:
            self.log.write("lease-overdue", run.task, run=run.number)
            self._call_stop(run.task, run.number)

    def _confirm_incarnation(self, listing, fence):
        """Switch to a new incarnation of the worker once it is fenced.

        Calls meant for the former incarnation may still arrive and the new one has no
        fencing token yet: its first answer only raises the token, and the next answer
        is accepted.

        :returns: True when the listing may be applied.
        """
        with self._lock:
            is_candidate = self._candidate_incarnation == listing.started_ms
            if is_candidate and fence >= self._incarnation_fence:
                self._record_worker_end()
                self._has_seen_end = bool(self.incarnation)
                self.incarnation = listing.started_ms
                self._candidate_incarnation = None
                # A report that is built before the new list is applied must not tell
                # the former one as that of this incarnation.
                self.running, self.ended = [], []
                self._is_list_complete = False
                self._lease.record_incarnation(self.clock.now())
                self._started_at_by_key.clear()
                if (
                    self.worker_report is not None
                    and self.worker_report.incarnation.started_ms != self.incarnation
                ):
                    self.worker_report = None
                    self._reported_size = ReportedSize()
                self.log.write("worker-life", "worker", born=self.incarnation)
                return True
            self._candidate_incarnation = listing.started_ms
            self._fence += 1
            self._incarnation_fence = self._fence
            # Without a wait for completions, the next call fences it at once.
            was_answering, self.is_answering = self.is_answering, False
        if was_answering:
            self.on_change()
        return False

    def _record_worker_end(self):
        """Record which runs are lost with a worker; one that drains ends by itself."""
        now = self.clock.now()
        is_draining = self.worker_report is not None and self.worker_report.is_draining
        has_taken_leave = now - self._farewell_at < FAREWELL_SECONDS
        if not is_draining and not has_taken_leave and self.incarnation:
            doubtful = [
                key
                for key, order in self._unresolved_by_key.items()
                if order.may_have_crashed(self._alive_at)
            ]
            self._lost_runs.record_end(doubtful, now)

    @property
    def ended_incarnation(self):
        """Return the incarnation of the worker if it is certainly gone, otherwise 0."""
        return self.incarnation if self._is_worker_down else 0

    @property
    def _has_missed_end(self):
        """Return whether an incarnation before the first one seen may have ended."""
        if not self.incarnation:
            return self._is_worker_down
        return not self._has_seen_end

    def build_report(self, epoch):
        """Return the current ``RunReport``.

        Before the first accepted listing the runs of the worker are not known, so there
        is a report only once they are certainly over.

        :param epoch: Highest term seen by this node, read before the call.
        :returns: None if nothing is known.
        """
        with self._lock:
            now = self.clock.now()
            if not (self.incarnation or self._is_lapsed(now)):
                return None
            return self._build_report(epoch, now)

    def _is_lapsed(self, now):
        """Return whether every lease given to the worker has certainly expired."""
        return self._is_worker_down or (
            not self.is_answering and self._lease.is_over(now)
        )

    def _build_report(self, epoch, now):
        report = self.worker_report
        size = self._reported_size.get(now)
        not_yet_listed = [
            (task, run, "", 0, 0.0) for task, run in self._started_at_by_key
        ]
        return RunReport(
            epoch=epoch,
            worker=report.incarnation.worker if report is not None else "",
            born=self.incarnation,
            is_answering=self.is_answering,
            is_lapsed=self._is_lapsed(now),
            has_right=self.grant.get_remaining(now) > MIN_LEASE_SECONDS,
            service=report.service if report is not None else "",
            cpu=size.cpu if size is not None else 0,
            memory=size.memory if size is not None else 0,
            accelerators=size.accelerators if size is not None else 0,
            labels=list(report.labels) if report is not None else [],
            rack=report.rack if report is not None else "",
            machine=report.machine if report is not None else "",
            is_draining=report is not None and report.is_draining,
            remaining=report.remaining if report is not None else 0.0,
            running=[
                (run.task, run.number, run.checkpoint, run.percent, run.usage)
                for run in self.running
            ]
            + not_yet_listed,
            ended=[
                (
                    completion.sequence,
                    completion.task,
                    completion.number,
                    completion.outcome,
                    completion.checkpoint,
                )
                for completion in self.ended
                if completion.sequence > self.acknowledged
            ],
            doubtful=list(self._unresolved_by_key),
            is_gone=self._is_worker_down,
            has_missed_end=self._has_missed_end,
            is_complete=self._is_list_complete,
            lost=self._lost_runs.list_recent(now),
            lease_remaining=self._lease.get_remaining_of_former_calls(now),
        )


def _encode_size(size):
    return None if size is None else (size.cpu, size.memory, size.accelerators)
