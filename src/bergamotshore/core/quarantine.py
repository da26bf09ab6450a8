"""Quarantine of nodes on which every attempt fails.

A node is compared with the other nodes, and probed with one attempt when its quarantine
expires.
"""

from dataclasses import dataclass

CONSECUTIVE_FAILURES = 3
INITIAL_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0
MAX_FAILURE_SHARE_OF_OTHERS = 0.5
MAX_OUTCOMES = 200


@dataclass(slots=True)
class NodeRecord:
    """Failure history and quarantine state of one node.

    :param consecutive_failures: Failures since the last attempt that did not fail.
    :param quarantined_until: End of the quarantine; 0 when there was none.
    :param duration: Duration of the latest quarantine, in seconds.
    :param is_probing: Whether the single probe attempt after a quarantine is running.
    """

    consecutive_failures: int = 0
    quarantined_until: float = 0.0
    duration: float = 0.0
    is_probing: bool = False


class Quarantine:
    """Keeps work away from nodes on which every attempt fails.

    A node is quarantined only if most recent attempts on other nodes did not fail.
    Otherwise the tasks are assumed to be at fault, not the node.
    """

    def __init__(self):
        self.record_by_node = {}
        self._outcomes = []

    def record_outcome(self, node, is_failure, now):
        """Record the outcome of an attempt.

        :returns: True when this outcome put the node into quarantine.
        """
        self._outcomes = [*self._outcomes, (node, is_failure)][-MAX_OUTCOMES:]
        record = self.record_by_node.setdefault(node, NodeRecord())
        if not is_failure:
            self.record_by_node[node] = NodeRecord()
            return False
        record.consecutive_failures += 1
        is_due = (
            record.is_probing or record.consecutive_failures >= CONSECUTIVE_FAILURES
        )
        if not is_due or self._is_failing_elsewhere(node):
            return False
        doubled = max(INITIAL_QUARANTINE_SECONDS, 2 * record.duration)
        record.duration = min(doubled, MAX_QUARANTINE_SECONDS)
        record.quarantined_until = now + record.duration
        record.is_probing = False
        return True

    def _is_failing_elsewhere(self, node):
        """Whether attempts on other nodes mostly fail as well."""
        others = [failed for name, failed in self._outcomes if name != node]
        if not others:
            return False
        return sum(others) / len(others) > MAX_FAILURE_SHARE_OF_OTHERS

    def may_place(self, node, now):
        """Whether an attempt may be placed on a node.

        Once the quarantine has expired, a single probe attempt may be placed.
        """
        record = self.record_by_node.get(node)
        if record is None or record.quarantined_until == 0.0:
            return True
        return now >= record.quarantined_until and not record.is_probing

    def record_start(self, node, now):
        """Record a placed attempt; the first one after a quarantine is the probe."""
        record = self.record_by_node.get(node)
        if (
            record is not None
            and record.quarantined_until
            and now >= record.quarantined_until
        ):
            record.is_probing = True

    def list_quarantined(self, now):
        """Return the names of the quarantined nodes, sorted."""
        return sorted(
            node for node in self.record_by_node if not self.may_place(node, now)
        )
