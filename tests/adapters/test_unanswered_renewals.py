"""Renewals of a worker's lease that get no answer, one after another."""

import itertools
import json

import pytest
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.platform.runner import PlatformRunner
from tests.site.onenode import build_run_manager, order_start

FORMER_MS, CURRENT_MS = 1_000, 2_000
# Time after a fault in which the processes have to be in touch again, in seconds.
CONTACT_SECONDS = 3.0


class Connection:
    """Connection to a worker that leaves calls unanswered by a pattern.

    :param clock: Clock that passes while a call is outstanding.
    :param is_answered: Iterator of whether the next call is answered.
    """

    def __init__(self, clock, is_answered):
        self.started_ms = FORMER_MS
        self.is_answered = is_answered
        self._clock = clock
        self._number = 1

    def call(self, method, path, body, headers, timeout, connection=None):
        """Answer a call, or let it take its whole timeout."""
        if connection not in (None, self._number):
            return Failure(HttpFailure("replaced", was_sent=False))
        if not next(self.is_answered):
            self._clock.advance(timeout)
            self._number += 1
            return Failure(HttpFailure("timed out", was_sent=True))
        self._clock.advance(0.01)
        listing = {"clock_ms": 1, "born": self.started_ms, "running": []}
        return Success(HttpAnswer(200, "", json.dumps(listing).encode(), self._number))

    def is_open(self, number):
        """Return whether a connection is the present one."""
        return number == self._number

    def restart(self):
        """Begin the next life of the worker."""
        self.started_ms = CURRENT_MS
        self._number += 1


@pytest.fixture
def connection(clock):
    """Return a connection on which each call is answered."""
    return Connection(clock, itertools.repeat(True))


@pytest.fixture
def run_manager(clock, connection, results):
    """Return a ``RunManager`` whose worker has answered."""
    runner = PlatformRunner("127.0.0.1:1", timeout=1.5)
    runner._client = connection
    return build_run_manager(clock, runner, results)


@pytest.fixture
def results():
    """Return the list of the outcomes of orders."""
    return []


def renew_until(run_manager, clock, is_reached):
    """Renew the lease until a state is reached.

    :returns: Time that it took, in seconds.
    """
    began = clock.now()
    while not is_reached():
        clock.advance(run_manager.hold())
    return clock.now() - began


# Guards against a life of a worker that takes no orders, and knows no fence against
# those to the life before, for as long as contact may be lost: each renewal without an
# answer was waited for as long as for any other call.
def test_next_life_is_fenced_in_time_while_every_second_renewal_gets_no_answer(
    run_manager, connection, clock
):
    connection.is_answered = itertools.cycle([False, True])
    connection.restart()
    seconds = renew_until(
        run_manager,
        clock,
        lambda: run_manager.incarnation == CURRENT_MS and run_manager.is_answering,
    )
    assert seconds < CONTACT_SECONDS


# Guards against a lease that isn't extended while renewals get no answer for a moment.
def test_lease_is_extended_again_after_three_renewals_without_an_answer(
    run_manager, connection, clock
):
    connection.is_answered = itertools.chain([False] * 3, itertools.repeat(True))
    run_manager.hold()
    seconds = renew_until(run_manager, clock, lambda: run_manager.is_answering)
    assert seconds < CONTACT_SECONDS
    assert run_manager._lease.extend(clock.now()).end_ms is not None


# Guards against orders in doubt where the worker only takes longer for its answer.
def test_order_to_start_may_take_longer_than_a_renewal(
    run_manager, connection, clock, results
):
    start = order_start(run_manager)
    call, timeouts = connection.call, []

    def record_timeout(method, path, body, headers, timeout, connection=None):
        timeouts.append((path, timeout))
        return call(method, path, body, headers, timeout, connection)

    connection.call = record_timeout
    start()
    assert ("/run-start", 1.5) in timeouts
    assert results == [("job.0.0.0", 1, "started")]
