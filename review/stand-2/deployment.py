"""A small deployment on loopback: store, workers, and the project's own processes."""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from stand_in_advice import AdviceService
from stand_in_store import HOST, Store
from stand_in_worker import Record, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = iter(range(21000 + os.getpid() % 400 * 20, 32000))
LOCKS = []
HOST_NAME = "books.example"
PREFIX = "/books/"
QUEUE = "books-queue"
SERVICE = "books"


def find_port():
    """Return a free port below the ephemeral ones.

    It is kept from other runs of these tests by a datagram socket on the same number.
    """
    for port in PORTS:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((HOST, port))
            with socket.create_server((HOST, port)):
                LOCKS.append(lock)
                return port
        except OSError:
            lock.close()
    raise RuntimeError("no free port")


class Program:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, role, name, settings, folder):
        self.name = name
        self.process = None
        self._role = role
        self._path = folder / f"{name}.yaml"
        self._path.write_text(json.dumps(settings, indent=1))
        self.log_path = folder / f"{name}.log"

    def start(self):
        """Start the process."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/run.py", self._role, str(self._path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def send(self, number):
        """Send a signal."""
        self.process.send_signal(number)


class Deployment:
    """Entries, nodes and workers with one queue.

    :param entries: Number of entries.
    :param nodes: Number of nodes, each with a worker.
    :param get_work: See ``Worker``.
    :param retries: Failed runs of a task after which its job has failed.
    :param zone: Name of the zone, which is part of the names of machines.
    :param advice: Policy of the queue's advice: ``decide_ms``, ``period_ms`` and
        ``valid_ms``; None for a queue without advice.
    """

    def __init__(self, entries, nodes, get_work, retries=4, zone="zone-a", advice=None):
        self.zone = zone
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = Record()
        self.store = Store()
        self.fronts = []
        self.entries = []
        self.nodes = []
        self.workers = []
        self.advice = None
        if advice is not None:
            self.advice = AdviceService(self.record, **advice)
        route = {
            "name": QUEUE,
            "host": HOST_NAME,
            "prefix": PREFIX,
            "service": SERVICE,
            "timeout_ms": 3000,
            "retries": retries,
            "extension": 1.5,
            "slo_ms": 1000,
        }
        if self.advice is not None:
            route["advice"] = self.advice.policy
        self.store.put(
            "op",
            "config",
            {
                "version": 1,
                "routes": [route],
                "services": [{"name": SERVICE, "admission_check": False}],
                "limits": {},
            },
        )
        controls = [find_port() for _ in range(entries)]
        peers = [f"{HOST}:{port}" for port in controls[:3]]
        for index, control in enumerate(controls):
            self._add_entry(index, control, peers)
        for index in range(nodes):
            self._add_node(index, peers, get_work)

    def _add_entry(self, index, control, peers):
        front, ready, operators, metrics = (find_port() for _ in range(4))
        settings = {
            "name": f"edge-{self.zone}-{index}",
            "zone": self.zone,
            "platform": self._describe_platform(),
            "entry": {
                "callers": f"{HOST}:{front}",
                "nodes": f"{HOST}:{control}",
                "operators": f"{HOST}:{operators}",
                "largest_body": 1048576,
            },
            "site": {
                "ready": f"{HOST}:{ready}",
                "metrics": f"{HOST}:{metrics}",
                "advice": self.advice.address if self.advice is not None else "",
                "state_kept": 120,
                "config_within_ms": 2000,
                "cancel_within_ms": 3000,
                "evacuate_within_ms": 5000,
                "longest_hold_ms": 10000,
                "processor_share": 0.537,
                "cores": 2,
                "link_mbps": 1000,
                "peers": peers,
            },
        }
        self.fronts.append(front)
        self.entries.append(
            Program("entry", settings["name"], settings, Path(self._folder.name))
        )

    def _add_node(self, index, peers, get_work):
        worker = Worker(f"i-7f3a91c{index}", self.record, get_work)
        worker.zone = self.zone
        worker.advice = self.advice
        worker.rack = f"r{index // 3}"
        control, metrics = find_port(), find_port()
        worker.control = f"{HOST}:{control}"
        settings = {
            "name": f"side-{self.zone}-{index}",
            "zone": self.zone,
            "platform": self._describe_platform(),
            "node": {"worker": worker.address},
            "site": {
                "heartbeats": worker.control,
                "metrics": f"{HOST}:{metrics}",
                "longest_hold_ms": 10000,
                "peers": peers,
            },
        }
        self.workers.append(worker)
        self.nodes.append(
            Program("node", settings["name"], settings, Path(self._folder.name))
        )

    def _describe_platform(self):
        return {
            "table": self.store.address,
            "objects": self.store.address,
            "timeout": 1.5,
        }

    def start(self, timeout=15.0):
        """Start all processes; return whether all entries serve and one schedules."""
        for program in [*self.entries, *self.nodes]:
            program.start()
        for worker in self.workers:
            worker.start_heartbeats()
        deadline = time.monotonic() + timeout
        probe = "f" * 16
        steps = [{"count": len(self.workers), "cpu": 100, "mem_mb": 1, "est_ms": 100}]
        while time.monotonic() < deadline:
            if all(
                self.call(index, "GET", probe)[0] == 410
                for index in range(len(self.entries))
            ):
                break
            time.sleep(0.2)
        self.call(0, "POST", probe, {"spec": "probe", "steps": steps})
        while time.monotonic() < deadline:
            if self.get_state(0, probe) == "complete":
                return True
            time.sleep(0.2)
        return False

    def call(self, entry, method, job, body=None, timeout=4.0):
        """Call an entry as a client; return status and body, status 0 for no answer."""
        content = b"" if body is None else json.dumps(body).encode()
        try:
            connection = http.client.HTTPConnection(
                HOST, self.fronts[entry], timeout=timeout
            )
            connection.request(
                method,
                PREFIX + job,
                content,
                {
                    "Host": HOST_NAME,
                    "Content-Type": "application/json",
                    "X-Deadline-Ms": "3000",
                },
            )
            response = connection.getresponse()
            data = response.read()
            connection.close()
            status, answer = response.status, json.loads(data or b"{}")
        except (OSError, ValueError, http.client.HTTPException):
            status, answer = 0, {}
        text = f" {json.dumps(body)[:120]}" if body else ""
        self.record.write(
            f"client {method} {job} at edge-{entry}{text} -> {status} {answer}"
        )
        return status, answer

    def get_state(self, entry, job):
        """Return the state of a job as told by an entry; empty for none."""
        return self.call(entry, "GET", job)[1].get("state", "")

    def close(self):
        """End all that was started."""
        for program in [*self.entries, *self.nodes]:
            program.kill()
        for worker in self.workers:
            worker.close()
        if self.advice is not None:
            self.advice.close()
        self.store.close()

    def save(self, folder, with_logs=False):
        """Write the record, and the logs of the processes if asked to."""
        self.record.save(Path(folder) / "record.txt")
        if with_logs:
            for program in [*self.entries, *self.nodes]:
                target = Path(with_logs) / program.log_path.name
                target.write_bytes(program.log_path.read_bytes())
