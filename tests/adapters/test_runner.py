"""Tests of the worker client against a worker that restarts at the same address."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from returns.result import Failure, Success

from bergamotshore.node.site import STOP_THREADS
from bergamotshore.platform.runner import PlatformRunner
from bergamotshore.ports.runner import (
    Acknowledgement,
    ListedRun,
    RunOrder,
    RunRejected,
    WorkerIncarnation,
)
from tests.adapters.servers import SilencingServer

TIMEOUT_SECONDS = 2.0
SHORT_TIMEOUT_SECONDS = 0.4
FORMER_MS = 1_000
CURRENT_MS = 2_000
LEASE_END_MS = 900_000
ORDER = RunOrder("0123456789abcdef.0.1.17", 1, "payload")


class Worker(SilencingServer):
    """Worker that records the calls to each of its incarnations."""

    def __init__(self):
        self.started_ms = FORMER_MS
        self.acknowledged_by_incarnation = {FORMER_MS: [], CURRENT_MS: []}
        self.lease_ends_by_incarnation = {FORMER_MS: [], CURRENT_MS: []}
        self.running = []
        super().__init__(self.build_listing)

    def build_listing(self, request):
        """Return the listing that answers each call."""
        order = json.loads(request)
        if "ack_cursor" in order:
            acknowledged = self.acknowledged_by_incarnation[self.started_ms]
            acknowledged.append(order["ack_cursor"])
        if "until_ms" in order:
            lease_ends = self.lease_ends_by_incarnation[self.started_ms]
            lease_ends.append(order["until_ms"])
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


# Guards against running a completed task again: a restarted worker took a lease end by
# the clock of its former incarnation for a time far ahead, so that its lease lasted for
# longer than its node and the scheduling entry waited after losing it.
def test_restarted_worker_receives_no_lease_end_of_its_former_incarnation(
    runner, worker
):
    for _ in range(2):
        runner.renew_lease(LEASE_END_MS, 1, Acknowledgement(FORMER_MS), 0)
    assert worker.lease_ends_by_incarnation[FORMER_MS] == [LEASE_END_MS]
    worker.restart()
    outcomes = [
        runner.renew_lease(LEASE_END_MS, 1, Acknowledgement(FORMER_MS), 0)
        for _ in range(3)
    ]
    assert isinstance(outcomes[-1], Success)
    assert worker.lease_ends_by_incarnation[CURRENT_MS] == []


# Guards against the same by an order to start a run, which carries a lease end as well,
# and against a run on a worker that has come back with another size or kind.
@pytest.mark.parametrize("is_confirmed_before", [True, False])
def test_restarted_worker_receives_no_start_for_its_former_incarnation(
    runner, worker, is_confirmed_before
):
    incarnation = WorkerIncarnation("worker", FORMER_MS)
    if is_confirmed_before:
        assert runner.confirm(FORMER_MS, 1) == Success(None)
    worker.restart()
    outcomes = [runner.start(ORDER, LEASE_END_MS, 1, incarnation) for _ in range(2)]
    assert all(outcome.failure().is_certain for outcome in outcomes)
    # A call on a connection that has ended may fail without an answer.
    runner.confirm(FORMER_MS, 1)
    assert runner.confirm(FORMER_MS, 1) == Failure(RunRejected("other-life"))
    assert runner.start(ORDER, LEASE_END_MS, 1, incarnation).failure().is_certain
    assert worker.lease_ends_by_incarnation[CURRENT_MS] == []


def test_start_is_sent_to_a_confirmed_incarnation(runner, worker):
    incarnation = WorkerIncarnation("worker", FORMER_MS)
    assert runner.confirm(FORMER_MS, 1) == Success(None)
    assert isinstance(runner.start(ORDER, LEASE_END_MS, 1, incarnation), Success)
    assert worker.lease_ends_by_incarnation[FORMER_MS] == [LEASE_END_MS]


# Connections belong to threads: what one has been told proves nothing to another.
def test_each_thread_confirms_the_incarnation_by_itself(runner, worker):
    runner.confirm(FORMER_MS, 1)
    with ThreadPoolExecutor(1) as threads:
        assert not threads.submit(runner.is_confirmed, FORMER_MS).result()
    assert runner.is_confirmed(FORMER_MS)


# Guards against a start that takes what another thread was told for its own.
def test_connection_is_not_confirmed_by_an_answer_on_another_one(runner, worker):
    renew(runner, Acknowledgement())
    incarnation = WorkerIncarnation("worker", FORMER_MS)
    with ThreadPoolExecutor(1) as threads:
        threads.submit(runner.stop, "job.0.0.0", 1, 1).result()
        outcome = threads.submit(runner.start, ORDER, LEASE_END_MS, 1, incarnation)
    assert outcome.result().failure().is_certain
    assert worker.lease_ends_by_incarnation[FORMER_MS] == []


# Guards against starts that wait for the whole timeout of a question which would do no
# harm if it were carried out late.
def test_question_without_an_answer_is_soon_asked_again(runner, worker):
    worker.unanswered = 2
    started_at = time.monotonic()
    assert runner.confirm(FORMER_MS, 1) == Success(None)
    assert time.monotonic() - started_at < TIMEOUT_SECONDS


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
