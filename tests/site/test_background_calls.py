"""Unexpected errors of calls in the background leave nothing waiting for ever."""

from concurrent.futures import Future

import pytest
from returns.result import Success

from bergamotshore.core.work.advice import AdviceQuery
from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.site import Wave
from bergamotshore.entry.advice import AdviceRequester
from bergamotshore.entry.jobrows import COUNTS_ROW
from bergamotshore.entry.latestrow import RETRY_SECONDS, LatestRow
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn


class QuietExecutor:
    """Executor that keeps the exception of a call in its future."""

    @staticmethod
    def submit(function, *arguments):
        future = Future()
        try:
            future.set_result(function(*arguments))
        except Exception as error:
            future.set_exception(error)
        return future

    @staticmethod
    def map(function, values):
        return [function(value) for value in values]


def fail_once(function):
    """Return a function that raises an exception the first time that it is called."""
    errors = [ValueError("unexpected")]

    def call(*arguments, **options):
        if errors:
            raise errors.pop()
        return function(*arguments, **options)

    return call


@pytest.fixture
def log(clock):
    return EventLog(clock, emit=lambda line: None)


# Guards against a partition of the jobs that is never written again.
def test_a_write_with_an_unexpected_error_is_repeated(simulation):
    simulation.allows_errors = True
    dispatcher = simulation.leader.dispatcher
    dispatcher.executor = QuietExecutor()
    dispatcher.store.transact = fail_once(dispatcher.store.transact)
    for number in range(4):
        simulation.submit(f"job{number}")
    simulation.advance(2.0)
    assert len(simulation.running) == 8
    assert any("event=background-error" in line for line in simulation.lines)


# Guards against a row, such as that of the queue backlogs, that is never written again.
def test_a_row_is_written_after_an_unexpected_error(clock, log):
    store = RowsStandIn()
    row = LatestRow(store, COUNTS_ROW, QuietExecutor(), clock, log)
    store.transact = fail_once(store.transact)
    for _ in range(2):
        row.put(b"value")
        row.step()
        clock.advance(2 * RETRY_SECONDS)
    assert store.row_by_id[COUNTS_ROW].value == b"value"


# Guards against a step that never asks the advice service again.
def test_an_unexpected_error_of_the_advice_service_is_a_failure(clock, log):
    class Advisor:
        ask = staticmethod(fail_once(lambda name, workers: Success(({}, 1.0))))

    received = []
    requester = AdviceRequester(Advisor, QuietExecutor(), received.append, clock, log)
    requester.ask(ClusterState(lambda name: None), AdviceQuery("s", "j.0.0", {}), 1, 0)
    assert len(received) == 1
    requester.handle_answer(ClusterState(lambda name: None), received[0])


# Guards against a wave that never goes on.
def test_a_wave_goes_on_after_an_unexpected_error_of_the_vm_service(simulation):
    simulation.allows_errors = True
    dispatcher = simulation.leader.dispatcher
    dispatcher.maintenance._calls = QuietExecutor()
    machines = dispatcher.maintenance._machines
    machines.list_machines = fail_once(machines.list_machines)
    wave = Wave(1, tuple(machines.vm_by_name), 40.0, 1)
    machines.machines_by_wave[1] = set(wave.machines)
    for entry in simulation.entry_by_name.values():
        entry.follower.state.wave_by_number[1] = wave
    simulation.advance(8.0)
    assert machines.done
