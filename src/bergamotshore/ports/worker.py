"""Interface to the worker that runs attempts of tasks on a VM."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerTask:
    """An attempt as listed by the worker.

    :param job: Job as team/name.
    :param index: Index of the task.
    :param attempt: Attempt number.
    :param state: 'running', 'completed', 'failed' or 'stopped'.
    :param checkpoint: Key of the latest checkpoint object; empty when there is none.
    :param result: Key of the result object; empty until completed.
    :param processors: Declared processors.
    :param memory_gb: Declared memory, in GB.
    :param accelerators: Declared accelerators.
    """

    job: str
    index: int
    attempt: int
    state: str
    checkpoint: str = ""
    result: str = ""
    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerStatus:
    """Status reported by the worker.

    :param boot: Identifier of the worker's incarnation.
    :param processors: Processors of the worker.
    :param memory_gb: Memory of the worker, in GB.
    :param accelerators: Accelerators of the worker.
    :param tasks: Running attempts, and ended ones that were not yet forgotten.
    """

    boot: str
    processors: float
    memory_gb: float
    accelerators: int = 0
    tasks: list[WorkerTask]


class Worker(Protocol):
    """Runs attempts under leases."""

    def get_status(self):
        """Return a ``Result`` of ``WorkerStatus``."""

    def start(self, attempt, spec, checkpoint, lease_end):
        """Start an attempt under a lease; its end is on the machine's clock."""

    def renew(self, lease_end):
        """Extend the leases of all attempts."""

    def stop(self, attempt, with_checkpoint):
        """Stop an attempt and return a ``Result`` of its ``WorkerTask``."""

    def forget(self, attempt):
        """Remove an ended attempt from the worker's list."""
