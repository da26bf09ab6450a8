"""Detection of a deciding thread that makes no progress."""

from dataclasses import dataclass

from bergamotshore.core.work.leases import LEASE_SECONDS, RENEW_SECONDS

# Time without progress after which an entry gives its term up, in seconds: that after
# which an entry that has ended is replaced.
MAX_STALL_SECONDS = LEASE_SECONDS
# Longest time between two observations that counts as a stall, in seconds. After a
# pause of the whole process, the thread has time to go on before it counts as stalled.
MAX_OBSERVED_SECONDS = 2 * RENEW_SECONDS


@dataclass(slots=True)
class StallDetector:
    """Detects a stall of a thread from a counter that it increments.

    :param progress: Last observed value of the counter.
    :param observed_at: Time of the last observation, in seconds.
    :param seconds: How long the thread has made no progress, in seconds.
    """

    progress: int = -1
    observed_at: float = 0.0
    seconds: float = 0.0

    @property
    def is_stalled(self):
        """Return whether the thread counts as stalled."""
        return self.seconds >= MAX_STALL_SECONDS

    def observe(self, progress, is_waiting, now):
        """Record the counter.

        :param is_waiting: Whether the thread waits for calls that have timeouts.
        """
        elapsed = min(now - self.observed_at, MAX_OBSERVED_SECONDS)
        has_advanced = progress != self.progress
        self.seconds = 0.0 if has_advanced or is_waiting else self.seconds + elapsed
        self.progress, self.observed_at = progress, now
