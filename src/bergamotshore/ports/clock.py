"""The clock port."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time; tests pause and advance it."""

    def now(self):
        """Return seconds on a clock that never goes back."""

    def wall(self):
        """Return seconds since the epoch, for people only."""


class SystemClock:
    """The clock of the machine.

    ``CLOCK_BOOTTIME`` goes on while the process is stopped and while the machine is
    suspended, so that a lease never looks younger than it is.
    """

    def now(self):
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self):
        """Return seconds since the epoch."""
        return time.time()
