"""Cores of the open workers of a service: what new work can have, and what is free."""

from bergamotshore.core.work.workers import LATENCY_CRITICAL_IDLE_SHARE

MILLIS = 1000.0


def sum_cores(workers):
    """Return the cores left by long-running tasks, reserved and really used ones."""
    total = reserved = used = 0
    for worker in workers:
        total += worker.size.cpu
        for run in worker.allocation_by_key.values():
            if run.step.is_lasting:
                cpu = run.step.reserved_cpu
                reserved += cpu
                used += cpu * (1.0 - get_idle_step_share(run.step))
    return max(0, total - reserved) / MILLIS, max(0.0, total - used) / MILLIS


def get_idle_step_share(step):
    """Return the share of its processors that a step leaves idle on average."""
    return LATENCY_CRITICAL_IDLE_SHARE if step.goal_ms else 0.0


def measure_idle(workers_by_service, present):
    """Return the free share of the present cores, and the same for best-effort work."""
    idle, filling_idle = {}, {}
    for service, workers in workers_by_service.items():
        cores, filling_cores = present[service]
        free = sum(max(0, w.size.cpu - w.used_cpu) for w in workers) / MILLIS
        filling_free = sum(max(0, w.get_best_effort_cpu()) for w in workers) / MILLIS
        idle[service] = min(1.0, free / cores) if cores else 0.0
        filling_idle[service] = (
            min(1.0, filling_free / filling_cores) if filling_cores else 0.0
        )
    return idle, filling_idle


def build_fit_check(workers_by_service):
    """Return a function that tells whether any open worker can take a step."""
    fits_by_need = {}

    def can_run(service, step):
        need = (service, step.cpu, step.memory, step.accelerators, step.label)
        if need not in fits_by_need:
            workers = workers_by_service.get(service, ())
            fits_by_need[need] = any(worker.could_fit(step) for worker in workers)
        return fits_by_need[need]

    return can_run
