"""What decoding a heartbeat takes."""

import json
import tracemalloc

import pytest
from returns.result import Failure

from bergamotshore.platform.runner import MAX_TEXT_BYTES, parse_heartbeat

MIB = 1 << 20
REPORT = {
    "service": "s",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1000, "mem_mb": 1000},
}


def test_heartbeat_of_countless_labels_is_not_decoded():
    labels = ["ab"] * (4 * MIB // 6)
    body = json.dumps({**REPORT, "labels": labels}).encode()
    tracemalloc.start()
    try:
        outcome = parse_heartbeat("PUT", "/instances/w", body)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert "labels" in outcome.failure().detail
    assert peak < MIB


def test_largest_heartbeat_of_unknown_content_is_decoded():
    body = json.dumps({**REPORT, "labels": ["a", "r1"], "x": "y" * 4 * MIB}).encode()
    report = parse_heartbeat("PUT", "/instances/w", body).unwrap()
    assert (report.labels, report.rack) == (("a", "r1"), "r1")


@pytest.mark.parametrize("field", ["service", "zone", "version", "machine"])
def test_heartbeat_with_a_name_beyond_the_limit_is_invalid(field):
    body = json.dumps({**REPORT, field: "x" * MAX_TEXT_BYTES}).encode()
    assert isinstance(parse_heartbeat("PUT", "/instances/w", body), Failure)
