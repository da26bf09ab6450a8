"""Throttling of best-effort tasks that share a worker with latency-critical tasks.

Best-effort tasks are those with ``is_filling``; latency-critical tasks are those with a
goal for their tail latency.
"""

from dataclasses import dataclass

from bergamotshore.core.work.interference import get_budget_by_image

FULL_SPEED = 100
# A task throttled below this makes too little progress and is paused, in percent.
MIN_SPEED_PERCENT = 8
# Ratio of interference factors from which the difference is not due to their errors.
MUCH_LARGER_FACTOR = 2.0
# Hysteresis: smaller changes of the limit aren't sent to the worker, in percent.
MIN_INCREASE_PERCENT = 10
MIN_DECREASE_PERCENT = 4


@dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Order to a worker to limit the speed of a run.

    :param node: Node of the worker.
    :param name: Name of the task.
    :param number: Number of the run.
    :param percent: Allowed share of its full speed, 0 to 100.
    """

    node: str
    name: str
    number: int
    percent: int


def plan_throttling(view):
    """Return a ``ThrottleRun`` for each best-effort run whose speed limit changes.

    Only workers whose load or report changed since the last call are checked.
    """
    orders = []
    for worker in view.cluster.list_sized_workers():
        is_reachable = worker.stream is not None and worker.is_answering
        if worker.is_throttle_stale and is_reachable:
            worker.is_throttle_stale = False
            with view.containing("throttling", worker.node):
                if worker.best_effort_tasks:
                    orders += _plan_worker(worker, view.cluster.interference, view.now)
    return orders


def limit_new_runs(worker, interference, now):
    """Set the speed limit of each best-effort run that is about to start.

    A run starts at full speed unless its order says otherwise, which may disturb its
    neighbours until the next report.
    """
    best_effort = [
        run for run in worker.allocation_by_key.values() if run.step.is_filling
    ]
    if worker.size is None or all(run.sent_at for run in best_effort):
        return
    budget_by_image = get_budget_by_image(worker, interference, now)
    for run, speed in allocate_speeds(
        best_effort, budget_by_image, worker.size, interference
    ):
        if not run.sent_at:
            run.throttle_percent = speed


def _plan_worker(worker, interference, now):
    best_effort = [
        run
        for run in worker.allocation_by_key.values()
        if run.step.is_filling and run.is_started
    ]
    budget_by_image = get_budget_by_image(worker, interference, now)
    changes = []
    for run, speed in allocate_speeds(
        best_effort, budget_by_image, worker.size, interference
    ):
        if is_significant_change(run.throttle_percent, speed):
            run.throttle_percent = speed
            run.progressed_at = now
            changes.append(ThrottleRun(worker.node, run.name, run.number, speed))
    return changes


def is_significant_change(before, after):
    """Return whether a change of a speed limit is large enough to send, in percent.

    :param before: Limit of the last order; None while it is unknown.
    """
    if before is None:
        return True
    if after in (0, FULL_SPEED):
        return after != before
    return (
        after - before >= MIN_INCREASE_PERCENT or before - after >= MIN_DECREASE_PERCENT
    )


def allocate_speeds(best_effort, budget_by_image, size, interference):
    """Divide the load that latency-critical tasks tolerate among best-effort tasks.

    Tasks that interfere least are served first, which maximizes the work done.

    :param best_effort: List of ``Allocation`` of best-effort tasks.
    :param budget_by_image: Load that may be added, by latency-critical image.
    :param size: ``WorkerSize``.
    :returns: Pairs of run and allowed speed in percent.
    """
    ranked = sorted(
        best_effort,
        key=lambda run: (
            _get_worst_factor(run.step, budget_by_image, interference),
            run.key,
        ),
    )
    left_by_image = dict(budget_by_image)
    allocated = []
    for run in ranked:
        share = _get_speed_share(run.step, left_by_image, size, interference)
        speed = round(FULL_SPEED * min(1.0, max(0.0, share)))
        speed = speed if speed >= MIN_SPEED_PERCENT else 0
        for image in left_by_image:
            left_by_image[image] -= (
                interference.get_factor(image, run.step.image)
                * size.get_share(run.step.cpu)
                * speed
                / FULL_SPEED
            )
        allocated.append((run, speed))
    return allocated


def _get_worst_factor(step, budget_by_image, interference):
    return max(
        (interference.get_factor(image, step.image) for image in budget_by_image),
        default=0.0,
    )


def _get_speed_share(step, budget_by_image, size, interference):
    """Return the share of full speed at which a task stays within all budgets."""
    share = size.get_share(step.cpu)
    return min(
        (
            budget / max(1e-6, interference.get_factor(image, step.image) * share)
            for image, budget in budget_by_image.items()
        ),
        default=1.0,
    )


def get_expected_speed(worker, step, interference):
    """Return the share of full speed that a best-effort task would be allowed, 0 to 1.

    Tasks that interfere much more don't count: they would get what this one leaves.

    :param worker: ``WorkerState`` of known size.
    :param step: ``Step`` of the task.
    """
    left_by_image = get_budget_by_image(worker, interference)
    limit = MUCH_LARGER_FACTOR * _get_worst_factor(step, left_by_image, interference)
    for run in worker.allocation_by_key.values():
        if not run.step.is_filling:
            continue
        if _get_worst_factor(run.step, left_by_image, interference) <= limit:
            for image in left_by_image:
                factor = interference.get_factor(image, run.step.image)
                left_by_image[image] -= factor * worker.size.get_share(run.step.cpu)
    share = _get_speed_share(step, left_by_image, worker.size, interference)
    return min(1.0, max(0.0, share))
