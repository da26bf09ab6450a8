"""Questions to the advice service, asked one after another, and their answers."""

from dataclasses import dataclass

from returns.result import Failure, Success


@dataclass(frozen=True, slots=True)
class Advised:
    """A question was answered by the advice service, or not.

    :param epoch: Term in which it was asked.
    :param question: ``AdviceQuery``.
    :param asked_at: When, in seconds.
    :param outcome: ``Result`` of ticket by worker and validity in seconds.
    """

    epoch: int
    question: object
    asked_at: float
    outcome: object


class QuestionDesk:
    """Ask the advice service and take its answers in.

    :param advisor: ``AdviceClient``; None without an advice service.
    :param calls: Runs its calls, one after another.
    :param post: Hands an ``Advised`` to the thread that decides.
    :param clock: ``Clock``.
    :param log: ``EventLog``.
    """

    def __init__(self, advisor, calls, post, clock, log):
        self.advisor = advisor
        self.calls = calls
        self._post = post
        self._clock = clock
        self._log = log

    def ask(self, cluster, question, epoch, now):
        """Ask one question of a term; decisions meanwhile do without the answer."""
        if self.advisor is None:
            cluster.advice.record_failure(question, now)
            return
        self.calls.submit(self._run, question, epoch, now)

    def _run(self, question, epoch, asked_at):
        workers = [life.worker for life in question.incarnation_by_node.values()]
        outcome = self.advisor.ask(question.name, workers)
        self._post(Advised(epoch, question, asked_at, outcome))

    def take(self, cluster, advised):
        """Take an answer in."""
        match advised.outcome:
            case Success((ticket_by_worker, valid)):
                until = advised.asked_at + valid
                cluster.advice.record_answer(advised.question, ticket_by_worker, until)
                self._log.write(
                    "advice",
                    advised.question.name,
                    asked=len(advised.question.incarnation_by_node),
                    allowed=len(ticket_by_worker),
                )
            case Failure(failure):
                cluster.advice.record_failure(advised.question, self._clock.now())
                self._log.write(
                    "advice-failed", advised.question.name, why=failure.detail
                )
