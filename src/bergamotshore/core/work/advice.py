"""Tickets of the advice service, which permit a worker to run tasks of a step."""

from dataclasses import dataclass, field

# Most workers in one query. The service needs time for each worker and answers one
# query at a time; objectives of jobs assume one query for about 30 workers per step.
MAX_WORKERS_PER_QUERY = 30
# A ticket must stay valid while its claim is written and its order delivered. In
# seconds.
TICKET_MARGIN_SECONDS = 0.6
# Delay after a failed query, such as one rejected by an overloaded service, in seconds.
RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """Query to the advice service about one step and some workers.

    :param step: Key of the step: job key, occurrence and number of the step.
    :param name: Name of the step at the service.
    :param incarnation_by_node: ``WorkerIncarnation`` by node.
    """

    step: tuple
    name: str
    incarnation_by_node: dict


def get_query_size(policy):
    """Return how many workers a query may name at most.

    The service works on a query for longer the more workers it names, and the answer
    has to leave time to use its tickets.

    :param policy: ``AdvicePolicy``.
    """
    usable = policy.ticket_seconds - 2 * TICKET_MARGIN_SECONDS - policy.decision_seconds
    if policy.per_worker <= 0.0 or policy.per_worker * MAX_WORKERS_PER_QUERY <= usable:
        return MAX_WORKERS_PER_QUERY
    return max(1, int(usable / policy.per_worker))


@dataclass(slots=True)
class StepAdvice:
    """Answers of the advice service for one step.

    :param retry_at: Earliest time of the next query after a failure, in seconds.
    :param ticket_by_incarnation: Ticket and its expiry time, by worker incarnation.
    :param refused_workers: Names of workers that may not run the step.
    """

    retry_at: float = 0.0
    ticket_by_incarnation: dict = field(default_factory=dict)
    refused_workers: set = field(default_factory=set)


class AdviceTracker:
    """Store tickets and build queries for missing ones.

    The service answers one query at a time, and tickets expire soon after it was asked.
    So there is one query at a time, for the first step in scheduling order that needs
    one at that moment; no query waits for another one.
    """

    def __init__(self):
        self._advice_by_step = {}
        self._query_in_flight = None

    def get_ticket(self, step, incarnation, now):
        """Return a valid ticket of a step for a worker incarnation, or an empty string.

        :param incarnation: ``WorkerIncarnation``.
        """
        advice = self._advice_by_step.get(step)
        if advice is None:
            return ""
        ticket, expires_at = advice.ticket_by_incarnation.get(
            (incarnation.worker, incarnation.started_ms), ("", 0.0)
        )
        return ticket if now + TICKET_MARGIN_SECONDS < expires_at else ""

    def plan_query(self, step, name, workers, policy, now):
        """Return the ``AdviceQuery`` to send for a waiting step, or None.

        Has to be called in scheduling order.

        :param workers: Workers with free capacity for a task of the step, the best
            first.
        :param policy: ``AdvicePolicy`` of its queue.
        """
        if self._query_in_flight is not None:
            return None
        advice = self._advice_by_step.setdefault(step, StepAdvice())
        if now < advice.retry_at:
            return None
        most_workers = get_query_size(policy)
        incarnation_by_node = {}
        for worker in workers:
            is_refused = worker.incarnation.worker in advice.refused_workers
            if is_refused or self.get_ticket(step, worker.incarnation, now):
                continue
            incarnation_by_node[worker.node] = worker.incarnation
            if len(incarnation_by_node) >= most_workers:
                break
        if not incarnation_by_node:
            return None
        self._query_in_flight = AdviceQuery(step, name, incarnation_by_node)
        return self._query_in_flight

    def record_answer(self, query, ticket_by_worker, expires_at, now):
        """Store the answer to a query.

        Tickets that come too late to be used delay the next query of the step like a
        failure; otherwise no other step would ever be asked about.

        :param ticket_by_worker: Ticket by name of the workers that may run the step.
        :param expires_at: Time at which the tickets expire, in seconds.
        """
        self._query_in_flight = None
        advice = self._advice_by_step.setdefault(query.step, StepAdvice())
        if ticket_by_worker and expires_at <= now + TICKET_MARGIN_SECONDS:
            advice.retry_at = now + RETRY_SECONDS
        for incarnation in query.incarnation_by_node.values():
            ticket = ticket_by_worker.get(incarnation.worker)
            if ticket is None:
                advice.refused_workers.add(incarnation.worker)
            else:
                advice.ticket_by_incarnation[
                    (incarnation.worker, incarnation.started_ms)
                ] = (
                    ticket,
                    expires_at,
                )

    def record_failure(self, query, now):
        """Record that a query failed, and delay the next one."""
        self._query_in_flight = None
        advice = self._advice_by_step.setdefault(query.step, StepAdvice())
        advice.retry_at = now + RETRY_SECONDS

    def prune(self, open_jobs):
        """Remove the answers for steps of closed jobs.

        :param open_jobs: Keys of all open jobs.
        """
        for step in [s for s in self._advice_by_step if s[0] not in open_jobs]:
            del self._advice_by_step[step]
