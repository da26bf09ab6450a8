"""Tests of the request runner: admission, fencing, deduplication and answers."""

import pytest
from returns.result import Failure, Success

from bergamotshore.exceptions import EndpointAnswerLost, EndpointNotReached
from bergamotshore.generated.messages import FenceResult, RequestEnded, RunRequest
from bergamotshore.node.requests import RETENTION_SECONDS, RequestRunner
from bergamotshore.ports.endpoint import EndpointAnswer
from tests.fakes import FakeStream


class FakeEndpoint:
    """An endpoint that records its runs and returns a preset outcome."""

    def __init__(self):
        self.runs = []
        self.outcome = Success(EndpointAnswer(200, "text/plain", b"answer"))

    def run(self, request, timeout):
        self.runs.append(request.request_id)
        return self.outcome


@pytest.fixture
def endpoint():
    return FakeEndpoint()


@pytest.fixture
def runner(loop, executor, endpoint, links, recorder, registry):
    runner = RequestRunner(
        loop, executor, endpoint, links, lambda: True, recorder, registry
    )
    runner.service = "books"
    runner.ledger.resize(1, 3)
    runner.start()
    return runner


def build_request(request_id="r1", key="", remaining=10.0, service="books"):
    return RunRequest(
        request_id=request_id,
        service=service,
        method="POST",
        path="/x",
        remaining=remaining,
        repeatable=not key,
        idempotency_key=key,
    )


def list_outcomes(stream):
    return [
        (message.request_id, message.outcome, message.reason)
        for message in stream.list_sent(RequestEnded)
    ]


def test_a_request_runs_and_is_answered(runner, executor, endpoint, stream):
    runner.handle_run(stream, build_request())
    executor.run_all()
    assert endpoint.runs == ["r1"]
    assert stream.sent[-1].body == b"answer"
    assert runner.is_idle


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (Failure(EndpointNotReached("x")), ("r1", "not_run", "endpoint-not-reached")),
        (Failure(EndpointAnswerLost("x")), ("r1", "unknown", "endpoint-answer-lost")),
    ],
)
def test_endpoint_failures_are_reported_as_not_run_or_unknown(
    runner, executor, endpoint, stream, outcome, expected
):
    endpoint.outcome = outcome
    runner.handle_run(stream, build_request())
    executor.run_all()
    assert list_outcomes(stream) == [expected]


def test_duplicates_run_once(runner, executor, endpoint, stream):
    for _ in range(3):
        runner.handle_run(stream, build_request())
    executor.run_all()
    runner.handle_run(stream, build_request())
    assert endpoint.runs == ["r1"]
    assert list_outcomes(stream) == [("r1", "completed", "")] * 2


def test_two_requests_with_one_key_run_once(runner, executor, endpoint, stream):
    runner.handle_run(stream, build_request("r1", key="k"))
    runner.handle_run(stream, build_request("r2", key="k"))
    executor.run_all()
    runner.handle_run(stream, build_request("r3", key="k"))
    assert endpoint.runs == ["r1"]
    assert list_outcomes(stream) == [
        ("r2", "unknown", "key-in-progress"),
        ("r1", "completed", ""),
        ("r3", "completed", ""),
    ]


def test_a_fence_before_the_request_prevents_its_run(
    runner, executor, endpoint, stream
):
    runner.handle_fence(stream, "r1")
    runner.handle_run(stream, build_request())
    executor.run_all()
    assert endpoint.runs == []
    assert list_outcomes(stream) == [("r1", "not_run", "fenced")] * 2


def test_a_fence_removes_a_request_from_the_queue(runner, executor, endpoint, stream):
    runner.handle_run(stream, build_request("r1"))
    runner.handle_run(stream, build_request("r2"))
    runner.handle_fence(stream, "r2")
    executor.run_all()
    assert endpoint.runs == ["r1"]
    assert ("r2", "not_run", "fenced") in list_outcomes(stream)


def test_a_running_request_can_not_be_fenced(runner, executor, stream):
    runner.handle_run(stream, build_request())
    runner.handle_fence(stream, "r1")
    assert isinstance(stream.sent[-1], FenceResult)
    executor.run_all()
    assert list_outcomes(stream) == [("r1", "completed", "")]


def test_an_ended_request_answers_a_fence_with_its_outcome(runner, executor, stream):
    runner.handle_run(stream, build_request())
    executor.run_all()
    runner.handle_fence(stream, "r1")
    assert list_outcomes(stream) == [("r1", "completed", "")] * 2


def test_the_answer_is_sent_on_the_new_stream_of_the_entry(
    runner, executor, stream, links
):
    runner.handle_run(stream, build_request())
    stream.close("silent")
    new_stream = FakeStream("entry-1")
    links.streams.append(new_stream)
    runner.handle_fence(new_stream, "r1")
    executor.run_all()
    assert list_outcomes(new_stream) == [("r1", "completed", "")]
    assert list_outcomes(stream) == []


def test_no_answer_goes_to_another_incarnation_of_the_entry(
    runner, executor, stream, links
):
    runner.handle_run(stream, build_request())
    stream.close("lost")
    other_stream = FakeStream("entry-1", incarnation="run-2")
    links.streams.append(other_stream)
    executor.run_all()
    assert other_stream.sent == []


def test_a_slot_is_kept_until_the_endpoint_answers(runner, executor, loop, stream):
    runner.handle_run(stream, build_request("r1", remaining=1.0))
    loop.advance(2.0)
    assert list_outcomes(stream) == [("r1", "unknown", "deadline")]
    assert len(runner.ledger.running) == 1
    runner.handle_run(stream, build_request("r2", remaining=1.0))
    assert executor.pending_calls[1:] == []
    executor.run_next()
    assert ("r1", "completed", "") in list_outcomes(stream)


def test_queued_requests_that_would_miss_their_deadline_are_refused_early(
    runner, executor, loop, stream
):
    runner.ledger.service_seconds = 0.5
    runner.handle_run(stream, build_request("r1"))
    runner.handle_run(stream, build_request("r2", remaining=1.2))
    loop.advance(0.8)
    assert list_outcomes(stream) == [("r2", "not_run", "deadline-out-of-reach")]


def test_requests_over_the_connection_limit_are_refused_at_once(runner, stream):
    for number in range(5):
        runner.handle_run(stream, build_request(f"r{number}"))
    assert list_outcomes(stream) == [
        ("r3", "not_run", "connections-full"),
        ("r4", "not_run", "connections-full"),
    ]
    assert stream.sent[-1].retry_after > 0


def test_a_request_for_another_service_is_refused(runner, stream):
    runner.handle_run(stream, build_request(service="other"))
    assert list_outcomes(stream) == [("r1", "not_run", "no-endpoint")]


def test_draining_refuses_new_requests_and_finishes_admitted_ones(
    runner, executor, endpoint, stream
):
    runner.handle_run(stream, build_request("r1"))
    runner.handle_run(stream, build_request("r2"))
    runner.may_work = lambda: False
    runner.handle_run(stream, build_request("r3"))
    executor.run_all()
    assert endpoint.runs == ["r1", "r2"]
    assert ("r3", "not_run", "draining") in list_outcomes(stream)
    assert runner.is_idle


def test_a_fence_after_a_lost_late_answer_is_answered(
    runner, executor, endpoint, loop, stream
):
    endpoint.outcome = Failure(EndpointAnswerLost("x"))
    runner.handle_run(stream, build_request("r1", remaining=1.0))
    loop.advance(2.0)
    executor.run_all()
    runner.handle_fence(stream, "r1")
    assert list_outcomes(stream) == [
        ("r1", "unknown", "deadline"),
        ("r1", "unknown", "endpoint-answer-lost"),
    ]


def test_a_fence_of_an_expired_request_is_answered_unknown(
    runner, executor, loop, stream
):
    runner.handle_run(stream, build_request("entry.1"))
    executor.run_all()
    loop.advance(2 * RETENTION_SECONDS)
    runner.handle_fence(stream, "entry.1")
    runner.handle_run(stream, build_request("entry.1"))
    executor.run_all()
    assert list_outcomes(stream) == [
        ("entry.1", "completed", ""),
        ("entry.1", "unknown", "forgotten"),
        ("entry.1", "unknown", "forgotten"),
    ]
