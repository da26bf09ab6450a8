"""Stand-in for the platform's machine service, after PROTOCOL.md."""

import threading
import time
import urllib.parse

from wire import Server


class Machines:
    """List machines and carry out their upkeep.

    While ``is_busy`` is set, each call is answered with 503 and does nothing.

    :param port: Port.
    :param deployment: ``Deployment``; it ends and starts the workers.
    :param upkeep_seconds: Time that an upkeep takes.
    """

    def __init__(self, port, deployment, upkeep_seconds=2.0):
        self.is_busy = False
        self.machines_by_wave = {}
        self.done = set()
        self.begun = []
        self._deployment = deployment
        self._upkeep_seconds = upkeep_seconds
        self._wave_by_machine = {}
        self._lock = threading.Lock()
        self._server = Server(port, self.answer)

    def count_down(self, wave):
        """Return how many machines are down for their upkeep in a wave."""
        return sum(number == wave for number in self._wave_by_machine.values())

    def is_in_upkeep(self, machine):
        """Return whether a machine is down for its upkeep."""
        return machine in self._wave_by_machine

    def answer(self, method, path, headers, body):
        """Answer one call."""
        import json

        time.sleep(0.004)
        if self.is_busy:
            return 503, {}
        if method == "GET" and urllib.parse.urlsplit(path).path == "/machines":
            return 200, {"machines": self._list(), "next_token": None}
        if path != "/machine-upkeep":
            return 404, {}
        return self._order(json.loads(body), headers)

    def _list(self):
        with self._lock:
            return [
                {
                    "machine": worker.machine,
                    "pool": worker.service,
                    "state": self._get_state(worker),
                    "zone": worker.zone,
                    "labels": [worker.kind, worker.rack],
                    "capacity": {"cpu": worker.cpu, "mem_mb": worker.mem, "gpu": 0},
                    "id": worker.id if self._get_state(worker) == "up" else None,
                }
                for worker in self._deployment.workers
                if worker.is_racked
            ]

    def _get_state(self, worker):
        if worker.machine in self._wave_by_machine:
            return "upkeep"
        return "up" if worker.is_up else "down"

    def _order(self, request, headers):
        name, wave = request["machine"], request["wave"]
        with self._lock:
            worker = next(
                (
                    w
                    for w in self._deployment.workers
                    if w.machine == name and w.is_racked
                ),
                None,
            )
            if worker is None:
                return 400, {}
            if name not in self.machines_by_wave.get(wave, ()):
                return 409, {"reason": "wave"}
            if (wave, name) in self.done:
                return 200, {}
            if self._get_state(worker) != "up" or worker.is_leaving:
                return 409, {"reason": "busy"}
            down = self.count_down(wave)
            self.done.add((wave, name))
            self.begun.append((wave, name, down))
            self._wave_by_machine[name] = wave
            self._deployment.record(
                "upkeep",
                machine=name,
                wave=wave,
                down_before=down,
                holder=headers.get("X-Lease-Holder"),
                token=headers.get("X-Fence-Token"),
            )
        worker.kill()
        threading.Thread(target=self._finish, args=(worker,), daemon=True).start()
        return 200, {}

    def _finish(self, worker):
        time.sleep(self._upkeep_seconds)
        worker.start(is_new=True)
        with self._lock:
            self._wave_by_machine.pop(worker.machine, None)
        self._deployment.record("upkeep-over", machine=worker.machine)
