"""Orders that end with an unexpected error at a node count as doubtful."""

import pytest

from tests.site.test_promises import LONG_RUNNING


def raise_once(function, is_executed):
    """Return a function that raises an exception at its first call.

    :param is_executed: Whether it is called before that.
    """
    calls = []

    def call(*arguments):
        calls.append(arguments)
        if len(calls) > 1:
            return function(*arguments)
        if is_executed:
            function(*arguments)
        raise ValueError("unexpected")

    return call


# Guards against a task that is taken for started for ever, and a worker that gets no
# task any more, because the outcome of an order is never known.
@pytest.mark.parametrize("is_executed", [False, True])
def test_a_start_that_ended_with_an_unexpected_error_is_resolved(
    simulation, is_executed
):
    simulation.allows_errors = True
    for runner in simulation.runner_by_node.values():
        runner.start = raise_once(runner.start, is_executed)
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(3.0)
    assert len(simulation.running) == 2
    assert any("event=order-error" in line for line in simulation.lines)
    assert simulation.ledger.problems == []
