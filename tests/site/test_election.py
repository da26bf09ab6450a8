"""Leader election: the lease, its expiry, and entries with too few resources."""

import msgspec
import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.leases import (
    CANDIDACY_DELAY_SECONDS,
    DRIFT_SHARE,
    ECHO_GRACE_SECONDS,
    LEASE_SECONDS,
    RENEW_RETRY_SECONDS,
    RENEW_SECONDS,
    LeaderLease,
    LeaseObservation,
    RenewalGrant,
    get_candidacy_delay,
    get_grant_seconds,
    get_lease_expiry_seconds,
)
from bergamotshore.entry.election import LEADER_ROW, Election, LeaderRow
from bergamotshore.exceptions import PlatformUnavailable, PlatformUncertain
from bergamotshore.ports.rows import Put
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn

# Timeout of a call that sets none, in seconds.
DEFAULT_TIMEOUT_SECONDS = 2.0


@pytest.fixture
def store():
    return RowsStandIn()


@pytest.fixture
def build(store, clock):
    def build(name, incarnation=1, candidacy_delay=0.0):
        log = EventLog(clock, emit=lambda line: None)
        return Election(
            store,
            name,
            f"{name}-{incarnation}",
            "1.2.3.4:5",
            clock,
            log,
            candidacy_delay,
        )

    return build


def test_only_the_first_entry_acquires_a_free_lease(build, clock):
    first, second = build("a"), build("b")
    first.step()
    second.step()
    assert first.lease.is_valid(clock.now())
    assert second.lease.epoch == 0
    assert second.leader_address == "1.2.3.4:5"


def test_a_lease_is_taken_over_only_after_it_expired(build, clock):
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


# Guards against a takeover that is late by the interval between two reads of the row,
# while the grants of the former scheduling entry run out.
@pytest.mark.parametrize("age", [0.0, 0.3, 0.7])
def test_lapsed_lease_is_read_as_soon_as_it_has_expired(build, clock, age):
    first, second = build("a"), build("b")
    first.step()
    clock.advance(age)
    second.step()
    read_at = clock.now()
    for _ in range(8):
        pause = second.step()
        if second.lease.epoch:
            break
        clock.advance(pause)
    expired_at = read_at + LEASE_SECONDS * (1.0 + 2 * DRIFT_SHARE)
    assert second.lease.epoch == 2
    assert clock.now() == pytest.approx(expired_at, abs=0.05)


def test_a_restarted_process_reacquires_its_own_lease_without_waiting(build, clock):
    build("a").step()
    restarted = build("a", incarnation=2)
    restarted.step()
    assert restarted.lease.epoch == 2


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_an_unanswered_renewal_does_not_extend_the_lease(build, store, clock, fault):
    election = build("a")
    election.step()
    valid_until = election.lease.valid_until
    clock.advance(1.0)
    store.faults = [fault]
    election.step()
    assert election.lease.valid_until == valid_until
    store.run_late()
    clock.advance(1.0)
    election.step()
    clock.advance(0.8)
    election.step()
    assert election.lease.epoch == 1
    assert election.lease.is_valid(clock.now())


# Guards against a term that ends, and a scheduling entry that decides nothing, because
# its connection to the store has gone silent while the store answers on new ones.
@pytest.mark.parametrize("fault", ["down", "lost", "late"])
def test_lease_outlasts_one_renewal_without_an_answer(build, store, clock, fault):
    election = build("a")
    pause = election.step()
    transact = store.transact

    def transact_slowly(expects, puts, deletes, timeout=DEFAULT_TIMEOUT_SECONDS):
        outcome = transact(expects, puts, deletes, timeout)
        match outcome:
            case Failure(PlatformUnavailable() | PlatformUncertain()):
                clock.advance(timeout)
        return outcome

    store.transact = transact_slowly
    store.faults = [fault]
    for _ in range(4):
        clock.advance(pause)
        assert election.lease.is_valid(clock.now())
        pause = election.step()
        assert election.lease.is_valid(clock.now())


# Guards against a lease that is short most of the time while the store is slow.
@pytest.mark.parametrize("seconds", [0.05, 0.4, 1.1])
def test_renewals_are_sent_at_their_interval_however_long_they_take(
    build, store, clock, seconds
):
    election = build("a")
    pause = election.step()
    transact = store.transact

    def transact_slowly(*arguments, **options):
        clock.advance(seconds)
        return transact(*arguments, **options)

    store.transact = transact_slowly
    election.step()
    for _ in range(5):
        sent_at = clock.now()
        pause = election.step()
        assert clock.now() + pause - sent_at == pytest.approx(
            max(RENEW_SECONDS, seconds + RENEW_RETRY_SECONDS)
        )
        clock.advance(pause)


# Guards against a term without a valid lease while the store carries out renewals and
# loses most of its answers.
def test_lease_outlasts_a_series_of_renewals_whose_answers_are_lost(
    build, store, clock
):
    election = build("a")
    pause = election.step()
    transact = store.transact

    def lose_answer(expects, puts, deletes, timeout=DEFAULT_TIMEOUT_SECONDS):
        outcome = transact(expects, puts, deletes, timeout)
        if isinstance(outcome, Success):
            clock.advance(timeout)
            return Failure(PlatformUncertain("lost"))
        return outcome

    store.transact = lose_answer
    for _ in range(12):
        clock.advance(pause)
        assert election.lease.is_valid(clock.now())
        pause = election.step()
        assert election.lease.is_valid(clock.now())


# Guards against a lease that is counted from a later renewal than the stored one.
def test_lease_counts_from_the_first_renewal_without_an_answer(build, store, clock):
    election = build("a")
    election.step()
    valid_until = election.lease.valid_until
    store.faults = ["down", "down", "lost"]
    for _ in range(3):
        clock.advance(0.5)
        election.step()
    assert election.lease.valid_until == valid_until
    clock.advance(0.5)
    election.step()
    first_sent_at = valid_until - LEASE_SECONDS + 0.5
    assert election.lease.valid_until == first_sent_at + LEASE_SECONDS


# Guards against a site without a scheduling entry for the whole lease that a claim
# without an answer has begun.
def test_a_claim_that_was_carried_out_late_is_followed_by_another_one(
    build, store, clock
):
    election = build("a")
    store.faults = ["late"]
    election.step()
    assert election.lease.epoch == 0
    store.run_late()
    election.step()
    assert election.lease.epoch == 2
    assert election.lease.is_valid(clock.now())


def test_another_entry_acquires_the_lease_after_its_holder_resigned(build, clock):
    first, second = build("a"), build("b")
    first.step()
    first.resign()
    second.step()
    assert second.lease.epoch == 2


def test_a_small_entry_leaves_a_free_lease_to_larger_ones_for_a_limited_time(
    build, clock
):
    assert get_candidacy_delay(1.07, 1000.0) == 0.0
    assert get_candidacy_delay(0.5, 5.0) == 2 * CANDIDACY_DELAY_SECONDS
    small, large = build("a", candidacy_delay=CANDIDACY_DELAY_SECONDS), build("b")
    small.step()
    assert small.lease.epoch == 0
    large.step()
    assert large.lease.epoch == 1
    last = build("c", candidacy_delay=CANDIDACY_DELAY_SECONDS)
    large.resign()
    last.step()
    clock.advance(CANDIDACY_DELAY_SECONDS + 0.1)
    last.step()
    assert last.lease.epoch == 2


def test_a_renewal_grant_starts_at_the_echoed_clock_reading():
    renewal_grant = RenewalGrant(get_grant_seconds(6.0))
    assert renewal_grant.record_echo(2, 100.0)
    assert renewal_grant.get_remaining(101.0) == pytest.approx(4.5)
    assert not renewal_grant.record_echo(1, 105.0)
    assert renewal_grant.get_remaining(101.0) == pytest.approx(4.5)
    assert (
        get_lease_expiry_seconds(renewal_grant.duration) > renewal_grant.duration * 1.04
    )


def test_a_lease_observation_restarts_with_each_row_version():
    observation = LeaseObservation()
    assert not observation.observe(1, 0.0)
    assert not observation.observe(2, LEASE_SECONDS + 1.0)
    assert observation.observe(2, 2 * LEASE_SECONDS + 2.0)
    assert not LeaderLease().is_valid(0.0)


def test_every_later_term_waits_for_the_echoes_of_an_entry_whose_lease_expired(
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
    assert third.last_echo_at >= last_echo


def test_no_wait_for_echoes_after_the_predecessor_resigned(build, clock):
    first, second = build("a"), build("b")
    first.step()
    assert first.last_echo_at <= clock.now()
    first.resign()
    second.step()
    assert second.lease.epoch == 2
    assert second.last_echo_at <= clock.now()


def test_no_wait_for_echoes_that_a_previous_holder_has_already_waited_for(build, clock):
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
    assert third.last_echo_at <= clock.now()


# Guards against waiting 4.2 s for the echoes of a process that has ended.
def test_no_wait_for_echoes_of_a_predecessor_whose_successor_process_answers(
    build, clock
):
    build("a").step()
    second = build("b")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    assert second.lease.epoch == 2
    assert second.last_echo_at > clock.now()
    second.record_entry("a", "a-2", echo=clock.now())
    assert second.last_echo_at <= clock.now()


@pytest.mark.parametrize(
    ("name", "incarnation", "delay"),
    [("a", "a-1", 0.0), ("c", "c-1", 0.0), ("a", "a-2", 0.5)],
)
def test_echoes_are_waited_for_without_proof_that_the_predecessor_ended(
    build, clock, name, incarnation, delay
):
    """The last one was sent before this term began, by whichever process."""
    build("a").step()
    second = build("b")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    second.record_entry(name, incarnation, echo=clock.now() - delay)
    assert second.last_echo_at > clock.now()


def test_echoes_are_waited_for_until_the_processes_of_all_earlier_terms_have_ended(
    build, clock
):
    build("a").step()
    second, third = build("b"), build("c")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    third.step()
    clock.advance(LEASE_SECONDS * 1.1)
    third.step()
    assert third.lease.epoch == 3
    third.record_entry("b", "b-2", echo=clock.now())
    assert third.last_echo_at > clock.now()
    third.record_entry("a", "a-2", echo=clock.now())
    assert third.last_echo_at <= clock.now()


# Guards against a wait that begins anew with each term of a series.
def test_a_restarted_entry_knows_the_processes_of_terms_before_its_own(build, clock):
    build("a").step()
    second = build("b")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    restarted = build("b", incarnation=2)
    restarted.step()
    assert restarted.lease.epoch == 3
    assert restarted.last_echo_at > clock.now()
    restarted.record_entry("a", "a-2", echo=clock.now())
    assert restarted.last_echo_at <= clock.now()


def test_a_resigned_term_names_the_processes_of_earlier_terms(build, clock):
    build("a").step()
    second, third = build("b"), build("c")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    second.resign()
    third.step()
    assert third.lease.epoch == 3
    assert third.last_echo_at > clock.now()
    third.record_entry("a", "a-2", echo=clock.now())
    assert third.last_echo_at <= clock.now()


def test_echoes_of_processes_that_are_not_known_are_waited_for(build, store, clock):
    """The row was written by a version that did not name them."""
    build("a").step()
    (row,) = store.row_by_id.values()
    content = msgspec.msgpack.decode(row.value)
    for field in ("earlier", "required_permissions", "awaited"):
        content.pop(field)
    content["is_alone"] = False
    store.transact([], [Put(LEADER_ROW, msgspec.msgpack.encode(content))], [])
    second = build("b")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    assert second.lease.epoch == 2
    second.record_entry("a", "a-2", echo=clock.now())
    assert second.last_echo_at > clock.now()


# Guards against counting the wait for echoes of a former process of the same name from
# a term that begins long after it ended.
def test_echoes_of_the_former_process_of_an_entry_end_before_its_start(build, clock):
    build("a").step()
    clock.advance(1.0)
    restarted = build("a", incarnation=2)
    started_at = clock.now()
    clock.advance(5.0)
    restarted.step()
    assert restarted.lease.epoch == 2
    assert restarted.last_echo_at == started_at


# Guards against counting the wait from the takeover if the predecessor ended before it.
def test_a_predecessor_that_ended_before_the_takeover_is_not_waited_for(build, clock):
    build("a").step()
    second = build("b")
    second.step()
    clock.advance(1.0)
    ended_at = clock.now()
    second.record_entry("a", "a-2", echo=ended_at)
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    assert second.lease.epoch == 2
    assert second.last_echo_at == ended_at


# Guards against giving up runs too early: the message proves nothing, or not enough.
@pytest.mark.parametrize(
    ("name", "incarnation", "delay"),
    [("a", "a-1", 0.0), ("c", "c-1", 0.0), ("a", "a-0", 0.5)],
)
def test_echoes_are_waited_for_without_proof_before_the_takeover(
    build, clock, name, incarnation, delay
):
    """The last one was sent before the holder was read of, maybe by its predecessor."""
    build("a").step()
    second = build("b")
    second.step()
    second.record_entry(name, incarnation, echo=clock.now() - delay)
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    assert second.lease.epoch == 2
    assert second.last_echo_at > clock.now()


def test_the_end_of_one_of_several_predecessors_is_not_enough(build, clock):
    build("a").step()
    second, third = build("b"), build("c")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    third.step()
    third.record_entry("b", "b-2", echo=clock.now())
    clock.advance(LEASE_SECONDS * 1.1)
    third.step()
    assert third.lease.epoch == 3
    assert third.last_echo_at > clock.now()
    third.record_entry("a", "a-2", echo=clock.now())
    assert third.last_echo_at <= clock.now()


# Guards against a wait that begins anew with each claim whose answer was lost.
def test_a_repeated_claim_does_not_wait_for_echoes_anew(build, store, clock):
    build("a").step()
    second = build("b")
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    store.faults = ["late"]
    second.step()
    last_echo_at = second.last_echo_at
    store.run_late()
    clock.advance(1.0)
    second.step()
    assert second.lease.epoch == 3
    assert second.last_echo_at == last_echo_at


# Guards against waiting for echoes of an entry that is at work and knows that its term
# has ended, anew with each term of a series.
def test_echoes_of_an_entry_that_lost_its_term_are_not_waited_for(build, clock):
    first, second, third = build("a"), build("b"), build("c")
    for election in (first, second, third):
        election.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    assert second.lease.epoch == 2
    second.record_entry("a", "a-1", clock.now(), first.superseded_epoch)
    assert second.last_echo_at > clock.now()
    first.step()
    assert first.superseded_epoch == 2
    third.step()
    third.record_entry("a", "a-1", clock.now(), first.superseded_epoch)
    restarted = build("b", incarnation=2)
    restarted.step()
    second.record_entry("a", "a-1", clock.now(), first.superseded_epoch)
    assert second.last_echo_at <= clock.now()
    assert restarted.lease.epoch == 3
    restarted.record_entry("a", "a-1", clock.now(), superseded_epoch=1)
    assert restarted.last_echo_at > clock.now()
    assert first.superseded_epoch == 2
    restarted.record_entry("a", "a-1", clock.now(), first.superseded_epoch)
    assert restarted.last_echo_at <= clock.now()


# Guards against taking what the holder of the previous term says of an earlier one for
# the end of the previous one.
def test_holder_of_the_previous_term_has_to_know_of_the_present_one(build, clock):
    first, second = build("a"), build("b")
    first.step()
    second.step()
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    third = build("c")
    third.step()
    clock.advance(LEASE_SECONDS * 1.1)
    third.step()
    assert third.lease.epoch == 3
    third.record_entry("a", "a-1", clock.now(), superseded_epoch=2)
    third.record_entry("b", "b-1", clock.now(), superseded_epoch=2)
    assert third.last_echo_at > clock.now()
    third.record_entry("b", "b-1", clock.now(), superseded_epoch=3)
    assert third.last_echo_at <= clock.now()


# Guards against an entry that says that it has stopped echoing while it may go on.
def test_an_entry_that_holds_or_may_hold_a_term_says_nothing_of_its_echoes(
    build, clock
):
    first, second = build("a"), build("b")
    first.step()
    second.step()
    assert first.superseded_epoch == 0
    first.row = LeaderRow("b", "b-1", "1.2.3.4:5", 2)
    assert first.superseded_epoch == 0
    first.stand_back(1.0)
    assert first.superseded_epoch == 2
    first.row = second.row
    assert first.superseded_epoch == 0


# Guards against taking an earlier message for the end of the present term.
def test_an_entry_that_lost_an_earlier_term_is_waited_for_after_the_present_one(
    build, clock
):
    build("a").step()
    second = build("b")
    second.step()
    second.record_entry("a", "a-1", clock.now(), superseded_epoch=1)
    clock.advance(LEASE_SECONDS * 1.1)
    second.step()
    assert second.lease.epoch == 2
    assert second.last_echo_at > clock.now()


# Guards against a restarted entry that claims its own lease again and waits for a
# process of an earlier term until the next heartbeat of the one that has replaced it.
@pytest.mark.parametrize(
    ("incarnation", "is_early"), [(2, False), (2, True), (1, False)]
)
def test_restarted_entry_uses_what_it_heard_before_it_read_the_row(
    build, clock, incarnation, is_early
):
    build("a").step()
    former = build("b")
    former.step()
    clock.advance(LEASE_SECONDS * 1.1)
    former.step()
    assert former.lease.epoch == 2
    clock.advance(0.1)
    restarted = build("b", incarnation=2)
    echo = clock.now() - 0.1 * is_early
    restarted.record_entry("a", f"a-{incarnation}", echo)
    restarted.step()
    assert restarted.lease.epoch == 3
    is_proof = incarnation == 2 and not is_early
    assert (restarted.last_echo_at <= clock.now()) == is_proof


# Guards against the same if the entry holds a further term after the message.
def test_an_entry_that_holds_a_further_term_is_waited_for_again(build, clock):
    first, second, third = build("a"), build("b"), build("c")
    for election in (first, second, third):
        election.step()
    clock.advance(LEASE_SECONDS * 1.1)
    for election in (second, first, first, third):
        election.step()
    third.record_entry("a", "a-1", clock.now(), first.superseded_epoch)
    clock.advance(LEASE_SECONDS * 1.1)
    first.step()
    assert first.lease.epoch == 3
    third.step()
    third.record_entry("b", "b-2", clock.now())
    clock.advance(LEASE_SECONDS * 1.1)
    third.step()
    assert third.lease.epoch == 4
    assert third.last_echo_at > clock.now()


# Guards against a term number of another writer that is believed, so that the next ones
# are too large to be stored.
def test_term_that_can_not_have_begun_is_not_believed(build, store, clock):
    row = LeaderRow("x", "x-1", "1.2.3.4:5", 2**53 - 2)
    store.write([Put(LEADER_ROW, msgspec.msgpack.encode(row))], [])
    election = build("a")
    election.step()
    clock.advance(1.1 * LEASE_SECONDS)
    election.step()
    assert election.lease.is_valid(clock.now())
    assert election.lease.epoch == 2


class HookedLock:
    """Lock that calls a function each time it has been released."""

    def __init__(self, lock, call):
        self.lock, self.call = lock, call

    def __enter__(self):
        self.lock.__enter__()

    def __exit__(self, *details):
        self.lock.__exit__(*details)
        call, self.call = self.call, None
        if call is not None:
            call()
        self.call = call


# Guards against a late message that arrives during a claim and is judged by the time of
# an earlier claim: it ended the wait for a process that may still echo.
def test_late_message_during_a_claim_proves_nothing(build, clock):
    holder, other = build("a", incarnation=2), build("b")
    clock.advance(10.0)
    holder.step()
    other.step()
    clock.advance(LEASE_SECONDS + 1.0)
    other._lock = HookedLock(other._lock, lambda: other.record_entry("a", "a-1", 1.0))
    other.step()
    assert other.lease.epoch == 2
    assert other.last_echo_at > clock.now()


# Guards against the same after a resignation.
def test_late_message_does_not_shorten_the_wait_after_a_resignation(
    build, store, clock
):
    other = build("b")
    clock.advance(10.0)
    row = LeaderRow("", "c-1", "", 1, False, (("a", "a-2"),))
    store.write([Put(LEADER_ROW, msgspec.msgpack.encode(row))], [])
    other._can_schedule = lambda: False
    other.step()
    clock.advance(1.0)
    other._can_schedule = lambda: True
    other._lock = HookedLock(other._lock, lambda: other.record_entry("a", "a-1", 1.0))
    other.step()
    assert other.lease.epoch == 2
    assert other.last_echo_at > clock.now()
