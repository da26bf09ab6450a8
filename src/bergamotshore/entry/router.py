"""The life of a caller's request at an entry."""

import itertools
import threading
from concurrent.futures import FIRST_COMPLETED, Future, wait
from dataclasses import dataclass, field

from bergamotshore.core.hedging import HedgeTimer
from bergamotshore.core.routing import RetryBudget, choose_node
from bergamotshore.entry.keys import HeldKey
from bergamotshore.entry.outcomes import Completed, NotRun, Unknown
from bergamotshore.generated.messages import (
    Fence,
    FenceResult,
    RequestEnded,
    RunRequest,
)

RETRY_AFTER_SECONDS = 1.0
FULL_RETRY_AFTER_SECONDS = 0.5
NO_RETRY_BEFORE_DEADLINE_SECONDS = 0.02
LATE_KEPT_SECONDS = 120.0


@dataclass(slots=True)
class Pending:
    """A request that was sent to a node.

    :param request_id: Identifier of this try.
    :param node: Name of the node.
    :param incarnation: Run of the node.
    :param repeatable: Whether the request may run more than once.
    :param future: Gets the outcome.
    :param is_undecided: The stream was lost; a fence is needed.
    :param held_key: Key to settle by a late answer, or None.
    :param given_up_at: When the caller was told; None before.
    :param sent_at: When it was sent, on the entry's clock.
    """

    request_id: str
    node: str
    incarnation: str
    repeatable: bool
    future: Future = field(default_factory=Future)
    is_undecided: bool = False
    held_key: HeldKey | None = None
    given_up_at: float | None = None
    sent_at: float = 0.0


class RequestRouter:
    """Route requests to nodes and give each exactly one final outcome.

    :param incarnation: Run of this entry; part of every request identifier.
    :param directory: ``NodeDirectory``.
    :param is_usable: Tells whether a data centre and node may be used.
    :param keys: ``KeyStore``.
    :param settings: ``settings.Entry``.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param recorder: ``Recorder``.
    :param random: ``random.Random``.
    :param wait: Waits for the first of some futures, some seconds at most.
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
        self.wait = wait or _wait_first
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
        self._count = itertools.count(1)
        self._lock = threading.Lock()
        self._pending_by_id = {}
        self._in_flight = 0

    @property
    def in_flight(self):
        """Return the number of callers that wait for an answer."""
        return self._in_flight

    def serve(self, request):
        """Give a request its final outcome.

        :param request: ``CallerRequest``.
        :returns: ``Outcome``.
        """
        with self._lock:
            is_full = self._in_flight >= self.settings.requests
            if not is_full:
                self._in_flight += 1
        if is_full:
            return NotRun("entry-full", FULL_RETRY_AFTER_SECONDS)
        started_at = self.clock.now()
        try:
            return self._serve_counted(request)
        finally:
            with self._lock:
                self._in_flight -= 1
            self.registry.measure("request_seconds", self.clock.now() - started_at)

    def _serve_counted(self, request):
        request_id = self._create_request_id()
        if not request.idempotency_key:
            return self._route(request, request_id, None)
        held = self.keys.begin(request, request_id)
        if not isinstance(held, HeldKey):
            return held
        outcome = self._route(request, request_id, held)
        self.keys.finish(held, outcome)
        return outcome

    def _create_request_id(self):
        return f"{self.incarnation}.{next(self._count)}"

    def _route(self, request, request_id, held):
        self.recorder.record("request-received", request_id, request.service)
        self.budget.earn()
        self.hedge_budget.earn()
        tried = set()
        outcome = None
        while True:
            outcome = combine(outcome, self._try_once(request, request_id, held, tried))
            if not self._may_retry(request, outcome, tried):
                self.recorder.record("request-ended", request_id, _name(outcome))
                return outcome
            self.registry.count("request_retries_total")
            request_id = self._create_request_id()
            self.recorder.record("request-retried", request_id, outcome.reason)

    def _may_retry(self, request, outcome, tried):
        match outcome:
            case Completed() | NotRun(reason="no-node"):
                return False
            case Unknown() if not request.repeatable:
                return False
        left = request.deadline - self.clock.now()
        if left < NO_RETRY_BEFORE_DEADLINE_SECONDS:
            return False
        others = self.directory.list_candidates(request.service, self.is_usable, tried)
        return bool(others) and self.budget.spend()

    def _try_once(self, request, request_id, held, tried):
        candidates = self.directory.list_candidates(
            request.service, self.is_usable, tried
        )
        chosen = choose_node(candidates, self.random)
        if chosen is None:
            return NotRun("no-node", RETRY_AFTER_SECONDS)
        tried.add(chosen.node)
        begun = self._begin(request, request_id, held, chosen.node)
        if not isinstance(begun, Pending):
            return begun
        if request.repeatable:
            return self._await_hedged(request, begun, held, tried)
        return self._await(begun, request.deadline)

    def _begin(self, request, request_id, held, node):
        """Send a request to a node.

        :returns: ``Pending``, or ``NotRun`` when nothing was sent.
        """
        remaining = request.deadline - self.clock.now()
        if remaining <= 0:
            return NotRun("deadline-passed", RETRY_AFTER_SECONDS)
        view = self.directory.get(node)
        if view is None:
            return NotRun("node-gone", RETRY_AFTER_SECONDS)
        pending = Pending(
            request_id,
            node,
            view.incarnation,
            request.repeatable,
            held_key=held,
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
            self._forget(pending)
            return NotRun("node-gone", RETRY_AFTER_SECONDS)
        if not view.stream.is_open:
            self._note_lost(pending)
        return pending

    def _await(self, pending, deadline):
        self.wait([pending.future], self._get_left(deadline))
        if not pending.future.done():
            return self._give_up(pending)
        self._forget(pending)
        return pending.future.result()

    def _get_left(self, deadline):
        return max(0.0, deadline - self.clock.now())

    def _await_hedged(self, request, first, held, tried):
        """Wait for a repeatable request; send it once more when it is slow.

        The first completed answer counts; the other try is fenced, so that it does not
        run if it still waits.
        """
        delay = self.hedge_timer.delay
        if delay is None or delay >= self._get_left(request.deadline):
            return self._await(first, request.deadline)
        self.wait([first.future], delay)
        if first.future.done():
            return self._await(first, request.deadline)
        second = self._begin_hedge(request, held, tried)
        if second is None:
            return self._await(first, request.deadline)
        left = self._get_left(request.deadline)
        self.wait([first.future, second.future], left)
        winner, loser = first, second
        if second.future.done() and not _is_completed(first):
            winner, loser = second, first
        outcome = self._await(winner, request.deadline)
        if isinstance(outcome, Completed):
            self._abandon(loser)
            return outcome
        return combine(outcome, self._await(loser, request.deadline))

    def _begin_hedge(self, request, held, tried):
        candidates = self.directory.list_candidates(
            request.service, self.is_usable, tried
        )
        chosen = choose_node(candidates, self.random)
        if chosen is None or not self.hedge_budget.spend():
            return None
        tried.add(chosen.node)
        request_id = self._create_request_id()
        self.registry.count("request_hedges_total")
        self.recorder.record("request-hedged", request_id, chosen.node)
        begun = self._begin(request, request_id, held, chosen.node)
        return begun if isinstance(begun, Pending) else None

    def _abandon(self, pending):
        """Fence a try whose answer is not needed any more."""
        if not pending.future.done():
            self._send_fence(pending)
        self._forget(pending)

    def _give_up(self, pending):
        with self._lock:
            pending.given_up_at = self.clock.now()
            is_decided = pending.future.done()
        if is_decided:
            self._forget(pending)
            return pending.future.result()
        self.registry.count("request_given_up_total")
        self._send_fence(pending)
        return Unknown("deadline", RETRY_AFTER_SECONDS)

    def _send_fence(self, pending):
        """Fence a request, if the run of the node that got it is connected."""
        view = self.directory.get(pending.node)
        if view is not None and view.incarnation == pending.incarnation:
            view.stream.send(Fence(request_id=pending.request_id))

    def _forget(self, pending):
        with self._lock:
            self._pending_by_id.pop(pending.request_id, None)
        self.directory.end_request(pending.node, pending.request_id)

    def handle_open(self, stream):
        """Fence what is undecided at a node whose fresh stream opened."""
        hello = stream.peer
        for pending in self._list_pending(hello.name):
            if pending.incarnation != hello.incarnation:
                self._decide(pending, Unknown("node-restarted", RETRY_AFTER_SECONDS))
            elif pending.is_undecided:
                stream.send(Fence(request_id=pending.request_id))

    def handle_close(self, node):
        """Treat requests in flight at a node whose stream was lost."""
        for pending in self._list_pending(node):
            self._note_lost(pending)

    def _note_lost(self, pending):
        pending.is_undecided = True
        if pending.repeatable:
            self._decide(pending, Unknown("stream-lost", RETRY_AFTER_SECONDS))
        else:
            self._send_fence(pending)

    def handle_message(self, message):
        """Take an answer of a node; one for another run of this entry is dropped."""
        with self._lock:
            pending = self._pending_by_id.get(message.request_id)
        if pending is None:
            self.registry.count("request_answers_unexpected_total")
            return
        match message:
            case RequestEnded():
                if message.outcome == "completed":
                    self.hedge_timer.record(self.clock.now() - pending.sent_at)
                self._decide(pending, _read_outcome(message))
            case FenceResult():
                pending.is_undecided = False

    def _decide(self, pending, outcome):
        with self._lock:
            if pending.future.done():
                return
            pending.future.set_result(outcome)
            was_given_up = pending.given_up_at is not None
        if was_given_up:
            self._settle_late(pending, outcome)

    def _settle_late(self, pending, outcome):
        self.registry.count("request_late_answers_total")
        self.recorder.record("request-settled-late", pending.request_id, _name(outcome))
        self._forget(pending)
        if pending.held_key is not None:
            self.keys.finish_late(pending.held_key, outcome)

    def _list_pending(self, node):
        with self._lock:
            return [item for item in self._pending_by_id.values() if item.node == node]

    def forget_late(self):
        """Drop requests given up on long ago."""
        now = self.clock.now()
        with self._lock:
            old = [
                pending
                for pending in self._pending_by_id.values()
                if pending.given_up_at is not None
                and now - pending.given_up_at > LATE_KEPT_SECONDS
            ]
        for pending in old:
            self._forget(pending)


def combine(earlier, later):
    """Return what is known of a request after two tries of it.

    "Not run" is true only when no try may have run.

    :param earlier: Outcome of the earlier tries; None before the first.
    :param later: Outcome of the latest try.
    """
    match earlier, later:
        case _, Completed():
            return later
        case Unknown(), _:
            return earlier
        case _:
            return later


def _wait_first(futures, seconds):
    wait(futures, timeout=seconds, return_when=FIRST_COMPLETED)


def _is_completed(pending):
    return pending.future.done() and isinstance(pending.future.result(), Completed)


def _name(outcome):
    match outcome:
        case Completed(status=status):
            return f"completed {status}"
        case NotRun(reason=reason):
            return f"not-run {reason}"
        case Unknown(reason=reason):
            return f"unknown {reason}"
        case _:
            return type(outcome).__name__


def _read_outcome(message):
    match message.outcome:
        case "completed":
            return Completed(message.status, message.content_type, message.body)
        case "not_run":
            return NotRun(message.reason, message.retry_after)
        case _:
            return Unknown(message.reason, message.retry_after or RETRY_AFTER_SECONDS)
