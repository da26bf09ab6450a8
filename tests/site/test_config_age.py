"""How old the configuration may be by which an entry answers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshore.metrics.registry import Registry
from bergamotshore.utils.eventlog import EventLog
from tests.fakes import FakeClock
from tests.site.oneentry import OneEntry, Spell

# The operator changes something each 0.7 s, the first time after 1 s.
CHANGES = [1.0 + 0.7 * number for number in range(16)]
TURNED_AWAY = Spell(2.0, 5.0, "busy")


@pytest.fixture
def log(clock):
    return EventLog(clock, emit=lambda line: None)


# Guards against calls answered by a dropped configuration while an entry waits for a
# peer that is gone.
def test_the_loss_of_a_peer_leaves_no_old_configuration_in_force(clock, registry, log):
    lost = Spell(5.4, 60.0, "silent")
    entry = OneEntry(clock, registry, log, [TURNED_AWAY], [lost], CHANGES)
    entry.run(12.0)
    assert entry.stale == []


# Guards against calls answered by an old configuration without any way to the store.
@pytest.mark.parametrize("kind", ["silent", "reset", "busy"])
def test_an_entry_without_the_store_answers_by_no_old_configuration(
    clock, registry, log, kind
):
    spells = [Spell(3.0, 12.0, kind)]
    entry = OneEntry(clock, registry, log, spells, spells, CHANGES)
    entry.run(16.0)
    assert entry.stale == []
    assert entry.answers[-1][1] != 503


@pytest.mark.parametrize("kind", ["silent", "reset", "busy"])
def test_one_way_to_the_store_is_enough_to_answer(clock, registry, log, kind):
    """The direct way is closed, then the peer is lost as soon as that is open."""
    direct, peer = [Spell(3.0, 8.0, kind)], [Spell(8.2, 60.0, "silent")]
    entry = OneEntry(clock, registry, log, direct, peer, CHANGES)
    entry.run(14.0)
    assert entry.stale == []
    assert entry.refused == []


def test_a_slow_store_is_no_reason_to_refuse(clock, registry, log):
    entry = OneEntry(clock, registry, log, changes=CHANGES, answer_seconds=0.38)
    entry.run(12.0)
    assert entry.stale == []
    assert entry.refused == []


SPELLS = st.lists(
    st.builds(
        lambda begin, length, kind: Spell(begin, begin + length, kind),
        st.floats(1.0, 9.0),
        st.floats(0.1, 4.0),
        st.sampled_from(["silent", "reset", "busy"]),
    ),
    max_size=4,
)


@settings(max_examples=40)
@given(direct=SPELLS, peer=SPELLS)
def test_no_series_of_troubles_brings_an_old_configuration_back(direct, peer):
    clock = FakeClock()
    log = EventLog(clock, emit=lambda line: None)
    entry = OneEntry(clock, Registry(), log, direct, peer, CHANGES)
    entry.run(18.0)
    assert entry.stale == []
    assert entry.answers[-1][1] != 503
