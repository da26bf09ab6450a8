"""Lease of the worker beside a node: its extensions, and when it is certainly over."""

import math
from dataclasses import dataclass

from bergamotshore.core.work.leases import DRIFT_SHARE, get_lease_expiry_seconds

# The lease of a worker that has answered no call for this time isn't extended further,
# in seconds: two calls of 1.5 s each may be lost one after another.
MAX_SILENT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Extension:
    """An extension of the lease that a call carries.

    :param end_ms: End of the lease on the worker's clock, in ms; None to leave it as it
        is.
    :param expires_at: Time at which the lease is certainly over if the worker receives
        the call, on the node's clock, in seconds.
    :param former_expires_at: The same if it does not receive the call.
    """

    end_ms: int | None = None
    expires_at: float = -math.inf
    former_expires_at: float = -math.inf


class WorkerLease:
    """Bound the lease of a worker, whose clock may run slow.

    A call without an answer may have been carried out, so it counts as received.

    :param grant: ``RenewalGrant`` of the node.
    :param longest: Longest lease that the worker accepts, in seconds.
    :param now: Start of the node's process, in seconds. An earlier process may have
        extended the lease just before.
    """

    def __init__(self, grant, longest, now):
        self._grant = grant
        self._longest = longest
        self._clock_reading = None
        self._former_calls_expire_at = -math.inf
        self._answered_at = now
        self._expires_at = now + get_lease_expiry_seconds(grant.duration)

    def record_clock(self, now, clock_ms):
        """Record a reading of the worker's clock from its answer, in ms."""
        self._answered_at = now
        self._clock_reading = (now, clock_ms)

    def record_incarnation(self, now):
        """Record that a new incarnation has answered a call under a higher fence.

        Until then, it may have carried out calls that were sent to the former one. On
        its clock, their ends may lie far ahead, and it cuts them to its longest lease.
        """
        self._clock_reading = None
        self._former_calls_expire_at = now + self._longest * (1.0 + 2 * DRIFT_SHARE)
        self._expires_at = max(self._expires_at, self._former_calls_expire_at)

    def get_remaining_of_former_calls(self, now):
        """Return how long a lease may last by calls to a former incarnation.

        Such a lease does not end with the renewal grant.

        :returns: Seconds.
        """
        return max(0.0, self._former_calls_expire_at - now)

    def extend(self, now):
        """Return the ``Extension`` for a call that is about to be sent."""
        remaining = self._grant.get_remaining(now)
        is_silent = now - self._answered_at > MAX_SILENT_SECONDS
        if remaining <= 0.0 or self._clock_reading is None or is_silent:
            return Extension()
        read_at, clock_ms = self._clock_reading
        elapsed_ms = (now + remaining - read_at) * 1000 * (1.0 - DRIFT_SHARE)
        expires_at = now + remaining * (1.0 + 2 * DRIFT_SHARE)
        former, self._expires_at = self._expires_at, max(self._expires_at, expires_at)
        return Extension(clock_ms + int(elapsed_ms), expires_at, former)

    def withdraw(self, extension):
        """Take back an ``Extension`` that the worker has certainly not received."""
        if self._expires_at == extension.expires_at:
            self._expires_at = extension.former_expires_at

    def is_over(self, now):
        """Return whether every lease given to the worker has certainly expired."""
        return now > self._expires_at
