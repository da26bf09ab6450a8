"""Recording of ended attempts that nodes report."""

import queue
from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.core.jobs import end_attempt, get_job_id
from bergamotshore.exceptions import StaleAttempt
from bergamotshore.generated.messages import AckTask, TaskEnded

MAX_REPORTS_PER_CALL = 512


@dataclass(frozen=True, slots=True)
class EndReport:
    """A report of an ended attempt, with its sender.

    :param node: Name of the node that reported it.
    :param ended: ``TaskEnded``.
    """

    node: str
    ended: TaskEnded


class AttemptEndRecorder:
    """Write reported ends in one batch per job, and acknowledge them.

    All methods but ``report`` run in the scheduler's thread.

    :param jobs: ``JobStore``.
    :param directory: ``NodeDirectory``.
    :param quarantine: ``Quarantine``.
    :param backoff: ``Backoff``.
    :param clock: ``Clock``.
    :param recorder: ``Recorder``.
    :param registry: ``Registry``.
    """

    def __init__(self, jobs, directory, quarantine, backoff, clock, recorder, registry):
        self.jobs = jobs
        self.directory = directory
        self.quarantine = quarantine
        self.backoff = backoff
        self.clock = clock
        self.recorder = recorder
        self.registry = registry
        self._inbox = queue.SimpleQueue()

    def report(self, node, ended):
        """Queue a report of a node; thread-safe."""
        self._inbox.put(EndReport(node, ended))

    def record_all(self):
        """Record the queued reports, up to ``MAX_REPORTS_PER_CALL``."""
        reports_by_job = {}
        for _ in range(MAX_REPORTS_PER_CALL):
            try:
                report = self._inbox.get_nowait()
            except queue.Empty:
                break
            reports_by_job.setdefault(report.ended.attempt.job, []).append(report)
        for job_id, reports in reports_by_job.items():
            self._record_job_ends(job_id, reports)

    def _record_job_ends(self, job_id, reports):
        stored_job = self.jobs.job_by_id.get(job_id)
        outcome = (
            Success(stored_job) if stored_job is not None else self.jobs.read(job_id)
        )
        match outcome:
            case Success(None):
                self._acknowledge(reports)
            case Success(stored_job) if self._write_ends(stored_job, reports):
                self._acknowledge(reports)
            case Success(_):
                self.jobs.read(job_id)

    def _write_ends(self, stored_job, reports):
        """Write ended attempts of one job; return whether they may be acknowledged."""
        row = stored_job.row
        for report in reports:
            match end_attempt(row, report.ended):
                case Success(new_row):
                    row = new_row
                case Failure(StaleAttempt(current=current, reported=reported)):
                    if current < reported:
                        return False
        if row is stored_job.row:
            return self._confirm_stale(stored_job, reports)
        is_written = isinstance(self.jobs.replace(stored_job, row), Success)
        if is_written:
            for report in reports:
                self._record_end(report, row)
        return is_written

    def _confirm_stale(self, stored_job, reports):
        """Return whether the reports are stale by the table too.

        The cached row may be outdated, so it is not enough to call a report stale.
        """
        match self.jobs.read(get_job_id(stored_job.row)):
            case Success(None):
                return True
            case Success(current_job):
                return not any(
                    isinstance(end_attempt(current_job.row, report.ended), Success)
                    for report in reports
                )
        return False

    def _record_end(self, report, row):
        ended = report.ended
        attempt = ended.attempt
        subject = f"task/{attempt.job}/{attempt.index}#{attempt.attempt}"
        self.registry.count("tasks_ended_total", outcome=ended.outcome)
        self.recorder.record("task-end-recorded", subject, ended.outcome)
        if ended.outcome not in ("completed", "failed"):
            return
        now = self.clock.now()
        is_failure = ended.outcome == "failed"
        if is_failure:
            failures = row.tasks[attempt.index].failures
            self.backoff.record_failure((attempt.job, attempt.index), failures, now)
        if self.quarantine.record_outcome(report.node, is_failure, now):
            self.registry.count("nodes_quarantined_total")
            self.recorder.record("node-quarantined", f"node/{report.node}")

    def _acknowledge(self, reports):
        for report in reports:
            view = self.directory.get(report.node)
            if view is not None:
                view.stream.send(AckTask(attempt=report.ended.attempt))
