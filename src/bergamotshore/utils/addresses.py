"""Parsing of network addresses."""

import ipaddress
from collections import OrderedDict

from bergamotshore.exceptions import AddressInvalidError

MAX_PORT = 65535
# Longer texts are cut in log lines.
MAX_LOGGED_CHARACTERS = 80
# Invalid addresses that are remembered, so that each is logged once.
MAX_INVALID_KEPT = 1000


class Address(str):
    """A checked address: the number of an IPv4 host, and a port from 1 to 65535.

    Connecting to it can fail, but neither resolves a name nor raises for its value.

    :param text: Address as host:port.
    :raises AddressInvalidError: if the text is no such address.
    """

    __slots__ = ("host", "port")

    def __new__(cls, text):
        """Check the text."""
        host, _, port = text.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
        except ValueError as error:
            raise AddressInvalidError(text, str(error)) from None
        if not (port.isascii() and port.isdecimal() and len(port) <= len("65535")):
            raise AddressInvalidError(text, "port is not a number")
        if not 0 < int(port) <= MAX_PORT:
            raise AddressInvalidError(text, f"port is not from 1 to {MAX_PORT}")
        address = super().__new__(cls, text)
        address.host, address.port = host, int(port)
        return address


class AddressReader:
    """Check addresses that other processes announce; each invalid one is logged once.

    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, registry, log):
        self._registry = registry
        self._log = log
        self._invalid = OrderedDict()

    def read(self, texts):
        """Return the valid addresses among some texts, as a set of ``Address``."""
        addresses = set()
        for text in texts:
            try:
                addresses.add(Address(text))
            except AddressInvalidError as error:
                self._record_invalid(text, error)
        return addresses

    def _record_invalid(self, text, error):
        if text in self._invalid:
            self._invalid.move_to_end(text)
            return
        self._invalid[text] = True
        if len(self._invalid) > MAX_INVALID_KEPT:
            self._invalid.popitem(last=False)
        self._registry.count("addresses_invalid_total")
        self._log.write(
            "address-invalid", repr(text[:MAX_LOGGED_CHARACTERS]), why=error.detail
        )


def split_address(address):
    """Return the host and the port of an address.

    :param address: Address as host:port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
