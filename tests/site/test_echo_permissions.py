"""Grants that end with the leader lease, and permissions for longer ones."""

import msgspec
import pytest

from bergamotshore.core.work.leases import (
    CANDIDACY_DELAY_SECONDS,
    DRIFT_SHARE,
    ECHO_GRACE_SECONDS,
    ENTRY_HEARD_SECONDS,
    HANDOVER_SECONDS,
    LEASE_SECONDS,
    PERMISSION_SECONDS,
    RENEW_SECONDS,
    get_last_permitted_echo_time,
    get_last_unpermitted_echo_time,
)
from bergamotshore.core.work.model import Step
from bergamotshore.entry.election import LEADER_ROW, Election
from bergamotshore.ports.rows import Put
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn

GRANT_SECONDS = 5.5
LONG_RUNNING = (Step(tasks=2, cpu=9000, memory=100, is_lasting=True),)


@pytest.fixture
def store():
    return RowsStandIn()


@pytest.fixture
def build(store, clock):
    def build(name, incarnation=1):
        log = EventLog(clock, emit=lambda line: None)
        return Election(
            store,
            name,
            f"{name}-{incarnation}",
            "1.2.3.4:5",
            clock,
            log,
            grant_seconds=GRANT_SECONDS,
        )

    return build


@pytest.fixture
def holder(build):
    """Return an entry that has heard of another one and holds the lease."""
    holder = build("holder")
    holder.record_entry("other", "other-1", 0.0)
    holder.step()
    return holder


@pytest.fixture
def other(build, holder):
    """Return the other entry, which has read the row of the lease."""
    other = build("other")
    other.step()
    return other


def exchange(clock, sender, receiver, echoed_at=None):
    """Let an entry send a heartbeat to another one, which has just been heard."""
    now = clock.now()
    sender.record_entry(receiver.name, f"{receiver.name}-1", now)
    permits_echo = sender.permit_echo(receiver.name, f"{receiver.name}-1")
    receiver.record_entry(
        sender.name,
        f"{sender.name}-1",
        now if echoed_at is None else echoed_at,
        permits_echo=permits_echo,
    )
    return permits_echo


def get_grant_end(holder, clock):
    """Return when a grant by an echo of the present time ends; 0 if there is none."""
    echo = holder.get_echo(clock.now(), clock.now())
    return 0.0 if echo is None else echo + GRANT_SECONDS


def lapse(clock, *elections):
    """Let the lease of the holder expire; the others read its row meanwhile."""
    for _ in range(4):
        clock.advance(1.1 * LEASE_SECONDS / 4)
        for election in elections:
            election.step()


# Guards against grants that outlast what a successor waits for.
@pytest.mark.parametrize("age", [0.0, 0.5, RENEW_SECONDS, 2.0, LEASE_SECONDS - 0.01])
def test_grants_end_soon_after_the_lease_without_a_permission(
    holder, other, clock, age
):
    renewed_at = clock.now()
    clock.advance(age)
    last_end = renewed_at + LEASE_SECONDS + HANDOVER_SECONDS
    assert get_grant_end(holder, clock) <= last_end
    assert get_grant_end(holder, clock) == pytest.approx(
        min(clock.now() + GRANT_SECONDS, last_end)
    )
    clock.advance(LEASE_SECONDS)
    assert holder.get_echo(clock.now(), clock.now()) is None


# Guards against a grant that counts from the sending of an old clock reading.
def test_grant_is_bounded_by_the_time_at_which_the_reading_was_received(holder, clock):
    received_at = clock.now()
    clock.advance(0.5)
    echo = holder.get_echo(received_at, received_at)
    assert echo + GRANT_SECONDS <= received_at + LEASE_SECONDS + HANDOVER_SECONDS


def test_grants_are_whole_in_an_outage_that_the_other_entry_sees_too(
    holder, other, store, clock
):
    store.is_down = True
    renewed_at = clock.now()
    while clock.now() < renewed_at + LEASE_SECONDS + ECHO_GRACE_SECONDS - 0.5:
        clock.advance(0.5)
        holder.step()
        other.step()
        assert exchange(clock, other, holder)
        assert get_grant_end(holder, clock) == clock.now() + GRANT_SECONDS
    clock.advance(0.5)
    assert get_grant_end(holder, clock) == 0.0


@pytest.mark.parametrize("reason", ["reaches-store", "silent", "late", "old"])
def test_no_echo_in_the_grace_period_without_a_valid_permission(
    holder, other, store, clock, reason
):
    """Permissions that are given late, delayed or not at all."""
    store.is_down = reason != "reaches-store"
    other.step()
    clock.advance(LEASE_SECONDS + 0.1)
    now = clock.now()
    match reason:
        case "reaches-store":
            assert not exchange(clock, other, holder)
        case "silent":
            assert not other.permit_echo("holder", "holder-1")
        case "late":
            exchange(clock, other, holder, echoed_at=now - PERMISSION_SECONDS - 0.1)
        case "old":
            exchange(clock, other, holder)
            clock.advance(PERMISSION_SECONDS + 0.1)
    assert holder.get_echo(clock.now(), clock.now()) is None


# Guards against echoes under the permissions of some entries only.
def test_all_entries_that_the_row_names_have_to_permit_echoes(
    build, holder, other, store, clock
):
    third = build("third")
    holder.record_entry("third", "third-1", 0.0)
    holder.step()
    third.step()
    store.is_down = True
    other.step()
    clock.advance(LEASE_SECONDS + 0.1)
    exchange(clock, other, holder)
    assert get_grant_end(holder, clock) == 0.0
    third.step()
    exchange(clock, third, holder)
    assert get_grant_end(holder, clock) > 0.0


# Guards against a holder that no longer asks an entry that a stored row may name.
@pytest.mark.parametrize("fault", ["lost", "late"])
def test_entry_named_by_a_renewal_without_an_answer_is_asked(
    holder, other, store, clock, fault
):
    clock.advance(2.0)
    holder.record_entry("third", "third-1", clock.now())
    store.faults = [fault]
    holder.step()
    store.is_down = True
    other.step()
    clock.advance(LEASE_SECONDS)
    exchange(clock, other, holder)
    assert holder.get_echo(clock.now(), clock.now()) is None


# Guards against a wait for echoes in the grace period where none can have been sent.
def test_successor_that_has_permitted_no_echo_does_not_wait_for_them(
    holder, other, clock
):
    read_at = clock.now()
    lapse(clock, other)
    assert other.lease.epoch == 2
    latest = get_last_unpermitted_echo_time(read_at, GRANT_SECONDS)
    assert other.last_echo_at == pytest.approx(
        max(latest, get_last_permitted_echo_time(read_at))
    )
    assert other.last_echo_at < clock.now()


# Guards against a takeover that forgets the echoes that the successor permitted.
def test_successor_waits_for_the_echoes_that_it_has_permitted(
    holder, other, store, clock
):
    store.is_down = True
    lapse(clock, other)
    assert exchange(clock, other, holder)
    permitted_at = clock.now()
    store.is_down = False
    clock.advance(0.2)
    other.step()
    assert other.lease.epoch == 2
    assert other.last_echo_at >= permitted_at + PERMISSION_SECONDS
    assert other.last_echo_at == get_last_permitted_echo_time(permitted_at)


# Guards against a restarted entry that forgets the permissions of its former process.
def test_restarted_entry_waits_for_echoes_that_its_former_process_may_have_permitted(
    build, holder, other, clock
):
    clock.advance(LEASE_SECONDS)
    started_at = clock.now()
    restarted = build("other", incarnation=2)
    restarted.step()
    lapse(clock, restarted)
    assert restarted.lease.epoch == 2
    assert restarted.last_echo_at >= started_at + PERMISSION_SECONDS


# Guards against a successor that was never asked, and relies on its own permissions.
def test_successor_that_the_row_does_not_name_waits_for_the_grace_period(
    build, holder, clock
):
    third = build("third")
    third.step()
    read_at = clock.now()
    lapse(clock, third)
    clock.advance(CANDIDACY_DELAY_SECONDS)
    third.step()
    assert third.lease.epoch == 2
    grace_ends_at = read_at + LEASE_SECONDS + ECHO_GRACE_SECONDS
    assert third.last_echo_at >= grace_ends_at
    assert third.last_echo_at <= read_at + (grace_ends_at - read_at) * (
        1.0 + 2 * DRIFT_SHARE
    )


# Guards against a wait for an earlier term that each successor counts anew.
def test_wait_for_an_earlier_term_is_handed_on_in_the_row(build, holder, clock):
    second, third = build("second"), build("third")
    second.step()
    lapse(clock, second)
    clock.advance(CANDIDACY_DELAY_SECONDS)
    second.step()
    assert second.lease.epoch == 2
    awaited_until = second.last_echo_at
    third.step()
    second.resign()
    third.step()
    assert third.lease.epoch == 3
    assert awaited_until <= third.last_echo_at < awaited_until + 0.2


# Guards against permissions for an entry that has ended, which a successor counts from.
def test_no_permission_for_an_entry_that_is_not_heard(holder, other, store, clock):
    store.is_down = True
    other.step()
    assert exchange(clock, other, holder)
    clock.advance(ENTRY_HEARD_SECONDS + 0.1)
    assert not other.permit_echo("holder", "holder-1")


# Guards against a successor that relies on permissions that another process has given
# or not: that one may have ended, and its next process has not read of its term.
@pytest.mark.parametrize("name", ["second", "third", "fourth"])
def test_restarted_successor_permits_echoes_that_the_next_one_waits_for(
    build, store, clock, name
):
    first, second, third = build("first"), build("second"), build("third")
    for other in ("second", "third"):
        first.record_entry(other, f"{other}-1", 0.0)
    first.step()
    renewed_at = clock.now()
    third.step()
    second.step()
    lapse(clock, second)
    assert second.lease.epoch == 2
    assert second.last_echo_at < clock.now()
    restarted = build("second", incarnation=2)
    observer = {"second": restarted, "third": third, "fourth": build("fourth")}[name]
    if observer is not restarted:
        observer.step()
    store.is_down = True
    for entry in (restarted, third):
        entry.step()
        entry.record_entry("first", "first-1", clock.now())
        assert entry.permit_echo("first", "first-1")
        first.record_entry(entry.name, "x", clock.now(), permits_echo=True)
    permitted_at = clock.now()
    assert first.get_echo(permitted_at, permitted_at) == permitted_at
    store.is_down = False
    lapse(clock, observer)
    assert observer.lease.epoch == 3
    grace_ends_at = renewed_at + LEASE_SECONDS + ECHO_GRACE_SECONDS
    assert observer.last_echo_at >= min(
        permitted_at + PERMISSION_SECONDS, grace_ends_at
    )


# Guards against a claim that is carried out late, after permissions of this entry.
def test_entry_waits_for_echoes_that_it_permitted_after_a_claim(
    holder, other, store, clock
):
    clock.advance(1.1 * LEASE_SECONDS)
    store.faults = ["late"]
    other.step()
    store.is_down = True
    other.step()
    assert exchange(clock, other, holder)
    permitted_at = clock.now()
    store.is_down = False
    store.run_late()
    other.step()
    assert other.lease.epoch == 3
    assert other.last_echo_at >= permitted_at + PERMISSION_SECONDS


# Guards against an unknown process that is forgotten beside known ones.
def test_process_that_is_not_known_is_handed_on_beside_known_ones(build, store, clock):
    build("a").step()
    (row,) = store.row_by_id.values()
    content = msgspec.msgpack.decode(row.value)
    for field in ("earlier", "required_permissions", "awaited"):
        content.pop(field)
    content["is_alone"] = False
    store.transact([], [Put(LEADER_ROW, msgspec.msgpack.encode(content))], [])
    second, third = build("b"), build("c")
    second.step()
    lapse(clock, second)
    assert second.lease.epoch == 2
    third.step()
    second.resign()
    third.step()
    assert third.lease.epoch == 3
    third.record_entry("a", "a-2", echo=clock.now())
    third.record_entry("b", "b-2", echo=clock.now())
    assert third.last_echo_at > clock.now()


# Guards against a successor that waits for the grace period although another entry,
# which the row names, could schedule without that wait.
def test_entry_that_the_row_does_not_name_leaves_a_lapsed_lease_to_others(
    holder, other, build, clock
):
    third = build("third")
    third.step()
    lapse(clock, third)
    assert third.lease.epoch == 0
    other.step()
    assert other.lease.epoch == 2
    assert other.last_echo_at < clock.now()


def test_entry_that_the_row_does_not_name_takes_a_lapsed_lease_of_nobody_else(
    holder, build, clock
):
    third = build("third")
    third.step()
    lapse(clock, third)
    assert third.lease.epoch == 0
    clock.advance(CANDIDACY_DELAY_SECONDS)
    third.step()
    assert third.lease.epoch == 2


# Guards against running tasks twice that a former scheduling entry keeps alive with the
# permission of a successor that was restarted, while a node reaches only the former.
@pytest.mark.parametrize("away", [0.5, 1.5, 2.5, 3.5])
def test_runs_kept_by_the_permission_of_a_restarted_successor_are_not_doubled(
    simulation, away
):
    simulation.submit("watch", LONG_RUNNING)
    simulation.advance(2.0)
    former = simulation.leader.name
    (successor,) = set(simulation.entry_names) - {former}
    node = next(n for n, r in simulation.runner_by_node.items() if r.run_by_task)
    simulation.without_store.add(former)
    simulation.disconnect(successor, node)
    while not simulation.entry_by_name[successor].election.lease.epoch:
        simulation.advance(0.1)
    simulation.without_store.add(successor)
    simulation.start_entry(successor)
    simulation.advance(away)
    simulation.without_store.discard(successor)
    simulation.advance(LEASE_SECONDS + ECHO_GRACE_SECONDS + 2 * GRANT_SECONDS)
    assert len(simulation.ledger.starts) > 2
    assert simulation.ledger.problems == []


# Guards against tasks that end although the scheduling entry is there, while the store
# answers reads and carries out writes late.
@pytest.mark.parametrize("is_stored", [False, True])
def test_permission_ends_with_the_outcome_of_the_claim(
    holder, other, store, clock, is_stored
):
    for _ in range(3):
        clock.advance(RENEW_SECONDS)
        other.step()
        assert not exchange(clock, other, holder)
    clock.advance(RENEW_SECONDS)
    store.faults = ["late"]
    other.step()
    assert other.lease.epoch == 0
    assert exchange(clock, other, holder)
    permitted_at = clock.now()
    assert get_grant_end(holder, clock) == permitted_at + GRANT_SECONDS
    other.step()
    if is_stored:
        store.run_late()
        other.step()
    assert other.lease.epoch in (2, 3)
    assert other.last_echo_at == get_last_permitted_echo_time(permitted_at)
    assert not exchange(clock, other, holder)
