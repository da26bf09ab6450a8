"""Streams of a node to the entries that it knows."""

import random
import selectors
import socket

from bergamotshore.generated.messages import Hello
from bergamotshore.transport.stream import PROTOCOL_VERSION, Stream
from bergamotshore.utils.addresses import split_address

RETRY_MIN_SECONDS = 0.2
RETRY_MAX_SECONDS = 5.0
CONNECT_SECONDS = 2.0
# An address that refused or ignored a connection counts as away for this long.
UNREACHABLE_SECONDS = 5.0


class EntryLinks:
    """Keep one stream to each known entry; in the loop's thread.

    :param loop: ``Loop``.
    :param settings: ``Settings`` of the node.
    :param incarnation: Run of the node.
    :param lamport: ``LamportClock``.
    :param handler: Told of the life of each stream, see ``Stream``.
    :param role: Role of this process.
    :param on_unreachable: Called when an address could not be connected to.
    """

    def __init__(
        self,
        loop,
        settings,
        incarnation,
        lamport,
        handler,
        role="node",
        on_unreachable=lambda: None,
    ):
        self.loop = loop
        self.settings = settings
        self.lamport = lamport
        self.handler = handler
        self.hello = Hello(
            protocol=PROTOCOL_VERSION,
            role=role,
            name=settings.name,
            incarnation=incarnation,
            zone=settings.zone,
        )
        self._on_away = on_unreachable
        self._away_until_by_address = {}
        self._known = set()
        self._delay_by_address = {}
        self._stream_by_address = {}
        self._random = random.Random()
        self._is_stopped = False

    def set_addresses(self, addresses):
        """Connect to entries that are new and forget those that are gone."""
        new = set(addresses) - self._known
        self._known = set(addresses)
        for address in new:
            self._connect(address)

    def list_unreachable(self):
        """Return the addresses that could not be connected to a moment ago."""
        now = self.loop.clock.now()
        self._away_until_by_address = {
            address: until
            for address, until in self._away_until_by_address.items()
            if until > now
        }
        return set(self._away_until_by_address)

    def list_streams(self):
        """Return the streams whose peer has said who it is."""
        return [s for s in self._stream_by_address.values() if s.peer and s.is_open]

    def find_stream(self, incarnation):
        """Return the stream to one run of an entry, or None."""
        for stream in self.list_streams():
            if stream.peer.incarnation == incarnation:
                return stream
        return None

    def broadcast(self, message):
        """Send a message to every connected entry."""
        for stream in self.list_streams():
            stream.send(message)

    def stop(self):
        """Close every stream and connect no more."""
        self._is_stopped = True
        for stream in list(self._stream_by_address.values()):
            stream.close("stopping")

    def record_close(self, stream):
        """Connect again after a stream was lost."""
        for address, known in list(self._stream_by_address.items()):
            if known is stream:
                del self._stream_by_address[address]
                self._retry(address)

    def record_open(self, stream):
        """Forget the delay of an entry that answered."""
        for address, known in self._stream_by_address.items():
            if known is stream:
                self._delay_by_address.pop(address, None)
                self._away_until_by_address.pop(address, None)

    def _retry(self, address):
        delay = self._delay_by_address.get(address, RETRY_MIN_SECONDS)
        self._delay_by_address[address] = min(2 * delay, RETRY_MAX_SECONDS)
        jitter = self._random.uniform(0.5, 1.0)
        self.loop.call_later(delay * jitter, self._connect, address)

    def _connect(self, address):
        is_wanted = address in self._known and address not in self._stream_by_address
        if self._is_stopped or not is_wanted:
            return
        host, port = split_address(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex((host, port))
        attempt = ConnectAttempt(self, address, sock)
        self.loop.register(sock, selectors.EVENT_WRITE, attempt.handle_ready)
        self.loop.call_later(CONNECT_SECONDS, attempt.give_up)

    def adopt(self, address, sock):
        """Make a stream of a socket that is connected."""
        self._stream_by_address[address] = Stream(
            self.loop,
            sock,
            self.hello,
            self.settings.stream,
            self.lamport,
            self.handler,
        )

    def mark_unreachable(self, address):
        """Plan the next try after a connection that failed."""
        self._away_until_by_address[address] = (
            self.loop.clock.now() + UNREACHABLE_SECONDS
        )
        self._retry(address)
        self._on_away()


class ConnectAttempt:
    """One connection on its way.

    :param links: ``EntryLinks``.
    :param address: Entry as host:port.
    :param sock: Socket that connects.
    """

    def __init__(self, links, address, sock):
        self.links = links
        self.address = address
        self.sock = sock
        self.is_over = False

    def handle_ready(self, events):
        """Take the result of the connection."""
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._end()
        if error:
            self.sock.close()
            self.links.mark_unreachable(self.address)
        else:
            self.links.adopt(self.address, self.sock)

    def give_up(self):
        """Close a connection that takes too long."""
        if self.is_over:
            return
        self._end()
        self.sock.close()
        self.links.mark_unreachable(self.address)

    def _end(self):
        self.is_over = True
        self.links.loop.unregister(self.sock)
