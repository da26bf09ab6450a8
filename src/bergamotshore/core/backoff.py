"""Back-off of tasks that failed, on the clock of the process that places them."""

FIRST_SECONDS = 0.5
LONGEST_SECONDS = 60.0


class Backoff:
    """Hold a task back after each failure, twice as long each time."""

    def __init__(self):
        self._until_by_task = {}

    def record_failure(self, task, failures, now):
        """Record a failure.

        :param task: Identity of the task.
        :param failures: Failures so far, this one included.
        :param now: Current time.
        """
        seconds = min(FIRST_SECONDS * 2 ** (failures - 1), LONGEST_SECONDS)
        self._until_by_task[task] = now + seconds

    def is_delayed(self, task, now):
        """Tell whether a task has to wait; an old entry is dropped."""
        until = self._until_by_task.get(task)
        if until is None:
            return False
        if now >= until:
            del self._until_by_task[task]
            return False
        return True
