"""Applies the reports of nodes to the cluster state."""

from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.model import build_worker_size
from bergamotshore.core.work.presence import get_reported_runs
from bergamotshore.ports.runner import ListedCompletion, ListedRun, WorkerIncarnation


def apply_report(cluster, worker, report, now):
    """Apply a ``RunReport`` to the cluster state.

    :param cluster: ``ClusterState``.
    :param worker: ``WorkerState`` of the reported worker; its stream is the one on
        which the report was received.
    :param report: ``RunReport``.
    :param now: Current time, in seconds.
    :returns: List of ``ContainedError``.
    """
    collector = ErrorCollector()
    worker.has_failed_report = True
    running = [ListedRun(*row) for row in report.running]
    ended = [ListedCompletion(*row) for row in report.ended]
    present = get_reported_runs(report)
    cluster.record_incarnation(
        worker, WorkerIncarnation(report.worker, report.born), present, now
    )
    _update_worker(worker, report, now)
    if report.is_lapsed or not report.is_answering:
        worker.has_failed_report = False
        return collector.errors
    worker.reported_at = now
    worker.is_throttle_stale = True
    worker.unknown_runs = set()
    for listed in running:
        cluster.record_running(worker, listed, now)
    for key in report.doubtful:
        if key not in worker.allocation_by_key:
            worker.unknown_runs.add(key)
    for listed in ended:
        cluster.record_completion(worker, listed, now)
    cluster.release_absent(worker, present, worker.stream, now)
    worker.has_failed_report = False
    with collector.containing("interference", worker.node):
        cluster.interference.record_report(worker, now)
    return collector.errors


def _update_worker(worker, report, now):
    worker.service = report.service
    worker.size = build_worker_size(report.cpu, report.memory, report.accelerators)
    worker.labels = tuple(report.labels)
    worker.rack = report.rack
    worker.machine = report.machine
    worker.is_answering = report.is_answering
    worker.has_right = report.has_right
    worker.is_draining = report.is_draining
    worker.leaves_at = now + report.remaining if report.is_draining else 0.0
