"""TCP proxy that simulates a network which drops the state of open connections.

A fault makes the open connections discard all data in the given directions for good,
while later connections work.
"""

import json
import selectors
import socket
import threading
from dataclasses import dataclass

from standins.serving import Answer, StandIn, build_parser, run, start_thread

READ_BYTES = 65536
THREADS = 2


@dataclass(slots=True)
class Direction:
    """One direction of a connection.

    :param source: Socket to read from.
    :param target: Socket to write to.
    :param name: 'in' for data to the target, 'out' for data from it.
    :param is_silent: Whether data is discarded.
    """

    source: socket.socket
    target: socket.socket
    name: str
    is_silent: bool = False


class WireStandIn(StandIn):
    """Forward TCP connections to one target.

    :param listen_port: Port on loopback to listen on.
    :param target: Host and port to forward to.
    """

    def __init__(self, listen_port, target):
        super().__init__()
        self.target = target
        self._directions = []
        self._bytes_by_name = {"in": 0, "out": 0}
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        listener = socket.create_server(("127.0.0.1", listen_port), backlog=64)
        self._selector.register(listener, selectors.EVENT_READ, None)
        start_thread(self._forward)

    def handle(self, method, path, body, environ):
        """Silence the open connections, or return the numbers of bytes forwarded."""
        if path == "/counts":
            return Answer(200, dict(self._bytes_by_name))
        names = json.loads(body)["directions"]
        with self._lock:
            for direction in self._directions:
                if direction.name in names:
                    direction.is_silent = True
        return Answer(200, {})

    def _forward(self):
        while True:
            for key, _ in self._selector.select():
                if key.data is None:
                    self._accept(key.fileobj)
                else:
                    self._copy(key.data)

    def _accept(self, listener):
        client_socket, _ = listener.accept()
        try:
            target_socket = socket.create_connection(self.target, timeout=2.0)
        except OSError:
            client_socket.close()
            return
        target_socket.settimeout(None)
        pair = [
            Direction(client_socket, target_socket, "in"),
            Direction(target_socket, client_socket, "out"),
        ]
        with self._lock:
            self._directions += pair
        for direction in pair:
            self._selector.register(direction.source, selectors.EVENT_READ, direction)

    def _copy(self, direction):
        try:
            content = direction.source.recv(READ_BYTES)
        except OSError:
            content = b""
        if content and not direction.is_silent:
            self._bytes_by_name[direction.name] += len(content)
            try:
                direction.target.sendall(content)
            except OSError:
                content = b""
        if not content:
            self._close(direction)

    def _close(self, direction):
        """Close the other socket too, unless this direction is silent."""
        self._selector.unregister(direction.source)
        if direction.is_silent:
            return
        with self._lock:
            self._directions = [
                item for item in self._directions if item is not direction
            ]
        try:
            direction.target.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def main():
    """Run the proxy."""
    parser = build_parser(__doc__)
    parser.add_argument("--listen", type=int, required=True, help="port to listen on")
    parser.add_argument("--target", required=True, help="target as host:port")
    options = parser.parse_args()
    host, _, port = options.target.rpartition(":")
    run(WireStandIn(options.listen, (host, int(port))), options.port, THREADS)


if __name__ == "__main__":
    main()
