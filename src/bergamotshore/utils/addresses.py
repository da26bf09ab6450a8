"""Addresses as host:port."""


def split_address(address):
    """Return host and port of an address.

    :param address: Text as host:port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
