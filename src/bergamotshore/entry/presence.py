"""Liveness of entries in the table service, and ownership of job buckets."""

from dataclasses import replace

from returns.result import Success

from bergamotshore.adapters.rowwrites import build_write, decode_row
from bergamotshore.core.ownership import choose_owner
from bergamotshore.generated.rows import EntryRow

ENTRY_PREFIX = "entry/"
# An entry counts as lost when its row has not changed for this long, in seconds.
PRESENCE_TIMEOUT_SECONDS = 6.0


class Presence:
    """Announce this entry to the others and track which of them are live.

    A wrong set of live entries only causes a write conflict: the rows of the jobs are
    authoritative.

    :param table: ``Table``.
    :param row: ``EntryRow`` of this entry.
    :param clock: ``Clock``.
    """

    def __init__(self, table, row, clock):
        self._table = table
        self._row = row
        self._clock = clock
        self._observation_by_name = {}
        self.live_names = {row.name}

    def renew(self):
        """Write this entry's row and read the rows of all entries.

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
                    revision = (row.incarnation, row.counter)
                    observation = self._observation_by_name.get(row.name)
                    if observation is None or observation[0] != revision:
                        observation = (revision, now)
                        self._observation_by_name[row.name] = observation
                    if now - observation[1] < PRESENCE_TIMEOUT_SECONDS:
                        live.add(row.name)
        self.live_names = live

    def withdraw(self):
        """Delete this entry's row; called at shutdown."""
        key = ENTRY_PREFIX + self._row.name
        return self._table.get([key]).bind(
            lambda rows: self._table.transact(
                [], [build_write(key, rows[key].version, None)]
            )
        )

    def owns(self, bucket):
        """Return whether this entry owns a bucket of jobs."""
        return choose_owner(self.live_names, bucket) == self._row.name
