"""Calls in the background that raise an error are made again."""

from dataclasses import replace
from unittest.mock import Mock

import pytest
from returns.result import Success

from bergamotshore.core.work.site import AdvicePolicy, SiteConfiguration, Wave
from bergamotshore.entry.jobrows import COUNTS_ROW
from bergamotshore.entry.latestrow import LatestRow
from bergamotshore.utils.eventlog import EventLog
from tests.fakes import ManualExecutor
from tests.site.simulation import InlineExecutor


@pytest.fixture
def dispatcher(simulation):
    return simulation.leader.dispatcher


# Guards against a row that is never written again, such as the number of waiting jobs.
def test_a_write_of_the_latest_value_that_raises_an_error_is_repeated(clock):
    store = Mock(transact=Mock(side_effect=[RuntimeError("odd"), Success(1)]))
    executor = ManualExecutor()
    log = EventLog(clock, emit=lambda line: None)
    row = LatestRow(store, COUNTS_ROW, executor, clock, log)
    row.put(b"1")
    for _ in range(2):
        row.step()
        executor.run_all()
        clock.advance(1.0)
    assert store.transact.call_count == 2


# Guards against a wave that stands still because one call about it raised an error.
def test_a_call_about_a_wave_that_raises_an_error_is_repeated(simulation, dispatcher):
    vm = next(iter(simulation.machines.vm_by_name))
    list_machines = simulation.machines.list_machines
    simulation.machines.list_machines = Mock(side_effect=RuntimeError("odd"))
    simulation.machines.machines_by_wave[1] = {vm}
    simulation.leader.follower.state.wave_by_number[1] = Wave(1, (vm,), 60.0, 1)
    simulation.advance(2.0)
    assert simulation.machines.list_machines.call_count > 1
    simulation.machines.list_machines = list_machines
    simulation.advance(8.0)
    assert list(simulation.machines.done) == [(1, vm)]


# Guards against a step that waits for ever for an answer about its workers.
def test_a_question_for_advice_that_raises_an_error_is_repeated(simulation, dispatcher):
    queue = replace(
        simulation.configuration.queues[0], advice=AdvicePolicy(0.1, 0.01, 3.0)
    )
    dispatcher.site.accept(SiteConfiguration(2, (queue,), {}))
    dispatcher.questions.advisor = Mock(ask=Mock(side_effect=RuntimeError("odd")))
    dispatcher.questions.calls = InlineExecutor()
    simulation.submit("job1")
    simulation.advance(3.0)
    assert dispatcher.questions.advisor.ask.call_count > 1
