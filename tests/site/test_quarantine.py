"""Quarantine of workers does not keep long-running tasks from running."""

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.suspicion import MAX_QUARANTINE_SECONDS, WorkerRecord
from tests.site.test_promises import LONG_RUNNING

# A long-running task has to run again this long after its last run, in seconds.
RESTART_SECONDS = 6.0
FULL_WORKER = (Step(tasks=1, cpu=16000, memory=100, is_lasting=True),)


def quarantine(simulation, nodes):
    """Put workers in quarantine for the longest time."""
    until = simulation.clock.now() + MAX_QUARANTINE_SECONDS
    suspicion = simulation.leader.dispatcher.suspicion
    for node in nodes:
        suspicion.record_by_node[node] = WorkerRecord(quarantined_until=until)


# Guards against a long-running task that does not run although a worker has room: the
# only ones with room are in quarantine, which lasts up to 12 s.
def test_a_long_running_task_is_started_in_quarantine_if_nobody_else_has_room(
    simulation,
):
    for number in range(2):
        simulation.submit(f"full{number}", FULL_WORKER)
    simulation.advance(0.5)
    (free,) = [n for n, r in simulation.runner_by_node.items() if not r.run_by_task]
    quarantine(simulation, [free])
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(RESTART_SECONDS)
    assert len(simulation.runner_by_node[free].run_by_task) == 2
    assert simulation.ledger.problems == []


def test_a_worker_in_quarantine_is_left_alone_while_another_one_has_room(simulation):
    quarantine(simulation, ["node-0", "node-1"])
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(RESTART_SECONDS)
    assert {worker for _, worker in simulation.running} == {"worker-2"}


def test_other_tasks_wait_for_the_end_of_a_quarantine(simulation):
    quarantine(simulation, simulation.runner_by_node)
    simulation.submit("job")
    simulation.advance(RESTART_SECONDS)
    assert simulation.running == []
