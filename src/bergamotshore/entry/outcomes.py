"""Callers' requests and their outcomes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request from a caller.

    :param service: Name of the target service.
    :param method: HTTP method.
    :param path: Path and query string for the endpoint.
    :param content_type: Media type of the body.
    :param body: Complete body.
    :param deadline: Time by which the caller needs the answer, on the entry's clock.
    :param repeatable: Whether the request may run more than once.
    :param idempotency_key: Idempotency key from the caller, or an empty string.
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
    """The request ran; this is the endpoint's complete response.

    :param status: HTTP status from the endpoint.
    :param content_type: Media type of the body.
    :param body: Complete body.
    :param is_replay: Whether this is the stored response to an earlier request with the
        same key.
    """

    status: int
    content_type: str
    body: bytes
    is_replay: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not run later.

    :param reason: Error code.
    :param retry_after: Delay before the caller should retry, in seconds.
    """

    reason: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the request ran.

    :param reason: Error code.
    :param retry_after: Delay before the caller should retry, in seconds.
    """

    reason: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class KeyBusy:
    """An earlier request has the same key; this one did not run.

    :param state: State of the key's row.
    :param retry_after: Delay before the caller should retry, in seconds.
    """

    state: str
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """The key was used for a different request; this one did not run."""


Outcome = Completed | NotRun | Unknown | KeyBusy | KeyMismatch
