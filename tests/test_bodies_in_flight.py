"""Crowds of clients whose request bodies don't end, against the system's processes.

Each test starts a site with little memory and checks that the process under the crowd
lives, stays within its memory and descriptors, and still answers an ordinary request.
"""

import contextlib
import socket

import pytest

from soak.site import PREFIX
from tests.crowds import (
    ENTRY,
    MEMORY_MB,
    MIB,
    OWN_DESCRIPTORS,
    PIECE_BYTES,
    SEND_TIMEOUT_SECONDS,
    Crowd,
    Target,
    call,
    check_process,
    count_descriptors,
    find_target,
    read_peak_mb,
    repeat_until,
    send_bytes,
    split_address,
    wait_until_read,
)

CONNECTIONS = 64
HEADER_CROWD = 400
LARGE_CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 16
# Pieces sent to one client after another, so that all bodies are in flight together.
TURN_BYTES = 256 * 1024

PATTERNS = {
    "large chunks": (LARGE_CHUNK_BYTES, TURN_BYTES),
    "small chunks": (SMALL_CHUNK_BYTES, TURN_BYTES),
    "whole": (None, 4 * MIB),
    "piece by piece": (None, PIECE_BYTES),
}


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("listener", ["callers", "heartbeats", "ready", "metrics"])
def test_bodies_that_do_not_end_leave_memory_and_answers(
    start_site, tmp_path, listener, pattern
):
    site = start_site(memory_mb=MEMORY_MB)
    target = find_target(site, tmp_path, listener)
    crowd = Crowd(target, *PATTERNS[pattern])
    with contextlib.closing(crowd):
        crowd.send()
        check_process(site, target, listener, target.clients)


@pytest.mark.parametrize("listener", ["callers", "heartbeats", "ready", "metrics"])
def test_headers_that_do_not_end_leave_descriptors_and_answers(
    start_site, tmp_path, listener
):
    site = start_site(memory_mb=MEMORY_MB, connections=CONNECTIONS)
    target = find_target(site, tmp_path, listener)
    with contextlib.ExitStack() as sockets:
        for number in range(HEADER_CROWD):
            sock = socket.create_connection(target.address, SEND_TIMEOUT_SECONDS)
            sockets.enter_context(sock)
            send_bytes(sock, b"%s%d HTTP/1.1\r\nHo" % (target.method.encode(), number))
        check_process(site, target, listener, CONNECTIONS)


def test_crowds_at_all_listeners_of_an_entry_share_its_memory(start_site, tmp_path):
    site = start_site(memory_mb=MEMORY_MB)
    listeners = ("callers", "ready", "metrics")
    targets = [find_target(site, tmp_path, listener) for listener in listeners]
    crowds = []
    with contextlib.ExitStack() as stack:
        for target in targets:
            target.clients //= len(targets)
            crowds.append(Crowd(target, *PATTERNS["whole"]))
            stack.enter_context(contextlib.closing(crowds[-1]))
            crowds[-1].send()
        for target, listener in zip(targets, listeners, strict=True):
            clients = sum(target.clients for target in targets)
            check_process(site, target, listener, clients)


# The entry learns no services here, so that it answers calls with 404.
@pytest.mark.parametrize("listener", ["callers", "operators"])
def test_bodies_at_an_entry_of_declared_work_leave_memory_and_answers(
    declared_entry, listener
):
    cluster, entry = declared_entry
    address = split_address(entry[listener])
    process = cluster.member_by_name[ENTRY].process
    assert repeat_until({200}, address, "GET", "/live")
    crowd = Crowd(
        Target(ENTRY, address, "POST /services/none/", 120, MIB - 4096),
        *PATTERNS["whole"],
    )
    with contextlib.closing(crowd):
        crowd.send()
        wait_until_read(address[1])
        assert repeat_until({200}, address, "GET", "/live")
        assert process.poll() is None
        assert read_peak_mb(process) < MEMORY_MB
        assert count_descriptors(process) < crowd.target.clients + OWN_DESCRIPTORS


def test_body_of_countless_steps_leaves_memory_and_answers(start_site, tmp_path):
    """A body of legal size took 200 times its size when it was decoded."""
    site = start_site(memory_mb=MEMORY_MB)
    target = find_target(site, tmp_path, "callers")
    body = b'{"spec":"x","steps":[' + b"{}," * (target.body_bytes // 3 - 10) + b"{}]}"
    assert call(target.address, "POST", PREFIX + "steps", body) in (400, 503)
    check_process(site, target, "callers", 1)
