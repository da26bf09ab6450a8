"""Resource sizes and the reservations on one worker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Size:
    """An amount of each resource.

    :param processors: Number of processors; may be fractional.
    :param memory_gb: Memory, in GB.
    :param accelerators: Number of accelerators.
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
        """Whether ``other`` fits into this size."""
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
    """Tracks the resources reserved on one worker.

    Resources are reserved before a task starts and released only after the task is
    proven to have stopped.

    :param total: Size of the worker.
    """

    def __init__(self, total):
        self.total = total
        self.size_by_key = {}

    @property
    def free(self):
        """Return the unreserved size."""
        reserved = sum(self.size_by_key.values(), Size())
        return self.total - reserved

    def reserve(self, key, size):
        """Reserve a size under a key.

        :returns: True on success; False, reserving nothing, when the size does not fit
            or the key already has a reservation.
        """
        if key in self.size_by_key or not self.free.fits(size):
            return False
        self.size_by_key[key] = size
        return True

    def restore(self, key, size):
        """Record what the worker already runs, even if it exceeds the total."""
        self.size_by_key[key] = size

    def release(self, key):
        """Release the reservation of a key, if any."""
        self.size_by_key.pop(key, None)
