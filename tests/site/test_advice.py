"""Queues whose policy allows only some workers: advice queries and tickets."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.site import Advice, SiteConfiguration
from bergamotshore.exceptions import PlatformUnavailable
from tests.site.world import InlineExecutor, World

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
def world(clock):
    world = World(clock, entries=1)
    queue = replace(world.configuration.queues[0], advice=Advice(0.1, 0.01, 3.0))
    configuration = SiteConfiguration(2, (queue,), {})
    dispatcher = world.entry_by_name["entry-0"].dispatcher
    dispatcher.site.accept(configuration)
    dispatcher.questions.advisor = world.advisor = FakeAdvisor({"worker-1"})
    dispatcher.questions.calls = InlineExecutor()
    world.advance(1.0)
    return world


def test_tasks_start_only_where_the_policy_allows(world):
    world.submit("job1")
    world.advance(1.0)
    assert {worker for _, worker in world.running} == {"worker-1"}
    assert world.advisor.queries[0][0] == "job1.0.0"


def test_a_refused_worker_is_not_queried_again(world):
    world.advisor.allowed = set()
    world.submit("job1")
    world.advance(3.0)
    assert len(world.advisor.queries) == 1
    assert world.running == []


def test_a_failed_query_is_sent_again(world):
    world.advisor.remaining_failures = 2
    world.submit("job1")
    world.advance(1.0)
    assert len(world.running) == 2


def test_an_expired_ticket_is_not_used(world):
    world.submit("job1")
    world.advance(0.5)
    world.finish_all("stopped")
    world.advance(TICKET_SECONDS)
    queries = len(world.advisor.queries)
    world.finish_all("stopped")
    world.advance(0.5)
    assert len(world.advisor.queries) > queries
    assert len(world.running) == 2
