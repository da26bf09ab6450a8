"""HTTP server for tests of clients that keep connections."""

import contextlib
import json
import selectors
import socket
import threading

HEAD_END = b"\r\n\r\n"


def get_request_length(received):
    """Return the length of the first request received, None while it is incomplete."""
    head, end, body = received.partition(HEAD_END)
    lengths = [
        int(value)
        for name, _, value in (line.partition(b":") for line in head.split(b"\r\n"))
        if name.lower() == b"content-length"
    ]
    body_length = lengths[0] if lengths else 0
    is_complete = bool(end) and len(body) >= body_length
    return len(head) + len(end) + body_length if is_complete else None


class SilencingServer:
    """HTTP server whose open connections can go silent.

    One thread serves all connections: beside load, a new thread may not run before the
    call that it is for has timed out.

    ``unanswered`` is the number of next calls to leave without an answer.

    :param build_answer: Function that returns the answer to the body of a request.
    """

    def __init__(self, build_answer):
        self._build_answer = build_answer
        self.connections = []
        self._silent_connections = set()
        self.unanswered = 0
        self._received_by_connection = {}
        self._selector = selectors.DefaultSelector()
        self._server = socket.create_server(("127.0.0.1", 0))
        self._selector.register(self._server, selectors.EVENT_READ)
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def silence_connections(self):
        """Drop all that is sent on the open connections, without a reset."""
        self._silent_connections = set(self.connections)

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                for key, _ in self._selector.select():
                    if key.fileobj is self._server:
                        self._accept()
                    else:
                        self._receive(key.fileobj)

    def _accept(self):
        connection, _ = self._server.accept()
        self.connections.append(connection)
        self._received_by_connection[connection] = b""
        self._selector.register(connection, selectors.EVENT_READ)

    def _receive(self, connection):
        content = b""
        with contextlib.suppress(ConnectionError):
            content = connection.recv(65536)
        if not content:
            self._selector.unregister(connection)
            return
        received = self._received_by_connection[connection] + content
        while (length := get_request_length(received)) is not None:
            _, _, body = received[:length].partition(HEAD_END)
            received = received[length:]
            self._answer(connection, body)
        self._received_by_connection[connection] = received

    def _answer(self, connection, request):
        if connection in self._silent_connections:
            return
        if self.unanswered:
            self.unanswered -= 1
            return
        body = json.dumps(self._build_answer(request)).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        with contextlib.suppress(ConnectionError):
            connection.sendall(head + body)

    def end_connections(self):
        """End the open connections."""
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def stop_listening(self):
        """Refuse further connections."""
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def close(self):
        """Close all sockets."""
        self.stop_listening()
        for connection in self.connections:
            connection.close()
