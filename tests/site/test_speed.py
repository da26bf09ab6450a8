"""Detection of slow workers during a burst of short tasks."""

import pytest

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.ports.runner import ListedRun
from tests.site.burst import NODES, TASK_SECONDS, BurstSimulation, simulate_burst
from tests.site.simulation import SERVICE

SLOWDOWN = 6.5


def test_a_slow_worker_delays_few_jobs_of_a_burst():
    """One worker in four is slow; 90% of jobs finish within three task durations."""
    burst, durations = simulate_burst({"node-1": SLOWDOWN})
    assert set(burst.stopped_nodes) == {"node-1"}
    late = [seconds for seconds in durations if seconds > 3 * TASK_SECONDS]
    assert len(late) <= len(durations) / 10


def test_no_run_is_moved_while_all_workers_are_equally_fast():
    burst, _ = simulate_burst({})
    assert burst.stopped_nodes == []


def test_no_run_is_moved_while_all_workers_are_slow():
    burst, _ = simulate_burst(
        dict.fromkeys([f"node-{n}" for n in range(NODES)], SLOWDOWN)
    )
    assert burst.stopped_nodes == []


def test_a_worker_that_recovers_gets_work_again():
    burst, _ = simulate_burst({"node-1": SLOWDOWN}, seconds=4.0)
    burst.slowdown_by_node.clear()
    for number in range(30):
        burst.add_job(f"later{number}")
        burst.step()
    burst.add_job("last", tasks=16)
    burst.step()
    used_nodes = {
        worker.node
        for worker in burst.cluster.worker_by_node.values()
        if worker.allocation_by_key
    }
    assert "node-1" in used_nodes


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_filling": True}])
def test_long_running_and_best_effort_tasks_are_not_compared(fields):
    burst = BurstSimulation({"node-1": SLOWDOWN})
    step = Step(tasks=12, cpu=1600, memory=100, **fields)
    burst.cluster.add_job(JobSpec("queue", "job", SERVICE, "p", (step,), 3))
    for _ in range(4):
        burst.step()
    assert burst.stopped_nodes == []


def test_only_progress_observed_in_this_term_is_compared():
    """A new scheduler finds runs half finished; their new siblings aren't slow."""
    burst = BurstSimulation({})
    burst.add_job("job", tasks=12)
    burst.step()
    for index, worker in enumerate(burst.cluster.worker_by_node.values()):
        for run in worker.allocation_by_key.values():
            if index < NODES - 1:
                burst.started_at_by_key[run.key] -= 0.6 * TASK_SECONDS
    for _ in range(4):
        burst.step()
    assert burst.stopped_nodes == []


def test_runs_that_finish_at_their_first_report_cause_no_division_by_zero():
    burst = BurstSimulation({"node-1": SLOWDOWN})
    burst.add_job("job", tasks=12)
    burst.step()
    for worker in burst.cluster.worker_by_node.values():
        for run in list(worker.allocation_by_key.values()):
            if worker.node != "node-1":
                listed = ListedRun(run.name, run.number, "", 0, 0.0)
                burst.cluster.record_running(worker, listed, burst.now)
                burst.finish_run(worker, run, "done")
    for _ in range(4):
        burst.step()
    assert set(burst.stopped_nodes) <= {"node-1"}
