"""Routing of callers' requests to nodes, with retries, hedging and fencing."""

import itertools
import threading
from concurrent.futures import FIRST_COMPLETED, Future, wait
from dataclasses import dataclass, field

from bergamotshore.core.hedging import HedgeTimer
from bergamotshore.core.routing import RetryBudget, choose_node
from bergamotshore.entry.keys import ReservedKey
from bergamotshore.entry.outcomes import Completed, NotRun, Unknown
from bergamotshore.generated.messages import (
    Fence,
    FenceResult,
    RequestEnded,
    RunRequest,
)

RETRY_AFTER_SECONDS = 1.0
OVERLOAD_RETRY_AFTER_SECONDS = 0.5
MIN_RETRY_TIME_LEFT_SECONDS = 0.02
LATE_ANSWER_RETENTION_SECONDS = 120.0


@dataclass(slots=True)
class PendingRequest:
    """One attempt of a request, sent to a node.

    :param request_id: Identifier of this attempt.
    :param node: Name of the node.
    :param incarnation: Incarnation of the node that got the request.
    :param repeatable: Whether the request may run more than once.
    :param future: Future that resolves to the outcome.
    :param is_fence_needed: Whether the stream was lost, so that a fence is needed.
    :param reserved_key: Idempotency key to update on a late answer, or None.
    :param timed_out_at: When the caller's deadline passed, or None.
    :param sent_at: When the request was sent, on the entry's clock.
    """

    request_id: str
    node: str
    incarnation: str
    repeatable: bool
    future: Future = field(default_factory=Future)
    is_fence_needed: bool = False
    reserved_key: ReservedKey | None = None
    timed_out_at: float | None = None
    sent_at: float = 0.0


class RequestRouter:
    """Route requests to nodes and return exactly one final outcome for each.

    :param incarnation: Incarnation of this entry, the prefix of request identifiers.
    :param directory: ``NodeDirectory``.
    :param is_usable: Function returning whether a data centre and node may be used.
    :param keys: ``KeyStore``.
    :param settings: ``settings.Entry``.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param recorder: ``Recorder``.
    :param random: ``random.Random``.
    :param wait: Function that waits for the first of several futures, with a timeout
        in seconds.
    """

    def __init__(
        self,
        incarnation,
        directory,
        is_usable,
        keys,
        settings,
        clock,
        registry,
        recorder,
        random,
        wait=None,
    ):
        self.wait = wait or _wait_for_first
        self.incarnation = incarnation
        self.directory = directory
        self.is_usable = is_usable
        self.keys = keys
        self.settings = settings
        self.clock = clock
        self.registry = registry
        self.recorder = recorder
        self.random = random
        self.budget = RetryBudget(settings.retry_share)
        self.hedge_budget = RetryBudget(settings.hedge_share)
        self.hedge_timer = HedgeTimer()
        self._attempt_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._pending_by_id = {}
        self._in_flight = 0

    @property
    def in_flight(self):
        """Return the number of requests being served."""
        return self._in_flight

    def serve(self, request):
        """Route a request and return its final outcome.

        :param request: ``CallerRequest``.
        :returns: ``Outcome``.
        """
        with self._lock:
            is_full = self._in_flight >= self.settings.requests
            if not is_full:
                self._in_flight += 1
        if is_full:
            return NotRun("entry-full", OVERLOAD_RETRY_AFTER_SECONDS)
        started_at = self.clock.now()
        try:
            return self._serve_admitted(request)
        finally:
            with self._lock:
                self._in_flight -= 1
            self.registry.measure("request_seconds", self.clock.now() - started_at)

    def _serve_admitted(self, request):
        request_id = self._create_request_id()
        if not request.idempotency_key:
            return self._route(request, request_id, None)
        reserved_key = self.keys.reserve(request, request_id)
        if not isinstance(reserved_key, ReservedKey):
            return reserved_key
        outcome = self._route(request, request_id, reserved_key)
        self.keys.record_outcome(reserved_key, outcome)
        return outcome

    def _create_request_id(self):
        return f"{self.incarnation}.{next(self._attempt_numbers)}"

    def _route(self, request, request_id, reserved_key):
        self.recorder.record("request-received", request_id, request.service)
        self.budget.earn()
        self.hedge_budget.earn()
        tried_nodes = set()
        outcome = None
        while True:
            outcome = combine_outcomes(
                outcome,
                self._attempt_once(request, request_id, reserved_key, tried_nodes),
            )
            if not self._may_retry(request, outcome, tried_nodes):
                self.recorder.record(
                    "request-ended", request_id, _describe_outcome(outcome)
                )
                return outcome
            self.registry.count("request_retries_total")
            request_id = self._create_request_id()
            self.recorder.record("request-retried", request_id, outcome.reason)

    def _may_retry(self, request, outcome, tried_nodes):
        match outcome:
            case Completed() | NotRun(reason="no-node"):
                return False
            case Unknown() if not request.repeatable:
                return False
        time_left = request.deadline - self.clock.now()
        if time_left < MIN_RETRY_TIME_LEFT_SECONDS:
            return False
        untried_candidates = self.directory.list_candidates(
            request.service, self.is_usable, tried_nodes
        )
        return bool(untried_candidates) and self.budget.spend()

    def _attempt_once(self, request, request_id, reserved_key, tried_nodes):
        candidates = self.directory.list_candidates(
            request.service, self.is_usable, tried_nodes
        )
        chosen = choose_node(candidates, self.random)
        if chosen is None:
            return NotRun("no-node", RETRY_AFTER_SECONDS)
        tried_nodes.add(chosen.node)
        attempt = self._send_attempt(request, request_id, reserved_key, chosen.node)
        if not isinstance(attempt, PendingRequest):
            return attempt
        if request.repeatable:
            return self._wait_hedged(request, attempt, reserved_key, tried_nodes)
        return self._wait_for(attempt, request.deadline)

    def _send_attempt(self, request, request_id, reserved_key, node):
        """Send a request to a node.

        :returns: ``PendingRequest``, or ``NotRun`` if the request was not sent.
        """
        remaining = request.deadline - self.clock.now()
        if remaining <= 0:
            return NotRun("deadline-passed", RETRY_AFTER_SECONDS)
        view = self.directory.get(node)
        if view is None:
            return NotRun("node-gone", RETRY_AFTER_SECONDS)
        pending = PendingRequest(
            request_id,
            node,
            view.incarnation,
            request.repeatable,
            reserved_key=reserved_key,
            sent_at=self.clock.now(),
        )
        message = RunRequest(
            request_id=request_id,
            service=request.service,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            remaining=remaining,
            repeatable=request.repeatable,
            idempotency_key=request.idempotency_key,
        )
        with self._lock:
            self._pending_by_id[request_id] = pending
        self.directory.begin_request(node, request_id)
        self.recorder.record("request-sent", request_id, node)
        if not view.stream.send(message):
            self._remove_pending(pending)
            return NotRun("node-gone", RETRY_AFTER_SECONDS)
        if not view.stream.is_open:
            self._handle_stream_loss(pending)
        return pending

    def _wait_for(self, pending, deadline):
        self.wait([pending.future], self._get_time_left(deadline))
        if not pending.future.done():
            return self._handle_timeout(pending)
        self._remove_pending(pending)
        return pending.future.result()

    def _get_time_left(self, deadline):
        return max(0.0, deadline - self.clock.now())

    def _wait_hedged(self, request, first, reserved_key, tried_nodes):
        """Wait for a repeatable request and hedge it if it is slow.

        The first completed answer is returned. The other attempt is fenced so that it
        does not run if it is still queued.
        """
        delay = self.hedge_timer.delay
        if delay is None or delay >= self._get_time_left(request.deadline):
            return self._wait_for(first, request.deadline)
        self.wait([first.future], delay)
        if first.future.done():
            return self._wait_for(first, request.deadline)
        second = self._send_hedge(request, reserved_key, tried_nodes)
        if second is None:
            return self._wait_for(first, request.deadline)
        time_left = self._get_time_left(request.deadline)
        self.wait([first.future, second.future], time_left)
        winner, loser = first, second
        if second.future.done() and not _is_completed(first):
            winner, loser = second, first
        outcome = self._wait_for(winner, request.deadline)
        if isinstance(outcome, Completed):
            self._fence_and_remove(loser)
            return outcome
        return combine_outcomes(outcome, self._wait_for(loser, request.deadline))

    def _send_hedge(self, request, reserved_key, tried_nodes):
        candidates = self.directory.list_candidates(
            request.service, self.is_usable, tried_nodes
        )
        chosen = choose_node(candidates, self.random)
        if chosen is None or not self.hedge_budget.spend():
            return None
        tried_nodes.add(chosen.node)
        request_id = self._create_request_id()
        self.registry.count("request_hedges_total")
        self.recorder.record("request-hedged", request_id, chosen.node)
        attempt = self._send_attempt(request, request_id, reserved_key, chosen.node)
        return attempt if isinstance(attempt, PendingRequest) else None

    def _fence_and_remove(self, pending):
        """Fence an attempt whose answer is no longer needed."""
        if not pending.future.done():
            self._send_fence(pending)
        self._remove_pending(pending)

    def _handle_timeout(self, pending):
        with self._lock:
            pending.timed_out_at = self.clock.now()
            is_resolved = pending.future.done()
        if is_resolved:
            self._remove_pending(pending)
            return pending.future.result()
        self.registry.count("request_given_up_total")
        self._send_fence(pending)
        return Unknown("deadline", RETRY_AFTER_SECONDS)

    def _send_fence(self, pending):
        """Fence a request if the node incarnation that got it is connected."""
        view = self.directory.get(pending.node)
        if view is not None and view.incarnation == pending.incarnation:
            view.stream.send(Fence(request_id=pending.request_id))

    def _remove_pending(self, pending):
        with self._lock:
            self._pending_by_id.pop(pending.request_id, None)
        self.directory.end_request(pending.node, pending.request_id)

    def handle_open(self, stream):
        """Fence the unresolved requests of a node that opened a new stream.

        Requests sent to an earlier incarnation of the node end as unknown.
        """
        hello = stream.peer
        for pending in self._list_pending(hello.name):
            if pending.incarnation != hello.incarnation:
                self._resolve(pending, Unknown("node-restarted", RETRY_AFTER_SECONDS))
            elif pending.is_fence_needed:
                stream.send(Fence(request_id=pending.request_id))

    def handle_close(self, node):
        """Handle the requests in flight at a node whose stream was lost."""
        for pending in self._list_pending(node):
            self._handle_stream_loss(pending)

    def _handle_stream_loss(self, pending):
        pending.is_fence_needed = True
        if pending.repeatable:
            self._resolve(pending, Unknown("stream-lost", RETRY_AFTER_SECONDS))
        else:
            self._send_fence(pending)

    def handle_message(self, message):
        """Handle an answer from a node.

        Answers to requests that are not pending are counted and dropped, such as those
        to an earlier incarnation of this entry.
        """
        with self._lock:
            pending = self._pending_by_id.get(message.request_id)
        if pending is None:
            self.registry.count("request_answers_unexpected_total")
            return
        match message:
            case RequestEnded():
                if message.outcome == "completed":
                    self.hedge_timer.record(self.clock.now() - pending.sent_at)
                self._resolve(pending, _parse_outcome(message))
            case FenceResult():
                pending.is_fence_needed = False

    def _resolve(self, pending, outcome):
        with self._lock:
            if pending.future.done():
                return
            pending.future.set_result(outcome)
            was_timed_out = pending.timed_out_at is not None
        if was_timed_out:
            self._record_late_outcome(pending, outcome)

    def _record_late_outcome(self, pending, outcome):
        self.registry.count("request_late_answers_total")
        self.recorder.record(
            "request-settled-late", pending.request_id, _describe_outcome(outcome)
        )
        self._remove_pending(pending)
        if pending.reserved_key is not None:
            self.keys.record_late_outcome(pending.reserved_key, outcome)

    def _list_pending(self, node):
        with self._lock:
            return [item for item in self._pending_by_id.values() if item.node == node]

    def drop_expired(self):
        """Drop timed-out requests whose late answers are no longer awaited."""
        now = self.clock.now()
        with self._lock:
            expired = [
                pending
                for pending in self._pending_by_id.values()
                if pending.timed_out_at is not None
                and now - pending.timed_out_at > LATE_ANSWER_RETENTION_SECONDS
            ]
        for pending in expired:
            self._remove_pending(pending)


def combine_outcomes(earlier, later):
    """Return the combined outcome of two attempts of a request.

    The result is ``NotRun`` only if no attempt may have run.

    :param earlier: Combined outcome of the earlier attempts, or None.
    :param later: Outcome of the latest attempt.
    """
    match earlier, later:
        case _, Completed():
            return later
        case Unknown(), _:
            return earlier
        case _:
            return later


def _wait_for_first(futures, seconds):
    wait(futures, timeout=seconds, return_when=FIRST_COMPLETED)


def _is_completed(pending):
    return pending.future.done() and isinstance(pending.future.result(), Completed)


def _describe_outcome(outcome):
    match outcome:
        case Completed(status=status):
            return f"completed {status}"
        case NotRun(reason=reason):
            return f"not-run {reason}"
        case Unknown(reason=reason):
            return f"unknown {reason}"
        case _:
            return type(outcome).__name__


def _parse_outcome(message):
    match message.outcome:
        case "completed":
            return Completed(message.status, message.content_type, message.body)
        case "not_run":
            return NotRun(message.reason, message.retry_after)
        case _:
            return Unknown(message.reason, message.retry_after or RETRY_AFTER_SECONDS)
