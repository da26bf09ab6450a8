"""The port of the endpoint that runs callers' requests on a VM."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointStatus:
    """What an endpoint announces of itself.

    :param service: Service that it runs.
    :param slots: Requests that it runs at once.
    :param connections: Requests that it holds at once.
    :param leaving: True when it wants no new work.
    """

    service: str
    slots: int
    connections: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """A whole answer.

    :param status: HTTP status.
    :param content_type: Media type.
    :param body: Body.
    """

    status: int
    content_type: str
    body: bytes


class Endpoint(Protocol):
    """Run requests."""

    def get_status(self):
        """Return ``Result`` of ``EndpointStatus``."""

    def run(self, request, timeout):
        """Run a request; returns ``Result`` of ``EndpointAnswer``.

        :param request: ``RunRequest``.
        :param timeout: Time allowed, in seconds.
        """
