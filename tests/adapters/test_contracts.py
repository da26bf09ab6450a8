"""Contract tests: the same cases against every implementation of a port."""

import threading

import pytest
from returns.result import Failure, Success

from bergamotshore.adapters.endpoint import HttpEndpoint
from bergamotshore.adapters.objects import HttpObjectStore
from bergamotshore.adapters.rowwrites import build_write, decode_row, write_rows
from bergamotshore.adapters.table import HttpTable
from bergamotshore.adapters.worker import HttpWorker
from bergamotshore.entry.wsgi import HttpServer
from bergamotshore.exceptions import (
    Conflict,
    EndpointAnswerLost,
    EndpointNotReached,
    ObjectMissing,
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
    WorkerFailure,
)
from bergamotshore.generated.messages import AttemptId, RunRequest, TaskSpec
from bergamotshore.generated.rows import GateRow
from bergamotshore.ports.table import Check, TableRow, Write
from standins.endpoint import EndpointStandIn
from standins.objects import ObjectStandIn
from standins.serving import Fault
from standins.table import TableStandIn
from standins.worker import WorkerStandIn
from tests.fakes import FakeTable

TIMEOUT = 5.0
LARGEST_BODY = 1 << 20
FAR_FUTURE = 1e12
REQUEST = RunRequest(
    request_id="r1",
    service="s",
    method="POST",
    path="/x",
    body=b'{"id": "c1"}',
    remaining=1.0,
    repeatable=True,
)


@pytest.fixture
def serve():
    """Return a function that serves a WSGI application and gives its address."""
    servers = []

    def start(app):
        server = HttpServer(app, ("127.0.0.1", 0), 4, LARGEST_BODY)
        thread = threading.Thread(target=server.run)
        thread.start()
        servers.append((server, thread))
        return f"127.0.0.1:{server.port}"

    yield start
    for server, thread in servers:
        server.stop()
        thread.join()


class FaultyTable:
    """A table with a switch for its next answers."""

    def __init__(self, table, set_fault):
        self.table = table
        self.set_fault = set_fault


@pytest.fixture(params=["fake", "http"])
def faulty(request, serve):
    if request.param == "fake":
        fake = FakeTable()

        def set_fault(mode):
            fake.is_down = mode == "down"
            fake.faults = ["lost"] if mode == "lost" else []

        return FaultyTable(fake, set_fault)
    app = TableStandIn()

    def switch(mode):
        app.fault = Fault(mode)

    return FaultyTable(HttpTable(serve(app), TIMEOUT), switch)


def test_table_reads_absent_rows_as_version_zero(faulty):
    assert faulty.table.get(["a"]) == Success({"a": TableRow("a", 0, b"")})


def test_table_writes_all_or_nothing(faulty):
    table = faulty.table
    assert isinstance(table.transact([], [Write("a", 0, b"1")]), Success)
    outcome = table.transact([], [Write("b", 0, b"1"), Write("a", 0, b"2")])
    assert isinstance(outcome, Failure)
    assert isinstance(outcome.failure(), Conflict)
    assert table.get(["b"]).unwrap()["b"].version == 0


def test_table_checks_rows_that_are_not_written(faulty):
    table = faulty.table
    version = table.transact([], [Write("gate", 0, b"1")]).unwrap()["gate"]
    good = table.transact([Check("gate", version)], [Write("x", 0, b"1")])
    bad = table.transact([Check("gate", version + 1)], [Write("y", 0, b"1")])
    assert isinstance(good, Success)
    assert bad == Failure(Conflict("gate", version))


def test_table_never_uses_a_version_twice(faulty):
    table = faulty.table
    first = table.transact([], [Write("a", 0, b"1")]).unwrap()["a"]
    table.transact([], [Write("a", first, None)])
    second = table.transact([], [Write("a", 0, b"1")]).unwrap()["a"]
    assert second > first


def test_table_scans_in_the_order_of_keys(faulty):
    table = faulty.table
    writes = [Write(key, 0, b"1") for key in ("p/b", "q/x", "p/a")]
    table.transact([], writes)
    assert [row.key for row in table.scan("p/").unwrap()] == ["p/a", "p/b"]


def test_table_that_is_down_has_written_nothing(faulty):
    faulty.set_fault("down")
    outcome = faulty.table.transact([], [Write("a", 0, b"1")])
    assert isinstance(outcome.failure(), PlatformUnavailable)
    assert isinstance(faulty.table.get(["a"]).failure(), PlatformUnavailable)
    faulty.set_fault("none")
    assert faulty.table.get(["a"]).unwrap()["a"].version == 0


def test_table_whose_answer_is_lost_has_written(faulty):
    faulty.set_fault("lost")
    outcome = faulty.table.transact([], [Write("a", 0, b"1")])
    assert isinstance(outcome.failure(), PlatformUncertain)
    faulty.set_fault("none")
    assert faulty.table.get(["a"]).unwrap()["a"].version > 0


def build_gate(operation, is_open=True):
    return GateRow(zone="z", is_open=is_open, operation=operation)


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        (["none"], Success),
        (["lost"], Success),
        (["cut"], Success),
        (["cut", "lost"], Success),
        (["lost", "cut"], Success),
        (["down"], PlatformUnavailable),
        (["cut", "down"], PlatformUncertain),
        (["cut", "cut", "cut"], PlatformUncertain),
    ],
)
def test_lost_answers_are_settled_by_asking_again(table, faults, expected):
    table.faults = list(faults)
    writes = [build_write("gate/z", 0, build_gate("op-1"))]
    outcome = write_rows(table, "op-1", [], writes)
    kind = Success if isinstance(outcome, Success) else type(outcome.failure())
    assert kind is expected
    assert table.transactions <= 1


def test_a_lost_race_is_a_conflict_even_after_a_lost_answer(table):
    table.transact([], [build_write("gate/z", 0, build_gate("other"))])
    table.faults = ["cut"]
    writes = [build_write("gate/z", 0, build_gate("mine"))]
    assert isinstance(write_rows(table, "mine", [], writes).failure(), Conflict)


@pytest.mark.parametrize("value", [b"{", b"[]", b'{"zone": 5, "is_open": true}'])
def test_rows_that_can_not_be_read_give_a_typed_failure(value):
    outcome = decode_row(TableRow("gate/z", 1, value), GateRow)
    assert isinstance(outcome.failure(), PlatformAnswerInvalid)


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"rows": [{"key": "a"}]}'])
def test_table_answers_that_can_not_be_read_give_a_typed_failure(serve, body):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    table = HttpTable(serve(answer), TIMEOUT)
    assert isinstance(table.get(["a"]).failure(), PlatformAnswerInvalid)
    outcome = table.transact([], [Write("a", 0, b"1")])
    assert isinstance(outcome.failure(), PlatformAnswerInvalid)


def test_an_unreachable_table_is_unavailable():
    table = HttpTable("127.0.0.1:1", TIMEOUT)
    assert isinstance(table.transact([], []).failure(), PlatformUnavailable)


def test_objects_are_read_as_written(serve):
    app = ObjectStandIn()
    store = HttpObjectStore(serve(app), TIMEOUT)
    assert store.get("a/b") == Failure(ObjectMissing("a/b"))
    assert store.put("a/b", b"content") == Success(None)
    assert store.get("a/b") == Success(b"content")
    app.fault = Fault("down")
    assert isinstance(store.put("c", b"x").failure(), PlatformUnavailable)
    app.fault = Fault("lost")
    assert isinstance(store.put("c", b"x").failure(), PlatformUncertain)
    app.fault = Fault("partial")
    assert isinstance(store.get("a/b").failure(), PlatformUnavailable)


@pytest.mark.parametrize("mode", ["lost", "partial"])
def test_an_endpoint_answer_that_is_cut_is_lost(serve, mode):
    app = EndpointStandIn("s", 2, 4)
    endpoint = HttpEndpoint(serve(app), TIMEOUT)
    assert endpoint.run(REQUEST, TIMEOUT).unwrap().status == 200
    app.fault = Fault(mode)
    assert isinstance(endpoint.run(REQUEST, TIMEOUT).failure(), EndpointAnswerLost)


def test_an_endpoint_that_is_gone_was_not_reached():
    endpoint = HttpEndpoint("127.0.0.1:1", TIMEOUT)
    assert isinstance(endpoint.run(REQUEST, TIMEOUT).failure(), EndpointNotReached)
    assert isinstance(endpoint.get_status().failure(), EndpointNotReached)


def test_an_endpoint_announces_itself(serve):
    endpoint = HttpEndpoint(serve(EndpointStandIn("books", 2, 4)), TIMEOUT)
    status = endpoint.get_status().unwrap()
    assert (status.service, status.slots, status.leaving) == ("books", 2, False)


@pytest.fixture
def worker(serve):
    objects = HttpObjectStore(serve(ObjectStandIn()), TIMEOUT)
    return HttpWorker(serve(WorkerStandIn(objects, 4.0, 8.0, 60.0)), TIMEOUT)


ATTEMPT = AttemptId(job="t/j", index=0, attempt=1)
WATCH = TaskSpec(command=["watch"])


def list_states(worker):
    return [task.state for task in worker.get_status().unwrap().tasks]


def test_a_worker_lists_what_runs_until_it_is_forgotten(worker):
    assert isinstance(worker.start(ATTEMPT, WATCH, "", FAR_FUTURE), Success)
    assert list_states(worker) == ["running"]
    stopped = worker.stop(ATTEMPT, True).unwrap()
    assert stopped.state == "stopped"
    assert stopped.checkpoint
    assert list_states(worker) == ["stopped"]
    worker.forget(ATTEMPT)
    assert list_states(worker) == []


def test_a_worker_starts_an_attempt_once(worker):
    worker.start(ATTEMPT, WATCH, "", FAR_FUTURE)
    failure = worker.start(ATTEMPT, WATCH, "", FAR_FUTURE).failure()
    assert failure.is_certain


def test_a_stop_that_arrives_first_forbids_the_start(worker):
    worker.stop(ATTEMPT, False)
    assert isinstance(
        worker.start(ATTEMPT, WATCH, "", FAR_FUTURE).failure(), WorkerFailure
    )


def test_a_worker_that_is_gone_took_nothing():
    worker = HttpWorker("127.0.0.1:1", TIMEOUT)
    assert worker.start(ATTEMPT, WATCH, "", FAR_FUTURE).failure().is_certain
