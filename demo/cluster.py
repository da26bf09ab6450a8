"""Starting, stopping and asking the processes of a site."""

import http.client
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import yaml

from standins.ports import PortPool

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_SECONDS = 20.0
STOP_SECONDS = 30.0
POLL_SECONDS = 0.05
CALL_SECONDS = 5.0
SESSION_TTL_SECONDS = 6.0
PORTS = PortPool(range(20_000, 32_000))
SITE_TOKEN = "token-of-the-site"
TEAM_TOKEN = "token-of-the-team"


@dataclass(slots=True)
class Member:
    """One process.

    :param name: Name of the process.
    :param process: The process.
    :param port: Its main port.
    """

    name: str
    process: subprocess.Popen
    port: int

    @property
    def address(self):
        """Return the main address as host:port."""
        return f"{HOST}:{self.port}"


class Cluster:
    """All processes of one site on loopback.

    :param site: ``Site``.
    :param folder: Folder for settings and logs.
    :param program: Command that runs bergamotshore.
    """

    def __init__(self, site, folder, program):
        self.site = site
        self.folder = Path(folder)
        self.program = program
        self.member_by_name = {}
        self.entry_settings = {}
        self.intake = {}
        self.operators_by_entry = {}
        self.nodes_by_entry = {}
        self.advertised_by_entry = {}

    def start_platform(self):
        """Start table service and object store."""
        self._start_stand_in("table")
        self._start_stand_in("objects")

    def start_vms(self):
        """Start a worker and an endpoint for each node."""
        for node, _ in self.site.list_nodes():
            self.start_worker(node)
            self.start_endpoint(node)

    def start_worker(self, node):
        """Start the worker of a VM, at its old address if it had one."""
        objects = self.member_by_name["objects"].address
        self._start_stand_in("worker", f"worker-{node}", "--objects", objects)

    def start_endpoint(self, node):
        """Start the endpoint of a VM, at its old address if it had one."""
        self._start_stand_in(
            "endpoint", f"endpoint-{node}", "--service", self.site.service
        )

    def start_entries(self, names, with_wire=False):
        """Start entries and the balancer in front of them."""
        for name in names:
            self.start_entry(name, with_wire)
        addresses = ",".join(self.member_by_name[name].address for name in names)
        self._start_stand_in("balancer", "balancer", "--entries", addresses)

    def start_site(self, entries, with_wire=False, document=None):
        """Start everything, apply the document and wait until every node serves.

        :param entries: Names of the entries.
        :param with_wire: Put wires that can be cut between entries and nodes.
        :param document: Path of the document; None for the site's own.
        """
        self.start_platform()
        self.wait_for_platform()
        self.start_vms()
        self.start_entries(entries, with_wire)
        for name, zone in self.site.list_nodes():
            self.start_node(name, zone)
        self.wait_until(
            lambda: self.ask_operators(entries[0], "/v1/zones"), "the operators' port"
        )
        accepted = self.apply_document(
            entries[0], document or ROOT / self.site.document
        )
        version = accepted[-1]["config_version"]
        for name in entries:
            self.wait_for_nodes(name, version)
        self.wait_until(
            lambda: self.ask("balancer", "/balancer") == len(entries),
            "the balancer to see every entry",
        )

    def apply_document(self, entry, document):
        """Apply the site's section and the team's.

        :returns: What was accepted, as dicts, the latest last.
        :raises RuntimeError: when a section is refused.
        """
        accepted = []
        for team, token in (("site", SITE_TOKEN), (self.site.team, TEAM_TOKEN)):
            arguments = ("apply", str(document), "--team", team, "--json")
            done = self.run_cli(entry, token, *arguments)
            if done.returncode:
                raise RuntimeError(done.stderr)
            accepted.append(json.loads(done.stdout))
        return accepted

    def write_idle_document(self):
        """Write the site's document without jobs and watchers and return its path."""
        path = self.folder / "document.yaml"
        text = (ROOT / self.site.document).read_text()
        path.write_text(text.split("    jobs:")[0])
        return path

    def start_entry(self, name, with_wire=False):
        """Start one entry.

        :param with_wire: Put a wire that can be cut between it and the nodes.
        """
        ports = PORTS.allocate(3)
        entry = {
            "callers": f"{HOST}:{ports[0]}",
            "operators": f"{HOST}:{ports[1]}",
            "nodes": f"{HOST}:{ports[2]}",
            "tokens": {"site": SITE_TOKEN, self.site.team: TEAM_TOKEN},
            "balancer_lag": 1.5,
            "poll": 0.5,
            "rescan": 0.5,
            "rescan_sessions": 0.5,
            "ramp": 3.0,
        }
        entry.update(self.entry_settings)
        if with_wire:
            wire = f"wire-{name}"
            port = PORTS.allocate(1)[0]
            entry["nodes_advertised"] = f"{HOST}:{port}"
            arguments = ("--listen", str(port), "--target", entry["nodes"])
            self._start_stand_in("wire", wire, *arguments)
        self.advertised_by_entry[name] = entry.get("nodes_advertised", entry["nodes"])
        settings = {
            "name": name,
            "zone": self.site.zones[0],
            "entry": entry,
            "intake": self.intake,
        }
        self.operators_by_entry[name] = entry["operators"]
        self.nodes_by_entry[name] = entry["nodes"]
        self._start_program("entry", settings, ports[0])

    def start_node(self, name, zone):
        """Start one node."""
        node = {
            "endpoint": self.member_by_name[f"endpoint-{name}"].address,
            "worker": self.member_by_name[f"worker-{name}"].address,
            "entries": list(self.advertised_by_entry.values()),
            "session_ttl": SESSION_TTL_SECONDS,
            "entry_poll": 1.0,
        }
        settings = {"name": name, "zone": zone, "node": node}
        self._start_program("node", settings, 0)

    def _start_program(self, role, settings, port):
        settings["platform"] = {
            "table": self.member_by_name["table"].address,
            "objects": self.member_by_name["objects"].address,
        }
        path = self.folder / f"{settings['name']}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = [*self.program, role, str(path)]
        self._start(settings["name"], command, port)

    def _start_stand_in(self, module, name="", *arguments):
        name = name or module
        known = self.member_by_name.get(name)
        port = known.port if known else PORTS.allocate(1)[0]
        command = [sys.executable, "-m", f"standins.{module}", "--port", str(port)]
        self._start(name, [*command, *arguments], port)

    def _start(self, name, command, port):
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
        self.member_by_name[name] = Member(name, process, port)

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.member_by_name[name].process.send_signal(number)

    def stop(self, name):
        """Ask a process to stop and wait for it; see ``wait_for_exit``."""
        self.send_signal(name, signal.SIGTERM)
        return self.wait_for_exit(name)

    def wait_for_exit(self, name):
        """Wait for a process that was asked to stop.

        :returns: Exit code; None when it had to be killed.
        """
        process = self.member_by_name[name].process
        try:
            return process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def kill_all(self):
        """End every process that is left."""
        for member in self.member_by_name.values():
            if member.process.poll() is None:
                member.process.kill()
        for member in self.member_by_name.values():
            member.process.wait()

    def ask(self, name, path, call=None):
        """Call a stand-in.

        :param call: Value to send as JSON; None sends a GET.
        :returns: Decoded answer.
        """
        return ask(self.member_by_name[name].address, path, call)

    def ask_operators(self, entry, path, method="GET", token=SITE_TOKEN):
        """Call an entry as an operator and return the decoded answer."""
        connection = http.client.HTTPConnection(
            self.operators_by_entry[entry], timeout=CALL_SECONDS
        )
        headers = {"Authorization": f"Bearer {token}"}
        connection.request(method, path, headers=headers)
        answer = json.loads(connection.getresponse().read())
        connection.close()
        return answer

    def run_cli(self, entry, token, *arguments):
        """Run a sub-command of the product against an entry.

        :returns: ``subprocess.CompletedProcess``.
        """
        environment = {
            **os.environ,
            "BERGAMOTSHORE_OPERATORS": self.operators_by_entry[entry],
            "BERGAMOTSHORE_TOKEN": token,
        }
        return subprocess.run(
            [*self.program, *arguments],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=STOP_SECONDS,
        )

    def wait_until(self, condition, what, seconds=START_SECONDS):
        """Wait for a condition.

        :raises TimeoutError: naming what was waited for.
        """
        give_up_at = time.monotonic() + seconds
        while time.monotonic() < give_up_at:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                pass
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"waited {seconds} s for {what}")

    def wait_for_platform(self):
        """Wait until the platform answers."""
        self.wait_until(lambda: self.ask("table", "/counts"), "the table service")
        self.wait_until(lambda: self.ask("objects", "/counts"), "the object store")

    def wait_for_nodes(self, entry, version=0):
        """Wait until every node serves, has a session and the entry's configuration.

        :param version: Least version of the configuration. An entry that has not read
            the newest yet agrees with nodes that have not told it of theirs.
        """
        wanted = len(self.site.list_nodes())

        def is_complete():
            status = self.ask_operators(entry, "/v1/status")
            ready = [
                node
                for node in status["nodes"]
                if node["session"]
                and not node["draining"]
                and node["config_version"] == status["config_version"]
            ]
            return status["config_version"] >= version and len(ready) == wanted

        self.wait_until(is_complete, f"{wanted} nodes at {entry}")

    def read_resident_mb(self, name):
        """Return the resident memory of a process, in MB."""
        pid = self.member_by_name[name].process.pid
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


def ask(address, path, call=None):
    """Call a server and return its decoded JSON answer."""
    connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
    method = "GET" if call is None else "POST"
    body = None if call is None else json.dumps(call).encode()
    connection.request(method, path, body=body)
    content = connection.getresponse().read()
    connection.close()
    return json.loads(content)
