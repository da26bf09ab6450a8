"""Tests of calls over persistent connections to a server that stops answering."""

import http.client
import resource
import socket
import threading
import time

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
