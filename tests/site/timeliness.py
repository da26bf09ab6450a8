"""Guarantees that have to hold in time on a site without faults."""

from soak.judges import LongRunningJudge

# Bounds of the users, in seconds.
ACKNOWLEDGE_SECONDS = 4.0
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.2
VISIBLE_SECONDS = 3.0
COUNT_AGE_SECONDS = 2.0
NOTICE_SECONDS = 4.5
GANG_TIMEOUT_SECONDS = 3.0
IDLE_SECONDS = 3.0
# A ready task has to run if a worker has room for this many of it while less than this
# share of all processors is in use.
REQUIRED_ROOM = 2
BUSY_SHARE = 0.5
# Least share of the waiting jobs that the published count has to include.
COUNTED_SHARE = 0.5


class TimelinessJudge:
    """Check a simulation without faults; violations are added to its ledger.

    :param simulation: ``Simulation``.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._ledger = simulation.ledger
        self._runners = list(simulation.runner_by_node.values())
        self.submitted_at_by_job = {}
        self.problems = self._ledger.problems
        self._stop_count = 0
        self._listed_at_by_end = {}
        self._missing_since_by_task = {}
        self._idle_since_by_job = {}
        self._gang_since_by_run = {}
        self._long_running = LongRunningJudge(self._runners, self._ledger, None, self)
        self._long_running.calm_since = simulation.clock.now()

    def list_long_running_jobs(self):
        """Return the open jobs with long-running tasks."""
        return {
            job
            for job in self._list_open_jobs()
            if self._ledger.spec_by_job[job].is_lasting
        }

    def _list_open_jobs(self):
        return self.submitted_at_by_job.keys() - self._ledger.cancelled_at_by_job.keys()

    def check(self):
        """Check all guarantees once; has to be called after each step."""
        now = self._simulation.clock.now()
        self._long_running.check(now)
        self._check_acknowledgements(now)
        self._check_cancelled_jobs(now)
        self._check_counts(now)
        self._check_stops(now)
        self._check_gangs(now)
        self._check_idle_jobs(now)

    def _check_acknowledgements(self, now):
        """Check that completions are acknowledged in time."""
        listed = {
            (runner.name, runner.born, end.sequence): end.task
            for runner in self._runners
            if runner.is_sending_heartbeats
            for end in runner.ends
        }
        self._listed_at_by_end = {
            key: self._listed_at_by_end.get(key, now) for key in listed
        }
        for key, at in self._listed_at_by_end.items():
            if now - at > ACKNOWLEDGE_SECONDS:
                self.problems.append(f"end of {listed[key]} is not acknowledged")

    def _check_cancelled_jobs(self, now):
        """Check that the runs of cancelled jobs are stopped in time."""
        for worker, task in self._ledger.live:
            at = self._ledger.cancelled_at_by_job.get(task.split(".")[0])
            if at is not None and now - at > CANCEL_SECONDS + STOP_SECONDS:
                self.problems.append(f"{task} runs on {worker}, but it is cancelled")

    def _check_counts(self, now):
        """Check the published number of waiting jobs."""
        begun = {task.split(".")[0] for task, _, _ in self._ledger.starts}
        waiting_by_queue = {}
        for job in self._list_open_jobs() - begun:
            age = now - self.submitted_at_by_job[job]
            if age > VISIBLE_SECONDS + COUNT_AGE_SECONDS:
                queue = self._ledger.spec_by_job[job].queue
                waiting_by_queue[queue] = waiting_by_queue.get(queue, 0) + 1
        if not waiting_by_queue:
            return
        counts = self._simulation.rows.get_waiting_counts(0.0).unwrap()
        for queue, waiting in waiting_by_queue.items():
            if counts.get(queue, 0) < COUNTED_SHARE * waiting:
                self.problems.append(f"{queue}: {counts} instead of {waiting} waiting")

    def _check_stops(self, now):
        """Check that orders don't make too many long-running tasks unavailable."""
        live = {task for _, task in self._ledger.live}
        stops = self._ledger.stops
        for task, is_draining in stops[self._stop_count :]:
            step = self._ledger.get_step(task)
            is_open = task.split(".")[0] in self._list_open_jobs()
            if is_draining or step.may_miss < 0 or not is_open:
                continue
            away = [
                other
                for other in self._list_others(task, step)
                if self._is_away(other, live, now)
            ]
            if len(away) >= step.may_miss:
                self.problems.append(f"{task} was stopped while {away} are away")
            self._missing_since_by_task[task] = now - NOTICE_SECONDS
        self._stop_count = len(stops)
        for job in self.list_long_running_jobs():
            for number, step in enumerate(self._ledger.spec_by_job[job].steps):
                for index in range(step.tasks):
                    self._record_presence(f"{job}.0.{number}.{index}", live, now)

    @staticmethod
    def _list_others(task, step):
        prefix = task.rsplit(".", 1)[0]
        names = [f"{prefix}.{index}" for index in range(step.tasks)]
        return [name for name in names if name != task]

    def _record_presence(self, task, live, now):
        if task in live:
            self._missing_since_by_task.pop(task, None)
        else:
            self._missing_since_by_task.setdefault(task, now)

    def _is_away(self, task, live, now):
        """Return whether a task was ended by an order, or is away for long."""
        since = self._missing_since_by_task.get(task)
        return task not in live and (
            since is not None and now - since >= NOTICE_SECONDS
        )

    def _check_gangs(self, now):
        """Check that the members of a gang start together."""
        present_by_run = {}
        for (_, task), run in self._ledger.live.items():
            if self._ledger.get_step(task).is_gang:
                key = (task.rsplit(".", 1)[0], run.number)
                present_by_run.setdefault(key, set()).add(task)
        self._gang_since_by_run = {
            key: self._gang_since_by_run.get(key, now) for key in present_by_run
        }
        for (name, number), present in present_by_run.items():
            size = self._ledger.get_step(next(iter(present))).tasks
            waits = now - self._gang_since_by_run[(name, number)]
            if len(present) < size and waits > GANG_TIMEOUT_SECONDS:
                self.problems.append(f"run {number} of {name} waits for members")
            if len(present) == size:
                self._gang_since_by_run[(name, number)] = now

    def _check_idle_jobs(self, now):
        """Check that a job doesn't wait while half of the site is idle."""
        live = [task for _, task in self._ledger.live]
        used = sum(self._ledger.get_step(task).reserved_cpu for task in live)
        total = sum(runner.capacity.cpu for runner in self._runners)
        running = {task.split(".")[0] for task in live}
        for job in self._list_open_jobs():
            is_idle = (
                used < BUSY_SHARE * total
                and job not in running
                and not self._ledger.is_complete(job)
                and not self._ledger.could_fail(job)
                and self._has_room(job)
            )
            if not is_idle:
                self._idle_since_by_job[job] = now
            elif now - self._idle_since_by_job.setdefault(job, now) > IDLE_SECONDS:
                self.problems.append(f"{job} waits although there is room for it")
                self._idle_since_by_job[job] = now

    def _has_room(self, job):
        """Return whether a worker has room for any whole step of a job."""
        return all(
            any(
                self._ledger.has_room(runner, step, REQUIRED_ROOM * step.tasks)
                for runner in self._runners
            )
            for step in self._ledger.spec_by_job[job].steps
        )
