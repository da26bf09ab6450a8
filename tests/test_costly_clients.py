"""Crowds whose requests are legal and small on the wire, but costly to parse or decode.

As in ``test_bodies_in_flight``, each test starts real processes with little memory.
None of them measures time: a listener under a crowd has to answer an ordinary request
while most of what the crowd sent before it is still unread.
"""

import contextlib
import http.client
import json
import signal
import socket

import msgpack
import pytest
import yaml

from soak.site import HOST_NAME, PREFIX
from tests.crowds import (
    ENTRY,
    MEMORY_MB,
    MIB,
    OWN_DESCRIPTORS,
    SEND_TIMEOUT_SECONDS,
    STEP,
    Target,
    check_process,
    count_descriptors,
    find_target,
    read_peak_mb,
    repeat_until,
    send_bytes,
    split_address,
    wait_until_read,
)

# Only a listener that hangs takes so long.
HANG_SECONDS = 120.0
DECODED_CROWD = 40
HEARTBEAT_CROWD = 8
LARGEST_HEARTBEAT = 4 * MIB
# Crowds, one after the other, whose bodies reach the endpoints.
PASSED_CROWD = 60
PASSED_ROUNDS = 6
# Bodies in chunks of one byte. Sender and receiver hold one of them in their buffers.
CHUNKED_CROWD = 240
CHUNKED_BYTES = 24 * 1024
SEND_BUFFER_BYTES = 256 * 1024
# All that such a crowd holds at once fits into this memory.
CHUNKED_MEMORY_MB = 168
# Steps that the row of a job can hold if they are as short as can be.
STORABLE_STEPS = 5000
HEADER_CROWD = 200
STREAM_CROWD = 40
SILENT_STREAMS = 400
CONNECTIONS = 64
LARGEST_MESSAGE = 4 * MIB


def fill_up(start, end, size):
    """Return a JSON text of a given size, filled up with letters."""
    return start + b"x" * (size - len(start) - len(end)) + end


def build_steps(step, count):
    return b'{"steps":[' + b",".join([step] * count) + b"]"


JOB_BY_COST = {
    "empty steps": build_steps(b"{}", 65_000) + b"}",
    "valid steps": build_steps(b'{"count":1}', 20_000) + b"}",
    "numbers": build_steps(
        b'{"count":1,"after":[' + b",".join([b"1000"] * 200_000) + b"]}", 1
    )
    + b"}",
    "wide text": fill_up(
        build_steps(b'{"count":1}', 1) + b',"spec":"\xf0\x9f\x8c\x8a', b'"}', MIB
    ),
}
REPORT = {
    "service": "service",
    "zone": "zone-a",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768},
    "born": 1,
    "seq": 1,
}


def build_head(method, path, length):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Content-Type: application/json\r\n{length}\r\n\r\n"
    ).encode()


def build_single_byte_chunks(content):
    """Return a body on the wire, one byte in each chunk."""
    return b"".join(b"1\r\n%c\r\n" % byte for byte in content) + b"0\r\n\r\n"


def send_complete_bodies(stack, target, content, clients, headers="X-Crowd: 1"):
    """Send whole bodies that end at nearly the same time."""
    length = f"Content-Length: {len(content)}\r\n{headers}"
    sockets = []
    for number in range(clients):
        sock = socket.create_connection(target.address, SEND_TIMEOUT_SECONDS)
        sockets.append(stack.enter_context(sock))
        method, _, path = target.method.partition(" ")
        send_bytes(sock, build_head(method, f"{path}{number}", length) + content[:-1])
    for sock in sockets:
        send_bytes(sock, content[-1:])


@pytest.mark.parametrize("cost", JOB_BY_COST)
def test_jobs_that_are_costly_to_decode_leave_memory_and_answers(
    start_site, tmp_path, cost
):
    site = start_site(memory_mb=MEMORY_MB)
    target = find_target(site, tmp_path, "callers")
    with contextlib.ExitStack() as stack:
        send_complete_bodies(stack, target, JOB_BY_COST[cost], DECODED_CROWD)
        check_process(site, target, "callers", DECODED_CROWD)


def test_heartbeats_that_are_costly_to_decode_leave_memory_and_answers(
    start_site, tmp_path
):
    site = start_site(memory_mb=MEMORY_MB)
    target = find_target(site, tmp_path, "heartbeats")
    start = json.dumps(REPORT)[:-1].encode() + b',"labels":['
    labels = (LARGEST_HEARTBEAT - len(start) - 8) // len(b'"ab",')
    content = start + b",".join([b'"ab"'] * labels) + b"]}"
    with contextlib.ExitStack() as stack:
        send_complete_bodies(stack, target, content, HEARTBEAT_CROWD)
        check_process(site, target, "heartbeats", HEARTBEAT_CROWD)


def test_bodies_that_are_passed_on_leave_memory_and_answers(declared_site):
    """Each thread that had served a largest body kept its memory."""
    entry = declared_site.member_by_name[ENTRY]
    address = split_address(entry.address)
    path = f"POST /services/{declared_site.site.service}/"
    target = Target(ENTRY, address, path, PASSED_CROWD, MIB)
    headers = "X-Request-Deadline-Ms: 2000\r\nX-Request-Repeatable: true"
    for _ in range(PASSED_ROUNDS):
        with contextlib.ExitStack() as stack:
            content = b"x" * target.body_bytes
            send_complete_bodies(stack, target, content, PASSED_CROWD, headers)
            wait_until_read(address[1])
        assert repeat_until({200}, address, "GET", "/live")
    assert entry.process.poll() is None
    peak = read_peak_mb(entry.process)
    print(f"peak {peak:.0f} MB")
    assert peak < MEMORY_MB
    assert count_descriptors(entry.process) < PASSED_CROWD + OWN_DESCRIPTORS


def count_queued_bytes(port):
    """Return the bytes sent to a listener that its process hasn't read.

    Some wait at the listener's end of a connection, the others at the client's.
    """
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in list(table)[1:]]
    queued = 0
    for _, local, remote, _, queues, *_ in rows:
        unsent, _, unread = queues.partition(":")
        if int(local.rpartition(":")[2], 16) == port:
            queued += int(unread, 16)
        elif int(remote.rpartition(":")[2], 16) == port:
            queued += int(unsent, 16)
    return queued


def send_chunked_bodies(stack, target):
    """Send bodies in tiny chunks, all into the buffers of the kernel.

    :returns: Number of bytes.
    """
    content = build_single_byte_chunks(b" " * CHUNKED_BYTES)
    sent = 0
    method, _, path = target.method.partition(" ")
    for number in range(CHUNKED_CROWD):
        sock = stack.enter_context(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.settimeout(SEND_TIMEOUT_SECONDS)
        sock.connect(target.address)
        head = build_head(method, f"{path}{number}", "Transfer-Encoding: chunked")
        # Most stop just short of the end.
        end = -2 if number % 10 else len(content)
        sock.sendall(head + content[:end])
        sent += len(head + content[:end])
    return sent


def check_order(process, target, ordinary):
    """Check that an ordinary request is answered before most of a crowd's bytes.

    The process is paused until all have been sent, so that it finds them at once.

    :param process: Process of the listener.
    :param target: ``Target``.
    :param ordinary: Method and path of the ordinary request, and its body.
    """
    port = target.address[1]
    with contextlib.ExitStack() as stack:
        process.send_signal(signal.SIGSTOP)
        try:
            sent = send_chunked_bodies(stack, target)
            connection = http.client.HTTPConnection(*target.address, HANG_SECONDS)
            stack.callback(connection.close)
            headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
            connection.request(*ordinary, headers)
        finally:
            process.send_signal(signal.SIGCONT)
        assert connection.getresponse().status in (200, 404, 503)
        left = count_queued_bytes(port)
        print(f"{left} of {sent} bytes of the crowd unread at the answer")
        assert left > sent / 2


@pytest.mark.parametrize("listener", ["callers", "heartbeats", "ready", "metrics"])
def test_ordinary_request_is_answered_before_a_crowd_of_tiny_chunks(
    start_site, tmp_path, listener
):
    site = start_site(memory_mb=CHUNKED_MEMORY_MB)
    target = find_target(site, tmp_path, listener)
    programs = site.entry_by_name | site.node_by_name
    job = json.dumps({"spec": "text", "steps": [STEP]})
    ordinary = {
        "callers": ("POST", PREFIX + "first", job),
        "heartbeats": ("GET", "/metrics", None),
        "ready": ("GET", "/readyz", None),
        "metrics": ("GET", "/metrics", None),
    }[listener]
    check_order(programs[target.process].process, target, ordinary)
    check_process(site, target, listener, CHUNKED_CROWD)


@pytest.mark.parametrize("listener", ["callers", "operators"])
def test_ordinary_request_at_an_entry_of_declared_work_is_answered_before_a_crowd(
    declared_entry, listener
):
    cluster, entry = declared_entry
    address = split_address(entry[listener])
    assert repeat_until({200}, address, "GET", "/live")
    target = Target(ENTRY, address, "POST /services/none/", CHUNKED_CROWD, 0)
    process = cluster.member_by_name[ENTRY].process
    check_order(process, target, ("GET", "/live", None))
    wait_until_read(address[1])
    assert repeat_until({200}, address, "GET", "/live")
    assert process.poll() is None
    assert read_peak_mb(process) < MEMORY_MB
    assert count_descriptors(process) < CHUNKED_CROWD + OWN_DESCRIPTORS


COSTLY_HEADER = {
    "spaces": b"GET / HTTP/1.1\r\na:" + b" " * 32_000 + b"x\r\n\r\n",
    "first line": b"GET x://" + b"1" * 32_000 + b" HTTP/1.1 x\r\n\r\n",
    "folded lines": b"GET / HTTP/1.1\r\na:" + b"\r\n " * 10_000 + b"x\r\n\r\n",
}


@pytest.mark.parametrize("pattern", COSTLY_HEADER)
@pytest.mark.parametrize("listener", ["callers", "heartbeats"])
def test_headers_that_are_costly_to_parse_do_not_hang_a_listener(
    start_site, tmp_path, listener, pattern
):
    site = start_site(memory_mb=MEMORY_MB)
    target = find_target(site, tmp_path, listener)
    with contextlib.ExitStack() as stack:
        for _ in range(HEADER_CROWD):
            sock = socket.create_connection(target.address, SEND_TIMEOUT_SECONDS)
            send_bytes(stack.enter_context(sock), COSTLY_HEADER[pattern])
        connection = http.client.HTTPConnection(*target.address, HANG_SECONDS)
        stack.callback(connection.close)
        connection.request("GET", PREFIX + "absent", headers={"Host": HOST_NAME})
        assert connection.getresponse().status
        check_process(site, target, listener, HEADER_CROWD)


def build_largest_job():
    """Return the largest job that a caller may send and the store can hold."""
    steps = build_steps(b'{"count":1}', STORABLE_STEPS)
    return steps + b" " * (MIB - len(steps) - 1) + b"}"


def build_largest_heartbeat():
    start = json.dumps(REPORT)[:-1].encode()
    return start + b" " * (LARGEST_HEARTBEAT - len(start) - 1) + b"}"


@pytest.mark.parametrize("framing", ["whole", "chunks of one byte"])
@pytest.mark.parametrize("listener", ["callers", "heartbeats"])
def test_single_largest_body_is_served_in_calm(start_site, tmp_path, listener, framing):
    site = start_site(memory_mb=MEMORY_MB)
    target = find_target(site, tmp_path, listener)
    content = (
        build_largest_job() if listener == "callers" else build_largest_heartbeat()
    )
    length = f"Content-Length: {len(content)}"
    if framing != "whole":
        content = build_single_byte_chunks(content)
        length = "Transfer-Encoding: chunked"
    method, _, path = target.method.partition(" ")
    with socket.create_connection(target.address, HANG_SECONDS) as sock:
        sock.sendall(build_head(method, path + "largest", length) + content)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert answer.status == 200
    check_process(site, target, listener, 1)


def find_streams(folder):
    """Return the address for streams of the entry of submitted work."""
    settings = yaml.safe_load((folder / "entry-0.yaml").read_text())
    return split_address(settings["entry"]["nodes"])


STREAM_CONTENT = {
    "message without end": msgpack.packb(b"x" * (LARGEST_MESSAGE - 64))[:-2],
    "nested message": msgpack.packb([[]] * (LARGEST_MESSAGE // 2))[:-2],
}


@pytest.mark.parametrize("pattern", STREAM_CONTENT)
def test_messages_that_do_not_end_leave_memory_and_answers(
    start_site, tmp_path, pattern
):
    site = start_site(memory_mb=MEMORY_MB)
    streams = find_streams(tmp_path)
    with contextlib.ExitStack() as stack:
        for _ in range(STREAM_CROWD):
            sock = socket.create_connection(streams, SEND_TIMEOUT_SECONDS)
            send_bytes(stack.enter_context(sock), STREAM_CONTENT[pattern])
        wait_until_read(streams[1])
        callers = find_target(site, tmp_path, "callers")
        check_process(site, callers, "callers", STREAM_CROWD)


def test_streams_that_never_introduce_themselves_leave_descriptors_and_answers(
    start_site, tmp_path
):
    site = start_site(memory_mb=MEMORY_MB, connections=CONNECTIONS)
    streams = find_streams(tmp_path)
    with contextlib.ExitStack() as stack:
        for _ in range(SILENT_STREAMS):
            sock = socket.create_connection(streams, SEND_TIMEOUT_SECONDS)
            stack.enter_context(sock)
        callers = find_target(site, tmp_path, "callers")
        check_process(site, callers, "callers", CONNECTIONS)
