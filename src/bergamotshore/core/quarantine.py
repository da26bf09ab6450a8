"""Workers that fail everything: judged against the others, probed from time to time."""

from dataclasses import dataclass

FAILURES_IN_A_ROW = 3
FIRST_SECONDS = 30.0
LONGEST_SECONDS = 600.0
OTHERS_FAILURE_SHARE = 0.5
OUTCOMES_KEPT = 200


@dataclass(slots=True)
class NodeRecord:
    """What became of attempts on one node.

    :param failures_in_a_row: Failures since the last attempt that did not fail.
    :param until: End of the quarantine; 0 when there is none.
    :param seconds: Length of the latest quarantine.
    :param is_probing: A single attempt was let in after the quarantine.
    """

    failures_in_a_row: int = 0
    until: float = 0.0
    seconds: float = 0.0
    is_probing: bool = False


class Quarantine:
    """Keep work away from nodes on which everything fails.

    A node is held back only when attempts elsewhere mostly do not fail: else it is the
    tasks that are bad, not the node.
    """

    def __init__(self):
        self.record_by_node = {}
        self._outcomes = []

    def record_outcome(self, node, is_failure, now):
        """Record how an attempt ended.

        :returns: True when the node was put into quarantine by it.
        """
        self._outcomes = [*self._outcomes, (node, is_failure)][-OUTCOMES_KEPT:]
        record = self.record_by_node.setdefault(node, NodeRecord())
        if not is_failure:
            self.record_by_node[node] = NodeRecord()
            return False
        record.failures_in_a_row += 1
        is_due = record.is_probing or record.failures_in_a_row >= FAILURES_IN_A_ROW
        if not is_due or self._is_everything_failing(node):
            return False
        doubled = max(FIRST_SECONDS, 2 * record.seconds)
        record.seconds = min(doubled, LONGEST_SECONDS)
        record.until = now + record.seconds
        record.is_probing = False
        return True

    def _is_everything_failing(self, node):
        """Tell whether attempts fail on other nodes as well."""
        others = [failed for name, failed in self._outcomes if name != node]
        if not others:
            return False
        return sum(others) / len(others) > OTHERS_FAILURE_SHARE

    def may_place(self, node, now):
        """Tell whether an attempt may go to a node; one may, once the time is over."""
        record = self.record_by_node.get(node)
        if record is None or record.until == 0.0:
            return True
        return now >= record.until and not record.is_probing

    def record_start(self, node, now):
        """Record that an attempt was placed; after a quarantine it is the probe."""
        record = self.record_by_node.get(node)
        if record is not None and record.until and now >= record.until:
            record.is_probing = True

    def list_quarantined(self, now):
        """Return the nodes that are held back."""
        return sorted(
            node for node in self.record_by_node if not self.may_place(node, now)
        )
