"""Unexpected errors in a node leave neither process nor orders behind."""

from unittest.mock import Mock

import pytest
from returns.result import Success

from bergamotshore.core.work.model import Step
from bergamotshore.entry.orders import OrderBatch

SHORT = Step(tasks=2, cpu=2000, memory=100)


@pytest.fixture
def erring(simulation):
    """Return a simulation in which processes may meet unexpected errors."""
    simulation.allows_errors = True
    return simulation


# Guards against a node that ends, or whose worker counts as answering, after a list of
# runs that raises an error.
def test_a_node_survives_an_error_with_the_list_of_its_worker(erring):
    node, runner = next(iter(erring.runner_by_node.items()))
    renew_lease = runner.renew_lease
    runner.renew_lease = lambda *arguments: Success(None)
    erring.advance(0.5)
    assert not erring.node_by_name[node].run_manager.is_answering
    runner.renew_lease = renew_lease
    erring.advance(0.5)
    assert erring.node_by_name[node].run_manager.is_answering


# Guards against an order that is neither carried out nor answered: its task would never
# run again.
def test_an_order_that_raises_an_error_is_settled(erring):
    for runner in erring.runner_by_node.values():
        runner.working_start = runner.start
        runner.start = Mock(side_effect=RuntimeError("odd"))
    erring.submit("job1", (SHORT,))
    erring.advance(0.2)
    for runner in erring.runner_by_node.values():
        runner.start = runner.working_start
    erring.advance(2.0)
    assert len(erring.running) == 2
    assert erring.ledger.problems == []


# Guards against a message of which one start can't be carried out and the others are
# neither carried out nor answered.
def test_a_start_without_its_payload_is_refused(erring, monkeypatch):
    build = OrderBatch.add_start

    def add_without_payload(self, cluster, allocation):
        build(self, cluster, allocation)
        if allocation.name == "job1.0.0.0" and allocation.number == 1:
            self.payload_by_job.pop("job1")

    monkeypatch.setattr(OrderBatch, "add_start", add_without_payload)
    erring.submit("job1", (Step(tasks=1, cpu=100),))
    erring.advance(1.0)
    assert erring.ledger.starts == [("job1.0.0.0", 2, erring.running[0][1])]
