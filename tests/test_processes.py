"""The promises once more with real processes, counted by the stand-ins."""

import signal
import socket
import sys
import time
from collections import Counter

import pytest
import yaml

from demo.cluster import SITE_TOKEN, Cluster
from demo.judge import Closure, Evidence, judge_requests, judge_tasks
from demo.load import Load
from demo.sites import SITE_BY_NAME, Site

ENTRIES = ("entry-1", "entry-2")
BASE = SITE_BY_NAME["tsehay"]
SITE = Site(
    **{
        name: getattr(BASE, name)
        for name in BASE.__dataclass_fields__
        if name != "nodes_per_zone"
    },
    nodes_per_zone=1,
)
NODE = "addis-bole-1"
ZONE = "addis-bole"
CALLERS = 8
SEED = 7
RECOVERED = 100
LEAVE_BOUND_SECONDS = 3.0
SLOTS = 8
PROCESSORS = 16.0
BATCH_TASKS = ["ledger/annual-statements/0", "ledger/annual-statements/1"]
WATCHER = "ledger/donor-ledger/0"
BATCH_SECONDS = 40.0
WORK_SECONDS = 12.0
NEVER = Closure("", 0.0, 0.0)
KILL_LINES = {"cut off by the stop"}


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(SITE, tmp_path, [sys.executable, "-m", "bergamotshore"])
    try:
        cluster.start_site(ENTRIES, with_wire=True)
        yield cluster
    finally:
        cluster.kill_all()


@pytest.fixture
def load(cluster):
    load = Load(cluster.member_by_name["balancer"].address, SITE, CALLERS, SEED)
    load.start()
    yield load
    load.stop()


class Counts:
    """What the stand-ins counted, also those that were killed meanwhile."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.lost_runs_by_node = {}
        self.lost_records_by_node = {}

    def keep_endpoint(self, node):
        """Keep the counts of an endpoint before it is killed."""
        counts = self.cluster.ask(f"endpoint-{node}", "/counts")
        self.lost_runs_by_node[node] = counts["runs"]

    def gather(self, sent, closure=NEVER):
        """Return the ``Evidence`` of the run."""
        nodes = [name for name, _ in SITE.list_nodes()]
        endpoint_by_node = {
            node: self.cluster.ask(f"endpoint-{node}", "/counts") for node in nodes
        }
        for node, runs in self.lost_runs_by_node.items():
            endpoint_by_node[node]["runs"] += runs
        return Evidence(
            sent=sent,
            endpoint_by_node=endpoint_by_node,
            worker_by_node={
                node: self.cluster.ask(f"worker-{node}", "/counts") for node in nodes
            },
            zone_by_node=dict(SITE.list_nodes()),
            slots=SLOTS,
            processors=PROCESSORS,
            closure=closure,
        )


def list_broken(lines, allowed=frozenset()):
    return [
        (line.name, line.count)
        for line in lines
        if line.is_broken and line.name not in allowed
    ]


def list_failed(load):
    """Return what each caller saw whose request was not completed."""
    return [item for item in load.sent if item.outcome != "completed"]


def kill(cluster, name):
    cluster.send_signal(name, signal.SIGKILL)
    cluster.member_by_name[name].process.wait()


def pause(cluster, name, seconds):
    cluster.send_signal(name, signal.SIGSTOP)
    time.sleep(seconds)
    cluster.send_signal(name, signal.SIGCONT)


def silence(cluster, directions):
    for entry in ENTRIES:
        cluster.ask(f"wire-{entry}", "/silence", {"directions": directions})


def set_fault(cluster, name, mode, seconds):
    cluster.ask(name, "/fault", {"mode": mode, "seconds": 0.3})
    time.sleep(seconds)
    cluster.ask(name, "/fault", {"mode": "none"})


def kill_node(cluster):
    kill(cluster, NODE)
    time.sleep(0.5)
    cluster.start_node(NODE, ZONE)


def kill_entry(cluster):
    kill(cluster, ENTRIES[0])


def wait_for_recovery(cluster, load):
    """Wait until a run of requests sent after the fault was completed whole."""
    before = len(load.sent)

    def is_recovered():
        latest = load.sent[before:][-RECOVERED:]
        is_enough = len(latest) == RECOVERED
        return is_enough and all(item.outcome == "completed" for item in latest)

    cluster.wait_until(is_recovered, "requests to be completed again")


REQUEST_FAULTS = {
    "entry killed": kill_entry,
    "node killed": kill_node,
    "entry stopped and continued": lambda c: pause(c, ENTRIES[0], 6.0),
    "node stopped and continued": lambda c: pause(c, NODE, 6.0),
    "endpoint stopped and continued": lambda c: pause(c, f"endpoint-{NODE}", 5.0),
    "streams silent towards entries": lambda c: silence(c, ["in"]),
    "streams silent towards nodes": lambda c: silence(c, ["out"]),
    "streams silent both ways": lambda c: silence(c, ["in", "out"]),
    "table down": lambda c: set_fault(c, "table", "down", 3.0),
    "table slow": lambda c: set_fault(c, "table", "slow", 3.0),
    "table answers lost": lambda c: set_fault(c, "table", "lost", 3.0),
    "endpoint answers cut": lambda c: set_fault(c, f"endpoint-{NODE}", "partial", 2.0),
}


@pytest.mark.parametrize("name", REQUEST_FAULTS)
def test_requests_keep_their_promises(cluster, load, name):
    time.sleep(1.0)
    REQUEST_FAULTS[name](cluster)
    wait_for_recovery(cluster, load)
    load.stop()
    evidence = Counts(cluster).gather(load.sent)
    allowed = KILL_LINES if name.startswith("entry") else frozenset()
    details = Counter((item.outcome, item.detail) for item in load.sent)
    assert list_broken(judge_requests(evidence), allowed) == [], details


def test_a_killed_endpoint_is_answered_for_truly(cluster, load):
    time.sleep(1.0)
    load.stop()
    counts = Counts(cluster)
    counts.keep_endpoint(NODE)
    again = Load(cluster.member_by_name["balancer"].address, SITE, CALLERS, SEED + 1)
    again._count = load._count
    again.start()
    time.sleep(0.2)
    kill(cluster, f"endpoint-{NODE}")
    time.sleep(1.0)
    cluster.start_endpoint(NODE)
    time.sleep(3.0)
    again.stop()
    evidence = counts.gather(again.sent)
    # Runs of the killed endpoint after the last look are gone with it, so "completed
    # without a run" cannot be judged here.
    allowed = {"completed without a run"}
    assert list_broken(judge_requests(evidence), allowed) == []


def list_records(cluster):
    return [
        (node, record)
        for node, _ in SITE.list_nodes()
        for record in cluster.ask(f"worker-{node}", "/counts")["records"]
    ]


def wait_for_batch(cluster):
    def is_running():
        running = [r["task"] for _, r in list_records(cluster) if r["ended"] is None]
        return set(BATCH_TASKS) <= set(running)

    cluster.wait_until(is_running, "the batch tasks to run")


def get_batch_node(cluster):
    return next(
        node
        for node, record in list_records(cluster)
        if record["task"] == BATCH_TASKS[0] and record["ended"] is None
    )


def wait_for_end(cluster):
    path = f"/v1/jobs/{SITE.team}/{SITE.batch}"

    def is_done():
        tasks = cluster.ask_operators(ENTRIES[1], path)["tasks"]
        is_alive = any(
            r["task"] == WATCHER and r["ended"] is None
            for _, r in list_records(cluster)
        )
        return is_alive and all(task["state"] == "completed" for task in tasks)

    cluster.wait_until(is_done, "the batch job", BATCH_SECONDS)


def restart_node(cluster, node):
    kill(cluster, node)
    time.sleep(1.0)
    cluster.start_node(node, dict(SITE.list_nodes())[node])


def take_out(cluster, node):
    zone = dict(SITE.list_nodes())[node]
    done = cluster.run_cli(ENTRIES[1], SITE_TOKEN, "zone", "take-out", zone)
    assert done.returncode == 0


def kill_node_while_it_evicts(cluster, node):
    take_out(cluster, node)
    restart_node(cluster, node)


def kill_entry_while_a_zone_leaves(cluster, node):
    take_out(cluster, node)
    kill_entry(cluster)


def kill_node_as_tasks_complete(cluster, node):
    time.sleep(WORK_SECONDS - 1.7)
    restart_node(cluster, node)


def fail_worker(cluster, node):
    cluster.ask(f"worker-{node}", "/fail", {"everything": True})


def kill_machine(cluster, node):
    kill(cluster, node)
    kill(cluster, f"worker-{node}")
    cluster.start_worker(node)


TASK_FAULTS = {
    "node killed while it evicts": kill_node_while_it_evicts,
    "entry killed while a zone leaves": kill_entry_while_a_zone_leaves,
    "node killed as tasks complete": kill_node_as_tasks_complete,
    "worker fails everything": fail_worker,
    "machine killed": kill_machine,
    "node killed and restarted": restart_node,
    "node stopped past its lease": lambda c, node: pause(c, node, 9.0),
    "worker stopped past its lease": lambda c, node: pause(c, f"worker-{node}", 9.0),
    "entry stopped past the lease": lambda c, node: pause(c, ENTRIES[0], 9.0),
    "entry killed": lambda c, node: kill_entry(c),
    "table down past the lease": lambda c, node: set_fault(c, "table", "down", 9.0),
    "table answers lost": lambda c, node: set_fault(c, "table", "lost", 4.0),
    "objects down": lambda c, node: set_fault(c, "objects", "down", 4.0),
    "node stopped for good": lambda c, node: c.send_signal(node, signal.SIGTERM),
}


@pytest.mark.parametrize("name", TASK_FAULTS)
def test_tasks_keep_their_promises(cluster, name):
    wait_for_batch(cluster)
    time.sleep(1.5)
    TASK_FAULTS[name](cluster, get_batch_node(cluster))
    wait_for_end(cluster)
    evidence = Counts(cluster).gather([])
    assert list_broken(judge_tasks(evidence, BATCH_TASKS, [WATCHER])) == []


def test_operators_that_race_leave_one_truth(cluster):
    wait_for_batch(cluster)
    processes = []
    for entry, verb in ((ENTRIES[0], "take-out"), (ENTRIES[1], "bring-back")) * 3:
        done = cluster.run_cli(entry, SITE_TOKEN, "zone", verb, ZONE)
        processes.append(done.returncode)
    assert processes == [0] * 6
    zones = [
        {
            gate["zone"]: gate
            for gate in cluster.ask_operators(entry, "/v1/zones")["zones"]
        }
        for entry in ENTRIES
    ]
    cluster.wait_until(
        lambda: all(
            cluster.ask_operators(entry, "/v1/zones")["zones"]
            == list(zones[1].values())
            for entry in ENTRIES
        ),
        "both entries to agree",
    )
    wait_for_end(cluster)


FLOOD_CALLERS = 80
BAD_CALLS = (
    (b"GARBAGE\r\n\r\n", b"400"),
    (
        b"POST /services/charity-books/x HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n",
        b"413",
    ),
    (b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n", b"431"),
    (b"POST /services/none/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", b"404"),
)


def send_raw(address, content):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(content)
        try:
            return sock.recv(4096)
        except ConnectionResetError:
            return b""


def test_bad_and_slow_callers_harm_nobody(cluster, load):
    address = cluster.member_by_name[ENTRIES[0]].address
    host, _, port = address.rpartition(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(50)]
    for sock in slow:
        sock.sendall(b"POST /services/charity-books/x HTTP/1.1\r\nContent-Le")
    before = cluster.read_resident_mb(ENTRIES[0])
    for content, status in BAD_CALLS:
        assert status in send_raw(address, content).split(b"\r\n")[0]
    wait_for_recovery(cluster, load)
    assert cluster.read_resident_mb(ENTRIES[0]) - before < 20
    load.stop()
    assert list_failed(load) == []
    for sock in slow:
        sock.close()


def test_bad_bytes_on_the_stream_harm_nobody(cluster, load):
    wire = cluster.member_by_name[f"wire-{ENTRIES[0]}"]
    settings = yaml.safe_load((cluster.folder / f"{ENTRIES[0]}.yaml").read_text())
    for content in (b"\xc1" * 100, b"\xc6\x7f\xff\xff\xff", b"\x93\x63\x01\x80"):
        send_raw(settings["entry"]["nodes"], content)
    assert wire.process.poll() is None
    wait_for_recovery(cluster, load)
    nodes = cluster.ask_operators(ENTRIES[0], "/v1/status")["nodes"]
    assert len(nodes) == len(SITE.list_nodes())


def test_a_flood_stays_within_slots_and_connections(cluster):
    addresses = [cluster.member_by_name[name].address for name in ENTRIES]
    loads = [Load(item, SITE, FLOOD_CALLERS, SEED, pause=0.0) for item in addresses]
    for number, load in enumerate(loads):
        load.prefix = f"flood-{number}-"
        load.start()
    time.sleep(4.0)
    for load in loads:
        load.stop()
    sent = [item for load in loads for item in load.sent]
    assert list_broken(judge_requests(Counts(cluster).gather(sent))) == []
    assert sum(1 for item in sent if item.outcome == "completed") > len(sent) / 4


@pytest.mark.parametrize("is_announcement_missed", [False, True])
def test_a_leaving_endpoint_gets_nothing_and_returns(
    cluster, load, is_announcement_missed
):
    time.sleep(1.0)
    if is_announcement_missed:
        silence(cluster, ["in"])
    cluster.ask(f"endpoint-{NODE}", "/leave", {"leaving": True})
    time.sleep(LEAVE_BOUND_SECONDS)
    before = len(cluster.ask(f"endpoint-{NODE}", "/counts")["runs"])
    time.sleep(1.5)
    assert len(cluster.ask(f"endpoint-{NODE}", "/counts")["runs"]) == before
    cluster.ask(f"endpoint-{NODE}", "/leave", {"leaving": False})
    cluster.wait_until(
        lambda: len(cluster.ask(f"endpoint-{NODE}", "/counts")["runs"]) > before,
        "the endpoint to get work again",
    )
    load.stop()
    if not is_announcement_missed:
        assert list_failed(load) == []
    assert list_broken(judge_requests(Counts(cluster).gather(load.sent))) == []


def test_processes_that_restart_in_an_outage_never_revert(cluster, load):
    time.sleep(1.0)
    version = cluster.ask_operators(ENTRIES[0], "/v1/status")["config_version"]
    cluster.ask("table", "/fault", {"mode": "down"})
    kill(cluster, NODE)
    cluster.start_node(NODE, ZONE)

    def has_learned():
        nodes = cluster.ask_operators(ENTRIES[0], "/v1/status")["nodes"]
        return any(
            node["name"] == NODE
            and node["config_version"] == version
            and not node["draining"]
            for node in nodes
        )

    cluster.wait_until(has_learned, "the node to learn the configuration")
    kill(cluster, ENTRIES[1])
    kill(cluster, f"wire-{ENTRIES[1]}")
    cluster.start_entry(ENTRIES[1], with_wire=True)
    cluster.wait_until(
        lambda: not cluster.ask_operators(ENTRIES[1], "/v1/status")["is_ready"],
        "the entry to answer operators",
    )
    cluster.ask("table", "/fault", {"mode": "none"})
    cluster.wait_until(
        lambda: (
            cluster.ask_operators(ENTRIES[1], "/v1/status")["config_version"] == version
        ),
        "the entry to learn the configuration",
    )
    load.stop()
    allowed = KILL_LINES
    evidence = Counts(cluster).gather(load.sent)
    assert list_broken(judge_requests(evidence), allowed) == []
