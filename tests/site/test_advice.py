"""Queues whose policy allows only some workers: advice queries and tickets."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.advice import get_query_size
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.site import AdvicePolicy, SiteConfiguration
from bergamotshore.exceptions import PlatformUnavailable
from tests.site.simulation import InlineExecutor, Simulation

TICKET_SECONDS = 3.0
# Time that the advice service takes for an answer, in seconds.
ADVICE_SECONDS = 0.24
LOAD_SECONDS = 6.0
STEP_SECONDS = 0.06


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


class SlowService:
    """Executor and advice service in one: answers one call after the other.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._calls = []
        self._free_at = 0.0
        self.answers = 0

    def submit(self, function, *arguments):
        """Queue a call; it is answered by ``run_due``."""
        self._calls.append((function, arguments))
        self._free_at = max(self._free_at, self._clock.now() + ADVICE_SECONDS)

    def run_due(self):
        """Answer the first call once the service has worked on it."""
        now = self._clock.now()
        if self._calls and now >= self._free_at:
            self._free_at = now + ADVICE_SECONDS
            function, arguments = self._calls.pop(0)
            function(*arguments)

    def ask(self, step, workers):
        """Return tickets for all workers; some of their time has passed."""
        self.answers += 1
        tickets = {worker: f"ticket of {worker}" for worker in workers}
        return Success((tickets, TICKET_SECONDS - ADVICE_SECONDS))


# Guards against tickets that have expired when they arrive, because their question had
# waited behind others: once that happened, no task of the queue ever started again.
@pytest.mark.parametrize("load", [0.5, 1.0, 2.0, 4.0])
def test_all_jobs_end_after_a_load_of_several_times_what_the_advice_service_answers(
    simulation, clock, load
):
    dispatcher = simulation.entry_by_name["entry-0"].dispatcher
    service = SlowService(clock)
    dispatcher.questions.advisor = dispatcher.questions.calls = service
    interval = ADVICE_SECONDS / load
    jobs = round(LOAD_SECONDS / interval)
    submitted = 0
    started_at = clock.now()
    for _ in range(round((1.2 * LOAD_SECONDS * max(1.0, load) + 5.0) / STEP_SECONDS)):
        if submitted < jobs and submitted * interval <= clock.now() - started_at:
            simulation.submit(f"job{submitted}", [Step(tasks=1, cpu=1, memory=1)])
            submitted += 1
        service.run_due()
        simulation.advance(STEP_SECONDS)
        simulation.finish_all()
    states = [simulation.get_state(f"job{number}") for number in range(jobs)]
    assert states == ["done"] * jobs
    assert service.answers <= 1.1 * jobs
    assert simulation.ledger.problems == []


def set_policy(simulation, policy):
    site = simulation.entry_by_name["entry-0"].dispatcher.site
    queue = replace(site.configuration.queues[0], advice=policy)
    site.accept(SiteConfiguration(site.configuration.version + 1, (queue,), {}))


class SlowPerWorkerService(SlowService):
    """Service that needs most of a ticket's validity for each worker."""

    def submit(self, function, *arguments):
        question = arguments[0]
        self._calls.append((function, arguments))
        seconds = SLOW.decision_seconds + SLOW.per_worker * len(
            question.incarnation_by_node
        )
        self._free_at = max(self._free_at, self._clock.now() + seconds)

    def ask(self, step, workers):
        self.answers += 1
        taken = SLOW.decision_seconds + SLOW.per_worker * len(workers)
        tickets = {worker: f"ticket of {worker}" for worker in workers}
        return Success((tickets, max(0.0, TICKET_SECONDS - taken)))


SLOW = AdvicePolicy(0.1, 1.2, TICKET_SECONDS)


# Guards against jobs that never run because the service takes longer for all workers at
# once than its tickets are valid.
def test_a_query_names_no_more_workers_than_its_tickets_leave_time_for(
    simulation, clock
):
    set_policy(simulation, SLOW)
    dispatcher = simulation.entry_by_name["entry-0"].dispatcher
    service = SlowPerWorkerService(clock)
    dispatcher.questions.advisor = dispatcher.questions.calls = service
    simulation.submit("job1", [Step(tasks=1, cpu=1, memory=1)])
    for _ in range(60):
        service.run_due()
        simulation.advance(STEP_SECONDS)
    assert [task for task, _ in simulation.running] == ["job1.0.0.0"]


# Guards against a step whose tickets always come too late, which was asked about again
# and again before all others.
def test_a_step_whose_tickets_come_too_late_leaves_others_their_turn(simulation):
    ask = simulation.advisor.ask

    def ask_slowly(step, workers):
        outcome = ask(step, workers)
        is_first = step.startswith("job1.")
        return outcome.map(lambda answer: (answer[0], 0.1 if is_first else answer[1]))

    simulation.advisor.ask = ask_slowly
    simulation.submit("job1", [Step(tasks=1, cpu=1, memory=1)])
    simulation.submit("job2", [Step(tasks=1, cpu=1, memory=1)])
    simulation.advance(2.0)
    assert [task for task, _ in simulation.running] == ["job2.0.0.0"]


@pytest.mark.parametrize(
    ("policy", "size"),
    [
        (AdvicePolicy(0.13, 0.01, 3.0), 30),
        (AdvicePolicy(0.1, 0.2, 3.0), 8),
        (AdvicePolicy(5.0, 0.2, 3.0), 1),
        (AdvicePolicy(5.0, 0.0, 3.0), 30),
    ],
)
def test_size_of_a_query_by_policy(policy, size):
    assert get_query_size(policy) == size
