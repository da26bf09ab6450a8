"""Check of long-running tasks at each step of a simulation with faults."""

from soak.judges import LongRunningJudge


class CalmJudge:
    """Check that long-running tasks run again in time whenever no fault is there.

    Violations are added to the ledger of the simulation.

    :param simulation: ``Simulation``.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._ledger = simulation.ledger
        self.problems = simulation.ledger.problems
        self._judge = LongRunningJudge([], simulation.ledger, None, self)

    @property
    def judged(self):
        """Return how often a task was judged."""
        return self._judge.judged

    def list_long_running_jobs(self):
        """Return the accepted jobs with long-running tasks that nobody cancelled."""
        return {
            job
            for job in self._ledger.accepted_jobs
            - self._ledger.refused_jobs
            - self._ledger.cancelled_at_by_job.keys()
            if self._ledger.spec_by_job[job].is_lasting
        }

    def check(self):
        """Check all long-running tasks once; has to be called after each step."""
        self._judge._workers = self._simulation.list_usable_runners()
        self._judge.calm_since = self._simulation.get_calm_since()
        self._judge.check(self._simulation.clock.now())
