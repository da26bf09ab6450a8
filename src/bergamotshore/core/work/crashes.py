"""Tasks under which workers crash: which ones are suspected, tried alone or given up.

Several tasks run on a worker when it crashes, and at most one has crashed it. The tasks
that have just started are suspected. A suspect is started again where it meets no other
suspect and no new task, so that the next crash convicts it or its survival clears it.
"""

from dataclasses import dataclass

# A run that has worked for this long is on trial no more, in seconds. Workers list
# their runs every 0.4 s.
TRIAL_SECONDS = 1.0
# A long-running task that has worked for this long is no suspect any more, in seconds:
# twice the trial. Crashes that come from elsewhere must not add up over its life.
CLEARED_SECONDS = 2.0
# Crashes of workers under a suspect after which its job has failed: if no other run
# that may have caused the last one has as many, and in any case. The platform allows
# this from the second crash on, and two more starts after the third.
MAX_CRASHES = 3
MAX_SHARED_CRASHES = 4
# Share of the workers of a service that may hold a suspect on trial at the same time.
MAX_TRIAL_SHARE = 0.5
# After this wait, in seconds, a suspect of one crash is placed like any other task, and
# the share of workers on trial doesn't bind the others: a task that has capacity has to
# be started within 3 s.
MAX_TRIAL_WAIT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost with its worker, as told by the node.

    :param worked_seconds: How long it had worked, in seconds; 0 if its order got no
        answer.
    :param was_away: Whether the node was away as well.
    """

    worked_seconds: float
    was_away: bool


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that is suspected of having crashed its worker.

    :param name: Name of the task at workers.
    :param number: Number of the run.
    :param crashes: Crashes that are counted for the task now.
    :param is_given_up: Whether its job has failed by this crash.
    """

    name: str
    number: int
    crashes: int
    is_given_up: bool


def record_crash(cluster, worker, lost_by_key):
    """Count a crash of a worker for the runs that may have caused it.

    Has to be called before the runs of the worker are released. A crash is counted once
    for each run, whichever scheduling entry has ordered it.

    :param cluster: ``ClusterState``.
    :param worker: ``WorkerState`` that has crashed.
    :param lost_by_key: ``LostRun`` by name and number of what was there.
    :returns: List of ``CrashedRun``.
    """
    present = [
        allocation
        for allocation in worker.allocation_by_key.values()
        if allocation.key in lost_by_key and not allocation.is_crash_recorded
    ]
    crashed = []
    suspected = [
        run
        for run in present
        if lost_by_key[run.key].worked_seconds < TRIAL_SECONDS
        or _has_lost_earlier_run(cluster, run)
    ] or present
    counts = [cluster.count_crashes(run.ref) for run in suspected]
    for allocation in present:
        allocation.is_crash_recorded = True
    for allocation, count in zip(suspected, counts, strict=True):
        is_first = count == max(counts) and counts.count(count) == 1
        limit = MAX_CRASHES if is_first else MAX_SHARED_CRASHES
        progress = cluster.job_by_key.get(allocation.ref.job)
        if progress is None or progress.outcome or progress.is_cancelled:
            continue
        crashes = progress.record_crash(allocation.ref, limit)
        cluster.crash_suspects.add(allocation.ref)
        crashed.append(
            CrashedRun(
                allocation.name,
                allocation.number,
                crashes,
                is_given_up=crashes >= limit,
            )
        )
    return crashed


def _has_lost_earlier_run(cluster, allocation):
    """Return whether an earlier run of a finite task ended without an outcome.

    Each run of a task that crashes its workers does, however long it works before.
    """
    progress = cluster.job_by_key.get(allocation.ref.job)
    task = progress.get_task(allocation.ref) if progress is not None else None
    if task is None or allocation.step.is_lasting:
        return False
    return allocation.number - task.failures - task.unstarted_runs > 1


def _is_young(worker, allocation):
    return (
        not allocation.is_started
        or worker.reported_at - allocation.started_at < TRIAL_SECONDS
    )


class Trials:
    """Suspects on trial at the workers, within one planning pass.

    :param view: ``PlanView``.
    """

    def __init__(self, view):
        self._view = view
        self.nodes = set()
        if view.cluster.crash_suspects:
            self._collect()

    def _collect(self):
        cluster, now = self._view.cluster, self._view.now
        for ref in list(cluster.crash_suspects):
            progress = cluster.job_by_key.get(ref.job)
            task = progress.get_task(ref) if progress is not None else None
            if task is None or task.is_done or not task.crashes:
                cluster.crash_suspects.discard(ref)
                continue
            is_lasting = progress.spec.steps[ref.step].is_lasting
            for run in task.runs:
                age = _get_age(cluster, progress, ref, run, now)
                if age < TRIAL_SECONDS:
                    self.nodes.add(run.node)
                elif is_lasting and age > CLEARED_SECONDS:
                    progress.clear_crashes(ref)

    def has_to_be_tried(self, ref, has_waited):
        """Return whether a task may start only where no other suspect is on trial.

        :param has_waited: Whether it has waited for a trial for too long.
        """
        if ref not in self._view.cluster.crash_suspects:
            return False
        return self._view.cluster.count_crashes(ref) > (1 if has_waited else 0)

    def list_suspects(self, item, has_waited):
        """Return the set of references to the tasks of a step that have to be tried.

        :param item: ``WaitingStep``.
        """
        return {
            ref
            for ref in self._view.cluster.crash_suspects
            if ref.step_key == item.key and self.has_to_be_tried(ref, has_waited)
        }

    def list_open(self, workers):
        """Return the workers that hold no suspect on trial."""
        if not self.nodes:
            return workers
        return [worker for worker in workers if worker.node not in self.nodes]

    def choose_worker(self, item, workers, counts, has_waited):
        """Return the worker on which a crash under a suspect harms least, or None.

        :param item: ``WaitingStep`` of the suspect.
        :param workers: Candidate ``WorkerState`` objects.
        :param counts: Number of tasks of the step by node.
        :param has_waited: Whether the suspect has waited for too long.
        """
        on_trial = sum(1 for worker in workers if worker.node in self.nodes)
        limit = max(1, int(len(workers) * MAX_TRIAL_SHARE))
        if on_trial >= limit and not (item.step.is_lasting or has_waited):
            return None
        step = item.step
        fitting = [
            worker
            for worker in self.list_open(workers)
            if worker.fits(step)
            and not (step.per_worker and counts.get(worker.node, 0) >= step.per_worker)
        ]
        return min(fitting, key=_get_harm, default=None)

    def record(self, worker):
        """Record that a suspect is to start on a worker."""
        self.nodes.add(worker.node)


def _get_age(cluster, progress, ref, run, now):
    """Return how long a run has worked, in seconds; 0 while that isn't known."""
    worker = cluster.worker_by_node.get(run.node)
    for allocation in worker.allocation_by_key.values() if worker is not None else ():
        if allocation.ref == ref and allocation.number == run.number:
            return now - allocation.started_at if allocation.is_started else 0.0
    return 0.0


def _get_harm(worker):
    runs = worker.allocation_by_key.values()
    lasting = sum(run.step.is_lasting for run in runs)
    # A crash is counted for young runs as well.
    young = sum(_is_young(worker, run) for run in runs)
    return (lasting, young, len(runs))
