"""Run callers' requests on the endpoint, within its slots and connections."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.core.idempotency import (
    Admitted,
    AlreadyEnded,
    Fenced,
    Forgotten,
    IdempotencyTable,
    InProgress,
)
from bergamotshore.core.ledger import AdmissionLedger, Refuse, Run
from bergamotshore.exceptions import EndpointNotReached
from bergamotshore.generated.messages import FenceResult, RequestEnded, RunRequest

ENDPOINT_TIMEOUT_SECONDS = 3600.0
RETENTION_SECONDS = 30.0
MAX_RETAINED_ANSWER_BYTES = 2 * 1024 * 1024
SWEEP_INTERVAL_SECONDS = 0.05
EXPIRY_INTERVAL_SECONDS = 5.0
SERVICE_TIME_MAX_AGE_SECONDS = 5.0
DRAIN_RETRY_AFTER_SECONDS = 0.2


@dataclass(slots=True)
class HeldRequest:
    """A request that is queued or running on the node.

    :param request: ``RunRequest``.
    :param entry: Incarnation of the entry that receives the answer.
    :param deadline: Time by which the answer is needed, on the node's clock.
    :param is_answered: Whether ``unknown`` was sent to the entry at the deadline.
    """

    request: RunRequest
    entry: str
    deadline: float
    is_answered: bool = False


class RequestRunner:
    """Admit, run, fence and answer requests; only the loop's thread accesses its state.

    A slot stays occupied until the endpoint answers or its connection breaks, even past
    the deadline: only then is it certain that the request no longer runs there.

    :param loop: ``Loop``.
    :param executor: Executor for calls to the endpoint.
    :param endpoint: ``Endpoint``; None when there is none.
    :param links: ``EntryLinks``.
    :param may_work: Returns whether new requests may be accepted.
    :param recorder: ``Recorder``.
    :param registry: ``Registry``.
    """

    def __init__(self, loop, executor, endpoint, links, may_work, recorder, registry):
        self.loop = loop
        self.clock = loop.clock
        self.executor = executor
        self.endpoint = endpoint
        self.links = links
        self.may_work = may_work
        self.recorder = recorder
        self.registry = registry
        self.service = ""
        self.ledger = AdmissionLedger()
        self.table = IdempotencyTable(RETENTION_SECONDS, MAX_RETAINED_ANSWER_BYTES)
        self._held_by_id = {}
        self._last_finished_at = 0.0

    @property
    def service_seconds(self):
        """Return the moving average of the service time, 0 when it is out of date."""
        age = self.clock.now() - self._last_finished_at
        return (
            self.ledger.service_seconds if age < SERVICE_TIME_MAX_AGE_SECONDS else 0.0
        )

    def start(self):
        """Start the periodic sweeps of the queue and the idempotency table."""
        self._sweep()
        self._expire_answers()

    @property
    def is_idle(self):
        """Return whether no request is queued or running."""
        return not self._held_by_id

    def handle_run(self, stream, request):
        """Admit a request of an entry, or answer it from the idempotency table."""
        key = request.idempotency_key
        admission = self.table.begin(request.request_id, key, self.clock.now())
        match admission:
            case Admitted():
                self._admit(stream, request)
            case Fenced():
                self._send_not_run(stream, request.request_id, "fenced")
            case AlreadyEnded(ended):
                self._send_ended(stream, request.request_id, ended)
            case InProgress():
                self._answer_in_progress(stream, request)
            case Forgotten():
                self._send_forgotten(stream, request.request_id)

    def _send_forgotten(self, stream, request_id):
        stream.send(
            RequestEnded(request_id=request_id, outcome="unknown", reason="forgotten")
        )

    def _send_ended(self, stream, request_id, ended):
        answer = RequestEnded(
            request_id=request_id,
            outcome=ended.outcome,
            status=ended.status,
            content_type=ended.content_type,
            body=ended.body,
            reason=ended.reason,
            retry_after=ended.retry_after,
        )
        stream.send(answer)

    def _answer_in_progress(self, stream, request):
        if request.request_id in self._held_by_id:
            self._held_by_id[request.request_id].entry = stream.peer.incarnation
            return
        stream.send(
            RequestEnded(
                request_id=request.request_id,
                outcome="unknown",
                reason="key-in-progress",
            )
        )

    def _admit(self, stream, request):
        now = self.clock.now()
        if request.service != self.service or not self.may_work():
            reason = "draining" if request.service == self.service else "no-endpoint"
            self._end_not_run(stream, request, reason, DRAIN_RETRY_AFTER_SECONDS)
            return
        deadline = now + request.remaining
        action = self.ledger.admit(request.request_id, deadline, now)
        if isinstance(action, Refuse):
            self._end_not_run(stream, request, action.reason, action.retry_after)
            return
        self._held_by_id[request.request_id] = HeldRequest(
            request, stream.peer.incarnation, deadline
        )
        if isinstance(action, Run):
            self._start_request(request.request_id)

    def _end_not_run(self, stream, request, reason, retry_after):
        ended = RequestEnded(
            request_id=request.request_id,
            outcome="not_run",
            reason=reason,
            retry_after=retry_after,
        )
        self._record_end(ended)
        stream.send(ended)

    def _send_not_run(self, stream, request_id, reason):
        stream.send(
            RequestEnded(request_id=request_id, outcome="not_run", reason=reason)
        )

    def _start_request(self, request_id):
        held = self._held_by_id[request_id]
        self.table.mark_running(request_id, self.clock.now())
        self.recorder.record("request-running", request_id)
        self.executor.submit(self._call_endpoint, held.request)

    def _call_endpoint(self, request):
        started_at = self.clock.now()
        outcome = self.endpoint.run(request, ENDPOINT_TIMEOUT_SECONDS)
        seconds = self.clock.now() - started_at
        self.loop.call(self._finish_request, request.request_id, outcome, seconds)

    def _finish_request(self, request_id, outcome, seconds):
        held = self._held_by_id.pop(request_id)
        is_success = isinstance(outcome, Success)
        self._last_finished_at = self.clock.now()
        self.ledger.finish(request_id, seconds if is_success else None)
        self.registry.measure("endpoint_seconds", seconds)
        ended = _build_end(request_id, outcome)
        if not held.is_answered:
            self._record_end(ended)
            self._answer(held, ended)
        else:
            self._answer_late(held, ended)
        self._execute(self.ledger.advance(self.clock.now()))

    def _answer_late(self, held, ended):
        """Send the outcome of a request answered ``unknown`` at its deadline."""
        self._record_end(ended)
        if ended.outcome != "unknown":
            self._answer(held, ended)

    def _record_end(self, ended):
        self.table.end(ended, self.clock.now())
        self.registry.count(
            "requests_total", outcome=ended.outcome, reason=ended.reason
        )
        self.recorder.record(
            "request-answered",
            ended.request_id,
            f"{ended.outcome} {ended.reason or ended.status}",
        )

    def _answer(self, held, ended):
        stream = self.links.find_stream(held.entry)
        if stream is not None:
            stream.send(ended)

    def _execute(self, actions):
        for action in actions:
            match action:
                case Run(request_id):
                    self._start_request(request_id)
                case Refuse(request_id, reason, retry_after):
                    self._refuse_held(request_id, reason, retry_after)

    def _refuse_held(self, request_id, reason, retry_after):
        held = self._held_by_id.pop(request_id)
        ended = RequestEnded(
            request_id=request_id,
            outcome="not_run",
            reason=reason,
            retry_after=retry_after,
        )
        self._record_end(ended)
        self._answer(held, ended)

    def handle_fence(self, stream, request_id):
        """Prevent a request from starting, or reply that it has started or ended."""
        now = self.clock.now()
        ended = self.table.get_ended(request_id)
        if ended is not None:
            self._send_ended(stream, request_id, ended)
            return
        if self.table.is_forgotten(request_id):
            self._send_forgotten(stream, request_id)
            return
        if self.table.fence(request_id, now):
            self.ledger.remove(request_id)
            self._held_by_id.pop(request_id, None)
            self.recorder.record("request-fenced", request_id)
            self._send_not_run(stream, request_id, "fenced")
            return
        self._held_by_id[request_id].entry = stream.peer.incarnation
        stream.send(FenceResult(request_id=request_id))

    def _sweep(self):
        now = self.clock.now()
        self._execute(self.ledger.expire(now))
        for held in list(self._held_by_id.values()):
            if now >= held.deadline and not held.is_answered:
                self._answer_unknown(held)
        self.loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def _answer_unknown(self, held):
        held.is_answered = True
        request_id = held.request.request_id
        self._answer(
            held,
            RequestEnded(request_id=request_id, outcome="unknown", reason="deadline"),
        )

    def _expire_answers(self):
        self.table.forget(self.clock.now())
        self.loop.call_later(EXPIRY_INTERVAL_SECONDS, self._expire_answers)


def _build_end(request_id, outcome):
    match outcome:
        case Success(answer):
            return RequestEnded(
                request_id=request_id,
                outcome="completed",
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
        case Failure(EndpointNotReached(code=code)):
            return RequestEnded(
                request_id=request_id,
                outcome="not_run",
                reason=code,
                retry_after=DRAIN_RETRY_AFTER_SECONDS,
            )
        case Failure(failure):
            return RequestEnded(
                request_id=request_id, outcome="unknown", reason=failure.code
            )
