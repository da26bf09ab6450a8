"""Presence of entries in the table service, and shares of jobs among them."""

from dataclasses import replace

from returns.result import Success

from bergamotshore.adapters.settled import build_write, decode_row
from bergamotshore.core.ownership import choose_owner
from bergamotshore.generated.rows import EntryRow

ENTRY_PREFIX = "entry/"
LOST_SECONDS = 6.0


class Presence:
    """Tell others of this entry, and learn of them.

    A wrong view of the others only costs a lost race: the rows of jobs decide.

    :param table: ``Table``.
    :param row: ``EntryRow`` of this entry.
    :param clock: ``Clock``.
    """

    def __init__(self, table, row, clock):
        self._table = table
        self._row = row
        self._clock = clock
        self._sighting_by_name = {}
        self.live_names = {row.name}

    def renew(self):
        """Write this entry's row and read the others'.

        :returns: ``Result`` of None.
        """
        key = ENTRY_PREFIX + self._row.name
        self._row = replace(self._row, counter=self._row.counter + 1)
        return (
            self._table.get([key])
            .bind(
                lambda rows: self._table.transact(
                    [], [build_write(key, rows[key].version, self._row)]
                )
            )
            .bind(lambda _: self._table.scan(ENTRY_PREFIX))
            .map(self._observe)
        )

    def _observe(self, stored_rows):
        now = self._clock.now()
        live = {self._row.name}
        for stored in stored_rows:
            match decode_row(stored, EntryRow):
                case Success(EntryRow() as row):
                    mark = (row.incarnation, row.counter)
                    known = self._sighting_by_name.get(row.name)
                    if known is None or known[0] != mark:
                        known = (mark, now)
                        self._sighting_by_name[row.name] = known
                    if now - known[1] < LOST_SECONDS:
                        live.add(row.name)
        self.live_names = live

    def withdraw(self):
        """Delete this entry's row at a stop."""
        key = ENTRY_PREFIX + self._row.name
        return self._table.get([key]).bind(
            lambda rows: self._table.transact(
                [], [build_write(key, rows[key].version, None)]
            )
        )

    def owns(self, bucket):
        """Tell whether this entry looks after a bucket of jobs."""
        return choose_owner(self.live_names, bucket) == self._row.name
