"""The port of the worker that runs tasks on a VM under one lease."""

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """One life of a worker; a restart under the same name is another life.

    :param worker: Name of the worker; empty while it is not known.
    :param started_ms: When it started, as it says itself, in milliseconds.
    """

    worker: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Order to start one run of a task.

    :param task: Name of the task.
    :param number: Number of the run; rises with each start of the task.
    :param payload: What to run, as the caller gave it.
    :param checkpoint: Checkpoint to resume from; empty for a fresh start.
    :param ticket: Permission of the advice service; empty when none is needed.
    """

    task: str
    number: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that the worker lists as running.

    :param task: Name of the task.
    :param number: Number of the run.
    :param checkpoint: Newest checkpoint; empty when there is none.
    :param percent: Progress in percent; 100 for a lasting task that is at work.
    :param usage: Tail latency in ms for a task that serves, else processors in use
        in thousandths; rough, of the last half second.
    """

    task: str
    number: int
    checkpoint: str
    percent: int
    usage: float


@dataclass(frozen=True, slots=True)
class ListedCompletion:
    """An end that the worker lists until it is acknowledged.

    :param sequence: Position among the ends of this life of the worker.
    :param task: Name of the task.
    :param number: Number of the run.
    :param outcome: 'done', 'failed', 'stopped', 'lapsed', 'broken' or 'alone'.
    :param checkpoint: Newest checkpoint; empty when there is none.
    """

    sequence: int
    task: str
    number: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """What runs and what has ended, as the worker listed it.

    :param clock_ms: Clock of the worker, in milliseconds.
    :param started_ms: Life of the worker; 0 when it did not say.
    :param running: List of ``ListedRun``.
    :param ended: List of ``ListedCompletion``.
    """

    clock_ms: int
    started_ms: int
    running: list
    ended: list


@dataclass(frozen=True, slots=True)
class RunAccepted:
    """The worker has taken an order."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class RunRejected:
    """The worker has not taken an order and never will.

    :param reason: 'fence', 'old', 'late', 'room', 'ticket', 'busy', 'invalid' or
        'other-life'.
    :param clock_ms: Clock of the worker; 0 when it did not say.
    """

    reason: str
    clock_ms: int = 0
    code: str = "run-rejected"


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says of itself.

    :param incarnation: ``WorkerIncarnation``.
    :param service: Service that the worker belongs to.
    :param zone: Data centre.
    :param version: Version of its software.
    :param is_draining: Whether it is about to leave.
    :param remaining: Least time left while draining, in seconds.
    :param warmup: How much longer it stays slow after its start, in seconds.
    :param cpu: Processors, in thousandths.
    :param memory: Memory, in MB.
    :param accelerators: Accelerators.
    :param labels: Labels, its kind and its rack among them.
    :param rack: Rack that it stands in; empty when it did not say.
    :param machine: VM that it runs on; empty when it did not say.
    :param sequence: Position among its reports.
    """

    incarnation: WorkerIncarnation
    service: str
    zone: str
    version: str
    is_draining: bool
    remaining: float
    warmup: float
    cpu: int
    memory: int
    accelerators: int
    labels: tuple = field(default=())
    rack: str = ""
    machine: str = ""
    sequence: int = 0


class Runner(Protocol):
    """Run tasks under the lease of one worker."""

    def start(self, order, lease_end_ms, fence, worker):
        """Start a run.

        :param order: ``RunOrder``.
        :param lease_end_ms: End of the lease on the worker's clock.
        :param fence: Fencing token of this node.
        :param worker: Intended worker; empty for any.
        :returns: ``Result`` of ``RunAccepted``; failures are ``RunRejected`` and
            ``WorkerFailure``.
        """

    def stop(self, task, number, fence):
        """Stop a run; results as of ``start``."""

    def throttle(self, task, number, percent, fence):
        """Let a run work at a share of its speed; results as of ``start``."""

    def renew_lease(self, lease_end_ms, fence, acknowledged, wait_ms):
        """Extend the lease and list what runs.

        :param lease_end_ms: End of the lease on the worker's clock; None for none.
        :param acknowledged: Ends up to this position may be forgotten.
        :param wait_ms: Longest wait for an end.
        :returns: ``Result`` of ``WorkerListing``; failures as of ``start``.
        """
