"""Waves of upkeep at work: the list is read, claims are written, orders are given.

All state belongs to the dispatcher's thread. Calls run one after another on a thread of
their own and post what came of them. A claim is written under the fence of the term
before its order is given, so that a successor counts the VM as down.
"""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.leases import LEASE_SECONDS
from bergamotshore.core.work.upkeep import (
    CLAIMED,
    CLEARING,
    DOWN,
    MachineMaintenance,
    MaintenanceView,
    WaveProgress,
    advance_wave,
    get_max_clearing_seconds,
    list_due_orders,
    record_order_accepted,
    record_order_failed,
)
from bergamotshore.entry.jobrows import PARTS, get_fence_id
from bergamotshore.exceptions import PlatformAnswerInvalid
from bergamotshore.platform.operator import encode_wave_status, get_wave_status_id
from bergamotshore.ports.machines import MachineOrderRefused
from bergamotshore.ports.rows import Expect, Put, RowId, RowsConflict

WAVES = "waves"
# Rows of waves share the partition of a fence, which guards them.
WAVES_PART = PARTS[0]
# The list is read this often while a wave is under way, in seconds; the service takes
# tens of readings a second from all entries together.
LIST_SECONDS = 1.0
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class UpkeepEvent:
    """Something that a call of the desk brought.

    :param epoch: Term in which it was made.
    :param kind: 'listed', 'loaded', 'claimed', 'ordered' or 'told'.
    :param subject: What it was about.
    :param asked_at: When it was made, in seconds.
    :param outcome: ``Result``.
    """

    epoch: int
    kind: str
    subject: object
    asked_at: float
    outcome: object


class WaveRow(msgspec.Struct, frozen=True, array_like=True):
    """What a successor needs to know of a wave.

    :param began_at: When it began, wall clock, in seconds.
    :param is_complete: Whether it was told to be complete.
    :param stages: Stage and former worker by VM that is, or was, down.
    """

    began_at: float
    is_complete: bool
    stages: dict[str, tuple[str, str]]


class UpkeepDesk:
    """Carry out the waves that the operator asks for, in one term.

    :param store: ``RowStore``.
    :param machines: ``MachineService``; None without one.
    :param calls: Runs calls, one after another.
    :param post: Hands an ``UpkeepEvent`` to the thread that decides.
    :param clock: ``Clock``.
    :param log: ``EventLog``.
    :param holder: Name under which orders are given.
    :param epoch: Term, the token of its orders.
    :param fence_version: Version of the fence row of ``WAVES_PART`` in this term.
    """

    def __init__(
        self, store, machines, calls, post, clock, log, holder, epoch, fence_version
    ):
        self._store = store
        self._machines = machines
        self._calls = calls
        self._post = post
        self._clock = clock
        self._log = log
        self._holder = holder
        self._epoch = epoch
        self._fence_version = fence_version
        self._began_at = clock.now()
        self._progress_by_number = {}
        self._row_by_number = {}
        self._version_by_number = {}
        self._is_loaded = False
        self._busy = set()
        self._retry_at_by_kind = {}
        self._machine_by_name = {}
        self._listed_at = 0.0

    def list_clearing(self, cluster, now):
        """Return whether time is short, by node that is being emptied."""
        late_by_machine = {}
        for progress in self._progress_by_number.values():
            patience = get_max_clearing_seconds(progress, now)
            for name in progress.list_machines_in({CLEARING, *DOWN}):
                since = progress.maintenance_by_machine[name].since
                late_by_machine[name] = now - since >= patience
        return {
            worker.node: late_by_machine[worker.machine]
            for worker in cluster.worker_by_node.values()
            if worker.machine in late_by_machine
        }

    def step(self, cluster, wave_by_number, now):
        """Advance all waves; reads, writes and orders go out as calls.

        :param wave_by_number: ``Wave`` by number, as the operator asked.
        """
        if self._machines is None or not wave_by_number:
            return
        if not self._is_loaded:
            self._call("loaded", None, self._load, now)
            return
        waves = [self._get_progress(wave, now) for wave in wave_by_number.values()]
        active = [progress for progress in waves if not progress.is_complete]
        if not active:
            return
        if now - self._listed_at >= LIST_SECONDS:
            self._call("listed", None, self._machines.list_machines, now)
        if self._listed_at:
            for progress in active:
                self._advance(progress, cluster, now)

    def _get_progress(self, wave, now):
        progress = self._progress_by_number.get(wave.number)
        if progress is None:
            row = self._row_by_number.get(wave.number)
            progress = WaveProgress(wave, now)
            if row is not None:
                self._restore_progress(progress, row, now)
            self._progress_by_number[wave.number] = progress
        progress.wave = wave
        return progress

    def _restore_progress(self, progress, row, now):
        """Bring a wave to the state that an earlier term has written.

        An order of that term may have been carried out or not: it is given again, and
        does nothing the second time.
        """
        progress.is_complete = row.is_complete
        progress.began_at = now - max(0.0, self._clock.wall() - row.began_at)
        for name, (stage, worker) in row.stages.items():
            is_down = stage in DOWN
            progress.maintenance_by_machine[name] = MachineMaintenance(
                CLAIMED if is_down else stage, now, worker, is_written=is_down
            )

    def _advance(self, progress, cluster, now):
        before = {
            name: item.stage for name, item in progress.maintenance_by_machine.items()
        }
        worker_by_machine = {
            worker.machine: worker
            for worker in cluster.worker_by_node.values()
            if worker.machine
        }
        view = MaintenanceView(self._machine_by_name, worker_by_machine, now)
        advance_wave(progress, view)
        for name, upkeep in progress.maintenance_by_machine.items():
            if before.get(name) != upkeep.stage:
                self._log_stage(progress, name, upkeep)
        self._write(progress, now)
        if now - self._began_at >= LEASE_SECONDS:
            for name in list_due_orders(progress, now):
                self._order(progress, name, now)
        if progress.is_finished or not progress.is_announced:
            self._tell(progress, now)

    def _log_stage(self, progress, name, upkeep):
        self._log.write(
            "upkeep",
            name,
            wave=progress.wave.number,
            stage=upkeep.stage,
            worker=upkeep.worker,
        )

    def _call(self, kind, subject, function, now):
        """Make one call of a kind and subject at a time."""
        key = (kind, subject)
        if key in self._busy or now < self._retry_at_by_kind.get(key, 0.0):
            return
        self._busy.add(key)
        self._calls.submit(self._run, kind, subject, function, now)

    def _run(self, kind, subject, function, asked_at):
        self._post(UpkeepEvent(self._epoch, kind, subject, asked_at, function()))

    def _load(self):
        return self._store.read(WAVES, WAVES_PART).bind(_decode_rows)

    def _write(self, progress, now):
        """Write the stages when they are not in the row."""
        number = progress.wave.number
        unwritten = [
            name
            for name in progress.list_machines_in(DOWN)
            if not progress.maintenance_by_machine[name].is_written
        ]
        if not unwritten:
            return
        put = Put(_get_row_id(number), self._encode(progress))
        self._transact("claimed", (number, tuple(unwritten)), put, now)

    def _encode(self, progress):
        stages = {
            name: (upkeep.stage, upkeep.worker)
            for name, upkeep in progress.maintenance_by_machine.items()
            if upkeep.stage != CLEARING
        }
        began_at = self._clock.wall() - (self._clock.now() - progress.began_at)
        row = WaveRow(began_at, progress.is_complete, stages)
        return msgspec.msgpack.encode(row)

    def _transact(self, kind, subject, put, now):
        number = subject[0]
        expects = [
            Expect(get_fence_id(WAVES_PART), self._fence_version),
            Expect(put.id, self._version_by_number.get(number, 0)),
        ]
        self._call(kind, subject, lambda: self._store.transact(expects, [put], []), now)

    def _order(self, progress, name, now):
        number = progress.wave.number
        self._log.write("upkeep-ordered", name, wave=number, token=self._epoch)
        self._call(
            "ordered",
            (number, name),
            lambda: self._machines.order_maintenance(
                name, number, self._holder, self._epoch
            ),
            now,
        )

    def _tell(self, progress, now):
        """Tell the operator that a wave is under way, or complete."""
        number, is_complete = progress.wave.number, progress.is_finished
        put = Put(get_wave_status_id(number), encode_wave_status(is_complete))
        # Only the first word may be written where there is none yet.
        expects = [] if is_complete else [Expect(put.id, 0)]
        self._call(
            "told",
            (number, is_complete),
            lambda: self._store.transact(expects, [put], []),
            now,
        )

    def take(self, event, now):
        """Take in what a call brought.

        :param event: ``UpkeepEvent`` of this term.
        """
        self._busy.discard((event.kind, event.subject))
        match event.kind, event.outcome:
            case "listed", Success(machines):
                self._machine_by_name = {item.name: item for item in machines}
                self._listed_at = event.asked_at
            case "loaded", Success(rows):
                self._restore(rows)
            case "claimed", Success(version):
                self._note_claimed(event.subject, version)
            case "ordered", outcome:
                self._take_order(event.subject, outcome, now)
            case "told", outcome:
                self._take_told(event, outcome, now)
            case kind, Failure(failure):
                self._note_failure(event, kind, failure, now)
            case "closed", Success(version):
                self._version_by_number[event.subject[0]] = version

    def _restore(self, rows):
        """Take in the rows of all waves; what was held of them is built anew."""
        self._is_loaded = True
        self._progress_by_number.clear()
        for number, version, row in rows:
            self._version_by_number[number] = version
            self._row_by_number[number] = row

    def _note_claimed(self, subject, version):
        number, names = subject
        self._version_by_number[number] = version
        for name in names:
            self._progress_by_number[number].maintenance_by_machine[
                name
            ].is_written = True

    def _take_order(self, subject, outcome, now):
        number, name = subject
        upkeep = self._progress_by_number[number].maintenance_by_machine[name]
        match outcome:
            case Success(_):
                record_order_accepted(upkeep, now)
            case Failure(MachineOrderRefused(reason=reason)):
                record_order_failed(upkeep, reason, now)
                self._log.write("upkeep-refused", name, wave=number, why=reason)
            case Failure(failure):
                record_order_failed(upkeep, "", now)
                self._log.write(
                    "upkeep-unanswered", name, wave=number, why=str(failure)
                )

    def _take_told(self, event, outcome, now):
        number, is_complete = event.subject
        match outcome:
            case Success(_):
                self._log.write("wave-told", number, complete=is_complete)
            case Failure(RowsConflict()):
                pass
            case Failure(failure):
                self._note_failure(event, "told", failure, now)
                return
        progress = self._progress_by_number[number]
        progress.is_announced = True
        if is_complete:
            progress.is_complete = True
            put = Put(_get_row_id(number), self._encode(progress))
            self._transact("closed", (number,), put, now)

    def _note_failure(self, event, kind, failure, now):
        self._retry_at_by_kind[(kind, event.subject)] = now + RETRY_SECONDS
        self._log.write("upkeep-call-failed", kind, why=str(failure))
        if isinstance(failure, RowsConflict):
            # An earlier write of this term took effect unseen, or the term is over.
            self._is_loaded = False


def _get_row_id(number):
    return RowId(WAVES, WAVES_PART, str(number))


def _decode_rows(page):
    try:
        rows = [
            (
                int(row.id.key),
                row.version,
                msgspec.msgpack.decode(row.value, type=WaveRow),
            )
            for row in page.rows
        ]
    except (ValueError, msgspec.MsgspecError) as error:
        return Failure(PlatformAnswerInvalid(f"rows of waves: {error}"))
    return Success(rows)
