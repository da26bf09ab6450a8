"""Requests to the advice service, sent one at a time."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.entry.background import run_background_call


@dataclass(frozen=True, slots=True)
class AdviceReceived:
    """A request to the advice service was answered or failed.

    :param epoch: Term in which it was sent.
    :param question: ``AdviceQuery``.
    :param requested_at: When the service was called, in seconds.
    :param outcome: ``Result`` of ticket by worker and validity in seconds.
    """

    epoch: int
    question: object
    requested_at: float
    outcome: object


class AdviceRequester:
    """Send requests to the advice service and record its answers.

    :param advisor: ``AdviceClient``; None without an advice service.
    :param calls: Executor that runs its calls one at a time.
    :param post: Function that queues an ``AdviceReceived`` for the dispatcher.
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
        """Send a request in the background; decisions don't wait for the answer."""
        if self.advisor is None:
            cluster.advice.record_failure(question, now)
            return
        self.calls.submit(self._run, question, epoch)

    def _run(self, question, epoch):
        # A call of the term before may still occupy the executor, so the time counts
        # from here.
        requested_at = self._clock.now()
        workers = [life.worker for life in question.incarnation_by_node.values()]
        outcome = run_background_call(
            lambda: self.advisor.ask(question.name, workers), question.name, self._log
        )
        self._post(AdviceReceived(epoch, question, requested_at, outcome))

    def handle_answer(self, cluster, received):
        """Record an answer or failure in the cluster state."""
        match received.outcome:
            case Success((ticket_by_worker, valid)):
                valid_until = received.requested_at + valid
                cluster.advice.record_answer(
                    received.question, ticket_by_worker, valid_until, self._clock.now()
                )
                self._log.write(
                    "advice",
                    received.question.name,
                    asked=len(received.question.incarnation_by_node),
                    allowed=len(ticket_by_worker),
                )
            case Failure(failure):
                cluster.advice.record_failure(received.question, self._clock.now())
                self._log.write(
                    "advice-failed", received.question.name, why=failure.detail
                )
