"""Jobs that a planning pass looks at, when looking at all would take too long.

A pass that takes seconds acts on knowledge that is too old to start anything by. So it
looks at the jobs that are first in order, at some small ones, which cost little, and at
a part of the others that moves on from pass to pass. The last matters where the first
jobs can't be placed at all.
"""

# Steps whose dependencies are done that a pass looks at, but for the last job. More
# take over 0.1 s.
MAX_STEPS_IN_PASS = 4000
# Shares of them for the jobs that are first, for small ones and for the others in turn.
FIRST_SHARE, SMALL_SHARE, TURN_SHARE = 0.5, 0.25, 0.25
# Most such steps of a small job.
SMALL_JOB_STEPS = 20


class JobWindow:
    """Choice of the jobs for each planning pass."""

    def __init__(self):
        self._planned_at = None
        self._last_key = ""
        # Keys of the jobs that the pass looks at; None for all.
        self.keys = None

    def choose(self, jobs, now, get_rank):
        """Return the jobs to look at; the same ones throughout a pass.

        :param jobs: Pairs of ``JobProgress`` and number of its ready steps.
        :param now: Time of the pass, in seconds.
        :param get_rank: Function that returns the sort key of a job.
        """
        if sum(steps for _, steps in jobs) <= MAX_STEPS_IN_PASS:
            self.keys = None
            return [progress for progress, _ in jobs]
        if self.keys is None or now != self._planned_at:
            self._planned_at = now
            self._choose_keys(jobs, get_rank)
        return [progress for progress, _ in jobs if progress.key in self.keys]

    def _choose_keys(self, jobs, get_rank):
        ranked = sorted(jobs, key=lambda job: get_rank(job[0]))
        self.keys = set()
        self._take(ranked, FIRST_SHARE)
        small = [job for job in ranked if job[1] <= SMALL_JOB_STEPS]
        self._take(small, SMALL_SHARE)
        others = [job for job in jobs if job[0].key not in self.keys]
        keys = [progress.key for progress, _ in others]
        start = keys.index(self._last_key) + 1 if self._last_key in keys else 0
        last = self._take([*others[start:], *others[:start]], TURN_SHARE)
        self._last_key = last or self._last_key

    def _take(self, jobs, share):
        """Add jobs until their steps make up a share; return the key of the last."""
        left = share * MAX_STEPS_IN_PASS
        last = ""
        for progress, steps in jobs:
            if left <= 0:
                break
            if progress.key not in self.keys:
                self.keys.add(progress.key)
                last = progress.key
                left -= steps
        return last
