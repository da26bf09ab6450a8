"""Durations learned, and figures rejected, by the scheduling entry itself."""

import math

from bergamotshore.core.work.cluster import RunOutcome
from bergamotshore.core.work.model import Step
from bergamotshore.generated.settings import Scheduling
from tests.site.test_durations import build_run

STEPS = (Step(tasks=3, cpu=400, memory=100, estimate=5.0),)


def switch_on(simulation):
    dispatcher = simulation.leader.dispatcher
    dispatcher.scheduling = Scheduling(durations=True, tails=True)
    dispatcher.cluster.durations.is_enabled = True
    return dispatcher


def finish_job(simulation, job):
    simulation.submit(job, STEPS)
    simulation.advance(1.5)
    simulation.finish_all()
    simulation.advance(0.5)


def test_the_scheduling_entry_learns_durations_and_its_successor_begins_anew(
    simulation,
):
    dispatcher = switch_on(simulation)
    for number in range(4):
        finish_job(simulation, f"job{number}")
    learned = dispatcher.cluster.durations.get_estimate("queue", STEPS[0])
    assert learned.samples > 0
    assert learned.expected < 3.0
    assert "task_duration_error_seconds_count" in dispatcher.registry.render()
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(8.0)
    successor = switch_on(simulation)
    assert successor is not dispatcher
    declared = successor.cluster.durations.get_estimate("queue", STEPS[0])
    assert (declared.expected, declared.high) == (5.0, math.inf)
    finish_job(simulation, "later")
    assert simulation.get_state("later") == "done"


def test_a_bad_figure_is_logged_and_the_job_is_done_all_the_same(simulation):
    dispatcher = switch_on(simulation)
    run = build_run(STEPS[0], started_at=1e30)
    run.first_reported_at = 1e30
    dispatcher.cluster.new_outcomes.append(RunOutcome("node-0", run, "done", 5.0))
    finish_job(simulation, "job1")
    assert simulation.get_state("job1") == "done"
    count = dispatcher.registry.get_count
    assert count("task_durations_unusable_total", reason="clock") == 1
    assert count("contained_errors_total", part="outcomes") == 0


def test_nothing_is_learned_by_default(simulation):
    finish_job(simulation, "job1")
    assert simulation.leader.dispatcher.cluster.durations.kinds == 0
