"""Addresses of all entries, in a table where each entry refreshes its own row."""

from returns.result import Failure, Success

from bergamotshore.core.work.leases import LeaseObservation
from bergamotshore.ports.rows import Expect, Put, RowId
from bergamotshore.utils.addresses import AddressReader

ENTRIES_TABLE = "entries"
# Interval at which an entry rewrites its row. Any entry removes a row that has not
# changed for three intervals, since the machine of its entry is gone. In seconds.
REFRESH_SECONDS = 60.0
ENTRY_EXPIRY_SECONDS = 3 * REFRESH_SECONDS


class EntryList:
    """Register this entry and read the addresses of all entries.

    :param store: ``RowStore``.
    :param name: Name of this entry.
    :param address: Address on which it accepts streams.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, store, name, address, clock, registry, log):
        self._store = store
        self._row = RowId(ENTRIES_TABLE, "", name)
        self._address = address
        self._clock = clock
        self._log = log
        self._addresses = AddressReader(registry, log)
        self._refresh_at = 0.0
        self._observation_by_name = {}

    def read(self):
        """Return the addresses of all entries, sorted; None when the store fails.

        A row that holds no address is passed over.
        """
        if self._clock.now() >= self._refresh_at and not self._refresh():
            return None
        match self._store.read(ENTRIES_TABLE, ""):
            case Success(page):
                rows = [row for row in page.rows if not self._remove_if_expired(row)]
                addresses = self._addresses.read(
                    row.value.decode(errors="replace") for row in rows
                )
                # Messages take plain text only.
                return sorted(str(address) for address in addresses)
            case Failure(failure):
                self._log.write("store-failed", "entries", why=str(failure))
                return None

    def _refresh(self):
        put = Put(self._row, self._address.encode())
        match self._store.transact([], [put], []):
            case Success(_):
                self._refresh_at = self._clock.now() + REFRESH_SECONDS
                return True
            case Failure(failure):
                self._log.write("store-failed", "entries", why=str(failure))
                return False

    def _remove_if_expired(self, row):
        """Remove a row that is no longer refreshed; return whether it was removed."""
        name = row.id.key
        observation = self._observation_by_name.setdefault(
            name, LeaseObservation(ENTRY_EXPIRY_SECONDS)
        )
        if not observation.observe(row.version, self._clock.now()):
            return False
        outcome = self._store.transact([Expect(row.id, row.version)], [], [row.id])
        is_removed = isinstance(outcome, Success)
        self._log.write("entry-forgotten", name, done=is_removed)
        if is_removed:
            del self._observation_by_name[name]
        return is_removed
