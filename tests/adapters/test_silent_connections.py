"""What one call has shown about silent connections is not undone by another."""

import http.server
import threading
import time

import pytest
from returns.result import Success

from bergamotshore.adapters.http import HttpClient

LONG_SECONDS, SHORT_SECONDS = 1.2, 0.3


class Server(http.server.ThreadingHTTPServer):
    """Server that answers nothing more on silenced connections."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.silenced = set()
        self.sockets = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def process_request(self, request, client_address):
        self.sockets.append(request)
        super().process_request(request, client_address)


class Handler(http.server.BaseHTTPRequestHandler):
    """Answer each request with an empty body."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.connection in self.server.silenced:
            return
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


@pytest.fixture
def server():
    server = Server()
    yield server
    server.shutdown()
    server.server_close()


class Caller:
    """Thread that calls once and, when told, a second time on its connection."""

    def __init__(self, client, timeout):
        self._client, self._timeout = client, timeout
        self._go = threading.Event()
        self.outcome = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._connected = threading.Event()
        self._thread.start()
        assert self._connected.wait(2.0)

    def _run(self):
        self._client.call("GET", "/").unwrap()
        self._connected.set()
        self._go.wait()
        self.outcome = self._client.call("GET", "/", timeout=self._timeout)

    def call(self):
        self._go.set()

    def join(self):
        self._thread.join()
        return self.outcome


# Guards against a long call that hides what a later, shorter one has shown.
def test_earlier_call_that_times_out_later_does_not_keep_silent_connections(server):
    client = HttpClient(f"127.0.0.1:{server.server_address[1]}", 1.0)
    long, short = Caller(client, LONG_SECONDS), Caller(client, SHORT_SECONDS)
    server.silenced.update(server.sockets)
    long.call()
    time.sleep(0.1)
    idle = Caller(client, LONG_SECONDS)
    server.silenced.update(server.sockets)
    time.sleep(0.1)
    short.call()
    short.join()
    long.join()
    idle.call()
    assert isinstance(idle.join(), Success)
