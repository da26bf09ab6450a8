"""Client of the platform's advice service."""

import msgspec
from returns.result import Failure, Success

from bergamotshore.adapters.decoding import Amount, read_json
from bergamotshore.adapters.http import HttpAnswer, HttpClient
from bergamotshore.exceptions import PlatformAnswerInvalid, PlatformUnavailable


class WireAdvice(msgspec.Struct, frozen=True):
    """Answer of the service; ``allowed`` has pairs of worker name and ticket."""

    allowed: list[tuple[str, str]] = []
    valid_ms: Amount = 0


class AdviceClient:
    """Request from the advice service which workers may run a step.

    :param address: Address of the service as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)

    def ask(self, step, workers):
        """Return ``Result`` of the tickets by worker and their validity in seconds.

        :param step: Name of the step.
        :param workers: Names of the candidate workers.
        """
        body = msgspec.json.encode({"step": step, "workers": workers})
        headers = {"Content-Type": "application/json"}
        match self._client.call("POST", "/advise", body, headers):
            case Success(HttpAnswer(status=200, body=body)):
                return _decode(body)
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformUnavailable(f"status {status}"))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))


def _decode(body):
    return (
        read_json(body, WireAdvice)
        .map(lambda answer: (dict(answer.allowed), answer.valid_ms / 1000))
        .alt(lambda error: PlatformAnswerInvalid(str(error)))
    )
