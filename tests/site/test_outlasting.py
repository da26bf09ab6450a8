"""The log tells which runs go on after the end of their jobs, and what keeps them."""

import pytest
from returns.result import Failure

from bergamotshore.core.work.model import Step
from bergamotshore.exceptions import WorkerFailure
from tests.site.test_downtime import find_lines, find_node_running

# Runs are reported 2 s after the end of their job, by a check made each 0.2 s.
REPORT_SECONDS = 2.5


def lose_stops(simulation, node, runner):
    runner.stop = lambda task, number, fence: Failure(
        WorkerFailure("silent", is_certain=False)
    )


def kill_node(simulation, node, runner):
    simulation.kill_node(node)


def cut_worker(simulation, node, runner):
    runner.is_cut = True


# Guards against a log that does not tell a cancelled job's run that goes on from one
# whose end was left out by the limit on lines.
@pytest.mark.parametrize(
    ("keep", "reason"),
    [
        (lose_stops, "stopping"),
        (kill_node, "node-away"),
        (cut_worker, "worker-silent"),
    ],
)
def test_a_run_that_outlasts_its_cancelled_job_is_logged_with_the_reason(
    simulation, keep, reason
):
    simulation.submit("job", (Step(tasks=1, cpu=1000, is_lasting=True),))
    simulation.advance(1.0)
    node, runner = find_node_running(simulation, "job.0.0.0")
    keep(simulation, node, runner)
    simulation.cancel("job")
    simulation.advance(REPORT_SECONDS)
    (line,) = find_lines(simulation, "run-outlasting")
    assert "subject=job.0.0.0" in line
    assert f"node={node}" in line
    assert f"why={reason}" in line
    simulation.advance(8.0)
    if reason != "stopping":
        assert "subject=job.0.0.0" in find_lines(simulation, "run-gone")[0]


def test_a_run_that_is_stopped_in_time_is_not_logged(simulation):
    simulation.submit("job", (Step(tasks=3, cpu=1000, is_lasting=True),))
    simulation.advance(1.0)
    simulation.cancel("job")
    simulation.advance(REPORT_SECONDS)
    assert not find_lines(simulation, "run-outlasting")
