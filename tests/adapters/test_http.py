"""Calls over kept connections against a server that stops answering."""

import http.client
import resource
import socket
import threading
import time

import pytest
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_SECONDS = 0.4
# What a busy machine may add; a second try in full would add the timeout once more.
SLACK_SECONDS = 0.3


@pytest.fixture
def silent_address():
    """Return the address of a server that answers one call and then none."""
    server = socket.create_server(("127.0.0.1", 0))
    kept = []

    def serve():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            kept.append(connection)
            if len(kept) == 1:
                connection.recv(4096)
                connection.sendall(ANSWER)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.getsockname()[1]}"
    server.shutdown(socket.SHUT_RDWR)
    server.close()
    for connection in kept:
        connection.close()


# Guards against a call that takes its time once to connect and again to be answered.
def test_connecting_and_waiting_share_the_time_allowed(monkeypatch, silent_address):
    client = HttpClient(silent_address, TIMEOUT_SECONDS)
    client.call("GET", "/x")
    connect = http.client.HTTPConnection.connect

    def connect_late(connection):
        time.sleep(0.75 * TIMEOUT_SECONDS)
        connect(connection)

    monkeypatch.setattr(http.client.HTTPConnection, "connect", connect_late)
    other = HttpClient(silent_address, TIMEOUT_SECONDS)
    started_at = time.monotonic()
    assert isinstance(other.call("GET", "/x"), Failure)
    assert time.monotonic() - started_at < 1.5 * TIMEOUT_SECONDS


# Guards against a process that ends when it has over 1,024 descriptors open.
def test_a_connection_with_a_high_descriptor_is_used_again(silent_address):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    pairs = [socket.socketpair() for _ in range(520)]
    try:
        client = HttpClient(silent_address, TIMEOUT_SECONDS)
        assert isinstance(client.call("GET", "/x"), Success)
        assert isinstance(client.call("GET", "/x"), Failure)
    finally:
        for pair in pairs:
            for end in pair:
                end.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_reading_that_gets_no_answer_takes_no_longer_than_allowed(silent_address):
    client = HttpClient(silent_address, TIMEOUT_SECONDS)
    assert isinstance(client.call("GET", "/x"), Success)
    started_at = time.monotonic()
    assert isinstance(client.call("GET", "/x"), Failure)
    assert time.monotonic() - started_at < TIMEOUT_SECONDS + SLACK_SECONDS
