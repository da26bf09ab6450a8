"""What decoding a submission takes, against what is reserved for it."""

import json
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.core.work.model import encode_spec
from bergamotshore.platform.jobs import (
    MAX_ROW_BYTES,
    MAX_STEPS,
    decode_submission,
    estimate_decoding,
    estimate_largest_decoding,
)
from bergamotshore.platform.runner import MAX_TEXT_BYTES, parse_heartbeat
from tests.site.test_borders import build_configuration

MIB = 1 << 20
FULL_STEP = {
    "count": 300,
    "cpu": 1001,
    "mem_mb": 5000,
    "gpu": 301,
    "est_ms": 900.5,
    "after": [],
    "checkpoint": True,
    "gang": True,
    "same_rack": True,
    "requires": "label",
    "affinity": "r1-3",
    "anti_affinity": 999,
    "speculative": True,
    "long_running": True,
    "image": "image",
    "goal_ms": 55.5,
    "fills": True,
    "may_miss": 999,
}
REPORT = {
    "service": "s",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1000, "mem_mb": 1000},
}


def measure_decoding(body):
    """Return the peak of memory while a body is decoded and encoded for its row."""
    queue = build_configuration().queues[0]
    decode_submission(b'{"steps":[{}]}', queue, "warm-up", 0.0)
    tracemalloc.start()
    try:
        match decode_submission(body, queue, "job", 0.0):
            case Success(spec):
                encode_spec(spec)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def build_body(steps, **fields):
    return json.dumps({"steps": steps, **fields}, ensure_ascii=False).encode()


BODIES = {
    "one step": build_body([{"count": 1}]),
    "empty steps": build_body([{}] * 300_000),
    "most steps": build_body([{"count": 1}] * 6000),
    "full steps": build_body([FULL_STEP] * 2000),
    "dependencies": build_body([{}] * 5000 + [{"after": [4999] * 20_000}]),
    "many dependencies": build_body([{"after": [1000] * 200_000}]),
    "text": build_body([{}], spec="x" * MIB),
    "wide text": build_body([{}], spec="\N{WATER WAVE}" + "x" * MIB),
    "escaped text": b'{"steps":[{}],"spec":"\\ud83c\\udf0a' + b"x" * MIB + b'"}',
    "wide labels": build_body([{"requires": "\N{WATER WAVE}" + "x" * 200}] * 4000),
    "unknown": build_body([{}], unknown=[[{}] * 1000] * 100),
    "nested": b'{"steps":' + b"[" * MIB,
}


@pytest.mark.parametrize("name", BODIES)
def test_decoding_takes_no_more_than_is_reserved(name):
    body = BODIES[name]
    assert measure_decoding(body) <= estimate_decoding(bytearray(body))


@given(
    st.integers(0, 400),
    st.integers(0, 400),
    st.integers(0, 2000),
    st.sampled_from(["x", "\u00e9", "\N{WATER WAVE}"]),
)
def test_any_mix_takes_no_more_than_is_reserved(small, full, numbers, letter):
    steps = [{}] * small + [FULL_STEP] * full + [{"after": [0] * numbers}]
    body = build_body(steps, spec=letter * 1000)
    assert measure_decoding(body) <= estimate_decoding(bytearray(body))
    assert estimate_decoding(body) <= estimate_largest_decoding(len(body))


@pytest.mark.parametrize(
    "steps",
    [
        [{}] * (MAX_STEPS + 1),
        [{"after": [0] * MAX_ROW_BYTES}],
        [{}, {"after": [0] * (MAX_ROW_BYTES // 2)}, {"after": [0] * MAX_ROW_BYTES}],
    ],
)
def test_steps_beyond_a_row_are_refused_while_they_are_decoded(steps):
    queue = build_configuration().queues[0]
    outcome = decode_submission(build_body(steps), queue, "job", 0.0)
    assert f"{MAX_ROW_BYTES} bytes" in outcome.failure().detail
    # The next job of the thread is counted anew.
    assert isinstance(decode_submission(build_body([{}]), queue, "job", 0.0), Success)


@pytest.mark.parametrize("after", ["0", {}, [None], [1.5], [-1], [1], ["0"]])
def test_dependencies_that_are_no_earlier_steps_are_invalid(after):
    queue = build_configuration().queues[0]
    body = build_body([{}, {"after": after}])
    assert isinstance(decode_submission(body, queue, "job", 0.0), Failure)


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
