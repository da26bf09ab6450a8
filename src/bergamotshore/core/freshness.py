"""Freshness check of a start command by the echoed clock of the node."""


def is_fresh(echo, now, max_age):
    """Whether a command is based on sufficiently recent state of the node.

    :param echo: The node's clock as last seen by the entry before its transaction.
    :param now: Current time on the node's clock.
    :param max_age: Maximum age, in seconds.
    :returns: False when the state is older, or when the echo lies in the future.
    """
    age = now - echo
    return 0.0 <= age <= max_age
