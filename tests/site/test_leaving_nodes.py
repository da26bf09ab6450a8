"""Long-running tasks whose worker leaves and whose node ends right after it."""

import pytest

from bergamotshore.exceptions import WorkerFailure
from bergamotshore.node.runs import MIN_REFUSAL_SECONDS
from soak.judges import MISSING_SECONDS, RESTART_SECONDS
from tests.site.test_promises import LONG_RUNNING

# Pause between the end of a worker and that of its node, in seconds.
NODE_LEAVES_SECONDS = 1.0
# A call to a worker that waits for an end may go without an answer for this time, in
# seconds.
HANGING_CALL_SECONDS = 1.9
# A task that has not run for this time is lost, in seconds.
LOST_SECONDS = RESTART_SECONDS + MISSING_SECONDS
BOTH_RUN = ["job.0.0.0", "job.0.0.1"]


@pytest.fixture
def site(simulation):
    """Return a simulation in which both tasks of a long-running job run."""
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    assert list_running(simulation) == BOTH_RUN
    return simulation


def list_running(simulation):
    return [task for task, _ in simulation.running]


def find_node(simulation, task):
    return next(
        node
        for node, runner in simulation.runner_by_node.items()
        if task in runner.run_by_task
    )


def lose_worker_and_node(simulation):
    """Take away a worker that runs a task together with its node."""
    node = find_node(simulation, BOTH_RUN[0])
    simulation.lose_worker(node)
    simulation.kill_node(node)


# Guards against waiting for the lease of a worker whose node was told to end while a
# call to the worker that had left was still without an answer.
@pytest.mark.parametrize("is_farewell_lost", [False, True])
def test_node_that_ends_behind_a_hanging_call_tells_that_its_worker_is_gone(
    site, is_farewell_lost
):
    node = find_node(site, BOTH_RUN[0])
    site.delay_calls(node, HANGING_CALL_SECONDS)
    if is_farewell_lost:
        site.lose_worker(node)
    else:
        site.take_worker_away(node)
    site.advance(NODE_LEAVES_SECONDS)
    site.stop_node(node)
    site.advance(RESTART_SECONDS - NODE_LEAVES_SECONDS)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against giving up the runs of a worker on its word alone: a farewell may be
# late or come from another sender.
def test_runs_of_a_worker_that_takes_leave_and_goes_on_are_kept(site):
    node = find_node(site, BOTH_RUN[0])
    for _ in range(3):
        site.node_by_name[node].receive_farewell()
        site.delay_calls(node, HANGING_CALL_SECONDS)
        site.advance(HANGING_CALL_SECONDS)
    assert len(site.ledger.starts) == len(BOTH_RUN)
    assert list_running(site) == BOTH_RUN


# Guards against taking back the end of a worker because a call that was sent before it
# ends without an answer.
def test_call_that_fails_late_does_not_take_back_the_end_of_a_worker(site):
    node = find_node(site, BOTH_RUN[0])
    manager = site.node_by_name[node].run_manager
    site.delay_calls(node, HANGING_CALL_SECONDS)
    sent_at = site.clock.now()
    site.take_worker_away(node)
    site.advance(NODE_LEAVES_SECONDS)
    assert manager.ended_incarnation
    manager._record_failure(WorkerFailure("timed out", is_certain=False), sent_at)
    assert manager.ended_incarnation


# Guards against an end of a worker that only the scheduling entry is told, since the
# node has restarted and doesn't know which incarnation of the worker has ended.
@pytest.mark.parametrize("restart_seconds", [0.0, 0.3])
def test_node_that_restarts_beside_a_lost_worker_and_leaves_tells_its_end(
    site, restart_seconds
):
    first = site.leader.name
    site.store.is_down = True
    site.kill_entry(first)
    node = find_node(site, BOTH_RUN[0])
    site.lose_worker(node)
    site.kill_node(node)
    site.advance(restart_seconds)
    site.start_node(node)
    site.advance(NODE_LEAVES_SECONDS - restart_seconds)
    site.stop_node(node)
    site.advance(0.5)
    site.store.is_down = False
    site.advance(RESTART_SECONDS - 0.5)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against the same at an entry that has started after the node had told others
# which incarnation of the worker there is.
def test_entry_that_started_later_learns_the_end_from_a_restarted_node(site):
    first = site.leader.name
    second = next(name for name in site.entry_names if name != first)
    site.start_entry(second)
    site.advance(0.5)
    site.kill_entry(first)
    node = find_node(site, BOTH_RUN[0])
    born = site.runner_by_node[node].born
    site.lose_worker(node)
    site.start_node(node)
    site.advance(0.5)
    ends = site.entry_by_name[second].directory.ends
    assert ends.get_ended_incarnations(node) == (born,)


# Guards against an end of a worker that only former entries were told: those that
# schedule afterwards waited for the lease of a node that they never heard of.
def test_entries_that_restart_one_after_another_learn_the_ends_of_workers(site):
    first = site.leader.name
    second = next(name for name in site.entry_names if name != first)
    site.store.is_down = True
    site.kill_entry(first)
    node = find_node(site, BOTH_RUN[0])
    site.take_worker_away(node)
    site.advance(NODE_LEAVES_SECONDS)
    site.stop_node(node)
    site.start_entry(first)
    site.advance(1.5)
    site.kill_entry(second)
    site.advance(1.0)
    site.start_entry(second)
    site.advance(1.0)
    site.store.is_down = False
    site.advance(RESTART_SECONDS)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against the same at a standby that takes over from the entry that was told.
def test_standby_that_started_after_a_node_left_knows_that_its_worker_is_gone(site):
    first = site.leader.name
    second = next(name for name in site.entry_names if name != first)
    site.store.is_down = True
    node = find_node(site, BOTH_RUN[0])
    site.take_worker_away(node)
    site.advance(NODE_LEAVES_SECONDS)
    site.stop_node(node)
    site.start_entry(second)
    site.advance(1.5)
    site.kill_entry(first)
    site.advance(1.0)
    site.store.is_down = False
    site.advance(RESTART_SECONDS)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against the same at an entry that could not be told when the worker ended.
def test_entry_that_connects_to_a_node_later_is_told_that_its_worker_is_gone(site):
    first = site.leader.name
    second = next(name for name in site.entry_names if name != first)
    node = find_node(site, BOTH_RUN[0])
    site.kill_entry(first)
    site.disconnect(second, node)
    born = site.runner_by_node[node].born
    site.take_worker_away(node)
    site.advance(0.5)
    ends = site.entry_by_name[second].directory.ends
    assert ends.get_ended_incarnations(node) == ()
    site.heal()
    site.advance(0.5)
    assert ends.get_ended_incarnations(node) == (born,)


# Guards against giving up the runs of a worker that refused connections for a while, at
# an entry that was told of its end by another one.
def test_runs_of_a_worker_that_answers_again_are_kept_by_an_entry_that_heard_of_its_end(
    simulation,
):
    first = simulation.leader.name
    second = next(name for name in simulation.entry_names if name != first)
    ends = simulation.entry_by_name[second].directory.ends
    for node in simulation.runner_by_node:
        simulation.disconnect(second, node)
    for is_gone in (True, False):
        for runner in simulation.runner_by_node.values():
            runner.is_gone = is_gone
        simulation.advance(1.5)
        for node in simulation.runner_by_node:
            assert bool(ends.get_ended_incarnations(node)) == is_gone
    simulation.heal()
    simulation.submit("job", LONG_RUNNING)
    simulation.advance(1.0)
    simulation.kill_entry(first)
    simulation.advance(RESTART_SECONDS)
    assert simulation.leader is not None
    assert len(simulation.ledger.starts) == len(BOTH_RUN)
    assert list_running(simulation) == BOTH_RUN


# Guards against counting the wait for a node that is lost from the start of a term that
# began long after the process of the former term had ended.
def test_wait_for_a_lost_node_is_counted_from_the_start_of_a_process_that_came_back(
    site,
):
    site.store.is_down = True
    lose_worker_and_node(site)
    for entry in site.entry_names:
        site.kill_entry(entry)
    site.advance(0.5)
    for entry in site.entry_names:
        site.start_entry(entry)
        site.advance(0.5)
    site.advance(2.5)
    site.store.is_down = False
    site.advance(RESTART_SECONDS)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against counting it from the takeover of another entry, which had heard before
# that the process of the former term had ended.
def test_wait_for_a_lost_node_is_counted_from_the_answer_of_the_next_process(site):
    former = site.leader.name
    site.kill_entry(former)
    lose_worker_and_node(site)
    site.without_store.add(former)
    site.advance(0.2)
    site.start_entry(former)
    site.advance(LOST_SECONDS - 0.2)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against taking back the end of a worker because a call to its successor fails,
# which says nothing of the incarnation that has ended.
@pytest.mark.parametrize("is_cut", [False, True])
def test_end_of_a_worker_is_known_after_its_successor_did_not_answer(site, is_cut):
    first = site.leader.name
    site.store.is_down = True
    site.kill_entry(first)
    node = find_node(site, BOTH_RUN[0])
    runner = site.runner_by_node[node]
    runner.crash(0.8)
    site.advance(0.7)
    runner.is_cut = is_cut
    site.advance(0.5)
    site.lose_worker(node)
    site.kill_node(node)
    site.start_entry(first)
    site.advance(0.1)
    site.store.is_down = False
    site.advance(RESTART_SECONDS)
    assert list_running(site) == BOTH_RUN
    assert site.ledger.problems == []


# Guards against a proof of two refused connections with an accepted one in between.
def test_refusals_around_an_accepted_connection_prove_no_end(site):
    node = site.node_by_name[find_node(site, BOTH_RUN[0])]
    for is_gone in (True, False, True):
        node.runner.is_gone = is_gone
        assert node.run_manager.check_connection() == is_gone
    assert not node.run_manager.ended_incarnation


# Guards against a proof of refusals at the same moment, of two threads, which may have
# one cause.
def test_refusals_at_the_same_moment_prove_no_end(site):
    node = site.node_by_name[find_node(site, BOTH_RUN[0])]
    manager = node.run_manager
    node.runner.is_gone = True
    manager.hold()
    for _ in range(3):
        assert manager.check_connection()
    site.clock.advance(MIN_REFUSAL_SECONDS - 0.01)
    assert manager.check_connection()
    assert not manager.ended_incarnation
    site.clock.advance(0.02)
    assert manager.check_connection()
    assert manager.ended_incarnation


# Guards against counting from the start of a call that was refused late, maybe at the
# same moment as another one.
def test_refusal_counts_from_the_end_of_its_call(site):
    node = site.node_by_name[find_node(site, BOTH_RUN[0])]
    refused = WorkerFailure("refused", is_certain=True, is_refused=True)
    first_sent_at = site.clock.now()
    site.clock.advance(MIN_REFUSAL_SECONDS)
    second_sent_at = site.clock.now()
    site.clock.advance(MIN_REFUSAL_SECONDS)
    for sent_at in (first_sent_at, second_sent_at):
        node.run_manager._record_failure(refused, sent_at)
    assert not node.run_manager.ended_incarnation


# Guards against blaming the runs of a worker that took leave for its end.
def test_runs_of_a_worker_that_took_leave_are_not_blamed(site):
    node = site.node_by_name[find_node(site, BOTH_RUN[0])]
    node.receive_farewell()
    node.runner.is_gone = True
    for _ in range(2):
        node.run_manager.hold()
        site.clock.advance(2 * MIN_REFUSAL_SECONDS)
    assert node.run_manager.ended_incarnation
    assert node.run_manager.build_report(1).lost == []
