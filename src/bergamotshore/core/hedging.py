"""When to send a repeatable request a second time."""

from hdrh.histogram import HdrHistogram

QUANTILE = 95.0
WINDOW_SIZE = 200
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000


class HedgeTimer:
    """Give the delay after which a request counts as slow.

    The delay is a quantile of the latest whole window of durations; before the first
    window is whole there is none, and nothing is hedged.
    """

    def __init__(self):
        self.delay = None
        self._window = self._create_window()

    @staticmethod
    def _create_window():
        return HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds):
        """Record the duration of a try that was answered."""
        self._window.record_value(max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS)))
        if self._window.get_total_count() >= WINDOW_SIZE:
            value = self._window.get_value_at_percentile(QUANTILE)
            self.delay = value / MICROSECONDS
            self._window = self._create_window()
