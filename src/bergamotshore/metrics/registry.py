"""Counters, gauges and summaries of one process.

The Prometheus client library takes 5 MB in each process, a quarter of what a node
needs, so this module writes the text exposition format itself. Tests parse the output
with the library.
"""

import threading
from collections import defaultdict

from hdrh.histogram import HdrHistogram

from bergamotshore.exceptions import MetricUndeclaredError
from bergamotshore.generated.metrics import METRIC_BY_NAME

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_SECOND = 1_000_000
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LABEL_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


class Registry:
    """Metrics of one process, all declared in ``schema/metrics.yaml``.

    :param prefix: Prefix of all metric names.
    """

    def __init__(self, prefix="bergamotshore"):
        self.prefix = prefix
        self._lock = threading.Lock()
        self._counts_by_name = defaultdict(lambda: defaultdict(float))
        self._histograms_by_name = defaultdict(dict)
        self._gauge_by_name = {}

    def count(self, name, amount=1, **labels):
        """Add an amount to a counter.

        :raises MetricUndeclaredError: for a name or labels that are not declared.
        """
        key = _get_series_key(name, labels)
        with self._lock:
            self._counts_by_name[name][key] += amount

    def watch(self, name, read_value):
        """Register a gauge whose value a function returns at each export.

        :raises MetricUndeclaredError: for a name that is not declared.
        """
        _get_series_key(name, {})
        self._gauge_by_name[name] = read_value

    def measure(self, name, seconds, **labels):
        """Record a duration in a summary.

        :raises MetricUndeclaredError: for a name or labels that are not declared.
        """
        key = _get_series_key(name, labels)
        with self._lock:
            histogram = self._histograms_by_name[name].get(key)
            if histogram is None:
                histogram = HdrHistogram(
                    MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self._histograms_by_name[name][key] = histogram
            histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def get_count(self, name, **labels):
        """Return the value of a counter."""
        key = _get_series_key(name, labels)
        with self._lock:
            return self._counts_by_name[name].get(key, 0)

    def render(self):
        """Return all metrics in the text exposition format."""
        lines = []
        with self._lock:
            for name, counts in sorted(self._counts_by_name.items()):
                lines += self._render_header(name)
                lines += [
                    f"{self.prefix}_{name}{_render_labels(key)} {value:g}"
                    for key, value in sorted(counts.items())
                ]
            for name, histograms in sorted(self._histograms_by_name.items()):
                lines += self._render_header(name)
                for key, histogram in sorted(histograms.items()):
                    lines += self._render_summary(name, key, histogram)
        for name, read_value in sorted(self._gauge_by_name.items()):
            lines += self._render_header(name)
            lines.append(f"{self.prefix}_{name} {read_value():.15g}")
        return "\n".join(lines) + "\n"

    def _render_header(self, name):
        metric = METRIC_BY_NAME[name]
        full_name = f"{self.prefix}_{name}"
        return [f"# HELP {full_name} {metric.doc}", f"# TYPE {full_name} {metric.kind}"]

    def _render_summary(self, name, key, histogram):
        full_name = f"{self.prefix}_{name}"
        lines = []
        for percentile in PERCENTILES:
            labels = _render_labels((*key, ("quantile", f"{percentile / 100:g}")))
            seconds = (
                histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND
            )
            lines.append(f"{full_name}{labels} {seconds:g}")
        count = histogram.get_total_count()
        total = histogram.get_mean_value() * count / MICROSECONDS_PER_SECOND
        lines.append(f"{full_name}_sum{_render_labels(key)} {total:g}")
        lines.append(f"{full_name}_count{_render_labels(key)} {count}")
        return lines


def _get_series_key(name, labels):
    """Return the label pairs that identify a series of a metric."""
    metric = METRIC_BY_NAME.get(name)
    if metric is None or labels.keys() != set(metric.labels):
        raise MetricUndeclaredError(f"{name} with labels {sorted(labels)}")
    return tuple((label, str(labels[label])) for label in metric.labels)


def _render_labels(key):
    if not key:
        return ""
    pairs = [f'{label}="{value.translate(LABEL_ESCAPES)}"' for label, value in key]
    return "{" + ",".join(pairs) + "}"
