"""Client of the platform's machine service, which lists VMs and maintains them."""

import urllib.parse

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import read_json
from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.exceptions import (
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
)
from bergamotshore.ports.machines import Machine, MachineOrderRefused

JSON_HEADERS = {"Content-Type": "application/json"}
REASON_BY_STATUS = {400: "unknown", 429: "rate"}
# The list for a site of the planned size has a dozen pages; an endless list is invalid.
MAX_PAGES = 1000


class WireMachine(msgspec.Struct, frozen=True):
    """One VM of the list; ``id`` is the name of the worker on it."""

    machine: str
    state: str
    pool: str = ""
    id: str | None = None


class WireMachinePage(msgspec.Struct, frozen=True):
    """One page of the list; ``next_token`` requests the next page."""

    machines: list[WireMachine] = []
    next_token: str | None = None


class WireRefusal(msgspec.Struct, frozen=True):
    """Reason for which the service refused an order."""

    reason: str = "busy"


class PlatformMachines:
    """Call the machine service over HTTP.

    :param client: ``HttpClient`` of the service, or an object with the same ``call``.
    """

    def __init__(self, client):
        self._client = client

    def list_machines(self):
        """Return all VMs; see the port."""
        machines, token = [], ""
        for _ in range(MAX_PAGES):
            query = f"?{urllib.parse.urlencode({'page_token': token})}" if token else ""
            match self._read_page(f"/machines{query}"):
                case Success(page):
                    machines += page.machines
                case failure:
                    return failure
            token = page.next_token or ""
            if not token:
                return Success(tuple(_decode_machine(item) for item in machines))
        return Failure(
            PlatformAnswerInvalid(f"list of machines has more than {MAX_PAGES} pages")
        )

    def _read_page(self, path):
        match self._client.call("GET", path):
            case Success(HttpAnswer(status=200, body=body)):
                return _decode(body, WireMachinePage)
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformUnavailable(f"status {status}"))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))

    def order_maintenance(self, machine, wave, holder, token):
        """Order the maintenance of a VM; see the port."""
        body = msgspec.json.encode({"machine": machine, "wave": wave})
        headers = {
            **JSON_HEADERS,
            "X-Lease-Holder": holder,
            "X-Fence-Token": str(token),
        }
        return _decode_order(
            self._client.call("POST", "/machine-upkeep", body, headers)
        )


def _decode_order(outcome):
    match outcome:
        case Success(HttpAnswer(status=200)):
            return Success(None)
        case Success(HttpAnswer(status=409, body=body)):
            return _decode(body, WireRefusal).bind(
                lambda item: Failure(MachineOrderRefused(item.reason))
            )
        case Success(HttpAnswer(status=status)) if status in REASON_BY_STATUS:
            return Failure(MachineOrderRefused(REASON_BY_STATUS[status]))
        case Success(HttpAnswer(status=503)):
            return Failure(PlatformUnavailable("status 503"))
        case Success(HttpAnswer(status=status)):
            return Failure(PlatformUncertain(f"status {status}"))
        case Failure(HttpFailure(detail=detail, was_sent=True)):
            return Failure(PlatformUncertain(detail))
        case Failure(failure):
            return Failure(PlatformUnavailable(failure.detail))


def _decode(body, answer_type):
    return read_json(body, answer_type).alt(
        lambda error: PlatformAnswerInvalid(str(error))
    )


def _decode_machine(item):
    return Machine(item.machine, item.pool, item.state, item.id or "")
