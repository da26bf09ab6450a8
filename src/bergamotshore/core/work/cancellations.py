"""Runs of cancelled jobs, which a node stops without an order.

The scheduling entry stops the runs of cancelled jobs. Announcements of the entries stop
them in time while no entry schedules, or while the scheduling entry does not follow the
rows of jobs. They need no term: a cancellation is final once it is stored, and its job
is not accepted again under the same id while its final state is kept.
"""

from bergamotshore.core.work.model import get_job_id
from bergamotshore.core.work.stops import STOP_RETRY_SECONDS

# Time for which an entry announces a cancellation, in seconds. The leases of a node
# that hears nothing for longer have expired.
ANNOUNCE_SECONDS = 6.5
# Time for which a cancellation is remembered, in seconds. It exceeds the longest lease
# of a run, and the time that an announcement takes through all entries.
RETENTION_SECONDS = 15.0


def keep_recent(at_by_key, now, seconds):
    """Return the items of a dict of times that are younger than a limit.

    :param at_by_key: Time by key, in seconds.
    :param seconds: The limit, in seconds.
    """
    return {key: at for key, at in at_by_key.items() if now - at < seconds}


class CancelledJobs:
    """Cancelled jobs whose runs a node stops and does not start."""

    def __init__(self):
        self._announced_at_by_job = {}
        self._stopped_at_by_key = {}

    def record(self, job_keys, now):
        """Record announced jobs.

        :returns: List of the ids of those that are new.
        """
        self._forget_old(now)
        job_ids = [get_job_id(key) for key in job_keys]
        new = [job for job in job_ids if job not in self._announced_at_by_job]
        self._announced_at_by_job.update(dict.fromkeys(job_ids, now))
        return new

    def includes(self, task, now):
        """Return whether the job of a task was cancelled recently.

        :param task: Name of the task.
        """
        self._forget_old(now)
        return task.split(".", 1)[0] in self._announced_at_by_job

    def choose_stops(self, runs, now):
        """Return task and number of the runs to stop now.

        A stop is repeated while its run is listed, since its call may be lost.

        :param runs: ``ListedRun`` objects.
        """
        self._stopped_at_by_key = keep_recent(
            self._stopped_at_by_key, now, STOP_RETRY_SECONDS
        )
        keys = [(run.task, run.number) for run in runs if self.includes(run.task, now)]
        due = [key for key in keys if key not in self._stopped_at_by_key]
        self._stopped_at_by_key.update(dict.fromkeys(due, now))
        return due

    def _forget_old(self, now):
        if self._announced_at_by_job:
            self._announced_at_by_job = keep_recent(
                self._announced_at_by_job, now, RETENTION_SECONDS
            )
