"""Maintenance waves, with the real entries and nodes."""

import json

import pytest
from returns.result import Failure

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.site import Wave
from bergamotshore.entry.maintenance import WAVES, WAVES_PART
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.ports.rows import Put, RowId
from tests.site.simulation import Simulation

NODES = 4
LONG_RUNNING_STEP = Step(tasks=3, cpu=3000, memory=100, is_lasting=True, may_miss=1)
CHECKPOINT_STEP = Step(tasks=6, cpu=3000, memory=100, has_checkpoints=True)
PLAIN_STEP = Step(tasks=6, cpu=3000, memory=100)
# Longest time per VM when one is handled after another: it is cleared, down for 2 s and
# listed as up again within a second.
SECONDS_PER_VM = 6.0


@pytest.fixture
def site(clock):
    """Return a world of four VMs."""
    simulation = Simulation(clock, nodes=NODES)
    simulation.advance(1.0)
    return simulation


def request_wave(simulation, at_once=1, duration=60.0, machines=None):
    """Request a wave as the operator."""
    machines = tuple(machines or simulation.machines.vm_by_name)
    simulation.machines.machines_by_wave[1] = set(simulation.machines.vm_by_name)
    simulation.machines.at_once = at_once
    for entry in simulation.entry_by_name.values():
        entry.follower.state.wave_by_number[1] = Wave(1, machines, duration, at_once)


def get_wave_status(simulation):
    row = simulation.store.row_by_id.get(RowId("status", "", "wave/1"))
    return json.loads(row.value)["state"] if row is not None else None


def wait_for_completion(simulation, seconds=SECONDS_PER_VM * NODES):
    until = simulation.clock.now() + seconds
    while get_wave_status(simulation) != "complete":
        assert simulation.clock.now() < until, (
            get_wave_status(simulation),
            simulation.machines.done,
        )
        simulation.advance(0.5)


# Guards against a row of one wave that can't be read and holds up all other waves.
@pytest.mark.parametrize("key", ["2", "odd"])
def test_unreadable_row_of_a_wave_holds_up_no_other_wave(site, key):
    site.store.write([Put(RowId(WAVES, WAVES_PART, key), b"\xc1")], [])
    request_wave(site)
    wait_for_completion(site)
    assert len(site.machines.done) == NODES


# Guards against a wave that begins anew though its VMs may be down, and against one
# that waits on after its row was replaced.
def test_wave_waits_only_until_its_unreadable_row_is_replaced(site):
    row_id = RowId(WAVES, WAVES_PART, "1")
    site.store.write([Put(row_id, b"\xc1")], [])
    request_wave(site)
    site.advance(SECONDS_PER_VM)
    assert not site.machines.done
    site.store.write([], [row_id])
    wait_for_completion(site)
    assert len(site.machines.done) == NODES


def test_every_vm_of_a_wave_goes_down_once_and_completion_is_reported(site):
    request_wave(site)
    site.advance(1.0)
    assert get_wave_status(site) == "active"
    wait_for_completion(site)
    assert len(site.machines.done) == NODES
    assert {vm.state for vm in site.machines.vm_by_name.values()} == {"up"}
    assert site.ledger.problems == []


@pytest.mark.parametrize("at_once", [1, 2, 3])
def test_no_more_vms_are_down_at_once_than_the_wave_allows(site, at_once):
    request_wave(site, at_once)
    wait_for_completion(site)
    assert site.ledger.problems == []


def test_long_running_tasks_are_moved_one_by_one_before_their_vm_goes_down(site):
    site.submit("job1", (LONG_RUNNING_STEP,))
    site.advance(1.0)
    request_wave(site, at_once=2)
    fewest_running = 3
    for _ in range(int(SECONDS_PER_VM * NODES / 0.1)):
        site.advance(0.1)
        fewest_running = min(fewest_running, len({task for task, _ in site.running}))
    assert get_wave_status(site) == "complete"
    assert fewest_running >= 2
    assert len(site.running) == 3
    assert site.ledger.problems == []


def test_no_vm_goes_down_if_its_step_already_misses_as_many_tasks_as_allowed(site):
    """Of five tasks only four fit on the workers, and only one may be missing."""
    step = Step(tasks=5, cpu=16000, memory=100, is_lasting=True, may_miss=1)
    site.submit("job1", (step,))
    site.advance(1.0)
    request_wave(site, duration=5.0)
    site.advance(20.0)
    assert get_wave_status(site) == "active"
    assert site.machines.done == set()
    assert len(site.running) == 4


def test_tasks_with_checkpoints_are_moved_and_others_finish_first(site):
    site.submit("saving", (CHECKPOINT_STEP,))
    site.submit("plain", (PLAIN_STEP,))
    site.advance(1.0)
    request_wave(site, machines=["vm of worker-0"])
    site.advance(2.0)
    remaining = list(site.runner_by_node["node-0"].run_by_task)
    assert remaining and all(task.startswith("plain") for task in remaining)
    assert site.machines.done == set()
    site.finish_all()
    site.advance(2.0)
    assert site.machines.done == {(1, "vm of worker-0")}
    site.advance(4.0)
    assert site.get_state("saving") == site.get_state("plain") == "done"
    assert {number for task, number, _ in site.ledger.starts if "plain" in task} == {1}


def test_a_wave_with_little_time_does_not_wait_for_tasks_to_finish(site):
    site.submit("plain", (PLAIN_STEP,))
    site.advance(1.0)
    request_wave(site, duration=4.0, machines=["vm of worker-0"])
    wait_for_completion(site, SECONDS_PER_VM + 4.0)


@pytest.mark.parametrize("fault", ["down", "lost"])
def test_an_order_without_an_answer_is_sent_again(site, fault):
    site.machines.faults = [fault] * 2
    request_wave(site)
    wait_for_completion(site, SECONDS_PER_VM * (NODES + 2))
    assert site.ledger.problems == []


def test_a_successor_continues_the_wave_within_its_limit(site):
    request_wave(site, at_once=1)
    site.advance(1.2)
    for _ in range(2):
        site.kill_entry(site.leader.name)
        site.advance(5.0)
        killed = {"entry-0", "entry-1"} - set(site.entry_by_name)
        site.start_entry(killed.pop())
        for entry in site.entry_by_name.values():
            entry.follower.state.wave_by_number[1] = Wave(
                1, tuple(site.machines.vm_by_name), 60.0, 1
            )
        site.advance(1.0)
    wait_for_completion(site)
    assert len(site.machines.done) == NODES
    assert site.ledger.problems == []


def test_a_wave_survives_outages_of_the_store_and_the_machine_service(site):
    request_wave(site)
    site.advance(1.0)
    site.store.is_down = site.machines.is_down = True
    site.advance(2.0)
    site.store.is_down = site.machines.is_down = False
    wait_for_completion(site, SECONDS_PER_VM * (NODES + 2))
    assert site.ledger.problems == []


def test_a_vm_that_is_gone_or_not_in_the_wave_does_not_delay_completion(site):
    request_wave(site)
    site.machines.machines_by_wave[1].discard("vm of worker-1")
    for entry in site.entry_by_name.values():
        names = (*site.machines.vm_by_name, "vm that left")
        entry.follower.state.wave_by_number[1] = Wave(1, names, 60.0, 1)
    wait_for_completion(site)
    assert ("vm that left") not in {name for _, name in site.machines.done}
    assert len(site.machines.done) == NODES - 1


def test_a_successor_sends_no_orders_for_a_completed_wave(site):
    request_wave(site)
    wait_for_completion(site)
    site.advance(1.0)
    orders = len(site.machines.orders)
    site.kill_entry(site.leader.name)
    site.advance(10.0)
    assert len(site.machines.orders) == orders


def test_no_vm_goes_down_when_its_claim_can_not_be_written(site):
    site.advance(3.0)
    request_wave(site)
    failure = Failure(PlatformUnavailable("down"))
    site.leader.dispatcher.maintenance._store.transact = lambda *a, **o: failure
    site.advance(4.0)
    assert site.machines.done == set()
