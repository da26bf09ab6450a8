"""Estimates of how long tasks take, from finished tasks of the same kind."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Expected duration of a task at full speed.

    :param expected: Median, in seconds; 0 when nothing is known.
    :param high: Duration that few tasks of its kind exceed, in seconds; infinite when
        too little is known.
    :param samples: Number of finished tasks behind it; 0 when it is as declared.
    """

    expected: float
    high: float
    samples: int = 0


class DurationEstimates:
    """Durations of finished tasks, by kind of task."""

    def record_outcome(self, outcome):
        """Record how long a finished run has worked.

        :param outcome: ``RunOutcome``.
        """

    def get_estimate(self, queue, step):
        """Return the ``DurationEstimate`` of a task, as declared if little is known.

        :param queue: Name of the queue of its job.
        :param step: ``Step``.
        """
        return DurationEstimate(step.estimate, float("inf"))
