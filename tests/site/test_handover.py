"""Paused, delayed or replaced processes don't act on what was allowed before."""

import pytest
from returns.result import Failure

from bergamotshore.core.work.leases import LEASE_SECONDS
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.site import SiteConfiguration, Wave
from bergamotshore.exceptions import WorkerFailure
from tests.fakes import ManualExecutor
from tests.site.simulation import EVACUATE_SECONDS, Simulation
from tests.site.test_late_ends import LEASE_EXPIRY_SECONDS

# One of this many answers is lost.
LOST_INTERVAL = 7
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


# Guards against a node that was paused until its renewal grant had expired and then
# carries out the orders that waited for it, or extends the lease of its worker.
@pytest.mark.parametrize("seconds", [2.0, LEASE_EXPIRY_SECONDS])
def test_resumed_node_does_not_act_on_an_expired_grant(simulation, seconds):
    node, runner = "node-0", simulation.runner_by_node["node-0"]
    lease_end_ms = runner.lease_end_ms
    simulation.paused.add(node)
    simulation.submit("job1", TASKS)
    simulation.advance(seconds)
    # The entries get no further, so that no message renews the grant.
    simulation.paused.update(simulation.entry_by_name)
    simulation.paused.discard(node)
    simulation.advance(0.5)
    assert "worker-0" not in {worker for _, _, worker in simulation.ledger.starts}
    if seconds == LEASE_EXPIRY_SECONDS:
        assert runner.lease_end_ms == lease_end_ms
    simulation.paused.clear()
    simulation.advance(LEASE_EXPIRY_SECONDS)
    assert len(simulation.running) == 3
    assert simulation.ledger.problems == []


# Guards against processes that forget, when they start again, that a data centre was
# closed or that a worker drains.
@pytest.mark.parametrize("restarted", ["entries", "nodes", "all"])
def test_restarted_processes_use_nothing_that_was_withdrawn_before(clock, restarted):
    simulation = Simulation(clock, nodes=4, has_operator=True)
    simulation.advance(1.0)
    simulation.operator.close_or_open_zone("zone-1")
    simulation.runner_by_node["node-0"].is_draining = True
    simulation.advance(EVACUATE_SECONDS)
    if restarted in ("entries", "all"):
        for name in list(simulation.entry_by_name):
            simulation.start_entry(name)
    if restarted in ("nodes", "all"):
        for name in list(simulation.node_by_name):
            simulation.start_node(name)
    simulation.submit("job1", TASKS)
    simulation.advance(LEASE_EXPIRY_SECONDS)
    assert {worker for _, worker in simulation.running} == {"worker-2"}
    assert simulation.ledger.problems == []


# Guards against an entry that serves a queue again which was withdrawn while it was
# not running.
def test_restarted_entry_does_not_know_a_queue_that_was_withdrawn(clock):
    simulation = Simulation(clock, has_operator=True)
    simulation.advance(1.0)
    configuration = simulation.configuration
    for name in list(simulation.entry_by_name):
        simulation.kill_entry(name)
    simulation.operator.declare(
        SiteConfiguration(configuration.version + 1, configuration.queues[:1])
    )
    for name in simulation.entry_names:
        simulation.start_entry(name)
    for entry in simulation.entry_by_name.values():
        assert not entry.follower.state.is_loaded
    simulation.advance(1.0)
    for entry in simulation.entry_by_name.values():
        queues = entry.follower.state.configuration.queues
        assert [queue.name for queue in queues] == ["queue"]


class AnswersLost:
    """Runner that executes calls but loses the first and each seventh answer.

    :param runner: ``RunnerStandIn``.
    :param calls: Names of its calls that lose answers.
    """

    def __init__(self, runner, calls):
        self._runner = runner
        self._counts = dict.fromkeys(calls, 0)

    def __getattr__(self, name):
        function = getattr(self._runner, name)
        return self._lose(name, function) if name in self._counts else function

    def _lose(self, name, function):
        def call(*arguments):
            outcome = function(*arguments)
            self._counts[name] += 1
            if self._counts[name] % LOST_INTERVAL == 1:
                return Failure(WorkerFailure("answer lost", is_certain=False))
            return outcome

        return call


# Guards against running work again, or giving another state, after an answer of a
# worker was lost that had carried out the call.
@pytest.mark.parametrize("call", ["start", "stop", "throttle", "renew_lease"])
def test_work_is_not_repeated_when_answers_of_its_worker_are_lost(simulation, call):
    for node in simulation.node_by_name.values():
        runner = AnswersLost(node.runner, [call])
        node.run_manager.runner = node.run_manager._speed_limits._runner = runner
    simulation.submit("job1", TASKS)
    simulation.submit("job2", TASKS)
    simulation.advance(3.0)
    assert len(simulation.running) == 6
    simulation.cancel("job2")
    simulation.advance(3.0)
    for runner in simulation.runner_by_node.values():
        for task in list(runner.run_by_task):
            runner.finish(task, "done")
    simulation.advance(3.0)
    assert simulation.get_state("job1") == "done"
    assert simulation.get_state("job2") == "cancelled"
    assert len(simulation.ledger.starts) == 6
    assert all(not runner.ends for runner in simulation.runner_by_node.values())
    assert simulation.ledger.problems == []
