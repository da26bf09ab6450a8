"""Runs that were lost with an incarnation of the worker, as its node has seen them."""

from dataclasses import dataclass

# Time for which a node tells of them, in seconds: a successor of the scheduling entry
# begins its term within 12 s of a loss of all entries, and reads its rows.
KEPT_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost with its worker.

    :param lost_at: When its node noticed, in seconds.
    :param worked_seconds: How long it had worked when it was last listed, in seconds.
    """

    lost_at: float
    worked_seconds: float


class LostRuns:
    """Remember which runs a worker had when it was lost.

    Only the node sees that: the scheduling entry may change at any time. Callers have
    to hold the lock of the run manager.
    """

    def __init__(self):
        self._seen_at_by_key = {}
        self._listed_at = 0.0
        self._lost_by_key = {}

    def record_present(self, keys, now):
        """Record the runs that are there now.

        :param keys: Keys of all runs that the worker lists or has just started.
        """
        self._listed_at = now
        self._seen_at_by_key = {key: self._seen_at_by_key.get(key, now) for key in keys}

    def record_started(self, key, now):
        """Record that the worker has confirmed the start of a run."""
        self._seen_at_by_key.setdefault(key, now)

    def record_end(self, doubtful, now):
        """Record that the worker has ended with all its runs.

        :param doubtful: Keys of runs whose order got no answer.
        """
        seen, self._seen_at_by_key = self._seen_at_by_key, {}
        for key in {*seen, *doubtful}:
            seen_at = seen.get(key, now)
            lost_run = LostRun(now, max(0.0, self._listed_at - seen_at))
            self._lost_by_key.setdefault(key, lost_run)

    def withdraw(self, keys):
        """Record that runs are there after all."""
        for key in keys:
            self._lost_by_key.pop(key, None)

    def list_recent(self, now):
        """Return task, run, seconds of work and seconds since the loss of each run."""
        self._lost_by_key = {
            key: run
            for key, run in self._lost_by_key.items()
            if now - run.lost_at < KEPT_SECONDS
        }
        return [
            (*key, run.worked_seconds, now - run.lost_at)
            for key, run in self._lost_by_key.items()
        ]
