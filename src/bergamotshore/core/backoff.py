"""Retry backoff for failed tasks, on the clock of the process that places them."""

INITIAL_DELAY_SECONDS = 0.5
MAX_DELAY_SECONDS = 60.0


class Backoff:
    """Delays a task after each failure, doubling the delay each time."""

    def __init__(self):
        self._retry_at_by_task = {}

    def record_failure(self, task, failures, now):
        """Record a failure.

        :param task: Identity of the task.
        :param failures: Number of failures so far, including this one.
        :param now: Current time.
        """
        delay = min(INITIAL_DELAY_SECONDS * 2 ** (failures - 1), MAX_DELAY_SECONDS)
        self._retry_at_by_task[task] = now + delay

    def is_delayed(self, task, now):
        """Whether a task is still delayed; removes an expired entry."""
        retry_at = self._retry_at_by_task.get(task)
        if retry_at is None:
            return False
        if now >= retry_at:
            del self._retry_at_by_task[task]
            return False
        return True
