"""Client of the platform's workers, and the format of their heartbeats."""

import threading
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Amount, Count, read_json
from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
from bergamotshore.core.work.model import build_worker_size
from bergamotshore.exceptions import DecodingError, ReportInvalid, WorkerFailure
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
# Names and labels of a heartbeat, all together, in bytes.
MAX_TEXT_BYTES = 64 * 1024
TEXT_TYPE_BY_FIELD = {
    "service": str,
    "zone": str,
    "state": str,
    "addr": str,
    "version": str,
    "machine": str,
    "labels": list[str],
}
NO_TEXT = msgspec.Raw(b'""')
NO_LABELS = msgspec.Raw(b"[]")
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
    report, ``clock_ms`` the worker's clock. ``read_texts`` decodes names and labels:
    many short ones take a multiple of a heartbeat's size.
    """

    service: msgspec.Raw
    zone: msgspec.Raw
    state: msgspec.Raw
    capacity: WireCapacity
    born: Count = 0
    addr: msgspec.Raw = NO_TEXT
    version: msgspec.Raw = NO_TEXT
    machine: msgspec.Raw = NO_TEXT
    seq: Count = 0
    clock_ms: Amount | None = None
    slots: Count = 0
    warmup_left_ms: Amount = 0
    remaining_ms: Amount = 0
    labels: msgspec.Raw = NO_LABELS

    def read_texts(self):
        """Return ``Result`` of names and labels by field, or of a ``DecodingError``."""
        raw_by_field = {name: getattr(self, name) for name in TEXT_TYPE_BY_FIELD}
        size = sum(memoryview(raw).nbytes for raw in raw_by_field.values())
        if size > MAX_TEXT_BYTES:
            return Failure(DecodingError(f"{size} bytes of names and labels"))
        texts = {}
        for name, raw in raw_by_field.items():
            match read_json(raw, TEXT_TYPE_BY_FIELD[name]):
                case Success(text):
                    texts[name] = text
                case failure:
                    return failure
        return Success(texts)


@dataclass(frozen=True, slots=True)
class IdentifiedConnection:
    """Connection on which the worker has named its incarnation.

    :param number: Number of the connection.
    :param started_ms: Start time of the incarnation, in milliseconds.
    """

    number: int
    started_ms: int


class PlatformRunner:
    """Call the worker on this VM over HTTP.

    A worker may restart under its name and address. Its next incarnation has another
    clock, numbers completions anew and may be of another size, and the platform's calls
    don't say which incarnation they are for. Starts, ends of leases and
    acknowledgements are therefore sent only on a connection on which their incarnation
    has answered before, as a connection ends with the process that accepted it.

    Connections belong to threads.

    :param address: Address of the worker as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)
        self._timeout = timeout
        self._local = threading.local()

    def is_confirmed(self, started_ms):
        """Return whether a connection to an incarnation is open; see the port."""
        return self._find_connection(started_ms) is not None

    def _find_connection(self, started_ms):
        """Return the number of the connection to an incarnation; None without one."""
        identified = getattr(self._local, "identified", None)
        if identified is None or identified.started_ms != started_ms:
            return None
        is_open = self._client.is_open(identified.number)
        return identified.number if is_open else None

    def confirm(self, started_ms, fence):
        """Ask the worker for its incarnation if necessary; see the port."""
        if self.is_confirmed(started_ms):
            return Success(None)
        match self._ask(fence):
            case Success(listing) if listing.started_ms != started_ms:
                return Failure(RunRejected("other-life"))
            case Failure(WorkerFailure() as failure):
                # The call had no effect: it neither extends nor acknowledges anything.
                return Failure(replace(failure, is_certain=True))
            case Failure() as failure:
                return failure
        return Success(None)

    def _ask(self, fence):
        """Return the listing of whatever incarnation is there; see ``_list_runs``.

        A question without an answer is soon repeated.
        """
        timeout = min(self._timeout, QUESTION_SECONDS)
        for _ in range(MAX_QUESTIONS):
            answer = self._call("/hold", _build_renewal(fence, 0), {}, timeout)
            outcome = self._read_listing(answer)
            if not _is_unanswered(outcome):
                break
        return outcome

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
        return self._send_order("/run-start", request, headers, connection)

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
        return self._read_listing(answer)

    def _list_runs(self, fence, wait_ms):
        """List the runs of whatever incarnation answers, without any effect on it."""
        timeout = self._timeout + wait_ms / 1000
        answer = self._call("/hold", _build_renewal(fence, wait_ms), {}, timeout)
        return self._read_listing(answer)

    def is_refusing(self):
        """Return whether a new connection is refused; see the port."""
        return self._client.is_refusing(CONNECT_SECONDS)

    def _read_listing(self, answer):
        """Decode a listing and record on which connection its incarnation answered."""
        outcome = _read_answer(answer, WireListing).map(_decode_listing)
        match answer, outcome:
            case Success(HttpAnswer(connection=number)), Success(listing):
                identified = IdentifiedConnection(number, listing.started_ms)
                self._local.identified = identified
        return outcome

    def _send_order(self, path, request, headers=None, connection=None):
        answer = self._call(path, request, headers or {}, self._timeout, connection)
        return _read_answer(answer, WireAnswer).map(
            lambda item: RunAccepted(item.clock_ms)
        )

    def _call(self, path, request, headers, timeout, connection=None):
        headers = {"Content-Type": "application/json", **headers}
        body = msgspec.json.encode(request)
        return self._client.call("POST", path, body, headers, timeout, connection)


def _is_unanswered(outcome):
    match outcome:
        case Failure(WorkerFailure(is_certain=False)):
            return True
    return False


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
    report = read_json(body, WireReport)
    match report.bind(WireReport.read_texts):
        case Success(texts):
            report = report.unwrap()
        case Failure(error):
            return Failure(ReportInvalid(str(error)))
    state, labels = texts["state"], texts["labels"]
    if not worker or state not in WORKER_STATES:
        return Failure(
            ReportInvalid(f"invalid worker name or state: {worker!r}, {state!r}")
        )
    return Success(
        WorkerReport(
            incarnation=WorkerIncarnation(worker, report.born),
            service=texts["service"],
            zone=texts["zone"],
            version=texts["version"],
            is_draining=state == STATE_DRAINING,
            remaining=report.remaining_ms / 1000,
            warmup=report.warmup_left_ms / 1000,
            size=build_worker_size(
                int(report.capacity.cpu),
                int(report.capacity.mem_mb),
                int(report.capacity.gpu),
            ),
            labels=tuple(labels),
            rack=labels[1] if len(labels) > 1 else "",
            machine=texts["machine"],
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
