"""Ends of workers, as told by their nodes and passed on among the entries."""

import threading
from dataclasses import dataclass

from bergamotshore.generated.messages import WorkerEnd

# Ends kept for each node: those of the time without a scheduling entry.
MAX_ENDS_PER_NODE = 8
# Time for which entries pass an end on, in seconds: the lease of a worker lapses within
# 7 s, and an outage of the store may delay the next scheduling entry by 9 s.
ANNOUNCE_SECONDS = 20.0
# Time for which an end is used, in seconds: an entry that learns it last has the rest
# to take over. Later, a worker that was wrongly taken for gone may have new runs.
USED_SECONDS = ANNOUNCE_SECONDS + 10.0
# Largest number of ends in one heartbeat, which bounds its size.
MAX_ANNOUNCED = 40


@dataclass(frozen=True, slots=True)
class KnownEnd:
    """What an entry knows of the end of one incarnation of a worker.

    :param told_at: When the node told it, on this entry's clock, in seconds.
    :param is_refuted: Whether the incarnation has answered since.
    :param is_first_hand: Whether the node told this entry itself.
    """

    told_at: float
    is_refuted: bool
    is_first_hand: bool


class WorkerEnds:
    """Ends of workers by node and incarnation.

    A node may take an end back. What others pass on may be older than that, so it never
    replaces what the node has told since, and never an end that was taken back.

    The methods may be called from any thread.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._end_by_born_by_node = {}
        self._answer_by_node = {}

    def record_report(self, node, born, is_gone):
        """Record whether a node reports its worker as gone.

        :param born: Start time of the worker's incarnation, in ms.
        :returns: Whether the end is new.
        """
        now = self._clock.now()
        with self._lock:
            if not is_gone and born:
                self._answer_by_node[node] = (born, now)
            known = self._end_by_born_by_node.get(node, {}).get(born)
            is_known = known is not None and not known.is_refuted
            if is_gone != is_known or (is_gone and not known.is_first_hand):
                self._store(node, born, KnownEnd(now, not is_gone, True))
            return is_gone and not is_known

    def record_end_of_known(self, node):
        """Record that a node that has restarted reports its worker as gone.

        The node does not know the incarnation that has ended: it is the last one that
        has answered as far as this entry knows, or a later one.

        :returns: Whether an end is new.
        """
        now = self._clock.now()
        with self._lock:
            born, _ = self._answer_by_node.get(node, (0, 0.0))
            known = self._end_by_born_by_node.get(node, {}).get(born)
            is_new = bool(born) and (known is None or known.is_refuted)
            if is_new:
                # While the node is heard, its reports tell which runs were lost.
                self._store(node, born, KnownEnd(now, False, False))
            return is_new

    def record_passed_on(self, end):
        """Record an end that another entry passes on.

        :param end: ``WorkerEnd``.
        :returns: Whether it is new.
        """
        told_at = self._clock.now() - end.age
        with self._lock:
            known = self._end_by_born_by_node.get(end.node, {}).get(end.born)
            answered_born, answered_at = self._answer_by_node.get(end.node, (0, 0.0))
            if known is None and answered_born == end.born and answered_at >= told_at:
                # Passed on as taken back from now on.
                self._store(end.node, end.born, KnownEnd(answered_at, True, True))
                return False
            is_newer = known is None or (
                end.is_refuted
                and not known.is_refuted
                and not (known.is_first_hand and told_at < known.told_at)
            )
            if is_newer:
                self._store(
                    end.node, end.born, KnownEnd(told_at, end.is_refuted, False)
                )
            return is_newer and not end.is_refuted

    def _store(self, node, born, end):
        ends = self._end_by_born_by_node.setdefault(node, {})
        ends.pop(born, None)
        ends[born] = end
        while len(ends) > MAX_ENDS_PER_NODE:
            del ends[next(iter(ends))]

    def get_ended_incarnations(self, node, is_node_heard=False):
        """Return the start times of a node's workers that are gone, in ms.

        :param is_node_heard: Whether this entry hears the node, or may do so soon. Then
            only what the node itself told counts, since it also tells which runs were
            lost with the worker.
        """
        now = self._clock.now()
        with self._lock:
            ends = self._end_by_born_by_node.get(node, {})
            return tuple(
                born
                for born, end in ends.items()
                if not end.is_refuted
                and now - end.told_at < USED_SECONDS
                and (end.is_first_hand or not is_node_heard)
            )

    def list_announced(self):
        """Return each ``WorkerEnd`` to pass on; the latest if there are many."""
        now = self._clock.now()
        with self._lock:
            recent = [
                (end.told_at, node, born, end.is_refuted)
                for node, ends in self._end_by_born_by_node.items()
                for born, end in ends.items()
                if now - end.told_at < ANNOUNCE_SECONDS
            ]
        return [
            WorkerEnd(
                node=node,
                born=born,
                age=max(0.0, now - told_at),
                is_refuted=is_refuted,
            )
            for told_at, node, born, is_refuted in sorted(recent)[-MAX_ANNOUNCED:]
        ]
