"""Contract tests that run the same cases against every implementation of a port."""

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
DISTANT_LEASE_END = 1e12
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
    """Return a function that serves a WSGI application and returns its address."""
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


class TableUnderTest:
    """A table together with a function that sets the fault of its next answers."""

    def __init__(self, table, set_fault):
        self.table = table
        self.set_fault = set_fault


@pytest.fixture(params=["fake", "http"])
def table_under_test(request, serve):
    if request.param == "fake":
        fake = FakeTable()

        def set_fault(mode):
            fake.is_down = mode == "down"
            fake.faults = ["lost"] if mode == "lost" else []

        return TableUnderTest(fake, set_fault)
    app = TableStandIn()

    def set_http_fault(mode):
        app.fault = Fault(mode)

    return TableUnderTest(HttpTable(serve(app), TIMEOUT), set_http_fault)


def test_table_reads_absent_rows_as_version_zero(table_under_test):
    assert table_under_test.table.get(["a"]) == Success({"a": TableRow("a", 0, b"")})


def test_table_transaction_is_atomic(table_under_test):
    table = table_under_test.table
    assert isinstance(table.transact([], [Write("a", 0, b"1")]), Success)
    outcome = table.transact([], [Write("b", 0, b"1"), Write("a", 0, b"2")])
    assert isinstance(outcome, Failure)
    assert isinstance(outcome.failure(), Conflict)
    assert table.get(["b"]).unwrap()["b"].version == 0


def test_table_transaction_checks_rows_that_it_does_not_write(table_under_test):
    table = table_under_test.table
    version = table.transact([], [Write("gate", 0, b"1")]).unwrap()["gate"]
    succeeding = table.transact([Check("gate", version)], [Write("x", 0, b"1")])
    conflicting = table.transact([Check("gate", version + 1)], [Write("y", 0, b"1")])
    assert isinstance(succeeding, Success)
    assert conflicting == Failure(Conflict("gate", version))


def test_table_never_reuses_a_version(table_under_test):
    table = table_under_test.table
    first = table.transact([], [Write("a", 0, b"1")]).unwrap()["a"]
    table.transact([], [Write("a", first, None)])
    second = table.transact([], [Write("a", 0, b"1")]).unwrap()["a"]
    assert second > first


def test_table_scan_returns_rows_in_key_order(table_under_test):
    table = table_under_test.table
    writes = [Write(key, 0, b"1") for key in ("p/b", "q/x", "p/a")]
    table.transact([], writes)
    assert [row.key for row in table.scan("p/").unwrap()] == ["p/a", "p/b"]


def test_unavailable_table_has_written_nothing(table_under_test):
    table_under_test.set_fault("down")
    outcome = table_under_test.table.transact([], [Write("a", 0, b"1")])
    assert isinstance(outcome.failure(), PlatformUnavailable)
    assert isinstance(table_under_test.table.get(["a"]).failure(), PlatformUnavailable)
    table_under_test.set_fault("none")
    assert table_under_test.table.get(["a"]).unwrap()["a"].version == 0


def test_table_write_with_a_lost_answer_is_uncertain_and_applied(table_under_test):
    table_under_test.set_fault("lost")
    outcome = table_under_test.table.transact([], [Write("a", 0, b"1")])
    assert isinstance(outcome.failure(), PlatformUncertain)
    table_under_test.set_fault("none")
    assert table_under_test.table.get(["a"]).unwrap()["a"].version > 0


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
def test_lost_answers_are_resolved_by_retries(table, faults, expected):
    table.faults = list(faults)
    writes = [build_write("gate/z", 0, build_gate("op-1"))]
    outcome = write_rows(table, "op-1", [], writes)
    kind = Success if isinstance(outcome, Success) else type(outcome.failure())
    assert kind is expected
    assert table.transactions <= 1


def test_conflict_with_another_operation_is_reported_after_a_lost_answer(table):
    table.transact([], [build_write("gate/z", 0, build_gate("other"))])
    table.faults = ["cut"]
    writes = [build_write("gate/z", 0, build_gate("mine"))]
    assert isinstance(write_rows(table, "mine", [], writes).failure(), Conflict)


@pytest.mark.parametrize("value", [b"{", b"[]", b'{"zone": 5, "is_open": true}'])
def test_undecodable_row_gives_a_typed_failure(value):
    outcome = decode_row(TableRow("gate/z", 1, value), GateRow)
    assert isinstance(outcome.failure(), PlatformAnswerInvalid)


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"rows": [{"key": "a"}]}'])
def test_undecodable_table_answer_gives_a_typed_failure(serve, body):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    table = HttpTable(serve(answer), TIMEOUT)
    assert isinstance(table.get(["a"]).failure(), PlatformAnswerInvalid)
    outcome = table.transact([], [Write("a", 0, b"1")])
    assert isinstance(outcome.failure(), PlatformAnswerInvalid)


def test_unreachable_table_is_unavailable():
    table = HttpTable("127.0.0.1:1", TIMEOUT)
    assert isinstance(table.transact([], []).failure(), PlatformUnavailable)


def test_object_store_returns_written_content_and_typed_failures(serve):
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
def test_truncated_endpoint_answer_is_reported_as_lost(serve, mode):
    app = EndpointStandIn("s", 2, 4)
    endpoint = HttpEndpoint(serve(app), TIMEOUT)
    assert endpoint.run(REQUEST, TIMEOUT).unwrap().status == 200
    app.fault = Fault(mode)
    assert isinstance(endpoint.run(REQUEST, TIMEOUT).failure(), EndpointAnswerLost)


def test_unreachable_endpoint_is_reported_as_not_reached():
    endpoint = HttpEndpoint("127.0.0.1:1", TIMEOUT)
    assert isinstance(endpoint.run(REQUEST, TIMEOUT).failure(), EndpointNotReached)
    assert isinstance(endpoint.get_status().failure(), EndpointNotReached)


def test_endpoint_status_has_its_service_and_slots(serve):
    endpoint = HttpEndpoint(serve(EndpointStandIn("books", 2, 4)), TIMEOUT)
    status = endpoint.get_status().unwrap()
    assert (status.service, status.slots, status.leaving) == ("books", 2, False)


@pytest.fixture
def worker(serve):
    objects = HttpObjectStore(serve(ObjectStandIn()), TIMEOUT)
    return HttpWorker(serve(WorkerStandIn(objects, 4.0, 8.0, 60.0)), TIMEOUT)


ATTEMPT = AttemptId(job="t/j", index=0, attempt=1)
WATCH_SPEC = TaskSpec(command=["watch"])


def list_task_states(worker):
    return [task.state for task in worker.get_status().unwrap().tasks]


def test_worker_lists_an_attempt_until_it_is_forgotten(worker):
    assert isinstance(worker.start(ATTEMPT, WATCH_SPEC, "", DISTANT_LEASE_END), Success)
    assert list_task_states(worker) == ["running"]
    stopped = worker.stop(ATTEMPT, True).unwrap()
    assert stopped.state == "stopped"
    assert stopped.checkpoint
    assert list_task_states(worker) == ["stopped"]
    worker.forget(ATTEMPT)
    assert list_task_states(worker) == []


def test_worker_refuses_to_start_an_attempt_twice(worker):
    worker.start(ATTEMPT, WATCH_SPEC, "", DISTANT_LEASE_END)
    failure = worker.start(ATTEMPT, WATCH_SPEC, "", DISTANT_LEASE_END).failure()
    assert failure.is_certain


def test_worker_refuses_a_start_that_arrives_after_the_stop(worker):
    worker.stop(ATTEMPT, False)
    assert isinstance(
        worker.start(ATTEMPT, WATCH_SPEC, "", DISTANT_LEASE_END).failure(),
        WorkerFailure,
    )


def test_start_on_an_unreachable_worker_has_certainly_not_taken_effect():
    worker = HttpWorker("127.0.0.1:1", TIMEOUT)
    assert worker.start(ATTEMPT, WATCH_SPEC, "", DISTANT_LEASE_END).failure().is_certain
