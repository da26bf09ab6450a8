"""What an entry whose feeds are silent starts, and until when."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import CANCEL_SECONDS, EVACUATE_SECONDS

# All that the three workers of the small site have room for.
FULL = (Step(tasks=3, cpu=16000, memory=100),)


def list_starts(simulation, job_id):
    """Return the tasks of a job that run."""
    return [task for task, _ in simulation.running if task.startswith(job_id)]


def free_room(simulation, job_id):
    """End the tasks of a job, so that others find room."""
    for runner in simulation.runner_by_node.values():
        for task in list(runner.run_by_task):
            if task.startswith(job_id):
                runner.finish(task, "done")


# Guards against tasks of a cancelled job started by an entry whose feed of jobs got no
# answer.
def test_a_silent_feed_starts_no_task_of_a_cancelled_job(simulation):
    simulation.advance(1.0)
    simulation.submit("first", FULL)
    simulation.advance(1.0)
    simulation.submit("second", FULL)
    simulation.advance(1.0)
    assert len(list_starts(simulation, "first")) == 3
    simulation.without_feeds.update(simulation.entry_by_name)
    simulation.rows.cancel("queue", "second", simulation.clock.now() + 2.0).unwrap()
    simulation.advance(CANCEL_SECONDS)
    free_room(simulation, "first")
    simulation.advance(3.0)
    assert list_starts(simulation, "second") == []


# Guards against tasks started in a closed data centre by an entry that can not read
# what the operator declared.
def test_an_entry_without_the_operators_rows_starts_nothing_in_a_closed_data_centre(
    simulation,
):
    simulation.advance(1.0)
    simulation.submit("first", FULL)
    simulation.advance(1.0)
    simulation.submit("second", FULL)
    simulation.advance(1.0)
    state = simulation.leader.follower.state
    simulation.leader.is_following = lambda: False
    simulation.advance(EVACUATE_SECONDS)
    free_room(simulation, "first")
    simulation.advance(2.0)
    assert state.closed_zones == set()
    assert list_starts(simulation, "second") == []


@pytest.mark.parametrize("feeds", ["jobs", "operator"])
def test_starts_go_on_as_soon_as_the_feeds_answer(simulation, feeds):
    simulation.advance(1.0)
    leader = simulation.leader
    if feeds == "jobs":
        simulation.without_feeds.add(leader.name)
    else:
        leader.is_following = lambda: False
    simulation.advance(EVACUATE_SECONDS)
    simulation.submit("job", FULL)
    simulation.advance(1.0)
    assert list_starts(simulation, "job") == []
    simulation.without_feeds.clear()
    leader.is_following = lambda: True
    simulation.advance(1.0)
    assert len(list_starts(simulation, "job")) == 3
