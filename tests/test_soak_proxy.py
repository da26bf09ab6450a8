"""Faults of the proxy through which the soak connects processes."""

import socket
import threading

import pytest

from soak.proxy import HOST, FaultProxy
from soak.site import PORTS

TIMEOUT_SECONDS = 0.3


@pytest.fixture
def echo_server():
    """Return the address of a server that sends back what it receives."""
    server = socket.create_server((HOST, 0))

    def echo(connection):
        while content := connection.recv(100):
            connection.sendall(content)

    def accept():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield server.getsockname()
    server.shutdown(socket.SHUT_RDWR)
    server.close()


@pytest.fixture
def proxy(echo_server):
    proxy = FaultProxy(echo_server, 0, PORTS.allocate(1)[0])
    yield proxy
    proxy.close()


def connect(proxy):
    sock = socket.create_connection((HOST, proxy.port), timeout=5.0)
    sock.sendall(b"a")
    assert sock.recv(1) == b"a"
    sock.settimeout(TIMEOUT_SECONDS)
    return sock


def test_silenced_connections_stay_open_and_new_ones_are_forwarded(proxy):
    former = connect(proxy)
    proxy.silence_connections()
    former.sendall(b"b")
    with pytest.raises(TimeoutError):
        former.recv(1)
    with connect(proxy):
        former.sendall(b"c")
        with pytest.raises(TimeoutError):
            former.recv(1)
    former.close()
