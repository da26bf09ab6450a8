"""Interface to the platform's transactional table service."""

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
    """A row as stored in the table.

    :param key: Key of the row.
    :param version: Version, never reused for a key; 0 when the row is absent.
    :param value: JSON text; empty when the row is absent.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: a row is at an expected version.

    :param key: Key of the row.
    :param version: Expected version; 0 for an absent row.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Conditional write of a row.

    :param key: Key of the row.
    :param version: Expected version before the write; 0 for an absent row.
    :param value: New JSON text, or None to delete the row.
    """

    key: str
    version: int
    value: bytes | None


class Table(Protocol):
    """Reads rows and writes them in conditional transactions."""

    def get(self, keys):
        """Read rows by key.

        :param keys: List of keys.
        :returns: ``Result`` of a dict of ``TableRow`` by key, including absent rows.
        """

    def scan(self, prefix):
        """Read every row whose key starts with a prefix.

        :returns: ``Result`` of a list of ``TableRow`` in key order.
        """

    def transact(self, checks, writes) -> Result[dict[str, int], TableFailure]:
        """Write all rows atomically, if every expected version matches.

        :param checks: List of ``Check``.
        :param writes: List of ``Write``.
        :returns: ``Result`` of the new versions by key, or of a ``TableFailure``.
        """
