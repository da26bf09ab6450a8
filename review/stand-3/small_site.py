"""A small site of real processes on loopback, with the settings of the deploy file.

It adds to the project's soak site what the platform does besides: it gives each process
the settings of a small deployment, kills a process that exceeds its memory, and starts
a process again after it has ended.
"""

import http.client
import json
import os
import threading
import time

import yaml

from soak.site import HOST_NAME, PREFIX, SoakSite

# Settings of a small deployment: ``sites/tsehay-accounts.toml``.
LONGEST_HOLD_MS = 10_000
ENTRY_MEMORY_MB = 300
NODE_MEMORY_MB = 168
RESTART_SECONDS = 0.5
POLL_SECONDS = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ENTRY_SITE = {
    "state_kept": 120,
    "config_within_ms": 2000,
    "cancel_within_ms": 3000,
    "evacuate_within_ms": 5000,
    "spread_factor": 1.5,
    "longest_hold_ms": LONGEST_HOLD_MS,
    "processor_share": 0.537,
    "cores": 2,
    "link_mbps": 1000.0,
}


class Record:
    """File with what was sent, answered, run and done, one line each.

    :param path: Path of the file.
    """

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        with self._lock:
            print(f"{time.monotonic() - self._began:8.3f} {text}", file=self._file)
            self._file.flush()


def apply_settings(site):
    """Give the processes of a site the settings of a small deployment."""
    for program in site.programs:
        path = program._path
        settings = yaml.safe_load(path.read_text())
        is_entry = program.role == "entry"
        memory_mb = ENTRY_MEMORY_MB if is_entry else NODE_MEMORY_MB
        settings["intake"] = {"memory_mb": memory_mb}
        if is_entry:
            settings["entry"]["largest_body"] = 1048576
            settings["site"].update(ENTRY_SITE)
        settings["site"]["longest_hold_ms"] = LONGEST_HOLD_MS
        path.write_text(yaml.safe_dump(settings))


def read_rss_mb(pid):
    """Return the resident memory of a process, in MB; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE_BYTES / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0


class Platform(threading.Thread):
    """Watch the processes of a site as the platform does.

    :param site: ``SoakSite``.
    :param record: ``Record``.
    """

    def __init__(self, site, record):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.ends = []
        self.peak_mb_by_name = {}
        self._site = site
        self._record = record

    def run(self):
        """Watch until stopped."""
        while not self.is_stopped:
            time.sleep(POLL_SECONDS)
            for program in self._site.programs:
                self._watch(program)

    def _watch(self, program):
        process = program.process
        if process is None or self.is_stopped:
            return
        limit = ENTRY_MEMORY_MB if program.role == "entry" else NODE_MEMORY_MB
        memory = read_rss_mb(process.pid)
        peak = self.peak_mb_by_name.get(program.name, 0.0)
        self.peak_mb_by_name[program.name] = max(peak, memory)
        why = ""
        if process.poll() is not None:
            why = f"ended by itself with status {process.returncode}"
        elif memory > limit:
            program.kill()
            why = f"killed at {memory:.0f} MB, over its limit of {limit} MB"
        if why:
            self.ends.append((program.name, why))
            self._record.write(f"platform: {program.name} {why}")
            time.sleep(RESTART_SECONDS)
            if not self.is_stopped:
                program.start()


def call(address, method, job_id, body=None, timeout=4.0, prefix=PREFIX):
    """Send one call of a client; return status and decoded answer.

    :param prefix: Prefix of the queue.
    :returns: Status 0 without an answer.
    """
    headers = {
        "Host": HOST_NAME,
        "Content-Type": "application/json",
        "X-Deadline-Ms": "3000",
    }
    content = json.dumps(body).encode() if body is not None else None
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, prefix + job_id, content, headers)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def build_site(folder, entries, nodes, seed=1):
    """Return a ``SoakSite`` with the settings of a small deployment."""
    site = SoakSite(folder, entries, nodes, seed)
    apply_settings(site)
    for worker in site.worker_by_node.values():
        worker.runner.longest_hold = LONGEST_HOLD_MS / 1000
    return site


def read_state(addresses, job_id):
    """Ask each entry for the state of a job until one answers; return what it says."""
    for address in addresses:
        status, answer = call(address, "GET", job_id)
        if status:
            return answer.get("state", status)
    return "no answer"
