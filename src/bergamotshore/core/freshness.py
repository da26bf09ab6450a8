"""Freshness of a start by the echo of the node's own clock."""


def is_fresh(echo, now, within):
    """Tell whether a command is based on knowledge that is young enough.

    :param echo: Clock of the node that the entry held before its transaction.
    :param now: Clock of the node.
    :param within: Longest age, in seconds.
    :returns: False for anything older, and for an echo from the future.
    """
    age = now - echo
    return 0.0 <= age <= within
