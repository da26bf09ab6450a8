"""Measure slopes of processor time, memory, bytes and store calls on real processes."""

import os
import socket
import sys
import tempfile
import threading
import time
from dataclasses import replace

from bench.path import OpenLoad
from bergamotshore.generated.messages import (
    Announce,
    AttemptId,
    Heartbeat,
    Hello,
    TaskInventory,
)
from bergamotshore.transport.codec import encode_message
from bergamotshore.utils.addresses import split_address
from demo.cluster import TEAM_TOKEN, Cluster
from demo.sites import SITE_BY_NAME

ENTRY = "entry-1"
STREAM_COUNTS = (0, 200, 400, 800)
TASKS_PER_NODE = 30
MEASURE_SECONDS = 5.0
SETTLE_SECONDS = 2.0
HEARTBEAT_SECONDS = 0.5
INVENTORY_SECONDS = 1.0
REQUEST_RATE = 100.0
REQUEST_SERVICE_MS = 20
REQUEST_THREADS = 32
READ_BYTES = 65536
FURTHER_ENTRIES = 3
TICKS = os.sysconf("SC_CLK_TCK")
TASK_COUNTS = (0, 16, 32)
NODE = "addis-bole-1"
JOB_TEXT = """\
command: [compile]
tasks: {tasks}
processors: 0.4
memory_gb: 0.5
work_seconds: {seconds}
"""


class FakeNodes:
    """Many nodes in one process that only say that they live.

    :param address: Stream address of the entry.
    :param count: Number of nodes.
    """

    def __init__(self, address, count):
        self.streams = [self._connect(address, number) for number in range(count)]
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _connect(self, address, number):
        stream = socket.create_connection(split_address(address))
        name = f"fake-{number}"
        hello = Hello(
            protocol=1, role="node", name=name, incarnation="run", zone="addis-bole"
        )
        announce = Announce(
            service="charity-books",
            slots=8,
            connections=64,
            draining=True,
            session="",
            processors=16.0,
            memory_gb=60.0,
            accelerators=2,
        )
        stream.sendall(encode_message(hello, 1) + encode_message(announce, 2))
        stream.setblocking(False)
        return stream

    def _run(self):
        attempts = [
            AttemptId(job="ledger/annual-statements", index=number, attempt=1)
            for number in range(TASKS_PER_NODE)
        ]
        turn = 0
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            turn += 1
            now = time.monotonic()
            content = encode_message(Heartbeat(sent_at=now), turn)
            if turn % int(INVENTORY_SECONDS / HEARTBEAT_SECONDS) == 0:
                inventory = TaskInventory(
                    session="s",
                    taken_at=now,
                    echo=now,
                    attempts=attempts,
                    processors_free=1.0,
                    memory_free_gb=1.0,
                    accelerators_free=0,
                )
                content += encode_message(inventory, turn)
            for stream in self.streams:
                stream.send(content)
                try:
                    stream.recv(READ_BYTES)
                except BlockingIOError:
                    pass

    def stop(self):
        """Close every stream."""
        self.stopping.set()
        self.thread.join()
        for stream in self.streams:
            stream.close()


def read_processor_seconds(cluster, name):
    """Return the processor time of a process, in seconds."""
    pid = cluster.member_by_name[name].process.pid
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def measure_share(cluster, name):
    """Return the share of a core that a process uses for a while."""
    begun = read_processor_seconds(cluster, name)
    time.sleep(MEASURE_SECONDS)
    return (read_processor_seconds(cluster, name) - begun) / MEASURE_SECONDS


def start_cluster(folder, nodes_per_zone, further_entries=0):
    """Start a site with one entry behind a wire and return its ``Cluster``."""
    site = replace(
        SITE_BY_NAME["tsehay"], nodes_per_zone=nodes_per_zone, zones=("addis-bole",)
    )
    cluster = Cluster(site, folder, [sys.executable, "-m", "bergamotshore"])
    entries = [ENTRY, *(f"further-{number + 1}" for number in range(further_entries))]
    cluster.start_site(entries, True, cluster.write_idle_document())
    return cluster


def measure_entry(folder):
    """Print what connected nodes cost an entry."""
    cluster = start_cluster(folder, nodes_per_zone=0)
    address = cluster.nodes_by_entry[ENTRY]
    print("entry: connected nodes, heartbeat each 0.5 s, 30 attempts listed each 1 s")
    try:
        for count in STREAM_COUNTS:
            nodes = FakeNodes(address, count)
            time.sleep(SETTLE_SECONDS)
            share = measure_share(cluster, ENTRY)
            resident = cluster.read_resident_mb(ENTRY)
            nodes.stop()
            print(f"  {count:5d} nodes: {share:6.1%} of a core, {resident:6.1f} MB")
            time.sleep(SETTLE_SECONDS)
    finally:
        cluster.kill_all()


def read_wire(cluster):
    """Return the bytes in both directions of the entry's wire so far."""
    counts = cluster.ask(f"wire-{ENTRY}", "/counts")
    return counts["in"] + counts["out"]


def measure_node(folder):
    """Print what tasks and requests cost a node."""
    cluster = start_cluster(folder, nodes_per_zone=1, further_entries=FURTHER_ENTRIES)
    print(f"node: {1 + FURTHER_ENTRIES} entries connected, session of 6 s")
    try:
        for tasks in TASK_COUNTS:
            if tasks:
                submit(cluster, f"load-{tasks}", tasks - TASK_COUNTS[1] * (tasks > 16))
            time.sleep(SETTLE_SECONDS)
            print_node(cluster, f"{tasks:2d} tasks")
        before = read_processor_seconds(cluster, NODE)
        entry_before = read_processor_seconds(cluster, ENTRY)
        load = OpenLoad(
            [cluster.member_by_name[ENTRY].address],
            f"/services/{cluster.site.service}/x",
            REQUEST_RATE,
            MEASURE_SECONDS,
            REQUEST_SERVICE_MS,
            REQUEST_THREADS,
        )
        sent = len(load.run())
        used = read_processor_seconds(cluster, NODE) - before
        entry_used = read_processor_seconds(cluster, ENTRY) - entry_before
        print(f"  node  {used / sent * 1000:5.2f} ms of processor time a request")
        print(f"  entry {entry_used / sent * 1000:5.2f} ms of processor time a request")
        print_node(cluster, "after requests")
    finally:
        cluster.kill_all()


def print_node(cluster, what):
    """Print the present use of the node."""
    wire = read_wire(cluster)
    share = measure_share(cluster, NODE)
    rate = (read_wire(cluster) - wire) / MEASURE_SECONDS
    resident = cluster.read_resident_mb(NODE)
    print(
        f"  {what:15}: {share:6.1%} of a core, {resident:5.1f} MB, "
        f"{rate / 1000:5.2f} KB/s with each entry"
    )


def submit(cluster, name, tasks, seconds=1e6):
    """Submit a job."""
    path = os.path.join(str(cluster.folder), f"{name}.job")
    with open(path, "w") as file:
        file.write(JOB_TEXT.format(tasks=tasks, seconds=seconds))
    done = cluster.run_cli(
        ENTRY, TEAM_TOKEN, "job", "submit", f"{cluster.site.team}/{name}", path
    )
    if done.returncode:
        raise RuntimeError(done.stderr)


def measure_store(folder):
    """Print the calls of the store a start, an end and a running task."""
    cluster = start_cluster(folder, nodes_per_zone=1)
    team = cluster.site.team
    try:
        time.sleep(SETTLE_SECONDS)
        before = cluster.ask("table", "/counts")
        time.sleep(MEASURE_SECONDS)
        idle = subtract(cluster.ask("table", "/counts"), before)
        print("store: one entry, one node, session of 6 s renewed each 1.5 s")
        print(f"  idle, each second: {format_counts(idle, MEASURE_SECONDS)}")
        before = cluster.ask("table", "/counts")
        begun = time.monotonic()
        submit(cluster, "short", 32, seconds=1)

        def is_done():
            row = cluster.ask_operators(ENTRY, f"/v1/jobs/{team}/short")
            return all(task["state"] == "completed" for task in row["tasks"])

        cluster.wait_until(is_done, "the job")
        seconds = time.monotonic() - begun
        used = subtract(cluster.ask("table", "/counts"), before)
        for name in used:
            used[name] = max(0.0, used[name] - idle[name] * seconds / MEASURE_SECONDS)
        print(f"  each start and end: {format_counts(used, 32)}")
    finally:
        cluster.kill_all()


def subtract(after, before):
    """Return the difference of counts by name."""
    return {name: after[name] - before[name] for name in after}


def format_counts(counts, divisor):
    """Return counts divided by a number, as text."""
    return ", ".join(f"{name} {count / divisor:.2f}" for name, count in counts.items())


def main():
    """Run every measurement."""
    for measure in (measure_entry, measure_node, measure_store):
        with tempfile.TemporaryDirectory() as folder:
            measure(folder)


if __name__ == "__main__":
    main()
