"""Failure detection for streams, with an adaptive heartbeat timeout."""

GAP_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
MISSED_HEARTBEATS = 3.0


class SilenceDetector:
    """Detects a lost stream from the intervals between heartbeats.

    :param heartbeat: Nominal interval between the peer's heartbeats, in seconds.
    :param min_timeout: Minimum timeout, in seconds.
    :param max_timeout: Maximum timeout, in seconds.
    :param now: Current time.
    """

    def __init__(self, heartbeat, min_timeout, max_timeout, now):
        self.min_timeout = min_timeout
        self.max_timeout = max_timeout
        self.mean_gap = heartbeat
        self.deviation = heartbeat / 4
        self.last_heartbeat_at = now

    @property
    def timeout(self):
        """Return the time without a heartbeat after which the stream is lost."""
        adaptive = MISSED_HEARTBEATS * self.mean_gap + DEVIATIONS * self.deviation
        return min(self.max_timeout, max(self.min_timeout, adaptive))

    def record_heartbeat(self, now):
        """Record a heartbeat received from the peer."""
        gap = now - self.last_heartbeat_at
        self.last_heartbeat_at = now
        error = gap - self.mean_gap
        self.mean_gap += GAP_WEIGHT * error
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)

    def is_silent(self, now):
        """Whether the stream is considered lost."""
        return now - self.last_heartbeat_at > self.timeout
