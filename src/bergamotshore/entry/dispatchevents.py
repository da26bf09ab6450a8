"""Events that other threads post to the dispatcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeMessage:
    """A message received from a node.

    :param stream: ``Stream`` on which it was received.
    :param message: ``RunReport`` or ``RunResults``.
    """

    stream: object
    message: object


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """The stream to a node was closed or lost."""

    stream: object


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Rows of the job table changed, or the whole table was read again.

    :param rows: Rows; empty when nothing changed.
    :param requested_at: When the read was sent, on this entry's clock.
    :param epoch: Term in which it was sent.
    :param version: Version of the store up to which they tell all changes; 0 if the
        read doesn't tell.
    """

    rows: list
    requested_at: float
    epoch: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """The cancellation of a job was stored, here or by another entry."""

    key: str


@dataclass(frozen=True, slots=True)
class WriteFinished:
    """A transaction of the job writer finished or failed."""

    part: str
    batch: object
    outcome: object
