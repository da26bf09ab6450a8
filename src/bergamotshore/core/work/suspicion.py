"""Workers that look bad: judged by what became of runs on them against the others."""

from dataclasses import dataclass

# Runs that failed one after another on a worker, while most elsewhere do not, before it
# gets no more work; then one probe at a time.
FAILURES_IN_A_ROW = 3
OTHERS_FAILURE_SHARE = 0.5
# First and longest time without work, in seconds. Bad spells of workers last seconds.
FIRST_HOLD_SECONDS = 1.5
LONGEST_HOLD_SECONDS = 12.0
FAILED = "failed"
STUCK = "stuck"
GOOD = {"done"}
# Refusals of a worker that call itself unhealthy or full, for a short hold.
REFUSALS = {"busy", "room"}
REFUSAL_HOLD_SECONDS = 0.5


@dataclass(slots=True)
class WorkerRecord:
    """What became of runs on one worker.

    :param failures_in_a_row: Failed runs since the last good one.
    :param held_until: End of the time without work, in seconds.
    :param hold: Length of the latest time without work, in seconds.
    """

    failures_in_a_row: int = 0
    held_until: float = 0.0
    hold: float = 0.0


class WorkerQuarantine:
    """Keep new work away from workers on which runs fail."""

    def __init__(self):
        self.record_by_node = {}

    def record_fact(self, fact):
        """Take in a ``RunOutcome``."""
        record = self.record_by_node.setdefault(fact.node, WorkerRecord())
        if fact.outcome in GOOD:
            record.failures_in_a_row = 0
            record.hold = 0.0
        elif fact.outcome == FAILED:
            record.failures_in_a_row += 1
            if record.failures_in_a_row >= FAILURES_IN_A_ROW:
                self._hold(fact.node, record, fact.at)
        elif fact.outcome == STUCK:
            self._hold(fact.node, record, fact.at)
        elif fact.outcome in REFUSALS:
            record.held_until = max(record.held_until, fact.at + REFUSAL_HOLD_SECONDS)

    def record_slow(self, node, now):
        """Take note that a worker works much slower than others.

        :returns: True when it gets no more work from now on.
        """
        record = self.record_by_node.setdefault(node, WorkerRecord())
        was_held = now < record.held_until
        self._hold(node, record, now)
        return now < record.held_until and not was_held

    def _hold(self, node, record, now):
        if self._is_common(node) or now < record.held_until:
            return
        record.hold = min(
            LONGEST_HOLD_SECONDS, max(FIRST_HOLD_SECONDS, 2 * record.hold)
        )
        record.held_until = now + record.hold
        # One further failure after the hold is enough for the next.
        record.failures_in_a_row = FAILURES_IN_A_ROW - 1

    def _is_common(self, node):
        """Tell whether runs fail in a row on most other workers as well."""
        others = [
            record.failures_in_a_row > 0
            for name, record in self.record_by_node.items()
            if name != node
        ]
        return bool(others) and sum(others) / len(others) > OTHERS_FAILURE_SHARE

    def is_quarantined(self, node, now):
        """Tell whether a worker gets no new work now."""
        record = self.record_by_node.get(node)
        return record is not None and now < record.held_until
