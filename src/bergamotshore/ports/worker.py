"""The port of the worker that runs tasks on a VM."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerTask:
    """One attempt as the worker lists it.

    :param job: Job as team/name.
    :param index: Index of the task.
    :param attempt: Attempt number.
    :param state: 'running', 'completed', 'failed' or 'stopped'.
    :param checkpoint: Newest checkpoint object; empty when there is none.
    :param result: Result object once completed.
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
    """What the worker tells of itself.

    :param boot: Run of the worker.
    :param processors: Size of the worker.
    :param memory_gb: Size of the worker, in GB.
    :param accelerators: Accelerators.
    :param tasks: Attempts that run, and ended ones not yet forgotten.
    """

    boot: str
    processors: float
    memory_gb: float
    accelerators: int = 0
    tasks: list[WorkerTask]


class Worker(Protocol):
    """Run tasks under leases."""

    def get_status(self):
        """Return ``Result`` of ``WorkerStatus``."""

    def start(self, attempt, spec, checkpoint, lease_end):
        """Start an attempt under a lease until an instant of the machine's clock."""

    def renew(self, lease_end):
        """Extend the leases of all tasks."""

    def stop(self, attempt, with_checkpoint):
        """Stop an attempt; returns ``Result`` of its ``WorkerTask``."""

    def forget(self, attempt):
        """Drop an ended attempt from the list."""
