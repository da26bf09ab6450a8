"""History of the runs on all simulated workers, checked against the guarantees."""


class Ledger:
    """History of all workers' runs; ``problems`` lists violated guarantees."""

    def __init__(self):
        self.spec_by_job = {}
        self.live = {}
        self.done = set()
        self.acknowledged_done = set()
        self.failed_ends_by_task = {}
        self.failed_runs_by_task = {}
        self.starts = []
        self.problems = []

    def record_job(self, spec):
        """Record a submitted job."""
        self.spec_by_job[spec.job_id] = spec

    def get_step(self, task):
        """Return the ``Step`` of a task."""
        job, _, step, _ = task.split(".")
        return self.spec_by_job[job].steps[int(step)]

    def record_start(self, runner, task, number):
        """Record the start of a run and check the scheduling guarantees."""
        self.starts.append((task, number, runner.name))
        others = [key for key in self.live if key[1] == task]
        if len(others) >= (2 if self.get_step(task).is_speculative else 1):
            self.problems.append(f"{task} runs twice: {others} and {runner.name}")
        if task in self.acknowledged_done:
            self.problems.append(f"{task} started after its end was acknowledged")
        self._check_step_order(task)
        self._check_retry_limit(task)
        self.live[(runner.name, task)] = number
        used = sum(
            self.get_step(task).reserved_cpu
            for name, task in self.live
            if name == runner.name
        )
        if used > runner.cpu:
            self.problems.append(f"{runner.name} holds {used} of {runner.cpu}")

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

    def could_fail(self, job):
        """Return whether a task of a job has used up its retries."""
        retries = self.spec_by_job[job].retries
        return any(
            len(runs) >= retries
            for task, runs in self.failed_ends_by_task.items()
            if task.split(".")[0] == job
        )

    def has_disruption_limit(self, task):
        """Return whether the task's step limits how many tasks may be missing."""
        return self.get_step(task).may_miss >= 0

    def record_completion(self, runner, task, number, outcome):
        """Record the end of a run."""
        self.live.pop((runner.name, task), None)
        if outcome == "done":
            self.done.add(task)
        if outcome == "failed":
            self.failed_ends_by_task.setdefault(task, set()).add(number)

    def record_acknowledgement(self, end):
        """Record that a completion was acknowledged."""
        if end.outcome == "done":
            self.acknowledged_done.add(end.task)
        if end.outcome == "failed":
            self.failed_runs_by_task.setdefault(end.task, set()).add(end.number)

    def forget_worker(self, runner):
        """Drop all live runs of a worker."""
        for key in [key for key in self.live if key[0] == runner.name]:
            del self.live[key]
