"""Detection of long-running tasks that have had no run for seconds, and the reason.

It changes no decision; the scheduling entry logs its findings.
"""

from dataclasses import dataclass

from bergamotshore.core.work.cluster import format_task_name
from bergamotshore.core.work.model import TaskRef
from bergamotshore.core.work.waiting import WaitingStep, count_runs_by_node

# A long-running task has to run again within 6 s; a longer downtime is logged before
# that. In seconds.
REPORTED_DOWNTIME_SECONDS = 4.0
# Tasks of a job that never had a run of which the downtime is tracked: so many wait for
# the same reasons.
MAX_NEVER_STARTED = 100


@dataclass(frozen=True, slots=True)
class Downtime:
    """A long-running task without a run.

    :param name: Name of the task at workers.
    :param seconds: How long it has had no run.
    :param reason: Code of what keeps it from running.
    :param node: Node that the reason is about; empty for none.
    """

    name: str
    seconds: float
    reason: str
    node: str


class DowntimeTracker:
    """Track since when long-running tasks have had no run."""

    def __init__(self):
        self._since_by_name = {}
        self._reported_names = set()

    def update(self, view):
        """Update the downtime of all tasks.

        :param view: ``PlanView``.
        :returns: Pair of a list of ``Downtime`` to report, once for each, and a list of
            pairs of name and downtime in seconds of reported tasks that run again.
        """
        running_names = _list_running_names(view.cluster)
        since_by_name = {}
        downtimes = []
        for progress, ref in _list_lasting_tasks(view.cluster):
            name = format_task_name(progress.spec.job_id, ref)
            if name in running_names:
                continue
            since = self._since_by_name.get(name, view.now)
            since_by_name[name] = since
            seconds = view.now - since
            is_due = seconds >= REPORTED_DOWNTIME_SECONDS
            if is_due and name not in self._reported_names:
                self._reported_names.add(name)
                reason, node = find_downtime_reason(view, progress, ref)
                downtimes.append(Downtime(name, seconds, reason, node))
        resumed = [
            (name, view.now - self._since_by_name[name])
            for name in sorted(self._reported_names - since_by_name.keys())
            if name in running_names
        ]
        self._reported_names &= since_by_name.keys()
        self._since_by_name = since_by_name
        return downtimes, resumed


def _list_lasting_tasks(cluster):
    """Yield ``JobProgress`` and ``TaskRef`` of all long-running tasks that are due."""
    for progress in cluster.job_by_key.values():
        if not progress.spec.is_lasting:
            continue
        left = MAX_NEVER_STARTED
        for occurrence, number in progress.list_ready_steps():
            step = progress.spec.steps[number]
            if not step.is_lasting:
                continue
            tasks = progress.get_step_tasks(occurrence, number)
            for index in tasks.list_sample(left):
                yield progress, TaskRef(progress.key, occurrence, number, index)
            left -= min(left, tasks.untouched)


def _list_running_names(cluster):
    """Return the names of the tasks that a connected worker reports as running."""
    return {
        run.name
        for worker in cluster.worker_by_node.values()
        if worker.stream is not None and worker.is_reachable and worker.is_answering
        for run in worker.allocation_by_key.values()
        if run.is_started
    }


def find_downtime_reason(view, progress, ref):
    """Return the reason why a task doesn't run, and the node that it is about.

    :param view: ``PlanView``.
    :param progress: ``JobProgress``.
    :param ref: ``TaskRef``.
    """
    runs = progress.get_task(ref).runs
    if runs:
        worker = view.cluster.worker_by_node.get(runs[0].node)
        return _find_run_state(worker), runs[0].node
    item = WaitingStep(progress, ref.occurrence, ref.step, [ref], ())
    step = item.step
    service = view.cluster.get_service(progress.spec)
    counts = count_runs_by_node(item)
    reason, node = "no-room", ""
    for worker in view.cluster.worker_by_node.values():
        is_full = step.per_worker and counts.get(worker.node, 0) >= step.per_worker
        has_label = not step.label or step.label in worker.labels
        if worker.service != service or not has_label or is_full:
            continue
        if not worker.fits(step):
            continue
        reason, node = _find_closing_reason(view, item, worker), worker.node
        if reason == "not-placed":
            break
    return reason, node


def _find_run_state(worker):
    """Return what is known of a worker whose run is taken for active."""
    if worker is None or not worker.is_reachable:
        return "run-at-silent-node"
    if worker.stream is None:
        return "run-at-node-without-report"
    if not worker.is_answering:
        return "run-at-silent-worker"
    return "run-not-started"


def _find_closing_reason(view, item, worker):
    """Return why a worker with room gets no task of a step."""
    if worker.unknown_runs:
        return "worker-has-unknown-runs"
    if not worker.is_schedulable:
        return "worker-away"
    if worker.zone in view.site.closed_zones:
        return "zone-closed"
    if worker.node in view.is_urgent_by_draining_node:
        return "worker-evacuated"
    if view.is_excluded(worker.node, view.now):
        return "worker-quarantined"
    if not view.cluster.is_available_to(worker.node, item, view.now):
        return "worker-reserved"
    return "not-placed"
