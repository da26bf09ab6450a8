"""Tails: three tasks in a hundred take seven times as long, or a place is slow."""

import math
import zlib
from dataclasses import dataclass

import pytest

from bergamotshore.core.work import decisions, planner
from bergamotshore.core.work.cluster import ClusterState, RunOutcome
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.durations import DurationEstimate, SampleAccepted
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.places import (
    Place,
    PlaceTracker,
    Speed,
    judge_neighbours,
)
from bergamotshore.core.work.planner import plan_copies, plan_starts
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.tails import MAX_TASKS, PAST_HIGH, TailTracker, order_tasks
from bergamotshore.core.work.waiting import PlanView, list_waiting
from bergamotshore.generated.settings import Scheduling
from bergamotshore.ports.runner import WorkerIncarnation
from tests.site.burst import REPORT_INTERVAL_SECONDS, TASK_SECONDS, BurstSimulation
from tests.site.simulation import SERVICE, build_configuration
from tests.site.workers import build_best_effort_step, build_worker, place_run

TAILS = Scheduling(durations=True, tails=True)
TAIL_FACTOR = 7.0
SLOWDOWN = 6.5
LARGER = 4.0
USUAL = DurationEstimate(1.0, 1.5, 50, "queue")
# A task is late after up to one and a half durations, and its copy takes another one;
# start, detection and end each wait for a report.
MAX_COPIED_SECONDS = 2.5 * TASK_SECONDS + 3 * REPORT_INTERVAL_SECONDS


def get_size_with_tail(name):
    """Return the size of a task: three in a hundred are seven times as long."""
    return TAIL_FACTOR if zlib.crc32(name.encode()) % 100 < 3 else 1.0


@dataclass(frozen=True, slots=True)
class KnownDurations:
    """Estimates that tell the same for every task."""

    estimate: DurationEstimate

    def get_estimate(self, queue, step, job_key=None):
        return self.estimate


def run_single_tasks(slowdown_by_node, jobs=120, **options):
    """Submit two jobs of one task each 0.4 s; return simulation and job durations."""
    burst = BurstSimulation(slowdown_by_node, is_speculative=True, **options)
    submitted_at_by_job = {}
    while len(burst.finished_at_by_job) < jobs:
        for _ in range(2 if len(submitted_at_by_job) < jobs else 0):
            name = f"job{len(submitted_at_by_job)}"
            burst.add_job(name, tasks=1)
            submitted_at_by_job[name] = burst.now
        burst.step()
    durations = [
        burst.finished_at_by_job[name] - at for name, at in submitted_at_by_job.items()
    ]
    return burst, durations


def test_tails_of_three_in_a_hundred_are_not_copied_in_vain():
    """The tasks themselves are long: copies would take as long and cost room."""
    burst, durations = run_single_tasks(
        {}, scheduling=TAILS, get_size=get_size_with_tail
    )
    assert sum(1 for seconds in durations if seconds > 5.0) >= 3
    assert len(burst.copy_signs) <= 2


def test_tails_from_a_slow_place_are_copied():
    """Jobs of one task have no siblings to compare; their neighbours show the place."""
    _, without_tails = run_single_tasks({"node-1": SLOWDOWN})
    burst, durations = run_single_tasks({"node-1": SLOWDOWN}, scheduling=TAILS)
    assert set(burst.copy_signs) == {PAST_HIGH}
    assert max(without_tails) > MAX_COPIED_SECONDS
    assert max(durations) <= MAX_COPIED_SECONDS
    assert burst.unneeded_core_seconds > 0.0


def test_tails_are_copied_only_if_switched_on():
    burst, _ = run_single_tasks(
        {"node-1": SLOWDOWN}, scheduling=Scheduling(durations=True)
    )
    assert burst.copy_signs == []


def test_tails_do_not_lock_learning_when_tasks_get_longer_everywhere():
    """From a job on, all tasks are four times as long, so all places look slow."""

    def get_size(name):
        number = int(name.split(".")[0].removeprefix("job"))
        return LARGER if number >= 150 else 1.0

    burst, _ = run_single_tasks({}, jobs=350, scheduling=TAILS, get_size=get_size)
    step = Step(tasks=1, cpu=1600, estimate=TASK_SECONDS)
    estimate = burst.cluster.durations.get_estimate("queue", step)
    assert estimate.expected == pytest.approx(LARGER * TASK_SECONDS, rel=0.25)
    # Those in flight when the first one loses: two each 0.4 s for one duration.
    in_flight = 2 * LARGER * TASK_SECONDS / REPORT_INTERVAL_SECONDS
    assert len(burst.copy_signs) <= in_flight


@pytest.mark.parametrize(("slow", "is_slow"), [(1, True), (2, False), (4, False)])
def test_a_place_is_slow_only_compared_with_most_places(slow, is_slow):
    tracker = PlaceTracker()
    nodes = [f"node-{number}" for number in range(4)]
    record_places(tracker, nodes, nodes[:slow], at=100.0)
    assert tracker.is_slow("node-0", 101.0) is is_slow
    assert not tracker.is_slow("node-3", 101.0)


def test_copies_from_a_slow_place_are_given_up_after_they_have_lost():
    view, worker, run = build_late_run()
    for number in range(3):
        place_neighbour(worker, number, seconds=4.0)
    for _ in range(2):
        view.cluster.tails.record_copy(run.ref, 2, PAST_HIGH)
        outcome = RunOutcome(worker.node, run, "done", 105.0)
        view.cluster.tails.record_outcome(outcome)
        view.cluster.tails.record_outcome(outcome)
    assert plan_copies(view) == []


def build_late_run(fields=(), scheduling=TAILS, nodes=2):
    """Return a view with a run that has worked five times as long as it should have."""
    cluster = ClusterState(build_configuration().get_queue)
    for number in range(nodes):
        name = f"node-{number}"
        cluster.worker_by_node[name] = build_worker(name)
    step = Step(tasks=1, cpu=8000, estimate=1.0, is_speculative=True, **dict(fields))
    cluster.add_job(JobSpec("queue", "late", SERVICE, "p", (step,), 3))
    cluster.durations = KnownDurations(DurationEstimate(1.0, 1.5, 50, "queue"))
    site = SiteState(build_configuration())
    view = PlanView(
        cluster, site, 105.0, 105.0, lambda node, now: False, scheduling=scheduling
    )
    ((worker, run),) = plan_starts(view)[0]
    run.sent_at = run.started_at = run.worked_from = 100.0
    run.progressed_at = worker.reported_at = run.worked_until = 105.0
    run.is_started, run.worked_seconds, run.percent = True, 5.0, 25
    return view, worker, run


def test_a_late_run_is_copied_where_the_place_is_unknown():
    view, worker, _ = build_late_run()
    ((late, other, _),) = plan_copies(view)
    assert late.sign == PAST_HIGH
    assert other is not worker
    assert late.lateness.remaining == pytest.approx(15.0, rel=0.1)
    assert plan_copies(view) == []


def test_copies_are_given_up_after_they_have_lost():
    view, worker, run = build_late_run()
    for _ in range(2):
        view.cluster.tails.record_copy(run.ref, 2, PAST_HIGH)
        outcome = RunOutcome(worker.node, run, "done", 105.0)
        assert view.cluster.tails.record_outcome(outcome) is None
        sign, core_seconds = view.cluster.tails.record_outcome(outcome)
        assert (sign, core_seconds) == (PAST_HIGH, pytest.approx(40.0))
    assert plan_copies(view) == []


def test_neighbours_as_fast_as_expected_show_a_long_task():
    view, worker, _ = build_late_run()
    for number in range(3):
        place_neighbour(worker, number, seconds=1.0)
    assert plan_copies(view) == []


def test_slow_neighbours_show_a_slow_place():
    view, worker, _ = build_late_run()
    for number in range(3):
        place_neighbour(worker, number, seconds=4.0)
    ((late, _, _),) = plan_copies(view)
    assert late.lateness.place.ratio == pytest.approx(4.0, rel=0.1)


def place_neighbour(worker, number, seconds):
    """Place a run of another job that takes a number of seconds in all."""
    step = Step(tasks=1, cpu=100)
    run = place_run(worker, step, f"near{number}", job=f"queue/near{number}")
    run.worked_from, run.worked_until = 100.0, 100.0 + seconds / 2
    run.worked_seconds, run.percent = seconds / 2, 50
    return run


def test_a_late_run_that_ends_before_a_copy_would_is_left():
    view, _, run = build_late_run()
    run.percent = 90
    assert plan_copies(view) == []


def test_a_resumed_run_is_not_late_before_enough_of_it_was_seen():
    """Its first reports tell rounded percentages that differ by one or none."""
    view, _, run = build_late_run()
    run.worked_from_percent, run.worked_seconds, run.percent = 60, 0.4, 60
    assert plan_copies(view) == []
    run.worked_seconds, run.percent = 0.8, 61
    assert plan_copies(view) == []
    run.worked_from_percent, run.worked_seconds, run.percent = 10, 5.0, 31
    assert len(plan_copies(view)) == 1


def record_places(tracker, nodes, slow_nodes, at):
    """Record runs of four jobs that ended on each node, four times as long on some."""
    for node in nodes:
        sample = SampleAccepted(4.0 if node in slow_nodes else 1.0, USUAL)
        for job in range(4):
            tracker.record_duration(node, f"queue/ended{job}", at, sample)


@pytest.mark.parametrize("nodes", [2, 4])
def test_a_copy_goes_to_no_slow_place(nodes):
    view, worker, _ = build_late_run(nodes=nodes)
    others = [name for name in view.cluster.worker_by_node if name != worker.node]
    for name in others[1:]:
        place_run(view.cluster.worker_by_node[name], Step(tasks=1, cpu=1000), "busy")
    # Places that the view doesn't have are usual, so that the empty one stands out.
    elsewhere = [f"elsewhere-{number}" for number in range(4)]
    record_places(view.cluster.places, [*others, *elsewhere], others[:1], at=104.0)
    copies = plan_copies(view)
    assert [other.node for _, other, _ in copies] == others[1:2]


def test_a_copy_waits_while_other_tasks_wait():
    view, _, _ = build_late_run()
    large = Step(tasks=1, cpu=99000)
    view.cluster.add_job(JobSpec("queue", "other", SERVICE, "p", (large,), 3))
    plan_starts(view)
    assert plan_copies(view) == []


@pytest.mark.parametrize(("cpu", "copies"), [(99000, 0), (100, 1)])
def test_a_pass_lists_the_waiting_steps_once_for_starts_and_copies(
    monkeypatch, cpu, copies
):
    """A task that was started in the pass waits no more."""
    view, _, _ = build_late_run()
    step = Step(tasks=1, cpu=cpu)
    view.cluster.add_job(JobSpec("queue", "other", SERVICE, "p", (step,), 3))
    listed = []

    def count(seen):
        listed.append(seen)
        return list_waiting(seen)

    for module in (decisions, planner):
        monkeypatch.setattr(module, "list_waiting", count, raising=False)
    assert len(make_plan(view, may_start=True, is_full_scan=True).copies) == copies
    assert len(listed) == 1


def test_a_copy_takes_no_processors_from_best_effort_tasks():
    view, worker, _ = build_late_run()
    (other,) = (w for w in view.cluster.worker_by_node.values() if w is not worker)
    place_run(other, build_best_effort_step(cpu=12000), "fill")
    assert plan_copies(view) == []


@pytest.mark.parametrize("fields", [{"is_filling": True}, {"is_speculative": False}])
def test_other_steps_are_not_copied(fields):
    view, _, run = build_late_run()
    run.step = Step(**{"tasks": 1, "cpu": 8000, "is_speculative": True, **fields})
    assert plan_copies(view) == []


@pytest.mark.parametrize("percent", [-5, 10**30, 100])
@pytest.mark.parametrize("worked", [-1.0, 1e30, math.nan, math.inf])
def test_bad_figures_of_a_run_cause_no_error(percent, worked):
    view, worker, run = build_late_run()
    run.percent, run.worked_seconds = percent, worked
    assert plan_copies(view) == []
    outcome = RunOutcome(worker.node, run, "stopped", -1e30)
    assert view.cluster.tails.record_outcome(outcome) is None


@pytest.mark.parametrize(
    "estimate",
    [
        DurationEstimate(0.0, math.inf),
        DurationEstimate(-1.0, -1.0, 9),
        DurationEstimate(1e30, 1e30, 9),
        DurationEstimate(math.nan, math.nan, 9),
    ],
)
def test_bad_estimates_cause_no_copy_and_keep_the_order(estimate):
    view, _, _ = build_late_run()
    view.cluster.durations = KnownDurations(estimate)
    assert plan_copies(view) == []
    step = Step(tasks=3, cpu=100, estimate=1.0)
    view.cluster.add_job(JobSpec("queue", "next", SERVICE, "p", (step,), 3))
    (item,) = list_waiting(view)
    assert list(order_tasks(view, item)) == list(item.refs)


def test_a_successor_makes_no_third_run_and_no_copy_before_it_has_learned():
    """The scheduling entry ends right after the claim of a copy was written."""
    view, _, _ = build_late_run()
    plan_copies(view)
    (progress,) = view.cluster.job_by_key.values()
    successor = ClusterState(build_configuration().get_queue)
    for name in view.cluster.worker_by_node:
        successor.worker_by_node[name] = build_worker(name)
    successor.add_progress(progress)
    successor.allocate_restored(progress, 100.0)
    for worker in successor.worker_by_node.values():
        for run in worker.allocation_by_key.values():
            run.is_started, run.percent, run.worked_seconds = True, 25, 5.0
            run.worked_from = 100.0
            worker.reported_at = run.progressed_at = run.worked_until = 105.0
    later = PlanView(
        successor, view.site, 105.0, 105.0, view.is_excluded, scheduling=TAILS
    )
    assert plan_copies(later) == []
    assert len(list(progress.list_runs())) == 2
    progress.release(next(ref for ref, _ in progress.list_runs()), 2)
    assert plan_copies(later) == []


@pytest.fixture
def crowded():
    """Return a view in which one of four tasks fits at a time, and its only worker."""
    cluster = ClusterState(build_configuration().get_queue)
    worker = cluster.worker_by_node["node-0"] = build_worker("node-0", cpu=1000)
    worker.incarnation = WorkerIncarnation("worker", 1)
    step = Step(tasks=4, cpu=1000, estimate=1.0, has_checkpoints=True)
    cluster.add_job(JobSpec("queue", "job", SERVICE, "p", (step,), 3))
    site = SiteState(build_configuration())
    view = PlanView(cluster, site, 105.0, 105.0, lambda n, t: False, scheduling=TAILS)
    return view, worker


def stop_run(view, worker, percent, seconds, checkpoint=""):
    """Start the next task, and stop it when it has done a share of its work."""
    ((_, run),) = plan_starts(view)[0]
    run.worked_from, run.worked_until = 100.0, 105.0
    run.percent, run.worked_seconds = percent, seconds * percent / 100
    run.checkpoint = checkpoint
    view.cluster.release(worker, run, "stopped", 105.0)
    for outcome in view.cluster.pop_new_outcomes():
        view.cluster.tails.record_outcome(outcome)
    return run.ref.index


def test_a_task_known_to_be_long_starts_first_and_a_resumed_one_last(crowded):
    view, worker = crowded
    short = stop_run(view, worker, 80, 1.0, checkpoint="saved")
    long = stop_run(view, worker, 30, 7.0)
    assert (short, long) == (0, 1)
    (item,) = list_waiting(view)
    assert [ref.index for ref in order_tasks(view, item)] == [1, 2, 3, 0]
    ((_, run),) = plan_starts(view)[0]
    assert run.ref.index == long


def test_a_task_that_failed_starts_before_those_that_never_ran(crowded):
    view, _ = crowded
    (item,) = list_waiting(view)
    item.progress.touch(item.refs[2]).failures = 1
    assert [ref.index for ref in order_tasks(view, item)] == [2, 0, 1, 3]


def test_the_order_stays_as_it_was_while_switched_off(crowded):
    view, _ = crowded
    (item,) = list_waiting(view)
    item.progress.touch(item.refs[2]).failures = 1
    off = PlanView(view.cluster, view.site, 105.0, 105.0, view.is_excluded)
    assert list(order_tasks(off, item)) == list(item.refs)


@pytest.mark.parametrize("is_on", [True, False])
def test_the_longest_chain_of_a_job_starts_first(is_on):
    cluster = ClusterState(build_configuration().get_queue)
    steps = (
        Step(tasks=1, cpu=100, estimate=2.0),
        Step(tasks=1, cpu=100, estimate=1.0),
        Step(tasks=1, cpu=100, estimate=9.0, after=(1,)),
    )
    cluster.add_job(JobSpec("queue", "job", SERVICE, "p", steps, 3))
    scheduling = TAILS if is_on else Scheduling()
    view = PlanView(
        cluster,
        SiteState(build_configuration()),
        105.0,
        105.0,
        lambda n, t: False,
        scheduling=scheduling,
    )
    numbers = [item.number for item in list_waiting(view)]
    assert numbers == ([1, 0] if is_on else [0, 1])


def test_state_of_tails_is_bounded(crowded):
    view, worker = crowded
    ((_, run),) = plan_starts(view)[0]
    run.worked_from = 100.0
    tails = TailTracker()
    for number in range(2 * MAX_TASKS):
        run.ref = type(run.ref)(f"queue/job{number}", 0, 0, 0)
        tails.record_outcome(RunOutcome(worker.node, run, "stopped", 105.0))
        tails.record_copy(run.ref, 2, PAST_HIGH)
    assert len(tails._earlier_by_ref) <= MAX_TASKS
    assert len(tails._copied_by_ref) <= MAX_TASKS


def test_a_job_that_is_larger_than_expected_does_not_show_a_slow_place():
    """One large job has many tasks there; jobs of one kind differ in size."""
    view, worker, _ = build_late_run()
    large = [place_neighbour(worker, number, seconds=4.0) for number in range(6)]
    for run in large:
        run.ref = large[0].ref
    place = judge_neighbours(view, worker, place_neighbour(worker, 9, seconds=4.0))
    assert place == Place()


def test_jobs_whose_sizes_spread_widely_do_not_show_a_slow_place():
    view, worker, run = build_late_run()
    view.cluster.durations = KnownDurations(DurationEstimate(1.0, 8.0, 50, "queue"))
    for number in range(3):
        place_neighbour(worker, number, seconds=2.0)
    assert judge_neighbours(view, worker, run).speed is Speed.UNKNOWN


def test_durations_from_a_slow_place_are_not_learned():
    """Otherwise they raise the high quantile, and late runs look usual."""
    burst, _ = run_single_tasks({"node-1": SLOWDOWN}, scheduling=TAILS)
    step = Step(tasks=1, cpu=1600, estimate=TASK_SECONDS)
    estimate = burst.cluster.durations.get_estimate("queue", step)
    assert estimate.high < SLOWDOWN * TASK_SECONDS / 2
