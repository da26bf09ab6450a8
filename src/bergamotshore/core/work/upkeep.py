"""Progress of maintenance waves: which VMs are drained, taken down and back up.

Each VM of a wave passes through these stages. While it waits, nothing changes. While it
is clearing (drained), it gets no new work, and its runs finish or are moved. Its
maintenance order is then claimed in a stored row and sent to the machine service. It is
back when a machine list that was requested after the answer to the order shows it up
with another worker. From the claim on it counts as down, because an order without an
answer may have been carried out.
"""

from dataclasses import dataclass, field

from bergamotshore.core.work.site import Wave

CLEARING = "clearing"
CLAIMED = "claimed"
ORDERED = "ordered"
BACK = "back"
GONE = "gone"
FINISHED_STAGES = {BACK, GONE}
DOWN = {CLAIMED, ORDERED}
# Maintenance of one VM takes 2 s on the known sites, and its worker joins within a
# second.
MAINTENANCE_SECONDS = 3.0
# Longest time to wait for finite tasks to finish, in seconds: the longest known take
# 7 s, and lost work costs less than a late wave.
MAX_CLEARING_SECONDS = 10.0
MIN_CLEARING_SECONDS = 1.0
# Delay before an order that was refused or not answered is sent again, in seconds.
ORDER_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class MachineMaintenance:
    """Maintenance of one VM of a wave, from the start of clearing.

    :param stage: Current stage.
    :param since: Time at which the stage began, in seconds.
    :param worker: Worker on the VM when the order was claimed.
    :param is_written: Whether the claim is stored.
    :param is_order_in_flight: Whether an order was sent and its answer is pending.
    :param retry_at: Earliest time of the next order, in seconds.
    """

    stage: str
    since: float
    worker: str = ""
    is_written: bool = False
    is_order_in_flight: bool = False
    retry_at: float = 0.0


@dataclass(slots=True)
class WaveProgress:
    """Progress of a wave.

    :param wave: ``Wave``.
    :param began_at: Time at which the wave was first seen, in seconds.
    :param requested_at: Time at which this entry learned which VMs it names, in
        seconds.
    :param maintenance_by_machine: ``MachineMaintenance`` by VM.
    :param is_announced: Whether its status was published in this term.
    :param is_complete: Whether its completion was published.
    """

    wave: Wave
    began_at: float
    requested_at: float
    maintenance_by_machine: dict = field(default_factory=dict)
    is_announced: bool = False
    is_complete: bool = False

    def list_machines_in(self, stages):
        """Return the names of the VMs in the given stages."""
        return [
            name
            for name, maintenance in self.maintenance_by_machine.items()
            if maintenance.stage in stages
        ]

    @property
    def is_finished(self):
        """Return whether every VM has had its maintenance or no longer needs it."""
        return all(
            name in self.maintenance_by_machine
            and self.maintenance_by_machine[name].stage in FINISHED_STAGES
            for name in self.wave.machines
        )


@dataclass(frozen=True, slots=True)
class MaintenanceView:
    """Snapshot of VMs and workers on which a wave is advanced.

    :param machine_by_name: ``Machine`` by name, from the latest machine list.
    :param listed_at: When that list was requested, in seconds.
    :param worker_by_machine: ``WorkerState`` by VM.
    :param now: Current time, in seconds.
    """

    machine_by_name: dict
    listed_at: float
    worker_by_machine: dict
    now: float


def advance_wave(progress, view):
    """Update the stages of all VMs of a wave, and start clearing further VMs.

    A list that was requested before the wave may lack VMs that were added since.

    :param progress: ``WaveProgress``; modified.
    :param view: ``MaintenanceView``.
    """
    if view.listed_at < progress.requested_at:
        return
    for name in progress.wave.machines:
        maintenance = progress.maintenance_by_machine.get(name)
        machine = view.machine_by_name.get(name)
        if machine is None:
            progress.maintenance_by_machine[name] = MachineMaintenance(GONE, view.now)
        elif maintenance is not None:
            _advance_machine(progress, maintenance, machine, view)
    _begin_clearing(progress, view)


def _advance_machine(progress, maintenance, machine, view):
    has_new_worker = (
        machine.is_up and machine.worker and machine.worker != maintenance.worker
    )
    # An earlier list may show a worker that was replaced before the order.
    is_listed_since = view.listed_at >= maintenance.since
    if maintenance.stage == ORDERED and has_new_worker and is_listed_since:
        maintenance.stage, maintenance.since = BACK, view.now
    if maintenance.stage == CLEARING and is_cleared(
        progress, maintenance, machine, view
    ):
        maintenance.stage, maintenance.since = CLAIMED, view.now
        maintenance.worker = machine.worker


def is_cleared(progress, maintenance, machine, view):
    """Return whether a VM may go down now.

    It has to be empty, or its finite tasks took too long to finish. Long-running tasks
    always block it: they are stopped one by one and restarted on other workers.
    """
    worker = view.worker_by_machine.get(machine.name)
    if not machine.is_up or worker is None or worker.unknown_runs:
        return False
    if not worker.is_reachable or worker.incarnation.worker != machine.worker:
        return False
    runs = worker.allocation_by_key.values()
    if any(run.step.is_lasting for run in runs):
        return False
    is_overdue = view.now - maintenance.since >= get_max_clearing_seconds(
        progress, view.now
    )
    return not runs or is_overdue


def get_max_clearing_seconds(progress, now):
    """Return the longest time that a VM may spend in clearing, in seconds.

    Divides the remaining time of the wave by the number of remaining groups of VMs.
    """
    waiting = [
        name
        for name in progress.wave.machines
        if name not in progress.maintenance_by_machine
        or progress.maintenance_by_machine[name].stage == CLEARING
    ]
    groups = -(-len(waiting) // max(1, progress.wave.max_concurrent))
    remaining = progress.wave.duration - (now - progress.began_at)
    clearing_seconds = remaining / max(1, groups) - MAINTENANCE_SECONDS
    return min(MAX_CLEARING_SECONDS, max(MIN_CLEARING_SECONDS, clearing_seconds))


def _begin_clearing(progress, view):
    """Start clearing VMs up to the limit of the wave, those with least load first."""
    active = len(progress.list_machines_in(DOWN | {CLEARING}))
    waiting = [
        name
        for name in progress.wave.machines
        if name not in progress.maintenance_by_machine
        and view.machine_by_name[name].is_up
    ]
    waiting.sort(key=lambda name: _get_load(view.worker_by_machine.get(name)))
    for name in waiting[: max(0, progress.wave.max_concurrent - active)]:
        progress.maintenance_by_machine[name] = MachineMaintenance(CLEARING, view.now)


def _get_load(worker):
    """Return a sort key; VMs with few long-running tasks and low load come first."""
    if worker is None:
        return (1, 0)
    lasting_count = sum(
        run.step.is_lasting for run in worker.allocation_by_key.values()
    )
    return (0, lasting_count, worker.used_cpu)


def list_due_orders(progress, now):
    """Return the VMs whose order is due, and mark their orders as in flight.

    :param progress: ``WaveProgress``.
    """
    due = []
    for name, maintenance in progress.maintenance_by_machine.items():
        is_due = (
            maintenance.stage == CLAIMED
            and maintenance.is_written
            and now >= maintenance.retry_at
        )
        if is_due and not maintenance.is_order_in_flight:
            maintenance.is_order_in_flight = True
            due.append(name)
    return due


def record_order_accepted(maintenance, now):
    """Record that the machine service accepted an order."""
    maintenance.is_order_in_flight = False
    maintenance.stage, maintenance.since = ORDERED, now


def record_order_failed(maintenance, reason, now):
    """Record that an order was refused or not answered.

    A VM that is not part of the wave, or that does not exist, needs no maintenance.

    :param reason: Code of the refusal; empty when the order may have been carried out.
    """
    maintenance.is_order_in_flight = False
    maintenance.retry_at = now + ORDER_RETRY_SECONDS
    if reason in ("wave", "unknown"):
        maintenance.stage, maintenance.since = GONE, now
