"""Clock interface."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time that tests can replace and advance."""

    def now(self):
        """Return monotonic time, in seconds."""

    def wall(self):
        """Return seconds since the epoch, for display only."""


class SystemClock:
    """The machine's boot-time clock.

    ``CLOCK_BOOTTIME`` keeps counting while the process is stopped and while the machine
    is suspended, so the age of a lease is never underestimated.
    """

    def now(self):
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self):
        """Return seconds since the epoch."""
        return time.time()
