"""Harness of jobs that arrive at the doors of several entries, in virtual time.

Order of waiting steps, state of the cluster, estimate and admission are the real ones;
the workers end each task after its real duration, and a step is placed where it fits.
"""

import random

from bergamotshore.core.work.backlog import USE_FACTOR, BacklogTracker
from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.model import JobSpec, Step, build_worker_size
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView, list_waiting
from bergamotshore.entry.admission import Admission
from bergamotshore.generated.settings import Scheduling
from bergamotshore.ports.runner import WorkerIncarnation

TICK_SECONDS = 0.1
ESTIMATE_TICKS = 3
HEARTBEAT_TICKS = 5
SERVICE = "books"
CORES_PER_WORKER = 4000
QUEUE = Queue("queue", "h", "/q/", SERVICE, stretch=1.5, slack=1.0)


class DoorLoad:
    """A site under load.

    :param clock: ``FakeClock``.
    :param registry: ``Registry`` of all entries.
    :param log: ``EventLog`` of all entries.
    :param workers: Number of workers of four cores.
    :param entries: Number of entries; the first one schedules.
    :param error: Largest share by which declared durations are off.
    """

    def __init__(
        self, clock, registry, log, workers=10, entries=4, error=0.9, queues=(QUEUE,)
    ):
        self.clock = clock
        self.random = random.Random(7)
        self.error = error
        queue_by_name = {queue.name: queue for queue in queues}
        self.queue_by_name = queue_by_name
        self.cluster = ClusterState(queue_by_name.get)
        self.tracker = BacklogTracker(1)
        for number in range(workers):
            self.add_worker(f"node-{number}")
        self.entries = [
            Admission(True, f"entry-{n}", clock, registry, log, lambda: entries)
            for n in range(entries)
        ]
        self.is_scheduler_there = True
        self.accepted, self.refused, self.ended = {}, [], {}
        self._seconds_by_job = {}
        self._runs = []
        self._ticks = 0

    @property
    def cores(self):
        workers = self.cluster.worker_by_node.values()
        return sum(worker.size.cpu for worker in workers) / 1000

    def add_worker(self, node):
        worker = self.cluster.get_worker(node, "zone")
        worker.service, worker.stream = SERVICE, object()
        worker.size = build_worker_size(CORES_PER_WORKER, 10**6)
        worker.is_reachable = worker.is_answering = worker.has_right = True
        worker.incarnation = WorkerIncarnation(node, 1)

    def lose_worker(self, node):
        """Let a worker go for good; its tasks wait again."""
        worker = self.cluster.worker_by_node[node]
        self.cluster.release_all(worker, "worker-gone", self.clock.now())
        del self.cluster.worker_by_node[node]
        self._runs = [run for run in self._runs if run[1] is not worker]

    def submit(self, tasks=4, seconds=2.0, cpu=1000, queue=QUEUE.name):
        """Hand a job in at an entry; return whether it is accepted."""
        share = 1.0 + self.random.uniform(-self.error, self.error)
        step = Step(tasks=tasks, cpu=cpu, memory=1, estimate=seconds * share)
        now = self.clock.now()
        job_id = f"{len(self.accepted) + len(self.refused):016x}"
        spec = JobSpec(queue, job_id, SERVICE, "", (step,), accepted_at=now)
        door = self.random.choice(self.entries)
        refusal = door.find_refusal(spec, self.queue_by_name[queue])
        if refusal is not None:
            self.refused.append((now, queue, refusal))
            return False
        door.record_accepted(spec, self.queue_by_name[queue])
        self.cluster.add_job(spec)
        self._seconds_by_job[spec.key] = seconds
        self.accepted[spec.key] = now
        return True

    def run(self, seconds, rates=()):
        """Run for a time.

        :param rates: Pairs of jobs per second and options of ``submit``.
        """
        for _ in range(round(seconds / TICK_SECONDS)):
            for rate, options in rates:
                expected = rate * TICK_SECONDS
                count = int(expected) + (self.random.random() < expected % 1)
                for _ in range(count):
                    self.submit(**options)
            self.clock.advance(TICK_SECONDS)
            self._step()

    def _step(self):
        self._ticks += 1
        now = self.clock.now()
        self._end_runs(now)
        view = PlanView(
            self.cluster,
            SiteState(),
            now,
            now,
            lambda node, at: False,
            scheduling=Scheduling(admission=True),
        )
        self._place(view, now)
        if not self.is_scheduler_there:
            return
        for outcome in self.cluster.pop_new_outcomes():
            self.tracker.record_outcome(outcome, SERVICE, self.cluster.durations)
        if self._ticks % ESTIMATE_TICKS == 0:
            self.entries[0].record(self.tracker.measure(view))
        if self._ticks % HEARTBEAT_TICKS == 0:
            content = self.entries[0].encode()
            for entry in self.entries[1:]:
                entry.record_told(content, now)

    def _end_runs(self, now):
        due = [run for run in self._runs if run[0] <= now]
        self._runs = [run for run in self._runs if run[0] > now]
        for _, worker, run in due:
            worker.free(run.key)
            progress = self.cluster.job_by_key[run.ref.job]
            progress.end(run.ref, run.number, "done", "", 1)
            self.cluster._record_outcome(worker, run, "done", now)
            if progress.outcome:
                self.ended[progress.key] = now
                self.cluster.remove_job(progress.key)

    def _place(self, view, now):
        workers = list(self.cluster.worker_by_node.values())
        for item in list_waiting(view):
            able = [worker for worker in workers if worker.could_fit(item.step)]
            if not able:
                # It waits for other workers and keeps nobody waiting.
                continue
            for ref in item.refs:
                worker = next((w for w in able if w.fits(item.step)), None)
                if worker is None:
                    return
                run = self.cluster.claim(ref, worker, now)
                seconds = self._seconds_by_job.get(ref.job, item.step.estimate)
                self._runs.append((now + seconds, worker, run))

    def count_of_use(self, seconds, queue=QUEUE, factor=USE_FACTOR):
        """Return how many jobs of one duration have ended while of use."""
        limit = factor * (queue.stretch * seconds + queue.slack)
        return sum(at - self.accepted[key] <= limit for key, at in self.ended.items())
