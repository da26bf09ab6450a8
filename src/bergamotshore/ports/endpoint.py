"""Interface to the endpoint that executes callers' requests on a VM."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointStatus:
    """Status reported by an endpoint.

    :param service: Name of the service that it provides.
    :param slots: Maximum number of requests executed concurrently.
    :param connections: Maximum number of requests accepted, executing or queued.
    :param leaving: Whether the endpoint is draining and accepts no new work.
    """

    service: str
    slots: int
    connections: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """A complete response of an endpoint.

    :param status: HTTP status code.
    :param content_type: Media type of the body.
    :param body: Response body.
    """

    status: int
    content_type: str
    body: bytes


class Endpoint(Protocol):
    """Executes requests of callers."""

    def get_status(self):
        """Return a ``Result`` of ``EndpointStatus``."""

    def run(self, request, timeout):
        """Execute a request and return a ``Result`` of ``EndpointAnswer``.

        :param request: ``RunRequest``.
        :param timeout: Timeout, in seconds.
        """
