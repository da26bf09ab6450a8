"""Tests of the worker client against a worker that restarts at the same address."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from returns.result import Failure, Success

from bergamotshore.node.site import STOP_THREADS
from bergamotshore.platform.runner import PlatformRunner
from bergamotshore.ports.runner import Acknowledgement, ListedRun
from tests.adapters.servers import SilencingServer

TIMEOUT_SECONDS = 2.0
SHORT_TIMEOUT_SECONDS = 0.4
FORMER_MS = 1_000
CURRENT_MS = 2_000


class Worker(SilencingServer):
    """Worker that records the acknowledgements sent to each of its incarnations."""

    def __init__(self):
        self.started_ms = FORMER_MS
        self.acknowledged_by_incarnation = {FORMER_MS: [], CURRENT_MS: []}
        self.running = []
        super().__init__(self.build_listing)

    def build_listing(self, request):
        """Return the listing that answers each call."""
        order = json.loads(request)
        if "ack_cursor" in order:
            acknowledged = self.acknowledged_by_incarnation[self.started_ms]
            acknowledged.append(order["ack_cursor"])
        return {
            "clock_ms": 1,
            "born": self.started_ms,
            "running": self.running,
            "finished": [],
        }

    def restart(self):
        """Start a new incarnation; the connections to the former one end."""
        self.started_ms = CURRENT_MS
        self.end_connections()


@pytest.fixture
def worker():
    server = Worker()
    yield server
    server.close()


@pytest.fixture
def runner(worker):
    return PlatformRunner(worker.address, TIMEOUT_SECONDS)


def renew(runner, acknowledgement):
    return runner.renew_lease(None, 1, acknowledgement, 0)


def test_acknowledgement_is_sent_once_its_incarnation_has_answered(runner, worker):
    for _ in range(2):
        assert isinstance(renew(runner, Acknowledgement(FORMER_MS, 7)), Success)
    assert worker.acknowledged_by_incarnation[FORMER_MS] == [0, 7]


# Guards against running a completed task again: a restarted worker numbers its
# completions from 1, so the number of a completion of its former incarnation would
# acknowledge one that nobody has seen.
def test_restarted_worker_receives_no_acknowledgement_of_its_former_incarnation(
    runner, worker
):
    acknowledgement = Acknowledgement(FORMER_MS, 7)
    renew(runner, acknowledgement)
    worker.restart()
    outcomes = [renew(runner, acknowledgement) for _ in range(3)]
    assert isinstance(outcomes[-1], Success)
    assert set(worker.acknowledged_by_incarnation[CURRENT_MS]) == {0}


def stop_in_each_thread(threads, runner):
    """Stop a run in every thread of a pool at once, and return the outcomes."""
    barrier = threading.Barrier(STOP_THREADS)

    def stop(index):
        barrier.wait()
        return runner.stop(f"job.0.0.{index}", 1, 1)

    return list(threads.map(stop, range(STOP_THREADS)))


# Guards against a cancelled task that runs on because each thread that sends stops
# waits for an answer on an idle connection that went silent long before.
def test_stops_reach_a_worker_whose_former_connections_are_silent(worker):
    runner = PlatformRunner(worker.address, SHORT_TIMEOUT_SECONDS)
    with ThreadPoolExecutor(STOP_THREADS) as threads:
        assert isinstance(renew(runner, Acknowledgement()), Success)
        stop_in_each_thread(threads, runner)
        worker.silence_connections()
        assert isinstance(renew(runner, Acknowledgement()), Failure)
        assert isinstance(renew(runner, Acknowledgement()), Success)
        started_at = time.monotonic()
        outcomes = stop_in_each_thread(threads, runner)
    assert all(isinstance(outcome, Success) for outcome in outcomes)
    assert time.monotonic() - started_at < SHORT_TIMEOUT_SECONDS


def test_worker_that_is_gone_is_reported_as_not_reached(runner, worker):
    renew(runner, Acknowledgement())
    worker.stop_listening()
    worker.end_connections()
    renew(runner, Acknowledgement(FORMER_MS, 1))
    match renew(runner, Acknowledgement(FORMER_MS, 1)):
        case Failure(failure):
            assert failure.is_certain and failure.is_refused
        case _:
            pytest.fail("a worker that is gone cannot answer")


TASK = "0123456789abcdef.0.1.17"


@pytest.mark.parametrize(
    ("row", "listed"),
    [
        ([TASK, 1, "c", 41], ListedRun(TASK, 1, "c", 41, 0.0)),
        ([TASK, 1, None, 41.0, 2500], ListedRun(TASK, 1, "", 41, 2500.0)),
        ([TASK, 1, "", 41, None, "more"], ListedRun(TASK, 1, "", 41, 0.0)),
    ],
)
def test_row_of_a_listing_is_decoded(runner, worker, row, listed):
    worker.running = [row]
    assert renew(runner, Acknowledgement()).unwrap().running == [listed]


# Guards against a node that ends by one row that its worker lists.
@pytest.mark.parametrize(
    "row",
    [
        [],
        [TASK],
        [TASK, "one", "", 41],
        [TASK, 1, "", None],
        [TASK, 1, "", 41, "much"],
        [TASK, 1, ["c"], 41],
        [TASK, -1, "", 41],
        [TASK, 2**70, "", 41],
        {"task": TASK},
        None,
    ],
)
def test_odd_row_of_a_listing_is_a_failure_of_the_worker(runner, worker, row):
    worker.running = [row]
    assert not renew(runner, Acknowledgement()).failure().is_certain


# Guards against waiting for a call without an answer to learn that a worker has ended.
def test_connections_are_refused_once_nothing_listens_at_the_address(worker, runner):
    assert not runner.is_refusing()
    worker.silence_connections()
    assert not runner.is_refusing()
    worker.stop_listening()
    assert runner.is_refusing()
