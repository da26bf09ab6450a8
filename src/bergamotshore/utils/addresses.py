"""Parsing of network addresses."""


def split_address(address):
    """Return the host and the port of an address.

    :param address: Address as host:port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
