"""Refusals of requests that don't fit beside others, over loopback connections."""

import http.client
import json
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser

from bergamotshore.core.bodybudget import RESERVED_SHARE
from bergamotshore.core.readturns import ReadingWork
from bergamotshore.entry.bodies import MAX_FRAMING_PER_BYTE
from bergamotshore.entry.intake import BODY_COPIES, BudgetedParser, Intake
from bergamotshore.entry.wsgi import DecodingMemory, HttpServer, reply
from bergamotshore.generated.settings import Intake as IntakeSettings
from bergamotshore.node.site import HEARTBEAT_THREADS, MAX_HEARTBEAT_BYTES
from bergamotshore.utils.eventlog import EventLog

CALL_TIMEOUT_SECONDS = 10.0
LARGEST_BODY = 990_000
# Bodies of the largest size that fit into 64 MB of memory together.
FITTING = int(64_000_000 / 8 * (1 - RESERVED_SHARE) / BODY_COPIES / LARGEST_BODY)


class CountingApp:
    """WSGI application that records the sizes of the bodies it was given."""

    def __init__(self):
        self.sizes = []
        self.answer = b"served"

    def __call__(self, environ, start_response):
        self.sizes.append(len(environ["wsgi.input"].read()))
        return reply(start_response, 200, "text/plain", self.answer)


class StubChannel:
    """Idle connection of a server."""

    has_served = False
    creation_time = 0.0
    will_close = False

    def is_waiting(self):
        return not self.will_close


@pytest.fixture
def app():
    return CountingApp()


@pytest.fixture
def intake(clock, registry):
    return build_intake(clock, registry, memory_mb=64, connections=64)


def build_intake(clock, registry, **limits):
    log = EventLog(clock, lambda line: None)
    return Intake(IntakeSettings(**limits), clock, registry, log)


@pytest.fixture
def serve(app):
    """Return a function that starts a server, stopped after the test."""
    started = []

    def start(largest_body, intake, decoding=None):
        address = ("127.0.0.1", 0)
        server = HttpServer(app, address, 2, largest_body, intake, decoding=decoding)
        thread = threading.Thread(target=server.run)
        thread.start()
        started.append((server, thread))
        return server

    yield start
    for server, thread in started:
        server.stop()
        thread.join(CALL_TIMEOUT_SECONDS)
        assert not thread.is_alive()


@pytest.fixture
def server(serve, intake):
    return serve(LARGEST_BODY, intake)


@pytest.fixture
def connect(server):
    """Return a function that opens a connection, closed after the test."""
    sockets = []

    def open_connection():
        address = ("127.0.0.1", server.port)
        sockets.append(socket.create_connection(address, CALL_TIMEOUT_SECONDS))
        return sockets[-1]

    yield open_connection
    for sock in sockets:
        sock.close()


def wait_until(condition):
    deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def list_channels(server):
    return list(server._server.active_channels.values())


def send_unfinished(sock, size=LARGEST_BODY - 1):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    sock.sendall(head + b"x" * (size - 1))


def read_body(sock):
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    return answer.read()


def fill(connect, registry):
    """Let bodies that don't end hold all memory that large ones may use."""
    sockets = [connect() for _ in range(FITTING)]
    for sock in sockets:
        send_unfinished(sock)
    expected = FITTING * BODY_COPIES * (LARGEST_BODY - 2)
    wait_until(lambda: read_held(registry) > expected)
    return sockets


def read_held(registry):
    lines = registry.render().splitlines()
    name = "bergamotshore_request_memory_bytes "
    return float(next(line for line in lines if line.startswith(name)).split()[1])


def test_body_without_room_is_refused_and_never_runs(app, connect, registry):
    fill(connect, registry)
    sock = connect()
    send_unfinished(sock, 100_000)
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    assert answer.status == 503
    assert answer.headers["Retry-After"] == "1"
    assert answer.headers["X-Request-Outcome"] == "not-run"
    assert json.loads(answer.read())["code"] == "bodies-full"
    assert app.sizes == []
    assert registry.get_count("requests_dropped_total", reason="no-room") == 1


def test_ordinary_request_is_served_beside_bodies_that_do_not_end(
    app, server, connect, registry
):
    fill(connect, registry)
    call = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=CALL_TIMEOUT_SECONDS
    )
    call.request("POST", "/", b"x" * 4000)
    assert call.getresponse().read() == b"served"


def test_bodies_that_end_after_all_are_served_and_give_their_memory_back(
    app, connect, registry
):
    sockets = fill(connect, registry)
    for sock in sockets:
        sock.sendall(b"x")
        assert read_body(sock) == b"served"
    wait_until(lambda: read_held(registry) == 0)
    assert app.sizes == [LARGEST_BODY - 1] * FITTING


def test_connections_that_end_give_their_memory_back(connect, registry):
    for sock in fill(connect, registry):
        sock.close()
    wait_until(lambda: read_held(registry) == 0)


def test_connections_that_wait_longest_for_a_request_are_closed(
    app, connect, intake, registry
):
    first = connect()
    first.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert read_body(first) == b"served"
    waiting = [connect() for _ in range(intake.max_connections)]
    # The oldest that never sent a request is closed; the one that did is kept.
    assert waiting[0].recv(4096) == b""
    first.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert read_body(first) == b"served"
    assert registry.get_count("requests_dropped_total", reason="connections") > 0


def test_body_of_the_largest_size_is_served(app, server):
    call = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=CALL_TIMEOUT_SECONDS
    )
    call.request("POST", "/", b"x" * LARGEST_BODY)
    assert call.getresponse().status == 200
    assert app.sizes == [LARGEST_BODY]


def test_request_without_body_that_expects_continue_is_served(connect, registry):
    sock = connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n")
    assert read_body(sock) == b"served"
    wait_until(lambda: read_held(registry) == 0)


def test_refused_request_that_expects_continue_is_answered(connect, registry):
    fill(connect, registry)
    sock = connect()
    head = (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nExpect: 100-continue\r\n"
    )
    # Their cost shows at the end of the header only.
    fields = b"".join(b"F%d: x\r\n" % number for number in range(500))
    sock.sendall(head + fields + b"\r\n")
    # A "100 Continue" before the refusal would be the first line.
    assert sock.recv(12) == b"HTTP/1.1 503"


def test_eviction_does_not_cut_the_answer_before_it(app, server, connect):
    app.answer = b"x" * 15_000_000
    sock = connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\n")
    wait_until(lambda: app.sizes and list_channels(server))
    (channel,) = list_channels(server)
    wait_until(lambda: channel.total_outbufs_len and not channel.requests)
    channel.drop(channel.request)
    assert read_body(sock) == app.answer


def test_blank_lines_hold_no_memory(connect, registry):
    sock = connect()
    sock.sendall(b"\r\n")
    wait_until(lambda: read_held(registry) > 0)
    sock.sendall(b"\r\n")
    wait_until(lambda: read_held(registry) == 0)


def test_connections_that_are_being_closed_are_not_in_excess(intake):
    channels = [StubChannel() for _ in range(66)]
    channels[0].will_close = True
    server = SimpleNamespace(
        active_channels=dict(enumerate(channels)), max_connections=64
    )
    intake.limit_connections(server, channels[-1])
    intake.limit_connections(server, channels[-1])
    closed = [channel for channel in channels if channel.will_close]
    assert len(closed) == 3


def test_finished_server_gives_the_memory_of_unfinished_requests_back(
    server, connect, registry
):
    send_unfinished(connect())
    wait_until(lambda: read_held(registry) > LARGEST_BODY)
    (channel,) = list_channels(server)
    request = channel.request
    server.finish(0.0)
    assert read_held(registry) == 0
    # The trigger of the server is closed by now; its descriptor may be another's.
    channel.drop(request)


def test_two_largest_heartbeats_at_once_are_both_served(app, clock, serve, registry):
    intake = build_intake(clock, registry, memory_mb=168)
    intake.ensure_room(MAX_HEARTBEAT_BYTES, HEARTBEAT_THREADS)
    address = ("127.0.0.1", serve(MAX_HEARTBEAT_BYTES, intake).port)
    expected = 2 * BODY_COPIES * (MAX_HEARTBEAT_BYTES - 2)
    with (
        socket.create_connection(address, CALL_TIMEOUT_SECONDS) as first,
        socket.create_connection(address, CALL_TIMEOUT_SECONDS) as second,
    ):
        for sock in (first, second):
            send_unfinished(sock, MAX_HEARTBEAT_BYTES)
        wait_until(lambda: read_held(registry) > expected)
        for sock in (first, second):
            sock.sendall(b"x")
            assert read_body(sock) == b"served"


def test_body_of_the_largest_size_with_many_fields_is_served(serve, intake):
    # Twice this is more than an eighth of the memory.
    size = 3_000_000
    address = ("127.0.0.1", serve(size, intake).port)
    fields = b"".join(b"%x:\r\n" % number for number in range(4500))
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % size
    with socket.create_connection(address, CALL_TIMEOUT_SECONDS) as sock:
        sock.sendall(head + fields + b"\r\n" + b"x" * size)
        assert read_body(sock) == b"served"


def test_refusal_reaches_a_client_that_is_still_writing(connect, registry):
    fill(connect, registry)
    for _ in range(10):
        sock = connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        send_unfinished(sock)
        assert json.loads(read_body(sock))["code"] == "bodies-full"


def test_refused_client_that_never_stops_writing_is_closed(connect, registry):
    fill(connect, registry)
    sock = connect()
    send_unfinished(sock)
    with pytest.raises(OSError, match="reset|pipe"):
        for _ in range(200):
            sock.sendall(b"x" * 100_000)


def test_refused_client_that_is_silent_is_closed(clock, connect, server, registry):
    fill(connect, registry)
    sock = connect()
    send_unfinished(sock, 100_000)
    assert json.loads(read_body(sock))["code"] == "bodies-full"
    wait_until(lambda: any(channel.discard for channel in list_channels(server)))
    clock.advance(IntakeSettings().body_stall)
    wait_until(lambda: len(list_channels(server)) == FITTING)


def read_answers(sock, count):
    """Read so many answers of the application, one after the other."""
    received = b""
    while received.count(b"\r\n\r\nserved") < count:
        received += sock.recv(4096)
    assert received.count(b"HTTP/1.1 200 OK") == count


def test_requests_in_one_packet_are_answered_in_turn(app, connect, registry):
    sock = connect()
    chunked = (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n"
    )
    sized = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
    empty = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    sock.sendall(chunked + sized + b"\r\n\r\n" + empty + sized)
    read_answers(sock, 4)
    assert app.sizes == [3, 2, 0, 2]
    wait_until(lambda: read_held(registry) == 0)


def test_only_one_request_of_a_packet_is_parsed_at_a_time(app, server, connect):
    may_serve = threading.Event()

    def wait_and_serve(environ, start_response):
        may_serve.wait(CALL_TIMEOUT_SECONDS)
        return app(environ, start_response)

    server._server.application = wait_and_serve
    sock = connect()
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    sock.sendall(request * 50)
    wait_until(lambda: any(channel.requests for channel in list_channels(server)))
    (channel,) = list_channels(server)
    assert len(channel.requests) == 1
    assert len(channel.unparsed) == len(request) * 49
    may_serve.set()
    read_answers(sock, 50)


def test_body_whose_decoding_has_no_room_is_refused_and_never_runs(
    app, serve, intake, registry
):
    # Each byte is decoded to a hundred.
    decoding = DecodingMemory(lambda content: 100 * len(content), lambda size: 0)
    address = ("127.0.0.1", serve(LARGEST_BODY, intake, decoding).port)
    largest = int(64_000_000 / 8 * (1 - RESERVED_SHARE) / 102)
    statuses = []
    for size in (largest + 1000, largest - 1000):
        call = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_SECONDS)
        call.request("POST", "/", b"x" * size)
        answer = call.getresponse()
        statuses.append(answer.status)
        answer.read()
        call.close()
    assert statuses == [503, 200]
    assert app.sizes == [largest - 1000]
    wait_until(lambda: read_held(registry) == 0)


def test_largest_decoding_has_room_on_the_smallest_vm(app, serve, intake):
    decoding = DecodingMemory(lambda content: 30_000_000, lambda size: 30_000_000)
    address = ("127.0.0.1", serve(LARGEST_BODY, intake, decoding).port)
    call = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_SECONDS)
    call.request("POST", "/", b"x" * LARGEST_BODY)
    assert call.getresponse().status == 200


def send_chunked(sock, content, extension=b""):
    sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunks = (b"1%s\r\n%c\r\n" % (extension, byte) for byte in content)
    sock.sendall(b"".join(chunks) + b"0\r\n\r\n")


def test_largest_body_in_chunks_of_one_byte_is_served(app, connect):
    sock = connect()
    send_chunked(sock, b"x" * LARGEST_BODY)
    assert read_body(sock) == b"served"
    assert app.sizes == [LARGEST_BODY]


def test_body_that_is_too_large_without_its_framing_is_refused(app, connect):
    sock = connect()
    try:
        send_chunked(sock, b"x" * (LARGEST_BODY + 1))
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert answer.status == 413
    except OSError:
        # The connection was reset before the client had sent all.
        pass
    assert app.sizes == []


def test_body_of_endless_framing_is_refused(app, connect):
    sock = connect()
    sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"1;" + b"x" * 1000 + b"\r\nx\r\n"
    with pytest.raises(OSError, match="reset|pipe"):
        for _ in range(LARGEST_BODY // 1000 * MAX_FRAMING_PER_BYTE):
            sock.sendall(chunk * 10)
    assert app.sizes == []


def parse(parser_class, content):
    """Return the parser of a request after it has received the content."""
    intake = SimpleNamespace(admit=lambda request: True, release=lambda request: None)
    server = SimpleNamespace(intake=intake, estimate_decoding=lambda content: 0)
    parser = parser_class(Adjustments())
    parser.channel = SimpleNamespace(work=ReadingWork(), server=server)
    parser.received(content)
    return parser


def build_parser(adjustments):
    return BudgetedParser(adjustments, None)


FIELD = st.builds(
    lambda name, value: f"{name}: {value}",
    st.from_regex(r"[A-Za-z][A-Za-z-]{0,8}", fullmatch=True),
    st.from_regex(r"(?:[!-~]{1,9}(?: [!-~]{1,9}){0,3})?", fullmatch=True),
)


@given(
    st.from_regex(
        r"[A-Z]{1,7} (?:x://)?[!-Z\\^-~]{1,20}( HTTP/1\.[01])?", fullmatch=True
    ),
    st.lists(FIELD, max_size=5),
)
def test_header_is_parsed_as_waitress_does(first_line, fields):
    content = "\r\n".join([first_line, *fields, "", ""]).encode()
    parser = parse(build_parser, content)
    expected = parse(HTTPRequestParser, content)
    assert type(parser.error) is type(expected.error)
    assert parser.headers == expected.headers
    if expected.error is None:
        for name in ("command", "path", "query", "version", "connection_close"):
            assert getattr(parser, name) == getattr(expected, name)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (b"a:" + b" " * 30_000 + b"x", "x"),
        (b"a: x" + b" \t" * 15_000, "x"),
        (b"a: x" + b" " * 30_000 + b"y", "x y"),
        (b"a:" + b"\r\n " * 10_000 + b"x", "x"),
        (b"a: x\r\n\ty", "x y"),
    ],
)
def test_spaces_in_a_field_count_as_one(field, value):
    parser = parse(build_parser, b"GET / HTTP/1.1\r\n" + field + b"\r\n\r\n")
    assert parser.error is None
    assert parser.headers == {"A": value}


@pytest.mark.parametrize(
    "line",
    [
        b"GET x://" + b"1" * 30_000 + b" HTTP/1.1 x",
        b"GET",
        b"GET / x",
        b"GET  / HTTP/1.1",
        b"GET x://[ HTTP/1.1",
    ],
)
def test_invalid_first_line_is_an_error(line):
    parser = parse(build_parser, line + b"\r\nHost: a\r\n\r\n")
    assert parser.error.code == 400


def test_request_behind_a_refused_one_never_runs(app, connect, registry):
    fill(connect, registry)
    sock = connect()
    size = 100_000
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    sock.sendall(head + b"x" * size + b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
    received = b""
    while part := sock.recv(4096):
        received += part
    assert received.count(b"HTTP/1.1") == 1
    assert app.sizes == []
