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
from bergamotshore.core.work.workers import HeldRun, WorkerView

STARTED = "started"
STUCK = "stuck"
# Recent ends that the planner judges workers by.
OUTCOMES_KEPT = 400


@dataclass(frozen=True, slots=True)
class RunFact:
    """What became of one run.

    :param node: Node of the worker.
    :param held: ``HeldRun``.
    :param outcome: How it ended.
    :param at: When, in seconds.
    """

    node: str
    held: HeldRun
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


class Board:
    """The scheduler's view of jobs and workers.

    :param get_queue: Returns the ``Queue`` of a name, or None.
    """

    def __init__(self, get_queue):
        self.get_queue = get_queue
        self.job_by_key = {}
        self.key_by_id = {}
        self.worker_by_node = {}
        self.facts = deque(maxlen=OUTCOMES_KEPT)
        self.new_facts = []
        self._unclaimed_ends = []
        self.interference = Interference()
        self.advice = AdviceTracker()
        self.step_times = StepDurations()
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

    def is_open_to(self, node, item, now):
        """Tell whether a worker is not kept for another step.

        :param item: ``WaitingStep``.
        """
        kept = self._reservation_by_node.get(node)
        if kept is None or now >= kept.expires_at or kept.key == item.key:
            return True
        return self.get_priority(item.progress.spec) < kept.priority

    def note_waiting(self, waiting, now):
        """Take note of the steps that wait now; keeps since when each does."""
        self._since_by_step = {
            item.key: self._since_by_step.get(item.key, now) for item in waiting
        }
        self._reservation_by_node = {
            node: kept
            for node, kept in self._reservation_by_node.items()
            if now < kept.expires_at and kept.key in self._since_by_step
        }

    def waiting_since(self, item):
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

    def hold_restored(self, progress, now):
        """Take room for the runs of a job that was read from its row.

        :param now: Current time; the claims count as sent at that time.
        """
        for ref, run in progress.list_runs():
            worker = self.get_worker(run.node, "")
            held = self._build_held(progress, ref, run)
            held.sent_at = now
            worker.hold(held)

    def remove_job(self, key):
        """Forget a job that is closed; its runs keep their room until they are over."""
        progress = self.job_by_key.pop(key, None)
        if progress is not None:
            self.key_by_id.pop(progress.spec.job_id, None)

    def get_worker(self, node, zone):
        """Return the ``WorkerView`` beside a node, new if need be."""
        worker = self.worker_by_node.get(node)
        if worker is None:
            worker = self.worker_by_node[node] = WorkerView(node, zone)
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

        :returns: ``HeldRun``.
        """
        progress = self.job_by_key[ref.job]
        run = progress.claim(ref, worker.node, worker.life, number)
        held = self._build_held(progress, ref, run)
        held.moved_at = now
        worker.hold(held)
        return held

    def _build_held(self, progress, ref, run):
        return HeldRun(
            ref=ref,
            name=name_task(progress.spec.job_id, ref),
            number=run.number,
            step=progress.spec.steps[ref.step],
            born=run.born,
            priority=self.get_priority(progress.spec),
            revision=progress.revision,
        )

    def release(self, worker, held, outcome, now):
        """Free a run that does not run and never will."""
        worker.free(held.key)
        progress = self.job_by_key.get(held.ref.job)
        if progress is not None:
            progress.release(held.ref, held.number)
            if held.checkpoint:
                progress.note_checkpoint(held.ref, held.number, held.checkpoint)
        self._note_fact(worker, held, outcome, now)

    def release_all(self, worker, outcome, now):
        """Free every run of a worker whose life or lease is certainly over."""
        for held in list(worker.held_by_key.values()):
            self.release(worker, held, outcome, now)

    def _note_fact(self, worker, held, outcome, now):
        fact = RunFact(worker.node, held, outcome, now)
        self.facts.append(fact)
        self.new_facts.append(fact)

    def note_stuck(self, worker, held, now):
        """Record that a run stands still; it ends by the stop that follows."""
        self._note_fact(worker, held, STUCK, now)

    def take_facts(self):
        """Return the facts since the last call."""
        facts, self.new_facts = self.new_facts, []
        return facts

    def note_life(self, worker, life, present, now):
        """Take note of which life of the worker its node sees.

        Claims on another life are over: the node raised its fence at the present life
        before it reported it. But a worker may have restarted unseen just before an
        order reached it, so what the present life has, or may have, is its own.

        :param present: Keys that run, are in doubt or have ended unacknowledged.
        """
        if worker.life is not None and life.started_ms == worker.life.started_ms:
            worker.life = life
            return
        for held in list(worker.held_by_key.values()):
            if held.born != life.started_ms and held.key in present:
                self._rebind(held, life)
            elif held.born != life.started_ms:
                self.release(worker, held, "life-over", now)
        if worker.life is not None:
            worker.seen_end = 0
            worker.acknowledged = 0
            self._ends_by_node.pop(worker.node, None)
        worker.life = life

    def _rebind(self, held, life):
        held.born = life.started_ms
        progress = self.job_by_key.get(held.ref.job)
        if progress is not None:
            progress.rebind(held.ref, held.number, life)

    def note_running(self, worker, listed, now):
        """Take in one run that the worker lists as running."""
        held = worker.held_by_key.get((listed.task, listed.number))
        if held is None:
            worker.unknown.add((listed.task, listed.number))
            return
        if not held.is_started or held.started_at == 0.0:
            held.is_started = True
            held.started_at = now
            held.moved_at = now
        if held.listed_at == 0.0:
            held.listed_at, held.listed_percent = now, listed.percent
        if listed.percent != held.percent:
            held.percent = listed.percent
            held.moved_at = now
        held.usage = listed.usage
        if listed.checkpoint and listed.checkpoint != held.checkpoint:
            held.checkpoint = listed.checkpoint
            progress = self.job_by_key.get(held.ref.job)
            if progress is not None:
                progress.note_checkpoint(held.ref, held.number, held.checkpoint)

    def note_end(self, worker, listed, now):
        """Take in one end; repeated reports of it change nothing."""
        ends = self._ends_by_node.setdefault(worker.node, {})
        if listed.sequence <= worker.acknowledged or listed.sequence in ends:
            return
        held = worker.free((listed.task, listed.number))
        job_id = listed.task.split(".", 1)[0]
        progress = self.job_by_key.get(self.key_by_id.get(job_id, ""))
        ends[listed.sequence] = self._end_job(progress, listed)
        worker.seen_end = max(worker.seen_end, listed.sequence)
        if held is not None:
            self._note_fact(worker, held, listed.outcome, now)
        elif progress is not None:
            self._unclaimed_ends.append((worker.node, listed))

    def take_unclaimed_ends(self):
        """Return pairs of node and end of runs that were given up before."""
        ends, self._unclaimed_ends = self._unclaimed_ends, []
        return ends

    def _end_job(self, progress, listed):
        if progress is None:
            return PendingEnd(listed.sequence, "", 0)
        ref = parse_task(progress.key, listed.task)
        retries = self.get_retries(progress.spec)
        progress.end(ref, listed.number, listed.outcome, listed.checkpoint, retries)
        return PendingEnd(listed.sequence, progress.key, progress.revision)

    def note_absent(self, worker, present, stream, now):
        """Free the runs that a report proves not to be there.

        :param present: Keys that run, are in doubt or have ended unacknowledged.
        :param stream: Stream of the report; orders sent on it are answered one by one.
        """
        for held in list(worker.held_by_key.values()):
            if held.key in present or held.sent_at == 0.0:
                continue
            is_waiting = held.stream is stream and not held.is_started
            if not is_waiting:
                self.release(worker, held, "absent", now)

    def note_result(self, worker, key, outcome, now):
        """Take in the answer of a node to one order."""
        held = worker.held_by_key.get(key)
        if held is None:
            return
        if outcome == STARTED:
            held.is_started = True
            held.started_at = held.moved_at = now
        else:
            self.release(worker, held, outcome, now)

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


def parse_task(job, name):
    """Return the ``TaskRef`` of the name of a task.

    :param job: Key of its job.
    """
    _, occurrence, step, index = name.rsplit(".", 3)
    return TaskRef(job, int(occurrence), int(step), int(index))
