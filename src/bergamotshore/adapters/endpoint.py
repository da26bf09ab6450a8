"""Client of the endpoint on the same VM, over HTTP."""

from returns.result import Failure, Success

from bergamotshore.adapters.decoding import read_json
from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
from bergamotshore.exceptions import EndpointAnswerLost, EndpointNotReached
from bergamotshore.ports.endpoint import EndpointAnswer, EndpointStatus


class HttpEndpoint:
    """Call the endpoint.

    :param address: Address of the endpoint as host:port.
    :param timeout: Timeout of a status call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)

    def get_status(self):
        """Return ``Result`` of ``EndpointStatus``."""
        match self._client.call("GET", "/health"):
            case Success(HttpAnswer(status=200, body=body)):
                return _decode_status(body)
            case Success(HttpAnswer(status=status)):
                return Failure(EndpointNotReached(f"status {status}"))
            case Failure(failure):
                return Failure(EndpointNotReached(failure.detail))

    def run(self, request, timeout):
        """Run a request; see the port."""
        headers = {"X-Request-Id": request.request_id}
        if request.content_type:
            headers["Content-Type"] = request.content_type
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        answer = self._client.call(
            request.method, request.path, request.body, headers, timeout
        )
        match answer:
            case Success(HttpAnswer(status, content_type, body)):
                return Success(EndpointAnswer(status, content_type, body))
            case Failure(HttpFailure(detail=detail, was_sent=False)):
                return Failure(EndpointNotReached(detail))
            case Failure(failure):
                return Failure(EndpointAnswerLost(failure.detail))


def _decode_status(body):
    return read_json(body, EndpointStatus).alt(
        lambda error: EndpointNotReached(str(error))
    )
