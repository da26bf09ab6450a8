"""Job progress: state of tasks and runs, and which steps are ready to run."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from heapq import merge
from itertools import islice

from bergamotshore.core.work.model import TaskRef, get_critical_path_seconds, sum_work
from bergamotshore.core.work.steptasks import DONE, BlankTasks, SparseItems, StepTasks

# A job of more tasks is stored in groups of tasks. A row holds at most 64 kB: up to
# 45 bytes for a claimed task with usual names, and ten times as many with the longest.
MAX_TASKS_IN_ROW = 100
GROUP_TASKS = 30
# Steps of occurrences that nothing has happened to yet of which a pass is told, at
# least, if the job has as many: more than start in one pass. The rest comes later.
MIN_STEPS_IN_PASS = 100
# Occurrences of one step of which a pass is told. They differ in nothing, so if these
# can't be placed, no other can.
MAX_OCCURRENCES_IN_PASS = 100


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


class WaitingTasks(Sequence):
    """References to the waiting tasks of a step, listed no further than asked for.

    They are those that wait while they are listed. The tasks that were claimed before
    come in their order among the others, which are all alike.

    :param progress: ``JobProgress``.
    :param occurrence: Index of the occurrence.
    :param step: Index of the step.
    :param get_rank: Sort key of a reference; None for the order of the indexes.
    """

    def __init__(self, progress, occurrence, step, get_rank=None):
        self._progress = progress
        self._occurrence, self._step = occurrence, step
        self._get_rank = get_rank

    @property
    def _tasks(self):
        return self._progress.get_step_tasks(self._occurrence, self._step)

    def __bool__(self):
        return self._tasks.has_waiting

    def __len__(self):
        return self._tasks.count_waiting()

    def __iter__(self):
        tasks = self._tasks
        if self._get_rank is None:
            indexes = tasks.iterate_waiting()
        else:
            touched = tasks.list_touched_waiting()
            touched.sort(key=self._rank_index)
            indexes = tasks.iterate_waiting(touched, self._rank_index)
        return map(self._build_ref, indexes)

    def __getitem__(self, position):
        if isinstance(position, slice):
            return list(islice(self, position.start, position.stop, position.step))
        return next(islice(self, position, None))

    def order_by(self, get_rank):
        """Return the same tasks in another order.

        :param get_rank: Sort key of a reference. Of the tasks that were never claimed
            it has to rise with the index.
        """
        return WaitingTasks(self._progress, self._occurrence, self._step, get_rank)

    def list_touched(self):
        """Return references to those that were claimed before."""
        return [self._build_ref(index) for index in self._tasks.list_touched_waiting()]

    def _build_ref(self, index):
        return TaskRef(self._progress.key, self._occurrence, self._step, index)

    def _rank_index(self, index):
        return self._get_rank(self._build_ref(index))


class OccurrenceTasks:
    """Tasks of one occurrence of a job, by step.

    :param steps: Steps of the job.
    """

    __slots__ = ("_done_steps", "_ready", "_steps", "tasks_by_step")

    def __init__(self, steps):
        self._steps = steps
        self.tasks_by_step = {}
        self._done_steps = set()
        self._ready = None

    def touch_step(self, number):
        """Return the ``StepTasks`` of a step, to be changed."""
        tasks = self.tasks_by_step.get(number)
        if tasks is None:
            tasks = self.tasks_by_step[number] = StepTasks(self._steps[number].tasks)
        return tasks

    def record_done(self, number):
        """Update which steps are done after tasks of one were."""
        if number not in self._done_steps and self.tasks_by_step[number].is_done:
            self._done_steps.add(number)
            self._ready = None

    @property
    def is_done(self):
        """Return whether all tasks are done."""
        return len(self._done_steps) == len(self._steps)

    @property
    def has_runs(self):
        """Return whether any run of its tasks may be active."""
        return any(
            task.runs
            for tasks in self.tasks_by_step.values()
            for task in tasks.iterate_touched()
        )

    def list_ready(self):
        """Return the indexes of the steps whose dependencies are done."""
        if self._ready is None:
            self._ready = [
                number
                for number, step in enumerate(self._steps)
                if number not in self._done_steps
                and self._done_steps.issuperset(step.after)
            ]
        return self._ready


class JobProgress:
    """State of one job, changed only through its methods.

    ``revision`` counts the changes, so that a writer knows which ones it has persisted.
    ``changed_groups`` holds the groups of tasks of a large job that were changed since
    the writer last took them.

    :param spec: ``JobSpec``.
    """

    def __init__(self, spec):
        self.spec = spec
        self.revision = 0
        self.is_cancelled = False
        self.outcome = ""
        self._occurrences = SparseItems(0)
        self._first_steps = OccurrenceTasks(spec.steps).list_ready()
        self._has_run = False
        tasks = sum(step.tasks for step in spec.steps) * self.occurrences
        self.is_grouped = tasks > MAX_TASKS_IN_ROW
        self.changed_groups = set()

    @cached_property
    def critical_path(self):
        """Return the critical path of an occurrence by declared durations."""
        return get_critical_path_seconds(self.spec)

    @cached_property
    def work(self):
        """Return what the tasks of an occurrence occupy, see ``sum_work``."""
        return sum_work(self.spec)

    @property
    def key(self):
        """Return the key of the job."""
        return self.spec.key

    @property
    def occurrences(self):
        """Return the number of occurrences of the job."""
        return max(1, self.spec.repeats)

    @property
    def finished_occurrences(self):
        """Return the number of occurrences that are over; the first ones always are."""
        return self._occurrences.start

    @property
    def opened_occurrences(self):
        """Return the number of occurrences that were due so far."""
        return self._occurrences.end

    def is_open(self, occurrence):
        """Return whether an occurrence is due and not over."""
        return self.finished_occurrences <= occurrence < self.opened_occurrences

    def get_step_tasks(self, occurrence, step):
        """Return the tasks of a step, to be read.

        :returns: ``StepTasks`` or ``BlankTasks``; None if the occurrence is not open or
            has no such step.
        """
        if not self.is_open(occurrence) or not 0 <= step < len(self.spec.steps):
            return None
        found = self._occurrences.value_by_number.get(occurrence)
        tasks = found.tasks_by_step.get(step) if found is not None else None
        if tasks is not None:
            return tasks
        count = self.spec.steps[step].tasks
        if not self._occurrences.is_settled(occurrence):
            return BlankTasks(count)
        tasks = StepTasks(count)
        tasks.mark_all_done()
        return tasks

    def get_task(self, ref):
        """Return the task of a reference to be read; None if its occurrence isn't open.

        :returns: ``Task`` or ``SharedTask``.
        """
        if self._occurrences.is_settled(ref.occurrence):
            is_task = 0 <= ref.step < len(self.spec.steps)
            return DONE if is_task and self.is_open(ref.occurrence) else None
        tasks = self.get_step_tasks(ref.occurrence, ref.step)
        return tasks.get(ref.index) if tasks is not None else None

    def touch(self, ref):
        """Return the ``Task`` of a reference to be changed.

        :returns: None if its occurrence is not open, or over but for its turn.
        """
        if self.get_task(ref) is None or self._occurrences.is_settled(ref.occurrence):
            return None
        return self._touch_step(ref.occurrence, ref.step).touch(ref.index)

    def _touch_step(self, occurrence, step):
        return self._touch_occurrence(occurrence).touch_step(step)

    def _touch_occurrence(self, occurrence):
        found = self._occurrences.value_by_number.get(occurrence)
        if found is None:
            found = OccurrenceTasks(self.spec.steps)
            self._occurrences.store(occurrence, found)
        return found

    def open_due_occurrences(self, wall):
        """Open all occurrences that are due.

        :param wall: Wall clock, in seconds since the epoch.
        """
        if self.outcome or self.is_cancelled:
            return
        items = self._occurrences
        if not self.spec.repeats or self._is_due(self.occurrences - 1, wall):
            items.end = self.occurrences
            return
        # Due times rise with the index.
        low, high = items.end, self.occurrences - 1
        while low < high:
            middle = (low + high) // 2
            if self._is_due(middle, wall):
                low = middle + 1
            else:
                high = middle
        items.end = low

    def _is_due(self, occurrence, wall):
        return occurrence < self.opened_occurrences or (
            wall >= self.spec.get_due_time(occurrence)
        )

    def get_next_due_time(self):
        """Return the due time of the next occurrence, or None if none is left."""
        next_occurrence = self.opened_occurrences
        if not self.spec.repeats or next_occurrence >= self.occurrences:
            return None
        return self.spec.get_due_time(next_occurrence)

    def list_ready_steps(self):
        """Return pairs of occurrence and step index whose dependencies are done.

        Of occurrences that are all alike, the first ones stand for the others.
        """
        if self.outcome or self.is_cancelled:
            return []
        if self.occurrences == 1:
            return self._list_ready_of_only_one()
        ready = []
        count_by_step = {}
        for occurrence, steps in self._list_ready_by_occurrence():
            for number in steps:
                count = count_by_step.get(number, 0)
                if count < MAX_OCCURRENCES_IN_PASS:
                    ready.append((occurrence, number))
                    if self.list_waiting(occurrence, number):
                        count_by_step[number] = count + 1
        return ready

    def count_ready_steps(self):
        """Return how many ready steps ``list_ready_steps`` tells at most."""
        if self.outcome or self.is_cancelled:
            return 0
        if self.occurrences == 1:
            return len(self._list_ready_of_only_one())
        limit = MAX_OCCURRENCES_IN_PASS * len(self.spec.steps)
        return min(
            limit, sum(len(steps) for _, steps in self._list_ready_by_occurrence())
        )

    def _list_ready_of_only_one(self):
        if not self.is_open(0):
            return []
        found = self._occurrences.value_by_number.get(0)
        steps = self._first_steps if found is None else found.list_ready()
        return [(0, number) for number in steps]

    def _list_ready_by_occurrence(self):
        """Return pairs of occurrence and its ready steps, sorted by occurrence."""
        touched = [
            (occurrence, tasks.list_ready())
            for occurrence, tasks in self._occurrences.list_stored()
        ]
        limit = -(-MIN_STEPS_IN_PASS // max(1, len(self._first_steps)))
        untouched = islice(self._occurrences.iterate_untouched(), limit)
        fresh = ((occurrence, self._first_steps) for occurrence in untouched)
        return merge(touched, fresh)

    def list_waiting(self, occurrence, step):
        """Return the ``WaitingTasks`` of a step."""
        return WaitingTasks(self, occurrence, step)

    def list_demands(self):
        """Yield the open occurrences in groups that are alike, to be counted.

        Those that something has happened to come alone, in order, the others after them
        in a bounded number of groups.

        :returns: Triples of the occurrence, or of one from the middle of the group, the
            number of occurrences, and the ``StepTasks`` of its steps.
        """
        steps = range(len(self.spec.steps))
        for occurrence, _ in self._occurrences.list_stored():
            yield occurrence, 1, [self.get_step_tasks(occurrence, n) for n in steps]
        # Untouched occurrences follow each other, but for a few.
        left = self._occurrences.untouched
        if not left:
            return
        size = -(-left // MAX_OCCURRENCES_IN_PASS)
        first = next(self._occurrences.iterate_untouched())
        tasks = [BlankTasks(step.tasks) for step in self.spec.steps]
        while left > 0:
            count = min(size, left)
            yield first + (count - 1) // 2, count, tasks
            first, left = first + count, left - count

    def has_started(self):
        """Return whether any task has ever been claimed for a run."""
        return (
            self.finished_occurrences > 0
            or self._occurrences.has_settled
            or any(
                tasks.done or any(task.last_run for task in tasks.iterate_touched())
                for _, _, tasks in self._iterate_touched_steps()
            )
        )

    def _iterate_touched_steps(self):
        """Yield occurrence, step and ``StepTasks`` of the steps that have any state."""
        for occurrence, found in self._occurrences.list_stored():
            for step, tasks in sorted(found.tasks_by_step.items()):
                yield occurrence, step, tasks

    def iterate_touched(self):
        """Yield pairs of ``TaskRef`` and ``Task`` of the tasks that have any state."""
        for occurrence, step, tasks in self._iterate_touched_steps():
            for index, task in tasks.list_touched():
                yield TaskRef(self.key, occurrence, step, index), task

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
            or self._occurrences.has_settled
            or any(
                tasks.done
                or any(
                    task.failures or task.checkpoint for task in tasks.iterate_touched()
                )
                for _, _, tasks in self._iterate_touched_steps()
            )
        )

    def record_moved(self):
        """Count all tasks of a large job as changed: they were in one row so far."""
        for occurrence in range(self.finished_occurrences, self.opened_occurrences):
            for step in range(len(self.spec.steps)):
                self._record_step_change(TaskRef(self.key, occurrence, step, 0))

    def list_runs(self):
        """Yield pairs of reference and ``Run`` for all runs that may be active."""
        for ref, task in self.iterate_touched():
            for run in task.runs:
                yield ref, run

    def _record_change(self, ref):
        """Count a change of one task."""
        self.revision += 1
        if self.is_grouped:
            group = (ref.occurrence, ref.step, ref.index // GROUP_TASKS)
            self.changed_groups.add(group)

    def _record_step_change(self, ref):
        """Count a change of several tasks of a step."""
        self.revision += 1
        if self.is_grouped:
            groups = -(-self.spec.steps[ref.step].tasks // GROUP_TASKS)
            self.changed_groups.update(
                (ref.occurrence, ref.step, number) for number in range(groups)
            )

    def take_changed_groups(self):
        """Return the groups that were changed since the last call, and clear them."""
        changed, self.changed_groups = self.changed_groups, set()
        return changed

    def list_group(self, group):
        """Return the tasks of a group to be read; none if its occurrence is over."""
        occurrence, step, number = group
        tasks = self.get_step_tasks(occurrence, step)
        if tasks is None:
            return []
        start = number * GROUP_TASKS
        return [
            tasks.get(index)
            for index in range(start, min(tasks.count, start + GROUP_TASKS))
        ]

    def replace_group(self, group, tasks):
        """Replace the tasks of a group; return False if the job has no such group."""
        occurrence, step, number = group
        if not self.finished_occurrences <= occurrence < self.occurrences:
            return occurrence < self.finished_occurrences
        self._occurrences.end = max(self.opened_occurrences, occurrence + 1)
        if step >= len(self.spec.steps) or len(self.list_group(group)) != len(tasks):
            return False
        if not self._occurrences.is_settled(occurrence):
            self._replace_tasks(occurrence, step, number * GROUP_TASKS, tasks)
        return True

    def list_tasks(self, occurrence):
        """Return the tasks of each step of an open occurrence, to be read."""
        steps = [
            self.get_step_tasks(occurrence, step)
            for step in range(len(self.spec.steps))
        ]
        return [[tasks.get(index) for index in range(tasks.count)] for tasks in steps]

    def _replace_tasks(self, occurrence, step, start, tasks):
        found = self._touch_occurrence(occurrence)
        step_tasks = found.touch_step(step)
        for index, task in enumerate(tasks, start):
            step_tasks.replace(index, task)
        found.record_done(step)
        self._settle_occurrence(occurrence)

    def restore(self, finished, outcome, tasks_by_occurrence):
        """Load the stored state of the whole job.

        :param finished: Number of finished occurrences.
        :param outcome: Outcome of the job; empty while it is open.
        :param tasks_by_occurrence: Lists of the tasks of each step by open occurrence.
        :returns: False if the job has other steps.
        """
        shape = [step.tasks for step in self.spec.steps]
        for steps in tasks_by_occurrence.values():
            if [len(tasks) for tasks in steps] != shape:
                return False
        self.outcome = outcome
        self._occurrences.skip_to(finished)
        for occurrence, steps in tasks_by_occurrence.items():
            self._occurrences.end = max(self.opened_occurrences, occurrence + 1)
            for step, tasks in enumerate(steps):
                self._replace_tasks(occurrence, step, 0, tasks)
        return True

    def claim(self, ref, node, incarnation, number=0):
        """Record a new run that is about to start.

        :param incarnation: ``WorkerIncarnation`` of the worker that is to run it.
        :param number: Run number; 0 for the next one.
        :returns: ``Run``.
        """
        task = self.touch(ref)
        task.last_run = number or task.last_run + 1
        run = Run(task.last_run, node, incarnation.worker, incarnation.started_ms)
        task.runs.append(run)
        self._record_change(ref)
        return run

    def get_next_gang_run_number(self, occurrence, step):
        """Return the next run number, which all members of a gang share."""
        tasks = self.get_step_tasks(occurrence, step)
        return 1 + max((task.last_run for task in tasks.iterate_touched()), default=0)

    def is_gang_incomplete(self, ref, number):
        """Return whether a member of a gang run isn't running and never will be.

        All members of a run are claimed at once, so that none may be missing later.
        """
        tasks = self.get_step_tasks(ref.occurrence, ref.step)
        return tasks.untouched > 0 or any(
            not task.is_done and all(run.number != number for run in task.runs)
            for task in tasks.iterate_touched()
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
        self._touch_step(ref.occurrence, ref.step).settle(ref.index)
        self._settle_occurrence(ref.occurrence)
        self._record_change(ref)
        return True

    def record_unstarted(self, ref):
        """Record that a run of a task has never begun."""
        task = self.touch(ref)
        if task is not None and not task.is_done:
            task.unstarted_runs += 1

    def record_checkpoint(self, ref, number, checkpoint):
        """Record a checkpoint; it is persisted together with the next change."""
        task = self.get_task(ref)
        if checkpoint and task is not None and not task.is_done:
            self.touch(ref).checkpoint = checkpoint

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
            if task.is_done:
                self._close_occurrences()
            else:
                self._mark_done(ref, step)
            return True
        self.record_checkpoint(ref, number, checkpoint)
        if outcome == "failed" and not task.is_done:
            if step.is_gang:
                self._record_gang_failure(ref, number)
            else:
                task.failures += 1
            self._fail_if_retries_exhausted(step, task, retries)
        return True

    def _record_gang_failure(self, ref, number):
        """Count a failed gang run once, even if several of its members failed."""
        tasks = self.get_step_tasks(ref.occurrence, ref.step)
        for member in tasks.iterate_touched():
            if member.failed_run < number:
                member.failed_run = number
                member.failures += 1
        self._record_step_change(ref)

    def _fail_if_retries_exhausted(self, step, task, retries):
        if task.failures >= retries and not step.is_lasting:
            self.outcome = "failed"

    def record_crash(self, ref, max_crashes):
        """Count a crash of a worker that a run of a task may have caused.

        :param max_crashes: Crashes after which the job has failed.
        :returns: Number of crashes counted for the task.
        """
        self.revision += 1
        task = self.touch(ref)
        if task is None:
            return 0
        task.crashes += 1
        if task.crashes >= max_crashes and not task.is_done and not self.outcome:
            self.outcome = "failed"
        return task.crashes

    def clear_crashes(self, ref):
        """Forget the crashes counted for a task."""
        self.touch(ref).crashes = 0
        self.revision += 1

    def restore_crashes(self, ref, crashes):
        """Load the crashes counted for a task."""
        task = self.get_task(ref)
        if task is not None and not task.is_done:
            self.touch(ref).crashes = crashes

    def list_crashed(self):
        """Return references to the unfinished tasks for which crashes are counted."""
        return [
            ref
            for ref, task in self.iterate_touched()
            if task.crashes and not task.is_done
        ]

    def _mark_done(self, ref, step):
        found = self._touch_occurrence(ref.occurrence)
        tasks = found.touch_step(ref.step)
        if step.is_gang:
            tasks.mark_all_done()
            self._record_step_change(ref)
        else:
            tasks.mark_done(ref.index)
            self._record_change(ref)
        found.record_done(ref.step)
        self._settle_occurrence(ref.occurrence)
        self._close_occurrences()

    def _settle_occurrence(self, occurrence):
        """Keep no more of an occurrence than that it is done, if no run of it is left.

        The state of the last one is kept until the job is closed.
        """
        found = self._occurrences.value_by_number.get(occurrence)
        is_last = occurrence == self.occurrences - 1
        if found is not None and found.is_done and not (is_last or found.has_runs):
            self._occurrences.settle(occurrence)

    def _close_occurrences(self):
        """Remove finished occurrences in order; the last one closes the job."""
        while self.is_open(first := self.finished_occurrences):
            if self._occurrences.is_settled(first):
                self._occurrences.remove_first()
                continue
            found = self._occurrences.value_by_number.get(first)
            if found is not None and found.is_done and first == self.occurrences - 1:
                self.outcome = "done"
            return

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
