"""Entries that get no answers from their feeds stop starting tasks in time."""

import pytest

from bergamotshore.core.work.model import Step
from tests.site.simulation import CANCEL_SECONDS, EVACUATE_SECONDS

# Fills the three workers of the small site.
FULL_SITE_STEPS = (Step(tasks=3, cpu=16000, memory=100),)


def list_running(simulation, job_id):
    """Return the running tasks of a job."""
    return [task for task, _ in simulation.running if task.startswith(job_id)]


def finish_job(simulation, job_id):
    """Finish the running tasks of a job, which frees capacity for others."""
    for runner in simulation.runner_by_node.values():
        for task in list(runner.run_by_task):
            if task.startswith(job_id):
                runner.finish(task, "done")


# Guards against an entry that starts tasks of a cancelled job while its feed of jobs
# gets no answers.
def test_without_the_feed_of_jobs_no_task_of_a_cancelled_job_is_started(simulation):
    simulation.advance(1.0)
    simulation.submit("first", FULL_SITE_STEPS)
    simulation.advance(1.0)
    simulation.submit("second", FULL_SITE_STEPS)
    simulation.advance(1.0)
    assert len(list_running(simulation, "first")) == 3
    simulation.without_feeds.update(simulation.entry_by_name)
    simulation.rows.cancel("queue", "second", simulation.clock.now() + 2.0).unwrap()
    simulation.advance(CANCEL_SECONDS)
    finish_job(simulation, "first")
    simulation.advance(3.0)
    assert list_running(simulation, "second") == []


# Guards against an entry that starts tasks in a closed data centre while it can't read
# the operator's rows.
def test_without_the_operators_rows_no_task_is_started_in_a_closed_data_centre(
    simulation,
):
    simulation.advance(1.0)
    simulation.submit("first", FULL_SITE_STEPS)
    simulation.advance(1.0)
    simulation.submit("second", FULL_SITE_STEPS)
    simulation.advance(1.0)
    state = simulation.leader.follower.state
    simulation.leader.is_following = lambda: False
    simulation.advance(EVACUATE_SECONDS)
    finish_job(simulation, "first")
    simulation.advance(2.0)
    assert state.closed_zones == set()
    assert list_running(simulation, "second") == []


@pytest.mark.parametrize("feeds", ["jobs", "operator"])
def test_starts_resume_as_soon_as_the_feeds_answer(simulation, feeds):
    simulation.advance(1.0)
    leader = simulation.leader
    if feeds == "jobs":
        simulation.without_feeds.add(leader.name)
    else:
        leader.is_following = lambda: False
    simulation.advance(EVACUATE_SECONDS)
    simulation.submit("job", FULL_SITE_STEPS)
    simulation.advance(1.0)
    assert list_running(simulation, "job") == []
    simulation.without_feeds.clear()
    leader.is_following = lambda: True
    simulation.advance(1.0)
    assert len(list_running(simulation, "job")) == 3
