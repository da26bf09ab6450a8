"""Failures of bergamotshore, grouped by cause.

Exceptions are raised at the borders; failures are values carried by ``Result``.
"""

from dataclasses import dataclass


class BergamotshoreError(Exception):
    """Base of every exception of this package.

    :cvar code: Stable identifier of the error.
    """

    code = "error"


class MetricUndeclaredError(BergamotshoreError):
    """A metric is counted that ``schema/metrics.yaml`` does not declare so."""

    code = "metric-undeclared"


class StreamError(BergamotshoreError):
    """Base of errors on a stream between processes."""

    code = "stream"


class MalformedMessageError(StreamError):
    """The peer sent bytes that are not a valid message."""

    code = "malformed-message"


class UnknownMessageError(StreamError):
    """The peer sent a message with an unknown tag."""

    code = "unknown-message"


class ProtocolVersionError(StreamError):
    """The peer speaks another version of the stream protocol."""

    code = "protocol-version"


class StreamClosedError(StreamError):
    """The stream is closed; nothing more can be sent."""

    code = "stream-closed"


class StreamOverflowError(StreamError):
    """The peer reads too slowly; too much output is waiting."""

    code = "stream-overflow"


class SettingsError(BergamotshoreError):
    """Settings or a document do not pass the checks.

    :param problems: Every problem found.
    """

    code = "settings"

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class AddressInUseError(BergamotshoreError):
    """An address of the settings can not be listened on.

    :param address: Address as host:port.
    :param detail: What the system said.
    """

    code = "address-in-use"

    def __init__(self, address, detail):
        super().__init__(f"{address}: {detail}")


class LogsUnreadableError(BergamotshoreError):
    """A file of log lines can not be read."""

    code = "logs-unreadable"


class OperatorCallError(BergamotshoreError):
    """An entry refused an operator's call.

    :param status: HTTP status; 0 when no answer came.
    :param problem: Problem details as received.
    """

    code = "operator-call"

    def __init__(self, status, problem):
        super().__init__(f"{status}: {problem}")
        self.status = status
        self.problem = problem


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not take the call; nothing took effect.

    :param detail: What was seen.
    """

    detail: str
    code: str = "platform-unavailable"


@dataclass(frozen=True, slots=True)
class PlatformUncertain:
    """The answer to a write was lost; it may have taken effect.

    :param detail: What was seen.
    """

    detail: str
    code: str = "platform-uncertain"


@dataclass(frozen=True, slots=True)
class PlatformAnswerInvalid:
    """The platform answered with something that cannot be read.

    :param detail: What was seen.
    """

    detail: str
    code: str = "platform-answer-invalid"


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition of a transaction did not hold; nothing was written.

    :param key: First row whose version differed.
    :param version: Version found; 0 when the row is absent.
    """

    key: str
    version: int
    code: str = "conflict"


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """The object store holds no such object.

    :param key: Name of the object.
    """

    key: str
    code: str = "object-missing"


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """The worker did not do what was asked.

    :param detail: What was seen.
    :param is_certain: False when the call may have taken effect.
    """

    detail: str
    is_certain: bool
    code: str = "worker"


@dataclass(frozen=True, slots=True)
class EndpointNotReached:
    """The request never reached the endpoint.

    :param detail: What was seen.
    """

    detail: str
    code: str = "endpoint-not-reached"


@dataclass(frozen=True, slots=True)
class EndpointAnswerLost:
    """The request was sent, but no whole answer came back.

    :param detail: What was seen.
    """

    detail: str
    code: str = "endpoint-answer-lost"


@dataclass(frozen=True, slots=True)
class StaleAttempt:
    """The report is about an attempt that is not the newest.

    :param job: Job as team/name.
    :param index: Index of the task.
    :param reported: Attempt number reported.
    :param current: Newest attempt number.
    """

    job: str
    index: int
    reported: int
    current: int
    code: str = "stale-attempt"


@dataclass(frozen=True, slots=True)
class StaleSection:
    """An edit starts from a version of a section that is not the newest.

    :param team: Owner of the section.
    :param based_on: Version that the edit starts from.
    :param current: Version in force.
    """

    team: str
    based_on: int
    current: int
    code: str = "stale-section"


@dataclass(frozen=True, slots=True)
class JobExists:
    """A job of that name was created before.

    :param job: Job as team/name.
    """

    job: str
    code: str = "job-exists"


@dataclass(frozen=True, slots=True)
class JobMissing:
    """There is no job of that name.

    :param job: Job as team/name.
    """

    job: str
    code: str = "job-missing"


@dataclass(frozen=True, slots=True)
class ZoneUnknown:
    """The configuration names no such data centre.

    :param zone: Data centre asked for.
    """

    zone: str
    code: str = "zone-unknown"


@dataclass(frozen=True, slots=True)
class ReportInvalid:
    """A report of a worker can not be read; it names no worker to use.

    :param detail: What was seen.
    """

    detail: str
    code: str = "report-invalid"


@dataclass(frozen=True, slots=True)
class SubmissionInvalid:
    """The body of a submitted job can not be read or asks for nonsense.

    :param detail: What was seen.
    """

    detail: str
    code: str = "submission-invalid"


@dataclass(frozen=True, slots=True)
class OperatorRowInvalid:
    """A row of the operator can not be read.

    :param key: Key of the row.
    :param detail: What was seen.
    """

    key: str
    detail: str
    code: str = "operator-row-invalid"
