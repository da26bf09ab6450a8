"""Which workers a queue's policy allows for a step, and the tickets that prove it."""

from dataclasses import dataclass, field

# Workers named in one question. The service takes time for each and answers one
# question at a time; a job's objective counts on one question about 30 a step.
LARGEST_QUESTION = 30
# A ticket must outlive the write of its claim and the way of its order, in seconds.
TICKET_MARGIN_SECONDS = 0.6
# Pause after a question that failed, such as one too many at the service, in seconds.
RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """Workers to ask the advice service about.

    :param step: Pair of job key and of occurrence and step as numbers.
    :param name: Name of the step at the service.
    :param incarnation_by_node: ``WorkerIncarnation`` by node.
    """

    step: tuple
    name: str
    incarnation_by_node: dict


@dataclass(slots=True)
class StepAdvice:
    """What is known about one step.

    :param is_asked: Whether a question is under way.
    :param retry_at: Until when the service is left alone after a failure, in seconds.
    :param ticket_by_life: Ticket and end of its validity by life of a worker.
    :param refused: Names of workers that may not run the step.
    """

    is_asked: bool = False
    retry_at: float = 0.0
    ticket_by_life: dict = field(default_factory=dict)
    refused: set = field(default_factory=set)


class AdviceTracker:
    """Keep tickets and choose what to ask next."""

    def __init__(self):
        self._advice_by_step = {}

    def get_ticket(self, step, life, now):
        """Return a valid ticket of a step for a life of a worker; empty without."""
        advice = self._advice_by_step.get(step)
        if advice is None:
            return ""
        ticket, until = advice.ticket_by_life.get(
            (life.worker, life.started_ms), ("", 0.0)
        )
        return ticket if now + TICKET_MARGIN_SECONDS < until else ""

    def plan_query(self, step, name, workers, now):
        """Return the ``AdviceQuery`` about a waiting step, None when none helps now.

        :param workers: Workers that have room for a task of it, the best first.
        """
        advice = self._advice_by_step.setdefault(step, StepAdvice())
        if advice.is_asked or now < advice.retry_at:
            return None
        lives = {}
        for worker in workers:
            is_refused = worker.incarnation.worker in advice.refused
            if is_refused or self.get_ticket(step, worker.incarnation, now):
                continue
            lives[worker.node] = worker.incarnation
            if len(lives) >= LARGEST_QUESTION:
                break
        if not lives:
            return None
        advice.is_asked = True
        return AdviceQuery(step, name, lives)

    def record_answer(self, question, ticket_by_worker, until):
        """Take in an answer.

        :param ticket_by_worker: Ticket by name of the workers that may run the step.
        :param until: End of the validity, in seconds.
        """
        advice = self._advice_by_step.setdefault(question.step, StepAdvice())
        advice.is_asked = False
        for life in question.incarnation_by_node.values():
            ticket = ticket_by_worker.get(life.worker)
            if ticket is None:
                advice.refused.add(life.worker)
            else:
                advice.ticket_by_life[(life.worker, life.started_ms)] = (ticket, until)

    def record_failure(self, question, now):
        """Take note that a question was not answered; it is asked again later."""
        advice = self._advice_by_step.setdefault(question.step, StepAdvice())
        advice.is_asked = False
        advice.retry_at = now + RETRY_SECONDS

    def prune(self, open_jobs):
        """Drop what is known about steps of jobs that are over.

        :param open_jobs: Keys of the jobs that are open.
        """
        for step in [s for s in self._advice_by_step if s[0] not in open_jobs]:
            del self._advice_by_step[step]
