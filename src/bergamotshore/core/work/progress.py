"""Job progress: state of tasks and runs, and which steps are ready to run."""

from dataclasses import dataclass, field

from bergamotshore.core.work.model import TaskRef

# A job of more tasks is stored in groups of tasks. A row holds at most 64 kB: up to
# 45 bytes for a claimed task with usual names, and ten times as many with the longest.
MAX_TASKS_IN_ROW = 100
GROUP_TASKS = 30


@dataclass(slots=True)
class Run:
    """One run of a task that may be active.

    :param number: Number of the run.
    :param node: Node that it was assigned to.
    :param worker: Worker of that node.
    :param born: Start time of that incarnation of the worker, in ms.
    """

    number: int
    node: str
    worker: str
    born: int


@dataclass(slots=True)
class Task:
    """State of one task.

    :param is_done: Whether a run has ended with the outcome done.
    :param failures: Number of failed runs.
    :param last_run: Highest run number so far.
    :param checkpoint: Newest checkpoint; empty when there is none.
    :param runs: List of ``Run`` that may be active.
    :param failed_run: Number of the latest run of its gang that was counted as failed;
        0 for tasks outside gangs.
    :param crashes: Number of crashes of workers that one of its runs may have caused.
    :param unstarted_runs: Number of runs that certainly never began, as far as this
        term knows.
    """

    is_done: bool = False
    failures: int = 0
    last_run: int = 0
    checkpoint: str = ""
    runs: list = field(default_factory=list)
    failed_run: int = 0
    crashes: int = 0
    unstarted_runs: int = 0


class JobProgress:
    """State of one job, changed only through its methods.

    ``revision`` counts the changes, so that a writer knows which ones it has persisted.

    :param spec: ``JobSpec``.
    """

    def __init__(self, spec):
        self.spec = spec
        self.revision = 0
        self.is_cancelled = False
        self.outcome = ""
        self.finished_occurrences = 0
        self.tasks_by_occurrence = {}
        self._open_steps = {}
        self._has_run = False
        tasks = sum(step.tasks for step in spec.steps) * self.occurrences
        self.is_grouped = tasks > MAX_TASKS_IN_ROW
        self.revision_by_group = {}

    @property
    def key(self):
        """Return the key of the job."""
        return self.spec.key

    @property
    def occurrences(self):
        """Return the number of occurrences of the job."""
        return max(1, self.spec.repeats)

    def get_task(self, ref):
        """Return the ``Task`` of a reference, or None if its occurrence is not open."""
        steps = self.tasks_by_occurrence.get(ref.occurrence)
        if steps is None or not 0 <= ref.step < len(steps):
            return None
        tasks = steps[ref.step]
        return tasks[ref.index] if 0 <= ref.index < len(tasks) else None

    def open_due_occurrences(self, wall):
        """Create the tasks of all occurrences that are due.

        :param wall: Wall clock, in seconds since the epoch.
        """
        if self.outcome or self.is_cancelled:
            return
        next_occurrence = self.finished_occurrences + len(self.tasks_by_occurrence)
        while next_occurrence < self.occurrences:
            if self.spec.repeats and wall < self.spec.get_due_time(next_occurrence):
                return
            self._open_next_occurrence()
            next_occurrence += 1

    def get_next_due_time(self):
        """Return the due time of the next occurrence, or None if none is left."""
        next_occurrence = self.finished_occurrences + len(self.tasks_by_occurrence)
        if not self.spec.repeats or next_occurrence >= self.occurrences:
            return None
        return self.spec.get_due_time(next_occurrence)

    def list_ready_steps(self):
        """Return pairs of occurrence and step index whose dependencies are done."""
        if self.outcome or self.is_cancelled:
            return []
        ready = []
        for occurrence, steps in self.tasks_by_occurrence.items():
            done = [all(task.is_done for task in tasks) for tasks in steps]
            for number, step in enumerate(self.spec.steps):
                is_ready = all(done[earlier] for earlier in step.after)
                if is_ready and not done[number]:
                    ready.append((occurrence, number))
        return ready

    def list_waiting(self, occurrence, step):
        """Return references to the unfinished tasks of a step that have no run."""
        tasks = self.tasks_by_occurrence[occurrence][step]
        return [
            TaskRef(self.key, occurrence, step, index)
            for index, task in enumerate(tasks)
            if not task.is_done and not task.runs
        ]

    def has_started(self):
        """Return whether any task has ever been claimed for a run."""
        return self.finished_occurrences > 0 or any(
            task.last_run
            for steps in self.tasks_by_occurrence.values()
            for tasks in steps
            for task in tasks
        )

    def record_start(self):
        """Record that a run of a task has really started."""
        self._has_run = True

    def has_run(self):
        """Return whether any task is known to have run; a claim alone is no run.

        A term that begins with what is stored knows only of runs that left a trace.
        """
        return (
            self._has_run
            or self.finished_occurrences > 0
            or any(
                task.is_done or task.failures or task.checkpoint
                for steps in self.tasks_by_occurrence.values()
                for tasks in steps
                for task in tasks
            )
        )

    def record_moved(self):
        """Count all tasks of a large job as changed: they were in one row so far."""
        for occurrence in self.tasks_by_occurrence:
            for step in range(len(self.spec.steps)):
                self._record_step_change(TaskRef(self.key, occurrence, step, 0))

    def list_runs(self):
        """Yield pairs of reference and ``Run`` for all runs that may be active."""
        for occurrence, steps in self.tasks_by_occurrence.items():
            for step, tasks in enumerate(steps):
                for index, task in enumerate(tasks):
                    for run in task.runs:
                        yield TaskRef(self.key, occurrence, step, index), run

    def _record_change(self, ref):
        """Count a change of one task."""
        self.revision += 1
        if self.is_grouped:
            group = (ref.occurrence, ref.step, ref.index // GROUP_TASKS)
            self.revision_by_group[group] = self.revision

    def _record_step_change(self, ref):
        """Count a change of several tasks of a step."""
        self.revision += 1
        if self.is_grouped:
            groups = -(-self.spec.steps[ref.step].tasks // GROUP_TASKS)
            for number in range(groups):
                group = (ref.occurrence, ref.step, number)
                self.revision_by_group[group] = self.revision

    def list_group(self, group):
        """Return the ``Task`` objects of a group; none if its occurrence is over."""
        occurrence, step, number = group
        steps = self.tasks_by_occurrence.get(occurrence)
        if steps is None:
            return []
        return steps[step][number * GROUP_TASKS : (number + 1) * GROUP_TASKS]

    def replace_group(self, group, tasks):
        """Replace the tasks of a group; return False if the job has no such group."""
        occurrence, step, number = group
        if not self.finished_occurrences <= occurrence < self.occurrences:
            return occurrence < self.finished_occurrences
        while occurrence >= self.finished_occurrences + len(self.tasks_by_occurrence):
            self._open_next_occurrence()
        if step >= len(self.spec.steps) or len(self.list_group(group)) != len(tasks):
            return False
        start = number * GROUP_TASKS
        steps = self.tasks_by_occurrence[occurrence]
        steps[step][start : start + len(tasks)] = tasks
        return True

    def _open_next_occurrence(self):
        number = self.finished_occurrences + len(self.tasks_by_occurrence)
        self.tasks_by_occurrence[number] = [
            [Task() for _ in range(step.tasks)] for step in self.spec.steps
        ]

    def claim(self, ref, node, incarnation, number=0):
        """Record a new run that is about to start.

        :param incarnation: ``WorkerIncarnation`` of the worker that is to run it.
        :param number: Run number; 0 for the next one.
        :returns: ``Run``.
        """
        task = self.get_task(ref)
        task.last_run = number or task.last_run + 1
        run = Run(task.last_run, node, incarnation.worker, incarnation.started_ms)
        task.runs.append(run)
        self._record_change(ref)
        return run

    def get_next_gang_run_number(self, occurrence, step):
        """Return the next run number, which all members of a gang share."""
        tasks = self.tasks_by_occurrence[occurrence][step]
        return 1 + max(task.last_run for task in tasks)

    def is_gang_incomplete(self, ref, number):
        """Return whether a member of a gang run isn't running and never will be.

        All members of a run are claimed at once, so that none may be missing later.
        """
        return any(
            not task.is_done and all(run.number != number for run in task.runs)
            for task in self.tasks_by_occurrence[ref.occurrence][ref.step]
        )

    def rebind(self, ref, number, incarnation):
        """Move a run to another incarnation of its worker."""
        task = self.get_task(ref)
        for run in task.runs if task is not None else ():
            if run.number == number:
                run.worker, run.born = incarnation.worker, incarnation.started_ms
                self._record_change(ref)

    def release(self, ref, number):
        """Remove a run that is not running and never will be.

        :returns: True if the run was present.
        """
        task = self.get_task(ref)
        if task is None or not any(run.number == number for run in task.runs):
            return False
        task.runs = [run for run in task.runs if run.number != number]
        self._record_change(ref)
        return True

    def record_unstarted(self, ref):
        """Record that a run of a task has never begun."""
        task = self.get_task(ref)
        if task is not None:
            task.unstarted_runs += 1

    def record_checkpoint(self, ref, number, checkpoint):
        """Record a checkpoint; it is persisted together with the next change."""
        task = self.get_task(ref)
        if task is not None and checkpoint:
            task.checkpoint = checkpoint

    def end(self, ref, number, outcome, checkpoint, retries):
        """Record the completion of a run.

        The completion of a run may arrive after the run was released because its lease
        had expired, when another run has replaced it. If the outcome is done, the task
        is done nevertheless; any other late completion has no effect.

        :param outcome: Outcome reported by the worker.
        :param retries: Failed runs of a task after which the job has failed.
        :returns: True if the run was present.
        """
        task = self.get_task(ref)
        if task is None or self.outcome:
            return False
        step = self.spec.steps[ref.step]
        if not self.release(ref, number):
            if outcome == "done" and not step.is_lasting and not task.is_done:
                self._mark_done(ref, step)
            return False
        if outcome == "done" and not step.is_lasting:
            self._mark_done(ref, step)
            return True
        self.record_checkpoint(ref, number, checkpoint)
        if outcome == "failed":
            if step.is_gang:
                self._record_gang_failure(ref, number)
            else:
                task.failures += 1
            self._fail_if_retries_exhausted(step, task, retries)
        return True

    def _record_gang_failure(self, ref, number):
        """Count a failed gang run once, even if several of its members failed."""
        for member in self.tasks_by_occurrence[ref.occurrence][ref.step]:
            if member.failed_run < number:
                member.failed_run = number
                member.failures += 1
        self._record_step_change(ref)

    def _fail_if_retries_exhausted(self, step, task, retries):
        if task.failures >= retries and not step.is_lasting and not task.is_done:
            self.outcome = "failed"

    def record_crash(self, ref, max_crashes):
        """Count a crash of a worker that a run of a task may have caused.

        :param max_crashes: Crashes after which the job has failed.
        :returns: Number of crashes counted for the task.
        """
        task = self.get_task(ref)
        task.crashes += 1
        self.revision += 1
        if task.crashes >= max_crashes and not task.is_done and not self.outcome:
            self.outcome = "failed"
        return task.crashes

    def clear_crashes(self, ref):
        """Forget the crashes counted for a task."""
        self.get_task(ref).crashes = 0
        self.revision += 1

    def list_crashed(self):
        """Return references to the unfinished tasks for which crashes are counted."""
        return [
            TaskRef(self.key, occurrence, step, index)
            for occurrence, steps in self.tasks_by_occurrence.items()
            for step, tasks in enumerate(steps)
            for index, task in enumerate(tasks)
            if task.crashes and not task.is_done
        ]

    def _mark_done(self, ref, step):
        steps = self.tasks_by_occurrence[ref.occurrence]
        members = steps[ref.step] if step.is_gang else [steps[ref.step][ref.index]]
        for task in members:
            task.is_done = True
        if step.is_gang:
            self._record_step_change(ref)
        else:
            self._record_change(ref)
        self._close_occurrences()

    def _close_occurrences(self):
        """Remove finished occurrences in order; the last one closes the job."""
        for occurrence in sorted(self.tasks_by_occurrence):
            steps = self.tasks_by_occurrence[occurrence]
            tasks = [task for tasks in steps for task in tasks]
            if occurrence != self.finished_occurrences:
                return
            if not all(task.is_done for task in tasks):
                return
            if self.occurrences - 1 == occurrence:
                self.outcome = "done"
                return
            if any(task.runs for task in tasks):
                return
            del self.tasks_by_occurrence[occurrence]
            self.finished_occurrences += 1

    def cancel(self):
        """Mark the job as cancelled by its caller."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.revision += 1

    @property
    def state(self):
        """Return the job state that is shown to callers."""
        if self.outcome:
            return self.outcome
        if self.is_cancelled:
            return "cancelled"
        return "running" if self.has_started() else "pending"
