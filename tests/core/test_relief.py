"""Tests of quarantine, backoff and preemption."""

import pytest

from bergamotshore.core.backoff import Backoff
from bergamotshore.core.capacity import Size
from bergamotshore.core.placement import NodeCapacity
from bergamotshore.core.quarantine import (
    CONSECUTIVE_FAILURES,
    INITIAL_QUARANTINE_SECONDS,
    Quarantine,
)
from bergamotshore.core.reclaim import Victim, choose_victims


def fail(quarantine, node, count, now=0.0):
    return [quarantine.record_outcome(node, True, now) for _ in range(count)]


@pytest.fixture
def quarantine():
    quarantine = Quarantine()
    for _ in range(10):
        quarantine.record_outcome("good", False, 0.0)
    return quarantine


def test_node_on_which_every_attempt_fails_is_quarantined(quarantine):
    assert fail(quarantine, "bad", CONSECUTIVE_FAILURES) == [False, False, True]
    assert not quarantine.may_place("bad", 1.0)
    assert quarantine.may_place("good", 1.0)
    assert quarantine.list_quarantined(1.0) == ["bad"]


def test_success_resets_the_failure_count(quarantine):
    fail(quarantine, "bad", CONSECUTIVE_FAILURES - 1)
    quarantine.record_outcome("bad", False, 0.0)
    assert fail(quarantine, "bad", CONSECUTIVE_FAILURES - 1) == [False, False]


def test_nodes_are_not_quarantined_when_tasks_fail_everywhere():
    quarantine = Quarantine()
    for _ in range(5):
        for node in ("a", "b", "c"):
            quarantine.record_outcome(node, True, 0.0)
    assert len(quarantine.list_quarantined(1.0)) <= 1


def test_single_probe_decides_about_the_end_of_a_quarantine(quarantine):
    fail(quarantine, "bad", CONSECUTIVE_FAILURES)
    expired_at = INITIAL_QUARANTINE_SECONDS + 0.1
    assert quarantine.may_place("bad", expired_at)
    quarantine.record_start("bad", expired_at)
    assert not quarantine.may_place("bad", expired_at)
    assert fail(quarantine, "bad", 1, expired_at) == [True]
    assert not quarantine.may_place(
        "bad", expired_at + INITIAL_QUARANTINE_SECONDS + 0.1
    )
    second_expiry = expired_at + 2 * INITIAL_QUARANTINE_SECONDS + 0.1
    quarantine.record_start("bad", second_expiry)
    quarantine.record_outcome("bad", False, second_expiry)
    assert quarantine.may_place("bad", second_expiry)


def test_backoff_doubles_with_each_failure():
    backoff = Backoff()
    backoff.record_failure("t", 1, 0.0)
    assert backoff.is_delayed("t", 0.4)
    assert not backoff.is_delayed("t", 0.6)
    backoff.record_failure("t", 3, 10.0)
    assert backoff.is_delayed("t", 11.9)
    assert not backoff.is_delayed("t", 12.1)
    assert not backoff.is_delayed("other", 0.0)


def build_capacity(node, free):
    total = Size(16.0, 60.0)
    return NodeCapacity(node, "z", "s", total, Size(free, 60.0))


def build_victim(node, index, processors):
    return Victim("t/j", index, 1, node, Size(processors, 1.0))


def test_evicts_the_fewest_tasks_of_a_single_node():
    capacities = [build_capacity("a", 0.0), build_capacity("b", 2.0)]
    victims = [build_victim("a", number, 1.0) for number in range(6)]
    victims += [build_victim("b", 10, 1.0), build_victim("b", 11, 2.0)]
    chosen = choose_victims(Size(4.0, 1.0), capacities, victims)
    assert [victim.index for victim in chosen] == [11]


def test_evicts_nothing_when_it_would_not_free_enough():
    victims = [build_victim("a", 0, 1.0)]
    assert choose_victims(Size(4.0, 1.0), [build_capacity("a", 0.0)], victims) == []
