"""A burst of jobs on a few workers, with the real board and planner and no network."""

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.leases import get_grant_seconds, get_lease_expiry_seconds
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.planner import plan_copies, plan_starts
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.stops import plan_stops
from bergamotshore.core.work.suspicion import WorkerQuarantine
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.ports.runner import ListedCompletion, ListedRun, WorkerIncarnation
from tests.site.simulation import LONGEST_HOLD_SECONDS, SERVICE, build_configuration

NODES = 4
SECONDS = 1.3
LOOK_SECONDS = 0.4
LONGEST_PLAY_SECONDS = 400.0
HEARD_SECONDS = 1.3
LAPSE_SECONDS = get_lease_expiry_seconds(get_grant_seconds(LONGEST_HOLD_SECONDS))


class Burst:
    """Jobs of short tasks on workers of given speeds, in virtual time.

    Nothing is heard of a node from its time in ``silent_from_by_node`` on, in seconds
    from the begin; its worker's lease runs out in time.
    """

    def __init__(self, slow_by_node, is_speculative=False, silent_from_by_node=()):
        self.now = 100.0
        self.is_speculative = is_speculative
        self.silent_from_by_node = {
            node: self.now + since for node, since in dict(silent_from_by_node).items()
        }
        self.copied = []
        self.stopped_reasons = set()
        self.slow_by_node = slow_by_node
        self.cluster = ClusterState(build_configuration().get_queue)
        self.site = SiteState(build_configuration())
        self.suspicion = WorkerQuarantine()
        self.begun_by_key = {}
        self.ended_at_by_job = {}
        self.moved = []
        self.sequence = 0
        for index in range(NODES):
            worker = self.cluster.get_worker(f"node-{index}", "zone-0")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.cpu, worker.memory = SERVICE, 16000, 64000
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True

    def add(self, name, tasks=6):
        step = Step(
            tasks=tasks,
            cpu=1600,
            memory=100,
            estimate=SECONDS,
            is_speculative=self.is_speculative,
        )
        self.cluster.add_job(
            JobSpec("queue", name, SERVICE, "p", (step,), 3, accepted_at=self.now)
        )

    def step(self):
        """Let the workers report, then decide."""
        self.now += LOOK_SECONDS
        for worker in self.cluster.worker_by_node.values():
            silence = self._get_silence(worker.node)
            worker.is_reachable = silence < HEARD_SECONDS
            if silence < 0.0:
                self._report(worker)
            elif silence > LAPSE_SECONDS:
                self.cluster.release_all(worker, "node-silent", self.now)
        for fact in self.cluster.pop_new_outcomes():
            self.suspicion.record_fact(fact)
            self.cluster.step_durations.record_fact(fact)
        slow = self.cluster.step_durations.find_slow_workers(
            self.cluster.worker_by_node.values()
        )
        for item in slow:
            self.suspicion.record_slow(item.node, self.now)
        keys = frozenset(
            allocation.key for item in slow for allocation in item.runs_to_move
        )
        view = PlanView(
            self.cluster,
            self.site,
            self.now,
            self.now,
            self.suspicion.is_quarantined,
            slow_keys=keys,
        )
        for stop in plan_stops(view):
            self.moved.append(stop.node)
            self.stopped_reasons.add(stop.reason)
            self.end(self.cluster.worker_by_node[stop.node], stop, "stopped")
        for worker, allocation in plan_starts(view)[0]:
            self._start(worker, allocation)
        for late, worker, allocation in plan_copies(view):
            self.copied.append(late.sign)
            self._start(worker, allocation)

    def _get_silence(self, node):
        return self.now - self.silent_from_by_node.get(node, self.now + 1.0)

    def _start(self, worker, allocation):
        allocation.sent_at = self.now
        self.begun_by_key[allocation.key] = self.now
        if self._get_silence(worker.node) < 0.0:
            self.cluster.record_order_result(
                worker, allocation.key, "started", self.now
            )

    def _report(self, worker):
        worker.reported_at = self.now
        slower = self.slow_by_node.get(worker.node, 1.0)
        for allocation in list(worker.allocation_by_key.values()):
            done = (self.now - self.begun_by_key[allocation.key]) / (SECONDS * slower)
            if done >= 1.0:
                self.end(worker, allocation, "done")
                continue
            listed = ListedRun(
                allocation.name, allocation.number, "", int(100 * done), 0.0
            )
            self.cluster.record_running(worker, listed, self.now)

    def end(self, worker, run, outcome):
        self.sequence += 1
        listed = ListedCompletion(self.sequence, run.name, run.number, outcome, "")
        self.cluster.record_completion(worker, listed, self.now)
        job = run.name.split(".")[0]
        if self.cluster.job_by_key[f"queue/{job}"].outcome:
            self.ended_at_by_job.setdefault(job, self.now)


def play(slow_by_node, seconds=12.0, **options):
    """Return the burst after one job each 0.4 s for some seconds, and their times."""
    burst = Burst(slow_by_node, **options)
    times = {}
    for number in range(int(seconds / LOOK_SECONDS)):
        name = f"job{number}"
        burst.add(name)
        times[name] = burst.now
        burst.step()
    while len(burst.ended_at_by_job) < len(times):
        assert burst.now < LONGEST_PLAY_SECONDS
        burst.step()
    return burst, [burst.ended_at_by_job[name] - times[name] for name in times]
