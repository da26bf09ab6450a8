"""Measure the memory that accepted jobs take, by number of steps.

It is compared with the estimate by which entries refuse jobs that they have no memory
for. The peak is that of two planning passes in which no task can start.
"""

import tracemalloc

from bench.decisions import SERVICE, Site
from bergamotshore.core.work.jobcost import estimate_job_memory
from bergamotshore.core.work.model import JobSpec, Step, decode_spec, encode_spec

NODES = 13
# Pairs of steps of a job and number of jobs.
LOADS = ((1, 1000), (2, 1000), (20, 200), (400, 20), (3000, 3))
LARGE_CPU = 99_000


def build_spec(number, steps):
    """Return an encoded job whose steps differ from each other and fit no worker."""
    return encode_spec(
        JobSpec(
            "batch",
            f"job{number}",
            SERVICE,
            "p",
            tuple(
                Step(tasks=1 + n % 50, cpu=LARGE_CPU + n, memory=n, estimate=0.5 + n)
                for n in range(steps)
            ),
            retries=4,
        )
    )


def measure(steps, jobs):
    """Return accepted, peak and estimated memory of a job, in bytes."""
    site = Site(NODES)
    specs = [build_spec(number, steps) for number in range(jobs)]
    tracemalloc.start()
    try:
        for spec in specs:
            site.cluster.add_job(decode_spec(spec))
        accepted = tracemalloc.get_traced_memory()[0]
        site.plan(is_full_scan=True)
        site.plan(is_full_scan=True)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    estimate = estimate_job_memory(decode_spec(specs[0]))
    return accepted / jobs, peak / jobs, estimate


def main():
    """Print one row for each number of steps."""
    print("steps  accepted  peak  estimate (bytes a job)")
    for steps, jobs in LOADS:
        accepted, peak, estimate = measure(steps, jobs)
        print(f"{steps:5} {accepted:9.0f} {peak:9.0f} {estimate:9}")


if __name__ == "__main__":
    main()
