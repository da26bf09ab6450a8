"""Run task attempts on the worker, within its size and the node's lease."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.core.capacity import ReservationLedger, Size, get_size
from bergamotshore.core.freshness import is_fresh
from bergamotshore.core.jobs import get_bucket
from bergamotshore.core.ownership import choose_owner
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.generated.messages import AttemptId, TaskEnded, TaskInventory

REPORT_INTERVAL_SECONDS = 1.0
INVENTORY_INTERVAL_SECONDS = 1.0
EVICTION_MARGIN_RATIO = 0.125
OUTCOME_BY_STATE = {"completed": "completed", "failed": "failed", "stopped": "evicted"}


@dataclass(slots=True)
class HeldAttempt:
    """An attempt that the node tracks until its end is acknowledged.

    :param id: ``AttemptId``.
    :param state: 'starting', 'running', 'stopping' or 'ended'.
    :param ended: Report of the outcome; None until the attempt has ended.
    :param confirming_listing: Number of the first worker listing that can confirm the
        state; earlier ones may precede its last change.
    """

    id: AttemptId
    state: str
    ended: TaskEnded | None = None
    confirming_listing: int = 0


class TaskRunner:
    """Start, stop and monitor attempts; only the loop's thread accesses the state.

    :param loop: ``Loop``.
    :param executor: Executor for calls to the worker.
    :param worker: ``Worker``; None when there is none.
    :param links: ``EntryLinks``.
    :param get_session: Returns the valid session, empty when there is none.
    :param get_lease_end: Returns the end of the lease on the node's clock.
    :param may_work: Returns whether new attempts may be started.
    :param settings: ``settings.Node``.
    :param recorder: ``Recorder``.
    :param registry: ``Registry``.
    """

    def __init__(
        self,
        loop,
        executor,
        worker,
        links,
        get_session,
        get_lease_end,
        may_work,
        settings,
        recorder,
        registry,
    ):
        self.loop = loop
        self.clock = loop.clock
        self.executor = executor
        self.worker = worker
        self.links = links
        self.get_session = get_session
        self.get_lease_end = get_lease_end
        self.may_work = may_work
        self.settings = settings
        self.recorder = recorder
        self.registry = registry
        self.worker_boot = ""
        self.is_draining = False
        self.reservations = ReservationLedger(Size())
        self.attempt_by_key = {}
        self._listing_number = 0
        self._is_listing = False

    @property
    def is_idle(self):
        """Return whether no attempt is held, not even an unacknowledged ended one."""
        return not self.attempt_by_key

    @property
    def is_busy(self):
        """Return whether any attempt may still be running."""
        return any(held.state != "ended" for held in list(self.attempt_by_key.values()))

    @property
    def size(self):
        """Return the size of the worker."""
        return self.reservations.total

    def start(self):
        """Start polling the worker and sending reports and inventories."""
        if self.worker is not None:
            self._poll()
            self._report()
            self._send_inventories()

    def handle_start(self, stream, message):
        """Start an attempt, or report that it was not run."""
        key = _get_key(message.attempt)
        if key in self.attempt_by_key:
            return
        reason = self._find_refusal_reason(message)
        if reason:
            self._end(HeldAttempt(message.attempt, "starting"), "not_run", reason)
            return
        if not self.reservations.reserve(key, get_size(message.spec)):
            self._end(HeldAttempt(message.attempt, "starting"), "not_run", "no-room")
            return
        self.attempt_by_key[key] = HeldAttempt(message.attempt, "starting")
        self.recorder.record("task-starting", _format_subject(message.attempt))
        self.executor.submit(self._call_start, message, self.get_lease_end())

    def _find_refusal_reason(self, message):
        session = self.get_session()
        if self.is_draining or not self.may_work():
            return "not-in-use"
        if not session or message.session != session:
            return "session-over"
        if not is_fresh(message.echo, self.clock.now(), self.settings.start_within):
            return "start-too-late"
        if self._has_other_attempt(message.attempt):
            return "other-attempt-here"
        return ""

    def _has_other_attempt(self, attempt):
        return any(
            other.id.job == attempt.job
            and other.id.index == attempt.index
            and other.state != "ended"
            for other in self.attempt_by_key.values()
        )

    def _call_start(self, message, lease_end):
        outcome = self.worker.start(
            message.attempt, message.spec, message.checkpoint, lease_end
        )
        self.loop.call(self._record_start, message.attempt, outcome)

    def _record_start(self, attempt, outcome):
        held = self.attempt_by_key.get(_get_key(attempt))
        if held is None or held.state != "starting":
            return
        match outcome:
            case Success(_):
                held.state = "running"
                held.confirming_listing = self._listing_number + 1
                self.registry.count("tasks_started_total")
                self.recorder.record("task-running", _format_subject(attempt))
            case Failure(WorkerFailure(is_certain=True)):
                self._end(held, "not_run", "worker-refused")
            case Failure(_):
                self._stop(held, with_checkpoint=False)

    def handle_stop(self, message):
        """Stop a running attempt; others are ignored."""
        held = self.attempt_by_key.get(_get_key(message.attempt))
        if held is not None and held.state == "running":
            self._stop(held, with_checkpoint=message.mode == "evict")

    def handle_ack(self, message):
        """Remove an attempt whose end the entry has acknowledged."""
        key = _get_key(message.attempt)
        held = self.attempt_by_key.get(key)
        if held is None or held.state != "ended":
            return
        del self.attempt_by_key[key]
        self.executor.submit(self.worker.forget, message.attempt)

    def evict_all(self):
        """Stop every running attempt with a checkpoint."""
        for held in list(self.attempt_by_key.values()):
            if held.state == "running":
                self._stop(held, with_checkpoint=True)

    def drain(self):
        """Refuse new attempts and evict the running ones."""
        self.is_draining = True
        self.evict_all()

    def _stop(self, held, with_checkpoint):
        held.state = "stopping"
        self.recorder.record("task-stopping", _format_subject(held.id))
        self.executor.submit(self._call_stop, held.id, with_checkpoint)

    def _call_stop(self, attempt, with_checkpoint):
        outcome = self.worker.stop(attempt, with_checkpoint)
        self.loop.call(self._record_stop, attempt, with_checkpoint, outcome)

    def _record_stop(self, attempt, with_checkpoint, outcome):
        held = self.attempt_by_key.get(_get_key(attempt))
        if held is None or held.state == "ended":
            return
        match outcome:
            case Success(listed):
                self._end_as_listed(held, listed)
            case Failure(_):
                self.loop.call_later(
                    self.settings.poll, self._stop, held, with_checkpoint
                )

    def _end_as_listed(self, held, listed):
        outcome = OUTCOME_BY_STATE.get(listed.state, "evicted")
        self._end(held, outcome, "", listed.checkpoint, listed.result)

    def _end(self, held, outcome, reason, checkpoint="", result=""):
        """Release the reservation and report the end until it is acknowledged."""
        key = _get_key(held.id)
        self.reservations.release(key)
        held.state = "ended"
        held.ended = TaskEnded(
            attempt=held.id,
            session=self.get_session(),
            outcome=outcome,
            checkpoint=checkpoint,
            result=result,
            reason=reason,
        )
        self.attempt_by_key[key] = held
        self.recorder.record(
            "task-ended", _format_subject(held.id), f"{outcome} {reason}"
        )
        self._report_one(held)

    def _poll(self):
        self._evict_before_lapse()
        if not self._is_listing:
            self._is_listing = True
            self._listing_number += 1
            self.executor.submit(
                self._call_list, self._listing_number, self.get_lease_end()
            )
        self.loop.call_later(self.settings.poll, self._poll)

    def _evict_before_lapse(self):
        """Evict running attempts with a new checkpoint when the lease is about to end.

        The worker would stop them anyway, but with an older checkpoint. Their ends are
        reported once an entry can record them.
        """
        lease_end = self.get_lease_end()
        remaining = lease_end - self.clock.now()
        margin = self.settings.session_ttl * EVICTION_MARGIN_RATIO
        if lease_end > 0 and remaining < margin and self.is_busy:
            self.registry.count("freezes_total")
            self.evict_all()

    def _call_list(self, listing, lease_end):
        if lease_end > self.clock.now():
            self.worker.renew(lease_end)
        outcome = self.worker.get_status()
        self.loop.call(self._record_listing, listing, outcome)

    def _record_listing(self, listing, outcome):
        self._is_listing = False
        match outcome:
            case Success(status):
                self._apply_status(listing, status)
            case Failure(_):
                self.registry.count("worker_failures_total")

    def _apply_status(self, listing, status):
        is_first = not self.worker_boot
        self.worker_boot = status.boot
        self.reservations.total = Size(
            status.processors, status.memory_gb, status.accelerators
        )
        listed_by_key = {_get_key(item): item for item in status.tasks}
        for key, item in listed_by_key.items():
            self._apply_listed(key, item, is_first)
        for key, held in list(self.attempt_by_key.items()):
            is_confirmed = (
                held.state == "running" and listing >= held.confirming_listing
            )
            if is_confirmed and key not in listed_by_key:
                self._end(held, "evicted", "worker-lost-it")

    def _apply_listed(self, key, item, is_first):
        held = self.attempt_by_key.get(key)
        if held is None and is_first:
            held = self._restore(key, item)
        if held is not None and held.state == "running" and item.state != "running":
            self._end_as_listed(held, item)

    def _restore(self, key, item):
        """Adopt an attempt that the worker ran before this node process started."""
        attempt = AttemptId(job=item.job, index=item.index, attempt=item.attempt)
        held = HeldAttempt(attempt, "running")
        self.attempt_by_key[key] = held
        size = Size(item.processors, item.memory_gb, item.accelerators)
        self.reservations.restore(key, size)
        self.recorder.record("task-restored", _format_subject(attempt), item.state)
        return held

    def _report(self):
        for held in self.attempt_by_key.values():
            if held.state == "ended":
                self._report_one(held)
        self.loop.call_later(REPORT_INTERVAL_SECONDS, self._report)

    def _report_one(self, held):
        """Report to the owner of the job's bucket among the connected entries."""
        stream_by_name = {item.peer.name: item for item in self.links.list_streams()}
        if stream_by_name:
            owner = choose_owner(stream_by_name, get_bucket(held.id.job))
            stream_by_name[owner].send(held.ended)

    def _send_inventories(self):
        for stream in self.links.list_streams():
            stream.send(self.build_inventory(stream))
        self.loop.call_later(INVENTORY_INTERVAL_SECONDS, self._send_inventories)

    def build_inventory(self, stream):
        """Return the inventory of attempts for one entry."""
        free = self.reservations.free
        return TaskInventory(
            session=self.get_session(),
            taken_at=self.clock.now(),
            echo=stream.peer_clock,
            attempts=[held.id for held in self.attempt_by_key.values()],
            processors_free=free.processors,
            memory_free_gb=free.memory_gb,
            accelerators_free=free.accelerators,
        )


def _get_key(attempt):
    return (attempt.job, attempt.index, attempt.attempt)


def _format_subject(attempt):
    return f"task/{attempt.job}/{attempt.index}#{attempt.attempt}"
