"""Announcement of cancelled jobs by an entry to nodes and other entries."""

import threading

from bergamotshore.core.work.cancellations import (
    ANNOUNCE_SECONDS,
    RETENTION_SECONDS,
    keep_recent,
)

# Largest number of announced jobs, which bounds the size of a heartbeat.
MAX_ANNOUNCED = 200


class RecentCancellations:
    """Cancellations that an entry has stored or that others have announced to it.

    The methods may be called from any thread.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._recorded_at_by_key = {}

    def record(self, key):
        """Record the key of a cancelled job.

        :returns: False if it was known; it is not announced again then, so that two
            entries do not repeat each other's announcements for ever.
        """
        now = self._clock.now()
        with self._lock:
            self._recorded_at_by_key = keep_recent(
                self._recorded_at_by_key, now, RETENTION_SECONDS
            )
            is_new = key not in self._recorded_at_by_key
            if is_new:
                self._recorded_at_by_key[key] = now
            return is_new

    def list_announced(self):
        """Return the keys of the jobs to announce; the latest if there are many."""
        now = self._clock.now()
        with self._lock:
            recent = keep_recent(self._recorded_at_by_key, now, ANNOUNCE_SECONDS)
        return list(recent)[-MAX_ANNOUNCED:]
