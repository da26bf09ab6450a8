"""Until when processes of earlier terms may echo the clocks of nodes."""

from dataclasses import dataclass

from bergamotshore.core.work.leases import (
    DRIFT_SHARE,
    LEASE_SECONDS,
    get_last_echo_time,
    get_last_permitted_echo_time,
    get_last_unpermitted_echo_time,
)


@dataclass(frozen=True, slots=True)
class EarlierProcess:
    """Process of an earlier term that may still echo, as stored in the row of a lease.

    :param name: Name of the entry; empty for all processes that are not known.
    :param incarnation: Incarnation of the process.
    :param unpermitted_seconds: Time from the writing of the row until it has stopped
        echoing, unless others permit it to go on.
    :param latest_seconds: The same if they permit it.
    :param permitting: Names of the entries that all have to permit it; None if it asks
        for no permissions.
    """

    name: str
    incarnation: str
    unpermitted_seconds: float
    latest_seconds: float
    permitting: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class EchoBound:
    """When a process of an earlier term has certainly stopped echoing.

    :param unpermitted_until: The time unless others permit it to go on, in seconds.
    :param latest_until: The time if they permit it, in seconds.
    :param permitting: Names of the entries that all have to permit it; None if it asks
        for no permissions.
    """

    unpermitted_until: float
    latest_until: float
    permitting: tuple[str, ...] | None = None

    def get_until(self, name, permitted_at):
        """Return when it has stopped echoing, as far as an entry knows.

        An entry relies on its own permissions only: others may end, and their next
        processes give permissions without having read of later terms.

        :param name: Name of that entry.
        :param permitted_at: When it last permitted echoes, in seconds.
        """
        if self.permitting is None or name not in self.permitting:
            return self.latest_until
        permitted_until = get_last_permitted_echo_time(permitted_at)
        return min(self.latest_until, max(self.unpermitted_until, permitted_until))

    def end_at(self, time):
        """Return the bound of a process that has echoed last before a time."""
        return EchoBound(
            min(self.unpermitted_until, time),
            min(self.latest_until, time),
            self.permitting,
        )


def bound_holder(read_at, grant_seconds, permitting):
    """Return the ``EchoBound`` of the holder of a lease.

    :param read_at: When the row of its last renewal was read first, in seconds.
    :param grant_seconds: Duration of a renewal grant, in seconds.
    :param permitting: Names of the entries whose permission it needs, or None.
    """
    return EchoBound(
        get_last_unpermitted_echo_time(read_at, grant_seconds),
        get_last_echo_time(read_at + LEASE_SECONDS * (1.0 + 2 * DRIFT_SHARE)),
        permitting,
    )


def bound_earlier(read_at, earlier):
    """Return the ``EchoBound`` of an ``EarlierProcess`` in a row.

    :param read_at: When the row was read first, in seconds.
    """
    rate = 1.0 + 2 * DRIFT_SHARE
    return EchoBound(
        read_at + earlier.unpermitted_seconds * rate,
        read_at + earlier.latest_seconds * rate,
        earlier.permitting,
    )


def describe_earlier(process, bound, now):
    """Return the ``EarlierProcess`` to store for a process.

    :param process: Name and incarnation.
    :param bound: ``EchoBound``.
    """
    return EarlierProcess(
        *process,
        max(0.0, bound.unpermitted_until - now),
        max(0.0, bound.latest_until - now),
        bound.permitting,
    )
