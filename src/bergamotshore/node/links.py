"""Streams from a node to the known entries."""

import random
import selectors
import socket

from bergamotshore.generated.messages import Hello
from bergamotshore.transport.stream import PROTOCOL_VERSION, Stream

RETRY_MIN_SECONDS = 0.2
RETRY_MAX_SECONDS = 5.0
CONNECT_SECONDS = 2.0
# How long an address counts as unreachable after a connection was refused or timed out.
UNREACHABLE_SECONDS = 5.0


class EntryLinks:
    """Maintain one stream to each known entry; used only in the loop's thread.

    :param loop: ``Loop``.
    :param settings: ``Settings`` of the node.
    :param incarnation: Identifier of this start of the process.
    :param lamport: ``LamportClock``.
    :param handler: Receives the open, close and message events of each stream, see
        ``Stream``.
    :param role: Role of this process as announced to the entries.
    :param on_unreachable: Called when a connection to an address failed.
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
        self._on_unreachable = on_unreachable
        self._unreachable_until_by_address = {}
        self._addresses = set()
        self._delay_by_address = {}
        self._stream_by_address = {}
        self._random = random.Random()
        self._is_stopped = False

    def set_addresses(self, addresses):
        """Replace the known addresses and connect to the new ones.

        :param addresses: ``Address`` objects.
        """
        new = set(addresses) - self._addresses
        self._addresses = set(addresses)
        for address in new:
            self._connect(address)

    def list_unreachable(self):
        """Return the addresses to which a connection failed recently."""
        now = self.loop.clock.now()
        self._unreachable_until_by_address = {
            address: until
            for address, until in self._unreachable_until_by_address.items()
            if until > now
        }
        return set(self._unreachable_until_by_address)

    def list_streams(self):
        """Return the open streams whose peer has sent its hello message."""
        return [s for s in self._stream_by_address.values() if s.peer and s.is_open]

    def find_stream(self, incarnation):
        """Return the stream to one incarnation of an entry, or None."""
        for stream in self.list_streams():
            if stream.peer.incarnation == incarnation:
                return stream
        return None

    def broadcast(self, message):
        """Send a message to every connected entry."""
        for stream in self.list_streams():
            stream.send(message)

    def stop(self):
        """Close every stream and stop connecting."""
        self._is_stopped = True
        for stream in list(self._stream_by_address.values()):
            stream.close("stopping")

    def record_close(self, stream):
        """Remove a closed stream and schedule a reconnect."""
        for address, candidate in list(self._stream_by_address.items()):
            if candidate is stream:
                del self._stream_by_address[address]
                self._retry(address)

    def record_open(self, stream):
        """Reset the retry delay and the reachability of an entry that answered."""
        for address, candidate in self._stream_by_address.items():
            if candidate is stream:
                self._delay_by_address.pop(address, None)
                self._unreachable_until_by_address.pop(address, None)

    def _retry(self, address):
        delay = self._delay_by_address.get(address, RETRY_MIN_SECONDS)
        self._delay_by_address[address] = min(2 * delay, RETRY_MAX_SECONDS)
        jitter = self._random.uniform(0.5, 1.0)
        self.loop.call_later(delay * jitter, self._connect, address)

    def _connect(self, address):
        is_missing = (
            address in self._addresses and address not in self._stream_by_address
        )
        if self._is_stopped or not is_missing:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex((address.host, address.port))
        attempt = ConnectAttempt(self, address, sock)
        self.loop.register(sock, selectors.EVENT_WRITE, attempt.handle_ready)
        self.loop.call_later(CONNECT_SECONDS, attempt.abort)

    def add_stream(self, address, sock):
        """Open a stream on a connected socket."""
        self._stream_by_address[address] = Stream(
            self.loop,
            sock,
            self.hello,
            self.settings.stream,
            self.lamport,
            self.handler,
        )

    def mark_unreachable(self, address):
        """Mark an address as unreachable and schedule a retry."""
        self._unreachable_until_by_address[address] = (
            self.loop.clock.now() + UNREACHABLE_SECONDS
        )
        self._retry(address)
        self._on_unreachable()


class ConnectAttempt:
    """A connection attempt in progress.

    :param links: ``EntryLinks``.
    :param address: ``Address`` of the entry.
    :param sock: Non-blocking socket that is connecting.
    """

    def __init__(self, links, address, sock):
        self.links = links
        self.address = address
        self.sock = sock
        self.is_finished = False

    def handle_ready(self, events):
        """Open the stream, or report the failed connection."""
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._finish()
        if error:
            self.sock.close()
            self.links.mark_unreachable(self.address)
        else:
            self.links.add_stream(self.address, self.sock)

    def abort(self):
        """Close the socket unless the attempt has finished."""
        if self.is_finished:
            return
        self._finish()
        self.sock.close()
        self.links.mark_unreachable(self.address)

    def _finish(self):
        self.is_finished = True
        self.links.loop.unregister(self.sock)
