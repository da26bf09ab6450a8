"""Calls that were meant for a former life of a worker, and answers of that life.

A worker that restarts under its name takes what was meant for its former life, also
seconds later; its fence, its clock and its numbers start anew.
"""

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.advice import AdviceTracker
from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.presence import ReportedRuns
from bergamotshore.core.work.site import AdvicePolicy
from bergamotshore.ports.runner import (
    ListedCompletion,
    ListedRun,
    RunRejected,
    WorkerIncarnation,
    WorkerListing,
)
from tests.site.onenode import LONGEST_HOLD_SECONDS, order_start
from tests.site.simulation import STEP_SECONDS, Simulation
from tests.site.workers import build_best_effort_step, build_worker, place_run

# Each task takes a whole worker.
WHOLE = Step(tasks=1, cpu=16000, memory=100)
POLICY = AdvicePolicy(0.1, 0.01, 3.0)
# Time after which a lease that its node may not extend has lapsed, in seconds.
USUAL_LAPSE_SECONDS = 6.4
# Time by which runs are placed again after the longest lease has lapsed, in seconds.
LATEST_SECONDS = LONGEST_HOLD_SECONDS * 1.06 + 1.5


@pytest.fixture
def site(clock):
    """Return a site whose workers accept leases that last longer than grants."""
    simulation = Simulation(clock, nodes=2, longest_hold=LONGEST_HOLD_SECONDS)
    simulation.advance(20.0)
    return simulation


def restart_with_long_lease(site):
    """Restart a worker that takes a renewal for its former life.

    :returns: Its node; a task of ``job`` runs on it.
    """
    site.submit("job", (WHOLE,))
    site.advance(1.0)
    site.submit("other", (WHOLE,))
    site.advance(1.0)
    node, runner = find_running(site, "job.0.0.0")
    runner.renewal_faults = ["late"]
    site.advance(STEP_SECONDS)
    runner.restart()
    runner.run_late()
    assert runner.lease_end_ms > 1000 * (LONGEST_HOLD_SECONDS - STEP_SECONDS)
    site.advance(1.0)
    assert "job.0.0.0" in runner.run_by_task
    # Room for the task, were it lost.
    find_running(site, "other.0.0.0")[1].finish("other.0.0.0", "done")
    site.advance(0.5)
    return node


def find_running(site, task):
    """Return node and worker of a running task."""
    return next(
        (node, runner)
        for node, runner in site.runner_by_node.items()
        if task in runner.run_by_task
    )


def close_others(site, runner):
    """Let only one worker take new tasks."""
    for other in site.runner_by_node.values():
        other.is_draining = other is not runner
    site.advance(STEP_SECONDS)


def open_all(site):
    """Let all workers take new tasks."""
    for runner in site.runner_by_node.values():
        runner.is_draining = False


def kill_scheduling_entry(site):
    """Kill the scheduling entry and start it again."""
    name = site.leader.name
    site.kill_entry(name)
    site.advance(STEP_SECONDS)
    site.start_entry(name)


def keep_all_entries(site):
    """Let all entries go on."""


# Guards against running a completed task again: a worker that had restarted was cut off
# from its node, which counted the usual lease as over; the worker held a longer one,
# taken from a call to its former life, so its end still counted later.
@pytest.mark.parametrize("disturb", [keep_all_entries, kill_scheduling_entry])
def test_task_is_not_repeated_before_a_lease_by_a_call_to_the_former_life_is_over(
    site, disturb
):
    node = restart_with_long_lease(site)
    runner = site.runner_by_node[node]
    runner.is_cut = True
    disturb(site)
    site.advance(2.0)
    runner.finish("job.0.0.0", "done")
    site.advance(USUAL_LAPSE_SECONDS - 2.0)
    runner.is_cut = False
    site.advance(2.0)
    assert site.get_state("job") == "done"
    assert site.ledger.problems == []


# Guards against the same where the node itself is lost, so that only the entries know
# of the lease, one that takes over in between included.
@pytest.mark.parametrize("disturb", [keep_all_entries, kill_scheduling_entry])
def test_entries_wait_for_a_lease_by_a_call_to_the_former_life_of_a_lost_node(
    site, disturb
):
    node = restart_with_long_lease(site)
    site.kill_node(node)
    disturb(site)
    site.advance(LATEST_SECONDS)
    runner = site.runner_by_node[node]
    assert find_running(site, "job.0.0.0")[1] is not runner
    assert site.ledger.problems == []


# Guards against the same where the node restarts while the worker is cut off, so that
# its new process doesn't know of the lease.
def test_restarted_node_does_not_end_a_lease_by_a_call_to_the_former_life(site):
    node = restart_with_long_lease(site)
    site.runner_by_node[node].is_cut = True
    site.advance(STEP_SECONDS)
    site.start_node(node)
    site.advance(LATEST_SECONDS)
    assert site.ledger.problems == []


# Guards against waiting for a long lease though nothing can have taken one.
def test_runs_of_a_worker_that_never_restarted_wait_for_the_usual_lease(site):
    site.submit("job", (WHOLE,))
    site.advance(LONGEST_HOLD_SECONDS + 1.0)
    node, runner = find_running(site, "job.0.0.0")
    runner.is_cut = True
    site.advance(USUAL_LAPSE_SECONDS + 1.0)
    assert find_running(site, "job.0.0.0")[0] != node


# Guards against repeating a completed task: a call to the former life that is carried
# out late acknowledged an end that nobody had seen, as both have the same number.
def test_late_call_to_the_former_life_acknowledges_no_end_of_the_next(site):
    site.submit("first", (WHOLE,))
    site.advance(1.0)
    node, runner = find_running(site, "first.0.0.0")
    runner.finish("first.0.0.0", "done")
    site.advance(1.0)
    runner.renewal_faults = ["late"]
    site.advance(STEP_SECONDS)
    late, runner.late_renewals = runner.late_renewals, []
    runner.faults = ["late"]
    close_others(site, runner)
    site.submit("second", (WHOLE,))
    while not runner.late:
        site.advance(STEP_SECONDS)
    runner.restart()
    runner.run_late()
    runner.finish("second.0.0.0", "done")
    runner.late_renewals = late
    runner.run_late()
    open_all(site)
    site.advance(3.0)
    assert site.get_state("second") == "done"
    assert len(site.ledger.starts) == 2
    assert site.ledger.problems == []


# Guards against an end of a life that is taken for a repeated one of the life before: a
# scheduling entry that takes over reads the stored end of the former one.
@pytest.mark.parametrize("disturb", [keep_all_entries, kill_scheduling_entry])
def test_ends_of_two_lives_with_the_same_number_both_count(site, disturb):
    steps = (WHOLE, Step(tasks=1, cpu=16000, memory=100, after=(0,)))
    site.submit("job", steps)
    site.advance(1.0)
    node, runner = find_running(site, "job.0.0.0")
    close_others(site, runner)
    runner.finish("job.0.0.0", "done")
    site.advance(STEP_SECONDS)
    runner.restart()
    disturb(site)
    site.advance(6.0)
    assert runner.run_by_task.keys() == {"job.0.1.0"}
    runner.finish("job.0.1.0", "done")
    site.advance(1.0)
    assert site.get_state("job") == "done"
    assert [task for task, _, _ in site.ledger.starts].count("job.0.0.0") == 1
    assert site.ledger.problems == []


class ReportingLock:
    """Lock that builds a report each time it is released, as another thread may do."""

    def __init__(self):
        self.run_manager = None
        self.reports = []
        self._is_reporting = False

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if not self._is_reporting:
            self._is_reporting = True
            self.reports.append(self.run_manager.build_report(1))
            self._is_reporting = False


def build_listing(started_ms, running=(), ended=()):
    return Success(WorkerListing(1, started_ms, list(running), list(ended), True))


# Guards against runs and ends of a life that are reported as those of the next: its
# ends were then acknowledged by numbers that the next one gives to others.
def test_no_report_tells_the_list_of_the_former_life_as_that_of_the_next(
    run_manager, runner
):
    former, current = runner.born, runner.born + 1
    ended = ListedCompletion(7, "job.0.0.0", 1, "done", "")
    listed = build_listing(former, [ListedRun("job.0.0.1", 1, "", 0, 0.0)], [ended])
    runner.renew_lease = lambda *_: listed
    run_manager.hold()
    lock = run_manager._lock = ReportingLock()
    lock.run_manager = run_manager
    runner.renew_lease = lambda *_: build_listing(current)
    for _ in range(3):
        run_manager.hold()
    reports = [report for report in lock.reports if report.born == current]
    assert reports
    assert not any(report.running or report.ended for report in reports)
    assert not reports[0].is_complete


# Guards against a start that the next life accepts: it was sent under the fence that
# had just been raised there.
def test_no_start_is_sent_to_a_life_once_a_later_one_has_answered(
    run_manager, runner, results
):
    sent = []
    runner.start = lambda *arguments: sent.append(arguments)
    start = order_start(run_manager)
    runner.restart()
    run_manager.hold()
    runner.confirm = lambda *_: Success(None)
    start()
    assert sent == []
    assert results == [("job.0.0.0", 1, "other-life")]


# Guards against orders that are refused again and again, and against late calls that
# the next life carries out meanwhile: it was fenced only once the next renewal had
# waited for a completion.
def test_next_life_is_fenced_at_once_and_takes_no_orders_before(run_manager, runner):
    waits = []
    renew_lease = runner.renew_lease

    def record_wait(*arguments):
        waits.append(arguments[-1])
        return renew_lease(*arguments)

    runner.renew_lease = record_wait
    runner.restart()
    run_manager.hold()
    assert not run_manager.build_report(1).is_answering
    run_manager.hold()
    assert waits[-1] == 0
    assert run_manager.build_report(1).is_answering
    assert run_manager.incarnation == runner.born


# Guards against a run that is told as started on a life that never had it.
def test_start_that_the_former_life_confirmed_is_not_told_of_the_next(
    run_manager, runner, results
):
    start = order_start(run_manager)
    start_at_worker = runner.start

    def restart_after_start(*arguments):
        outcome = start_at_worker(*arguments)
        runner.restart()
        for _ in range(3):
            run_manager.hold()
        return outcome

    runner.ledger.get_crash_delay = lambda task: None
    runner.ledger.record_start = lambda *_: None
    runner.start = restart_after_start
    start()
    assert results == [("job.0.0.0", 1, "other-life")]
    assert run_manager.build_report(1).running == []


# Guards against a lease end by the clock of another life: a refusal doesn't name it.
def test_clock_of_an_answer_that_names_no_life_is_not_used(run_manager, runner, clock):
    ends = []
    renew_lease = runner.renew_lease

    def record_end(lease_end_ms, *arguments):
        ends.append(lease_end_ms)
        return renew_lease(lease_end_ms, *arguments)

    runner.renew_lease = lambda *_: Failure(RunRejected("fence", 10_000_000))
    run_manager.hold()
    runner.renew_lease = record_end
    for _ in range(3):
        run_manager.hold()
    assert all(end is None or end < 10_000_000 for end in ends)
    assert ends[-1] is not None


# Guards against a task that disturbs others at full speed: its order was carried out by
# the next life, and the limit that had been accepted by the former one was not sent.
def test_limits_of_runs_that_the_next_life_has_are_sent_again():
    cluster = ClusterState(lambda name: None)
    worker = cluster.worker_by_node["node-0"] = build_worker()
    run = place_run(worker, build_best_effort_step(), "job.0.0.0")
    run.throttle_percent = 30
    present = ReportedRuns(frozenset([run.key]), is_complete=True)
    cluster.record_incarnation(worker, WorkerIncarnation("worker", 2), present, 1.0)
    assert run.key in worker.allocation_by_key
    assert run.throttle_percent is None


# Guards against a second run of a task whose order the next life has carried out: the
# stored claim still names the former life when another entry takes over.
@pytest.mark.parametrize("disturb", [keep_all_entries, kill_scheduling_entry])
def test_run_that_the_next_life_began_is_taken_over_and_not_repeated(site, disturb):
    runner = next(iter(site.runner_by_node.values()))
    close_others(site, runner)
    start_at_worker = runner.start

    def restart_before_start(*arguments):
        runner.faults, runner.start = ["late"], start_at_worker
        outcome = start_at_worker(*arguments)
        runner.restart()
        runner.run_late()
        return outcome

    runner.start = restart_before_start
    site.submit("job", (WHOLE,))
    while not runner.run_by_task:
        site.advance(STEP_SECONDS)
    open_all(site)
    disturb(site)
    site.advance(8.0)
    assert [number for _, number, _ in site.ledger.starts] == [1]
    runner.finish("job.0.0.0", "done")
    site.advance(1.0)
    assert site.get_state("job") == "done"
    assert site.ledger.problems == []


# Guards against a ticket that another life of the worker rejects.
def test_ticket_of_the_former_life_is_not_used_for_the_next():
    advice, step = AdviceTracker(), ("queue/job", 0, 0)
    worker = build_worker()
    query = advice.plan_query(step, "job.0.0", [worker], POLICY, 1.0)
    advice.record_answer(query, {worker.incarnation.worker: "ticket"}, 9.0, 1.1)
    assert advice.get_ticket(step, worker.incarnation, 1.2) == "ticket"
    worker.incarnation = WorkerIncarnation(worker.incarnation.worker, 2)
    assert advice.get_ticket(step, worker.incarnation, 1.2) == ""


# Guards against a second run of a task whose order a worker carries out seconds later,
# after a restart that its node could not see: no fence is known to it, its clock takes
# the old lease end for one far ahead, and the pages bound neither.
def test_late_order_to_a_worker_that_restarted_unseen_begins_no_second_run(site):
    node, runner = next(iter(site.runner_by_node.items()))
    close_others(site, runner)
    runner.faults = ["late"]
    site.submit("job", (WHOLE,))
    while not runner.late:
        site.advance(STEP_SECONDS)
    runner.restart()
    runner.is_cut = True
    open_all(site)
    site.advance(USUAL_LAPSE_SECONDS + 1.0)
    runner.run_late()
    site.advance(2.0)
    assert site.ledger.problems == []


# Guards against logs that can't tell whether a longer lease was counted by nobody or
# only not by the entry that placed the runs again.
def test_lines_tell_who_knows_of_a_lease_that_outlasts_its_grant(site):
    node = restart_with_long_lease(site)
    sources = [line.split("source=")[1] for line in list_leases_heard(site, node)]
    assert sources.count("node") >= len(site.entry_by_name)
    site.kill_node(node)
    former = site.leader.name
    kill_scheduling_entry(site)
    site.advance(STEP_SECONDS)
    [heard, *_] = list_leases_heard(site, node)[len(sources) :]
    assert heard.endswith("source=" + next(n for n in site.entry_names if n != former))
    site.advance(LATEST_SECONDS)
    [line] = list_lines(site, "node-silent", node)
    assert "counted=lease" in line


def test_line_names_the_heartbeat_where_no_longer_lease_is_known(site):
    site.submit("job", (WHOLE,))
    site.advance(LONGEST_HOLD_SECONDS + 1.0)
    node, _ = find_running(site, "job.0.0.0")
    site.kill_node(node)
    site.advance(USUAL_LAPSE_SECONDS + 1.0)
    [line] = list_lines(site, "node-silent", node)
    assert "counted=node" in line


def list_leases_heard(site, node):
    return list_lines(site, "worker-lease-heard", node)


def list_lines(site, kind, subject):
    """Return the log lines of a kind about one subject."""
    return [line for line in site.lines if f"event={kind} subject={subject} " in line]


def restart_others_and_then_scheduling_entry(site):
    """Restart all entries one after another, the scheduling entry last."""
    scheduling = site.leader.name
    others = [name for name in site.entry_names if name != scheduling]
    for name in [*others, scheduling]:
        site.start_entry(name)
        site.advance(0.6)


# Guards against running a task again while, or after, it runs on a worker with a longer
# lease: its node was lost or cut off, and of the entries that restarted one by one, the
# last knew nothing of the lease, as those that had learned of it from another one did
# not pass it on.
@pytest.mark.parametrize("entries", [2, 3])
def test_entries_that_restart_one_by_one_wait_for_a_lease_of_a_lost_node(
    clock, entries
):
    site = Simulation(clock, entries, nodes=2, longest_hold=LONGEST_HOLD_SECONDS)
    site.advance(20.0)
    node = restart_with_long_lease(site)
    site.kill_node(node)
    restart_others_and_then_scheduling_entry(site)
    site.advance(LATEST_SECONDS)
    runner = site.runner_by_node[node]
    assert find_running(site, "job.0.0.0")[1] is not runner
    assert site.ledger.problems == []


@pytest.mark.parametrize("seconds", [7.5, 8.0, 8.5])
def test_entries_that_restart_one_by_one_wait_for_a_lease_of_a_node_that_is_cut_off(
    site, seconds
):
    node = restart_with_long_lease(site)
    began = site.clock.now()
    for name in site.entry_names:
        site.disconnect(name, node)
    restart_others_and_then_scheduling_entry(site)
    site.advance(began + 4.0 - site.clock.now())
    site.runner_by_node[node].finish("job.0.0.0", "done")
    site.advance(began + seconds - site.clock.now())
    site.heal()
    site.advance(6.0)
    assert site.get_state("job") == "done"
    assert site.ledger.problems == []
