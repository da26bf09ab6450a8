"""Announcement of cancelled jobs by an entry to nodes and other entries."""

import math
import threading

from bergamotshore.core.work.cancellations import (
    ANNOUNCE_SECONDS,
    RETENTION_SECONDS,
    keep_recent,
)

# Shortest time between two announcements beside the periodic ones, in seconds: that of
# heartbeats, so that cancellations at most double their number.
ANNOUNCE_INTERVAL_SECONDS = 0.5
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
        self._announced_at = -math.inf

    def forget(self, key):
        """Forget a job, so that it is announced again once it is recorded."""
        with self._lock:
            self._recorded_at_by_key.pop(key, None)

    def is_announcement_due(self):
        """Return whether a further announcement may be sent now; it counts as sent."""
        now = self._clock.now()
        with self._lock:
            is_due = now - self._announced_at >= ANNOUNCE_INTERVAL_SECONDS
            if is_due:
                self._announced_at = now
            return is_due

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
