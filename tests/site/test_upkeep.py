"""Waves of upkeep, through the real entries and nodes."""

import json

import pytest
from returns.result import Failure

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.site import Wave
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.ports.rows import RowId
from tests.site.simulation import Simulation

NODES = 4
LASTING = Step(tasks=3, cpu=3000, memory=100, is_lasting=True, may_miss=1)
SAVING = Step(tasks=6, cpu=3000, memory=100, has_checkpoints=True)
PLAIN = Step(tasks=6, cpu=3000, memory=100)
# One VM after another: each is cleared, down for 2 s and seen again within a second.
EACH_SECONDS = 6.0


@pytest.fixture
def site(clock):
    """Return a world of four VMs."""
    simulation = Simulation(clock, nodes=NODES)
    simulation.advance(1.0)
    return simulation


def ask(simulation, at_once=1, duration=60.0, machines=None):
    """Let the operator ask for a wave."""
    machines = tuple(machines or simulation.machines.vm_by_name)
    simulation.machines.machines_by_wave[1] = set(simulation.machines.vm_by_name)
    simulation.machines.at_once = at_once
    for entry in simulation.entry_by_name.values():
        entry.follower.state.wave_by_number[1] = Wave(1, machines, duration, at_once)


def get_status(simulation):
    row = simulation.store.row_by_id.get(RowId("status", "", "wave/1"))
    return json.loads(row.value)["state"] if row is not None else None


def wait_for_end(simulation, seconds=EACH_SECONDS * NODES):
    until = simulation.clock.now() + seconds
    while get_status(simulation) != "complete":
        assert simulation.clock.now() < until, (
            get_status(simulation),
            simulation.machines.done,
        )
        simulation.advance(0.5)


def test_every_vm_of_a_wave_goes_down_once_and_the_operator_is_told(site):
    ask(site)
    site.advance(1.0)
    assert get_status(site) == "active"
    wait_for_end(site)
    assert len(site.machines.done) == NODES
    assert {vm.state for vm in site.machines.vm_by_name.values()} == {"up"}
    assert site.ledger.problems == []


@pytest.mark.parametrize("at_once", [1, 2, 3])
def test_no_more_go_down_at_once_than_the_wave_allows(site, at_once):
    ask(site, at_once)
    wait_for_end(site)
    assert site.ledger.problems == []


def test_lasting_tasks_move_one_by_one_before_their_vm_goes_down(site):
    site.submit("job1", (LASTING,))
    site.advance(1.0)
    ask(site, at_once=2)
    least = 3
    for _ in range(int(EACH_SECONDS * NODES / 0.1)):
        site.advance(0.1)
        least = min(least, len({task for task, _ in site.running}))
    assert get_status(site) == "complete"
    assert least >= 2
    assert len(site.running) == 3
    assert site.ledger.problems == []


def test_no_vm_goes_down_while_its_tasks_may_not_be_missed(site):
    """Five tasks on four workers, one too many: another may not be away as well."""
    step = Step(tasks=5, cpu=16000, memory=100, is_lasting=True, may_miss=1)
    site.submit("job1", (step,))
    site.advance(1.0)
    ask(site, duration=5.0)
    site.advance(20.0)
    assert get_status(site) == "active"
    assert site.machines.done == set()
    assert len(site.running) == 4


def test_tasks_with_checkpoints_move_and_others_finish_first(site):
    site.submit("saving", (SAVING,))
    site.submit("plain", (PLAIN,))
    site.advance(1.0)
    ask(site, machines=["vm of worker-0"])
    site.advance(2.0)
    left = list(site.runner_by_node["node-0"].run_by_task)
    assert left and all(task.startswith("plain") for task in left)
    assert site.machines.done == set()
    site.finish_all()
    site.advance(2.0)
    assert site.machines.done == {(1, "vm of worker-0")}
    site.advance(4.0)
    assert site.get_state("saving") == site.get_state("plain") == "done"
    assert {number for task, number, _ in site.ledger.starts if "plain" in task} == {1}


def test_a_wave_that_is_short_of_time_does_not_wait_for_long_tasks(site):
    site.submit("plain", (PLAIN,))
    site.advance(1.0)
    ask(site, duration=4.0, machines=["vm of worker-0"])
    wait_for_end(site, EACH_SECONDS + 4.0)


@pytest.mark.parametrize("fault", ["down", "lost"])
def test_an_order_without_an_answer_is_given_again(site, fault):
    site.machines.faults = [fault] * 2
    ask(site)
    wait_for_end(site, EACH_SECONDS * (NODES + 2))
    assert site.ledger.problems == []


def test_a_successor_goes_on_and_never_takes_too_many_down(site):
    ask(site, at_once=1)
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
    wait_for_end(site)
    assert len(site.machines.done) == NODES
    assert site.ledger.problems == []


def test_a_wave_outlives_outages_of_store_and_service(site):
    ask(site)
    site.advance(1.0)
    site.store.is_down = site.machines.is_down = True
    site.advance(2.0)
    site.store.is_down = site.machines.is_down = False
    wait_for_end(site, EACH_SECONDS * (NODES + 2))
    assert site.ledger.problems == []


def test_a_vm_that_is_gone_or_not_of_the_wave_does_not_hold_it_up(site):
    ask(site)
    site.machines.machines_by_wave[1].discard("vm of worker-1")
    for entry in site.entry_by_name.values():
        names = (*site.machines.vm_by_name, "vm that left")
        entry.follower.state.wave_by_number[1] = Wave(1, names, 60.0, 1)
    wait_for_end(site)
    assert ("vm that left") not in {name for _, name in site.machines.done}
    assert len(site.machines.done) == NODES - 1


def test_a_wave_that_was_completed_is_left_alone_by_a_successor(site):
    ask(site)
    wait_for_end(site)
    site.advance(1.0)
    orders = len(site.machines.orders)
    site.kill_entry(site.leader.name)
    site.advance(10.0)
    assert len(site.machines.orders) == orders


def test_a_store_that_fails_the_claim_lets_nothing_go_down(site):
    site.advance(3.0)
    ask(site)
    failure = Failure(PlatformUnavailable("down"))
    site.leader.dispatcher.maintenance._store.transact = lambda *a, **o: failure
    site.advance(4.0)
    assert site.machines.done == set()
