"""Leases of workers that do not end with the renewal grants of their nodes."""

import math
import threading

from bergamotshore.core.work.leases import DRIFT_SHARE

# Largest number of leases in one heartbeat, which bounds its size. Each lasts for some
# seconds after a worker has restarted.
MAX_ANNOUNCED = 40
# Bounds of one lease that are told one after another differ by the time that messages
# take; one that is later by this much is of another lease, in seconds.
SAME_LEASE_SECONDS = 1.0


class WorkerLeases:
    """Bounds of leases that workers may have taken from calls to a former incarnation.

    Nodes tell them to all entries that they reach; these pass them on, so that an entry
    that starts later knows of them although the node may be lost by then. What another
    entry has passed on is not passed on further: each time adds to the bound.

    The methods may be called from any thread.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._told_until_by_node = {}
        self._passed_on_until_by_node = {}

    def record_report(self, node, remaining):
        """Record what a node tells of the lease of its worker.

        :param remaining: Longest time for which the lease may last, in seconds.
        :returns: Whether this entry did not know of the lease.
        """
        return self._record(self._told_until_by_node, node, remaining)

    def record_passed_on(self, node, remaining):
        """Record what another entry passes on; see ``record_report``."""
        return self._record(self._passed_on_until_by_node, node, remaining)

    def _record(self, until_by_node, node, remaining):
        if remaining <= 0.0:
            return False
        until = self._clock.now() + remaining * (1.0 + 2 * DRIFT_SHARE)
        with self._lock:
            is_new = until > self._get_end(node) + SAME_LEASE_SECONDS
            until_by_node[node] = max(until, until_by_node.get(node, -math.inf))
        return is_new

    def get_end(self, node):
        """Return when such a lease is certainly over.

        :returns: Time in seconds; minus infinity without a lease.
        """
        with self._lock:
            return self._get_end(node)

    def _get_end(self, node):
        return max(
            self._told_until_by_node.get(node, -math.inf),
            self._passed_on_until_by_node.get(node, -math.inf),
        )

    def list_announced(self):
        """Return node and remaining seconds of each lease that its node has told of."""
        now = self._clock.now()
        with self._lock:
            remaining_by_node = {
                node: until - now
                for node, until in self._told_until_by_node.items()
                if until > now
            }
        by_remaining = sorted(remaining_by_node.items(), key=lambda item: item[1])
        return by_remaining[-MAX_ANNOUNCED:]
