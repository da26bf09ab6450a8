"""Real processes of a site, connected through fault-injecting proxies."""

import json
import signal
import subprocess
import sys
import threading
from pathlib import Path

import yaml

from bergamotshore.platform import operator
from bergamotshore.ports.clock import SystemClock
from bergamotshore.ports.rows import Put, RowId
from soak.proxy import FaultProxy
from soak.servers import StoreServer, WorkerServer
from standins.ledger import Ledger
from standins.ports import PortPool
from standins.site import LONGEST_HOLD_SECONDS, SERVICE, RowsStandIn

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b")
HOST_NAME = "soak.example"
PREFIX = "/q/"
RETRIES = 40
WORKER_CPU = 16000
PORTS = PortPool(range(12_000, 20_000))
STOP_SECONDS = 20.0
STOP_TRIES = 2
# A worker whose node or connection was harmed within this time, in seconds, may start
# tasks late.
CONTACT_SECONDS = 3.0


class Program:
    """One entry or node process, always started with the same settings.

    :param role: 'entry' or 'node'.
    :param settings: Content of the settings file.
    :param folder: Folder for settings and logs.
    """

    def __init__(self, role, settings, folder):
        self.role = role
        self.name = settings["name"]
        self.is_paused = False
        self.process = None
        self._path = folder / f"{self.name}.yaml"
        self._log = folder / f"{self.name}.log"
        self._path.write_text(yaml.safe_dump(settings))

    def start(self):
        """Start the process, appending to its log."""
        command = [sys.executable, str(ROOT / "deploy" / "run.py"), self.role]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, str(self._path)], stdout=log, stderr=log, cwd=ROOT
            )

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def pause(self):
        """Suspend the process."""
        self.is_paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a paused process."""
        self.is_paused = False
        self.send_signal(signal.SIGCONT)

    def kill(self):
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self):
        """Terminate the process; return its exit status, or None if it was killed."""
        self.resume()
        self.send_signal(signal.SIGTERM)
        process = self.process
        for _ in range(STOP_TRIES):
            try:
                return process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                if not self.is_paused:
                    break
                # Another fault paused the process in the meantime.
                self.resume()
        process.kill()
        return None


class SoakSite:
    """Row store, workers, proxies and processes of one site.

    :param folder: Folder for settings and logs.
    :param entries: Number of entries.
    :param nodes: Number of nodes.
    :param seed: Seed of the proxies and workers.
    """

    def __init__(self, folder, entries, nodes, seed):
        self.clock = SystemClock()
        self.lock = threading.RLock()
        self.ledger = Ledger(self._is_in_touch)
        self.closed_zones = set()
        self.rows = RowsStandIn()
        self.store = StoreServer(self.rows)
        self._put_configuration()
        self.proxies = []
        self.worker_by_node = {}
        self.entry_by_name = {}
        self.node_by_name = {}
        self.callers_by_entry = {}
        streams = [PORTS.allocate(1)[0] for _ in range(entries)]
        stream_proxies = [self._add_proxy(port, seed) for port in streams]
        for index, port in enumerate(streams):
            self._add_entry(Path(folder), index, port, stream_proxies, seed)
        for index in range(nodes):
            self._add_node(Path(folder), index, stream_proxies, seed)

    def _put_configuration(self):
        services = [{"name": SERVICE, "admission_check": False}]
        config = {"version": 1, "routes": [build_route()], "services": services}
        row_id = RowId(operator.TABLE, "", operator.CONFIG_KEY)
        self.store.write([Put(row_id, json.dumps(config).encode())], [])

    def _add_proxy(self, port, seed):
        proxy = FaultProxy((HOST, port), seed, PORTS.allocate(1)[0])
        self.proxies.append(proxy)
        return proxy

    def _add_entry(self, folder, index, port, stream_proxies, seed):
        name = f"entry-{index}"
        callers, ready, metrics, operators = (PORTS.allocate(1)[0] for _ in range(4))
        store = self._add_proxy(self.store.port, seed)
        settings = {
            "name": name,
            "zone": ZONES[index % len(ZONES)],
            "platform": _build_platform(store.address),
            "entry": {
                "callers": f"{HOST}:{callers}",
                "nodes": f"{HOST}:{port}",
                "nodes_advertised": stream_proxies[index].address,
                "operators": f"{HOST}:{operators}",
            },
            "site": {
                "ready": f"{HOST}:{ready}",
                "metrics": f"{HOST}:{metrics}",
                **_build_site(stream_proxies),
            },
        }
        self.callers_by_entry[name] = (HOST, callers)
        self.entry_by_name[name] = Program("entry", settings, folder)

    def _add_node(self, folder, index, stream_proxies, seed):
        name = f"node-{index}"
        zone = ZONES[index % len(ZONES)]
        heartbeats, metrics = PORTS.allocate(1)[0], PORTS.allocate(1)[0]
        worker = WorkerServer(
            self.clock,
            f"worker-{index}",
            zone,
            self.ledger,
            self.lock,
            f"{HOST}:{heartbeats}",
            f"{seed}-{index}",
        )
        self.worker_by_node[name] = worker
        proxy = worker.proxy = self._add_proxy(worker.port, seed)
        settings = {
            "name": name,
            "zone": zone,
            "platform": _build_platform(f"{HOST}:{self.store.port}"),
            "node": {"worker": proxy.address},
            "site": {
                "heartbeats": f"{HOST}:{heartbeats}",
                "metrics": f"{HOST}:{metrics}",
                **_build_site(stream_proxies),
            },
        }
        worker.program = self.node_by_name[name] = Program("node", settings, folder)
        worker.start()

    @property
    def programs(self):
        """Return all entry and node processes."""
        return [*self.entry_by_name.values(), *self.node_by_name.values()]

    def start(self):
        """Start every process."""
        for program in self.programs:
            program.start()

    def _is_in_touch(self, runner):
        """Return whether a worker and its node have had no fault for some time."""
        worker = next(w for w in self.worker_by_node.values() if w.runner is runner)
        return self.clock.now() - worker.harmed_at > CONTACT_SECONDS

    def close_or_open_zone(self, zone):
        """Close an open data centre, or open a closed one."""
        row_id = RowId(operator.TABLE, "", operator.EVACUATE_PREFIX + zone)
        if zone in self.closed_zones:
            self.closed_zones.discard(zone)
            with self.lock:
                self.ledger.record_opened_zone(zone)
            self.store.write([], [row_id])
            return
        self.closed_zones.add(zone)
        self.store.write([Put(row_id, b"{}")], [])
        with self.lock:
            self.ledger.record_closed_zone(zone, self.clock.now())

    def heal(self):
        """Clear all faults and restart processes that have exited."""
        for zone in sorted(self.closed_zones):
            self.close_or_open_zone(zone)
        for proxy in self.proxies:
            proxy.set_mode("pass")
        with self.store.changed:
            self.rows.is_down = False
            self.rows.faults = []
            self.rows.run_late()
        for worker in self.worker_by_node.values():
            worker.is_hanging = False
            with self.lock:
                worker.runner.faults = []
                worker.runner.resize(cpu=WORKER_CPU)
                worker.runner.is_draining = False
                worker.runner.run_late()
        for program in self.programs:
            program.resume()
            if program.process.poll() is not None:
                program.start()

    def close(self):
        """Stop all processes, workers and proxies of the site."""
        for program in self.programs:
            if program.process is not None and program.process.poll() is None:
                program.resume()
                program.kill()
        for worker in self.worker_by_node.values():
            worker.close()
        for proxy in self.proxies:
            proxy.close()


def build_route(name="queue", prefix=PREFIX):
    """Return a queue as declared in the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "service": SERVICE,
        "retries": RETRIES,
    }


def _build_platform(address):
    return {"table": address, "objects": address, "timeout": 1.5}


def _build_site(stream_proxies):
    return {
        "longest_hold_ms": int(LONGEST_HOLD_SECONDS * 1000),
        "peers": [proxy.address for proxy in stream_proxies],
    }
