"""Leases of workers that do not end with the renewal grants of their nodes."""

import math
import threading

from bergamotshore.core.work.leases import DRIFT_SHARE

# Largest number of leases in one heartbeat, which bounds its size to some 35 kB. All
# workers of a site may restart together.
MAX_ANNOUNCED = 500
# Time for which a bound is kept after the end of the lease, in seconds: a message that
# was delayed must not bring the lease back.
KEPT_SECONDS = 30.0
# Incarnation of a lease that an entry of an earlier revision passes on, which names
# none.
UNKNOWN_INCARNATION = 0


class WorkerLeases:
    """Bounds of leases that workers may have taken from calls to a former incarnation.

    Nodes tell them to all entries that they reach; these pass them on, and so do the
    ones that learn of them, so that an entry that starts later knows of them although
    the node may be lost by then. An incarnation has one such lease, and each message on
    it is an upper bound, so the least of them holds and passing it on adds nothing to
    it.

    The methods may be called from any thread.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._until_by_born_by_node = {}

    def record(self, node, born, remaining):
        """Record what a node or another entry tells of the lease of a worker.

        :param born: Start time of the worker's incarnation, in ms.
        :param remaining: Longest time for which the lease may last, in seconds.
        :returns: Whether this entry did not know of the lease.
        """
        if remaining <= 0.0:
            return False
        now = self._clock.now()
        until = now + remaining * (1.0 + 2 * DRIFT_SHARE)
        with self._lock:
            former = self._until_by_born_by_node.get(node, {})
            until_by_born = {
                key: end for key, end in former.items() if now < end + KEPT_SECONDS
            }
            known = until_by_born.get(born)
            # Without the incarnation, messages may be on different leases.
            choose = max if born == UNKNOWN_INCARNATION else min
            until_by_born[born] = until if known is None else choose(until, known)
            self._until_by_born_by_node[node] = until_by_born
        return known is None

    def get_end(self, node):
        """Return when such a lease is certainly over.

        :returns: Time in seconds; minus infinity without a lease.
        """
        with self._lock:
            ends = self._until_by_born_by_node.get(node, {}).values()
            return max(ends, default=-math.inf)

    def list_announced(self):
        """Return node, incarnation and remaining seconds of each lease to pass on."""
        now = self._clock.now()
        with self._lock:
            leases = [
                (node, born, until - now)
                for node, until_by_born in self._until_by_born_by_node.items()
                for born, until in until_by_born.items()
                if until > now and born != UNKNOWN_INCARNATION
            ]
        return sorted(leases, key=lambda lease: lease[2])[-MAX_ANNOUNCED:]

    def list_for_former_revision(self):
        """Return the same without incarnations, as former revisions read it."""
        return [(node, remaining) for node, _, remaining in self.list_announced()]
