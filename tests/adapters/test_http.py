"""Tests of calls over persistent connections to a server that stops answering."""

import contextlib
import http.client
import resource
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpClient

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_SECONDS = 0.4
# Allowance for a busy machine; a retry with a full timeout would add 0.4 s.
SLACK_SECONDS = 0.3


@pytest.fixture
def silent_address():
    """Return the address of a server that answers only its first call."""
    server = socket.create_server(("127.0.0.1", 0))
    connections = []

    def serve():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connections.append(connection)
            if len(connections) == 1:
                connection.recv(4096)
                connection.sendall(RESPONSE)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.getsockname()[1]}"
    server.shutdown(socket.SHUT_RDWR)
    server.close()
    for connection in connections:
        connection.close()


class SilencingServer:
    """Server that can stop answering on its present connections."""

    def __init__(self):
        self.connections = []
        self._silent_connections = frozenset()
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_connections(self, kept=()):
        """Answer nothing more on the present connections, and leave them open.

        :param kept: Connections that are answered further.
        """
        self._silent_connections = set(self.connections) - set(kept)

    def _accept(self):
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection):
        with contextlib.suppress(OSError):
            while connection.recv(4096):
                if connection not in self._silent_connections:
                    connection.sendall(RESPONSE)

    def close(self):
        """Close all sockets."""
        self._server.shutdown(socket.SHUT_RDWR)
        for sock in (self._server, *self.connections):
            sock.close()


@pytest.fixture
def server():
    server = SilencingServer()
    yield server
    server.close()


def call_in_each_thread(threads, client, count):
    """Call in ``count`` threads at once; return the outcomes."""
    barrier = threading.Barrier(count)

    def call(_):
        barrier.wait()
        return client.call("POST", "/x")

    return list(threads.map(call, range(count)))


# Guards against callers that are refused, and cancelled tasks that run on, because each
# thread waits in turn for a response on a connection that went silent long before.
def test_one_silent_connection_is_enough_to_replace_the_idle_ones(server):
    client = HttpClient(server.address, TIMEOUT_SECONDS)
    with ThreadPoolExecutor(4) as threads:
        assert isinstance(client.call("POST", "/x"), Success)
        call_in_each_thread(threads, client, 4)
        server.silence_connections()
        assert isinstance(client.call("POST", "/x"), Failure)
        outcomes = call_in_each_thread(threads, client, 4)
    assert all(isinstance(outcome, Success) for outcome in outcomes)


# Guards against connecting again for each order that a worker leaves unanswered.
def test_connection_that_answers_beside_a_silent_one_is_kept(server):
    client = HttpClient(server.address, TIMEOUT_SECONDS)
    with ThreadPoolExecutor(1) as threads:
        assert isinstance(client.call("POST", "/x"), Success)
        first = server.connections[0]
        silent_call = threads.submit(client.call, "POST", "/x")
        assert isinstance(silent_call.result(), Success)
        server.silence_connections(kept=(first,))
        silent_call = threads.submit(client.call, "POST", "/x")
        time.sleep(TIMEOUT_SECONDS / 2)
        assert isinstance(client.call("POST", "/x"), Success)
        assert isinstance(silent_call.result(), Failure)
    assert isinstance(client.call("POST", "/x"), Success)
    assert len(server.connections) == 2


# Guards against a call that spends its full timeout on connecting and again on waiting
# for the response.
def test_connecting_and_waiting_share_one_timeout(monkeypatch, silent_address):
    client = HttpClient(silent_address, TIMEOUT_SECONDS)
    client.call("GET", "/x")
    connect = http.client.HTTPConnection.connect

    def connect_slowly(connection):
        time.sleep(0.75 * TIMEOUT_SECONDS)
        connect(connection)

    monkeypatch.setattr(http.client.HTTPConnection, "connect", connect_slowly)
    slow_client = HttpClient(silent_address, TIMEOUT_SECONDS)
    started_at = time.monotonic()
    assert isinstance(slow_client.call("GET", "/x"), Failure)
    assert time.monotonic() - started_at < 1.5 * TIMEOUT_SECONDS


# Guards against a crash of the process when it has more than 1,024 descriptors open:
# select() rejects descriptors above 1,023.
def test_connection_with_a_descriptor_above_1023_is_reused(silent_address):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    pairs = [socket.socketpair() for _ in range(520)]
    try:
        client = HttpClient(silent_address, TIMEOUT_SECONDS)
        assert isinstance(client.call("GET", "/x"), Success)
        assert isinstance(client.call("GET", "/x"), Failure)
    finally:
        for pair in pairs:
            for sock in pair:
                sock.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_unanswered_get_takes_no_longer_than_its_timeout(silent_address):
    client = HttpClient(silent_address, TIMEOUT_SECONDS)
    assert isinstance(client.call("GET", "/x"), Success)
    started_at = time.monotonic()
    assert isinstance(client.call("GET", "/x"), Failure)
    assert time.monotonic() - started_at < TIMEOUT_SECONDS + SLACK_SECONDS


def serve_once(end):
    """Return the address of a server that ends its first connection after a request."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        connection.recv(65536)
        end(connection)
        listener.close()

    threading.Thread(target=serve, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def reset(connection):
    """Close a connection with a reset, as a later process at the address does."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def keep_open(connection):
    time.sleep(2 * TIMEOUT_SECONDS)
    connection.close()


# Guards against a crash that is not counted: a reset by the process that came after it
# would show the former one alive.
@pytest.mark.parametrize(
    ("end", "has_ended"),
    [(socket.socket.close, True), (reset, False), (keep_open, False)],
)
def test_only_a_connection_that_its_server_closes_shows_it_alive(end, has_ended):
    client = HttpClient(serve_once(end), TIMEOUT_SECONDS)
    failure = client.call("POST", "/", b"{}").failure()
    assert failure.was_sent
    assert failure.has_ended == has_ended
