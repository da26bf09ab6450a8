"""Return of a data centre: its nodes are let in one after another."""

from zlib import crc32

SHARES = 1 << 32


def is_admitted(node, opened_at, now, ramp):
    """Tell whether a node of a returned data centre may take new work already.

    Each node has a fixed place in the order, so that all entries let in the same ones.

    :param node: Name of the node.
    :param opened_at: When this process learned of the return; None when the data centre
        was never away.
    :param now: Current time.
    :param ramp: Time until the last node is let in, in seconds.
    """
    if opened_at is None or ramp <= 0:
        return True
    place = crc32(node.encode()) / SHARES
    return now - opened_at >= place * ramp
