"""Tests of the decoders of outside input and of the encoding of stored jobs."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.core.work.jobstate import encode_progress, restore_progress
from bergamotshore.core.work.model import (
    JobSpec,
    Step,
    WorkerSize,
    decode_spec,
    encode_spec,
)
from bergamotshore.core.work.progress import JobProgress
from bergamotshore.exceptions import PlatformUnavailable, PlatformUncertain
from bergamotshore.platform.jobs import decode_submission
from bergamotshore.platform.operator import decode_configuration, decode_wave
from bergamotshore.platform.runner import decode_report, parse_heartbeat
from bergamotshore.platform.store import decode_page, decode_transaction
from bergamotshore.ports.rows import RowsConflict
from bergamotshore.ports.runner import WorkerIncarnation
from tests.site.simulation import build_configuration

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=8,
)
ARBITRARY_BYTES = st.binary(max_size=200) | JSON_VALUES.map(
    lambda value: msgspec.json.encode(value)
)
REPORT_BODY = (
    b'{"service":"s","addr":"1.2.3.4:1","zone":"z","version":"v1","slots":8,'
    b'"state":"ready","warmup_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,'
    b'"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":17}'
)


@given(ARBITRARY_BYTES)
def test_arbitrary_bytes_give_a_value_or_a_typed_failure(content):
    decoders = [
        lambda: decode_submission(content, build_configuration().queues[0], "j", 0.0),
        lambda: decode_configuration(content),
        lambda: decode_wave("wave/1", content),
        lambda: decode_report("w", content),
        lambda: decode_page(content),
    ]
    for decode in decoders:
        outcome = decode()
        assert isinstance(outcome, Success | Failure)
        if isinstance(outcome, Failure):
            assert outcome.failure().code


def test_heartbeat_body_is_decoded_into_a_report():
    report = parse_heartbeat("PUT", "/instances/i-1", REPORT_BODY).unwrap()
    assert report.incarnation == WorkerIncarnation("i-1", 17)
    assert report.size == WorkerSize(16000, 32768)
    assert report.labels == ("a", "r1-3")
    assert not report.is_draining
    assert parse_heartbeat("DELETE", "/instances/i-1", b"") == Success("i-1")


@pytest.mark.parametrize(
    "body",
    [
        REPORT_BODY.replace(b'"ready"', b'"odd"'),
        REPORT_BODY.replace(b'"s"', b"7"),
        REPORT_BODY.replace(b'"capacity":', b'"other":'),
        REPORT_BODY.replace(b"16000", b"null"),
        REPORT_BODY.replace(b"16000", b'"16000"'),
        REPORT_BODY.replace(b"16000", b"-1"),
        REPORT_BODY.replace(b"32768", b"1e300"),
        REPORT_BODY.replace(b'"cpu":16000,', b""),
        b"\xff",
        b"",
    ],
)
def test_invalid_report_is_refused(body):
    assert isinstance(decode_report("i-1", body), Failure)


@pytest.mark.parametrize(
    ("cpu", "size"),
    [
        (b"9000", WorkerSize(9000, 32768)),
        (b"9000.7", WorkerSize(9000, 32768)),
        (b"0", None),
        (b"0.4", None),
    ],
)
def test_size_of_a_worker_is_whole_and_absent_without_processors(cpu, size):
    body = REPORT_BODY.replace(b"16000", cpu)
    assert decode_report("i-1", body).unwrap().size == size


@pytest.mark.parametrize(
    ("outcome", "failure"),
    [
        (Success(HttpAnswer(503, "", b"")), PlatformUnavailable),
        (Success(HttpAnswer(429, "", b"")), PlatformUnavailable),
        (Success(HttpAnswer(500, "", b"")), PlatformUncertain),
        (Success(HttpAnswer(200, "", b"{")), PlatformUncertain),
        (Success(HttpAnswer(412, "", b'{"rows":[]}')), RowsConflict),
        (Failure(HttpFailure("reset", was_sent=True)), PlatformUncertain),
        (Failure(HttpFailure("refused", was_sent=False)), PlatformUnavailable),
    ],
)
def test_each_transaction_failure_has_its_type(outcome, failure):
    assert isinstance(decode_transaction(outcome).failure(), failure)


steps = st.builds(
    Step,
    tasks=st.integers(1, 5),
    cpu=st.integers(0, 9000),
    is_lasting=st.booleans(),
    label=st.sampled_from(["", "a"]),
    image=st.text(max_size=3),
)


@given(st.lists(steps, min_size=1, max_size=3), st.integers(0, 3))
def test_jobs_and_their_progress_survive_encoding(step_list, repeats):
    spec = JobSpec("q", "j", "s", "p", tuple(step_list), 3, repeats=repeats)
    assert decode_spec(encode_spec(spec)) == spec
    progress = JobProgress(spec)
    progress.open_due_occurrences(1.0)
    for occurrence, number in progress.list_ready_steps():
        for ref in progress.list_waiting(occurrence, number)[:2]:
            progress.claim(ref, "node", WorkerIncarnation("w", 3))
    ref, run = next(progress.list_runs())
    progress.end(ref, run.number, "done", "", 3)
    restored = JobProgress(spec)
    restore_progress(restored, encode_progress(progress))
    assert encode_progress(restored) == encode_progress(progress)
    assert list(restored.list_runs()) == list(progress.list_runs())
