"""What an entry whose feeds are silent starts, and until when."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.world import CANCEL_SECONDS, EVACUATE_SECONDS

# All that the three workers of the small site have room for.
FULL = (Step(tasks=3, cpu=16000, memory=100),)


def list_starts(world, job_id):
    """Return the tasks of a job that run."""
    return [task for task, _ in world.running if task.startswith(job_id)]


def free_room(world, job_id):
    """End the tasks of a job, so that others find room."""
    for runner in world.runner_by_node.values():
        for task in list(runner.run_by_task):
            if task.startswith(job_id):
                runner.finish(task, "done")


# Guards against tasks of a cancelled job started by an entry whose feed of jobs got no
# answer.
def test_a_silent_feed_starts_no_task_of_a_cancelled_job(world):
    world.advance(1.0)
    world.submit("first", FULL)
    world.advance(1.0)
    world.submit("second", FULL)
    world.advance(1.0)
    assert len(list_starts(world, "first")) == 3
    world.without_feeds.update(world.entry_by_name)
    world.rows.cancel("queue", "second", world.clock.now() + 2.0).unwrap()
    world.advance(CANCEL_SECONDS)
    free_room(world, "first")
    world.advance(3.0)
    assert list_starts(world, "second") == []


# Guards against tasks started in a closed data centre by an entry that can not read
# what the operator declared.
def test_an_entry_without_the_operators_rows_starts_nothing_in_a_closed_data_centre(
    world,
):
    world.advance(1.0)
    world.submit("first", FULL)
    world.advance(1.0)
    world.submit("second", FULL)
    world.advance(1.0)
    state = world.leader.follower.state
    world.leader.is_following = lambda: False
    world.advance(EVACUATE_SECONDS)
    free_room(world, "first")
    world.advance(2.0)
    assert state.closed_zones == set()
    assert list_starts(world, "second") == []


@pytest.mark.parametrize("feeds", ["jobs", "operator"])
def test_starts_go_on_as_soon_as_the_feeds_answer(world, feeds):
    world.advance(1.0)
    leader = world.leader
    if feeds == "jobs":
        world.without_feeds.add(leader.name)
    else:
        leader.is_following = lambda: False
    world.advance(EVACUATE_SECONDS)
    world.submit("job", FULL)
    world.advance(1.0)
    assert list_starts(world, "job") == []
    world.without_feeds.clear()
    leader.is_following = lambda: True
    world.advance(1.0)
    assert len(list_starts(world, "job")) == 3
