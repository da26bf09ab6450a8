"""Quarantine of workers on which runs fail while they succeed on other workers."""

from dataclasses import dataclass

# Consecutive failed runs after which a worker is quarantined, unless most other workers
# fail as well. After a quarantine, a single failure starts the next one.
MAX_CONSECUTIVE_FAILURES = 3
OTHERS_FAILURE_SHARE = 0.5
# Shortest and longest quarantine, in seconds. Disturbances of workers last seconds.
MIN_QUARANTINE_SECONDS = 1.5
MAX_QUARANTINE_SECONDS = 12.0
FAILED = "failed"
STUCK = "stuck"
SUCCESSFUL = {"done"}
# Refusals by which a worker reports itself unhealthy or full, or its node finds it too
# small; they lead to a short quarantine.
REFUSALS = {"busy", "room", "no-room"}
REFUSAL_QUARANTINE_SECONDS = 0.5


@dataclass(slots=True)
class WorkerRecord:
    """Failures and quarantine of one worker.

    :param consecutive_failures: Failed runs since the last successful one.
    :param quarantined_until: End of the latest quarantine, in seconds.
    :param quarantine_seconds: Length of the latest quarantine; 0 after a successful
        run.
    """

    consecutive_failures: int = 0
    quarantined_until: float = 0.0
    quarantine_seconds: float = 0.0


class WorkerQuarantine:
    """Track workers that get no new work because runs fail on them or they are slow."""

    def __init__(self):
        self.record_by_node = {}

    def record_fact(self, fact):
        """Update the record of a worker from a ``RunOutcome``."""
        record = self.record_by_node.setdefault(fact.node, WorkerRecord())
        if fact.outcome in SUCCESSFUL:
            record.consecutive_failures = 0
            record.quarantine_seconds = 0.0
        elif fact.outcome == FAILED:
            record.consecutive_failures += 1
            if record.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
                self._quarantine(fact.node, record, fact.at)
        elif fact.outcome == STUCK:
            self._quarantine(fact.node, record, fact.at)
        elif fact.outcome in REFUSALS:
            record.quarantined_until = max(
                record.quarantined_until, fact.at + REFUSAL_QUARANTINE_SECONDS
            )

    def record_slow(self, node, now):
        """Quarantine a worker that is much slower than others.

        :returns: True when the quarantine began with this call.
        """
        record = self.record_by_node.setdefault(node, WorkerRecord())
        was_quarantined = now < record.quarantined_until
        self._quarantine(node, record, now)
        return now < record.quarantined_until and not was_quarantined

    def _quarantine(self, node, record, now):
        if self._fails_elsewhere(node) or now < record.quarantined_until:
            return
        record.quarantine_seconds = min(
            MAX_QUARANTINE_SECONDS,
            max(MIN_QUARANTINE_SECONDS, 2 * record.quarantine_seconds),
        )
        record.quarantined_until = now + record.quarantine_seconds
        # A single failure after the quarantine starts the next one.
        record.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1

    def _fails_elsewhere(self, node):
        """Return whether the latest runs failed on most other workers as well."""
        others = [
            record.consecutive_failures > 0
            for name, record in self.record_by_node.items()
            if name != node
        ]
        return bool(others) and sum(others) / len(others) > OTHERS_FAILURE_SHARE

    def is_quarantined(self, node, now):
        """Return whether a worker is quarantined and gets no new work."""
        record = self.record_by_node.get(node)
        return record is not None and now < record.quarantined_until
