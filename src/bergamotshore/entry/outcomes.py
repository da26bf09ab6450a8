"""Outcomes of a caller's request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request as validated at the border.

    :param service: Service it is bound to.
    :param method: HTTP method.
    :param path: Path and query for the endpoint.
    :param content_type: Media type of the body.
    :param body: Whole body.
    :param deadline: Latest useful end, on the entry's clock.
    :param repeatable: Whether it may run more than once.
    :param idempotency_key: Key of the caller; empty when there is none.
    """

    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    repeatable: bool
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class Completed:
    """The request ran and this is its whole answer.

    :param status: HTTP status of the endpoint.
    :param content_type: Media type.
    :param body: Body.
    :param is_replay: True when an earlier run with the same key gave it.
    """

    status: int
    content_type: str
    body: bytes
    is_replay: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will.

    :param reason: Error code.
    :param retry_after: When to come back, in seconds.
    """

    reason: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran is not known.

    :param reason: Error code.
    :param retry_after: When to come back, in seconds.
    """

    reason: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class KeyBusy:
    """Another request with the same key was started; nothing ran for this one.

    :param state: State of the key's row.
    :param retry_after: When to come back, in seconds.
    """

    state: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """The key was used for another request; nothing ran for this one."""


Outcome = Completed | NotRun | Unknown | KeyBusy | KeyMismatch
