"""Durations learned, and figures rejected, by the scheduling entry itself."""

import math

import pytest

from bergamotshore.core.work.cluster import ClusterState, RunOutcome
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


@pytest.mark.parametrize("part", ["durations", "tails", "backlog"])
def test_an_error_in_what_is_learned_loses_no_other_part(simulation, monkeypatch, part):
    simulation.allows_errors = True
    dispatcher = switch_on(simulation)
    dispatcher.scheduling = Scheduling(durations=True, tails=True, admission=True)
    cluster, called = dispatcher.cluster, set()
    trackers = {
        "durations": cluster.durations,
        "tails": cluster.tails,
        "backlog": dispatcher._backlog,
    }
    for name, tracker in trackers.items():

        def record(*arguments, name=name):
            called.add(name)
            if name == part:
                raise ValueError(name)

        monkeypatch.setattr(tracker, "record_outcome", record)
    finish_job(simulation, "job1")
    assert simulation.get_state("job1") == "done"
    assert called == set(trackers)
    assert sum("event=run-ended" in line for line in simulation.lines) == 3
    count = dispatcher.registry.get_count
    assert count("runs_ended_total", outcome="done") == 3
    assert count("contained_errors_total", part="outcomes") == 3


@pytest.mark.parametrize(("is_on", "counted"), [(True, 7.0), (False, 0.0)])
def test_unneeded_copies_are_counted_only_with_tails(
    simulation, monkeypatch, is_on, counted
):
    dispatcher = switch_on(simulation)
    dispatcher.scheduling = Scheduling(durations=True, tails=is_on)
    tails = dispatcher.cluster.tails
    monkeypatch.setattr(tails, "record_outcome", lambda outcome: ("stands-still", 7.0))
    run = build_run(STEPS[0])
    dispatcher.cluster.new_outcomes.append(RunOutcome("node-0", run, "stopped", 5.0))
    simulation.advance(0.5)
    name = "run_copies_unneeded_core_seconds_total"
    assert dispatcher.registry.get_count(name, sign="stands-still") == counted


def test_durations_are_learned_only_if_switched_on():
    assert not ClusterState(lambda name: None).durations.is_enabled


def test_nothing_is_learned_by_default(simulation):
    finish_job(simulation, "job1")
    assert simulation.leader.dispatcher.cluster.durations.kinds == 0
