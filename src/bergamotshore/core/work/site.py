"""What the operator has declared: queues, services, closed data centres, waves."""

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Terms of a queue whose policy says which workers may run a step.

    :param decision_seconds: Time of one decision, in seconds.
    :param per_worker: Further time for each worker named, in seconds.
    :param ticket_seconds: Time that a ticket is valid, in seconds.
    """

    decision_seconds: float
    per_worker: float
    ticket_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """One queue of jobs.

    :param name: Name of the queue.
    :param host: Host that callers name.
    :param prefix: Start of the paths of its jobs.
    :param service: Service whose workers run its tasks.
    :param priority: 0 comes first.
    :param retries: Failed runs of a task after which its job has failed.
    :param stretch: Factor on the longest chain of work, for the objective.
    :param slack: Further time of the objective, in seconds.
    :param timeout: Time in which a caller is answered, in seconds.
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
    """Workers of one service.

    :param name: Name of the service.
    :param has_admission: Whether its workers refuse what does not fit.
    :param is_standby: Whether its machines are off.
    """

    name: str
    has_admission: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class Wave:
    """Machines that are to have their upkeep in time.

    :param number: Number of the wave.
    :param machines: Names of the machines.
    :param duration: Time for the whole wave, in seconds.
    :param max_concurrent: Most machines that may be down at once.
    """

    number: int
    machines: tuple
    duration: float
    max_concurrent: int


@dataclass(frozen=True, slots=True)
class SiteConfiguration:
    """One version of what the operator declared.

    :param version: Version; rises.
    :param queues: Tuple of ``Queue``.
    :param service_by_name: ``ServicePool`` by name.
    """

    version: int = 0
    queues: tuple = ()
    service_by_name: dict = field(default_factory=dict)

    def find_queue(self, host, path):
        """Return the queue with the longest prefix of a path, or None."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)

    def get_queue(self, name):
        """Return a queue by its name, or None."""
        return next((queue for queue in self.queues if queue.name == name), None)


@dataclass(slots=True)
class SiteState:
    """What is in force: the newest configuration, closed data centres and waves.

    :param configuration: ``SiteConfiguration``; version 0 before the first.
    :param closed_zones: Names of data centres that get no new work.
    :param wave_by_number: ``Wave`` by number.
    :param confirmed_at: A time up to which nothing newer was declared, on the
        entry's clock, in seconds.
    """

    configuration: SiteConfiguration = field(default_factory=SiteConfiguration)
    closed_zones: set = field(default_factory=set)
    wave_by_number: dict = field(default_factory=dict)
    confirmed_at: float = -math.inf

    @property
    def is_loaded(self):
        """Tell whether a configuration is known, and how old it is."""
        return self.configuration.version > 0 and math.isfinite(self.confirmed_at)

    def get_age(self, now):
        """Return how long ago this was known to be the newest, in seconds."""
        return now - self.confirmed_at

    def accept(self, configuration):
        """Put a configuration in force unless a newer one already is.

        :returns: True when it was put in force.
        """
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        return True
