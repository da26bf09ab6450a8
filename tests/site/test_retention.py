"""Tests that rows of closed jobs are kept for the configured time, then removed."""

from returns.result import Success

from bergamotshore.entry.jobrows import CLOSED, ClosedJob, decode_closed, encode_closed
from bergamotshore.entry.retention import MARGIN_SECONDS, SWEEP_SECONDS
from tests.site.simulation import STATE_KEPT_SECONDS


def run_to_completion(simulation, name):
    simulation.submit(name)
    simulation.advance(0.5)
    simulation.finish_all()
    simulation.advance(0.5)
    assert simulation.get_state(name) == "done"


def count_closed_rows(simulation):
    return sum(row_id.table == CLOSED for row_id in simulation.store.row_by_id)


def test_the_state_of_a_closed_job_is_kept_for_the_configured_time_and_then_removed(
    simulation,
):
    run_to_completion(simulation, "job1")
    simulation.advance(STATE_KEPT_SECONDS)
    assert simulation.get_state("job1") == "done"
    assert simulation.submit("job1") == Success(False)
    simulation.advance(MARGIN_SECONDS + SWEEP_SECONDS + 1.0)
    assert count_closed_rows(simulation) == 0


def test_only_expired_rows_are_removed_also_after_a_takeover(simulation):
    run_to_completion(simulation, "job1")
    simulation.advance(STATE_KEPT_SECONDS)
    run_to_completion(simulation, "job2")
    simulation.start_entry(simulation.leader.name)
    simulation.advance(MARGIN_SECONDS + SWEEP_SECONDS + 1.0)
    assert simulation.get_state("job1") is None
    assert simulation.get_state("job2") == "done"


def test_a_store_failure_delays_removal_and_loses_no_state(simulation):
    run_to_completion(simulation, "job1")
    simulation.store.faults = ["down", "lost"] * 3
    simulation.advance(1.0)
    assert simulation.get_state("job1") == "done"
    simulation.advance(STATE_KEPT_SECONDS + MARGIN_SECONDS + 2 * SWEEP_SECONDS)
    assert count_closed_rows(simulation) == 0


def test_a_row_of_an_earlier_version_without_a_time_is_decoded_as_closed_at_zero():
    assert decode_closed(b"failed") == ClosedJob("failed", 0.0)
    closed = ClosedJob("done", 1_700_000_000.0)
    assert decode_closed(encode_closed(closed)) == closed
