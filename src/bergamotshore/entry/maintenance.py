"""Waves of VM maintenance: read the list of VMs, write claims, send orders.

Only the dispatcher's thread accesses the state. Calls run one at a time on a separate
thread and post their results. A claim is written under the fence of the term before its
order is sent, so that a successor counts the VM as down.
"""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.decoding import decode_msgpack
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
from bergamotshore.entry.background import run_background_call
from bergamotshore.entry.jobrows import PARTS, get_fence_id
from bergamotshore.exceptions import DecodingError, PlatformUnavailable
from bergamotshore.platform.operator import encode_wave_status, get_wave_status_id
from bergamotshore.ports.machines import MachineOrderRefused
from bergamotshore.ports.rows import Expect, Put, RowId, RowsConflict

WAVES = "waves"
# Rows of waves are in a partition that has a fence row, which guards their writes.
WAVES_PART = PARTS[0]
# Interval of reading the list of VMs while a wave is active, in seconds. The service
# handles tens of reads per second from all entries together.
LIST_INTERVAL_SECONDS = 1.0
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class MaintenanceEvent:
    """Result of a call of the ``MaintenanceManager``.

    :param epoch: Term in which the call was made.
    :param kind: 'listed', 'loaded', 'claimed', 'ordered', 'told' or 'closed'.
    :param subject: Wave, and VMs where needed, that the call was for.
    :param requested_at: Time of the call, in seconds.
    :param outcome: ``Result``.
    """

    epoch: int
    kind: str
    subject: object
    requested_at: float
    outcome: object


class WaveRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored state of a wave, from which a successor continues it.

    :param began_at: Start time by the wall clock, in seconds.
    :param is_complete: Whether it was reported as complete.
    :param stages: Stage and former worker of each VM that is, or was, down.
    """

    began_at: float
    is_complete: bool
    stages: dict[str, tuple[str, str]]


class MaintenanceManager:
    """Run the maintenance waves requested by the operator, during one term.

    :param store: ``RowStore``.
    :param machines: ``MachineService``; None without one.
    :param calls: Executor that runs calls one at a time.
    :param post: Function that queues a ``MaintenanceEvent`` for the dispatcher.
    :param clock: ``Clock``.
    :param log: ``EventLog``.
    :param holder: Name of the lease holder sent with orders.
    :param epoch: Number of the term; the fencing token of its orders.
    :param fence_version: Version of the fence row of ``WAVES_PART`` in this term.
    :param may_order: Callable that returns whether this term still lasts.
    """

    def __init__(
        self,
        store,
        machines,
        calls,
        post,
        clock,
        log,
        holder,
        epoch,
        fence_version,
        may_order,
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
        self._may_order = may_order
        self._term_started_at = clock.now()
        self._progress_by_number = {}
        self._row_by_number = {}
        self._version_by_number = {}
        self._is_loaded = False
        # Waves whose row can't be read. Their VMs may be down, so they wait until the
        # row is replaced.
        self._unreadable_numbers = set()
        self._calls_in_flight = set()
        self._retry_at_by_call = {}
        self._machine_by_name = {}
        self._listed_at = 0.0

    def get_evacuating_nodes(self, cluster, now):
        """Return whether the evacuation is overdue, by node that is being evacuated."""
        is_overdue_by_machine = {}
        for progress in self._progress_by_number.values():
            max_seconds = get_max_clearing_seconds(progress, now)
            for name in progress.list_machines_in({CLEARING, *DOWN}):
                since = progress.maintenance_by_machine[name].since
                is_overdue_by_machine[name] = now - since >= max_seconds
        return {
            worker.node: is_overdue_by_machine[worker.machine]
            for worker in cluster.worker_by_node.values()
            if worker.machine in is_overdue_by_machine
        }

    def step(self, cluster, wave_by_number, now):
        """Advance all waves; reads, writes and orders are made as background calls.

        :param wave_by_number: ``Wave`` by number, as requested by the operator.
        """
        if self._machines is None or not wave_by_number:
            return
        if not self._is_loaded:
            self._call("loaded", None, self._read_rows, now)
            return
        if self._unreadable_numbers & wave_by_number.keys():
            self._call("read-again", None, self._read_rows, now)
        waves = [
            self._get_progress(wave, now)
            for wave in wave_by_number.values()
            if wave.number not in self._unreadable_numbers
        ]
        active = [progress for progress in waves if not progress.is_complete]
        if not active:
            return
        if now - self._listed_at >= LIST_INTERVAL_SECONDS:
            self._call("listed", None, self._machines.list_machines, now)
        if self._listed_at:
            for progress in active:
                self._advance(progress, cluster, now)

    def _get_progress(self, wave, now):
        progress = self._progress_by_number.get(wave.number)
        if progress is None:
            row = self._row_by_number.get(wave.number)
            progress = WaveProgress(wave, now, now)
            if row is not None:
                self._restore_progress(progress, row, now)
            self._progress_by_number[wave.number] = progress
        if set(wave.machines) - set(progress.wave.machines):
            progress.requested_at = now
        progress.wave = wave
        return progress

    def _restore_progress(self, progress, row, now):
        """Restore a wave to the state written by an earlier term.

        It is unknown whether an order of that term was executed, so the order is sent
        again; a repeated order has no effect.
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
        view = MaintenanceView(
            self._machine_by_name, self._listed_at, worker_by_machine, now
        )
        advance_wave(progress, view)
        for name, maintenance in progress.maintenance_by_machine.items():
            if before.get(name) != maintenance.stage:
                self._log_stage(progress, name, maintenance)
        self._write(progress, now)
        if now - self._term_started_at >= LEASE_SECONDS:
            for name in list_due_orders(progress, now):
                self._order_maintenance(progress, name, now)
        if progress.is_finished or not progress.is_announced:
            self._report_status(progress, now)

    def _log_stage(self, progress, name, maintenance):
        self._log.write(
            "upkeep",
            name,
            wave=progress.wave.number,
            stage=maintenance.stage,
            worker=maintenance.worker,
        )

    def _call(self, kind, subject, function, now):
        """Start a call unless one of the same kind and subject is in flight."""
        key = (kind, subject)
        if key in self._calls_in_flight or now < self._retry_at_by_call.get(key, 0.0):
            return
        self._calls_in_flight.add(key)
        self._calls.submit(self._run, kind, subject, function, now)

    def _run(self, kind, subject, function, requested_at):
        outcome = run_background_call(function, kind, self._log)
        self._post(MaintenanceEvent(self._epoch, kind, subject, requested_at, outcome))

    def _read_rows(self):
        return self._store.read(WAVES, WAVES_PART).bind(_decode_rows)

    def _write(self, progress, now):
        """Write the stages of VMs whose claims are not in the row yet."""
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
            name: (maintenance.stage, maintenance.worker)
            for name, maintenance in progress.maintenance_by_machine.items()
            if maintenance.stage != CLEARING
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

    def _order_maintenance(self, progress, name, now):
        number = progress.wave.number
        self._log.write("upkeep-ordered", name, wave=number, token=self._epoch)
        self._call(
            "ordered", (number, name), lambda: self._send_order(name, number), now
        )

    def _send_order(self, name, number):
        """Send an order unless the term ended while earlier calls were made."""
        if not self._may_order():
            return Failure(PlatformUnavailable("the term is over"))
        return self._machines.order_maintenance(name, number, self._holder, self._epoch)

    def _report_status(self, progress, now):
        """Report to the operator that a wave is active or complete."""
        number, is_complete = progress.wave.number, progress.is_finished
        put = Put(get_wave_status_id(number), encode_wave_status(is_complete))
        # 'active' is only written if there is no status yet; it must not replace
        # 'complete'.
        expects = [] if is_complete else [Expect(put.id, 0)]
        self._call(
            "told",
            (number, is_complete),
            lambda: self._store.transact(expects, [put], []),
            now,
        )

    def handle_event(self, event, now):
        """Process the result of a call.

        :param event: ``MaintenanceEvent`` of this term.
        """
        self._calls_in_flight.discard((event.kind, event.subject))
        match event.kind, event.outcome:
            case "listed", Success(machines):
                self._machine_by_name = {item.name: item for item in machines}
                self._listed_at = event.requested_at
            case "loaded", Success(rows):
                self._restore(rows)
            case "read-again", Success(rows):
                self._restore_unreadable(rows)
                self._retry_at_by_call[("read-again", None)] = now + RETRY_SECONDS
            case "claimed", Success(version):
                self._record_claim(event.subject, version)
            case "ordered", outcome:
                self._record_order_result(event.subject, outcome, now)
            case "told", outcome:
                self._record_status_result(event, outcome, now)
            case kind, Failure(failure):
                self._record_failure(event, kind, failure, now)
            case "closed", Success(version):
                self._version_by_number[event.subject[0]] = version

    def _restore(self, rows):
        """Load the rows of all waves; their progress is rebuilt from them."""
        self._is_loaded = True
        self._progress_by_number.clear()
        self._unreadable_numbers.clear()
        for number, version, row in rows:
            self._restore_row(number, version, row)

    def _restore_unreadable(self, rows):
        """Load the rows that could not be read before and have been replaced."""
        former_numbers = self._unreadable_numbers
        self._unreadable_numbers = set()
        for number in former_numbers:
            self._version_by_number.pop(number, None)
        for number, version, row in rows:
            if number in former_numbers:
                self._restore_row(number, version, row)

    def _restore_row(self, number, version, row):
        self._version_by_number[number] = version
        if row is None:
            self._unreadable_numbers.add(number)
            self._log.write("row-invalid", WAVES, why=f"row of wave {number}")
        else:
            self._row_by_number[number] = row

    def _record_claim(self, subject, version):
        number, names = subject
        self._version_by_number[number] = version
        for name in names:
            self._progress_by_number[number].maintenance_by_machine[
                name
            ].is_written = True

    def _record_order_result(self, subject, outcome, now):
        number, name = subject
        maintenance = self._progress_by_number[number].maintenance_by_machine[name]
        match outcome:
            case Success(_):
                record_order_accepted(maintenance, now)
            case Failure(MachineOrderRefused(reason=reason)):
                record_order_failed(maintenance, reason, now)
                self._log.write("upkeep-refused", name, wave=number, why=reason)
            case Failure(failure):
                record_order_failed(maintenance, "", now)
                self._log.write(
                    "upkeep-unanswered", name, wave=number, why=str(failure)
                )

    def _record_status_result(self, event, outcome, now):
        number, is_complete = event.subject
        match outcome:
            case Success(_):
                self._log.write("wave-told", number, complete=is_complete)
            case Failure(RowsConflict()):
                pass
            case Failure(failure):
                self._record_failure(event, "told", failure, now)
                return
        progress = self._progress_by_number[number]
        progress.is_announced = True
        if is_complete:
            progress.is_complete = True
            put = Put(_get_row_id(number), self._encode(progress))
            self._transact("closed", (number,), put, now)

    def _record_failure(self, event, kind, failure, now):
        self._retry_at_by_call[(kind, event.subject)] = now + RETRY_SECONDS
        self._log.write("upkeep-call-failed", kind, why=str(failure))
        if isinstance(failure, RowsConflict):
            # An earlier write of this term was committed without an answer, or the term
            # is over.
            self._is_loaded = False


def _get_row_id(number):
    return RowId(WAVES, WAVES_PART, str(number))


def _decode_rows(page):
    """Return ``Result`` of number, version and ``WaveRow`` of each wave.

    The last one is None if it can't be read. A row without a number is none of ours.
    """
    return Success(
        [
            (int(row.id.key), row.version, _decode_row(row.value))
            for row in page.rows
            if row.id.key.isascii() and row.id.key.isdigit()
        ]
    )


def _decode_row(value):
    try:
        return decode_msgpack(value, WaveRow)
    except DecodingError:
        return None
