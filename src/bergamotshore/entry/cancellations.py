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
        self._recorded_at_by_job = {}

    def record(self, job_id):
        """Record a cancelled job.

        :returns: False if it was known; it is not announced again then, so that two
            entries do not repeat each other's announcements for ever.
        """
        now = self._clock.now()
        with self._lock:
            self._recorded_at_by_job = keep_recent(
                self._recorded_at_by_job, now, RETENTION_SECONDS
            )
            is_new = job_id not in self._recorded_at_by_job
            if is_new:
                self._recorded_at_by_job[job_id] = now
            return is_new

    def list_announced(self):
        """Return the ids of the jobs to announce, the latest ones if there are many."""
        now = self._clock.now()
        with self._lock:
            recent = keep_recent(self._recorded_at_by_job, now, ANNOUNCE_SECONDS)
        return list(recent)[-MAX_ANNOUNCED:]
