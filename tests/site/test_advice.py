"""Queues whose policy allows only some workers: advice queries and tickets."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.site import AdvicePolicy, SiteConfiguration
from bergamotshore.exceptions import PlatformUnavailable
from tests.site.simulation import InlineExecutor, Simulation

TICKET_SECONDS = 3.0


class FakeAdvisor:
    """Advice service that allows some workers.

    :param allowed: Names of the allowed workers.
    """

    def __init__(self, allowed):
        self.allowed = allowed
        self.queries = []
        self.remaining_failures = 0

    def ask(self, step, workers):
        self.queries.append((step, workers))
        if self.remaining_failures:
            self.remaining_failures -= 1
            return Failure(PlatformUnavailable("busy"))
        tickets = {w: f"ticket of {w}" for w in workers if w in self.allowed}
        return Success((tickets, TICKET_SECONDS))


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock, entries=1)
    queue = replace(
        simulation.configuration.queues[0], advice=AdvicePolicy(0.1, 0.01, 3.0)
    )
    configuration = SiteConfiguration(2, (queue,), {})
    dispatcher = simulation.entry_by_name["entry-0"].dispatcher
    dispatcher.site.accept(configuration)
    dispatcher.questions.advisor = simulation.advisor = FakeAdvisor({"worker-1"})
    dispatcher.questions.calls = InlineExecutor()
    simulation.advance(1.0)
    return simulation


def test_tasks_start_only_where_the_policy_allows(simulation):
    simulation.submit("job1")
    simulation.advance(1.0)
    assert {worker for _, worker in simulation.running} == {"worker-1"}
    assert simulation.advisor.queries[0][0] == "job1.0.0"


def test_a_refused_worker_is_not_queried_again(simulation):
    simulation.advisor.allowed = set()
    simulation.submit("job1")
    simulation.advance(3.0)
    assert len(simulation.advisor.queries) == 1
    assert simulation.running == []


def test_a_failed_query_is_sent_again(simulation):
    simulation.advisor.remaining_failures = 2
    simulation.submit("job1")
    simulation.advance(1.0)
    assert len(simulation.running) == 2


def test_an_expired_ticket_is_not_used(simulation):
    simulation.submit("job1")
    simulation.advance(0.5)
    simulation.finish_all("stopped")
    simulation.advance(TICKET_SECONDS)
    queries = len(simulation.advisor.queries)
    simulation.finish_all("stopped")
    simulation.advance(0.5)
    assert len(simulation.advisor.queries) > queries
    assert len(simulation.running) == 2
