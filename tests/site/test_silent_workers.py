"""Workers that answer no call of their node, while the node lives on."""

import pytest
from returns.result import Failure

from bergamotshore.exceptions import WorkerFailure
from standins.site import LONGEST_HOLD_SECONDS
from tests.site.test_promises import LONG_RUNNING

# Time of silence after which the lease isn't extended, lease, drift and a new start.
RECOVERY_SECONDS = 3.0 + LONGEST_HOLD_SECONDS * 1.06 + 1.0


def cut(runner):
    """Let a worker receive no call."""
    runner.is_cut = True


def mute(runner):
    """Let a worker carry out renewals of its lease without an answer."""
    renew_lease = runner.renew_lease

    def renew_without_answer(*arguments):
        renew_lease(*arguments)
        return Failure(WorkerFailure("silent", is_certain=False))

    runner.renew_lease = renew_without_answer


def accept_no_connection(runner):
    """Let connecting to a worker take too long; its tasks go on."""
    runner.renew_lease = lambda *_: Failure(
        WorkerFailure("timed out connecting to the server", is_certain=True)
    )


# Guards against taking a worker whose connections are not accepted in time for one that
# is gone: its tasks were started elsewhere while they went on there.
def test_tasks_of_a_worker_that_accepts_no_connection_wait_for_the_end_of_its_lease(
    simulation,
):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    node = next(n for n, r in simulation.runner_by_node.items() if r.run_by_task)
    starts = len(simulation.ledger.starts)
    accept_no_connection(simulation.runner_by_node[node])
    simulation.advance(LONGEST_HOLD_SECONDS - 2.0)
    assert len(simulation.ledger.starts) == starts
    simulation.advance(LONGEST_HOLD_SECONDS * 0.06 + 3.0)
    assert simulation.ledger.problems == []
    assert sorted(task for _, task in simulation.ledger.live) == [
        "job.0.0.0",
        "job.0.0.1",
    ]


# Guards against calls without an answer that extend the lease of a worker, or the time
# for which it may have one, for as long as its node makes them: its tasks never ran
# again elsewhere.
@pytest.mark.parametrize("silence", [cut, mute])
def test_tasks_of_a_worker_that_stays_silent_run_again_elsewhere(simulation, silence):
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    node = next(n for n, r in simulation.runner_by_node.items() if r.run_by_task)
    silence(simulation.runner_by_node[node])
    simulation.advance(RECOVERY_SECONDS)
    nodes_by_task = {}
    for (name, task), _ in simulation.ledger.live.items():
        nodes_by_task.setdefault(task, []).append(name)
    silent_worker = simulation.runner_by_node[node].name
    assert sorted(nodes_by_task) == ["job.0.0.0", "job.0.0.1"]
    assert all(silent_worker not in names for names in nodes_by_task.values())
    assert simulation.ledger.problems == []
