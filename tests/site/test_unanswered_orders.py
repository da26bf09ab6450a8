"""Orders without an answer beside crashes: which count as runs that were lost."""

import pytest
from returns.result import Failure

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.crashes import LostRun, record_crash
from bergamotshore.core.work.model import JobSpec, Step, TaskRef
from bergamotshore.exceptions import WorkerFailure
from tests.site.onenode import order_start
from tests.site.simulation import SERVICE
from tests.site.workers import build_worker, place_run


def lose_worker(run_manager, runner, live_on):
    """Order a start that gets no answer before the worker is lost.

    :param live_on: Called between the order and the loss.
    :returns: Whether the node tells of the run as one that was lost.
    """
    start = order_start(run_manager)

    def crash_without_answer(*_):
        live_on()
        runner.restart()
        for _ in range(3):
            run_manager.clock.advance(0.1)
            run_manager.hold()
        return Failure(WorkerFailure("no answer", is_certain=False))

    runner.start = crash_without_answer
    start()
    lost = [key for *key, _, _ in run_manager.build_report(1).lost]
    return ["job.0.0.0", 1] in lost


# Guards against a harmless job that is shown as failed: an order that the worker leaves
# without an answer was counted as a run at each crash, though its lists showed none.
@pytest.mark.parametrize(("lists", "is_counted"), [(0, True), (2, False)])
def test_order_that_the_worker_has_not_carried_out_counts_no_crash(
    run_manager, runner, clock, lists, is_counted
):
    def list_runs():
        for _ in range(lists):
            clock.advance(0.1)
            run_manager.hold()

    assert lose_worker(run_manager, runner, list_runs) == is_counted


# Guards against the same where no list came, but the worker lived on: a task that
# crashes its worker at its start does so before the worker's next sign of life.
@pytest.mark.parametrize(("seconds", "is_counted"), [(0.0, True), (2.0, False)])
@pytest.mark.parametrize("sign", ["heartbeat", "end of a connection"])
def test_order_that_its_worker_outlived_counts_no_crash(
    run_manager, runner, clock, seconds, is_counted, sign
):
    def live_on():
        clock.advance(seconds)
        if sign == "heartbeat":
            run_manager.record_heartbeat(runner.build_report("zone-0"))
        else:
            renew_lease = runner.renew_lease
            failure = WorkerFailure("reset", is_certain=False, has_ended=True)
            runner.renew_lease = lambda *_: Failure(failure)
            run_manager.hold()
            runner.renew_lease = renew_lease
        clock.advance(1.0)

    assert lose_worker(run_manager, runner, live_on) == is_counted


# Guards against orders that never ran and are taken for runs that crashed workers.
def test_runs_that_never_began_make_no_later_run_a_suspect():
    cluster = ClusterState(lambda name: None)
    step = Step(tasks=1, cpu=1000, memory=100)
    cluster.add_job(JobSpec("queue", "job", SERVICE, "", (step,)))
    worker = cluster.worker_by_node["node-0"] = build_worker()
    progress = cluster.job_by_key["queue/job"]
    progress.open_due_occurrences(1.0)
    ref = TaskRef("queue/job", 0, 0, 0)
    for outcome in ("not-run", "not-reached"):
        run = cluster.claim(ref, worker, 1.0)
        cluster.record_order_result(worker, run.key, outcome, 1.0)
    run = cluster.claim(ref, worker, 1.0)
    young = place_run(worker, step, "other.0.0.0", job="queue/other")
    lost_by_key = {run.key: LostRun(5.0, False), young.key: LostRun(0.5, False)}
    record_crash(cluster, worker, lost_by_key)
    assert cluster.count_crashes(ref) == 0
