"""Cluster state: all open jobs and workers, updated from the reports of nodes.

This module does no I/O and has no threads. It applies reports and order results, and
the planner reads the outcome. An allocation is released only when its run is proven
not to be running: the worker reported its completion, the node refused the order or
never received it, the worker has restarted since, or the worker's lease has expired.
"""

from collections import deque
from dataclasses import dataclass

from bergamotshore.core.work.advice import AdviceTracker
from bergamotshore.core.work.containment import changes_state
from bergamotshore.core.work.durations import DurationEstimates
from bergamotshore.core.work.fullspeed import record_work
from bergamotshore.core.work.interference import Interference
from bergamotshore.core.work.jobcost import estimate_job_memory
from bergamotshore.core.work.jobwindow import JobWindow
from bergamotshore.core.work.model import TaskRef
from bergamotshore.core.work.order import JobOrder
from bergamotshore.core.work.places import PlaceTracker
from bergamotshore.core.work.placewaits import PlaceWaits
from bergamotshore.core.work.progress import JobProgress
from bergamotshore.core.work.runslots import RUNS_PER_MB, get_slots
from bergamotshore.core.work.speed import StepDurations
from bergamotshore.core.work.tails import TailTracker
from bergamotshore.core.work.workers import Allocation, WorkerState

STARTED = "started"
STUCK = "stuck"
# Number of recent run outcomes kept for assessing workers.
MAX_RECENT_OUTCOMES = 400
# Number of runs that an entry of the usual memory has room for.
DEFAULT_MAX_RUNS = 160 * RUNS_PER_MB


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Outcome of one run.

    :param node: Node of the worker.
    :param allocation: ``Allocation``.
    :param outcome: How the run ended.
    :param at: Time at which it ended, in seconds.
    """

    node: str
    allocation: Allocation
    outcome: str
    at: float


@dataclass(slots=True)
class PendingCompletion:
    """A completion that may be acknowledged once its job has been persisted.

    :param sequence: Sequence number of the completion at the worker.
    :param job: Key of the job; empty when nothing has to be written.
    :param revision: Revision of the job that includes the completion.
    """

    sequence: int
    job: str
    revision: int


def format_task_name(job_id, ref):
    """Return the name by which workers know a task."""
    return f"{job_id}.{ref.occurrence}.{ref.step}.{ref.index}"


class ClusterState:
    """The scheduler's state of all jobs and workers.

    :param get_queue: Callable that returns the ``Queue`` with a name, or None.
    :param max_runs: Number of runs that there is memory for.
    """

    def __init__(self, get_queue, max_runs=DEFAULT_MAX_RUNS):
        self.get_queue = get_queue
        self._max_runs = max_runs
        self.job_by_key = {}
        self.key_by_id = {}
        # Memory that all jobs take, in bytes.
        self.job_memory = 0
        self.worker_by_node = {}
        self.recent_outcomes = deque(maxlen=MAX_RECENT_OUTCOMES)
        self.new_outcomes = []
        self._unclaimed_completions = []
        self.interference = Interference()
        self.advice = AdviceTracker()
        self.step_durations = StepDurations()
        self.durations = DurationEstimates()
        self.places = PlaceTracker()
        self.tails = TailTracker()
        self.place_waits = PlaceWaits()
        self.job_order = JobOrder()
        self._pending_by_node = {}
        self._waiting_since_by_step = {}
        self._reservation_by_node = {}
        self.job_window = JobWindow()
        self.crash_suspects = set()

    def reserve(self, node, reservation):
        """Reserve a worker for one step until the reservation expires.

        :param reservation: ``Reservation``.
        """
        self._reservation_by_node[node] = reservation

    def has_reservation(self, key, now):
        """Return whether any worker is reserved for a step."""
        return any(
            item.key == key and now < item.expires_at
            for item in self._reservation_by_node.values()
        )

    @property
    def has_reservations(self):
        """Return whether any reservation exists."""
        return bool(self._reservation_by_node)

    def is_available_to(self, node, item, now):
        """Return whether a step may use a worker despite reservations.

        A reservation excludes other steps of the same or a lower priority.

        :param item: ``WaitingStep``.
        """
        reservation = self._reservation_by_node.get(node)
        if (
            reservation is None
            or now >= reservation.expires_at
            or reservation.key == item.key
        ):
            return True
        return self.get_priority(item.progress.spec) < reservation.priority

    def record_waiting(self, waiting, now):
        """Record the steps that are waiting now, and drop obsolete reservations."""
        former = self._waiting_since_by_step
        self._waiting_since_by_step = {
            item.key: former.get(item.key, now) for item in waiting
        }
        if self.job_window.keys is not None:
            # Steps of jobs that the pass doesn't look at go on waiting.
            self._waiting_since_by_step |= {
                key: since
                for key, since in former.items()
                if key[0] in self.job_by_key and key[0] not in self.job_window.keys
            }
        self._reservation_by_node = {
            node: reservation
            for node, reservation in self._reservation_by_node.items()
            if now < reservation.expires_at
            and reservation.key in self._waiting_since_by_step
        }

    def get_waiting_since(self, item):
        """Return the time since which a ``WaitingStep`` has been waiting."""
        return self._waiting_since_by_step[item.key]

    def add_job(self, spec):
        """Add a job unless it is known, and return its ``JobProgress``."""
        progress = self.job_by_key.get(spec.key)
        if progress is None:
            progress = JobProgress(spec)
            self.add_progress(progress)
        return progress

    def add_progress(self, progress):
        """Add a job with its ``JobProgress``."""
        self.job_by_key[progress.key] = progress
        self.key_by_id[progress.spec.job_id] = progress.key
        self.job_memory += estimate_job_memory(progress.spec)
        self.crash_suspects.update(progress.list_crashed())

    def count_crashes(self, ref):
        """Return how many crashes of workers are counted for a task."""
        progress = self.job_by_key.get(ref.job)
        task = progress.get_task(ref) if progress is not None else None
        return task.crashes if task is not None and not task.is_done else 0

    @changes_state
    def allocate_restored(self, progress, now):
        """Allocate resources for the runs of a job that was read from its row.

        :param now: Current time; recorded as the time when the orders were sent.
        """
        for ref, run in progress.list_runs():
            worker = self.get_worker(run.node, "")
            allocation = self._build_allocation(progress, ref, run)
            allocation.sent_at = now
            worker.allocate(allocation)
            worker.forget_limits()

    def remove_job(self, key):
        """Remove a closed job; its runs keep their allocations until they end."""
        progress = self.job_by_key.pop(key, None)
        if progress is not None:
            self.key_by_id.pop(progress.spec.job_id, None)
            self.job_memory -= estimate_job_memory(progress.spec)

    def get_worker(self, node, zone):
        """Return the ``WorkerState`` of a node, creating it if necessary."""
        worker = self.worker_by_node.get(node)
        if worker is None:
            worker = self.worker_by_node[node] = WorkerState(node, zone)
        if zone:
            worker.zone = zone
        return worker

    @property
    def slots(self):
        """Return the number of runs that each worker may have."""
        return get_slots(self._max_runs, len(self.worker_by_node))

    def list_sized_workers(self):
        """Return the workers whose size is known, which are those to plan for."""
        return [
            worker for worker in self.worker_by_node.values() if worker.size is not None
        ]

    def get_priority(self, spec):
        """Return the priority of a job's queue."""
        queue = self.get_queue(spec.queue)
        return queue.priority if queue is not None else 0

    def get_retries(self, spec):
        """Return the number of failed runs of a task after which a job has failed."""
        queue = self.get_queue(spec.queue)
        return queue.retries if queue is not None else spec.retries

    def get_service(self, spec):
        """Return the service whose workers may currently run a job."""
        queue = self.get_queue(spec.queue)
        return queue.service if queue is not None else spec.service

    @changes_state
    def claim(self, ref, worker, now, number=0):
        """Claim a task for a new run on a worker.

        :returns: ``Allocation``.
        """
        progress = self.job_by_key[ref.job]
        run = progress.claim(ref, worker.node, worker.incarnation, number)
        allocation = self._build_allocation(progress, ref, run)
        allocation.progressed_at = now
        worker.allocate(allocation)
        return allocation

    def _build_allocation(self, progress, ref, run):
        return Allocation(
            ref=ref,
            name=format_task_name(progress.spec.job_id, ref),
            number=run.number,
            step=progress.spec.steps[ref.step],
            born=run.born,
            priority=self.get_priority(progress.spec),
            revision=progress.revision,
        )

    @changes_state
    def release(self, worker, allocation, outcome, now):
        """Release a run that is not running and never will be."""
        worker.free(allocation.key)
        progress = self.job_by_key.get(allocation.ref.job)
        if progress is not None:
            progress.release(allocation.ref, allocation.number)
            if allocation.checkpoint:
                progress.record_checkpoint(
                    allocation.ref, allocation.number, allocation.checkpoint
                )
        self._record_outcome(worker, allocation, outcome, now)

    @changes_state
    def release_unstarted(self, worker, allocation, outcome, now):
        """Release a run that has not begun, as far as is known, and never will."""
        progress = self.job_by_key.get(allocation.ref.job)
        if progress is not None and not allocation.is_started:
            progress.record_unstarted(allocation.ref)
        self.release(worker, allocation, outcome, now)

    @changes_state
    def release_all(self, worker, outcome, now):
        """Release all runs of a worker that restarted or whose lease has expired."""
        for allocation in list(worker.allocation_by_key.values()):
            self.release(worker, allocation, outcome, now)

    def _record_outcome(self, worker, allocation, outcome, now):
        if allocation.step.is_filling:
            worker.record_ended_best_effort(allocation, now)
        run_outcome = RunOutcome(worker.node, allocation, outcome, now)
        self.recent_outcomes.append(run_outcome)
        self.new_outcomes.append(run_outcome)

    @changes_state
    def record_stuck(self, worker, allocation, now):
        """Record that a run makes no progress; the stop that follows ends it."""
        self._record_outcome(worker, allocation, STUCK, now)

    def pop_new_outcomes(self):
        """Return the outcomes recorded since the last call, and clear them."""
        outcomes, self.new_outcomes = self.new_outcomes, []
        return outcomes

    @changes_state
    def record_incarnation(self, worker, incarnation, present, now):
        """Record which incarnation of the worker its node reports.

        Runs claimed on another incarnation are over, because the node raises its fence
        at the current incarnation before reporting it. However, a worker may have
        restarted unnoticed just before an order reached it, so runs that the current
        incarnation has, or may have, are moved to it.

        :param present: ``ReportedRuns``.
        """
        if (
            worker.incarnation is not None
            and incarnation.started_ms == worker.incarnation.started_ms
        ):
            worker.incarnation = incarnation
            return
        for allocation in list(worker.allocation_by_key.values()):
            if allocation.born == incarnation.started_ms:
                continue
            if present.may_include(allocation.key):
                self._rebind(allocation, incarnation)
            else:
                self.release(worker, allocation, "life-over", now)
        # Runs that are moved to the new incarnation may not have their limits there.
        worker.forget_limits()
        if worker.incarnation is not None:
            worker.last_recorded_sequence = 0
            worker.acknowledged = 0
            self._pending_by_node.pop(worker.node, None)
        worker.incarnation = incarnation

    def _rebind(self, allocation, incarnation):
        allocation.born = incarnation.started_ms
        progress = self.job_by_key.get(allocation.ref.job)
        if progress is not None:
            progress.rebind(allocation.ref, allocation.number, incarnation)

    @changes_state
    def record_running(self, worker, reported, now):
        """Update a run that the worker reports as running."""
        allocation = worker.allocation_by_key.get((reported.task, reported.number))
        if allocation is None:
            worker.unknown_runs.add((reported.task, reported.number))
            return
        if not allocation.is_started or allocation.started_at == 0.0:
            self._record_start(allocation.ref)
            allocation.is_started = True
            allocation.started_at = now
            allocation.progressed_at = now
        if allocation.first_reported_at == 0.0:
            allocation.first_reported_at, allocation.first_reported_percent = (
                now,
                reported.percent,
            )
        if reported.percent != allocation.percent:
            allocation.percent = reported.percent
            allocation.progressed_at = now
        allocation.usage = reported.usage
        record_work(allocation, now)
        if reported.checkpoint and reported.checkpoint != allocation.checkpoint:
            allocation.checkpoint = reported.checkpoint
            progress = self.job_by_key.get(allocation.ref.job)
            if progress is not None:
                progress.record_checkpoint(
                    allocation.ref, allocation.number, allocation.checkpoint
                )

    @changes_state
    def record_completion(self, worker, reported, now):
        """Record a completion; repeated reports of the same one have no effect."""
        pending = self._pending_by_node.setdefault(worker.node, {})
        if reported.sequence <= worker.acknowledged or reported.sequence in pending:
            return
        allocation = worker.free((reported.task, reported.number))
        progress, ref = self._find_task(reported.task)
        if progress is not None:
            progress.record_start()
        pending[reported.sequence] = self._apply_completion(progress, ref, reported)
        worker.last_recorded_sequence = max(
            worker.last_recorded_sequence, reported.sequence
        )
        if allocation is not None:
            self._record_outcome(worker, allocation, reported.outcome, now)
        elif progress is not None:
            self._unclaimed_completions.append((worker.node, reported))

    def _record_start(self, ref):
        progress = self.job_by_key.get(ref.job)
        if progress is not None:
            progress.record_start()

    def pop_unclaimed_completions(self):
        """Return node and completion of runs that had already been released.

        Clears them, so that each one is returned once.
        """
        completions, self._unclaimed_completions = self._unclaimed_completions, []
        return completions

    def _find_task(self, name):
        """Return the ``JobProgress`` and ``TaskRef`` of a task; None twice if unknown.

        :param name: Name of the task, as listed by a worker.
        """
        job_id = name.split(".", 1)[0]
        progress = self.job_by_key.get(self.key_by_id.get(job_id, ""))
        ref = progress and parse_task_name(progress.key, name)
        return (None, None) if ref is None else (progress, ref)

    def _apply_completion(self, progress, ref, reported):
        if progress is None:
            return PendingCompletion(reported.sequence, "", 0)
        retries = self.get_retries(progress.spec)
        progress.end(
            ref, reported.number, reported.outcome, reported.checkpoint, retries
        )
        return PendingCompletion(reported.sequence, progress.key, progress.revision)

    def release_absent(self, worker, present, stream, now):
        """Release the runs that a report proves to be absent.

        :param present: ``ReportedRuns``.
        :param stream: Stream of the report; each order sent on it gets its own answer,
            so its runs are not released here before they have started.
        """
        for allocation in list(worker.allocation_by_key.values()):
            if present.may_include(allocation.key) or allocation.sent_at == 0.0:
                continue
            has_pending_start = (
                allocation.stream is stream and not allocation.is_started
            )
            if not has_pending_start:
                self.release(worker, allocation, "absent", now)

    @changes_state
    def record_order_result(self, worker, key, outcome, now):
        """Apply the node's result of a start order."""
        allocation = worker.allocation_by_key.get(key)
        if allocation is None:
            return
        if outcome == STARTED:
            self._record_start(allocation.ref)
            allocation.is_started = True
            allocation.started_at = allocation.progressed_at = now
            worker.is_throttle_stale = True
        else:
            self.release_unstarted(worker, allocation, outcome, now)

    @changes_state
    def advance_acknowledged(self, worker, is_written):
        """Advance the acknowledged sequence past completions that are persisted.

        :param is_written: Callable that returns whether a job has been persisted up to
            a revision.
        :returns: True if it advanced.
        """
        pending = self._pending_by_node.get(worker.node)
        if not pending:
            return False
        before = worker.acknowledged
        for sequence in sorted(pending):
            completion = pending[sequence]
            if completion.job and not is_written(completion.job, completion.revision):
                break
            del pending[sequence]
            worker.acknowledged = sequence
        return worker.acknowledged != before


def parse_task_name(job, name):
    """Return the ``TaskRef`` for a task name, None for a name of another form.

    :param job: Key of its job.
    """
    try:
        _, occurrence, step, index = name.rsplit(".", 3)
        return TaskRef(job, int(occurrence), int(step), int(index))
    except ValueError:
        return None
