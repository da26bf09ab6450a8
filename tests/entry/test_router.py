"""Tests of the life of a request at an entry."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bergamotshore.core.hedging import WINDOW_SIZE, HedgeTimer
from bergamotshore.core.routing import RetryBudget
from bergamotshore.entry.directory import NodeDirectory
from bergamotshore.entry.keys import KeyStore
from bergamotshore.entry.outcomes import (
    CallerRequest,
    Completed,
    KeyBusy,
    KeyMismatch,
    NotRun,
    Unknown,
)
from bergamotshore.entry.router import RequestRouter, combine
from bergamotshore.generated.messages import (
    Announce,
    Fence,
    FenceResult,
    RequestEnded,
    RunRequest,
)
from bergamotshore.generated.settings import Entry
from bergamotshore.ports.clock import SystemClock
from tests.fakes import FakeStream

SETTINGS = Entry(
    callers="127.0.0.1:1", operators="127.0.0.1:2", nodes="127.0.0.1:3", requests=4
)


@pytest.fixture
def directory():
    return NodeDirectory(SystemClock())


@pytest.fixture
def keys(table, executor):
    return KeyStore(table, executor, lambda seconds: None)


@pytest.fixture
def router(directory, keys, registry, recorder):
    return RequestRouter(
        "run-1",
        directory,
        lambda zone, node: True,
        keys,
        SETTINGS,
        SystemClock(),
        registry,
        recorder,
        random.Random(1),
    )


def connect(directory, router, name="node-1", incarnation="run-1"):
    stream = FakeStream(name, incarnation, role="node")
    old = directory.open(stream)
    if old is not None:
        old.close("replaced")
    router.handle_open(stream)
    announce = Announce(
        service="books",
        slots=8,
        connections=64,
        draining=False,
        session="s",
        processors=16,
        memory_gb=60,
        accelerators=0,
    )
    directory.record_message(stream, announce)
    return stream


def build_request(key="", seconds=5.0, body=b"", service="books"):
    return CallerRequest(
        service=service,
        method="POST",
        path="/x",
        content_type="",
        body=body,
        deadline=SystemClock().now() + seconds,
        repeatable=not key,
        idempotency_key=key,
    )


def answer_with(router, outcome, **fields):
    """Return a handler that answers every request at once."""

    def on_send(message):
        if isinstance(message, RunRequest):
            router.handle_message(
                RequestEnded(request_id=message.request_id, outcome=outcome, **fields)
            )

    return on_send


def test_a_request_is_completed(directory, router):
    stream = connect(directory, router)
    stream.on_send = answer_with(router, "completed", status=201, body=b"whole")
    assert router.serve(build_request()) == Completed(201, "", b"whole")
    assert router.in_flight == 0


def test_without_a_node_nothing_runs(router):
    assert router.serve(build_request()) == NotRun("no-node", 1.0)


def test_a_passed_deadline_is_refused(directory, router):
    stream = connect(directory, router)
    assert router.serve(build_request(seconds=-1)).reason == "deadline-passed"
    assert stream.list_sent(RunRequest) == []


def test_a_refusal_is_tried_once_more_elsewhere(directory, router):
    full = connect(directory, router, "node-1")
    free = connect(directory, router, "node-2")
    full.on_send = answer_with(router, "not_run", reason="connections-full")
    free.on_send = answer_with(router, "completed", status=200)
    for _ in range(5):
        assert router.serve(build_request()).status == 200


def test_retries_end_with_the_budget(directory, router):
    for name in ("node-1", "node-2"):
        stream = connect(directory, router, name)
        stream.on_send = answer_with(router, "not_run", reason="connections-full")
    for _ in range(60):
        assert router.serve(build_request()).reason == "connections-full"
    retries = router.registry.get_count("request_retries_total")
    assert retries <= 10 + 60 * SETTINGS.retry_share


def test_an_unknown_outcome_is_repeated_only_when_repeatable(directory, router):
    first = connect(directory, router, "node-1")
    second = connect(directory, router, "node-2")
    for stream in (first, second):
        stream.on_send = answer_with(router, "unknown", reason="endpoint-answer-lost")
    assert isinstance(router.serve(build_request(key="k1")), Unknown)
    assert len(first.sent) + len(second.sent) == 1
    router.serve(build_request())
    assert len(first.sent) + len(second.sent) == 3


def test_not_run_is_not_said_when_an_earlier_try_may_have_run(directory, router):
    first = connect(directory, router, "node-1")
    second = connect(directory, router, "node-2")
    answers = iter(["unknown", "not_run"])

    def answer(message):
        if isinstance(message, RunRequest):
            answer_with(router, next(answers), reason="x")(message)

    first.on_send = second.on_send = answer
    assert router.serve(build_request()) == Unknown("x", 1.0)


@pytest.mark.parametrize(
    ("earlier", "later", "expected"),
    [
        (None, NotRun("a"), NotRun("a")),
        (NotRun("a"), NotRun("b"), NotRun("b")),
        (NotRun("a"), Unknown("b"), Unknown("b")),
        (Unknown("a"), NotRun("b"), Unknown("a")),
        (Unknown("a"), Completed(200, "", b""), Completed(200, "", b"")),
    ],
)
def test_what_is_known_after_two_tries(earlier, later, expected):
    assert combine(earlier, later) == expected


def test_the_deadline_gives_unknown_at_once_and_fences(directory, router):
    stream = connect(directory, router)
    outcome = router.serve(build_request(seconds=0.05))
    assert outcome == Unknown("deadline", 1.0)
    assert len(stream.list_sent(Fence)) == 1


@pytest.fixture
def served(router):
    """Return a function that serves a request in the background."""
    pool = ThreadPoolExecutor(4)

    def start(request, stream):
        is_sent = threading.Event()
        stream.on_send = lambda message: is_sent.set()
        future = pool.submit(router.serve, request)
        assert is_sent.wait(5)
        return future, stream.list_sent(RunRequest)[-1].request_id

    yield start
    pool.shutdown()


def lose(directory, router, stream):
    stream.close("silent")
    directory.close(stream)
    router.handle_close(stream.peer.name)


def test_a_lost_stream_is_fenced_over_a_fresh_one(directory, router, served):
    stream = connect(directory, router)
    future, request_id = served(build_request(key="k"), stream)
    lose(directory, router, stream)
    fresh = connect(directory, router)
    assert fresh.list_sent(Fence) == [Fence(request_id=request_id)]
    router.handle_message(FenceResult(request_id=request_id))
    router.handle_message(
        RequestEnded(request_id=request_id, outcome="completed", status=200)
    )
    assert future.result(5).status == 200
    assert fresh.list_sent(RunRequest) == []


def test_a_fenced_request_is_truly_not_run_and_frees_its_key(
    directory, router, served, table
):
    stream = connect(directory, router)
    future, request_id = served(build_request(key="k"), stream)
    lose(directory, router, stream)
    connect(directory, router)
    router.handle_message(
        RequestEnded(request_id=request_id, outcome="not_run", reason="fenced")
    )
    assert future.result(5) == NotRun("fenced", 0.0)
    assert table.scan("key/").unwrap() == []


def test_a_restarted_node_can_not_tell(directory, router, served):
    stream = connect(directory, router)
    future, _ = served(build_request(key="k"), stream)
    lose(directory, router, stream)
    connect(directory, router, incarnation="run-2")
    assert future.result(5) == Unknown("node-restarted", 1.0)


def test_a_repeatable_request_moves_on_when_its_stream_is_lost(
    directory, router, served
):
    stream = connect(directory, router, "node-1")
    future, _ = served(build_request(), stream)
    other = connect(directory, router, "node-2")
    other.on_send = answer_with(router, "completed", status=200)
    lose(directory, router, stream)
    assert future.result(5).status == 200


def test_late_and_foreign_answers_are_dropped(directory, router):
    stream = connect(directory, router)
    router.handle_message(RequestEnded(request_id="gone.1", outcome="completed"))
    stream.on_send = answer_with(router, "completed", status=200)
    assert router.serve(build_request()).status == 200
    assert router.registry.get_count("request_answers_unexpected_total") == 1


def test_a_late_answer_settles_the_key(directory, router, table, executor):
    stream = connect(directory, router)
    router.serve(build_request(key="k", seconds=0.05))
    request_id = stream.list_sent(RunRequest)[0].request_id
    router.handle_message(
        RequestEnded(request_id=request_id, outcome="completed", status=200, body=b"x")
    )
    executor.run_all()
    replay = router.serve(build_request(key="k"))
    assert replay == Completed(200, "", b"x", is_replay=True)


def test_a_full_entry_refuses_at_once(directory, router, served):
    stream = connect(directory, router)
    futures = [served(build_request(seconds=1.0), stream)[0] for _ in range(4)]
    assert router.serve(build_request()).reason == "entry-full"
    for future in futures:
        assert isinstance(future.result(5), Unknown)


def test_a_key_runs_once(directory, router, executor):
    stream = connect(directory, router)
    stream.on_send = answer_with(router, "completed", status=200, body=b"one")
    first = router.serve(build_request(key="k"))
    assert router.serve(build_request(key="k")) == KeyBusy("started")
    executor.run_all()
    second = router.serve(build_request(key="k"))
    assert (first.body, second.body, second.is_replay) == (b"one", b"one", True)
    assert len(stream.list_sent(RunRequest)) == 1


def test_a_key_of_another_request_is_refused(directory, router, executor):
    stream = connect(directory, router)
    stream.on_send = answer_with(router, "completed", status=200)
    router.serve(build_request(key="k", body=b"a"))
    assert router.serve(build_request(key="k", body=b"b")) == KeyMismatch()


def test_an_unknown_run_keeps_its_key(directory, router, executor):
    stream = connect(directory, router)
    stream.on_send = answer_with(router, "unknown", reason="endpoint-answer-lost")
    router.serve(build_request(key="k"))
    executor.run_all()
    assert router.serve(build_request(key="k")) == KeyBusy("unknown")


@pytest.mark.parametrize(
    ("faults", "is_down", "reason"),
    [
        (["cut", "cut", "cut"], False, "platform-uncertain"),
        (["lost", "down"], False, "platform-uncertain"),
        ([], True, "platform-unavailable"),
    ],
)
def test_without_the_table_a_keyed_request_does_not_run(
    directory, router, table, executor, faults, is_down, reason
):
    stream = connect(directory, router)
    stream.on_send = answer_with(router, "completed", status=200)
    table.faults = faults
    table.is_down = is_down
    assert router.serve(build_request(key="k")).reason == reason
    assert stream.list_sent(RunRequest) == []
    table.is_down = False
    executor.run_all()
    assert router.serve(build_request(key="k")).status == 200


def test_a_lost_answer_of_the_table_is_settled(directory, router, table):
    stream = connect(directory, router)
    stream.on_send = answer_with(router, "completed", status=200)
    table.faults = ["lost"]
    assert router.serve(build_request(key="k")).status == 200


def make_slow_requests_hedged(router, delay=0.02):
    router.hedge_timer.delay = delay


def test_a_slow_repeatable_request_is_sent_again_and_the_rest_is_fenced(
    directory, router
):
    make_slow_requests_hedged(router)
    slow = connect(directory, router, "node-1")
    slow_ids = []
    slow.on_send = lambda message: slow_ids.append(message.request_id)
    quick = connect(directory, router, "node-2")
    quick.on_send = answer_with(router, "completed", status=200)
    for _ in range(6):
        assert router.serve(build_request()).status == 200
    hedged = slow.list_sent(RunRequest)
    assert hedged
    fenced = {message.request_id for message in slow.list_sent(Fence)}
    assert fenced == {message.request_id for message in hedged}


def test_a_request_that_may_not_be_repeated_is_never_hedged(directory, router):
    make_slow_requests_hedged(router)
    streams = [connect(directory, router, name) for name in ("node-1", "node-2")]
    router.serve(build_request(key="k", seconds=0.2))
    assert sum(len(stream.list_sent(RunRequest)) for stream in streams) == 1


def test_hedges_end_with_their_budget(directory, router):
    make_slow_requests_hedged(router, delay=0.001)
    router.hedge_budget = RetryBudget(1e-9, burst=2.0)
    streams = [connect(directory, router, name) for name in ("node-1", "node-2")]
    for _ in range(5):
        router.serve(build_request(seconds=0.02))
    assert sum(len(stream.list_sent(RunRequest)) for stream in streams) == 7


def test_a_hedge_that_is_refused_leaves_the_first_try(directory, router, served):
    make_slow_requests_hedged(router)
    first = connect(directory, router, "node-1")
    future, request_id = served(build_request(), first)
    second = connect(directory, router, "node-2")
    second.on_send = answer_with(router, "not_run", reason="connections-full")
    time.sleep(0.1)
    router.handle_message(
        RequestEnded(request_id=request_id, outcome="completed", status=200)
    )
    assert future.result(5).status == 200


def test_the_delay_is_a_quantile_of_the_latest_window():
    timer = HedgeTimer()
    for number in range(WINDOW_SIZE - 1):
        timer.record(0.01 if number % 10 else 0.1)
    assert timer.delay is None
    timer.record(0.01)
    assert timer.delay == pytest.approx(0.1, rel=0.05)


def test_answers_that_come_twice_or_in_any_order_reach_their_own_callers(
    directory, router, served
):
    stream = connect(directory, router)
    calls = [served(build_request(key=f"k{n}"), stream) for n in range(4)]
    for number, (_, request_id) in reversed(list(enumerate(calls))):
        for _ in range(2):
            router.handle_message(
                RequestEnded(
                    request_id=request_id,
                    outcome="completed",
                    status=200,
                    body=b"%d" % number,
                )
            )
    bodies = [future.result(5).body for future, _ in calls]
    assert bodies == [b"0", b"1", b"2", b"3"]
