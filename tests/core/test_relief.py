"""Tests of quarantine, back-off and reclaiming."""

import pytest

from bergamotshore.core.backoff import Backoff
from bergamotshore.core.capacity import Size
from bergamotshore.core.placement import NodeCapacity
from bergamotshore.core.quarantine import FAILURES_IN_A_ROW, FIRST_SECONDS, Quarantine
from bergamotshore.core.reclaim import Victim, choose_victims


def fail(quarantine, node, count, now=0.0):
    return [quarantine.record_outcome(node, True, now) for _ in range(count)]


@pytest.fixture
def quarantine():
    quarantine = Quarantine()
    for _ in range(10):
        quarantine.record_outcome("good", False, 0.0)
    return quarantine


def test_a_worker_that_fails_everything_is_held_back(quarantine):
    assert fail(quarantine, "bad", FAILURES_IN_A_ROW) == [False, False, True]
    assert not quarantine.may_place("bad", 1.0)
    assert quarantine.may_place("good", 1.0)
    assert quarantine.list_quarantined(1.0) == ["bad"]


def test_a_success_forgives(quarantine):
    fail(quarantine, "bad", FAILURES_IN_A_ROW - 1)
    quarantine.record_outcome("bad", False, 0.0)
    assert fail(quarantine, "bad", FAILURES_IN_A_ROW - 1) == [False, False]


def test_bad_tasks_do_not_condemn_workers():
    quarantine = Quarantine()
    for _ in range(5):
        for node in ("a", "b", "c"):
            quarantine.record_outcome(node, True, 0.0)
    assert len(quarantine.list_quarantined(1.0)) <= 1


def test_one_probe_is_let_in_and_decides(quarantine):
    fail(quarantine, "bad", FAILURES_IN_A_ROW)
    later = FIRST_SECONDS + 0.1
    assert quarantine.may_place("bad", later)
    quarantine.record_start("bad", later)
    assert not quarantine.may_place("bad", later)
    assert fail(quarantine, "bad", 1, later) == [True]
    assert not quarantine.may_place("bad", later + FIRST_SECONDS + 0.1)
    again = later + 2 * FIRST_SECONDS + 0.1
    quarantine.record_start("bad", again)
    quarantine.record_outcome("bad", False, again)
    assert quarantine.may_place("bad", again)


def test_back_off_doubles():
    backoff = Backoff()
    backoff.record_failure("t", 1, 0.0)
    assert backoff.is_delayed("t", 0.4)
    assert not backoff.is_delayed("t", 0.6)
    backoff.record_failure("t", 3, 10.0)
    assert backoff.is_delayed("t", 11.9)
    assert not backoff.is_delayed("t", 12.1)
    assert not backoff.is_delayed("other", 0.0)


def build_room(node, free):
    total = Size(16.0, 60.0)
    return NodeCapacity(node, "z", "s", total, Size(free, 60.0))


def build_victim(node, index, processors):
    return Victim("t/j", index, 1, node, Size(processors, 1.0))


def test_the_fewest_tasks_of_one_node_give_way():
    rooms = [build_room("a", 0.0), build_room("b", 2.0)]
    victims = [build_victim("a", number, 1.0) for number in range(6)]
    victims += [build_victim("b", 10, 1.0), build_victim("b", 11, 2.0)]
    chosen = choose_victims(Size(4.0, 1.0), rooms, victims)
    assert [victim.index for victim in chosen] == [11]


def test_nothing_gives_way_in_vain():
    victims = [build_victim("a", 0, 1.0)]
    assert choose_victims(Size(4.0, 1.0), [build_room("a", 0.0)], victims) == []
