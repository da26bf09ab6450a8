"""How fast filling tasks may work beside tasks that serve."""

from dataclasses import dataclass

from bergamotshore.core.work.interference import list_budgets

FULL_PACE = 100
# Paces below this get so little done that the task had better stand still, in percent.
SLOWEST_WORKING_PACE = 8
# Hysteresis avoids a new order on every small change of the figures, in percent.
SMALLEST_RAISE = 10
SMALLEST_CUT = 4


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Tell a worker to let a run work at a share of its speed.

    :param node: Node of the worker.
    :param name: Name of the task.
    :param number: Number of the run.
    :param percent: Share, 0 to 100.
    """

    node: str
    name: str
    number: int
    percent: int


def plan_throttling(view):
    """Return the ``PaceRun`` of all filling tasks that change their pace.

    Only workers whose load or report is new since the last call are looked at.
    """
    paces = []
    for worker in view.cluster.worker_by_node.values():
        is_reached = worker.stream is not None and worker.is_answering
        if worker.is_throttle_stale and is_reached and worker.cpu:
            worker.is_throttle_stale = False
            if worker.best_effort_tasks:
                paces += _plan_worker(worker, view.cluster.interference, view.now)
    return paces


def _plan_worker(worker, interference, now):
    best_effort_tasks = [
        allocation
        for allocation in worker.allocation_by_key.values()
        if allocation.step.is_filling and allocation.is_started
    ]
    changes = []
    for allocation, pace in share_budgets(worker, best_effort_tasks, interference):
        if is_worth_an_order(allocation.throttle_percent, pace):
            allocation.throttle_percent = pace
            allocation.progressed_at = now
            changes.append(
                PaceRun(worker.node, allocation.name, allocation.number, pace)
            )
    return changes


def is_worth_an_order(before, after):
    """Tell whether a change of pace is large enough, in percent."""
    if after in (0, FULL_PACE):
        return after != before
    return after - before >= SMALLEST_RAISE or before - after >= SMALLEST_CUT


def share_budgets(worker, best_effort_tasks, interference):
    """Share the load that serving tasks bear among filling tasks.

    Those that disturb least come first, so that as much work as possible gets done.

    :param best_effort_tasks: List of ``Allocation`` that fill.
    :returns: Pairs of run and pace in percent.
    """
    budgets = list_budgets(worker, interference, use_mean=False)
    if not budgets:
        return [(allocation, FULL_PACE) for allocation in best_effort_tasks]
    ranked = sorted(
        best_effort_tasks,
        key=lambda allocation: (
            _get_worst_factor(allocation, budgets, interference),
            allocation.key,
        ),
    )
    shared = []
    for allocation in ranked:
        full_share = allocation.step.cpu / worker.cpu
        part = min(
            (
                budget / max(1e-6, factor * full_share)
                for budget, factor in _list_limits(allocation, budgets, interference)
            ),
            default=1.0,
        )
        pace = round(FULL_PACE * min(1.0, max(0.0, part)))
        pace = pace if pace >= SLOWEST_WORKING_PACE else 0
        budgets = [
            (
                serving,
                budget
                - interference.get_factor(serving.step.image, allocation.step.image)
                * full_share
                * pace
                / FULL_PACE,
            )
            for serving, budget in budgets
        ]
        shared.append((allocation, pace))
    return shared


def _list_limits(allocation, budgets, interference):
    for serving, budget in budgets:
        yield (
            budget,
            interference.get_factor(serving.step.image, allocation.step.image),
        )


def _get_worst_factor(allocation, budgets, interference):
    return max(
        interference.get_factor(serving.step.image, allocation.step.image)
        for serving, _ in budgets
    )


def get_expected_pace(worker, step, interference):
    """Return the share of its speed that a filling task would get, 0 to 1.

    :param step: ``Step`` of the task.
    """
    budgets = list_budgets(worker, interference, use_mean=True)
    part = 1.0
    for serving, budget in budgets:
        taken = sum(
            interference.get_factor(serving.step.image, allocation.step.image)
            * allocation.step.cpu
            / worker.cpu
            for allocation in worker.allocation_by_key.values()
            if allocation.step.is_filling
        )
        factor = interference.get_factor(serving.step.image, step.image)
        part = min(part, (budget - taken) / max(1e-6, factor * step.cpu / worker.cpu))
    return max(0.0, part)
