"""One malformed message or row doesn't end a process or delay the jobs of others."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer
from bergamotshore.core.work.model import Step
from bergamotshore.entry.jobrows import JOBS, RUNS, get_fence_id, get_part, get_row_id
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.platform.runner import PlatformRunner
from bergamotshore.ports.rows import Put
from bergamotshore.ports.runner import Acknowledgement, ListedCompletion
from tests.site.test_borders import ARBITRARY_BYTES, JSON_VALUES

LONG_RUNNING = (Step(tasks=2, cpu=3000, memory=100, is_lasting=True),)
UNREADABLE = [b"", b"\xff", b"\x93\x01\x02\x03", msgspec.msgpack.encode([1, "", {}, 4])]


class AnsweringClient:
    """HTTP client that returns the same body for each call."""

    def __init__(self, body):
        self._answer = Success(HttpAnswer(200, "application/json", body))

    def call(self, *arguments, **options):
        return self._answer


LISTINGS = st.builds(
    lambda running, finished: msgspec.json.encode(
        {"clock_ms": 1, "born": 2, "running": running, "finished": finished}
    ),
    st.lists(st.lists(JSON_VALUES, max_size=6), max_size=3) | JSON_VALUES,
    st.lists(st.lists(JSON_VALUES, max_size=6), max_size=3) | JSON_VALUES,
)


# Guards against a node that exits because of one malformed answer of its worker.
@given(ARBITRARY_BYTES | LISTINGS)
def test_malformed_listing_of_a_worker_is_a_typed_failure(content):
    runner = PlatformRunner("127.0.0.1:1", 1.0)
    runner._client = AnsweringClient(content)
    outcome = runner.renew_lease(None, 1, Acknowledgement(), 0)
    assert isinstance(outcome, Success | Failure)
    if isinstance(outcome, Failure):
        assert isinstance(outcome.failure(), WorkerFailure)


def check_scheduling(simulation, job_id):
    """Check that a new job runs."""
    assert simulation.submit(job_id) == Success(True)
    simulation.advance(1.0)
    assert len([t for t, _ in simulation.running if t.startswith(job_id)]) == 2


# Guards against an entry that exits, as does each successor, because a worker lists a
# task under a name that no job of this system has.
@pytest.mark.parametrize(
    "task",
    ["", "job1", "job1.0", "job1.a.b.c", "job1.0.0.99", "job1.7.0.0", "a.b.c.d.e"],
)
@pytest.mark.parametrize("is_ended", [False, True])
def test_unknown_task_name_in_a_listing_does_not_end_the_entry(
    simulation, task, is_ended
):
    simulation.submit("job1")
    simulation.advance(0.5)
    runner = simulation.runner_by_node["node-0"]
    if is_ended:
        runner.ends.append(ListedCompletion(99, task, 1, "done", ""))
    else:
        runner.run_by_task[task] = 1
        runner.ledger.get_step = lambda name: LONG_RUNNING[0]
    simulation.advance(1.0)
    runner.run_by_task.pop(task, None)
    simulation.advance(1.0)
    check_scheduling(simulation, "job2")


# Guards against a scheduler whose takeover fails for all jobs because one row can't be
# read.
@pytest.mark.parametrize("table", [JOBS, RUNS])
@pytest.mark.parametrize("value", UNREADABLE)
def test_unreadable_row_of_one_job_does_not_prevent_a_takeover(
    simulation, table, value
):
    simulation.submit("job1")
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(1.0)
    simulation.store.write([Put(get_row_id(table, "queue/job1"), value)], [])
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(12.0)
    assert simulation.leader is not None
    assert len([t for t, _ in simulation.running if t.startswith("watch")]) == 2
    check_scheduling(simulation, "job2")
    # The history of this change is lost, so that all rows are read again.
    simulation.submit("job3")
    simulation.store.compact()
    simulation.advance(2.0)
    starts = [task for task, _, _ in simulation.ledger.starts]
    assert len([task for task in starts if task.startswith("job1")]) == 2
    assert simulation.ledger.problems == []


@pytest.mark.parametrize("value", UNREADABLE)
def test_unreadable_fence_does_not_end_the_entry(simulation, value):
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(1.0)
    part = get_part("queue/watch")
    simulation.store.write([Put(get_fence_id(part), value)], [])
    simulation.kill_entry(simulation.leader.name)
    simulation.advance(12.0)
    assert simulation.leader is not None
    check_scheduling(simulation, "job2")
