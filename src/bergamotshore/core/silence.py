"""Detection of streams that went silent, with an adaptive timeout."""

GAP_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
MISSED_HEARTBEATS = 3.0


class SilenceDetector:
    """Judge a stream by the gaps between what arrives on it.

    :param heartbeat: Time between the peer's heartbeats, in seconds.
    :param shortest: Shortest timeout, in seconds.
    :param longest: Longest timeout, in seconds.
    :param now: Current time.
    """

    def __init__(self, heartbeat, shortest, longest, now):
        self.shortest = shortest
        self.longest = longest
        self.mean_gap = heartbeat
        self.deviation = heartbeat / 4
        self.last_heard = now

    @property
    def timeout(self):
        """Return the silence after which the stream is dropped, in seconds."""
        adaptive = MISSED_HEARTBEATS * self.mean_gap + DEVIATIONS * self.deviation
        return min(self.longest, max(self.shortest, adaptive))

    def record_heartbeat(self, now):
        """Record a heartbeat of the peer."""
        gap = now - self.last_heard
        self.last_heard = now
        error = gap - self.mean_gap
        self.mean_gap += GAP_WEIGHT * error
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)

    def is_silent(self, now):
        """Tell whether the stream counts as lost."""
        return now - self.last_heard > self.timeout
