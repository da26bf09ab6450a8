"""Who connects to whom, also after entries were replaced at new addresses."""

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
from bergamotshore.node.links import UNREACHABLE_SECONDS, EntryLinks
from bergamotshore.timeline.recorder import LamportClock
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn

FORMER = {f"10.0.0.{number}:1" for number in range(SMALL_SITE_ENTRIES)}
PRESENT = {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"}


@pytest.mark.parametrize("node", [f"node-{number}" for number in range(40)])
def test_a_node_finds_the_entries_that_replaced_all_that_it_knew(node):
    known = FORMER | PRESENT
    leader = min(FORMER)
    away = set()
    for _ in range(len(FORMER)):
        chosen = choose_peers(node, known, [], leader, away)
        away |= chosen & FORMER
    assert choose_peers(node, known, [], leader, away) & PRESENT


def test_seeds_count_beside_entries_that_were_told_of():
    assert choose_peers("node", FORMER, PRESENT, "", FORMER) >= PRESENT


def test_spare_streams_stay_few_on_a_large_site():
    known = {f"10.0.1.{number}:1" for number in range(100)}
    chosen = choose_peers("node", known, [], "10.0.1.7:1")
    assert len(chosen) == 1 + SPARE_STREAMS
    relays = choose_relays("entry", known)
    assert len(relays) == RELAY_COUNT
    assert len(choose_relays("entry", known, relays) - relays) == RELAY_COUNT


def test_an_address_that_does_not_answer_counts_as_away_for_a_while(loop, clock):
    seen = []
    links = EntryLinks(
        loop,
        FakeSettings(),
        "run",
        LamportClock(),
        None,
        on_unreachable=lambda: seen.append(1),
    )
    links.mark_unreachable("10.0.0.1:1")
    assert seen == [1]
    assert links.list_unreachable() == {"10.0.0.1:1"}
    clock.advance(UNREACHABLE_SECONDS + 0.1)
    assert links.list_unreachable() == set()


class FakeSettings:
    """What links need to know of settings."""

    name = "node"
    zone = "zone"
    stream = None


@pytest.fixture
def store():
    return RowsStandIn()


def build_list(store, clock, name):
    log = EventLog(clock, emit=lambda line: None)
    return EntryList(store, name, f"{name}:1", clock, log)


def test_entries_find_each_other_and_forget_those_that_were_taken_away(store, clock):
    first, second = build_list(store, clock, "a"), build_list(store, clock, "b")
    second.read()
    assert first.read() == ["a:1", "b:1"]
    for _ in range(int(1.2 * ENTRY_EXPIRY_SECONDS / REFRESH_SECONDS)):
        clock.advance(REFRESH_SECONDS / 2)
        first.read()
        clock.advance(REFRESH_SECONDS / 2)
        assert first.read() == ["a:1", "b:1"]
    clock.advance(ENTRY_EXPIRY_SECONDS)
    assert first.read() == ["a:1"]
    assert second.read() == ["a:1", "b:1"]


def test_a_store_that_is_away_tells_nothing_of_entries(store, clock):
    listing = build_list(store, clock, "a")
    store.is_down = True
    assert listing.read() is None
    store.is_down = False
    assert listing.read() == ["a:1"]
