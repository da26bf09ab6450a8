"""Simulation of a burst of jobs on a few workers, with the real planner, no network."""

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.durations import SampleAccepted
from bergamotshore.core.work.leases import get_grant_seconds, get_lease_expiry_seconds
from bergamotshore.core.work.model import JobSpec, Step, WorkerSize
from bergamotshore.core.work.planner import plan_copies, plan_starts
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.stops import plan_stops
from bergamotshore.core.work.suspicion import WorkerQuarantine
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.generated.settings import Scheduling
from bergamotshore.ports.runner import ListedCompletion, ListedRun, WorkerIncarnation
from tests.site.simulation import LONGEST_HOLD_SECONDS, SERVICE, build_configuration

NO_DECISIONS_UNDER_LOAD = Scheduling()
NODES = 4
TASK_SECONDS = 1.3
REPORT_INTERVAL_SECONDS = 0.4
MAX_SIMULATED_SECONDS = 400.0
SILENCE_TIMEOUT_SECONDS = 1.3
LAPSE_SECONDS = get_lease_expiry_seconds(get_grant_seconds(LONGEST_HOLD_SECONDS))


class BurstSimulation:
    """Jobs of short tasks on workers of given speeds, in virtual time.

    A node in ``silent_from_by_node`` sends nothing from that time on, in seconds from
    the start of the simulation, and the lease of its worker expires.
    """

    def __init__(
        self,
        slowdown_by_node,
        is_speculative=False,
        silent_from_by_node=(),
        scheduling=NO_DECISIONS_UNDER_LOAD,
        get_size=lambda name: 1.0,
    ):
        self.now = 100.0
        self.scheduling = scheduling
        self.get_size = get_size
        self.unneeded_core_seconds = 0.0
        self.is_speculative = is_speculative
        self.silent_from_by_node = {
            node: self.now + seconds
            for node, seconds in dict(silent_from_by_node).items()
        }
        self.copy_signs = []
        self.stop_reasons = set()
        self.slowdown_by_node = slowdown_by_node
        self.cluster = ClusterState(build_configuration().get_queue)
        self.cluster.durations.is_enabled = scheduling.durations
        self.site = SiteState(build_configuration())
        self.quarantine = WorkerQuarantine()
        self.started_at_by_key = {}
        self.finished_at_by_job = {}
        self.stopped_nodes = []
        self.sequence = 0
        for index in range(NODES):
            worker = self.cluster.get_worker(f"node-{index}", "zone-0")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.size = SERVICE, WorkerSize(16000, 64000)
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True

    def add_job(self, name, tasks=6):
        """Submit a job of one step of short tasks."""
        step = Step(
            tasks=tasks,
            cpu=1600,
            memory=100,
            estimate=TASK_SECONDS,
            is_speculative=self.is_speculative,
        )
        self.cluster.add_job(
            JobSpec("queue", name, SERVICE, "p", (step,), 3, accepted_at=self.now)
        )

    def step(self):
        """Advance by one interval: workers report, then the planner runs."""
        self.now += REPORT_INTERVAL_SECONDS
        for worker in self.cluster.worker_by_node.values():
            silence = self._get_silence(worker.node)
            worker.is_reachable = silence < SILENCE_TIMEOUT_SECONDS
            if silence < 0.0:
                self._report(worker)
            elif silence > LAPSE_SECONDS:
                self.cluster.release_all(worker, "node-silent", self.now)
        for fact in self.cluster.pop_new_outcomes():
            self.quarantine.record_fact(fact)
            self.cluster.step_durations.record_fact(fact)
            self._record_duration(fact)
        slow = self.cluster.step_durations.find_slow_workers(
            self.cluster.worker_by_node.values()
        )
        for item in slow:
            self.quarantine.record_slow(item.node, self.now)
        keys = frozenset(run.key for item in slow for run in item.runs_to_move)
        view = PlanView(
            self.cluster,
            self.site,
            self.now,
            self.now,
            self.quarantine.is_quarantined,
            slow_keys=keys,
            scheduling=self.scheduling,
        )
        for stop in plan_stops(view):
            self.stopped_nodes.append(stop.node)
            self.stop_reasons.add(stop.reason)
            self.finish_run(self.cluster.worker_by_node[stop.node], stop, "stopped")
        for worker, run in plan_starts(view)[0]:
            self._start(worker, run)
        for late, worker, run in plan_copies(view):
            self.copy_signs.append(late.sign)
            self._start(worker, run)

    def _record_duration(self, fact):
        is_slow_place = self.cluster.places.is_slow(fact.node, fact.at)
        match self.cluster.durations.record_outcome(fact, is_slow_place):
            case SampleAccepted() as sample:
                job = fact.allocation.ref.job
                self.cluster.places.record_duration(fact.node, job, fact.at, sample)
        match self.cluster.tails.record_outcome(fact):
            case (_, core_seconds):
                self.unneeded_core_seconds += core_seconds

    def _get_silence(self, node):
        return self.now - self.silent_from_by_node.get(node, self.now + 1.0)

    def _start(self, worker, run):
        run.sent_at = self.now
        self.started_at_by_key[run.key] = self.now
        if self._get_silence(worker.node) < 0.0:
            self.cluster.record_order_result(worker, run.key, "started", self.now)

    def _report(self, worker):
        worker.reported_at = self.now
        slowdown = self.slowdown_by_node.get(worker.node, 1.0)
        for run in list(worker.allocation_by_key.values()):
            progress = (self.now - self.started_at_by_key[run.key]) / (
                TASK_SECONDS * slowdown * self.get_size(run.name)
            )
            if progress >= 1.0:
                self.finish_run(worker, run, "done")
                continue
            listed = ListedRun(run.name, run.number, "", int(100 * progress), 0.0)
            self.cluster.record_running(worker, listed, self.now)

    def finish_run(self, worker, run, outcome):
        self.sequence += 1
        listed = ListedCompletion(self.sequence, run.name, run.number, outcome, "")
        self.cluster.record_completion(worker, listed, self.now)
        job = run.name.split(".")[0]
        if self.cluster.job_by_key[f"queue/{job}"].outcome:
            self.finished_at_by_job.setdefault(job, self.now)


def simulate_burst(slowdown_by_node, seconds=12.0, **options):
    """Submit a job every 0.4 s and run the simulation until all jobs have finished.

    :param seconds: Time during which jobs are submitted.
    :returns: Pair of the ``BurstSimulation`` and the list of job durations, in seconds.
    """
    burst = BurstSimulation(slowdown_by_node, **options)
    submitted_at_by_job = {}
    for number in range(int(seconds / REPORT_INTERVAL_SECONDS)):
        name = f"job{number}"
        burst.add_job(name)
        submitted_at_by_job[name] = burst.now
        burst.step()
    while len(burst.finished_at_by_job) < len(submitted_at_by_job):
        assert burst.now < MAX_SIMULATED_SECONDS
        burst.step()
    return burst, [
        burst.finished_at_by_job[name] - submitted_at_by_job[name]
        for name in submitted_at_by_job
    ]
