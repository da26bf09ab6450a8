"""Recording of the ends of attempts that nodes report."""

import queue
from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.core.jobs import end_attempt, get_job_id
from bergamotshore.exceptions import StaleAttempt
from bergamotshore.generated.messages import AckTask, TaskEnded

INBOX_BATCH = 512


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """A report with the node that sent it.

    :param node: Name of the node.
    :param ended: ``TaskEnded``.
    """

    node: str
    ended: TaskEnded


class EndRecorder:
    """Write reported ends, those of one job together, and acknowledge them.

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
        """Take a report of a node; from any thread."""
        self._inbox.put(ReportedEnd(node, ended))

    def record_all(self):
        """Record what was reported since the last call."""
        reports_by_job = {}
        for _ in range(INBOX_BATCH):
            try:
                report = self._inbox.get_nowait()
            except queue.Empty:
                break
            reports_by_job.setdefault(report.ended.attempt.job, []).append(report)
        for job_id, reports in reports_by_job.items():
            self._record_job(job_id, reports)

    def _record_job(self, job_id, reports):
        held = self.jobs.by_job_id.get(job_id)
        outcome = Success(held) if held is not None else self.jobs.read(job_id)
        match outcome:
            case Success(None):
                self._acknowledge(reports)
            case Success(held) if self._write(held, reports):
                self._acknowledge(reports)
            case Success(_):
                self.jobs.read(job_id)

    def _write(self, held, reports):
        """Write the ends of attempts of one job; True when nothing is left to do."""
        row = held.row
        for report in reports:
            match end_attempt(row, report.ended):
                case Success(new_row):
                    row = new_row
                case Failure(StaleAttempt(current=current, reported=reported)):
                    if current < reported:
                        return False
        if row is held.row:
            return self._confirm_stale(held, reports)
        is_written = isinstance(self.jobs.replace(held, row), Success)
        if is_written:
            for report in reports:
                self._note(report, row)
        return is_written

    def _confirm_stale(self, held, reports):
        """Make sure from the table that no report was missed by an old copy."""
        match self.jobs.read(get_job_id(held.row)):
            case Success(None):
                return True
            case Success(fresh):
                return not any(
                    isinstance(end_attempt(fresh.row, report.ended), Success)
                    for report in reports
                )
        return False

    def _note(self, report, row):
        ended = report.ended
        attempt = ended.attempt
        name = f"task/{attempt.job}/{attempt.index}#{attempt.attempt}"
        self.registry.count("tasks_ended_total", outcome=ended.outcome)
        self.recorder.record("task-end-recorded", name, ended.outcome)
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
