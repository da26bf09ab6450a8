"""Workers of the soak over HTTP, as their nodes see them."""

import threading
import time
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.platform.runner import PlatformRunner
from bergamotshore.ports.clock import SystemClock
from bergamotshore.ports.runner import RunOrder
from soak.proxy import FaultProxy
from soak.servers import HOST, LONGEST_TASK_SECONDS, WorkerServer
from soak.site import PORTS
from standins.ledger import Ledger
from standins.site import SERVICE

CRASH_SECONDS = 0.5
SETTLE_SECONDS = 0.2
CALL_SECONDS = 1.0
MARGIN_SECONDS = 0.01
POLL_SECONDS = 0.02
HANG_SECONDS = 30.0


def build_worker(clock):
    ledger = Ledger()
    steps = (Step(tasks=2, cpu=100, memory=100),)
    ledger.record_job(JobSpec("queue", "job1", SERVICE, "", steps))
    server = WorkerServer(
        clock, "worker-0", "zone", ledger, threading.RLock(), "127.0.0.1:1", "0"
    )
    server.runner.crash_seconds = CRASH_SECONDS
    # On a busy machine, some time passes before the worker has its node.
    time.sleep(SETTLE_SECONDS)
    server.program = SimpleNamespace(is_paused=False)
    server.proxy = FaultProxy((HOST, server.port), 0, PORTS.allocate(1)[0])
    server.start()
    return server


@pytest.fixture
def worker():
    server = build_worker(SystemClock())
    yield server
    server.close()
    server.proxy.close()


@pytest.fixture
def paced_worker(clock):
    """Return a worker for which time passes only when the test advances the clock."""
    server = build_worker(clock)
    yield server
    server.close()
    server.proxy.close()


def call(worker, runner, task):
    """Send an order to start a task to the present incarnation."""
    lease_end_ms = worker.runner.clock_ms + 5000
    order, incarnation = RunOrder(task, 1, "", "", ""), worker.runner.incarnation
    return runner.confirm(incarnation.started_ms, 1).bind(
        lambda _: runner.start(order, lease_end_ms, 1, incarnation)
    )


def is_refused(outcome):
    """Return whether the connection was refused."""
    return isinstance(outcome, Failure) and outcome.failure().is_certain


def wait_until(condition):
    """Wait for the threads of a worker, for as long as a busy machine may need."""
    deadline = time.monotonic() + HANG_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_SECONDS)


# Guards against a crash that looks like a slow answer, or a worker that returns before
# or after its time: nodes would not be tested on how they detect crashes.
@pytest.mark.parametrize("delay", [0.0, 0.1])
def test_crashed_worker_refuses_connections_and_returns_at_its_address(
    paced_worker, clock, delay
):
    worker = paced_worker
    worker.runner.ledger.record_crashing("job1.0.0.0", delay)
    runner = PlatformRunner(worker.proxy.address, CALL_SECONDS)
    born = worker.runner.born
    outcome = call(worker, runner, "job1.0.0.0")
    assert isinstance(outcome, Success if delay else Failure)
    assert not is_refused(outcome)
    clock.advance(delay)
    wait_until(lambda: worker.runner.is_down)
    wait_until(lambda: is_refused(call(worker, runner, "job1.0.0.1")))
    clock.advance(CRASH_SECONDS - MARGIN_SECONDS)
    time.sleep(SETTLE_SECONDS)
    assert is_refused(call(worker, runner, "job1.0.0.1"))
    clock.advance(MARGIN_SECONDS)
    wait_until(lambda: isinstance(call(worker, runner, "job1.0.0.1"), Success))
    assert worker.runner.born > born
    assert worker.runner.ledger.problems == []


def test_restarted_worker_answers_at_once(worker):
    runner = PlatformRunner(worker.proxy.address, CALL_SECONDS)
    assert isinstance(call(worker, runner, "job1.0.0.0"), Success)
    worker.restart()
    assert isinstance(call(worker, runner, "job1.0.0.1"), Success)
    assert list(worker.runner.run_by_task) == ["job1.0.0.1"]


# Guards against a worker whose tasks never end, since its thread met no node at first.
def test_tasks_end_although_the_node_is_added_later(worker):
    runner = PlatformRunner(worker.proxy.address, CALL_SECONDS)
    assert isinstance(call(worker, runner, "job1.0.0.0"), Success)
    time.sleep(LONGEST_TASK_SECONDS + SETTLE_SECONDS)
    assert worker.runner.run_by_task == {}
