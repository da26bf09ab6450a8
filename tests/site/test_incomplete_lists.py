"""Lists of runs that are cut off because a worker has many ends to list."""

import pytest

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.presence import ReportedRuns
from standins.site import MAX_LISTED_ENDS

TAKEOVER_SECONDS = 5.0


@pytest.mark.parametrize("is_complete, may_include", [(True, False), (False, True)])
def test_absence_from_a_list_proves_nothing_unless_the_list_is_complete(
    is_complete, may_include
):
    runs = ReportedRuns(frozenset({("job.0.0.0", 1)}), is_complete)
    assert runs.may_include(("job.0.0.0", 1))
    assert runs.may_include(("job.0.0.1", 1)) == may_include


# Guards against running tasks again whose ends a worker could not list yet, because
# nobody acknowledged the ones before them while the scheduling entry was away.
def test_ends_beyond_the_first_list_are_not_taken_for_absent_runs_after_a_takeover(
    simulation,
):
    tasks = MAX_LISTED_ENDS + 100
    node = next(iter(simulation.runner_by_node))
    others = [name for name in simulation.runner_by_node if name != node]
    for other in others:
        simulation.kill_node(other)
    simulation.advance(2.0)
    simulation.submit("job", [Step(tasks=tasks, cpu=1, memory=1, estimate=1.0)])
    simulation.advance(2.0)
    assert len(simulation.running) == tasks
    simulation.kill_entry(simulation.leader.name)
    simulation.finish_all()
    simulation.advance(2 * TAKEOVER_SECONDS)
    assert simulation.leader is not None
    assert len(simulation.ledger.starts) == tasks
    assert simulation.get_state("job") == "done"
    assert simulation.ledger.problems == []
