"""Workers that turn slow for a while, as tasks of a burst show it."""

import pytest

from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.ports.runner import ListedRun
from tests.site.burst import NODES, SECONDS, Burst, play
from tests.site.simulation import SERVICE

SLOWER = 6.5


def test_a_slow_worker_delays_few_jobs_of_a_burst():
    """One worker in four turns slow: nine jobs in ten still end within three times."""
    burst, times = play({"node-1": SLOWER})
    assert set(burst.moved) == {"node-1"}
    late = [seconds for seconds in times if seconds > 3 * SECONDS]
    assert len(late) <= len(times) / 10


def test_nothing_is_moved_while_all_workers_work_alike():
    burst, _ = play({})
    assert burst.moved == []


def test_nothing_is_moved_while_all_workers_are_slow():
    burst, _ = play(dict.fromkeys([f"node-{n}" for n in range(NODES)], SLOWER))
    assert burst.moved == []


def test_a_worker_that_recovers_gets_work_again():
    burst, _ = play({"node-1": SLOWER}, seconds=4.0)
    burst.slow_by_node.clear()
    for number in range(30):
        burst.add(f"later{number}")
        burst.step()
    burst.add("last", tasks=16)
    burst.step()
    used = {
        worker.node
        for worker in burst.cluster.worker_by_node.values()
        if worker.allocation_by_key
    }
    assert "node-1" in used


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_filling": True}])
def test_tasks_without_a_duration_of_their_own_are_not_judged(fields):
    burst = Burst({"node-1": SLOWER})
    step = Step(tasks=12, cpu=1600, memory=100, **fields)
    burst.cluster.add_job(JobSpec("queue", "job", SERVICE, "p", (step,), 3))
    for _ in range(4):
        burst.step()
    assert burst.moved == []


def test_runs_that_were_under_way_before_a_term_are_judged_by_what_was_seen():
    """A new scheduler sees runs half done; new siblings of them are not slow."""
    burst = Burst({})
    burst.add("job", tasks=12)
    burst.step()
    for index, worker in enumerate(burst.cluster.worker_by_node.values()):
        for allocation in worker.allocation_by_key.values():
            if index < NODES - 1:
                burst.begun_by_key[allocation.key] -= 0.6 * SECONDS
    for _ in range(4):
        burst.step()
    assert burst.moved == []


def test_tasks_that_end_as_soon_as_they_are_seen_divide_by_nothing():
    burst = Burst({"node-1": SLOWER})
    burst.add("job", tasks=12)
    burst.step()
    for worker in burst.cluster.worker_by_node.values():
        for allocation in list(worker.allocation_by_key.values()):
            if worker.node != "node-1":
                listed = ListedRun(allocation.name, allocation.number, "", 0, 0.0)
                burst.cluster.record_running(worker, listed, burst.now)
                burst.end(worker, allocation, "done")
    for _ in range(4):
        burst.step()
    assert set(burst.moved) <= {"node-1"}
