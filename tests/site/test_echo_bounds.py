"""Echoes of a former scheduling entry that outlast what its successors reckon with."""

import pytest

from bergamotshore.core.work.leases import (
    LEASE_SECONDS,
    MAX_GRANT_SECONDS,
    RENEW_SECONDS,
)
from bergamotshore.entry.election import Election
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn

GRANT_SECONDS = 5.5
STEP_SECONDS = 0.1
# Entries exchange heartbeats at this interval, in seconds.
HEARTBEAT_SECONDS = 0.5


class Entries:
    """Entries that share a store, and the last echo of the first holder of the lease.

    :param clock: ``Clock``.
    :param grant_seconds: Duration of a renewal grant, in seconds.
    """

    def __init__(self, clock, grant_seconds=GRANT_SECONDS):
        self.clock = clock
        self.store = RowsStandIn()
        self.grant_seconds = grant_seconds
        self.last_echo_at = 0.0
        clock.advance(100.0)
        self.holder = self.build("holder")

    def build(self, name, incarnation=1):
        """Start the process of an entry."""
        log = EventLog(self.clock, emit=lambda line: None)
        return Election(
            self.store,
            name,
            f"{name}-{incarnation}",
            "1.2.3.4:5",
            self.clock,
            log,
            grant_seconds=self.grant_seconds,
        )

    def exchange(self, *entries):
        """Let the holder and other entries send heartbeats to each other."""
        now = self.clock.now()
        for entry in entries:
            incarnation = entry._incarnation
            entry.record_entry("holder", "holder-1", now)
            permits_echo = entry.permit_echo("holder", "holder-1")
            self.holder.record_entry(
                entry.name, incarnation, now, permits_echo=permits_echo
            )

    def echo(self):
        """Let the holder echo the present reading of a node's clock."""
        now = self.clock.now()
        reading = self.holder.get_echo(now, now)
        if reading:
            self.last_echo_at = max(self.last_echo_at, reading)

    def run(self, seconds, *entries):
        """Let time pass; the holder echoes, and exchanges heartbeats with entries."""
        until = self.clock.now() + seconds
        heartbeat_at = self.clock.now()
        while self.clock.now() < until:
            if self.clock.now() >= heartbeat_at:
                heartbeat_at += HEARTBEAT_SECONDS
                self.exchange(*entries)
            self.echo()
            self.clock.advance(STEP_SECONDS)

    def take_over(self, entry):
        """Let an entry read the row until it holds the lease."""
        for _ in range(12):
            entry.step()
            if entry.lease.epoch:
                return
            self.clock.advance(RENEW_SECONDS)
        pytest.fail("no takeover")


@pytest.fixture
def entries(clock):
    return Entries(clock)


@pytest.fixture
def other(entries):
    """Return the only entry that the holder hears; the row of the lease names it."""
    other = entries.build("other")
    entries.exchange(other)
    entries.holder.step()
    assert entries.holder.row.permitting == ("other",)
    other.step()
    return other


def lapse(entries, other):
    """Let the lease of the holder expire until just before another entry claims it."""
    entries.run(1.1 * LEASE_SECONDS, other)


# Guards against a successor that permits echoes after its claim, whose answer was lost,
# and reckons only with those before it.
def test_successor_reckons_with_echoes_that_it_permits_after_a_lost_claim(
    entries, other
):
    lapse(entries, other)
    entries.store.faults = ["lost"]
    other.step()
    assert not other.lease.epoch
    entries.store.is_down = True
    entries.run(RENEW_SECONDS, other)
    other.step()
    entries.run(RENEW_SECONDS, other)
    entries.store.is_down = False
    entries.take_over(other)
    entries.run(1.0)
    assert other.last_echo_at >= entries.last_echo_at


# Guards against echoes permitted by an entry that has resigned, of which the row that
# it has left says nothing.
def test_entry_that_has_resigned_permits_no_echoes_of_an_earlier_term(entries, other):
    third = entries.build("third")
    lapse(entries, other)
    other.step()
    assert other.lease.epoch == 2
    third.step()
    other.resign()
    third.step()
    assert third.lease.epoch == 3
    # The third entry reaches the store all the time.
    entries.store.is_down = True
    other.step()
    entries.run(2.0, other)
    assert third.last_echo_at >= entries.last_echo_at


# Guards against echoes permitted by the restarted process of an entry that had claimed
# the lease, of which the row of its former process says nothing.
def test_restarted_successor_permits_no_echoes_that_its_row_rules_out(entries, other):
    # The holder does not hear the third entry: on large sites, each knows a few others.
    third = entries.build("third")
    lapse(entries, other)
    other.record_entry("third", "third-1", entries.clock.now())
    other.step()
    assert other.lease.epoch == 2
    third.step()
    entries.run(0.3)
    restarted = entries.build("other", incarnation=2)
    entries.store.is_down = True
    restarted.step()
    entries.run(LEASE_SECONDS, restarted)
    entries.store.is_down = False
    entries.take_over(third)
    assert third.row.epoch == 3
    assert third.last_echo_at >= entries.last_echo_at


# Guards against a bound before the last renewal, up to which a holder that had heard no
# entry yet gave whole grants.
@pytest.mark.parametrize("grant_seconds", [3.0, GRANT_SECONDS, MAX_GRANT_SECONDS])
def test_successor_reckons_with_whole_grants_until_the_renewal_that_names_it(
    clock, grant_seconds
):
    entries = Entries(clock, grant_seconds)
    other = entries.build("other")
    for _ in range(4):
        entries.holder.step()
        assert entries.holder.row.permitting == ()
        other.step()
        entries.run(RENEW_SECONDS)
    entries.echo()
    entries.exchange(other)
    entries.holder.step()
    assert entries.holder.row.permitting == ("other",)
    entries.take_over(other)
    assert other.last_echo_at >= entries.last_echo_at
