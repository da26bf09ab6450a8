"""All open jobs and all workers, and what reports about them mean.

The board knows no streams, rows or threads. It takes in facts and keeps the view that
the planner decides on. A claim leaves it only on proof: the worker listed the end, the
node refused the order or never got it, that life of the worker is over, or the lease
has run out for certain.
"""

from collections import deque
from dataclasses import dataclass

from bergamotshore.core.work.advice import AdviceTracker
from bergamotshore.core.work.interference import Interference
from bergamotshore.core.work.model import TaskRef
from bergamotshore.core.work.progress import JobProgress
from bergamotshore.core.work.speed import StepDurations
from bergamotshore.core.work.workers import Allocation, WorkerState

STARTED = "started"
STUCK = "stuck"
# Recent ends that the planner judges workers by.
OUTCOMES_KEPT = 400


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """What became of one run.

    :param node: Node of the worker.
    :param allocation: ``Allocation``.
    :param outcome: How it ended.
    :param at: When, in seconds.
    """

    node: str
    allocation: Allocation
    outcome: str
    at: float


@dataclass(slots=True)
class PendingEnd:
    """An end that may be acknowledged once its job is written.

    :param sequence: Position among the ends of the worker.
    :param job: Key of the job; empty when nothing has to be written.
    :param revision: Revision of the job that holds the end.
    """

    sequence: int
    job: str
    revision: int


def name_task(job_id, ref):
    """Return the name of a task at workers."""
    return f"{job_id}.{ref.occurrence}.{ref.step}.{ref.index}"


class ClusterState:
    """The scheduler's view of jobs and workers.

    :param get_queue: Returns the ``Queue`` of a name, or None.
    """

    def __init__(self, get_queue):
        self.get_queue = get_queue
        self.job_by_key = {}
        self.key_by_id = {}
        self.worker_by_node = {}
        self.recent_outcomes = deque(maxlen=OUTCOMES_KEPT)
        self.new_outcomes = []
        self._unclaimed_ends = []
        self.interference = Interference()
        self.advice = AdviceTracker()
        self.step_durations = StepDurations()
        self._ends_by_node = {}
        self._since_by_step = {}
        self._reservation_by_node = {}

    def reserve(self, node, reservation):
        """Keep a worker for one step for a while.

        :param reservation: ``Reservation``.
        """
        self._reservation_by_node[node] = reservation

    def has_reservation(self, key, now):
        """Tell whether some worker is kept for a step."""
        return any(
            item.key == key and now < item.expires_at
            for item in self._reservation_by_node.values()
        )

    @property
    def has_reservations(self):
        """Tell whether any worker is kept for a step."""
        return bool(self._reservation_by_node)

    def is_available_to(self, node, item, now):
        """Tell whether a worker is not kept for another step.

        :param item: ``WaitingStep``.
        """
        kept = self._reservation_by_node.get(node)
        if kept is None or now >= kept.expires_at or kept.key == item.key:
            return True
        return self.get_priority(item.progress.spec) < kept.priority

    def record_waiting(self, waiting, now):
        """Take note of the steps that wait now; keeps since when each does."""
        self._since_by_step = {
            item.key: self._since_by_step.get(item.key, now) for item in waiting
        }
        self._reservation_by_node = {
            node: kept
            for node, kept in self._reservation_by_node.items()
            if now < kept.expires_at and kept.key in self._since_by_step
        }

    def get_waiting_since(self, item):
        """Return since when a ``WaitingStep`` waits, in seconds."""
        return self._since_by_step[item.key]

    def add_job(self, spec):
        """Take in a job; returns its ``JobProgress``."""
        progress = self.job_by_key.get(spec.key)
        if progress is None:
            progress = JobProgress(spec)
            self.job_by_key[spec.key] = progress
            self.key_by_id[spec.job_id] = spec.key
        return progress

    def allocate_restored(self, progress, now):
        """Take room for the runs of a job that was read from its row.

        :param now: Current time; the claims count as sent at that time.
        """
        for ref, run in progress.list_runs():
            worker = self.get_worker(run.node, "")
            allocation = self._build_held(progress, ref, run)
            allocation.sent_at = now
            worker.allocate(allocation)

    def remove_job(self, key):
        """Forget a job that is closed; its runs keep their room until they are over."""
        progress = self.job_by_key.pop(key, None)
        if progress is not None:
            self.key_by_id.pop(progress.spec.job_id, None)

    def get_worker(self, node, zone):
        """Return the ``WorkerState`` beside a node, new if need be."""
        worker = self.worker_by_node.get(node)
        if worker is None:
            worker = self.worker_by_node[node] = WorkerState(node, zone)
        if zone:
            worker.zone = zone
        return worker

    def get_priority(self, spec):
        """Return the priority of a job's queue."""
        queue = self.get_queue(spec.queue)
        return queue.priority if queue is not None else 0

    def get_retries(self, spec):
        """Return after how many failed runs a job has failed."""
        queue = self.get_queue(spec.queue)
        return queue.retries if queue is not None else spec.retries

    def get_service(self, spec):
        """Return the service whose workers may run a job now."""
        queue = self.get_queue(spec.queue)
        return queue.service if queue is not None else spec.service

    def claim(self, ref, worker, now, number=0):
        """Place a run on a worker.

        :returns: ``Allocation``.
        """
        progress = self.job_by_key[ref.job]
        run = progress.claim(ref, worker.node, worker.incarnation, number)
        allocation = self._build_held(progress, ref, run)
        allocation.progressed_at = now
        worker.allocate(allocation)
        return allocation

    def _build_held(self, progress, ref, run):
        return Allocation(
            ref=ref,
            name=name_task(progress.spec.job_id, ref),
            number=run.number,
            step=progress.spec.steps[ref.step],
            born=run.born,
            priority=self.get_priority(progress.spec),
            revision=progress.revision,
        )

    def release(self, worker, allocation, outcome, now):
        """Free a run that does not run and never will."""
        worker.free(allocation.key)
        progress = self.job_by_key.get(allocation.ref.job)
        if progress is not None:
            progress.release(allocation.ref, allocation.number)
            if allocation.checkpoint:
                progress.record_checkpoint(
                    allocation.ref, allocation.number, allocation.checkpoint
                )
        self._note_fact(worker, allocation, outcome, now)

    def release_all(self, worker, outcome, now):
        """Free every run of a worker whose life or lease is certainly over."""
        for allocation in list(worker.allocation_by_key.values()):
            self.release(worker, allocation, outcome, now)

    def _note_fact(self, worker, allocation, outcome, now):
        run_outcome = RunOutcome(worker.node, allocation, outcome, now)
        self.recent_outcomes.append(run_outcome)
        self.new_outcomes.append(run_outcome)

    def record_stuck(self, worker, allocation, now):
        """Record that a run stands still; it ends by the stop that follows."""
        self._note_fact(worker, allocation, STUCK, now)

    def pop_new_outcomes(self):
        """Return the facts since the last call."""
        outcomes, self.new_outcomes = self.new_outcomes, []
        return outcomes

    def record_incarnation(self, worker, incarnation, present, now):
        """Take note of which life of the worker its node sees.

        Claims on another life are over: the node raised its fence at the present life
        before it reported it. But a worker may have restarted unseen just before an
        order reached it, so what the present life has, or may have, is its own.

        :param present: Keys that run, are in doubt or have ended unacknowledged.
        """
        if (
            worker.incarnation is not None
            and incarnation.started_ms == worker.incarnation.started_ms
        ):
            worker.incarnation = incarnation
            return
        for allocation in list(worker.allocation_by_key.values()):
            if allocation.born != incarnation.started_ms and allocation.key in present:
                self._rebind(allocation, incarnation)
            elif allocation.born != incarnation.started_ms:
                self.release(worker, allocation, "life-over", now)
        if worker.incarnation is not None:
            worker.last_recorded_sequence = 0
            worker.acknowledged = 0
            self._ends_by_node.pop(worker.node, None)
        worker.incarnation = incarnation

    def _rebind(self, allocation, incarnation):
        allocation.born = incarnation.started_ms
        progress = self.job_by_key.get(allocation.ref.job)
        if progress is not None:
            progress.rebind(allocation.ref, allocation.number, incarnation)

    def record_running(self, worker, listed, now):
        """Take in one run that the worker lists as running."""
        allocation = worker.allocation_by_key.get((listed.task, listed.number))
        if allocation is None:
            worker.unknown_runs.add((listed.task, listed.number))
            return
        if not allocation.is_started or allocation.started_at == 0.0:
            allocation.is_started = True
            allocation.started_at = now
            allocation.progressed_at = now
        if allocation.first_reported_at == 0.0:
            allocation.first_reported_at, allocation.first_reported_percent = (
                now,
                listed.percent,
            )
        if listed.percent != allocation.percent:
            allocation.percent = listed.percent
            allocation.progressed_at = now
        allocation.usage = listed.usage
        if listed.checkpoint and listed.checkpoint != allocation.checkpoint:
            allocation.checkpoint = listed.checkpoint
            progress = self.job_by_key.get(allocation.ref.job)
            if progress is not None:
                progress.record_checkpoint(
                    allocation.ref, allocation.number, allocation.checkpoint
                )

    def record_completion(self, worker, listed, now):
        """Take in one end; repeated reports of it change nothing."""
        ends = self._ends_by_node.setdefault(worker.node, {})
        if listed.sequence <= worker.acknowledged or listed.sequence in ends:
            return
        allocation = worker.free((listed.task, listed.number))
        job_id = listed.task.split(".", 1)[0]
        progress = self.job_by_key.get(self.key_by_id.get(job_id, ""))
        ends[listed.sequence] = self._end_job(progress, listed)
        worker.last_recorded_sequence = max(
            worker.last_recorded_sequence, listed.sequence
        )
        if allocation is not None:
            self._note_fact(worker, allocation, listed.outcome, now)
        elif progress is not None:
            self._unclaimed_ends.append((worker.node, listed))

    def pop_unclaimed_completions(self):
        """Return pairs of node and end of runs that were given up before."""
        ends, self._unclaimed_ends = self._unclaimed_ends, []
        return ends

    def _end_job(self, progress, listed):
        if progress is None:
            return PendingEnd(listed.sequence, "", 0)
        ref = parse_task_name(progress.key, listed.task)
        retries = self.get_retries(progress.spec)
        progress.end(ref, listed.number, listed.outcome, listed.checkpoint, retries)
        return PendingEnd(listed.sequence, progress.key, progress.revision)

    def release_absent(self, worker, present, stream, now):
        """Free the runs that a report proves not to be there.

        :param present: Keys that run, are in doubt or have ended unacknowledged.
        :param stream: Stream of the report; orders sent on it are answered one by one.
        """
        for allocation in list(worker.allocation_by_key.values()):
            if allocation.key in present or allocation.sent_at == 0.0:
                continue
            is_waiting = allocation.stream is stream and not allocation.is_started
            if not is_waiting:
                self.release(worker, allocation, "absent", now)

    def record_order_result(self, worker, key, outcome, now):
        """Take in the answer of a node to one order."""
        allocation = worker.allocation_by_key.get(key)
        if allocation is None:
            return
        if outcome == STARTED:
            allocation.is_started = True
            allocation.started_at = allocation.progressed_at = now
        else:
            self.release(worker, allocation, outcome, now)

    def advance_acknowledged(self, worker, is_written):
        """Move the acknowledgement over ends that need no further write.

        :param is_written: Tells whether a job is written up to a revision.
        :returns: True when it moved.
        """
        ends = self._ends_by_node.get(worker.node)
        if not ends:
            return False
        before = worker.acknowledged
        for sequence in sorted(ends):
            end = ends[sequence]
            if end.job and not is_written(end.job, end.revision):
                break
            del ends[sequence]
            worker.acknowledged = sequence
        return worker.acknowledged != before


def parse_task_name(job, name):
    """Return the ``TaskRef`` of the name of a task.

    :param job: Key of its job.
    """
    _, occurrence, step, index = name.rsplit(".", 3)
    return TaskRef(job, int(occurrence), int(step), int(index))
