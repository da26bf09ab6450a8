"""Interface to a row store with conditional transactions and a change feed."""

from dataclasses import dataclass
from typing import Protocol

ABSENT = 0


@dataclass(frozen=True, slots=True)
class RowId:
    """Identifier of a row.

    :param table: Name of the table.
    :param part: Partition within the table; may be empty.
    :param key: Key within the partition.
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read from the store.

    :param id: ``RowId``.
    :param version: Version of the last change; 0 when the row is absent.
    :param value: Content; empty for an absent row.
    :param is_deleted: Whether the row was deleted; set only in a change feed.
    """

    id: RowId
    version: int
    value: bytes = b""
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Expect:
    """Condition of a transaction: a row is at a version; 0 means absent."""

    id: RowId
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write operation on a row."""

    id: RowId
    value: bytes


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows from one consistent read.

    :param rows: List of ``StoredRow``.
    :param version: Latest version of the store at the time of the read.
    :param is_partial: Whether more rows match.
    :param problems: Descriptions of rows that can't be read. Those that could be
        identified are among ``rows``, with an empty value.
    :param now: Time on the store's clock, in seconds; 0 if it doesn't tell.
    """

    rows: list
    version: int
    is_partial: bool = False
    problems: tuple = ()
    now: float = 0.0


@dataclass(frozen=True, slots=True)
class RowsConflict:
    """A condition of a transaction did not hold; nothing was written.

    :param rows: Those rows named in the conditions that exist.
    """

    rows: list
    code: str = "rows-conflict"


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has discarded the history that a change feed requested."""

    code: str = "history-lost"


class RowStore(Protocol):
    """Reads rows, follows their changes and writes them transactionally."""

    def transact(self, expects, puts, deletes, timeout=None):
        """Apply all changes atomically, if every condition holds.

        :param expects: List of ``Expect``.
        :param puts: List of ``Put``.
        :param deletes: List of ``RowId``.
        :param timeout: Timeout, in seconds.
        :returns: ``Result`` of the new version, shared by all written rows; failures
            are ``RowsConflict``, ``PlatformUnavailable`` (nothing was written) and
            ``PlatformUncertain`` (the write may have taken effect or still may).
        """

    def read(self, table, part, first="", last="", limit=0, timeout=None):
        """Read rows in key order.

        :param first: Inclusive lower bound of the key; empty for no bound.
        :param last: Exclusive upper bound of the key; empty for no bound.
        :returns: ``Result`` of a ``RowPage``.
        """

    def follow(self, table, after, wait, timeout):
        """Wait for changes that are newer than a version.

        :param wait: Maximum time to wait for a change, in seconds.
        :param timeout: Timeout of the whole call, in seconds.
        :returns: ``Result`` of a ``RowPage`` of the changed rows in order;
            ``HistoryLost`` when the table has to be read again in full.
        """
