"""Waves of upkeep: which VM is emptied, which goes down, and when a wave is over.

A VM of a wave passes through these stages. It waits; it is cleared, so that it gets no
new work and what runs there ends or moves; its order is claimed in a row; the service
is told; and it is back when the list shows it up with another worker. From the claim on
it counts as down, because an order without an answer may have been carried out.
"""

from dataclasses import dataclass, field

from bergamotshore.core.work.site import Wave

CLEARING = "clearing"
CLAIMED = "claimed"
ORDERED = "ordered"
BACK = "back"
GONE = "gone"
OVER = {BACK, GONE}
DOWN = {CLAIMED, ORDERED}
# Upkeep of one VM takes 2 s on the sites known, and its worker joins within a second.
UPKEEP_SECONDS = 3.0
# Tasks that only have to finish are waited for this long at most, in seconds: the
# longest known take 7 s, and work lost costs less than a wave that is late.
LONGEST_CLEARING_SECONDS = 10.0
SHORTEST_CLEARING_SECONDS = 1.0
# Time after which an order that was refused or not answered is given again, in seconds.
AGAIN_SECONDS = 1.0


@dataclass(slots=True)
class MachineMaintenance:
    """One VM of a wave that has left the stage of waiting.

    :param stage: Stage.
    :param since: When that stage began, in seconds.
    :param worker: Its worker when the order was claimed.
    :param is_written: Whether the claim is in its row.
    :param is_asking: Whether an order is on its way to the service.
    :param retry_at: Earliest time of the next order, in seconds.
    """

    stage: str
    since: float
    worker: str = ""
    is_written: bool = False
    is_asking: bool = False
    retry_at: float = 0.0


@dataclass(slots=True)
class WaveProgress:
    """How far a wave is.

    :param wave: ``Wave``.
    :param began_at: When it was first seen, in seconds.
    :param maintenance_by_machine: ``MachineMaintenance`` by VM.
    :param is_announced: Whether the operator was told of it in this term.
    :param is_complete: Whether it was told to be complete.
    """

    wave: Wave
    began_at: float
    maintenance_by_machine: dict = field(default_factory=dict)
    is_announced: bool = False
    is_complete: bool = False

    def list_machines_in(self, stages):
        """Return the VMs in some stages."""
        return [
            name
            for name, upkeep in self.maintenance_by_machine.items()
            if upkeep.stage in stages
        ]

    @property
    def is_finished(self):
        """Tell whether every VM that stays has had its upkeep."""
        return all(
            name in self.maintenance_by_machine
            and self.maintenance_by_machine[name].stage in OVER
            for name in self.wave.machines
        )


@dataclass(frozen=True, slots=True)
class MaintenanceView:
    """What the next steps of a wave are decided from.

    :param machine_by_name: ``Machine`` by name, as last listed.
    :param worker_by_machine: ``WorkerState`` by VM.
    :param now: Current time, in seconds.
    """

    machine_by_name: dict
    worker_by_machine: dict
    now: float


def advance_wave(progress, view):
    """Take the list in, and choose what to clear and to claim.

    :param progress: ``WaveProgress``; changed.
    :param view: ``MaintenanceView``.
    """
    for name in progress.wave.machines:
        upkeep = progress.maintenance_by_machine.get(name)
        listed = view.machine_by_name.get(name)
        if listed is None:
            progress.maintenance_by_machine[name] = MachineMaintenance(GONE, view.now)
        elif upkeep is not None:
            _advance_machine(progress, upkeep, listed, view)
    _begin_clearing(progress, view)


def _advance_machine(progress, upkeep, listed, view):
    is_other = listed.is_up and listed.worker and listed.worker != upkeep.worker
    if upkeep.stage == ORDERED and is_other:
        upkeep.stage, upkeep.since = BACK, view.now
    if upkeep.stage == CLEARING and is_cleared(progress, upkeep, listed, view):
        upkeep.stage, upkeep.since = CLAIMED, view.now
        upkeep.worker = listed.worker


def is_cleared(progress, upkeep, listed, view):
    """Tell whether a VM may go down now.

    It is empty, or what has to finish took too long. Tasks that may not be missed are
    never ended this way: they are stopped one by one and start elsewhere first.
    """
    worker = view.worker_by_machine.get(listed.name)
    if not listed.is_up or worker is None or worker.unknown_runs:
        return False
    if not worker.is_reachable or worker.incarnation.worker != listed.worker:
        return False
    held = worker.allocation_by_key.values()
    if any(run.step.is_lasting for run in held):
        return False
    is_late = view.now - upkeep.since >= get_max_clearing_seconds(progress, view.now)
    return not held or is_late


def get_max_clearing_seconds(progress, now):
    """Return how long a VM is cleared at most, in seconds.

    What is left of the wave's time is shared among the groups that are left.
    """
    waiting = [
        name
        for name in progress.wave.machines
        if name not in progress.maintenance_by_machine
        or progress.maintenance_by_machine[name].stage == CLEARING
    ]
    groups = -(-len(waiting) // max(1, progress.wave.max_concurrent))
    left = progress.wave.duration - (now - progress.began_at)
    patience = left / max(1, groups) - UPKEEP_SECONDS
    return min(LONGEST_CLEARING_SECONDS, max(SHORTEST_CLEARING_SECONDS, patience))


def _begin_clearing(progress, view):
    """Clear as many VMs as may be down at once, those with least to move first."""
    busy = len(progress.list_machines_in(DOWN | {CLEARING}))
    waiting = [
        name
        for name in progress.wave.machines
        if name not in progress.maintenance_by_machine
        and view.machine_by_name[name].is_up
    ]
    waiting.sort(key=lambda name: _get_load(view.worker_by_machine.get(name)))
    for name in waiting[: max(0, progress.wave.max_concurrent - busy)]:
        progress.maintenance_by_machine[name] = MachineMaintenance(CLEARING, view.now)


def _get_load(worker):
    if worker is None:
        return (1, 0)
    lasting = sum(held.step.is_lasting for held in worker.allocation_by_key.values())
    return (0, lasting, worker.used_cpu)


def list_due_orders(progress, now):
    """Return the VMs whose upkeep is to be ordered now; marks them as asked for.

    :param progress: ``WaveProgress``.
    """
    due = []
    for name, upkeep in progress.maintenance_by_machine.items():
        is_due = (
            upkeep.stage == CLAIMED and upkeep.is_written and now >= upkeep.retry_at
        )
        if is_due and not upkeep.is_asking:
            upkeep.is_asking = True
            due.append(name)
    return due


def record_order_accepted(upkeep, now):
    """Take note that the service has taken an order."""
    upkeep.is_asking = False
    upkeep.stage, upkeep.since = ORDERED, now


def record_order_failed(upkeep, reason, now):
    """Take note that an order was refused or not answered.

    A VM that is not part of the wave, or that does not exist, needs no upkeep.

    :param reason: Why it was refused; empty when it may have been carried out.
    """
    upkeep.is_asking = False
    upkeep.retry_at = now + AGAIN_SECONDS
    if reason in ("wave", "unknown"):
        upkeep.stage, upkeep.since = GONE, now
