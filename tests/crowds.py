"""Crowds of clients against real processes, and what is measured of the processes."""

import contextlib
import http.client
import json
import socket
import time
from pathlib import Path

import yaml

from soak.site import HOST_NAME, PREFIX

MIB = 1 << 20
# What the VM of each process has; the processes are told so in their settings.
MEMORY_MB = 96
# Descriptors of a process besides the connections of the crowd.
OWN_DESCRIPTORS = 100
# One in this many clients ends its body.
ENDING_SHARE = 10
PIECE_BYTES = 4096
SEND_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 10.0
ANSWER_TRIES = 300
# Name of the entry of declared work.
ENTRY = "entry-1"
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
