"""How old the configuration may be by which an entry answers."""

import pytest

from bergamotshore.utils.eventlog import EventLog
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


# Guards against calls answered by an old configuration while no way to the store is open.
@pytest.mark.parametrize("kind", ["silent", "reset", "busy"])
def test_an_entry_without_the_store_answers_by_no_old_configuration(
    clock, registry, log, kind
):
    spells = [Spell(3.0, 12.0, kind)]
    entry = OneEntry(clock, registry, log, spells, spells, CHANGES)
    entry.run(16.0)
    assert entry.stale == []
