"""History of the runs on all simulated workers, checked against the guarantees."""

import math
from collections import Counter
from dataclasses import dataclass

# A task may be given up once this many workers have crashed under it.
CRASHES_TO_GIVE_UP = 2
# After this many crashes, a task that crashes workers may be started fewer than
# ``MAX_STARTS_AFTER_CRASHES`` times more.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
# Times after which nothing may start, in seconds: on a worker whose drain was
# acknowledged, in a data centre that was closed, for a job that was cancelled.
DRAIN_SECONDS = 2.0
EVACUATE_SECONDS = 5.0
CANCEL_SECONDS = 3.0
# Time that a worker may take to stop a run, in seconds.
STOP_SECONDS = 0.2
# Guarantees with a time limit hold this time after the last fault, in seconds.
CONTACT_SECONDS = 3.0
# Names of the state of a finished job, to callers and within the system.
COMPLETE_STATES = ("complete", "done")
# Field of ``Capacity`` that limits each field of ``Step``.
LIMITED_BY_STEP_FIELD = {
    "reserved_cpu": "cpu",
    "memory": "memory",
    "accelerators": "accelerators",
}


@dataclass(slots=True)
class LiveRun:
    """A run that has not ended.

    :param runner: Worker, as ``RunnerStandIn``.
    :param number: Run number.
    :param started_at: When it started, in seconds.
    :param is_late: Whether the worker carried out the order late.
    :param is_reported: Whether it was reported for outlasting its cancelled job.
    """

    runner: object
    number: int
    started_at: float
    is_late: bool
    is_reported: bool = False


class Ledger:
    """History of all workers' runs; ``problems`` lists violated guarantees.

    :param is_in_touch: Callable that returns whether a worker and its node have been
        free of faults; guarantees with a time limit apply only then.
    :param get_harmed_at: Callable that returns when a fault last affected a worker, its
        node or the scheduling of its tasks, in seconds; the present during a fault.
    """

    def __init__(
        self,
        is_in_touch=lambda runner: True,
        get_harmed_at=lambda runner: -math.inf,
    ):
        self._is_in_touch = is_in_touch
        self._get_harmed_at = get_harmed_at
        self.spec_by_job = {}
        self.live = {}
        self.done = set()
        self.acknowledged_done = set()
        self._starts_at_done_by_run = {}
        self.failed_ends_by_task = {}
        self.failed_runs_by_task = {}
        self.crash_delay_by_name = {}
        self.crashes_by_task = {}
        self.starts_after_crashes_by_task = Counter()
        self.accepted_jobs = set()
        self.refused_jobs = set()
        self.cancelled_at_by_job = {}
        self.closed_at_by_zone = {}
        self.draining_since_by_worker = {}
        self.checkpoints_by_task = {}
        self.starts = []
        self.stops = []
        self.problems = []

    def record_job(self, spec):
        """Record a submitted job."""
        self.spec_by_job[spec.job_id] = spec

    def record_submission(self, job, is_refused):
        """Record an attempt to submit a job.

        :param is_refused: Whether it was definitely not accepted.
        """
        (self.refused_jobs if is_refused else self.accepted_jobs).add(job)

    def record_cancellation(self, job, now):
        """Record that the cancellation of a job was acknowledged."""
        self.cancelled_at_by_job.setdefault(job, now)

    def record_closed_zone(self, zone, now):
        """Record that the operator closed a data centre."""
        self.closed_at_by_zone.setdefault(zone, now)

    def record_opened_zone(self, zone):
        """Record that the operator takes back that a data centre is closed."""
        self.closed_at_by_zone.pop(zone, None)

    def record_heartbeat(self, report, now):
        """Record that a node acknowledged a heartbeat.

        :param report: ``WorkerReport``.
        """
        if report.is_draining:
            self.draining_since_by_worker.setdefault(report.incarnation, now)
        else:
            self.draining_since_by_worker.pop(report.incarnation, None)

    def record_checkpoint(self, task, checkpoint):
        """Record a checkpoint that a worker lists for a task."""
        self.checkpoints_by_task.setdefault(task, set()).add(checkpoint)

    def get_step(self, task):
        """Return the ``Step`` of a task."""
        job, _, step, _ = task.split(".")
        return self.spec_by_job[job].steps[int(step)]

    def record_start(self, runner, order, is_late=False):
        """Record the start of a run and check the scheduling guarantees.

        :param order: ``RunOrder``.
        :param is_late: Whether the worker carried out the order late; guarantees with a
            time limit don't apply to it.
        """
        task, number = order.task, order.number
        self.starts.append((task, number, runner.name))
        self._check_request(order)
        self._check_worker(runner, task)
        if not is_late and self._is_in_touch(runner):
            self._check_times(runner, task, runner.clock.now())
        others = [key for key in self.live if key[1] == task]
        if len(others) >= (2 if self.get_step(task).is_speculative else 1):
            self.problems.append(f"{task} runs twice: {others} and {runner.name}")
        if task in self.acknowledged_done:
            self.problems.append(f"{task} started after its end was acknowledged")
        self._check_step_order(task)
        self._check_retry_limit(task)
        self._check_crash_limit(task)
        self.live[(runner.name, task)] = LiveRun(
            runner, number, runner.clock.now(), is_late
        )
        self._check_capacity(runner, self.get_step(task))

    def _check_request(self, order):
        """Check that a caller submitted the task with this payload and checkpoint."""
        job = order.task.split(".")[0]
        if job in self.refused_jobs - self.accepted_jobs:
            self.problems.append(f"{order.task} started, but its job was refused")
        if order.payload != self.spec_by_job[job].payload:
            self.problems.append(f"{order.task} started with another payload")
        checkpoints = self._list_checkpoints(order.task)
        if order.checkpoint and order.checkpoint not in checkpoints:
            self.problems.append(f"{order.task} started with a foreign checkpoint")

    def _list_checkpoints(self, task):
        """Return the checkpoints of a task; members of a gang share theirs."""
        if not self.get_step(task).is_gang:
            return self.checkpoints_by_task.get(task, set())
        step = task.rsplit(".", 1)[0]
        return {
            checkpoint
            for name, checkpoints in self.checkpoints_by_task.items()
            if name.rsplit(".", 1)[0] == step
            for checkpoint in checkpoints
        }

    def _check_worker(self, runner, task):
        """Check the required label and the limit of tasks per worker."""
        step = self.get_step(task)
        if step.label and step.label not in runner.labels:
            self.problems.append(f"{task} started on {runner.name} without its label")
        name = task.rsplit(".", 1)[0]
        others = [
            key
            for key in self.live
            if key[0] == runner.name and key[1].rsplit(".", 1)[0] == name
        ]
        if step.per_worker and len(others) >= step.per_worker:
            self.problems.append(f"{task} started on {runner.name} beside {others}")

    def _check_times(self, runner, task, now):
        """Check that what forbids a start has not been known for too long."""
        report = runner.build_report(runner.zone)
        for reason, since, seconds in (
            (
                "its worker drained",
                self.draining_since_by_worker.get(report.incarnation),
                DRAIN_SECONDS,
            ),
            (
                f"{runner.zone} was closed",
                self.closed_at_by_zone.get(runner.zone),
                EVACUATE_SECONDS,
            ),
            (
                "its job was cancelled",
                self.cancelled_at_by_job.get(task.split(".")[0]),
                CANCEL_SECONDS,
            ),
        ):
            if since is not None and now - since > seconds:
                self.problems.append(
                    f"{task} started {now - since:.1f} s after {reason}"
                )

    def check_cancelled_runs(self, now, harmed_at=-math.inf):
        """Check that no run has outlasted the cancellation of its job for too long.

        :param now: Current time, in seconds.
        :param harmed_at: Time of the last fault that may affect any worker, in seconds.
        """
        for (name, task), run in self.live.items():
            cancelled_at = self.cancelled_at_by_job.get(task.split(".")[0])
            if cancelled_at is None or run.is_reported:
                continue
            last_fault_at = max(harmed_at, self._get_harmed_at(run.runner))
            since = max(cancelled_at, last_fault_at + CONTACT_SECONDS)
            if run.is_late:
                since = max(since, run.started_at + CONTACT_SECONDS)
            if now > since + CANCEL_SECONDS + STOP_SECONDS:
                run.is_reported = True
                self.problems.append(
                    f"{task} runs on {name} {now - cancelled_at:.1f} s after its job"
                    " was cancelled"
                )

    def _check_capacity(self, runner, started_step):
        """Check the capacity of a worker, which runs being stopped use as well."""
        limit = runner.get_start_limit()
        for field, limited in LIMITED_BY_STEP_FIELD.items():
            used = self._get_use(runner, field)
            available = getattr(limit, limited)
            if getattr(started_step, field) and used > available:
                self.problems.append(
                    f"{runner.name} holds {used} of {available} {limited}"
                )

    def _get_use(self, runner, field):
        tasks = [task for name, task in self.live if name == runner.name]
        return sum(getattr(self.get_step(task), field) for task in tasks)

    def has_room(self, runner, step, times):
        """Return whether a worker has room for several tasks of a step.

        Workers that are down, draining or in a closed data centre have none.
        """
        is_open = (
            runner.is_sending_heartbeats
            and not runner.is_draining
            and runner.zone not in self.closed_at_by_zone
        )
        return is_open and all(
            self._get_use(runner, field) + times * getattr(step, field)
            <= getattr(runner.capacity, limited)
            for field, limited in LIMITED_BY_STEP_FIELD.items()
        )

    def _check_step_order(self, task):
        job, occurrence, step, _ = task.split(".")
        steps = self.spec_by_job[job].steps
        for earlier in steps[int(step)].after:
            names = [
                f"{job}.{occurrence}.{earlier}.{index}"
                for index in range(steps[earlier].tasks)
            ]
            ended = [name in self.done for name in names]
            is_done = any(ended) if steps[earlier].is_gang else all(ended)
            if not is_done:
                self.problems.append(f"{task} started before step {earlier} was done")

    def _check_retry_limit(self, task):
        """Check the retry limit, counting acknowledged failures only."""
        failed = self.failed_runs_by_task.get(task, set())
        retries = self.spec_by_job[task.split(".")[0]].retries
        if len(failed) >= retries and not self.get_step(task).is_lasting:
            self.problems.append(f"{task} started after it failed {len(failed)} times")

    def record_stop(self, runner, task):
        """Record that an order stops a run."""
        self.stops.append((task, runner.is_draining))

    def record_crashing(self, name, delay=0.0):
        """Record that a task, or all tasks of a job, crash the workers they run on.

        :param name: Name of the task, or identifier of the job.
        :param delay: Time of work after which the worker crashes, in seconds.
        """
        self.crash_delay_by_name[name] = delay

    def get_crash_delay(self, task):
        """Return the crash delay of a task, in seconds; None for a harmless task."""
        job = task.split(".")[0]
        return self.crash_delay_by_name.get(task, self.crash_delay_by_name.get(job))

    def record_crash(self, runner):
        """Record that a worker crashed under all its runs."""
        for name, task in self.live:
            if name == runner.name:
                crashes = self.crashes_by_task.setdefault(task, set())
                crashes.add((runner.name, runner.born))

    def _check_crash_limit(self, task):
        crashes = len(self.crashes_by_task.get(task, ()))
        if self.get_crash_delay(task) is None or crashes < MAX_CRASHES:
            return
        self.starts_after_crashes_by_task[task] += 1
        if self.starts_after_crashes_by_task[task] >= MAX_STARTS_AFTER_CRASHES:
            self.problems.append(f"{task} started after it crashed {crashes} workers")

    def could_fail(self, job):
        """Return whether a task of a job may have been given up.

        Either its retries are used up, or workers crashed under it. A gang fails
        whenever one of its members does. Long-running tasks have no retries.
        """
        failed_ends_by_name = {}
        for task, runs in self.failed_ends_by_task.items():
            step = self.get_step(task)
            if step.is_lasting:
                continue
            name = task.rsplit(".", 1)[0] if step.is_gang else task
            failed_ends_by_name.setdefault(name, set()).update(runs)
        retries = self.spec_by_job[job].retries
        return any(
            len(runs) >= retries
            for name, runs in failed_ends_by_name.items()
            if name.split(".")[0] == job
        ) or any(
            len(crashes) >= CRASHES_TO_GIVE_UP
            for task, crashes in self.crashes_by_task.items()
            if task.split(".")[0] == job
        )

    def check_state(self, job, state):
        """Check the state of a job that is shown to callers."""
        if state == "failed" and not self.could_fail(job):
            self.problems.append(f"{job} is shown as failed without cause")
        if state in COMPLETE_STATES and not self.is_complete(job):
            self.problems.append(f"{job} is shown as complete too early")

    def is_complete(self, job):
        """Return whether all tasks of a job are done; one of a gang is enough."""
        spec = self.spec_by_job[job]
        return all(
            (any if step.is_gang else all)(
                f"{job}.{occurrence}.{number}.{index}" in self.done
                for index in range(step.tasks)
            )
            for occurrence in range(max(1, spec.repeats))
            for number, step in enumerate(spec.steps)
        )

    def has_disruption_limit(self, task):
        """Return whether the task's step limits how many tasks may be missing."""
        return self.get_step(task).may_miss >= 0

    def record_completion(self, runner, task, number, outcome):
        """Record the end of a run."""
        self.live.pop((runner.name, task), None)
        if outcome == "done":
            self.done.add(task)
            self._starts_at_done_by_run[(task, number)] = len(self.starts)
        if outcome == "failed":
            self.failed_ends_by_task.setdefault(task, set()).add(number)

    def record_acknowledgement(self, end):
        """Record that a completion was acknowledged."""
        if end.outcome == "done":
            self.acknowledged_done.add(end.task)
            self._check_started_since(end)
        if end.outcome == "failed":
            self.failed_runs_by_task.setdefault(end.task, set()).add(end.number)

    def _check_started_since(self, end):
        """Check that no other run of a task began after an acknowledged end as done.

        Copies may, and long-running tasks have to.
        """
        starts_at_done = self._starts_at_done_by_run.get((end.task, end.number))
        if starts_at_done is None:
            return
        since = [task for task, _, _ in self.starts[starts_at_done:]]
        step = self.get_step(end.task)
        if end.task in since and not (step.is_speculative or step.is_lasting):
            self.problems.append(
                f"{end.task} started again after run {end.number} was done, and that"
                " end was acknowledged"
            )

    def forget_worker(self, runner):
        """Drop all live runs of a worker."""
        for key in [key for key in self.live if key[0] == runner.name]:
            del self.live[key]
