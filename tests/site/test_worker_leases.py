"""Leases of workers that entries pass on to each other."""

import pytest

from bergamotshore.core.work.leases import DRIFT_SHARE
from bergamotshore.entry.workerleases import UNKNOWN_INCARNATION, WorkerLeases

BORN = 1_000
LEASE_SECONDS = 10.4
WORKERS_OF_A_LARGE_SITE = 300


@pytest.fixture
def entries(clock):
    """Return what three entries know."""
    return [WorkerLeases(clock) for _ in range(3)]


def pass_on(sender, receiver):
    return [receiver.record(*lease) for lease in sender.list_announced()]


def test_lease_is_passed_on_by_entries_that_no_node_has_told(entries):
    first, second, third = entries
    assert first.record("node", BORN, LEASE_SECONDS)
    assert pass_on(first, second) == [True]
    assert pass_on(second, third) == [True]
    assert pass_on(second, first) == [False]
    assert third.get_end("node") >= first.get_end("node")


# Guards against a lease that entries prolong for each other.
def test_lease_that_is_passed_on_again_and_again_lasts_no_longer(entries, clock):
    until = clock.now() + LEASE_SECONDS * (1.0 + 2 * DRIFT_SHARE)
    entries[0].record("node", BORN, LEASE_SECONDS)
    while clock.now() < until + 10.0:
        for sender in entries:
            for receiver in entries:
                pass_on(sender, receiver)
        clock.advance(0.5)
    assert entries[0].get_end("node") == until
    assert all(entry.list_announced() == [] for entry in entries)
    longest = until + LEASE_SECONDS * 4 * DRIFT_SHARE * (1.0 + 2 * DRIFT_SHARE)
    assert all(entry.get_end("node") <= longest for entry in entries)


# Guards against a lease that a delayed message brings back.
def test_message_that_arrives_after_the_end_of_a_lease_does_not_prolong_it(
    entries, clock
):
    leases = entries[0]
    leases.record("node", BORN, LEASE_SECONDS)
    until = leases.get_end("node")
    clock.advance(LEASE_SECONDS + 2.0)
    assert not leases.record("node", BORN, LEASE_SECONDS)
    assert leases.get_end("node") == until


def test_latest_lease_of_the_incarnations_of_a_worker_counts(entries, clock):
    leases = entries[0]
    leases.record("node", BORN, LEASE_SECONDS)
    clock.advance(5.0)
    assert leases.record("node", BORN + 1, LEASE_SECONDS)
    until = leases.get_end("node")
    assert until == clock.now() + LEASE_SECONDS * (1.0 + 2 * DRIFT_SHARE)
    leases.record("node", BORN, 1.0)
    assert leases.get_end("node") == until
    assert leases.get_end("other") < 0.0


# Entries of a former revision don't name the incarnation.
def test_longest_lease_counts_where_incarnations_are_not_named(entries):
    leases = entries[0]
    leases.record("node", UNKNOWN_INCARNATION, 4.0)
    leases.record("node", UNKNOWN_INCARNATION, LEASE_SECONDS)
    until = leases.get_end("node")
    leases.record("node", UNKNOWN_INCARNATION, 1.0)
    assert leases.get_end("node") == until
    assert leases.list_announced() == []


def test_node_without_such_a_lease_tells_none(entries):
    assert not entries[0].record("node", BORN, 0.0)
    assert entries[0].list_announced() == []


# Guards against a site on which many workers restart together: an entry that starts
# later did not learn of all their leases.
def test_leases_of_all_workers_of_a_large_site_are_passed_on(entries):
    first, second, _ = entries
    nodes = [f"node-{number}" for number in range(WORKERS_OF_A_LARGE_SITE)]
    for node in nodes:
        first.record(node, BORN, LEASE_SECONDS)
    pass_on(first, second)
    assert all(second.get_end(node) >= first.get_end(node) for node in nodes)
