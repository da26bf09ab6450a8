"""Measure the decisions about submitted work by number of nodes.

The board and the planner that the scheduling entry uses, with runs and waiting jobs on
all workers; no network.
"""

import time

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.model import JobSpec, Step, WorkerSize
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.suspicion import WorkerQuarantine
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.entry.reports import apply_report
from bergamotshore.generated.messages import RunReport
from bergamotshore.ports.runner import WorkerIncarnation

NODE_COUNTS = (13, 72, 300, 1300)
SERVICE = "service"
# Runs of a node on the heaviest days known, and jobs that wait for each ten nodes.
TASKS_PER_NODE = 12
SERVING_PER_NODE = 2
WAITING_PER_TEN_NODES = 2
PLANS = 20
MILLISECONDS = 1000.0


class Site:
    """A scheduling entry's view of some nodes.

    :param nodes: Number of nodes.
    """

    def __init__(self, nodes):
        queues = {
            name: Queue(name, "host", f"/{name}/", SERVICE, priority=priority)
            for priority, name in enumerate(("serve", "quick", "batch"))
        }
        self.cluster = ClusterState(queues.get)
        self.suspicion = WorkerQuarantine()
        self.now = 100.0
        for index in range(nodes):
            worker = self.cluster.get_worker(f"node-{index}", "zone")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.size = SERVICE, WorkerSize(16000, 64000)
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True
        self._add("serve", nodes * SERVING_PER_NODE, cpu=3200, goal_ms=40.0, image="w")
        self._add("quick", nodes * TASKS_PER_NODE // 2, cpu=240)
        self._add("batch", nodes * TASKS_PER_NODE // 2, cpu=1800, is_filling=True)
        self.plan(is_full_scan=True)
        for worker in self.cluster.worker_by_node.values():
            for allocation in worker.allocation_by_key.values():
                allocation.sent_at, allocation.is_started = self.now, True
                allocation.first_reported_at = allocation.started_at = (
                    allocation.progressed_at
                ) = self.now
        for number in range(nodes * WAITING_PER_TEN_NODES // 10):
            self._add("quick", 6, f"wait{number}", cpu=99_000)

    def _add(self, queue, tasks, name="", **fields):
        step = Step(tasks=tasks, memory=100, estimate=2.0, **fields)
        step_fields = JobSpec(queue, name or queue, SERVICE, "p", (step,), 4)
        self.cluster.add_job(step_fields)

    def plan(self, is_full_scan):
        """Decide once."""
        view = PlanView(
            self.cluster, SiteState(), self.now, self.now, self.suspicion.is_quarantined
        )
        return make_plan(view, may_start=True, is_full_scan=is_full_scan)

    def report(self, worker):
        """Take in what one node lists."""
        running = [
            (allocation.name, allocation.number, "", 50, 10.0)
            for allocation in worker.allocation_by_key.values()
        ]
        report = RunReport(
            epoch=1,
            worker=worker.incarnation.worker,
            born=1,
            is_answering=True,
            is_lapsed=False,
            has_right=True,
            service=SERVICE,
            size=(16000, 64000, 0),
            labels=[],
            rack="",
            machine="",
            is_draining=False,
            remaining=0.0,
            running=running,
            ended=[],
            doubtful=[],
        )
        apply_report(self.cluster, worker, report, self.now)


def measure(function, times):
    """Return the time of one call, in ms."""
    began = time.perf_counter()
    for _ in range(times):
        function()
    return (time.perf_counter() - began) / times * MILLISECONDS


def main():
    """Print one row for each number of nodes."""
    print("nodes  runs  plan ms  plan with look ms  report ms  slow workers ms")
    for nodes in NODE_COUNTS:
        site = Site(nodes)
        workers = list(site.cluster.worker_by_node.values())
        runs = sum(len(worker.allocation_by_key) for worker in workers)
        plan = measure(lambda site=site: site.plan(False), PLANS)
        look = measure(lambda site=site: site.plan(True), PLANS)
        report = measure(lambda w=workers[0], s=site: s.report(w), PLANS)
        slow = measure(
            lambda s=site, w=workers: s.cluster.step_durations.find_slow_workers(w),
            PLANS,
        )
        print(
            f"{nodes:5} {runs:5} {plan:8.2f} {look:18.2f} {report:10.3f} {slow:16.2f}"
        )


if __name__ == "__main__":
    main()
