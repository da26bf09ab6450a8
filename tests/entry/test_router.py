"""Tests of the life of a request at an entry."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

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
from bergamotshore.entry.router import RequestRouter
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
    directory.note(stream, announce)
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
