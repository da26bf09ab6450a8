"""Choice of the entries to connect to, also after entries moved to new addresses."""

import pytest

from bergamotshore.core.work.peers import (
    RELAY_COUNT,
    SMALL_SITE_ENTRIES,
    SPARE_STREAMS,
    choose_peers,
    choose_relays,
)
from bergamotshore.entry.entrylist import (
    ENTRY_EXPIRY_SECONDS,
    REFRESH_SECONDS,
    EntryList,
)
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.links import UNREACHABLE_SECONDS, EntryLinks
from bergamotshore.timeline.recorder import LamportClock
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn

FORMER = {f"10.0.0.{number}:1" for number in range(SMALL_SITE_ENTRIES)}
CURRENT = {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"}


@pytest.mark.parametrize("node", [f"node-{number}" for number in range(40)])
def test_a_node_finds_new_entries_when_all_former_ones_are_unreachable(node):
    known = FORMER | CURRENT
    leader = min(FORMER)
    unreachable = set()
    for _ in range(len(FORMER)):
        chosen = choose_peers(node, known, [], leader, unreachable)
        unreachable |= chosen & FORMER
    assert choose_peers(node, known, [], leader, unreachable) & CURRENT


def test_seeds_are_used_when_the_announced_entries_are_unreachable():
    assert choose_peers("node", FORMER, CURRENT, "", FORMER) >= CURRENT


def test_spare_streams_stay_few_on_a_large_site():
    known = {f"10.0.1.{number}:1" for number in range(100)}
    chosen = choose_peers("node", known, [], "10.0.1.7:1")
    assert len(chosen) == 1 + SPARE_STREAMS
    relays = choose_relays("entry", known)
    assert len(relays) == RELAY_COUNT
    assert len(choose_relays("entry", known, relays) - relays) == RELAY_COUNT


def test_an_address_that_does_not_answer_is_unreachable_for_a_while(loop, clock):
    calls = []
    links = EntryLinks(
        loop,
        FakeSettings(),
        "run",
        LamportClock(),
        None,
        on_unreachable=lambda: calls.append(1),
    )
    links.mark_unreachable("10.0.0.1:1")
    assert calls == [1]
    assert links.list_unreachable() == {"10.0.0.1:1"}
    clock.advance(UNREACHABLE_SECONDS + 0.1)
    assert links.list_unreachable() == set()


class FakeSettings:
    """The part of the settings that ``EntryLinks`` uses."""

    name = "node"
    zone = "zone"
    stream = None


@pytest.fixture
def store():
    return RowsStandIn()


A, B = "10.0.0.1:1", "10.0.0.2:1"


def build_list(store, clock, name):
    log = EventLog(clock, emit=lambda line: None)
    address = {"a": A, "b": B}[name]
    return EntryList(store, name, address, clock, Registry(), log)


def test_entries_find_each_other_and_forget_removed_ones(store, clock):
    first, second = build_list(store, clock, "a"), build_list(store, clock, "b")
    second.read()
    assert first.read() == [A, B]
    for _ in range(int(1.2 * ENTRY_EXPIRY_SECONDS / REFRESH_SECONDS)):
        clock.advance(REFRESH_SECONDS / 2)
        first.read()
        clock.advance(REFRESH_SECONDS / 2)
        assert first.read() == [A, B]
    clock.advance(ENTRY_EXPIRY_SECONDS)
    assert first.read() == [A]
    assert second.read() == [A, B]


def test_the_list_of_entries_is_unknown_while_the_store_is_down(store, clock):
    entry_list = build_list(store, clock, "a")
    store.is_down = True
    assert entry_list.read() is None
    store.is_down = False
    assert entry_list.read() == [A]
