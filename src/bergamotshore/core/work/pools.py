"""Capacity for which the waiting jobs of one pool compete."""

from bergamotshore.core.work.interference import get_budget_by_image

FULL_PERCENT = 100
# Smaller interference isn't told from none.
MIN_FACTOR = 0.05


def estimate_capacity(view, pool):
    """Return the capacity that the jobs of a pool may use, in thousandths of a CPU.

    :param pool: Tuple of service, priority, and whether the jobs are best-effort.
    """
    service, priority, is_filling = pool
    cluster = view.cluster
    images = list_best_effort_images(cluster) if is_filling else ()
    capacity = 0.0
    for worker in cluster.list_sized_workers():
        is_open = worker.service == service and worker.is_schedulable
        if not is_open or worker.node in view.collector.left_out:
            continue
        with view.containing("order", worker.node):
            if is_filling:
                capacity += get_best_effort_capacity(
                    worker, cluster.interference, images
                )
            else:
                capacity += _get_reserved_capacity(worker, priority)
    return capacity


def _get_reserved_capacity(worker, priority):
    """Return what is left by long-running tasks and those of higher priority."""
    taken = sum(
        run.step.reserved_cpu
        for run in worker.allocation_by_key.values()
        if run.step.is_lasting or run.priority < priority
    )
    return max(0, worker.size.cpu - taken)


def list_best_effort_images(cluster):
    """Return the images of all best-effort steps of open jobs."""
    return sorted(
        {
            step.image
            for progress in cluster.job_by_key.values()
            for step in progress.spec.steps
            if step.is_filling
        }
    )


def get_best_effort_capacity(worker, interference, images):
    """Return what best-effort tasks may use of a worker, in thousandths of a CPU.

    Beside latency-critical tasks, no more counts than they tolerate: what is allowed
    now, or what a typical task would be allowed if there are fewer tasks.

    :param images: Images of the best-effort tasks.
    """
    idle = max(0.0, worker.get_best_effort_cpu() + worker.best_effort_cpu)
    if worker.latency_critical_tasks == 0:
        return idle
    allowed = sum(
        run.step.cpu * (run.throttle_percent or 0) / FULL_PERCENT
        for run in worker.allocation_by_key.values()
        if run.step.is_filling
    )
    for_typical = worker.size.cpu * min(
        max(0.0, budget) / max(MIN_FACTOR, _get_mean_factor(interference, name, images))
        for name, budget in get_budget_by_image(worker, interference).items()
    )
    return min(idle, max(allowed, for_typical))


def _get_mean_factor(interference, critical_image, images):
    factors = [interference.get_factor(critical_image, image) for image in images]
    return sum(factors) / max(1, len(factors))
