"""Selection of a worker for a task."""

from bergamotshore.core.work.pacing import get_expected_speed

# A best-effort task isn't placed on a worker that can give it less than this share of
# its processors.
MIN_BEST_EFFORT_CPU_SHARE = 0.35
# A best-effort task is placed beside latency-critical ones only where its expected
# speed is at least this share of its full speed.
MIN_EXPECTED_SPEED = 0.5


def choose_worker(step, workers, counts, interference):
    """Return the best worker with free capacity for a task of a step, or None.

    :param step: ``Step``.
    :param workers: Candidate ``WorkerState`` objects.
    :param counts: Number of tasks of the step by node.
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
    """Return the sort key of a worker for a task; None when it should not go there."""
    is_far = bool(step.rack) and step.rack not in worker.labels
    if step.is_filling:
        cost = _get_best_effort_cost(step, worker, interference)
        return None if cost is None else (is_far, *cost)
    if step.goal_ms:
        # Latency-critical tasks are packed together, so that best-effort tasks on other
        # workers interfere with none. They are grouped by image, because a best-effort
        # task interferes only with some images.
        others = worker.count_other_latency_critical(step.image)
        is_new = worker.latency_critical_tasks == 0
        return (is_far, is_new, others, worker.best_effort_tasks, -worker.cpu_share)
    return (is_far, worker.latency_critical_tasks == 0, worker.cpu_share)


def _get_best_effort_cost(step, worker, interference):
    unused_cpu = worker.get_best_effort_cpu()
    if worker.latency_critical_tasks == 0:
        if unused_cpu < step.cpu * MIN_BEST_EFFORT_CPU_SHARE:
            return None
        return (False, -unused_cpu)
    expected_speed = get_expected_speed(worker, step, interference)
    if expected_speed < MIN_EXPECTED_SPEED or unused_cpu < step.cpu:
        return None
    return (True, -expected_speed)


def choose_least_disturbed_worker(step, workers, interference):
    """Return the worker with the least interference for a best-effort task, or None."""
    fitting = [worker for worker in workers if worker.fits(step)]
    return min(
        fitting,
        key=lambda worker: (
            -get_expected_speed(worker, step, interference),
            worker.size.get_share(worker.best_effort_cpu),
        ),
        default=None,
    )
