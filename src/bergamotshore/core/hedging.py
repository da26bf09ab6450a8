"""Delay before hedging a repeatable request."""

from hdrh.histogram import HdrHistogram

PERCENTILE = 95.0
WINDOW_SIZE = 200
MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000


class HedgeTimer:
    """Computes the delay after which a slow request is hedged.

    The delay is a percentile of the durations in the latest complete window. Until the
    first window is complete the delay is None and no request is hedged.
    """

    def __init__(self):
        self.delay = None
        self._window = self._create_window()

    @staticmethod
    def _create_window():
        return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds):
        """Record the duration of an attempt that received a response."""
        self._window.record_value(
            max(MIN_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND))
        )
        if self._window.get_total_count() >= WINDOW_SIZE:
            value = self._window.get_value_at_percentile(PERCENTILE)
            self.delay = value / MICROSECONDS_PER_SECOND
            self._window = self._create_window()
