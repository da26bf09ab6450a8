"""Graceful stop of the HTTP server, over loopback connections."""

import http.client
import threading

import pytest

from bergamotshore.entry.wsgi import HttpServer, reply

CALL_TIMEOUT_SECONDS = 10.0
# Longer than one poll of the server, which ends its loop after a stop.
ANSWER_DELAY_SECONDS = 0.5
LARGEST_BODY = 1000
THREADS = 2


class SlowApp:
    """WSGI application whose answer is ready some time after the server's stop."""

    def __init__(self):
        self.has_request = threading.Event()
        self.may_answer = threading.Event()

    def __call__(self, environ, start_response):
        self.has_request.set()
        self.may_answer.wait(CALL_TIMEOUT_SECONDS)
        return reply(start_response, 200, "text/plain", b"whole answer")


@pytest.fixture
def app():
    return SlowApp()


@pytest.fixture
def server(app):
    server = HttpServer(app, ("127.0.0.1", 0), THREADS, LARGEST_BODY)
    thread = threading.Thread(target=server.run)
    thread.start()
    yield server
    app.may_answer.set()
    server.stop()
    thread.join(CALL_TIMEOUT_SECONDS)
    assert not thread.is_alive()


def finish_in_background(server):
    """Begin to stop a server, whose last answers have ample time."""
    thread = threading.Thread(target=server.finish, args=[CALL_TIMEOUT_SECONDS])
    thread.start()


def test_request_read_just_before_the_stop_gets_its_whole_answer(app, server):
    """A stop between reading a request and sending its answer cut the answer off."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=CALL_TIMEOUT_SECONDS
    )
    connection.request("GET", "/")
    assert app.has_request.wait(CALL_TIMEOUT_SECONDS)
    finish_in_background(server)
    threading.Timer(ANSWER_DELAY_SECONDS, app.may_answer.set).start()
    response = connection.getresponse()
    assert (response.status, response.read()) == (200, b"whole answer")


def test_stopped_server_reads_no_further_request(app, server):
    """A request that arrives while the last answers are sent would be cut off."""
    busy = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=CALL_TIMEOUT_SECONDS
    )
    idle = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=CALL_TIMEOUT_SECONDS
    )
    idle.connect()
    busy.request("GET", "/")
    assert app.has_request.wait(CALL_TIMEOUT_SECONDS)
    app.has_request.clear()
    finish_in_background(server)
    # The server polls for longer than it takes to notice the stop.
    assert not app.has_request.wait(ANSWER_DELAY_SECONDS)
    idle.request("GET", "/")
    assert not app.has_request.wait(ANSWER_DELAY_SECONDS)
    app.may_answer.set()
    assert busy.getresponse().read() == b"whole answer"
