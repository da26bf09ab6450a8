"""Silence or a slow report of a worker is no proof that its work is over."""

import pytest

from bergamotshore.core.work.model import Step
from bergamotshore.generated.messages import RunReport
from tests.site.test_late_ends import LEASE_EXPIRY_SECONDS

LONG_RUNNING = Step(tasks=2, cpu=3000, memory=100, is_lasting=True)
SPECULATIVE = Step(tasks=2, cpu=3000, memory=100, is_speculative=True)
FINITE = Step(tasks=2, cpu=3000, memory=100, estimate=60.0)
# Longer than any time after which a run counts as stuck.
SLOW_SECONDS = 8.0


def withhold_reports(node):
    """Keep the reports of a node from its entries; heartbeats still arrive."""
    for stream in node.streams:
        send = stream.send
        stream.send = lambda message, send=send: (
            isinstance(message, RunReport) or send(message)
        )


def find_busy_node(simulation):
    return next(n for n, r in simulation.runner_by_node.items() if r.run_by_task)


# Guards against starting work again elsewhere because the node that runs it is slow to
# report, though it renews the lease.
@pytest.mark.parametrize("step", [LONG_RUNNING, FINITE])
def test_work_of_a_node_that_is_slow_to_report_is_not_started_again(simulation, step):
    for runner in simulation.runner_by_node.values():
        runner.percent = 40
    simulation.submit("job1", (step,))
    simulation.advance(1.0)
    for node in simulation.node_by_name.values():
        withhold_reports(node)
    simulation.advance(SLOW_SECONDS)
    assert len(simulation.ledger.starts) == 2
    assert simulation.ledger.stops == []


# Guards against starting work again elsewhere while a silent worker still holds it.
@pytest.mark.parametrize("step", [LONG_RUNNING, FINITE])
def test_work_of_a_worker_that_is_silent_for_a_moment_is_kept(simulation, step):
    simulation.submit("job1", (step,))
    simulation.advance(1.0)
    for runner in simulation.runner_by_node.values():
        runner.is_cut = True
    simulation.advance(4.0)
    for runner in simulation.runner_by_node.values():
        runner.is_cut = False
    simulation.advance(2.0)
    assert len(simulation.ledger.starts) == 2
    assert simulation.ledger.stops == []


# Guards against giving up a job because its workers were silent until their leases
# expired, as if its tasks had failed or had crashed them.
@pytest.mark.parametrize("step", [LONG_RUNNING, FINITE, SPECULATIVE])
@pytest.mark.parametrize("silence", ["worker", "node"])
def test_job_whose_workers_fall_silent_again_and_again_is_not_given_up(
    simulation, step, silence
):
    simulation.submit("job1", (step,))
    for _ in range(6):
        simulation.advance(2.0)
        node = find_busy_node(simulation)
        if silence == "worker":
            simulation.runner_by_node[node].is_cut = True
        else:
            for entry in simulation.entry_by_name:
                simulation.disconnect(entry, node)
        simulation.advance(LEASE_EXPIRY_SECONDS)
        simulation.runner_by_node[node].is_cut = False
        simulation.heal()
    simulation.advance(2.0)
    assert simulation.get_state("job1") == "running"
    assert len(simulation.running) == 2
    assert simulation.ledger.problems == []
