"""Workers with runs, as the scheduling entry knows them."""

from bergamotshore.core.work.model import Step, TaskRef, build_worker_size
from bergamotshore.core.work.workers import Allocation, WorkerState
from bergamotshore.ports.runner import WorkerIncarnation
from tests.site.simulation import SERVICE

GOAL_MS = 45.0
UNLOADED_MS = 10.0


def build_worker(node="node-0", cpu=16000):
    return WorkerState(
        node,
        "zone-0",
        stream=object(),
        incarnation=WorkerIncarnation(f"worker of {node}", 1),
        service=SERVICE,
        size=build_worker_size(cpu, 64000),
        is_reachable=True,
        is_answering=True,
        has_right=True,
    )


def build_latency_critical_step(image="web", cpu=3000):
    return Step(tasks=1, cpu=cpu, image=image, goal_ms=GOAL_MS, is_lasting=True)


def build_best_effort_step(image="crunch", cpu=1600, tasks=1, **fields):
    return Step(tasks=tasks, cpu=cpu, image=image, is_filling=True, **fields)


def place_run(worker, step, name, usage=0.0, percent=100, job="queue/job"):
    run = Allocation(
        ref=TaskRef(job, 0, 0, 0),
        name=name,
        number=1,
        step=step,
        born=1,
        sent_at=1.0,
        is_started=True,
        started_at=1.0,
        usage=usage,
        percent=percent,
    )
    worker.allocate(run)
    return run


def get_tail_latency(load):
    return UNLOADED_MS / (1.0 - min(load, 0.99))
