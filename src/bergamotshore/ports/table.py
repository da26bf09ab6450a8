"""The port of the platform's transactional table service."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from bergamotshore.exceptions import (
    Conflict,
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
)

TableFailure = (
    Conflict | PlatformUnavailable | PlatformUncertain | PlatformAnswerInvalid
)

ABSENT = 0


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row as stored.

    :param key: Key of the row.
    :param version: Version, never used twice for a key; 0 when the row is absent.
    :param value: JSON text; empty when the row is absent.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction that a row has a version.

    :param key: Key of the row.
    :param version: Version expected; 0 for an absent row.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Conditional write of one row.

    :param key: Key of the row.
    :param version: Version expected before the write; 0 for an absent row.
    :param value: New JSON text, or None to delete the row.
    """

    key: str
    version: int
    value: bytes | None


class Table(Protocol):
    """Read rows and write them in conditional transactions."""

    def get(self, keys):
        """Read rows by key.

        :param keys: List of keys.
        :returns: ``Result`` of ``TableRow`` by key, absent ones included.
        """

    def scan(self, prefix):
        """Read every row whose key starts with a prefix.

        :returns: ``Result`` of a list of ``TableRow`` in the order of keys.
        """

    def transact(self, checks, writes) -> Result[dict[str, int], TableFailure]:
        """Write all rows or none.

        :param checks: List of ``Check``.
        :param writes: List of ``Write``.
        :returns: ``Result`` of the new versions by key, or of a ``TableFailure``.
        """
