"""Client of the platform's workers, and the format of their heartbeats."""

import threading
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Amount, Count, read_json
from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
from bergamotshore.core.work.model import build_worker_size
from bergamotshore.exceptions import ReportInvalid, WorkerFailure
from bergamotshore.ports.runner import (
    ListedCompletion,
    ListedRun,
    RunAccepted,
    RunRejected,
    WorkerIncarnation,
    WorkerListing,
    WorkerReport,
)

# Time for a connection to the worker, which is on the same VM, in seconds.
CONNECT_SECONDS = 0.3
# Time for an answer to a question which incarnation is there, in seconds, and number of
# such questions before a start: a late answer is of no use, and one that is carried out
# late does no harm.
QUESTION_SECONDS = 0.3
MAX_QUESTIONS = 3
HEARTBEAT_PATH = "/instances/"
REASON_BY_STATUS = {400: "invalid", 421: "other-life", 429: "busy", 503: "busy"}
STATE_DRAINING = "draining"
WORKER_STATES = {"ready", STATE_DRAINING}
# A worker lists at most this many ends at a time.
MAX_LISTED_ENDS = 500


class WireAnswer(msgspec.Struct, frozen=True):
    """Answer to an order: the worker's clock, and the reason of a refusal.

    ``born`` is the start time of the worker's incarnation.
    """

    clock_ms: Count = 0
    reason: str = "invalid"
    born: Count = 0


class WireRun(msgspec.Struct, frozen=True, array_like=True):
    """Row of a run; ``usage`` is its tail latency or the processors in use."""

    task: str
    run: Count
    checkpoint: str | None
    percent: Amount
    usage: Amount | None = None


class WireListing(msgspec.Struct, frozen=True):
    """Answer to ``/hold``.

    One invalid row makes the whole answer invalid: without it, its run would seem to
    have ended. Rows of ``finished``: sequence number, task, run, outcome, checkpoint.
    ``born`` is the start time of the worker's incarnation.
    """

    clock_ms: Count
    running: list[WireRun] = []
    finished: list[tuple[Count, str, Count, str, str]] = []
    born: Count = 0


class WireCapacity(msgspec.Struct, frozen=True):
    """Resources of a worker; ``cpu`` is in thousandths of a core."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class WireReport(msgspec.Struct, frozen=True):
    """Body of a worker's heartbeat.

    ``warmup_left_ms`` counts down to 0 after a start. ``remaining_ms`` is the minimum
    time left while draining. ``labels`` are the worker's kind and its rack, in this
    order. ``born`` is the start time of its incarnation, ``seq`` the number of the
    report, ``clock_ms`` the worker's clock.
    """

    service: str
    zone: str
    state: str
    capacity: WireCapacity
    born: Count = 0
    addr: str = ""
    version: str = ""
    machine: str = ""
    seq: Count = 0
    clock_ms: Amount | None = None
    slots: Count = 0
    warmup_left_ms: Amount = 0
    remaining_ms: Amount = 0
    labels: list[str] = []


@dataclass(frozen=True, slots=True)
class KnownAnswer:
    """An answer of which it is known what incarnation of the worker has given it.

    :param started_ms: Start time of the incarnation, in milliseconds.
    :param connection: Number of the connection on which it was received.
    :param called_at: When the call began, on the system's monotonic clock, in seconds.
    """

    started_ms: int
    connection: int
    called_at: float


class PlatformRunner:
    """Call the worker on this VM over HTTP.

    A worker may restart under its name and address. Its next incarnation has another
    clock, numbers completions anew and may be of another size, and the platform's calls
    don't say which incarnation they are for. Starts, ends of leases and
    acknowledgements are therefore sent only on a connection that leads to their
    incarnation, as it ends with the process that accepted it: the incarnation has
    answered on it, or to a call that any thread began once it was open. Only listings
    name their incarnation; other answers are known by their connection.

    Connections belong to threads.

    :param address: Address of the worker as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)
        self._timeout = timeout
        self._local = threading.local()
        self._last_answer = None

    def is_confirmed(self, started_ms):
        """Return whether a connection to an incarnation is open; see the port."""
        return self._find_connection(started_ms) is not None

    def _find_connection(self, started_ms):
        """Return the number of the connection to an incarnation; None without one."""
        number, connected_ms = self._get_connection()
        return number if number and connected_ms == started_ms else None

    def _get_connection(self):
        """Return the number of this thread's open connection and where it leads.

        :returns: Pair of the number, 0 without a connection, and the start time of the
            incarnation in milliseconds, None if that isn't known.
        """
        connection = self._client.get_connection()
        if connection is None:
            return 0, None
        answer = getattr(self._local, "answer", None)
        if answer is None or answer.connection != connection.number:
            answer = self._last_answer
            if answer is None or answer.called_at <= connection.opened_at:
                return connection.number, None
        return connection.number, answer.started_ms

    def confirm(self, started_ms, fence):
        """Ask the worker for its incarnation if necessary; see the port."""
        if self.is_confirmed(started_ms):
            return Success(None)
        for _ in range(MAX_QUESTIONS):
            outcome = self._ask(fence)
            match outcome:
                case Failure(WorkerFailure(is_certain=False)):
                    continue
            break
        match outcome:
            case Success(listing) if listing.started_ms != started_ms:
                return Failure(RunRejected("other-life"))
            case Failure(WorkerFailure() as failure):
                # The call had no effect: it neither extends nor acknowledges anything.
                return Failure(replace(failure, is_certain=True))
        return outcome.map(lambda listing: None)

    def _ask(self, fence):
        """List the runs at once or not at all."""
        timeout = min(self._timeout, QUESTION_SECONDS)
        answer = self._call("/hold", _build_renewal(fence, 0), {}, timeout)
        return self._read_listing(answer)

    def start(self, order, lease_end_ms, fence, incarnation):
        """Start a run; see the port."""
        connection = self._find_connection(incarnation.started_ms)
        if connection is None:
            return Failure(WorkerFailure("incarnation not confirmed", is_certain=True))
        request = {
            "task": order.task,
            "run": order.number,
            "spec": order.payload,
            "until_ms": lease_end_ms,
            "fence": fence,
        }
        if order.checkpoint:
            request["checkpoint_token"] = order.checkpoint
        if order.ticket:
            request["ticket"] = order.ticket
        name = incarnation.worker
        headers = {"X-Expect-Instance": name} if name else {}
        outcome = self._send_order("/run-start", request, headers, connection)
        self._reconnect(outcome)
        return outcome

    def stop(self, task, number, fence):
        """Stop a run; see the port."""
        return self._send_order(
            "/run-stop", {"task": task, "run": number, "fence": fence}
        )

    def throttle(self, task, number, percent, fence):
        """Throttle a run to a percentage of its speed; see the port."""
        request = {"task": task, "run": number, "percent": percent, "fence": fence}
        return self._send_order("/pace", request)

    def renew_lease(self, lease_end_ms, fence, acknowledgement, wait_ms):
        """Extend the lease and return the listing of runs; see the port."""
        connection = self._find_connection(acknowledgement.started_ms)
        if connection is None:
            return self._list_runs(fence, wait_ms)
        request = _build_renewal(fence, wait_ms, acknowledgement.sequence)
        if lease_end_ms is not None:
            request["until_ms"] = lease_end_ms
        timeout = self._timeout + wait_ms / 1000
        answer = self._call("/hold", request, {}, timeout, connection)
        if _is_connection_replaced(answer):
            return self._list_runs(fence, wait_ms)
        outcome = self._read_listing(answer)
        self._reconnect(outcome)
        return outcome

    def _reconnect(self, outcome):
        """Replace a connection that was lost by a call without an answer.

        By the time of the next call of this thread, an answer to another one may have
        shown where the new connection leads.
        """
        match outcome:
            case Failure(WorkerFailure(is_certain=False)):
                self._client.connect(CONNECT_SECONDS)

    def _list_runs(self, fence, wait_ms):
        """List the runs of whatever incarnation answers, without any effect on it."""
        timeout = self._timeout + wait_ms / 1000
        answer = self._call("/hold", _build_renewal(fence, wait_ms), {}, timeout)
        return self._read_listing(answer)

    def is_refusing(self):
        """Return whether a new connection is refused; see the port."""
        return self._client.is_refusing(CONNECT_SECONDS)

    def _read_listing(self, answer):
        """Decode a listing and record which incarnation has answered where."""
        outcome = _read_answer(answer, WireListing).map(_decode_listing)
        match answer, outcome:
            case Success(HttpAnswer() as http_answer), Success(listing):
                self._record_answer(http_answer, listing.started_ms)
        return outcome

    def _record_answer(self, answer, started_ms):
        """Record which incarnation has given an answer.

        :param answer: ``HttpAnswer``.
        """
        known = KnownAnswer(started_ms, answer.connection, answer.called_at)
        self._local.answer = known
        last = self._last_answer
        if last is None or last.called_at < known.called_at:
            self._last_answer = known

    def _send_order(self, path, request, headers=None, connection=None):
        number, started_ms = self._get_connection()
        answer = self._call(path, request, headers or {}, self._timeout, connection)
        match answer:
            case Success(HttpAnswer(connection=answered)) if answered == number:
                if started_ms is not None:
                    self._record_answer(answer.unwrap(), started_ms)
        return _read_answer(answer, WireAnswer).map(
            lambda item: RunAccepted(item.clock_ms)
        )

    def _call(self, path, request, headers, timeout, connection=None):
        headers = {"Content-Type": "application/json", **headers}
        body = msgspec.json.encode(request)
        return self._client.call("POST", path, body, headers, timeout, connection)


def _build_renewal(fence, wait_ms, acknowledged=0):
    """Return the body of a renewal that leaves the lease as it is."""
    return {"fence": fence, "ack_cursor": acknowledged, "wait_ms": wait_ms}


def _is_connection_replaced(answer):
    """Return whether a call wasn't sent because its connection is gone."""
    match answer:
        case Failure(HttpFailure(was_sent=False)):
            return True
    return False


def _read_answer(outcome, answer_type):
    match outcome:
        case Success(HttpAnswer(status=200, body=body)):
            return _decode(body, answer_type)
        case Success(HttpAnswer(status=409, body=body)):
            return _decode(body, WireAnswer).bind(
                lambda item: Failure(RunRejected(item.reason, item.clock_ms))
            )
        case Success(HttpAnswer(status=status)) if status in REASON_BY_STATUS:
            return Failure(RunRejected(REASON_BY_STATUS[status]))
        case Success(HttpAnswer(status=status)):
            return Failure(WorkerFailure(f"status {status}", is_certain=False))
        case Failure(
            HttpFailure(
                detail=detail,
                was_sent=was_sent,
                is_refused=is_refused,
                has_ended=has_ended,
            )
        ):
            return Failure(WorkerFailure(detail, not was_sent, is_refused, has_ended))


def _decode(body, answer_type):
    return read_json(body, answer_type).alt(
        lambda error: WorkerFailure(str(error), is_certain=False)
    )


def _decode_listing(answer):
    running = [_decode_run(row) for row in answer.running]
    ended = [ListedCompletion(*row) for row in answer.finished]
    is_complete = len(ended) < MAX_LISTED_ENDS
    return WorkerListing(answer.clock_ms, answer.born, running, ended, is_complete)


def _decode_run(row):
    return ListedRun(
        row.task, row.run, row.checkpoint or "", int(row.percent), row.usage or 0.0
    )


def decode_report(worker, body):
    """Return ``Result`` of the ``WorkerReport`` in the body of a heartbeat.

    :param worker: Name of the worker, from the path.
    :param body: Request body.
    """
    match read_json(body, WireReport):
        case Success(report):
            pass
        case Failure(error):
            return Failure(ReportInvalid(str(error)))
    if not worker or report.state not in WORKER_STATES:
        return Failure(
            ReportInvalid(f"invalid worker name or state: {worker!r}, {report.state!r}")
        )
    return Success(
        WorkerReport(
            incarnation=WorkerIncarnation(worker, report.born),
            service=report.service,
            zone=report.zone,
            version=report.version,
            is_draining=report.state == STATE_DRAINING,
            remaining=report.remaining_ms / 1000,
            warmup=report.warmup_left_ms / 1000,
            size=build_worker_size(
                int(report.capacity.cpu),
                int(report.capacity.mem_mb),
                int(report.capacity.gpu),
            ),
            labels=tuple(report.labels),
            rack=report.labels[1] if len(report.labels) > 1 else "",
            machine=report.machine,
            sequence=report.seq,
            clock_ms=report.clock_ms,
        )
    )


def parse_heartbeat(method, path, body):
    """Return ``Result`` of a ``WorkerReport``, or of the name of a leaving worker.

    :param method: HTTP method.
    :param path: Request path.
    :param body: Request body.
    """
    if not path.startswith(HEARTBEAT_PATH):
        return Failure(ReportInvalid(f"heartbeat sent to unknown path {path}"))
    worker = path[len(HEARTBEAT_PATH) :]
    if method == "DELETE":
        return Success(worker)
    return decode_report(worker, body)
