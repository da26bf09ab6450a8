"""Site configuration of the operator: queues, services, closed zones and waves."""

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Advice policy of a queue: a service decides which workers may run a step.

    :param decision_seconds: Base duration of one decision, in seconds.
    :param per_worker: Additional duration per candidate worker, in seconds.
    :param ticket_seconds: Validity period of a ticket, in seconds.
    """

    decision_seconds: float
    per_worker: float
    ticket_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Configuration of one job queue.

    :param name: Name of the queue.
    :param host: Host name in requests for the queue.
    :param prefix: Path prefix of requests for the queue.
    :param service: Service whose workers run its tasks.
    :param priority: Priority; 0 is the highest.
    :param retries: Failed runs of a task after which its job has failed.
    :param stretch: Factor on the critical path in the objective for completion time.
    :param slack: Constant part of the objective, in seconds.
    :param timeout: Time limit for answering a caller, in seconds.
    :param advice: ``AdvicePolicy``, or None.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    retries: int = 1
    stretch: float = 1.0
    slack: float = 0.0
    timeout: float = 3.0
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class ServicePool:
    """Worker pool of one service.

    :param name: Name of the service.
    :param has_admission: Whether its workers reject runs that exceed their capacity.
    :param is_standby: Whether its machines are powered off.
    """

    name: str
    has_admission: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class Wave:
    """Set of machines that are due for maintenance within a time limit.

    :param number: Number of the wave.
    :param machines: Names of the machines.
    :param duration: Time limit for the whole wave, in seconds.
    :param max_concurrent: Maximum number of machines that may be down at the same time.
    """

    number: int
    machines: tuple
    duration: float
    max_concurrent: int


@dataclass(frozen=True, slots=True)
class SiteConfiguration:
    """One version of the operator's configuration.

    :param version: Version number, which only increases.
    :param queues: Tuple of ``Queue``.
    :param service_by_name: ``ServicePool`` by name.
    """

    version: int = 0
    queues: tuple = ()
    service_by_name: dict = field(default_factory=dict)

    def find_queue(self, host, path):
        """Return the queue with the longest matching path prefix, or None."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)

    def get_queue(self, name):
        """Return the queue with a name, or None."""
        return next((queue for queue in self.queues if queue.name == name), None)


@dataclass(slots=True)
class SiteState:
    """Active configuration, closed data centres and maintenance waves.

    :param configuration: Newest ``SiteConfiguration``; version 0 before the first.
    :param closed_zones: Names of data centres that receive no new work.
    :param wave_by_number: ``Wave`` by number.
    :param confirmed_at: Time at which this state was last confirmed to be the newest,
        on the entry's clock, in seconds.
    """

    configuration: SiteConfiguration = field(default_factory=SiteConfiguration)
    closed_zones: set = field(default_factory=set)
    wave_by_number: dict = field(default_factory=dict)
    confirmed_at: float = -math.inf

    @property
    def is_loaded(self):
        """Return whether both a configuration and its age are known."""
        return self.configuration.version > 0 and math.isfinite(self.confirmed_at)

    def get_age(self, now):
        """Return the time since this state was last confirmed, in seconds."""
        return now - self.confirmed_at

    def accept(self, configuration):
        """Activate a configuration unless an equal or newer version is active.

        :returns: True if it was activated.
        """
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        return True
