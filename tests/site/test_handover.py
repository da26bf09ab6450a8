"""Paused, delayed or replaced processes don't act on what was allowed before."""

from bergamotshore.core.work.leases import LEASE_SECONDS
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.site import Wave
from tests.fakes import ManualExecutor

TASKS = (Step(tasks=3, cpu=4000, memory=100, per_worker=1),)


class OrdersHeld(ManualExecutor):
    """Executor that holds maintenance orders back and runs other calls at once."""

    def submit(self, function, kind, *arguments):
        if kind == "ordered":
            return super().submit(function, kind, *arguments)
        return function(kind, *arguments)


# Guards against an entry that sends a maintenance order after its successor has sent
# its own, because calls queued before it took long.
def test_delayed_maintenance_order_of_a_former_scheduler_is_not_sent(simulation):
    former = simulation.leader
    held = former.dispatcher.maintenance._calls = OrdersHeld()
    machines = simulation.machines
    wave = Wave(1, tuple(machines.vm_by_name), 60.0, 1)
    machines.machines_by_wave[1] = set(wave.machines)
    for entry in simulation.entry_by_name.values():
        entry.follower.state.wave_by_number[1] = wave
    simulation.advance(3.0)
    assert len(held.pending_calls) == 1
    assert machines.orders == []
    simulation.paused.add(former.name)
    simulation.advance(3 * LEASE_SECONDS)
    assert machines.orders
    simulation.paused.clear()
    held.run_all()
    simulation.advance(1.0)
    assert {holder for _, _, holder, _ in machines.orders} != {former.name}
    assert simulation.ledger.problems == []


# Guards against a node process that sends an order after its successor on the same
# machine has reported that the order was never executed.
def test_delayed_order_of_a_former_node_process_is_not_executed(simulation):
    held = []
    for node in simulation.node_by_name.values():
        node.starts = ManualExecutor()
        held.append(node.starts)
    simulation.submit("job1", TASKS)
    simulation.advance(0.3)
    assert all(len(executor.pending_calls) == 1 for executor in held)
    for name in list(simulation.node_by_name):
        simulation.start_node(name)
    simulation.advance(1.0)
    assert len(simulation.running) == 3
    for executor in held:
        executor.run_all()
    simulation.advance(1.0)
    assert len(simulation.ledger.starts) == 3
    assert simulation.ledger.problems == []
