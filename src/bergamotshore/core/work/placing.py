"""Which worker takes a task."""

from bergamotshore.core.work.pacing import get_expected_pace

# A filling task waits for another worker rather than get less than this share of its
# processors.
LEAST_FILLING_SHARE = 0.35
# A filling task goes beside serving ones only where it can work at this share of its
# speed, on average.
LEAST_PACE = 0.5


def choose_worker(step, workers, counts, interference):
    """Return the best worker with room for a task of a step, or None.

    :param step: ``Step``.
    :param workers: Candidates.
    :param counts: Tasks of the step by node.
    :param interference: ``Interference``.
    """
    best = None
    best_cost = None
    for worker in workers:
        if not worker.fits(step):
            continue
        count = counts.get(worker.node, 0)
        if step.per_worker and count >= step.per_worker:
            continue
        cost = _get_cost(step, worker, interference)
        if cost is not None and (best is None or cost < best_cost):
            best, best_cost = worker, cost
    return best


def _get_cost(step, worker, interference):
    """Return the sort key of a worker for a task; None when it had better wait."""
    is_far = bool(step.rack) and step.rack not in worker.labels
    if step.is_filling:
        cost = _get_filling_cost(step, worker, interference)
        return None if cost is None else (is_far, *cost)
    if step.goal_ms:
        # Serving tasks stay together, so that filling tasks disturb nobody on the other
        # workers; those of one image do, as a filling task disturbs only some images.
        others = worker.count_other_latency_critical(step.image)
        is_new = worker.latency_critical_tasks == 0
        return (is_far, is_new, others, worker.best_effort_tasks, -worker.cpu_share)
    return (is_far, worker.latency_critical_tasks == 0, worker.cpu_share)


def _get_filling_cost(step, worker, interference):
    unused = worker.get_best_effort_cpu()
    if worker.latency_critical_tasks == 0:
        if unused < step.cpu * LEAST_FILLING_SHARE:
            return None
        return (False, -unused)
    expected = get_expected_pace(worker, step, interference)
    if expected < LEAST_PACE or unused < step.cpu:
        return None
    return (True, -min(1.0, expected))


def choose_least_disturbed_worker(step, workers, interference):
    """Return the worker on which a filling task disturbs and is disturbed least."""
    fitting = [worker for worker in workers if worker.fits(step)]
    return min(
        fitting,
        key=lambda worker: (
            -get_expected_pace(worker, step, interference),
            worker.best_effort_cpu / max(1, worker.cpu),
        ),
        default=None,
    )
