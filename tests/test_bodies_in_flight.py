"""Crowds of clients whose request bodies don't end, against the system's processes.

Each test starts a site with little memory and checks that the process under the crowd
lives, stays within its memory and descriptors, and still answers an ordinary request.
"""

import contextlib
import http.client
import json
import socket
import sys
import time
from pathlib import Path

import pytest
import yaml

from demo.cluster import Cluster
from demo.sites import SITE_BY_NAME
from soak.site import HOST_NAME, PREFIX, SoakSite

MIB = 1 << 20
# What the VM of each process has; the processes are told so in their settings.
MEMORY_MB = 96
# Descriptors of a process besides the connections of the crowd.
OWN_DESCRIPTORS = 100
CONNECTIONS = 64
ENTRY = "entry-1"
MODULE = "bergamotshore"
HEADER_CROWD = 400
# One in this many clients ends its body.
ENDING_SHARE = 10
PIECE_BYTES = 4096
LARGE_CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 16
# Pieces sent to one client after another, so that all bodies are in flight together.
TURN_BYTES = 256 * 1024
SEND_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 10.0
ANSWER_TRIES = 300
# A listener reads no more if as many looks in a row find the same bytes unread.
SAME_LOOKS = 4
LOOK_SECONDS = 0.5
STEP = {"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 500}


class Target:
    """A listener of a process, with the crowd that it meets.

    :param process: Name of the process.
    :param address: Pair of host and port.
    :param method: Method and path of the crowd's requests.
    :param clients: Number of clients.
    :param body_bytes: Size of each body, within the listener's limit.
    """

    def __init__(self, process, address, method, clients, body_bytes):
        self.process = process
        self.address = address
        self.method = method
        self.clients = clients
        self.body_bytes = body_bytes


def split_address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def find_target(site, folder, listener):
    """Return the ``Target`` of a listener by its name in the settings."""
    process = "node-0" if listener == "heartbeats" else "entry-0"
    settings = yaml.safe_load((folder / f"{process}.yaml").read_text())
    match listener:
        case "callers":
            address, method = settings["entry"]["callers"], f"POST {PREFIX}crowd-"
        case "heartbeats":
            address, method = settings["site"]["heartbeats"], "PUT /instances/crowd-"
            return Target(process, split_address(address), method, 40, 4 * MIB - 4096)
        case "ready" | "metrics":
            address, method = settings["site"][listener], "POST /crowd-"
    return Target(process, split_address(address), method, 120, MIB - 4096)


@pytest.fixture
def start_site(tmp_path):
    """Return a function that starts a site with the given limits."""
    sites = []

    def start(**limits):
        site = SoakSite(tmp_path, entries=1, nodes=1, seed=0)
        sites.append(site)
        for path in tmp_path.glob("*.yaml"):
            settings = yaml.safe_load(path.read_text())
            settings["intake"] = limits
            path.write_text(yaml.safe_dump(settings))
        site.start()
        wait_for_processes(site, tmp_path)
        return site

    yield start
    for site in sites:
        site.close()


def call(address, method, path, body=None):
    """Return the status of one request on a new connection, or None."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_SECONDS)
    headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def repeat_until(statuses, *request):
    """Return whether a request gets one of the statuses in some tries."""
    for _ in range(ANSWER_TRIES):
        if call(*request) in statuses:
            return True
        time.sleep(0.1)
    return False


def wait_for_processes(site, folder):
    address = site.callers_by_entry["entry-0"]
    assert repeat_until({410}, address, "GET", PREFIX + "absent")
    address = find_target(site, folder, "heartbeats").address
    assert repeat_until({200}, address, "GET", "/metrics")


def answer_ordinary_request(target, listener):
    """Return whether an ordinary request at the listener is answered."""
    match listener:
        case "callers":
            body = json.dumps({"spec": "text", "steps": [STEP]})
            path = PREFIX + "ordinary"
            return repeat_until({200, 201}, target.address, "POST", path, body)
        case "heartbeats" | "metrics":
            return repeat_until({200}, target.address, "GET", "/metrics")
        case _:
            return repeat_until({200, 503}, target.address, "GET", "/readyz")


def build_body(size, chunk_bytes):
    """Return the bytes of a JSON body on the wire, in chunks unless ``None``."""
    text = b'{"spec":"' + b"x" * (size - 11) + b'"}'
    if chunk_bytes is None:
        return text
    chunks = []
    left = size
    for start in range(0, size, chunk_bytes):
        part = text[start : start + chunk_bytes]
        chunk = b"%x\r\n%s\r\n" % (len(part), part)
        left -= len(chunk)
        if left < PIECE_BYTES:
            break
        chunks.append(chunk)
    return b"".join(chunks) + b"0\r\n\r\n"


class Crowd:
    """Clients that send a body each, most of which stops just short of its end.

    :param target: ``Target``.
    :param chunk_bytes: Size of the chunks; None for a body with a length.
    :param turn_bytes: Bytes that each client sends in one turn.
    """

    def __init__(self, target, chunk_bytes, turn_bytes):
        self.target = target
        self.sockets = []
        self._turn_bytes = turn_bytes
        self._content = build_body(target.body_bytes, chunk_bytes)
        self._length = (
            b"Transfer-Encoding: chunked"
            if chunk_bytes
            else b"Content-Length: %d" % len(self._content)
        )

    def send(self):
        """Open all connections, then send the bodies in turns."""
        for number in range(self.target.clients):
            self._open(number)
        for start in range(0, len(self._content), self._turn_bytes):
            for number, sock in enumerate(self.sockets):
                end = len(self._content) - (2 if number % ENDING_SHARE else 0)
                send_bytes(
                    sock, self._content[start : min(end, start + self._turn_bytes)]
                )

    def _open(self, number):
        head = (
            b"%s%d HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n"
        )
        sock = socket.create_connection(self.target.address, SEND_TIMEOUT_SECONDS)
        self.sockets.append(sock)
        method = self.target.method.encode()
        send_bytes(sock, head % (method, number, HOST_NAME.encode(), self._length))

    def close(self):
        for sock in self.sockets:
            sock.close()


def send_bytes(sock, content):
    """Send bytes; a client that was refused or cut off sends nothing more."""
    with contextlib.suppress(OSError):
        sock.sendall(content)


def read_peak_mb(process):
    """Return the highest resident memory of a process so far, in MB."""
    text = Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def count_descriptors(process):
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


def count_unread_bytes(port):
    """Return the bytes that have reached a listener's connections and aren't read."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            unread += int(fields[4].rpartition(":")[2], 16)
    return unread


def wait_until_read(port):
    """Wait until a listener has read what its clients sent, or reads no more."""
    looks = []
    while len(looks) < SAME_LOOKS or len(set(looks[-SAME_LOOKS:])) > 1:
        looks.append(count_unread_bytes(port))
        time.sleep(LOOK_SECONDS)


def check_process(site, target, listener, connections):
    wait_until_read(target.address[1])
    programs = site.entry_by_name | site.node_by_name
    process = programs[target.process].process
    assert answer_ordinary_request(target, listener)
    assert process.poll() is None
    peak, descriptors = read_peak_mb(process), count_descriptors(process)
    print(f"peak {peak:.0f} MB, {descriptors} descriptors")
    assert peak < MEMORY_MB
    assert descriptors < connections + OWN_DESCRIPTORS


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


@pytest.fixture
def declared_entry(tmp_path):
    """Return the cluster of an entry that serves declared work, and its settings."""
    cluster = Cluster(SITE_BY_NAME["tsehay"], tmp_path, [sys.executable, "-m", MODULE])
    cluster.intake = {"memory_mb": MEMORY_MB}
    try:
        cluster.start_platform()
        cluster.start_entry(ENTRY)
        settings = yaml.safe_load((tmp_path / f"{ENTRY}.yaml").read_text())
        yield cluster, settings["entry"]
    finally:
        cluster.kill_all()


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
