"""Who schedules: the lease, its lapse, and entries that are too small for it."""

import pytest

from bergamotshore.core.work.leases import (
    CANDIDACY_DELAY_SECONDS,
    ECHO_GRACE_SECONDS,
    LEASE_SECONDS,
    LeaderLease,
    LeaseObservation,
    RenewalGrant,
    get_candidacy_delay,
    get_grant_seconds,
    get_lease_expiry_seconds,
)
from bergamotshore.entry.election import Election
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn


@pytest.fixture
def store():
    return RowsStandIn()


@pytest.fixture
def build(store, clock):
    def build(name, run=1, patience=0.0):
        log = EventLog(clock, emit=lambda line: None)
        return Election(store, name, f"{name}-{run}", "1.2.3.4:5", clock, log, patience)

    return build


def test_a_free_lease_goes_to_the_first_and_only_to_it(build, clock):
    first, second = build("a"), build("b")
    first.step()
    second.step()
    assert first.lease.is_valid(clock.now())
    assert second.lease.epoch == 0
    assert second.leader_address == "1.2.3.4:5"


def test_a_lease_is_taken_over_only_after_it_has_run_out(build, clock):
    first, second = build("a"), build("b")
    first.step()
    second.step()
    clock.advance(LEASE_SECONDS)
    second.step()
    assert second.lease.epoch == 0
    assert not first.lease.is_valid(clock.now())
    clock.advance(0.5)
    second.step()
    assert second.lease.epoch == 2
    first.step()
    assert first.lease.epoch == 0


def test_a_restarted_process_takes_its_own_lease_at_once(build, clock):
    build("a").step()
    again = build("a", run=2)
    again.step()
    assert again.lease.epoch == 2


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_a_renewal_without_an_answer_extends_nothing(build, store, clock, fault):
    election = build("a")
    election.step()
    until = election.lease.valid_until
    clock.advance(1.0)
    store.faults = [fault]
    election.step()
    assert election.lease.valid_until == until
    store.run_late()
    clock.advance(1.0)
    election.step()
    clock.advance(0.8)
    election.step()
    assert election.lease.epoch == 1
    assert election.lease.is_valid(clock.now())


def test_an_entry_that_resigns_leaves_the_lease_free(build, clock):
    first, second = build("a"), build("b")
    first.step()
    first.resign()
    second.step()
    assert second.lease.epoch == 2


def test_a_small_entry_leaves_the_lease_to_larger_ones_but_not_for_ever(build, clock):
    assert get_candidacy_delay(1.07, 1000.0) == 0.0
    assert get_candidacy_delay(0.5, 5.0) == 2 * CANDIDACY_DELAY_SECONDS
    small, large = build("a", patience=CANDIDACY_DELAY_SECONDS), build("b")
    small.step()
    assert small.lease.epoch == 0
    large.step()
    assert large.lease.epoch == 1
    alone = build("c", patience=CANDIDACY_DELAY_SECONDS)
    large.resign()
    alone.step()
    clock.advance(CANDIDACY_DELAY_SECONDS + 0.1)
    alone.step()
    assert alone.lease.epoch == 2


def test_a_right_counts_from_the_reading_that_was_echoed():
    grant = RenewalGrant(get_grant_seconds(6.0))
    assert grant.record_echo(2, 100.0)
    assert grant.get_remaining(101.0) == pytest.approx(4.5)
    assert not grant.record_echo(1, 105.0)
    assert grant.get_remaining(101.0) == pytest.approx(4.5)
    assert get_lease_expiry_seconds(grant.duration) > grant.duration * 1.04


def test_a_sighting_starts_anew_with_each_version():
    observation = LeaseObservation()
    assert not observation.observe(1, 0.0)
    assert not observation.observe(2, LEASE_SECONDS + 1.0)
    assert observation.observe(2, 2 * LEASE_SECONDS + 2.0)
    assert not LeaderLease().is_valid(0.0)


def test_echoes_of_an_entry_that_lapsed_are_waited_for_by_every_later_term(
    build, clock
):
    build("a").step()
    second, third = build("b"), build("c")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    last_echo = clock.now() + ECHO_GRACE_SECONDS
    second.resign()
    third.step()
    assert third.lease.epoch == 3
    assert third.echoed_until >= last_echo


def test_no_echo_is_waited_for_after_a_predecessor_that_gave_up_its_lease(build, clock):
    first, second = build("a"), build("b")
    first.step()
    assert first.echoed_until <= clock.now()
    first.resign()
    second.step()
    assert second.lease.epoch == 2
    assert second.echoed_until <= clock.now()


def test_echoes_are_waited_for_no_longer_once_a_holder_has_outlasted_them(build, clock):
    build("a").step()
    second, third = build("b"), build("c")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    for _ in range(6):
        clock.advance(1.0)
        second.step()
    second.resign()
    third.step()
    assert third.lease.epoch == 3
    assert third.echoed_until <= clock.now()
