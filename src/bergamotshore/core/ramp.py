"""Gradual readmission of the nodes of a reopened data centre."""

from zlib import crc32

HASH_RANGE = 1 << 32


def is_admitted(node, opened_at, now, ramp):
    """Whether a node of a reopened data centre may receive new work yet.

    Each node has a fixed position in the ramp, derived from a hash of its name, so that
    all entries admit the same nodes.

    :param node: Name of the node.
    :param opened_at: Time at which this process learned of the reopening; None when the
        data centre was never closed.
    :param now: Current time.
    :param ramp: Duration until the last node is admitted, in seconds.
    """
    if opened_at is None or ramp <= 0:
        return True
    position = crc32(node.encode()) / HASH_RANGE
    return now - opened_at >= position * ramp
