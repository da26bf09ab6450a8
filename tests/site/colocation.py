"""Simulation of best-effort jobs beside latency-critical tasks, in virtual time.

The planner, the learning and the throttling are real. The workers follow the users'
platform as far as its pages and days show it: a latency-critical task behaves like a
queue, whose own load swings; best-effort tasks take what the others leave unused and
add to the load of those beside them, by an amount that depends on the two images.
Figures of usage are means of the last half second, and rough.
"""

import math
import random
from collections import deque
from dataclasses import dataclass, field

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.pacing import limit_new_runs
from bergamotshore.core.work.site import Queue, SiteConfiguration, SiteState
from bergamotshore.core.work.suspicion import WorkerQuarantine
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.entry.reports import apply_report
from bergamotshore.generated.messages import RunReport
from bergamotshore.ports.runner import ListedCompletion
from tests.site.simulation import SERVICE

TICK_SECONDS = 0.1
REPORT_TICKS = 4
CHECK_TICKS = 2
FIGURE_TICKS = 5
# An order reaches its worker, or a throttle takes effect, after this time, in seconds.
ORDER_SECONDS = 0.15
RESTORE_SECONDS = 0.1
CHECKPOINT_SECONDS = 1.0
LASTING_START_SECONDS = 0.4
UNLOADED_MS = 4.0
GOAL_MS = 18.0
MEAN_LOAD = 0.42
LOAD_SWING = 0.21
SWING_SECONDS = 10.0
HEAVY_SHARE = 0.65
HEAVY_FACTORS = (1.1, 2.4)
LIGHT_FACTORS = (0.0, 0.25)
FIGURE_NOISE = 0.08
CRITICAL, QUICK, BATCH = "critical", "quick", "batch"
STRETCH = 2.0
SLACK_SECONDS = 1.0
# A job is late, but still worth something, up to this multiple of its objective.
LATE_LIMIT = 3.0


@dataclass(slots=True)
class SimulatedRun:
    """A run on a simulated worker.

    :param step: ``Step``.
    :param seconds: Work of its task at full speed; 0 for a long-running task.
    :param done: Work done, in seconds.
    :param begins_at: Time at which it begins to work, in seconds.
    :param saved: Work included in its latest checkpoint, in seconds.
    :param percent: Speed limit, in percent.
    :param loads: Latest loads of a latency-critical task.
    :param shares: Latest shares of the worker's processors used.
    """

    step: Step
    seconds: float
    done: float
    begins_at: float
    saved: float = 0.0
    percent: int = 100
    loads: deque = field(default_factory=lambda: deque(maxlen=FIGURE_TICKS))
    shares: deque = field(default_factory=lambda: deque(maxlen=FIGURE_TICKS))


class ColocationSimulation:
    """A site of workers that run latency-critical and best-effort tasks.

    :param nodes: Number of nodes.
    :param seed: Seed of loads, interference, durations and noise.
    :param cpu: Processors of a worker, in thousandths.
    """

    def __init__(self, nodes, seed=0, cpu=16000):
        self.random = random.Random(seed)
        self.now = 100.0
        self.ticks = 0
        queues = tuple(
            Queue(
                name, "host", f"/{name}/", SERVICE, priority, 4, STRETCH, SLACK_SECONDS
            )
            for name, priority in ((CRITICAL, 0), (QUICK, 0), (BATCH, 2))
        )
        self.site = SiteState(SiteConfiguration(1, queues))
        self.cluster = ClusterState(self.site.configuration.get_queue)
        self.quarantine = WorkerQuarantine()
        self.runs_by_node = {f"node-{index}": {} for index in range(nodes)}
        self.slow_by_node = {}
        self.cpu_by_node = {node: cpu for node in self.runs_by_node}
        self.ends_by_node = {node: [] for node in self.runs_by_node}
        self.sequence_by_node = dict.fromkeys(self.runs_by_node, 0)
        self.factor_by_pair = {}
        self.phase_by_job = {}
        self.seconds_by_task = {}
        self.submitted_at_by_job = {}
        self.queue_by_job = {}
        self.finished_at_by_job = {}
        self.objective_by_job = {}
        self.pending_orders = []
        self.over_samples = 0
        self.critical_samples = 0
        self.best_effort_share = 0.0
        self.throttles = 0
        self.stops = {}
        for node in self.runs_by_node:
            worker = self.cluster.get_worker(node, "zone-0")
            worker.stream = object()
            worker.is_reachable = True
            self._report(worker)

    def submit(self, job_id, queue, steps, seconds=()):
        """Submit a job.

        :param seconds: Work of each task at full speed, by step.
        """
        spec = JobSpec(
            queue, job_id, SERVICE, "p", tuple(steps), 4, accepted_at=self.now
        )
        self.cluster.add_job(spec)
        self.submitted_at_by_job[job_id] = self.now
        self.queue_by_job[job_id] = queue
        for number, work in enumerate(seconds):
            for index, task_seconds in enumerate(work):
                self.seconds_by_task[f"{job_id}.0.{number}.{index}"] = task_seconds
        path = sum(max(work) for work in seconds) if seconds else 0.0
        self.objective_by_job[job_id] = STRETCH * path + SLACK_SECONDS
        return spec

    def submit_critical(self, job_id, image, tasks=24, cpu=3200, per_worker=0):
        """Submit long-running tasks with a latency objective."""
        step = Step(
            tasks=tasks,
            cpu=cpu,
            memory=100,
            image=image,
            goal_ms=GOAL_MS,
            is_lasting=True,
            per_worker=per_worker,
        )
        return self.submit(job_id, CRITICAL, [step])

    def submit_batch(self, job_id, image, widths, mean_seconds=4.4, cpu=1800):
        """Submit a chain of wide best-effort steps."""
        steps, seconds = [], []
        for number, width in enumerate(widths):
            typical = mean_seconds * self.random.lognormvariate(-0.1, 0.45)
            work = [typical * self.random.uniform(0.7, 1.3) for _ in range(width)]
            steps.append(
                Step(
                    tasks=width,
                    cpu=cpu,
                    memory=100,
                    image=image,
                    is_filling=True,
                    has_checkpoints=True,
                    estimate=typical * self.random.uniform(0.5, 1.5),
                    after=(number - 1,) if number else (),
                )
            )
            seconds.append(work)
        return self.submit(job_id, BATCH, steps, seconds)

    def submit_quick(self, job_id, tasks=9, mean_seconds=1.28, cpu=900):
        """Submit a short job that reserves its processors."""
        work = [mean_seconds * self.random.uniform(0.6, 1.4) for _ in range(tasks)]
        step = Step(tasks=tasks, cpu=cpu, memory=100, estimate=mean_seconds)
        return self.submit(job_id, QUICK, [step], [work])

    def advance(self, seconds):
        """Run the simulation for a time."""
        until = self.now + seconds - TICK_SECONDS / 2
        while self.now < until:
            self._step()

    def _step(self):
        self.now += TICK_SECONDS
        self.ticks += 1
        self._execute_orders()
        for index, node in enumerate(self.runs_by_node):
            self._work(node)
            if (self.ticks + index) % REPORT_TICKS == 0:
                self._report(self.cluster.worker_by_node[node])
        self._plan()

    def _execute_orders(self):
        due = [order for order in self.pending_orders if order[0] <= self.now]
        self.pending_orders = [item for item in self.pending_orders if item not in due]
        for _, function, arguments in due:
            function(*arguments)

    def _post(self, function, *arguments):
        self.pending_orders.append((self.now + ORDER_SECONDS, function, arguments))

    def get_factor(self, critical_image, best_effort_image):
        """Return the true interference factor of a pair of images."""
        pair = (critical_image, best_effort_image)
        if pair not in self.factor_by_pair:
            is_heavy = self.random.random() < HEAVY_SHARE
            bounds = HEAVY_FACTORS if is_heavy else LIGHT_FACTORS
            self.factor_by_pair[pair] = self.random.uniform(*bounds)
        return self.factor_by_pair[pair]

    def get_own_load(self, job_id):
        """Return the load that a latency-critical job has by itself."""
        if job_id not in self.phase_by_job:
            self.phase_by_job[job_id] = self.random.uniform(0.0, 2.0 * math.pi)
        angle = 2.0 * math.pi * self.now / SWING_SECONDS + self.phase_by_job[job_id]
        return MEAN_LOAD + LOAD_SWING * math.sin(angle)

    def _work(self, node):
        """Let the runs of a worker work for one tick."""
        cpu = self.cpu_by_node[node]
        runs = self.runs_by_node[node]
        active = {key: run for key, run in runs.items() if run.begins_at <= self.now}
        used = sum(
            run.step.cpu
            * (self.get_own_load(key[0].split(".")[0]) if run.step.goal_ms else 1.0)
            for key, run in active.items()
            if not run.step.is_filling
        )
        demand = sum(
            run.step.cpu * run.percent / 100
            for run in active.values()
            if run.step.is_filling
        )
        granted = min(1.0, max(0.0, cpu - used) / demand) if demand else 0.0
        share_by_image = {}
        for run in active.values():
            if run.step.is_filling:
                share = run.step.cpu * run.percent / 100 * granted / cpu
                run.shares.append(share)
                image = run.step.image
                share_by_image[image] = share_by_image.get(image, 0.0) + share
                self.best_effort_share += share * cpu
        slowdown = self.slow_by_node.get(node, 1.0)
        for key, run in active.items():
            speed = run.percent / 100 * granted if run.step.is_filling else 1.0
            run.done += TICK_SECONDS * speed / slowdown
            if run.step.goal_ms:
                self._load(key, run, share_by_image)
            elif run.done >= run.seconds:
                self._finish(node, key, "done")
            elif run.done - run.saved >= CHECKPOINT_SECONDS:
                run.saved = run.done

    def _load(self, key, run, share_by_image):
        load = self.get_own_load(key[0].split(".")[0]) + sum(
            self.get_factor(run.step.image, image) * share
            for image, share in share_by_image.items()
        )
        run.loads.append(min(0.97, load))
        self.critical_samples += 1
        self.over_samples += UNLOADED_MS / (1.0 - min(0.97, load)) > GOAL_MS

    def _finish(self, node, key, outcome):
        run = self.runs_by_node[node].pop(key)
        self.sequence_by_node[node] += 1
        checkpoint = str(run.saved) if run.step.has_checkpoints else ""
        self.ends_by_node[node].append(
            (self.sequence_by_node[node], *key, outcome, checkpoint)
        )

    def _measure(self, run):
        noise = self.random.lognormvariate(0.0, FIGURE_NOISE)
        if run.step.goal_ms and run.loads:
            load = sum(run.loads) / len(run.loads)
            return float(round(UNLOADED_MS / (1.0 - load) * noise))
        if run.step.is_filling and run.shares:
            return 1000.0 * round(noise * sum(run.shares) / len(run.shares), 5)
        return 0.0

    def _get_percent(self, run):
        if run.step.is_lasting:
            return 100 if self.now - run.begins_at >= LASTING_START_SECONDS else 50
        return min(99, int(100 * run.done / run.seconds))

    def _report(self, worker):
        node = worker.node
        rows = []
        for key, run in self.runs_by_node[node].items():
            usage = self._measure(run)
            if run.step.is_filling:
                usage *= self.cpu_by_node[node] / 1000.0
            checkpoint = (
                str(run.saved) if run.step.has_checkpoints and run.saved else ""
            )
            rows.append((*key, checkpoint, self._get_percent(run), usage))
        ended = [ListedCompletion(*row) for row in self.ends_by_node[node]]
        self.ends_by_node[node] = []
        report = RunReport(
            epoch=1,
            worker=f"worker of {node}",
            born=1,
            is_answering=True,
            is_lapsed=False,
            has_right=True,
            service=SERVICE,
            cpu=self.cpu_by_node[node],
            memory=1_000_000,
            accelerators=0,
            labels=[],
            rack="r1",
            machine=node,
            is_draining=False,
            remaining=0.0,
            running=rows,
            ended=[
                (end.sequence, end.task, end.number, end.outcome, end.checkpoint)
                for end in ended
            ],
            doubtful=[
                key
                for key, run in worker.allocation_by_key.items()
                if run.sent_at and not run.is_started
            ],
        )
        apply_report(self.cluster, worker, report, self.now)
        for end in ended:
            job = end.task.split(".")[0]
            progress = self.cluster.job_by_key.get(self.cluster.key_by_id.get(job, ""))
            if progress is not None and progress.outcome:
                self.finished_at_by_job.setdefault(job, self.now)
                self.cluster.remove_job(progress.key)

    def _plan(self):
        is_check_due = self.ticks % CHECK_TICKS == 0
        for outcome in self.cluster.pop_new_outcomes():
            self.quarantine.record_fact(outcome)
            self.cluster.step_durations.record_fact(outcome)
        view = PlanView(
            self.cluster,
            self.site,
            self.now,
            self.now,
            self.quarantine.is_quarantined,
        )
        plan = make_plan(view, True, is_check_due)
        for throttle in plan.paces:
            self.throttles += 1
            self._post(self._throttle, throttle)
        for stop in plan.stops:
            self.stops[stop.reason] = self.stops.get(stop.reason, 0) + 1
            self._post(self._stop, stop)
        for worker in self.cluster.worker_by_node.values():
            limit_new_runs(worker, self.cluster.interference, self.now)
            for run in worker.allocation_by_key.values():
                if not run.sent_at:
                    run.sent_at = self.now
                    self._post(self._start, worker, run)

    def _throttle(self, throttle):
        run = self.runs_by_node[throttle.node].get((throttle.name, throttle.number))
        if run is not None:
            run.percent = throttle.percent

    def _stop(self, stop):
        if (stop.name, stop.number) in self.runs_by_node[stop.node]:
            self._finish(stop.node, (stop.name, stop.number), "stopped")

    def _start(self, worker, allocation):
        progress = self.cluster.job_by_key.get(allocation.ref.job)
        if progress is None:
            self.cluster.release(worker, allocation, "job-over", self.now)
            return
        done = float(progress.get_task(allocation.ref).checkpoint or 0.0)
        self.runs_by_node[worker.node][allocation.key] = SimulatedRun(
            allocation.step,
            self.seconds_by_task.get(allocation.name, 0.0),
            done,
            self.now + (RESTORE_SECONDS if done else 0.0),
            saved=done,
            percent=allocation.throttle_percent,
        )
        self.cluster.record_order_result(worker, allocation.key, "started", self.now)

    @property
    def over_share(self):
        """Return the share of time that latency-critical tasks were over their goal."""
        return self.over_samples / max(1, self.critical_samples)

    def get_worth(self, job_id):
        """Return what a finished job is worth: 1 in time, 0.15 late, 0 too late."""
        finished_at = self.finished_at_by_job.get(job_id, math.inf)
        seconds = finished_at - self.submitted_at_by_job[job_id]
        objective = self.objective_by_job[job_id]
        if seconds <= objective:
            return 1.0
        return 0.15 if seconds <= LATE_LIMIT * objective else 0.0

    def get_batch_worth(self):
        """Return the mean worth of all best-effort jobs."""
        jobs = [
            job_id
            for job_id in self.submitted_at_by_job
            if self.queue_by_job[job_id] == BATCH
        ]
        return sum(self.get_worth(job_id) for job_id in jobs) / len(jobs)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Load of a simulated day, in the proportions of the users' deployments.

    :param nodes: Number of nodes.
    :param critical_images: Number of images of latency-critical tasks.
    :param batch_images: Number of images of best-effort tasks.
    :param critical_share: Share of all processors that latency-critical tasks reserve.
    :param batch_per_second: Best-effort jobs submitted in a second.
    :param batch_width: Mean number of tasks of a best-effort step.
    :param burst: Begin and end of a burst of best-effort jobs in seconds, and by what
        factor more of them arrive.
    """

    nodes: int = 24
    critical_images: int = 6
    batch_images: int = 12
    critical_share: float = 0.65
    batch_per_second: float = 0.45
    batch_width: float = 18.0
    quick_per_second: float = 3.0
    burst: tuple = (0.0, 0.0, 1.0)
    seconds: float = 34.0


START_SECONDS = 6.0
SETTLE_SECONDS = 30.0


def simulate_day(traffic, seed):
    """Simulate a day and the time until most of its jobs have finished.

    :param traffic: ``Traffic``.
    :returns: ``ColocationSimulation``.
    """
    simulation = ColocationSimulation(traffic.nodes, seed)
    rng = random.Random(f"traffic-{seed}")
    _submit_critical_jobs(simulation, traffic, rng)
    simulation.advance(START_SECONDS)
    began_at = simulation.now
    count = 0
    while simulation.now < began_at + traffic.seconds:
        begin, end, factor = traffic.burst
        is_burst = begin <= simulation.now - began_at < end
        batch_rate = traffic.batch_per_second * (factor if is_burst else 1.0)
        count += 1
        if rng.random() < batch_rate * TICK_SECONDS:
            _submit_batch_job(simulation, traffic, rng, f"batch{count}")
        if rng.random() < traffic.quick_per_second * TICK_SECONDS:
            simulation.submit_quick(f"quick{count}", rng.randint(2, 14))
        simulation.advance(TICK_SECONDS)
    simulation.advance(SETTLE_SECONDS)
    return simulation


def _submit_critical_jobs(simulation, traffic, rng):
    """Submit latency-critical jobs; half of them spread their tasks over workers."""
    left = traffic.critical_share * sum(simulation.cpu_by_node.values())
    count = 0
    while left > 0.0:
        count += 1
        tasks = rng.randint(3, 9)
        cpu = rng.randrange(2000, 4400, 50)
        simulation.submit_critical(
            f"critical{count}",
            f"critical-image{rng.randrange(traffic.critical_images)}",
            tasks,
            cpu,
            per_worker=rng.choice([0, 0, 1, 2]),
        )
        left -= tasks * cpu


def _submit_batch_job(simulation, traffic, rng, job_id):
    widths = [
        max(1, int(traffic.batch_width * rng.lognormvariate(-0.18, 0.6)))
        for _ in range(rng.choice([1, 2, 2, 3]))
    ]
    image = f"batch-image{rng.randrange(traffic.batch_images)}"
    simulation.submit_batch(job_id, image, widths)
