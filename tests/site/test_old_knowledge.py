"""Entries that get no answers from their feeds stop starting tasks in time."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.world import CANCEL_SECONDS, EVACUATE_SECONDS

# Fills the three workers of the small site.
FULL_SITE_STEPS = (Step(tasks=3, cpu=16000, memory=100),)


def list_running(world, job_id):
    """Return the running tasks of a job."""
    return [task for task, _ in world.running if task.startswith(job_id)]


def finish_job(world, job_id):
    """Finish the running tasks of a job, which frees capacity for others."""
    for runner in world.runner_by_node.values():
        for task in list(runner.run_by_task):
            if task.startswith(job_id):
                runner.finish(task, "done")


# Guards against an entry that starts tasks of a cancelled job while its feed of jobs
# gets no answers.
def test_without_the_feed_of_jobs_no_task_of_a_cancelled_job_is_started(world):
    world.advance(1.0)
    world.submit("first", FULL_SITE_STEPS)
    world.advance(1.0)
    world.submit("second", FULL_SITE_STEPS)
    world.advance(1.0)
    assert len(list_running(world, "first")) == 3
    world.without_feeds.update(world.entry_by_name)
    world.rows.cancel("queue", "second", world.clock.now() + 2.0).unwrap()
    world.advance(CANCEL_SECONDS)
    finish_job(world, "first")
    world.advance(3.0)
    assert list_running(world, "second") == []


# Guards against an entry that starts tasks in a closed data centre while it can't read
# the operator's rows.
def test_without_the_operators_rows_no_task_is_started_in_a_closed_data_centre(
    world,
):
    world.advance(1.0)
    world.submit("first", FULL_SITE_STEPS)
    world.advance(1.0)
    world.submit("second", FULL_SITE_STEPS)
    world.advance(1.0)
    state = world.leader.follower.state
    world.leader.is_following = lambda: False
    world.advance(EVACUATE_SECONDS)
    finish_job(world, "first")
    world.advance(2.0)
    assert state.closed_zones == set()
    assert list_running(world, "second") == []


@pytest.mark.parametrize("feeds", ["jobs", "operator"])
def test_starts_resume_as_soon_as_the_feeds_answer(world, feeds):
    world.advance(1.0)
    leader = world.leader
    if feeds == "jobs":
        world.without_feeds.add(leader.name)
    else:
        leader.is_following = lambda: False
    world.advance(EVACUATE_SECONDS)
    world.submit("job", FULL_SITE_STEPS)
    world.advance(1.0)
    assert list_running(world, "job") == []
    world.without_feeds.clear()
    leader.is_following = lambda: True
    world.advance(1.0)
    assert len(list_running(world, "job")) == 3
