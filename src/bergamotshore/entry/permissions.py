"""Permissions that entries give each other to echo clocks after a lease has expired."""

import threading

from bergamotshore.core.work.leases import ENTRY_HEARD_SECONDS, PERMISSION_SECONDS

# Messages and permissions older than this are forgotten, in seconds: they bound no
# echo any more.
KEPT_SECONDS = 30.0


class EchoPermissions:
    """Track the permissions that this entry gives, and those that it holds.

    An entry gives them with its heartbeats while the store does not answer its reads or
    its claim of the lease, to each entry that it hears of. The scheduling entry names
    in the row of its lease whose permission it needs, so that a successor that is named
    there and has given none knows that there were no echoes in the grace period.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._is_store_lost = False
        self._is_claim_open = False
        self._heard_at_by_process = {}
        self._given_at_by_process = {}
        self._held_from_by_name = {}
        self._required = frozenset()

    def record_read(self, has_failed):
        """Record a read of the row of the lease.

        :param has_failed: Whether the store gave no answer.
        """
        with self._lock:
            self._is_store_lost = has_failed

    def record_claim(self, is_open):
        """Record that a claim of the lease is sent, or that its outcome is known.

        :param is_open: Whether it has no answer: the store may take no writes.
        """
        with self._lock:
            self._is_claim_open = is_open

    def record_message(self, name, incarnation, echo, permits_echo):
        """Record a message from another entry.

        :param echo: Reading of this entry's clock that it received last, in seconds.
        :param permits_echo: Whether it permits this entry to echo.
        """
        now = self._clock.now()
        with self._lock:
            self._heard_at_by_process = _drop_old(self._heard_at_by_process, now)
            self._heard_at_by_process[name, incarnation] = now
            if permits_echo:
                held_from = self._held_from_by_name.get(name, echo)
                self._held_from_by_name[name] = max(held_from, echo)

    def give(self, name, incarnation):
        """Return whether to permit a process to echo, and note the time if so."""
        now = self._clock.now()
        process = (name, incarnation)
        with self._lock:
            heard_at = self._heard_at_by_process.get(process)
            if not (self._is_store_lost or self._is_claim_open) or heard_at is None:
                return False
            if now - heard_at > ENTRY_HEARD_SECONDS:
                return False
            self._given_at_by_process = _drop_old(self._given_at_by_process, now)
            self._given_at_by_process[process] = now
            return True

    def get_last_given_at(self, name, incarnation):
        """Return when a process was permitted to echo last, in seconds; 0 if never."""
        with self._lock:
            return self._given_at_by_process.get((name, incarnation), 0.0)

    def add_required(self):
        """Return the names of the entries to ask, which are required from now on.

        Those required before stay so until ``set_required``: the row that names them
        may be the one that is stored.
        """
        now = self._clock.now()
        with self._lock:
            names = {
                name
                for (name, _), heard_at in self._heard_at_by_process.items()
                if now - heard_at <= ENTRY_HEARD_SECONDS
            }
            self._required |= names
        return tuple(sorted(names))

    def set_required(self, names):
        """Set whose permission is needed: that of those whom the stored row names."""
        with self._lock:
            self._required = frozenset(names or ())

    def are_held(self, now):
        """Return whether all required entries permit echoes now."""
        with self._lock:
            return all(
                now - self._held_from_by_name.get(name, 0.0) <= PERMISSION_SECONDS
                for name in self._required
            )


def _drop_old(time_by_process, now):
    """Return the times that are not older than ``KEPT_SECONDS``."""
    return {
        process: at
        for process, at in time_by_process.items()
        if now - at < KEPT_SECONDS
    }
