"""Relocation of best-effort runs that are throttled while other workers have room.

A run is placed where it disturbs least at that time, but loads swing and further tasks
arrive. A task with checkpoints loses only a moment when it is stopped and resumes on
another worker, so a run that gets little speed is moved where it gets much more.
"""

from dataclasses import dataclass

from bergamotshore.core.work.interference import get_budget_by_image
from bergamotshore.core.work.pacing import (
    FULL_SPEED,
    allocate_speeds,
    get_expected_speed,
)
from bergamotshore.core.work.placing import choose_worker
from bergamotshore.core.work.runslots import list_workers_with_slot
from bergamotshore.core.work.stops import StopRun, is_stopping
from bergamotshore.core.work.waiting import (
    WaitingStep,
    count_runs_by_node,
    group_workers,
    list_eligible_workers,
)

# A run stays at least this long on a worker, in seconds: stop, restart and restore of a
# run take under a second.
MIN_STAY_SECONDS = 1.5
# Least gain of speed, as a share of full speed.
MIN_GAIN = 0.4
# A run without checkpoints is only moved while less than this is done, in percent.
MAX_LOST_PERCENT = 10
# Runs relocated in one pass, per 100 workers.
MAX_MOVES_PER_100_WORKERS = 10


@dataclass(frozen=True, slots=True)
class SlowRun:
    """A best-effort run that gets little speed.

    :param worker: ``WorkerState`` that it runs on.
    :param run: ``Allocation``.
    :param speed: Share of its full speed that it gets in the long run.
    """

    worker: object
    run: object
    speed: float


def plan_relocations(view):
    """Return a ``StopRun`` for each run that would be much faster on another worker.

    Must be called after ``plan_starts``, so that the room found is room that no waiting
    task can use.
    """
    slow_runs = []
    for worker in view.cluster.list_sized_workers():
        with view.containing("relocation", worker.node):
            if worker.best_effort_tasks and worker.latency_critical_tasks:
                slow_runs += _list_slow_runs(view, worker)
    slow_runs.sort(key=lambda item: item.speed)
    workers_by_service = group_workers(view) if slow_runs else {}
    workers = len(view.cluster.worker_by_node)
    max_moves = max(1, workers * MAX_MOVES_PER_100_WORKERS // 100)
    stops = []
    taken_nodes = set()
    shapes_without_target = set()
    for item in slow_runs:
        run = item.run
        shape = (run.step.image, run.step.cpu, run.step.label, run.ref.job)
        if shape in shapes_without_target:
            continue
        target = None
        with view.containing("relocation", run.ref.job):
            target = _find_target(view, item, workers_by_service, taken_nodes)
        if target is None:
            shapes_without_target.add(shape)
            continue
        taken_nodes.add(target.node)
        run.stop_sent_at = view.now
        stops.append(StopRun(item.worker.node, run.name, run.number, "relocated"))
        if len(stops) >= max_moves:
            break
    return stops


def _list_slow_runs(view, worker):
    """Return the ``SlowRun`` of those runs of a worker that may be moved."""
    best_effort = [
        run
        for run in worker.allocation_by_key.values()
        if run.step.is_filling and run.is_started and not is_stopping(run, view.now)
    ]
    interference = view.cluster.interference
    budget_by_image = get_budget_by_image(worker, interference)
    speeds = allocate_speeds(best_effort, budget_by_image, worker.size, interference)
    return [
        SlowRun(worker, run, percent / FULL_SPEED)
        for run, percent in speeds
        if percent / FULL_SPEED <= 1.0 - MIN_GAIN
        and view.now - run.started_at >= MIN_STAY_SECONDS
        and (run.step.has_checkpoints or run.percent < MAX_LOST_PERCENT)
        and not (run.step.is_gang or run.step.is_lasting)
    ]


def _find_target(view, item, workers_by_service, taken_nodes):
    """Return a worker that would let a run work much faster, or None."""
    run = item.run
    progress = view.cluster.job_by_key.get(run.ref.job)
    if progress is None or progress.is_cancelled or progress.outcome:
        return None
    waiting = WaitingStep(progress, run.ref.occurrence, run.ref.step, [run.ref], ())
    workers = [
        worker
        for worker in list_workers_with_slot(
            view.cluster,
            waiting,
            list_eligible_workers(view, waiting, workers_by_service),
        )
        if worker is not item.worker and worker.node not in taken_nodes
    ]
    interference = view.cluster.interference
    target = choose_worker(run.step, workers, count_runs_by_node(waiting), interference)
    if target is None:
        return None
    speed = get_expected_speed(target, run.step, interference)
    return target if speed - item.speed >= MIN_GAIN else None
