"""Selection of the entries that a node or another entry connects to."""

from bergamotshore.core.ownership import choose_owner

# A node connects to all entries of a site that has at most this many.
SMALL_SITE_ENTRIES = 6
# Number of streams besides that to the scheduling entry, for news of its successor.
SPARE_STREAMS = 2
# Number of entries through which an entry can call the store, which may reject a third
# of the entries at once.
RELAY_COUNT = 4


def choose_peers(node, peers, seeds, leader, unreachable=frozenset()):
    """Return the addresses of the entries that a node connects to.

    Spare entries are chosen by hashing the name of the node, which spreads the nodes of
    a large site evenly. Replaced entries stay known for a while, so entries known to be
    unreachable don't count as spare streams.

    :param node: Name of the node.
    :param peers: Addresses of all known entries.
    :param seeds: Addresses from the settings; may be outdated.
    :param leader: Address of the scheduling entry; empty when unknown.
    :param unreachable: Addresses that recently did not answer.
    """
    known = set(peers) | set(seeds)
    if len(known) <= SMALL_SITE_ENTRIES:
        return known | ({leader} if leader else set())
    chosen = {leader} if leader else set(seeds)
    return _add_reachable(chosen, known, unreachable, node, 1 + SPARE_STREAMS)


def choose_relays(entry, others, unreachable=frozenset()):
    """Return the addresses of the entries through which an entry can call the store.

    :param entry: Name of the entry.
    :param others: Addresses of all other entries.
    :param unreachable: Addresses that recently did not answer.
    """
    return _add_reachable(set(), set(others), unreachable, entry, RELAY_COUNT)


def _add_reachable(chosen, known, unreachable, name, wanted):
    """Return the chosen addresses, extended until enough of them are reachable."""
    candidates = known - chosen - unreachable
    while candidates and len(chosen - unreachable) < wanted:
        address = choose_owner(candidates, name)
        chosen.add(address)
        candidates.discard(address)
    # If no entry is known to be reachable, connect to all of them.
    return chosen if chosen - unreachable else chosen | known
