"""The platform's workers: their calls and their reports about themselves."""

from typing import Any

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
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

HEARTBEAT_PATH = "/instances/"
REASON_BY_STATUS = {400: "invalid", 421: "other-life", 429: "busy", 503: "busy"}
STATE_DRAINING = "draining"
STATES = {"ready", STATE_DRAINING}


class WireAnswer(msgspec.Struct, frozen=True):
    """Answer to a call: the worker's clock, and why it refused."""

    clock_ms: int = 0
    reason: str = "invalid"
    born: int = 0


class WireListing(msgspec.Struct, frozen=True):
    """Answer to ``/hold``; rows are arrays.

    ``running``: task, run, checkpoint, percent, and tail latency or processors in use.
    ``finished``: position, task, run, how it ended, checkpoint.
    """

    clock_ms: int
    running: list[list[Any]] = []
    finished: list[tuple[int, str, int, str, str]] = []
    born: int = 0


class WireCapacity(msgspec.Struct, frozen=True):
    """Size of a worker; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class WireReport(msgspec.Struct, frozen=True):
    """A worker's report about itself; ``warmup_left_ms`` counts down to 0.

    ``labels`` are the worker's kind and its rack, in this order.
    """

    service: str
    zone: str
    state: str
    born: int = 0
    addr: str = ""
    version: str = ""
    machine: str = ""
    seq: int = 0
    slots: int = 0
    warmup_left_ms: float = 0
    remaining_ms: float = 0
    capacity: WireCapacity = WireCapacity()
    labels: list[str] = []


class PlatformRunner:
    """Call the worker on this VM.

    :param address: Worker as host:port.
    :param timeout: Time allowed for one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)
        self._timeout = timeout

    def start(self, order, lease_end_ms, fence, worker):
        """Start a run; see the port."""
        call = {
            "task": order.task,
            "run": order.number,
            "spec": order.payload,
            "until_ms": lease_end_ms,
            "fence": fence,
        }
        if order.checkpoint:
            call["checkpoint_token"] = order.checkpoint
        if order.ticket:
            call["ticket"] = order.ticket
        return self._order("/run-start", call, worker)

    def stop(self, task, number, fence):
        """Stop a run; see the port."""
        return self._order("/run-stop", {"task": task, "run": number, "fence": fence})

    def throttle(self, task, number, percent, fence):
        """Set the pace of a run; see the port."""
        call = {"task": task, "run": number, "percent": percent, "fence": fence}
        return self._order("/pace", call)

    def renew_lease(self, lease_end_ms, fence, acknowledged, wait_ms):
        """Extend the lease and list what runs; see the port."""
        call = {"fence": fence, "ack_cursor": acknowledged, "wait_ms": wait_ms}
        if lease_end_ms is not None:
            call["until_ms"] = lease_end_ms
        answer = self._call("/hold", call, "", self._timeout + wait_ms / 1000)
        return _read_answer(answer, WireListing).map(_decode_listing)

    def _order(self, path, call, worker=""):
        answer = self._call(path, call, worker, self._timeout)
        return _read_answer(answer, WireAnswer).map(
            lambda item: RunAccepted(item.clock_ms)
        )

    def _call(self, path, call, worker, timeout):
        headers = {"Content-Type": "application/json"}
        if worker:
            headers["X-Expect-Instance"] = worker
        body = msgspec.json.encode(call)
        return self._client.call("POST", path, body, headers, timeout)


def _read_answer(outcome, kind):
    match outcome:
        case Success(HttpAnswer(status=200, body=body)):
            return _decode(body, kind)
        case Success(HttpAnswer(status=409, body=body)):
            return _decode(body, WireAnswer).bind(
                lambda item: Failure(RunRejected(item.reason, item.clock_ms))
            )
        case Success(HttpAnswer(status=status)) if status in REASON_BY_STATUS:
            return Failure(RunRejected(REASON_BY_STATUS[status]))
        case Success(HttpAnswer(status=status)):
            return Failure(WorkerFailure(f"status {status}", is_certain=False))
        case Failure(HttpFailure(detail=detail, was_sent=was_sent)):
            return Failure(WorkerFailure(detail, is_certain=not was_sent))


def _decode(body, kind):
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(WorkerFailure(str(error), is_certain=False))


def _decode_listing(answer):
    running = [_decode_run(row) for row in answer.running]
    ended = [ListedCompletion(*row) for row in answer.finished]
    return WorkerListing(answer.clock_ms, answer.born, running, ended)


def _decode_run(row):
    usage = row[4] if len(row) > 4 and row[4] is not None else 0
    return ListedRun(str(row[0]), int(row[1]), row[2] or "", int(row[3]), float(usage))


def decode_report(worker, body):
    """Return ``Result`` of the ``WorkerReport`` in the body of a heartbeat.

    :param worker: Name of the worker, from the path.
    :param body: Body as received.
    """
    try:
        report = msgspec.json.decode(body, type=WireReport)
    except msgspec.MsgspecError as error:
        return Failure(ReportInvalid(str(error)))
    if not worker or report.state not in STATES:
        return Failure(ReportInvalid(f"worker {worker!r}, state {report.state!r}"))
    return Success(
        WorkerReport(
            incarnation=WorkerIncarnation(worker, report.born),
            service=report.service,
            zone=report.zone,
            version=report.version,
            is_draining=report.state == STATE_DRAINING,
            remaining=report.remaining_ms / 1000,
            warmup=report.warmup_left_ms / 1000,
            cpu=report.capacity.cpu,
            memory=report.capacity.mem_mb,
            accelerators=report.capacity.gpu,
            labels=tuple(report.labels),
            rack=report.labels[1] if len(report.labels) > 1 else "",
            machine=report.machine,
            sequence=report.seq,
        )
    )


def parse_heartbeat(method, path, body):
    """Return ``Result`` of a ``WorkerReport``, or of the name of a worker that leaves.

    :param method: HTTP method.
    :param path: Path of the call.
    :param body: Body as received.
    """
    if not path.startswith(HEARTBEAT_PATH):
        return Failure(ReportInvalid(f"unknown path {path}"))
    worker = path[len(HEARTBEAT_PATH) :]
    if method == "DELETE":
        return Success(worker)
    return decode_report(worker, body)
