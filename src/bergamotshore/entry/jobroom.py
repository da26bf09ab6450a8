"""Memory for accepted jobs, by which an entry refuses what no entry could hold."""

import math
import threading

from bergamotshore.core.work.jobcost import (
    estimate_job_memory,
    get_memory_limit,
    has_room,
)

# A write without an answer may be executed within this time, in seconds.
UNANSWERED_SECONDS = 15.0


class JobRoom:
    """Decide whether there is memory for a job; may be called from any thread.

    :param memory_mb: Memory of this entry, in MB.
    :param clock: ``Clock``.
    :param get_held: Function that returns the ``HeldJobs`` that the scheduling entry
        told last, or None.
    :param count_entries: Function that returns the number of entries.
    """

    def __init__(
        self, memory_mb, clock, get_held=lambda: None, count_entries=lambda: 1
    ):
        self.limit = get_memory_limit(memory_mb)
        self._clock = clock
        self._get_held = get_held
        self._count_entries = count_entries
        self._lock = threading.Lock()
        # Version, memory and end of the jobs that the scheduling entry may not have
        # counted yet. The version of a write without an answer isn't known.
        self._unseen = []

    @property
    def held(self):
        """Return the memory that accepted jobs take as last told, in bytes."""
        held = self._get_held()
        return held.memory if held is not None else 0

    def has_room(self, spec):
        """Return whether there is memory for a job."""
        held = self._get_held()
        with self._lock:
            self._forget_seen(held)
            unseen = sum(memory for _, memory, _ in self._unseen)
        entries = max(1, self._count_entries())
        return has_room(held, self.limit, unseen, entries, estimate_job_memory(spec))

    def record_accepted(self, spec, version):
        """Record that a job was stored.

        :param version: Version of the store; None if the write got no answer.
        """
        is_known = version is not None
        until = math.inf if is_known else self._clock.now() + UNANSWERED_SECONDS
        with self._lock:
            self._unseen.append(
                (version if is_known else math.inf, estimate_job_memory(spec), until)
            )

    def _forget_seen(self, held):
        seen_version = held.version if held is not None else 0
        now = self._clock.now()
        self._unseen = [
            job for job in self._unseen if job[0] > seen_version and now < job[2]
        ]
