"""Tests that rows of closed jobs are kept for the configured time, then removed."""

from returns.result import Success

from bergamotshore.entry.jobrows import CLOSED, ClosedJob, decode_closed, encode_closed
from bergamotshore.entry.retention import MARGIN_SECONDS, SWEEP_SECONDS
from tests.site.world import STATE_KEPT_SECONDS


def run_to_completion(world, name):
    world.submit(name)
    world.advance(0.5)
    world.finish_all()
    world.advance(0.5)
    assert world.get_state(name) == "done"


def count_closed_rows(world):
    return sum(row_id.table == CLOSED for row_id in world.store.row_by_id)


def test_the_state_of_a_closed_job_is_kept_for_the_configured_time_and_then_removed(
    world,
):
    run_to_completion(world, "job1")
    world.advance(STATE_KEPT_SECONDS)
    assert world.get_state("job1") == "done"
    assert world.submit("job1") == Success(False)
    world.advance(MARGIN_SECONDS + SWEEP_SECONDS + 1.0)
    assert count_closed_rows(world) == 0


def test_only_expired_rows_are_removed_also_after_a_takeover(world):
    run_to_completion(world, "job1")
    world.advance(STATE_KEPT_SECONDS)
    run_to_completion(world, "job2")
    world.start_entry(world.leader.name)
    world.advance(MARGIN_SECONDS + SWEEP_SECONDS + 1.0)
    assert world.get_state("job1") is None
    assert world.get_state("job2") == "done"


def test_a_store_failure_delays_removal_and_loses_no_state(world):
    run_to_completion(world, "job1")
    world.store.faults = ["down", "lost"] * 3
    world.advance(1.0)
    assert world.get_state("job1") == "done"
    world.advance(STATE_KEPT_SECONDS + MARGIN_SECONDS + 2 * SWEEP_SECONDS)
    assert count_closed_rows(world) == 0


def test_a_row_of_an_earlier_version_without_a_time_is_decoded_as_closed_at_zero():
    assert decode_closed(b"failed") == ClosedJob("failed", 0.0)
    closed = ClosedJob("done", 1_700_000_000.0)
    assert decode_closed(encode_closed(closed)) == closed
