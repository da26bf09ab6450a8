"""Runs that a report of a node names, and what their absence proves."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedRuns:
    """Runs named in a report: running, of unknown outcome, or ended and unacknowledged.

    :param keys: Keys of the runs.
    :param is_complete: Whether no run is missing. A worker lists a limited number of
        ends at a time, so a run that it doesn't list may have ended.
    """

    keys: frozenset
    is_complete: bool

    def may_include(self, key):
        """Return whether a run is there, or has an end that was not reported yet."""
        return key in self.keys or not self.is_complete


def get_reported_runs(report):
    """Return the ``ReportedRuns`` of a ``RunReport``."""
    keys = {(task, number) for task, number, *_ in report.running}
    keys.update((task, number) for _, task, number, *_ in report.ended)
    keys.update(report.doubtful)
    return ReportedRuns(frozenset(keys), report.is_complete)
