"""A small deployment on loopback: the project's programs beside stand-ins.

The programs are started by the commands of the deploy file, with settings rendered from
the project's templates.
"""

import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from machines import Machines
from store import Store
from wire import HOST, call, find_ports

ROOT = Path(__file__).resolve().parents[2]
STAND = Path(__file__).resolve().parent
TEMPLATES = ROOT / "src/bergamotshore/platform"
ZONES = ("addis-bole", "addis-kirkos", "addis-yeka")
SERVICE = "huvo11a"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
QUEUE = "r-3hwrr6x"
LONGEST_SECONDS = 115.0
BOUNDS = {
    "status_s": 120,
    "config_ms": 2000,
    "cancel_ms": 3000,
    "evac_ms": 5000,
    "max_hold_ms": 10_000,
}


def render(template, values):
    """Fill in a template of settings as DEPLOY.md tells."""

    def look_up(name, item):
        if name == ".":
            return item
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return value

    def fill(text, item=None):
        return re.sub(
            r"\{\{([a-z_0-9.]+)\}\}", lambda m: str(look_up(m[1], item)), text
        )

    def section(match):
        value, text = look_up(match[1], None), match[2]
        if not isinstance(value, list):
            return fill(text.lstrip("\n")) if value else ""
        parts = [
            fill(text, item).replace("{{,}}", "," if index < len(value) - 1 else "")
            for index, item in enumerate(value)
        ]
        return "".join(parts)

    pattern = re.compile(r"\{\{#([a-z_0-9.]+)\}\}(.*?)\{\{/\1\}\}\n?", re.DOTALL)
    return fill(pattern.sub(section, template))


class Program:
    """One process of the project.

    :param deployment: ``Deployment``.
    :param role: 'entry' or 'node'.
    :param values: Values of the template.
    """

    def __init__(self, deployment, role, values):
        self.name = values["node"]
        self.values = values
        self.process = None
        self._deployment = deployment
        self._role = role
        self._path = deployment.folder / f"{self.name}.yaml"
        text = (TEMPLATES / f"{role}.yaml.tmpl").read_text()
        self._path.write_text(render(text, values))

    def start(self):
        """Start the process, with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._deployment.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/run.py", self._role, str(self._path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._deployment.record("program-started", name=self.name)

    def send_signal(self, number):
        """Send a signal."""
        self._deployment.record("signal", name=self.name, number=int(number))
        self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Worker:
    """The stand-in of one worker, a process on the machine of a node."""

    def __init__(self, deployment, number, node_control, port, options):
        self.deployment = deployment
        self.name = f"worker-{number}"
        self.machine = f"m-{number:05x}"
        self.zone = ZONES[number % len(ZONES)]
        self.rack = f"r{number % len(ZONES)}-1"
        self.service = options.get("service", SERVICE)
        self.cpu = options.get("cpu", 16_000)
        self.mem = options.get("mem", 64_000)
        self.kind = options.get("kind", "a")
        self.port = port
        self.control = node_control
        self.is_racked = True
        self.is_leaving = False
        self.process = None
        self.life = 0
        self.id = ""

    @property
    def is_up(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self, is_new=True):
        """Start a new life, with a new id."""
        self.life += is_new
        self.id = f"i-{self.machine[2:]}{self.life:03x}"
        command = [sys.executable, str(STAND / "worker.py"), "--id", self.id]
        options = {
            "name": self.name,
            "control": self.control,
            "service": self.service,
            "zone": self.zone,
            "rack": self.rack,
            "machine": self.machine,
            "kind": self.kind,
            "events": str(self.deployment.events_path),
            "port": self.port,
            "cpu": self.cpu,
            "mem": self.mem,
            "max-hold-ms": BOUNDS["max_hold_ms"],
        }
        for name, value in options.items():
            command += [f"--{name}", str(value)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL
        )

    def replace(self, pause=0.5):
        """Let the worker leave as planned; a new life follows on its machine."""
        self.is_leaving = True
        self.deployment.record("release", worker=self.name)
        self.process.send_signal(signal.SIGUSR2)
        try:
            self.process.wait(timeout=20.0)
        except subprocess.TimeoutExpired:
            return
        self.is_leaving = False
        if not self.deployment.machines.is_in_upkeep(self.machine):
            time.sleep(pause)
            self.start()
            self.deployment.record("released", worker=self.name)

    def kill(self):
        """Crash the worker: its process is gone, and connections are refused."""
        if self.is_up:
            self.process.kill()
            self.process.wait()
            self.deployment.record("worker-killed", worker=self.name)


class Deployment:
    """Store, machine service, workers, entries and nodes.

    :param folder: Folder of the case; ``record.txt`` is written there.
    :param entries: Number of entries.
    :param workers: Number of workers, each with a node.
    :param route: Further fields of the route, or None.
    :param worker_options: Options of workers by number, or None.
    :param choose_limits: Function of the names and control addresses of the entries
        that returns the ``limits`` of each; all are alike if None.
    """

    def __init__(
        self,
        folder,
        entries=3,
        workers=11,
        route=None,
        worker_options=None,
        choose_limits=None,
    ):
        self.case_folder = Path(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.events_path = self.folder / "events.jsonl"
        self.events_path.touch()
        self._own = []
        self._lock = threading.Lock()
        self.route = {
            "name": QUEUE,
            "host": HOST_NAME,
            "prefix": PREFIX,
            "kind": "unsafe",
            "timeout_ms": 3000,
            "slo_ms": 1000,
            "priority": 0,
            "service": SERVICE,
            "retries": 4,
            "extension": 2.0,
            **(route or {}),
        }
        ports = iter(find_ports(2 + 5 * entries + 3 * workers))
        store_port, machines_port = next(ports), next(ports)
        self.store = Store(store_port, self.record)
        self.machines = Machines(machines_port, self)
        entry_ports = [[next(ports) for _ in range(5)] for _ in range(entries)]
        self.seeds = [f"{HOST}:{item[0]}" for item in entry_ports[:3]]
        self.entries, self.nodes, self.workers = [], [], []
        common = {
            "platform": {"addr": f"{HOST}:{store_port}"},
            "cloud": {"addr": f"{HOST}:{machines_port}"},
            "advice": "",
            "bounds": BOUNDS,
            "seeds": self.seeds,
            "ip": HOST,
        }
        names = [f"edge-{ZONES[n % len(ZONES)]}-{n}" for n in range(entries)]
        addresses = [f"{HOST}:{item[0]}" for item in entry_ports]
        limits = [{"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0}] * entries
        if choose_limits is not None:
            limits = choose_limits(names, addresses)
        for number, (control, front, ready, first, second) in enumerate(entry_ports):
            zone = ZONES[number % len(ZONES)]
            values = {
                **common,
                "node": names[number],
                "zone": zone,
                "listen": {
                    "front": f"{HOST}:{front}",
                    "ready": f"{HOST}:{ready}",
                    "control": f"{HOST}:{control}",
                },
                "port_range": [first, second],
                "limits": limits[number],
            }
            self.entries.append(Program(self, "entry", values))
        for number in range(workers):
            control, app, metrics = next(ports), next(ports), next(ports)
            options = (worker_options or {}).get(number, {})
            worker = Worker(self, number, f"{HOST}:{control}", app, options)
            values = {
                **common,
                "node": f"side-{worker.zone}-{number}",
                "zone": worker.zone,
                "app": f"{HOST}:{app}",
                "listen": {"control": f"{HOST}:{control}"},
                "port_range": [metrics, metrics],
            }
            self.workers.append(worker)
            self.nodes.append(Program(self, "node", values))
        self._watchdog = threading.Timer(LONGEST_SECONDS, self._give_up)
        self._watchdog.daemon = True
        self._watchdog.start()

    def _give_up(self):
        self.record("too-long")
        self.close()
        os._exit(2)

    def record(self, what, **fields):
        """Record an event of the platform, the operator or a client."""
        with self._lock:
            self._own.append({"at": time.time(), "what": what, **fields})

    def put_config(self, version=1):
        """Write the manifest."""
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 64,
            "proto": "h1",
            "tls": False,
            "admission_check": False,
            "standby": False,
        }
        config = {
            "version": version,
            "routes": [self.route],
            "services": [service],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.write_as_operator("config", config)
        self.record("config", version=version)

    def start(self, nodes=None):
        """Start everything, and wait until all entries are ready.

        :param nodes: Numbers of the nodes and workers to start; all if None.
        :raises RuntimeError: if the entries don't become ready.
        """
        self.put_config()
        for program in self.entries:
            program.start()
        for number in range(len(self.nodes)) if nodes is None else nodes:
            self.start_machine(number)
        deadline = time.monotonic() + 20.0
        waiting = list(self.entries)
        while waiting:
            if time.monotonic() > deadline:
                raise RuntimeError("the entries don't become ready")
            waiting = [
                entry
                for entry in waiting
                if call(entry.values["listen"]["ready"], "GET", "/readyz", timeout=1.0)[
                    0
                ]
                != 200
            ]
            time.sleep(0.1)
        time.sleep(5.0)

    def start_machine(self, number):
        """Start a node and the worker beside it."""
        self.workers[number].start()
        self.nodes[number].start()

    def ask(self, method, job="", value=None, entry=None, timeout=3.0):
        """Make a client's call.

        :returns: Pair of status and JSON value; (0, None) without an answer.
        """
        program = self.entries[entry or 0]
        front = program.values["listen"]["front"]
        headers = {"Host": HOST_NAME, "X-Deadline-Ms": str(int(timeout * 1000))}
        status, answer = call(front, method, PREFIX + job, value, headers, timeout)
        text = json.dumps(value) if value is not None else ""
        self.record(
            "call",
            method=method,
            job=job,
            body=text[:300],
            entry=program.name,
            status=status,
            answer=answer,
        )
        return status, answer

    def submit(self, job, body, tries=5):
        """Submit a job as a client does: again, at another entry, without an answer.

        :returns: Whether it was accepted.
        """
        for turn in range(tries):
            status, _ = self.ask("POST", job, body, entry=turn % len(self.entries))
            if 200 <= status < 300:
                return True
            time.sleep(1.0)
        return False

    def get_state(self, job):
        """Return the state of a job as a client is told; None without an answer."""
        for entry in range(len(self.entries)):
            status, answer = self.ask("GET", job, entry=entry)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "unknown"
        return None

    def read_events(self):
        """Return all events of the workers so far, in order of time."""
        lines = self.events_path.read_text().splitlines()
        events = []
        for line in lines:
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return sorted(events, key=lambda event: event["at"])

    def list_starts(self, job):
        """Return the starts of a job's tasks."""
        return [
            event
            for event in self.read_events()
            if event["what"] == "start" and event["task"].startswith(job + ".")
        ]

    def close(self, verdict=""):
        """End all processes and write the record."""
        self._watchdog.cancel()
        for program in [*self.entries, *self.nodes]:
            program.kill()
        for worker in self.workers:
            if worker.is_up:
                worker.process.kill()
                worker.process.wait()
        events = sorted([*self._own, *self.read_events()], key=lambda item: item["at"])
        began = events[0]["at"] if events else 0.0
        with open(self.case_folder / "record.txt", "w") as record:
            for event in events:
                rest = {k: v for k, v in event.items() if k not in ("at", "what")}
                record.write(f"{event['at'] - began:8.3f} {event['what']} ")
                record.write(json.dumps(rest) + "\n")
            record.write(verdict + "\n")
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, **options):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param folder: Folder of the case.
    :param play: Function of the ``Deployment`` and whether the disruption takes place;
        returns a list of breaches.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment = Deployment(folder, **options)
    breaches, code = [], 2
    try:
        breaches = play(deployment, has_trouble)
        code = 1 if breaches else 0
    except Exception as error:
        breaches = [f"could not run: {error!r}"]
    finally:
        text = "\n".join([f"exit {code}", *breaches])
        deployment.close(text)
    print(text)
    sys.exit(code)
