"""The port of a store of rows with transactions and a feed of changes."""

from dataclasses import dataclass
from typing import Protocol

ABSENT = 0


@dataclass(frozen=True, slots=True)
class RowId:
    """Place of one row.

    :param table: Name of the table.
    :param part: Partition within the table; may be empty.
    :param key: Key within the partition.
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row as read.

    :param id: ``RowId``.
    :param version: Version of the last change; 0 when the row is absent.
    :param value: Content; empty for an absent row.
    :param is_deleted: True in a feed when the row was deleted.
    """

    id: RowId
    version: int
    value: bytes = b""
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Expect:
    """Condition of a transaction: a row has a version, 0 for absent."""

    id: RowId
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one row."""

    id: RowId
    value: bytes


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows read at one moment.

    :param rows: List of ``StoredRow``.
    :param version: Newest version of the store at that moment.
    :param is_partial: True when more rows match.
    """

    rows: list
    version: int
    is_partial: bool = False


@dataclass(frozen=True, slots=True)
class RowsConflict:
    """A condition of a transaction did not hold; nothing was written.

    :param rows: Present rows among those named in the conditions.
    """

    rows: list
    code: str = "rows-conflict"


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has dropped the history that a feed asked for."""

    code: str = "history-lost"


class RowStore(Protocol):
    """Read and follow rows, and change them in conditional transactions."""

    def transact(self, expects, puts, deletes, timeout=None):
        """Apply all changes or none.

        :param expects: List of ``Expect``.
        :param puts: List of ``Put``.
        :param deletes: List of ``RowId``.
        :param timeout: Time allowed, in seconds.
        :returns: ``Result`` of the new version of all rows written; failures are
            ``RowsConflict``, ``PlatformUnavailable`` (nothing was done) and
            ``PlatformUncertain`` (it may have been done, now or later).
        """

    def read(self, table, part, first="", last="", limit=0, timeout=None):
        """Read rows in the order of keys.

        :param first: First key; empty for no bound.
        :param last: Key after the last one; empty for no bound.
        :returns: ``Result`` of a ``RowPage``.
        """

    def follow(self, table, after, wait, timeout):
        """Wait for changes after a version.

        :param wait: Longest wait, in seconds.
        :param timeout: Time until the call is given up, in seconds.
        :returns: ``Result`` of a ``RowPage`` of changed rows in order; ``HistoryLost``
            when the table has to be read again.
        """
