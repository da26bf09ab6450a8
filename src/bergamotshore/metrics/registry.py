"""Counters, gauges and histograms of one process."""

import threading
from collections import defaultdict

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS = 1_000_000


class Registry:
    """Hold the metrics of one process.

    :param prefix: Start of every name.
    """

    def __init__(self, prefix="bergamotshore"):
        self.prefix = prefix
        self._lock = threading.Lock()
        self._value_by_name = defaultdict(float)
        self._histogram_by_name = {}
        self._gauge_by_name = {}

    def count(self, name, amount=1):
        """Add to a counter; labels are part of the name."""
        with self._lock:
            self._value_by_name[name] += amount

    def watch(self, name, read):
        """Read a gauge from a function whenever metrics are asked for."""
        self._gauge_by_name[name] = read

    def measure(self, name, seconds):
        """Record a duration in a histogram."""
        with self._lock:
            histogram = self._histogram_by_name.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self._histogram_by_name[name] = histogram
            histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    def get_count(self, name):
        """Return the value of a counter."""
        with self._lock:
            return self._value_by_name.get(name, 0)

    def render(self):
        """Return all metrics in the text exposition format."""
        with self._lock:
            lines = [
                f"{self.prefix}_{name} {value:g}"
                for name, value in sorted(self._value_by_name.items())
            ]
            for name, histogram in sorted(self._histogram_by_name.items()):
                lines += self._render_histogram(name, histogram)
        lines += [
            f"{self.prefix}_{name} {read():g}"
            for name, read in sorted(self._gauge_by_name.items())
        ]
        return "\n".join(lines) + "\n"

    def _render_histogram(self, name, histogram):
        base = f"{self.prefix}_{name}_seconds"
        lines = [
            f'{base}{{quantile="{quantile / 100:g}"}} '
            f"{histogram.get_value_at_percentile(quantile) / MICROSECONDS:g}"
            for quantile in QUANTILES
        ]
        lines.append(f"{base}_count {histogram.get_total_count()}")
        return lines
