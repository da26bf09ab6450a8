"""Clients that keep connections, over connections that go silent and stay open."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest
from returns.result import Success

from bergamotshore.adapters.http import HttpClient
from bergamotshore.adapters.rowwrites import write_rows
from bergamotshore.adapters.table import HttpTable
from bergamotshore.adapters.worker import HttpWorker
from bergamotshore.entry.jobrows import JobRows
from bergamotshore.entry.relay import RelayedClient
from bergamotshore.entry.submissions import DEADLINE_SHARE, DEFAULT_DEADLINE_SECONDS
from bergamotshore.metrics.registry import Registry
from bergamotshore.platform.advice import AdviceClient
from bergamotshore.platform.machines import PlatformMachines
from bergamotshore.platform.runner import PlatformRunner
from bergamotshore.platform.store import PlatformRowStore
from bergamotshore.ports.clock import SystemClock
from bergamotshore.ports.rows import Put, RowId
from bergamotshore.ports.runner import Acknowledgement
from bergamotshore.utils.eventlog import EventLog
from tests.adapters.servers import SilencingServer

TIMEOUT_SECONDS = 0.5
# Wait of a long poll, which is part of the time stated for it.
WAIT_SECONDS = 0.1
SLACK_SECONDS = 0.3
THREADS = 3
ANSWERS = {
    "ver": 1,
    "rows": [],
    "versions": {},
    "clock_ms": 1,
    "born": 1,
    "allowed": [],
    "machines": [],
}


class NoPeer:
    """Relay without peers."""

    def has_peer(self):
        """Return False."""
        return False


@dataclass(frozen=True)
class Clients:
    """All clients of one server.

    :param address: Address of the server.
    """

    address: str

    def build_store(self):
        clock, registry = SystemClock(), Registry()
        log = EventLog(clock, emit=lambda line: None)
        direct = HttpClient(self.address, TIMEOUT_SECONDS)
        client = RelayedClient(direct, NoPeer(), TIMEOUT_SECONDS, clock, registry, log)
        return PlatformRowStore(client, registry, log)

    def build_runner(self):
        return PlatformRunner(self.address, TIMEOUT_SECONDS)

    def build_table(self):
        return HttpTable(self.address, TIMEOUT_SECONDS)

    def build_worker(self):
        return HttpWorker(self.address, TIMEOUT_SECONDS)

    def build_advice(self):
        return AdviceClient(self.address, TIMEOUT_SECONDS)

    def build_machines(self):
        return PlatformMachines(HttpClient(self.address, TIMEOUT_SECONDS))


ACKNOWLEDGEMENT = Acknowledgement(0, 0)
PUT = Put(RowId("jobs", "p0", "a"), b"1")
CALL_BY_NAME = {
    "store-read": ("build_store", lambda store: store.read("jobs", "p0")),
    "store-write": ("build_store", lambda store: store.transact([], [PUT], [])),
    "store-feed": (
        "build_store",
        lambda store: store.follow("jobs", 1, WAIT_SECONDS, TIMEOUT_SECONDS),
    ),
    "runner-lease": (
        "build_runner",
        lambda runner: runner.renew_lease(
            1, 1, ACKNOWLEDGEMENT, int(1000 * WAIT_SECONDS)
        ),
    ),
    "runner-stop": ("build_runner", lambda runner: runner.stop("t", 1, 1)),
    "runner-pace": ("build_runner", lambda runner: runner.throttle("t", 1, 50, 1)),
    "table-get": ("build_table", lambda table: table.get([])),
    "table-scan": ("build_table", lambda table: table.scan("a")),
    "table-write": ("build_table", lambda table: table.transact([], [])),
    "worker-lease": ("build_worker", lambda worker: worker.renew(1.0)),
    "advice": ("build_advice", lambda advice: advice.ask("step", [])),
    "machines-list": ("build_machines", lambda machines: machines.list_machines()),
    "machines-order": (
        "build_machines",
        lambda machines: machines.order_maintenance("vm", 1, "entry", 1),
    ),
}

READ_BY_NAME = {
    "state": lambda rows, deadline: rows.get_state("queue", "job", deadline),
    "counts": lambda rows, deadline: rows.get_waiting_counts(deadline),
}


@pytest.fixture
def server():
    server = SilencingServer(lambda request: ANSWERS)
    yield server
    server.close()


def time_call(call, client):
    """Return the outcome of a call and how long it took, in seconds."""
    started_at = time.monotonic()
    outcome = call(client)
    return outcome, time.monotonic() - started_at


def call_in_each_thread(threads, call, client):
    barrier = threading.Barrier(THREADS)

    def run(_):
        barrier.wait()
        return time_call(call, client)

    return list(threads.map(run, range(THREADS)))


# Guards against a client that pays more than one timeout after its connections have
# gone silent, or pays again in another thread, or when that happens a second time.
@pytest.mark.parametrize("name", CALL_BY_NAME)
def test_only_one_call_of_a_client_waits_on_silent_connections(server, name):
    build, call = CALL_BY_NAME[name]
    client = getattr(Clients(server.address), build)()
    with ThreadPoolExecutor(THREADS) as threads:
        for _ in range(2):
            assert isinstance(call(client), Success)
            call_in_each_thread(threads, call, client)
            server.silence_connections()
            _, seconds = time_call(call, client)
            assert seconds < TIMEOUT_SECONDS + WAIT_SECONDS + SLACK_SECONDS
            outcomes = call_in_each_thread(threads, call, client)
            outcomes.append(time_call(call, client))
            assert all(isinstance(outcome, Success) for outcome, _ in outcomes)
            assert max(seconds for _, seconds in outcomes) < TIMEOUT_SECONDS


# Guards against reads of the product's own interface that fail when a connection has
# gone silent, though the table answers on new ones.
@pytest.mark.parametrize("name", ["table-get", "table-scan"])
def test_read_of_the_table_survives_a_silent_connection(server, name):
    build, call = CALL_BY_NAME[name]
    table = getattr(Clients(server.address), build)()
    assert isinstance(call(table), Success)
    server.silence_connections()
    outcome, seconds = time_call(call, table)
    assert isinstance(outcome, Success)
    assert seconds < TIMEOUT_SECONDS + SLACK_SECONDS


# Guards against refusing the state or number of jobs to a caller because one read of
# the store got no answer, also on a new connection, while there is time for another.
@pytest.mark.parametrize("has_connection", [False, True])
@pytest.mark.parametrize("unanswered", [1, 2])
@pytest.mark.parametrize("name", READ_BY_NAME)
def test_read_for_a_caller_survives_calls_without_an_answer(
    server, name, unanswered, has_connection
):
    clock = SystemClock()
    store = Clients(server.address).build_store()
    rows = JobRows(store, clock, time.sleep)
    if has_connection:
        assert isinstance(CALL_BY_NAME["store-read"][1](store), Success)
    server.unanswered = unanswered
    deadline = clock.now() + DEADLINE_SHARE * DEFAULT_DEADLINE_SECONDS
    assert isinstance(READ_BY_NAME[name](rows, deadline), Success)
    assert clock.now() < deadline


# Guards against a write of the product's own interface that spends the timeout of
# several calls.
def test_write_to_the_table_survives_a_silent_connection(server):
    table = Clients(server.address).build_table()
    assert isinstance(table.get([]), Success)
    server.silence_connections()
    outcome, seconds = time_call(lambda table: write_rows(table, "a", [], []), table)
    assert isinstance(outcome, Success)
    assert seconds < TIMEOUT_SECONDS + SLACK_SECONDS
