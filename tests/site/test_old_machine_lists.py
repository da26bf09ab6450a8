"""Maintenance waves beside machine lists that are older than what they decide."""

import pytest

from bergamotshore.core.work.site import Wave
from bergamotshore.core.work.upkeep import (
    BACK,
    CLEARING,
    GONE,
    ORDERED,
    MachineMaintenance,
    MaintenanceView,
    WaveProgress,
    advance_wave,
)
from bergamotshore.ports.machines import UP, Machine

WAVE = Wave(1, ("vm-1", "vm-2"), 60.0, 2)


@pytest.fixture
def progress():
    """Return a wave that was requested at 10 s."""
    return WaveProgress(WAVE, 10.0, 10.0)


def build_view(listed_at, worker_by_machine):
    machine_by_name = {
        name: Machine(name, "books", UP, worker)
        for name, worker in worker_by_machine.items()
    }
    return MaintenanceView(machine_by_name, listed_at, {}, 20.0)


# Guards against a wave that is told to be complete without a VM that was added after
# the machine list was read.
def test_vm_that_an_earlier_list_lacks_is_not_taken_for_gone(progress):
    advance_wave(progress, build_view(9.0, {"vm-1": "worker-1"}))
    assert progress.maintenance_by_machine == {}
    advance_wave(progress, build_view(11.0, {"vm-1": "worker-1", "vm-2": "worker-2"}))
    stages = {item.stage for item in progress.maintenance_by_machine.values()}
    assert stages == {CLEARING}


def test_vm_that_a_later_list_lacks_is_gone(progress):
    advance_wave(progress, build_view(11.0, {"vm-1": "worker-1"}))
    assert progress.maintenance_by_machine["vm-2"].stage == GONE


# Guards against a second VM that goes down beside one whose worker was replaced between
# the claim and the order.
@pytest.mark.parametrize("listed_at, stage", [(14.9, ORDERED), (15.1, BACK)])
def test_new_worker_proves_maintenance_only_in_a_list_requested_after_the_order(
    progress, listed_at, stage
):
    progress.maintenance_by_machine["vm-1"] = MachineMaintenance(
        ORDERED, 15.0, "worker-1", is_written=True
    )
    workers = {"vm-1": "worker-3", "vm-2": "worker-2"}
    advance_wave(progress, build_view(listed_at, workers))
    assert progress.maintenance_by_machine["vm-1"].stage == stage


# A list that arrives late is one that was requested early.
def test_list_that_arrives_late_decides_nothing_for_a_wave_requested_meanwhile(
    progress,
):
    progress.requested_at = 19.0
    advance_wave(progress, build_view(18.5, {"vm-1": "worker-1"}))
    assert progress.maintenance_by_machine == {}
