"""Metrics in the text exposition format, parsed by the Prometheus client library."""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from bergamotshore.exceptions import MetricUndeclaredError
from bergamotshore.generated.metrics import METRIC_BY_NAME
from bergamotshore.metrics.registry import Registry


def read_families(registry):
    """Return the metric families that the parser finds, by name."""
    families = text_string_to_metric_families(registry.render())
    return {family.name: family for family in families}


def read_samples(family):
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for sample in family.samples
    }


def test_counters_have_help_type_and_labels(registry):
    registry.count("calls_total", method="POST", status=200)
    registry.count("calls_total", 2, method="GET", status=404)
    registry.count("freezes_total")
    families = read_families(registry)
    calls = families["bergamotshore_calls"]
    assert calls.type == "counter"
    assert calls.documentation == METRIC_BY_NAME["calls_total"].doc
    assert read_samples(calls) == {
        ("bergamotshore_calls_total", ("method", "POST"), ("status", "200")): 1.0,
        ("bergamotshore_calls_total", ("method", "GET"), ("status", "404")): 2.0,
    }
    assert read_samples(families["bergamotshore_freezes"]) == {
        ("bergamotshore_freezes_total",): 1.0
    }
    assert registry.get_count("calls_total", method="GET", status=404) == 2


@pytest.mark.parametrize("value", ['a "quoted" word', "back\\slash", "two\nlines", ""])
def test_label_values_are_escaped_so_that_the_parser_restores_them(registry, value):
    registry.count("store_failures_total", code=value)
    [sample] = read_families(registry)["bergamotshore_store_failures"].samples
    assert sample.labels == {"code": value}


def test_durations_are_exported_as_a_summary_with_sum_and_count(registry):
    for milliseconds in range(1, 101):
        registry.measure("call_seconds", milliseconds / 1000, method="POST")
    family = read_families(registry)["bergamotshore_call_seconds"]
    assert family.type == "summary"
    samples = read_samples(family)
    post = ("method", "POST")
    assert samples[("bergamotshore_call_seconds_count", post)] == 100
    assert samples[("bergamotshore_call_seconds_sum", post)] == pytest.approx(
        5.05, 0.02
    )
    median = samples[("bergamotshore_call_seconds", post, ("quantile", "0.5"))]
    assert median == pytest.approx(0.05, 0.02)


def test_gauges_are_read_at_export_and_keep_large_values(registry):
    registry.watch("config_version", lambda: 123_456_789_012)
    registry.watch("processor_seconds_total", lambda: 1.25)
    families = read_families(registry)
    assert families["bergamotshore_config_version"].type == "gauge"
    assert families["bergamotshore_config_version"].samples[0].value == 123_456_789_012
    assert families["bergamotshore_processor_seconds"].type == "counter"


@pytest.mark.parametrize(
    "record",
    [
        lambda registry: registry.count("calls_totale", method="POST", status=200),
        lambda registry: registry.count("calls_total", method="POST"),
        lambda registry: registry.count("freezes_total", reason="x"),
        lambda registry: registry.measure("call", 0.1),
        lambda registry: registry.watch("size", int),
    ],
)
def test_an_undeclared_metric_or_label_raises_a_typed_error(registry, record):
    with pytest.raises(MetricUndeclaredError):
        record(registry)


def test_metric_names_have_the_suffix_of_their_kind():
    for name, metric in METRIC_BY_NAME.items():
        assert name.endswith("_total") == (metric.kind == "counter"), name
        assert name.endswith("_seconds") == (metric.kind == "summary"), name
        assert metric.doc.endswith(".")


def test_an_empty_registry_exports_no_metrics():
    assert read_families(Registry()) == {}
