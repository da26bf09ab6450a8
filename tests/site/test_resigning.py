"""Entries that release the lease while a renewal is in flight."""

import pytest

from bergamotshore.entry.election import Election
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn


@pytest.fixture
def store():
    return RowsStandIn()


@pytest.fixture
def build(store, clock):
    clock.advance(100.0)

    def build(name):
        log = EventLog(clock, emit=lambda line: None)
        return Election(store, name, f"{name}-1", "1.2.3.4:5", clock, log)

    return build


# Guards against an entry that takes the row by which it has released the lease for a
# renewal, and holds a valid lease beside its successor.
def test_released_lease_is_not_extended_by_a_renewal_in_flight(build, store, clock):
    election, successor = build("a"), build("b")
    election.step()
    clock.advance(0.8)
    store.faults = ["down"]
    election.step()
    clock.advance(0.1)
    transact = store.transact

    def release_meanwhile(*arguments, **options):
        store.transact = transact
        election.resign()
        return transact(*arguments, **options)

    store.transact = release_meanwhile
    election.step()
    successor.step()
    assert successor.lease.is_valid(clock.now())
    assert not election.lease.is_valid(clock.now())
    assert not election.get_echo(clock.now(), clock.now())


# Guards against an entry that has released the lease and goes on with it when the
# answer of a renewal arrives.
def test_released_lease_is_not_extended_by_a_late_answer(build, store, clock):
    election = build("a")
    election.step()
    transact = store.transact

    def release_before_the_answer(*arguments, **options):
        store.transact = transact
        outcome = transact(*arguments, **options)
        election.resign()
        return outcome

    store.transact = release_before_the_answer
    clock.advance(0.8)
    election.step()
    assert not election.lease.is_valid(clock.now())
