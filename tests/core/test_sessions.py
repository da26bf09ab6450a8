"""Tests of lease sessions."""

from dataclasses import replace

import pytest

from bergamotshore.core.freshness import is_fresh
from bergamotshore.core.sessions import (
    SessionHolder,
    SessionObserver,
    create_session,
    may_take_over,
)

TTL = 10.0


@pytest.fixture
def row():
    return create_session("node-1", "zone-a", "s1", "boot-1", TTL, "op", 1)


def test_an_observer_waits_for_ttl_and_drift_on_its_own_clock(row):
    observer = SessionObserver()
    assert not observer.observe(row, 100.0)
    assert not observer.observe(row, 100.0 + TTL)
    assert observer.observe(row, 100.0 + TTL * 1.1 + 0.01)


def test_a_renewal_starts_the_wait_anew(row):
    observer = SessionObserver()
    observer.observe(row, 0.0)
    observer.observe(replace(row, counter=2), 9.0)
    assert not observer.observe(replace(row, counter=2), 12.0)


def test_after_an_outage_every_session_gets_its_whole_time(row):
    observer = SessionObserver()
    observer.observe(row, 0.0)
    observer.record_outage()
    assert not observer.observe(row, 100.0)
    assert not observer.observe(row, 100.0 + TTL)
    assert observer.observe(row, 100.0 + TTL * 1.1 + 0.01)


def test_the_holder_counts_from_before_the_renewal_was_sent(row):
    holder = SessionHolder(TTL)
    holder.open(row, sent_at=100.0)
    assert holder.get_session(109.9) == "s1"
    assert holder.get_session(110.0) == ""


def test_holder_expires_before_any_observer_may_declare_it(row):
    """The observer can see the counter at the earliest when it was written."""
    holder = SessionHolder(TTL)
    holder.open(row, sent_at=100.0)
    observer = SessionObserver()
    observer.observe(row, 100.0)
    now = 100.0
    while not observer.observe(row, now):
        now += 0.5
    assert holder.get_session(now) == ""


@pytest.mark.parametrize(
    ("state", "boot", "expected"),
    [
        ("live", "boot-1", True),
        ("live", "boot-2", False),
        ("live", "", False),
        ("ended", "boot-2", True),
        ("lapsed", "boot-2", True),
    ],
)
def test_taking_over_needs_proof(row, state, boot, expected):
    assert may_take_over(replace(row, state=state), boot) is expected


def test_an_absent_row_may_be_taken():
    assert may_take_over(None, "boot-1")


@pytest.mark.parametrize(
    ("echo", "now", "expected"),
    [(10.0, 11.9, True), (10.0, 12.1, False), (0.0, 12.0, False), (13.0, 12.0, False)],
)
def test_freshness_of_an_echo(echo, now, expected):
    assert is_fresh(echo, now, within=2.0) is expected
