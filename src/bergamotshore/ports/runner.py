"""Interface to the worker that runs tasks on a VM under a single lease."""

from dataclasses import dataclass, field
from typing import Protocol

from bergamotshore.core.work.model import WorkerSize


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """An incarnation of a worker; a restart under the same name is a new one.

    :param worker: Name of the worker; empty while unknown.
    :param started_ms: Start time as reported by the worker, in milliseconds.
    """

    worker: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Order to start a run of a task.

    :param task: Name of the task.
    :param number: Number of the run; increases with each start of the task.
    :param payload: Workload description, as submitted by the caller.
    :param checkpoint: Checkpoint to resume from; empty to start from scratch.
    :param ticket: Admission ticket of the advice service; empty when not required.
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
    :param checkpoint: Latest checkpoint; empty when there is none.
    :param percent: Progress in percent; 100 for a long-running task that is running.
    :param usage: Tail latency in milliseconds for a latency-critical task, otherwise
        processor usage in thousandths; an estimate over the last half second.
    """

    task: str
    number: int
    checkpoint: str
    percent: int
    usage: float


@dataclass(frozen=True, slots=True)
class ListedCompletion:
    """A finished run, listed by the worker until it is acknowledged.

    :param sequence: Sequence number among the completions of this incarnation.
    :param task: Name of the task.
    :param number: Number of the run.
    :param outcome: 'done', 'failed', 'stopped', 'lapsed', 'broken' or 'alone'.
    :param checkpoint: Latest checkpoint; empty when there is none.
    """

    sequence: int
    task: str
    number: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """Running and finished runs, as listed by a worker.

    :param clock_ms: Clock of the worker, in milliseconds.
    :param started_ms: Start time of the worker's incarnation, in milliseconds; 0 when
        not reported.
    :param running: List of ``ListedRun``.
    :param ended: List of ``ListedCompletion``.
    :param is_complete: Whether ``ended`` names all unacknowledged completions.
    """

    clock_ms: int
    started_ms: int
    running: list
    ended: list
    is_complete: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Completions that an incarnation of a worker may discard.

    Each incarnation numbers its completions from 1, so a sequence number means nothing
    to any other incarnation.

    :param started_ms: Start time of the incarnation that numbered them, in
        milliseconds; 0 while none is known.
    :param sequence: Sequence number up to which it may discard them; 0 for none.
    """

    started_ms: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class RunAccepted:
    """The worker accepted an order.

    :param clock_ms: Clock of the worker, in milliseconds.
    """

    clock_ms: int


@dataclass(frozen=True, slots=True)
class RunRejected:
    """The worker rejected an order and will never carry it out.

    :param reason: 'fence', 'old', 'late', 'room', 'ticket', 'busy', 'invalid' or
        'other-life'.
    :param clock_ms: Clock of the worker, in milliseconds; 0 when not reported.
    """

    reason: str
    clock_ms: int = 0
    code: str = "run-rejected"


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Status report of a worker.

    :param incarnation: ``WorkerIncarnation``.
    :param service: Service that the worker belongs to.
    :param zone: Data centre.
    :param version: Version of its software.
    :param is_draining: Whether the worker is draining before it shuts down.
    :param remaining: Minimum time left while draining, in seconds.
    :param warmup: Remaining time of reduced speed after its start, in seconds.
    :param size: ``WorkerSize``; None when not reported.
    :param labels: Labels, including its kind and its rack.
    :param rack: Rack of the worker; empty when not reported.
    :param machine: VM that the worker runs on; empty when not reported.
    :param sequence: Sequence number among its reports.
    :param clock_ms: Clock of the worker when it made the report, in milliseconds; None
        when not reported.
    """

    incarnation: WorkerIncarnation
    service: str
    zone: str
    version: str
    is_draining: bool
    remaining: float
    warmup: float
    size: WorkerSize | None
    labels: tuple = field(default=())
    rack: str = ""
    machine: str = ""
    sequence: int = 0
    clock_ms: float | None = None


class Runner(Protocol):
    """Runs tasks under the lease of one worker.

    A worker may restart under its name, and its next incarnation may receive what is
    meant for the former one. Calls that have a meaning for one incarnation alone are
    sent only where the calling thread knows that they can't reach another one; the
    former one may still leave them unanswered, and the next one carry them out.
    """

    def is_confirmed(self, started_ms):
        """Return whether the next call of this thread can only reach an incarnation.

        :param started_ms: Start time of the incarnation, in milliseconds.
        """

    def confirm(self, started_ms, fence):
        """Make sure that the next call of this thread can only reach an incarnation.

        :param started_ms: Start time of the incarnation, in milliseconds.
        :param fence: Fencing token of this node.
        :returns: ``Result`` of None; failures are ``RunRejected``, with 'other-life' if
            another incarnation answers, and ``WorkerFailure``, always certain.
        """

    def start(self, order, lease_end_ms, fence, incarnation):
        """Start a run on an incarnation that this thread has confirmed.

        :param order: ``RunOrder``.
        :param lease_end_ms: Expiry of the lease on the clock of the incarnation, in
            milliseconds.
        :param fence: Fencing token of this node.
        :param incarnation: ``WorkerIncarnation``.
        :returns: ``Result`` of ``RunAccepted``; failures are ``RunRejected`` and
            ``WorkerFailure``, which is certain if the incarnation isn't confirmed any
            more.
        """

    def stop(self, task, number, fence):
        """Stop a run; returns the same results as ``start``."""

    def throttle(self, task, number, percent, fence):
        """Throttle a run to a percentage of full speed.

        Returns the same results as ``start``.
        """

    def renew_lease(self, lease_end_ms, fence, acknowledgement, wait_ms):
        """Extend the lease and list the running and finished runs.

        :param lease_end_ms: New expiry of the lease on the clock of the incarnation
            that the acknowledgement names, in milliseconds; None leaves the lease as it
            is.
        :param acknowledgement: ``Acknowledgement``. Neither it nor the lease end is
            sent where it might reach another incarnation than the one it names.
        :param wait_ms: Maximum time to wait for a completion, in milliseconds.
        :returns: ``Result`` of ``WorkerListing``; failures are those of ``start``.
        """

    def is_refusing(self):
        """Return whether nothing accepts a new connection at the worker's address.

        Does not wait for calls of other threads. A connection that is neither accepted
        nor refused in time counts as accepted.
        """
