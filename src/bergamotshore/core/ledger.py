"""Admission control for one endpoint: slots, connections and the request queue."""

from collections import OrderedDict
from dataclasses import dataclass

SERVICE_TIME_WEIGHT = 0.1
RETRY_AFTER_MIN_SECONDS = 0.05
DEADLINE_SAFETY_FACTOR = 1.3


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    :param request_id: Identifier of the request.
    :param deadline: Deadline on the clock of the process.
    """

    request_id: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Run:
    """Run the request now; a slot has been reserved for it.

    :param request_id: Identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep the request in the queue.

    :param request_id: Identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request without running it.

    :param request_id: Identifier of the request.
    :param reason: Error code.
    :param retry_after: Suggested delay before a retry, in seconds.
    """

    request_id: str
    reason: str
    retry_after: float


class AdmissionLedger:
    """Allocates slots and connections of one endpoint.

    A connection is held from admission until the request ends, a slot only while the
    request runs on the endpoint.

    :param slots: Maximum number of requests running concurrently.
    :param connections: Maximum number of requests held, running or queued.
    """

    def __init__(self, slots=0, connections=0):
        self.slots = slots
        self.connections = connections
        self.running = set()
        self.queue = OrderedDict()
        self.service_seconds = 0.0

    @property
    def held(self):
        """Return the number of connections in use."""
        return len(self.running) + len(self.queue)

    def resize(self, slots, connections):
        """Change the limits; requests already held are not affected."""
        self.slots = slots
        self.connections = connections

    def predict_wait(self):
        """Return the expected queueing time of a new request, in seconds."""
        if len(self.running) < self.slots and not self.queue:
            return 0.0
        position = len(self.queue) + 1
        return position * self.service_seconds / max(self.slots, 1)

    def suggest_retry_after(self):
        """Return the delay after which a refused caller should retry, in seconds."""
        return max(self.predict_wait(), RETRY_AFTER_MIN_SECONDS)

    def admit(self, request_id, deadline, now):
        """Decide whether to run, queue or refuse a new request.

        :param request_id: Identifier of the request.
        :param deadline: Deadline of the request.
        :param now: Current time.
        :returns: ``Run``, ``Wait`` or ``Refuse``.
        """
        if self.slots <= 0:
            return Refuse(request_id, "no-endpoint", self.suggest_retry_after())
        if self.held >= self.connections:
            return Refuse(request_id, "connections-full", self.suggest_retry_after())
        expected = self.predict_wait() + self.service_seconds
        if now + DEADLINE_SAFETY_FACTOR * expected > deadline:
            return Refuse(
                request_id, "deadline-out-of-reach", self.suggest_retry_after()
            )
        if len(self.running) < self.slots and not self.queue:
            self.running.add(request_id)
            return Run(request_id)
        self.queue[request_id] = QueuedRequest(request_id, deadline)
        return Wait(request_id)

    def finish(self, request_id, service_seconds):
        """Release the slot of a finished request.

        :param request_id: Identifier of the request.
        :param service_seconds: Time spent on the endpoint; None leaves the moving
            average unchanged.
        """
        self.running.discard(request_id)
        if service_seconds is None:
            return
        if self.service_seconds == 0.0:
            self.service_seconds = service_seconds
            return
        difference = service_seconds - self.service_seconds
        self.service_seconds += SERVICE_TIME_WEIGHT * difference

    def remove(self, request_id):
        """Remove a request from the queue.

        :returns: True when it was queued, in which case it never runs.
        """
        return self.queue.pop(request_id, None) is not None

    def advance(self, now):
        """Run queued requests in free slots and refuse those that would end too late.

        :param now: Current time.
        :returns: List of ``Run`` and ``Refuse``.
        """
        actions = []
        while self.queue:
            waiting = next(iter(self.queue.values()))
            if now + self.service_seconds > waiting.deadline:
                del self.queue[waiting.request_id]
                actions.append(self._refuse_late(waiting))
                continue
            if len(self.running) >= self.slots:
                break
            del self.queue[waiting.request_id]
            self.running.add(waiting.request_id)
            actions.append(Run(waiting.request_id))
        return actions

    def expire(self, now):
        """Refuse every queued request that cannot finish before its deadline.

        :param now: Current time.
        :returns: List of ``Refuse``.
        """
        late = [
            waiting
            for waiting in self.queue.values()
            if now + self.service_seconds > waiting.deadline
        ]
        for waiting in late:
            del self.queue[waiting.request_id]
        return [self._refuse_late(waiting) for waiting in late]

    def _refuse_late(self, waiting):
        return Refuse(
            waiting.request_id, "deadline-out-of-reach", self.suggest_retry_after()
        )
