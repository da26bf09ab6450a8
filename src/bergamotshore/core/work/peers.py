"""Which entries a node keeps streams to."""

from bergamotshore.core.ownership import choose_owner

# With this many entries or fewer a node connects to all of them.
SMALL_SITE_ENTRIES = 6
# Streams besides that to the scheduling entry, to learn of its successor.
SPARE_STREAMS = 2
# Entries through which an entry can call the store: a third may be turned away at once.
RELAY_COUNT = 4


def choose_peers(node, peers, seeds, leader, away=frozenset()):
    """Return the addresses of the entries that a node connects to.

    Each node takes other spare entries, so that a site of many nodes shares them
    evenly. Entries that were replaced stay known for a while, so spare streams go to
    those that are not known to be away.

    :param node: Name of the node.
    :param peers: Addresses of all known entries.
    :param seeds: Addresses from the settings; they may be stale.
    :param leader: Address of the scheduling entry; empty when unknown.
    :param away: Addresses that did not answer a moment ago.
    """
    known = set(peers) | set(seeds)
    if len(known) <= SMALL_SITE_ENTRIES:
        return known | ({leader} if leader else set())
    chosen = {leader} if leader else set(seeds)
    return _add_reachable(chosen, known, away, node, 1 + SPARE_STREAMS)


def choose_relays(entry, others, away=frozenset()):
    """Return the addresses of the entries through which an entry can call the store.

    :param entry: Name of the entry.
    :param others: Addresses of all other entries.
    :param away: Addresses that did not answer a moment ago.
    """
    return _add_reachable(set(), set(others), away, entry, RELAY_COUNT)


def _add_reachable(chosen, known, away, name, wanted):
    """Return the chosen addresses and more, until enough of them are not away."""
    rest = known - chosen - away
    while rest and len(chosen - away) < wanted:
        address = choose_owner(rest, name)
        chosen.add(address)
        rest.discard(address)
    # When none is known to answer, all are tried.
    return chosen if chosen - away else chosen | known
