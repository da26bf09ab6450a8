"""Running callers' requests on the endpoint, within its slots and connections."""

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

ENDPOINT_LIMIT_SECONDS = 3600.0
KEEP_SECONDS = 30.0
KEPT_ANSWERS_BYTES = 2 * 1024 * 1024
SWEEP_SECONDS = 0.05
FORGET_SECONDS = 5.0
SERVICE_TIME_SECONDS = 5.0
DRAIN_RETRY_AFTER_SECONDS = 0.2


@dataclass(slots=True)
class Held:
    """A request that the node holds.

    :param request: ``RunRequest``.
    :param entry: Run of the entry that gets the answer.
    :param deadline: Latest useful end, on the node's clock.
    :param is_answered: The entry was told ``unknown`` at the deadline.
    """

    request: RunRequest
    entry: str
    deadline: float
    is_answered: bool = False


class RequestRunner:
    """Admit, run, fence and answer requests; state is the loop's thread's alone.

    A slot stays taken until the endpoint answered or its connection broke, also when
    the deadline has passed: only then it is certain that nothing runs there.

    :param loop: ``Loop``.
    :param executor: Runs the calls of the endpoint.
    :param endpoint: ``Endpoint``; None when there is none.
    :param links: ``EntryLinks``.
    :param may_work: Tells whether new work is allowed at all.
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
        self.table = IdempotencyTable(KEEP_SECONDS, KEPT_ANSWERS_BYTES)
        self._held_by_id = {}
        self._finished_at = 0.0

    @property
    def service_seconds(self):
        """Return the moving average of the service time; 0 when it is too old."""
        age = self.clock.now() - self._finished_at
        return self.ledger.service_seconds if age < SERVICE_TIME_SECONDS else 0.0

    def start(self):
        """Begin to sweep queue and table."""
        self._sweep()
        self._forget()

    @property
    def is_idle(self):
        """Tell whether no request is queued or running."""
        return not self._held_by_id

    def handle_run(self, stream, request):
        """Take a request of an entry."""
        key = request.idempotency_key
        known = self.table.begin(request.request_id, key, self.clock.now())
        match known:
            case Admitted():
                self._admit(stream, request)
            case Fenced():
                self._send_not_run(stream, request.request_id, "fenced")
            case AlreadyEnded(ended):
                self._send_known(stream, request.request_id, ended)
            case InProgress():
                self._answer_in_progress(stream, request)
            case Forgotten():
                self._send_forgotten(stream, request.request_id)

    def _send_forgotten(self, stream, request_id):
        stream.send(
            RequestEnded(request_id=request_id, outcome="unknown", reason="forgotten")
        )

    def _send_known(self, stream, request_id, ended):
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
        self._held_by_id[request.request_id] = Held(
            request, stream.peer.incarnation, deadline
        )
        if isinstance(action, Run):
            self._run(request.request_id)

    def _end_not_run(self, stream, request, reason, retry_after):
        ended = RequestEnded(
            request_id=request.request_id,
            outcome="not_run",
            reason=reason,
            retry_after=retry_after,
        )
        self._note_end(ended)
        stream.send(ended)

    def _send_not_run(self, stream, request_id, reason):
        stream.send(
            RequestEnded(request_id=request_id, outcome="not_run", reason=reason)
        )

    def _run(self, request_id):
        held = self._held_by_id[request_id]
        self.table.mark_running(request_id, self.clock.now())
        self.recorder.record("request-running", request_id)
        self.executor.submit(self._call_endpoint, held.request)

    def _call_endpoint(self, request):
        started_at = self.clock.now()
        outcome = self.endpoint.run(request, ENDPOINT_LIMIT_SECONDS)
        seconds = self.clock.now() - started_at
        self.loop.call(self._finish, request.request_id, outcome, seconds)

    def _finish(self, request_id, outcome, seconds):
        held = self._held_by_id.pop(request_id)
        is_success = isinstance(outcome, Success)
        self._finished_at = self.clock.now()
        self.ledger.finish(request_id, seconds if is_success else None)
        self.registry.measure("endpoint_seconds", seconds)
        ended = _build_end(request_id, outcome)
        if not held.is_answered:
            self._note_end(ended)
            self._answer(held, ended)
        else:
            self._answer_late(held, ended)
        self._carry_out(self.ledger.advance(self.clock.now()))

    def _answer_late(self, held, ended):
        """Tell the entry what became of a request that it was told is unknown."""
        self._note_end(ended)
        if ended.outcome != "unknown":
            self._answer(held, ended)

    def _note_end(self, ended):
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

    def _carry_out(self, actions):
        for action in actions:
            match action:
                case Run(request_id):
                    self._run(request_id)
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
        self._note_end(ended)
        self._answer(held, ended)

    def handle_fence(self, stream, request_id):
        """Forbid a request that has not started, or tell that it has."""
        now = self.clock.now()
        ended = self.table.get_ended(request_id)
        if ended is not None:
            self._send_known(stream, request_id, ended)
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
        self._carry_out(self.ledger.expire(now))
        for held in list(self._held_by_id.values()):
            if now >= held.deadline and not held.is_answered:
                self._answer_unknown(held)
        self.loop.call_later(SWEEP_SECONDS, self._sweep)

    def _answer_unknown(self, held):
        held.is_answered = True
        request_id = held.request.request_id
        self._answer(
            held,
            RequestEnded(request_id=request_id, outcome="unknown", reason="deadline"),
        )

    def _forget(self):
        self.table.forget(self.clock.now())
        self.loop.call_later(FORGET_SECONDS, self._forget)


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
