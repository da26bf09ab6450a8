"""Reservations of one worker's processors, memory and accelerators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Size:
    """An amount of each resource.

    :param processors: Processors.
    :param memory_gb: Memory, in GB.
    :param accelerators: Accelerators.
    """

    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def __add__(self, other):
        return Size(
            self.processors + other.processors,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Size(
            self.processors - other.processors,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, other):
        """Tell whether ``other`` fits into this size."""
        return (
            other.processors <= self.processors + 1e-9
            and other.memory_gb <= self.memory_gb + 1e-9
            and other.accelerators <= self.accelerators
        )


def get_size(spec):
    """Return the declared size of a task.

    :param spec: ``TaskSpec``.
    """
    return Size(spec.processors, spec.memory_gb, spec.accelerators)


class ReservationLedger:
    """Reserve before a start, free only after a proven stop.

    :param total: Size of the worker.
    """

    def __init__(self, total):
        self.total = total
        self.size_by_key = {}

    @property
    def free(self):
        """Return what is not reserved."""
        reserved = sum(self.size_by_key.values(), Size())
        return self.total - reserved

    def reserve(self, key, size):
        """Reserve a size under a key.

        :returns: True when it fits; nothing is reserved otherwise.
        """
        if key in self.size_by_key or not self.free.fits(size):
            return False
        self.size_by_key[key] = size
        return True

    def restore(self, key, size):
        """Record what the worker runs already, even when it is over the limit."""
        self.size_by_key[key] = size

    def release(self, key):
        """Free the reservation of a key."""
        self.size_by_key.pop(key, None)
