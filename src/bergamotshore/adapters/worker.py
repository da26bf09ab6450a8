"""Client of the worker on the same VM, over HTTP."""

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import read_json
from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.ports.worker import WorkerStatus, WorkerTask

JSON_HEADERS = {"Content-Type": "application/json"}


class HttpWorker:
    """Call the worker.

    :param address: Address of the worker as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)

    def get_status(self):
        """Return ``Result`` of ``WorkerStatus``."""
        return self._call("GET", "/v1/status", None, WorkerStatus)

    def start(self, attempt, spec, checkpoint, lease_end):
        """Start an attempt; see the port."""
        request = {
            "attempt": msgspec.to_builtins(attempt),
            "spec": msgspec.to_builtins(spec),
            "checkpoint": checkpoint,
            "lease_end": lease_end,
        }
        return self._call("POST", "/v1/start", request, None)

    def renew(self, lease_end):
        """Renew the leases of all tasks; see the port."""
        return self._call("POST", "/v1/renew", {"lease_end": lease_end}, None)

    def stop(self, attempt, with_checkpoint):
        """Stop an attempt; see the port."""
        request = {
            "attempt": msgspec.to_builtins(attempt),
            "checkpoint": with_checkpoint,
        }
        return self._call("POST", "/v1/stop", request, WorkerTask)

    def forget(self, attempt):
        """Remove an ended attempt from the worker's list; see the port."""
        request = {"attempt": msgspec.to_builtins(attempt)}
        return self._call("POST", "/v1/forget", request, None)

    def _call(self, method, path, request, answer_type):
        body = b"" if request is None else msgspec.json.encode(request)
        match self._client.call(method, path, body, JSON_HEADERS):
            case Success(HttpAnswer(status=200, body=content)):
                return _decode(content, answer_type)
            case Success(HttpAnswer(status=status, body=content)):
                detail = f"status {status}: {content[:200]!r}"
                return Failure(WorkerFailure(detail, is_certain=True))
            case Failure(HttpFailure(detail=detail, was_sent=was_sent)):
                return Failure(WorkerFailure(detail, is_certain=not was_sent))


def _decode(content, answer_type):
    if answer_type is None:
        return Success(None)
    return read_json(content, answer_type).alt(
        lambda error: WorkerFailure(str(error), is_certain=False)
    )
