"""Checks of running sites that need time.

Long-running tasks run again soon, and those of cancelled jobs end.
"""

import threading
import time

# A long-running task that isn't running for ``MISSING_SECONDS`` is lost. The time
# counts from ``RESTART_SECONDS`` after its last run and ``CALM_SECONDS`` after the last
# fault, and while a worker has room for it twice.
MISSING_SECONDS = 3.0
RESTART_SECONDS = 6.0
CALM_SECONDS = 4.0
REQUIRED_ROOM = 2
POLL_SECONDS = 0.2


class LongRunningJudge(threading.Thread):
    """Check runs while there are no faults.

    Long-running tasks have to run again, and runs of cancelled jobs have to end.

    :param workers: List of ``RunnerStandIn``.
    :param ledger: ``Ledger``.
    :param lock: Lock that guards the ledger.
    :param evidence: ``Evidence`` of the callers.
    """

    def __init__(self, workers, ledger, lock, evidence):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.calm_since = None
        self.judged = 0
        self._workers = workers
        self._ledger = ledger
        self._lock = lock
        self._evidence = evidence
        self._last_run_at_by_task = {}
        self._room_since_by_step = {}

    def run(self):
        """Check all tasks until stopped."""
        while not self.is_stopped:
            time.sleep(POLL_SECONDS)
            with self._lock:
                self.check(self._workers[0].clock.now())

    def check(self, now):
        """Check all tasks once.

        :param now: Current time, in seconds.
        """
        if any(worker.is_down for worker in self._workers):
            self.record_fault(now)
        if self.calm_since is not None:
            self._ledger.check_cancelled_runs(now, self.calm_since)
        running = {task for _, task in self._ledger.live}
        for job in sorted(self._evidence.list_long_running_jobs()):
            steps = self._ledger.spec_by_job[job].steps
            for number, step in enumerate(steps):
                room_since = self._get_room_since(f"{job}.0.{number}", step, now)
                for index in range(step.tasks):
                    task = f"{job}.0.{number}.{index}"
                    self._check_task(task, task in running, room_since, now)

    def record_fault(self, now):
        """Record a fault during a period that should be calm."""
        if self.calm_since is not None:
            self.calm_since = now

    def _get_room_since(self, key, step, now):
        """Return since when a worker has room for a step; the present if none has."""
        has_room = any(
            self._ledger.has_room(worker, step, REQUIRED_ROOM)
            for worker in self._workers
        )
        if not has_room:
            self._room_since_by_step[key] = now
        return self._room_since_by_step.setdefault(key, now)

    def _check_task(self, task, is_running, room_since, now):
        last_run_at = self._last_run_at_by_task.setdefault(task, now)
        if is_running:
            self._last_run_at_by_task[task] = now
        if self.calm_since is None:
            return
        calm_at = self.calm_since + CALM_SECONDS
        self.judged += now > calm_at + MISSING_SECONDS
        missing_since = max(calm_at, last_run_at + RESTART_SECONDS, room_since)
        if not is_running and now > missing_since + MISSING_SECONDS:
            self._evidence.problems.append(
                f"{task} has not run for {now - last_run_at:.1f} s"
            )
            self._last_run_at_by_task[task] = now
