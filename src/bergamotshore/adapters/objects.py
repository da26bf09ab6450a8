"""Client of the object store, over HTTP."""

from urllib.parse import quote

from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpClient, HttpFailure
from bergamotshore.exceptions import (
    ObjectMissing,
    PlatformUnavailable,
    PlatformUncertain,
)


class HttpObjectStore:
    """Call the object store.

    :param address: Address of the store as host:port.
    :param timeout: Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout):
        self._client = HttpClient(address, timeout)

    def get(self, key):
        """Read an object; see the port."""
        match self._client.call("GET", _get_path(key)):
            case Success(HttpAnswer(status=200, body=body)):
                return Success(body)
            case Success(HttpAnswer(status=404)):
                return Failure(ObjectMissing(key))
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformUnavailable(f"status {status}"))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))

    def put(self, key, content):
        """Write a whole object; see the port."""
        match self._client.call("PUT", _get_path(key), content):
            case Success(HttpAnswer(status=200 | 201 | 204)):
                return Success(None)
            case Success(HttpAnswer(status=status)):
                return Failure(PlatformUnavailable(f"status {status}"))
            case Failure(HttpFailure(detail=detail, was_sent=True)):
                return Failure(PlatformUncertain(detail))
            case Failure(failure):
                return Failure(PlatformUnavailable(failure.detail))


def _get_path(key):
    return "/objects/" + quote(key)
