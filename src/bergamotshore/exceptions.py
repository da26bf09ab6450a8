"""Exceptions and failure values of bergamotshore.

Exceptions are raised by I/O code at the edges of the process; failures are values
carried by ``Result``.
"""

from dataclasses import dataclass


class BergamotshoreError(Exception):
    """Base class of every exception of this package.

    :cvar code: Stable identifier of the error.
    """

    code = "error"


class StateError(BergamotshoreError):
    """The state of the cluster was changed in part and can't be relied on any more.

    It is discarded as a whole; what is stored, and what nodes report, replaces it.
    """

    code = "state-error"


class MetricUndeclaredError(BergamotshoreError):
    """A metric was used differently from its declaration in ``schema/metrics.yaml``."""

    code = "metric-undeclared"


class StreamError(BergamotshoreError):
    """Base class of errors on a stream between processes."""

    code = "stream"


class MalformedMessageError(StreamError):
    """The peer sent bytes that are not a valid message."""

    code = "malformed-message"


class UnknownMessageError(StreamError):
    """The peer sent a message with an unknown tag."""

    code = "unknown-message"


class ProtocolVersionError(StreamError):
    """The peer uses a different version of the stream protocol."""

    code = "protocol-version"


class StreamClosedError(StreamError):
    """The stream is closed; nothing more can be sent."""

    code = "stream-closed"


class StreamOverflowError(StreamError):
    """The peer reads too slowly and the output buffer exceeded its limit."""

    code = "stream-overflow"


class SettingsError(BergamotshoreError):
    """Settings or a configuration document failed validation.

    :param problems: All problems found.
    """

    code = "settings"

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class AddressInUseError(BergamotshoreError):
    """The process cannot listen on an address from the settings.

    :param address: Address as host:port.
    :param detail: Error message of the operating system.
    """

    code = "address-in-use"

    def __init__(self, address, detail):
        super().__init__(f"{address}: {detail}")


class DecodingError(BergamotshoreError, ValueError):
    """Content from outside the process is not what its format describes."""

    code = "decoding"


class AddressInvalidError(BergamotshoreError, ValueError):
    """A text is no address of an IPv4 host and a port.

    :param text: Text that was read as an address.
    :param detail: Why it is none.
    """

    code = "address-invalid"

    def __init__(self, text, detail):
        super().__init__(f"{text[:80]!r}: {detail}")
        self.detail = detail[:120]


class LogsUnreadableError(BergamotshoreError):
    """A log file cannot be read."""

    code = "logs-unreadable"


class OperatorCallError(BergamotshoreError):
    """A call to an entry's operator API failed.

    :param status: HTTP status code; 0 when no response was received.
    :param problem: Problem details of the response, as received.
    """

    code = "operator-call"

    def __init__(self, status, problem):
        super().__init__(f"{status}: {problem}")
        self.status = status
        self.problem = problem


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not accept the call; it had no effect.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "platform-unavailable"


@dataclass(frozen=True, slots=True)
class RowsRefused:
    """The store refused a transaction as invalid; it had no effect and never will.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "rows-refused"

    def __str__(self):
        return self.detail


@dataclass(frozen=True, slots=True)
class PlatformUncertain:
    """The response to a write was lost; the write may have taken effect.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "platform-uncertain"


@dataclass(frozen=True, slots=True)
class PlatformAnswerInvalid:
    """The platform returned a response that cannot be parsed.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "platform-answer-invalid"


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition of a transaction did not hold; nothing was written.

    :param key: Key of the first row whose version differed.
    :param version: Actual version; 0 when the row is absent.
    """

    key: str
    version: int
    code: str = "conflict"


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """The object store has no object with this key.

    :param key: Key of the object.
    """

    key: str
    code: str = "object-missing"


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """A call to the worker failed.

    :param detail: Description of the error.
    :param is_certain: Whether the call certainly had no effect; False when it may have
        taken effect.
    :param is_refused: Whether the connection was refused: no process of the worker
        listens.
    :param has_ended: Whether the worker ended the connection during the call, so that
        it was there until then.
    """

    detail: str
    is_certain: bool
    is_refused: bool = False
    has_ended: bool = False
    code: str = "worker"


@dataclass(frozen=True, slots=True)
class EndpointNotReached:
    """The request never reached the endpoint.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "endpoint-not-reached"


@dataclass(frozen=True, slots=True)
class EndpointAnswerLost:
    """The request was sent, but no complete response was received.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "endpoint-answer-lost"


@dataclass(frozen=True, slots=True)
class StaleAttempt:
    """A report refers to an attempt that is not the latest one.

    :param job: Job as team/name.
    :param index: Index of the task.
    :param reported: Attempt number reported.
    :param current: Latest attempt number.
    """

    job: str
    index: int
    reported: int
    current: int
    code: str = "stale-attempt"


@dataclass(frozen=True, slots=True)
class StaleSection:
    """An edit is based on an outdated version of a section.

    :param team: Owner of the section.
    :param based_on: Version that the edit is based on.
    :param current: Version in force.
    """

    team: str
    based_on: int
    current: int
    code: str = "stale-section"


@dataclass(frozen=True, slots=True)
class JobExists:
    """A job with this name already exists.

    :param job: Job as team/name.
    """

    job: str
    code: str = "job-exists"


@dataclass(frozen=True, slots=True)
class JobMissing:
    """No job with this name exists.

    :param job: Job as team/name.
    """

    job: str
    code: str = "job-missing"


@dataclass(frozen=True, slots=True)
class ZoneUnknown:
    """The configuration defines no data centre with this name.

    :param zone: Name of the requested data centre.
    """

    zone: str
    code: str = "zone-unknown"


@dataclass(frozen=True, slots=True)
class ReportInvalid:
    """A worker's report cannot be parsed or names no usable worker.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "report-invalid"


@dataclass(frozen=True, slots=True)
class SubmissionInvalid:
    """The body of a submitted job cannot be parsed or has invalid values.

    :param detail: Description of the error.
    """

    detail: str
    code: str = "submission-invalid"


@dataclass(frozen=True, slots=True)
class OperatorRowInvalid:
    """A row written by an operator cannot be parsed.

    :param key: Key of the row.
    :param detail: Description of the error.
    """

    key: str
    detail: str
    code: str = "operator-row-invalid"


@dataclass(frozen=True, slots=True)
class UnexpectedFailure:
    """A call raised an exception; it may have had an effect.

    :param detail: Description of the exception.
    """

    detail: str
    code: str = "unexpected-error"
