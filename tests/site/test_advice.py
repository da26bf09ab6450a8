"""Queues whose policy allows only some workers: questions and tickets."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.site import AdvicePolicy, SiteConfiguration
from bergamotshore.exceptions import PlatformUnavailable
from tests.site.simulation import InlineExecutor, Simulation

VALID_SECONDS = 3.0


class FakeAdvisor:
    """Allow some workers; ``failures`` lets the next questions fail."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.questions = []
        self.failures = 0

    def ask(self, step, workers):
        self.questions.append((step, workers))
        if self.failures:
            self.failures -= 1
            return Failure(PlatformUnavailable("busy"))
        tickets = {w: f"ticket of {w}" for w in workers if w in self.allowed}
        return Success((tickets, VALID_SECONDS))


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
    assert simulation.advisor.questions[0][0] == "job1.0.0"


def test_a_worker_that_may_not_run_a_step_is_not_asked_about_again(simulation):
    simulation.advisor.allowed = set()
    simulation.submit("job1")
    simulation.advance(3.0)
    assert len(simulation.advisor.questions) == 1
    assert simulation.running == []


def test_a_question_that_fails_is_asked_again(simulation):
    simulation.advisor.failures = 2
    simulation.submit("job1")
    simulation.advance(1.0)
    assert len(simulation.running) == 2


def test_an_expired_ticket_is_not_used(simulation):
    simulation.submit("job1")
    simulation.advance(0.5)
    simulation.finish_all("stopped")
    simulation.advance(VALID_SECONDS)
    asked = len(simulation.advisor.questions)
    simulation.finish_all("stopped")
    simulation.advance(0.5)
    assert len(simulation.advisor.questions) > asked
    assert len(simulation.running) == 2
