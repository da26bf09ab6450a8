"""Counters, gauges and summaries of one process.

The client library of the text exposition format takes 5 MB a process, a quarter of what
a node needs, so the format is written here; tests read it with the library's parser.
"""

import threading
from collections import defaultdict

from hdrh.histogram import HdrHistogram

from bergamotshore.exceptions import MetricUndeclaredError
from bergamotshore.generated.metrics import METRIC_BY_NAME

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS = 1_000_000
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


class Registry:
    """Hold the metrics of one process; each is declared in ``schema/metrics.yaml``.

    :param prefix: Start of every name.
    """

    def __init__(self, prefix="bergamotshore"):
        self.prefix = prefix
        self._lock = threading.Lock()
        self._counts_by_name = defaultdict(lambda: defaultdict(float))
        self._histograms_by_name = defaultdict(dict)
        self._gauge_by_name = {}

    def count(self, name, amount=1, **labels):
        """Add to a counter.

        :raises MetricUndeclaredError: for a name or labels that are not declared.
        """
        key = _get_key(name, labels)
        with self._lock:
            self._counts_by_name[name][key] += amount

    def watch(self, name, read):
        """Read a gauge from a function whenever metrics are asked for.

        :raises MetricUndeclaredError: for a name that is not declared.
        """
        _get_key(name, {})
        self._gauge_by_name[name] = read

    def measure(self, name, seconds, **labels):
        """Record a duration in a summary.

        :raises MetricUndeclaredError: for a name or labels that are not declared.
        """
        key = _get_key(name, labels)
        with self._lock:
            histogram = self._histograms_by_name[name].get(key)
            if histogram is None:
                histogram = HdrHistogram(
                    LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self._histograms_by_name[name][key] = histogram
            histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    def get_count(self, name, **labels):
        """Return the value of a counter."""
        key = _get_key(name, labels)
        with self._lock:
            return self._counts_by_name[name].get(key, 0)

    def render(self):
        """Return all metrics in the text exposition format."""
        lines = []
        with self._lock:
            for name, counts in sorted(self._counts_by_name.items()):
                lines += self._render_head(name)
                lines += [
                    f"{self.prefix}_{name}{_render_labels(key)} {value:g}"
                    for key, value in sorted(counts.items())
                ]
            for name, histograms in sorted(self._histograms_by_name.items()):
                lines += self._render_head(name)
                for key, histogram in sorted(histograms.items()):
                    lines += self._render_summary(name, key, histogram)
        for name, read in sorted(self._gauge_by_name.items()):
            lines += self._render_head(name)
            lines.append(f"{self.prefix}_{name} {read():.15g}")
        return "\n".join(lines) + "\n"

    def _render_head(self, name):
        metric = METRIC_BY_NAME[name]
        full = f"{self.prefix}_{name}"
        return [f"# HELP {full} {metric.doc}", f"# TYPE {full} {metric.kind}"]

    def _render_summary(self, name, key, histogram):
        full = f"{self.prefix}_{name}"
        lines = []
        for quantile in QUANTILES:
            labels = _render_labels((*key, ("quantile", f"{quantile / 100:g}")))
            seconds = histogram.get_value_at_percentile(quantile) / MICROSECONDS
            lines.append(f"{full}{labels} {seconds:g}")
        count = histogram.get_total_count()
        total = histogram.get_mean_value() * count / MICROSECONDS
        lines.append(f"{full}_sum{_render_labels(key)} {total:g}")
        lines.append(f"{full}_count{_render_labels(key)} {count}")
        return lines


def _get_key(name, labels):
    """Return what tells a series from others of its name."""
    metric = METRIC_BY_NAME.get(name)
    if metric is None or labels.keys() != set(metric.labels):
        raise MetricUndeclaredError(f"{name} with labels {sorted(labels)}")
    return tuple((label, str(labels[label])) for label in metric.labels)


def _render_labels(key):
    if not key:
        return ""
    pairs = [f'{label}="{value.translate(ESCAPES)}"' for label, value in key]
    return "{" + ",".join(pairs) + "}"
