"""Throttling of best-effort tasks that share a worker with latency-critical tasks.

Best-effort tasks are those with ``is_filling``; latency-critical tasks are those with a
goal for their tail latency.
"""

from dataclasses import dataclass

from bergamotshore.core.work.interference import list_load_budgets

FULL_SPEED = 100
# A task throttled below this makes too little progress and is paused, in percent.
MIN_SPEED_PERCENT = 8
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
    for worker in view.cluster.worker_by_node.values():
        is_reachable = worker.stream is not None and worker.is_answering
        if worker.is_throttle_stale and is_reachable and worker.cpu:
            worker.is_throttle_stale = False
            if worker.best_effort_tasks:
                orders += _plan_worker(worker, view.cluster.interference, view.now)
    return orders


def _plan_worker(worker, interference, now):
    best_effort = [
        run
        for run in worker.allocation_by_key.values()
        if run.step.is_filling and run.is_started
    ]
    changes = []
    for run, speed in allocate_speeds(worker, best_effort, interference):
        if is_significant_change(run.throttle_percent, speed):
            run.throttle_percent = speed
            run.progressed_at = now
            changes.append(ThrottleRun(worker.node, run.name, run.number, speed))
    return changes


def is_significant_change(before, after):
    """Return whether a change of a speed limit is large enough to send, in percent."""
    if after in (0, FULL_SPEED):
        return after != before
    return (
        after - before >= MIN_INCREASE_PERCENT or before - after >= MIN_DECREASE_PERCENT
    )


def allocate_speeds(worker, best_effort, interference):
    """Divide the load that latency-critical tasks tolerate among best-effort tasks.

    Tasks that interfere least are served first, which maximizes the work done.

    :param best_effort: List of ``Allocation`` of best-effort tasks.
    :returns: Pairs of run and allowed speed in percent.
    """
    budgets = list_load_budgets(worker, interference, use_mean=False)
    if not budgets:
        return [(run, FULL_SPEED) for run in best_effort]
    ranked = sorted(
        best_effort,
        key=lambda run: (_get_worst_factor(run, budgets, interference), run.key),
    )
    allocated = []
    for run in ranked:
        full_share = run.step.cpu / worker.cpu
        speed_share = min(
            (
                budget / max(1e-6, factor * full_share)
                for budget, factor in _list_budget_factors(run, budgets, interference)
            ),
            default=1.0,
        )
        speed = round(FULL_SPEED * min(1.0, max(0.0, speed_share)))
        speed = speed if speed >= MIN_SPEED_PERCENT else 0
        budgets = [
            (
                critical,
                budget
                - interference.get_factor(critical.step.image, run.step.image)
                * full_share
                * speed
                / FULL_SPEED,
            )
            for critical, budget in budgets
        ]
        allocated.append((run, speed))
    return allocated


def _list_budget_factors(run, budgets, interference):
    """Yield each budget with the interference factor of a run for it."""
    for critical, budget in budgets:
        yield (
            budget,
            interference.get_factor(critical.step.image, run.step.image),
        )


def _get_worst_factor(run, budgets, interference):
    return max(
        interference.get_factor(critical.step.image, run.step.image)
        for critical, _ in budgets
    )


def get_expected_speed(worker, step, interference):
    """Return the share of full speed that a best-effort task would be allowed, 0 to 1.

    :param step: ``Step`` of the task.
    """
    budgets = list_load_budgets(worker, interference, use_mean=True)
    speed_share = 1.0
    for critical, budget in budgets:
        used_budget = sum(
            interference.get_factor(critical.step.image, run.step.image)
            * run.step.cpu
            / worker.cpu
            for run in worker.allocation_by_key.values()
            if run.step.is_filling
        )
        factor = interference.get_factor(critical.step.image, step.image)
        speed_share = min(
            speed_share,
            (budget - used_budget) / max(1e-6, factor * step.cpu / worker.cpu),
        )
    return max(0.0, speed_share)
