"""Tests of job transitions, capacity and placement."""

from random import Random

import pytest
from returns.result import Failure, Success

from bergamotshore.core.capacity import ReservationLedger, Size
from bergamotshore.core.claims import ClaimIndex
from bergamotshore.core.jobs import (
    FAILURES_MAX,
    Placement,
    cancel_job,
    claim_tasks,
    create_job,
    end_attempt,
    get_done_key,
    get_open_key,
    is_finished,
    list_pending,
    release_attempt,
)
from bergamotshore.core.placement import (
    NodeCapacity,
    TeamBudget,
    get_misfit_reason,
    place_tasks,
)
from bergamotshore.exceptions import StaleAttempt
from bergamotshore.generated.messages import AttemptId, TaskEnded, TaskSpec

SPEC = TaskSpec(command=["x"], processors=2.0, memory_gb=4.0, work_seconds=10)


def build_job(kind="batch", count=1):
    return create_job("team", "job", kind, "submitted", SPEC, count)


def claim(row, index=0, node="node-1"):
    return claim_tasks(row, [Placement(index, node, "zone-a", "s1")], "op")


def report(outcome, attempt=1, index=0, **fields):
    attempt_id = AttemptId(job="team/job", index=index, attempt=attempt)
    return TaskEnded(attempt=attempt_id, session="s1", outcome=outcome, **fields)


def test_a_claim_raises_the_attempt_number():
    row = claim(build_job())
    assert (row.tasks[0].state, row.tasks[0].attempt) == ("claimed", 1)
    assert list_pending(row) == []


def test_claiming_a_claimed_task_changes_nothing():
    row = claim(build_job())
    assert claim(row, node="node-2").tasks == row.tasks


def test_completion_is_recorded_once():
    row = end_attempt(claim(build_job()), report("completed", result="res")).unwrap()
    assert (row.tasks[0].state, row.tasks[0].result) == ("completed", "res")
    assert is_finished(row)
    assert isinstance(end_attempt(row, report("completed")), Failure)


def test_an_eviction_keeps_the_checkpoint_and_makes_the_task_pending():
    row = end_attempt(claim(build_job()), report("evicted", checkpoint="c1")).unwrap()
    assert (row.tasks[0].state, row.tasks[0].checkpoint) == ("pending", "c1")
    row = end_attempt(claim(row), report("evicted", attempt=2)).unwrap()
    assert row.tasks[0].checkpoint == "c1"


@pytest.mark.parametrize("outcome", ["completed", "evicted", "failed"])
def test_reports_of_old_attempts_are_refused(outcome):
    row = release_attempt(claim(build_job()), 0, 1, "lapsed")
    row = claim(row, node="node-2")
    failure = end_attempt(row, report(outcome, attempt=1))
    assert failure == Failure(StaleAttempt("team/job", 0, 1, 2))


def test_a_report_about_an_unknown_task_is_refused():
    assert isinstance(end_attempt(build_job(), report("completed", index=7)), Failure)


def test_failures_are_capped_for_batch_tasks():
    row = build_job()
    for attempt in range(1, FAILURES_MAX + 1):
        row = end_attempt(claim(row), report("failed", attempt=attempt)).unwrap()
    assert row.tasks[0].state == "failed"


@pytest.mark.parametrize("outcome", ["completed", "failed", "evicted"])
def test_a_watcher_is_always_started_again(outcome):
    row = build_job("watcher")
    for attempt in range(1, FAILURES_MAX + 3):
        row = end_attempt(claim(row), report(outcome, attempt=attempt)).unwrap()
        assert row.tasks[0].state == "pending"


def test_cancelling_ends_pending_tasks_and_waits_for_claimed_ones():
    row = cancel_job(claim(build_job(count=2)))
    assert [task.state for task in row.tasks] == ["claimed", "cancelled"]
    assert not is_finished(row)
    assert is_finished(end_attempt(row, report("cancelled")).unwrap())


def test_a_cancelled_job_that_completes_first_stays_completed():
    row = cancel_job(claim(build_job()))
    row = end_attempt(row, report("completed", result="r")).unwrap()
    assert row.tasks[0].state == "completed"


def test_releasing_an_old_attempt_changes_nothing():
    row = claim(build_job())
    assert release_attempt(row, 0, 7, "x") is row


def test_open_and_done_rows_have_different_keys():
    assert get_open_key("team/job") != get_done_key("team/job")


def test_reservations_stay_within_the_worker():
    ledger = ReservationLedger(Size(4.0, 10.0, 1))
    assert ledger.reserve("a", Size(3.0, 1.0, 1))
    assert not ledger.reserve("b", Size(1.0, 1.0, 1))
    assert not ledger.reserve("a", Size(0.1, 0.1, 0))
    ledger.release("a")
    assert ledger.reserve("b", Size(4.0, 10.0, 1))


def test_what_the_worker_runs_already_is_restored_over_the_limit():
    ledger = ReservationLedger(Size(2.0, 2.0))
    ledger.restore("a", Size(3.0, 1.0))
    assert not ledger.reserve("b", Size(0.5, 0.5))


def build_room(node, processors, memory=60.0):
    size = Size(processors, memory)
    return NodeCapacity(node, "zone-a", "s1", Size(16.0, 60.0), size)


def test_placement_takes_the_least_loaded_node_that_fits():
    rooms = [build_room("small", 1.0), build_room("a", 8.0), build_room("b", 10.0)]
    budget = TeamBudget(Size(100, 100), Size())
    placements = place_tasks(build_job(count=3), [0, 1, 2], rooms, budget, Random(1))
    assert [item.node for item in placements] == ["b", "b", "a"]


def test_placement_stops_at_the_quota():
    rooms = [build_room("a", 16.0)]
    budget = TeamBudget(Size(5.0, 100), Size(1.0, 1.0))
    assert (
        len(place_tasks(build_job(count=3), [0, 1, 2], rooms, budget, Random(1))) == 2
    )


def test_placement_looks_at_all_nodes_when_its_sample_is_full():
    rooms = [build_room(f"full-{number}", 0.5) for number in range(100)]
    rooms.append(build_room("free", 8.0))
    budget = TeamBudget(Size(100, 100), Size())
    placements = place_tasks(build_job(), [0], rooms, budget, Random(1))
    assert [item.node for item in placements] == ["free"]


def test_the_index_follows_every_change_of_a_row():
    index = ClaimIndex()
    pending = build_job(count=2)
    index.replace(None, pending)
    assert index.pending_jobs == {"team/job"}
    claimed = claim(pending)
    index.replace(pending, claimed)
    assert index.get_used("team") == Size(2.0, 4.0)
    assert index.get_unlisted_size("node-1", frozenset()) == Size(2.0, 4.0)
    assert index.get_unlisted_size("node-1", {("team/job", 0, 1)}) == Size()
    ended = end_attempt(claimed, report("completed")).unwrap()
    index.replace(claimed, ended)
    assert index.get_used("team") == Size()
    index.replace(ended, None)
    assert index.pending_jobs == set()


def test_a_task_larger_than_any_worker_is_explained():
    job = create_job(
        "t", "j", "batch", "submitted", TaskSpec(command=["x"], processors=99), 1
    )
    assert get_misfit_reason(job, [build_room("a", 1.0)]) == "larger-than-any-worker"
    assert get_misfit_reason(build_job(), [build_room("a", 1.0)]) == ""


def test_end_attempt_gives_a_new_row():
    row = claim(build_job())
    assert isinstance(end_attempt(row, report("completed")), Success)
    assert row.tasks[0].state == "claimed"
