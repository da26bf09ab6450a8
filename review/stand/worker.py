"""Stand-in for one worker of the platform, after PROTOCOL.md: one process a worker.

The ``spec`` of a task is JSON: ``ms`` is how long it works. Tasks that last are at
work, with percent 100, after ``ms``, and never end by themselves.

SIGUSR1 crashes the worker: it runs nothing any more, and is silent (it takes
connections, and answers nothing) for good. SIGUSR2 lets it leave as planned: it reports
that it drains, serves for some seconds after the acknowledgement, and ends. SIGWINCH
makes it unhealthy, so that it rejects each start with 503, and sound again.
"""

import argparse
import json
import os
import signal
import threading
import time

from wire import Server, call

BEAT_SECONDS = 1.1
TICK_SECONDS = 0.01
STOP_SECONDS = 0.1
MAX_ENDS = 500


class Worker:
    """Run tasks under one lease.

    :param options: Parsed command line.
    """

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.is_dark = False
        self.is_unhealthy = False
        self.is_draining = False
        self.leaves_at = float("inf")
        self.fence = 0
        self.lease_end_ms = 0
        self.is_lapsed = False
        self.run_by_task = {}
        self.refused_number_by_task = {}
        self.ends = []
        self.number = 0
        self.changed = threading.Condition()
        self.events = open(options.events, "a", buffering=1)  # noqa: SIM115
        self.record("born", id=options.id)
        self.server = Server(options.port, self.answer)

    def record(self, what, **fields):
        """Append an event."""
        event = {"at": time.time(), "worker": self.options.name, "what": what, **fields}
        self.events.write(json.dumps(event) + "\n")

    @property
    def clock_ms(self):
        """Return the worker's clock."""
        return int((time.monotonic() - self.started) * 1000)

    def _common(self):
        return {"clock_ms": self.clock_ms, "born": self.born}

    def answer(self, method, path, headers, body):
        """Answer one call; a worker that is dark answers none."""
        outcome = None if self.is_dark else self._answer(method, path, headers, body)
        while self.is_dark:
            time.sleep(1.0)
        return outcome

    def _answer(self, method, path, headers, body):
        expected = headers.get("X-Expect-Instance")
        if expected and expected != self.options.id:
            return 421, self._common()
        if method != "POST":
            return 200, {}
        request = json.loads(body)
        if self.is_unhealthy and path == "/run-start":
            self.record("rejected", task=request["task"], run=request["run"])
            return 503, self._common()
        with self.changed:
            if request.get("fence", 0) < self.fence:
                return 409, {**self._common(), "reason": "fence"}
            self.fence = request.get("fence", 0)
            match path:
                case "/run-start":
                    return self._start(request)
                case "/run-stop":
                    return self._stop(request)
                case "/hold":
                    return self._hold(request)
                case "/pace":
                    return 200, self._common()
        return 404, {}

    def _extend(self, until_ms):
        longest = self.clock_ms + self.options.max_hold_ms
        self.lease_end_ms = max(self.lease_end_ms, min(longest, until_ms))

    def _start(self, request):
        task, number = request["task"], request["run"]
        run = self.run_by_task.get(task)
        if run is not None and run["run"] == number:
            self._extend(request["until_ms"])
            return 200, self._common()
        if run is not None or number <= self.refused_number_by_task.get(task, 0):
            self._extend(request["until_ms"])
            return 409, {**self._common(), "reason": "old"}
        if request["until_ms"] <= self.clock_ms:
            return 409, {**self._common(), "reason": "late"}
        self._extend(request["until_ms"])
        spec = json.loads(request["spec"])
        self.run_by_task[task] = {
            "run": number,
            "at": time.monotonic(),
            "seconds": spec["ms"] / 1000,
            "lasts": spec.get("lasts", False),
            "stop_at": None,
        }
        self.record("start", task=task, run=number)
        return 200, self._common()

    def _stop(self, request):
        task, number = request["task"], request["run"]
        refused = self.refused_number_by_task.get(task, 0)
        self.refused_number_by_task[task] = max(refused, number)
        run = self.run_by_task.get(task)
        if run is not None and run["run"] <= number and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + STOP_SECONDS
            self.record("stop", task=task, run=number)
        return 200, self._common()

    def _hold(self, request):
        if "until_ms" in request:
            self._extend(request["until_ms"])
        cursor = request.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.record("noted", task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        deadline = time.monotonic() + min(2000, request.get("wait_ms", 0)) / 1000
        while not self.ends and not self.is_dark:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        now = time.monotonic()
        running = [
            [task, run["run"], "", _get_percent(run, now), 1]
            for task, run in self.run_by_task.items()
        ]
        return 200, {
            **self._common(),
            "running": running,
            "finished": self.ends[:MAX_ENDS],
        }

    def _end(self, task, how):
        run = self.run_by_task.pop(task)
        self.number += 1
        self.ends.append([self.number, task, run["run"], how, ""])
        refused = self.refused_number_by_task.get(task, 0)
        self.refused_number_by_task[task] = max(refused, run["run"])
        self.record("end", task=task, run=run["run"], how=how)
        self.changed.notify_all()

    def crash_silently(self, *_):
        """Lose everything and answer nothing from now on."""
        self.is_dark = True

    def turn_unhealthy(self, *_):
        """Reject each start from now on, or no longer."""
        self.is_unhealthy = not self.is_unhealthy

    def leave(self, *_):
        """Report that the worker drains, then end."""
        self.is_draining = True

    def run(self):
        """End tasks when they are due and send reports, until the process is killed."""
        threading.Thread(target=self._send_reports, daemon=True).start()
        while not self.is_dark:
            time.sleep(TICK_SECONDS)
            with self.changed:
                self._end_due()
        with self.changed:
            for task, run in self.run_by_task.items():
                self.record("lost", task=task, run=run["run"])
            self.run_by_task.clear()
        self.record("dark")
        while True:
            time.sleep(1.0)

    def _end_due(self):
        now = time.monotonic()
        is_over = self.clock_ms >= self.lease_end_ms
        if is_over and not self.is_lapsed and self.lease_end_ms:
            self.record("lease-lapsed")
        self.is_lapsed = is_over
        for task, run in list(self.run_by_task.items()):
            if is_over:
                self._end(task, "lapsed")
            elif run["stop_at"] is not None and now >= run["stop_at"]:
                self._end(task, "stopped")
            elif not run["lasts"] and now >= run["at"] + run["seconds"]:
                self._end(task, "done")

    def _send_reports(self):
        options, sequence = self.options, 0
        while not self.is_dark:
            sequence += 1
            report = {
                "service": options.service,
                "addr": f"127.0.0.1:{options.port}",
                "zone": options.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "warmup_left_ms": 0,
                "capacity": {"cpu": options.cpu, "mem_mb": options.mem, "gpu": 0},
                "labels": [options.kind, options.rack],
                "machine": options.machine,
                "clock_ms": self.clock_ms,
                "seq": sequence,
                "born": self.born,
            }
            if self.is_draining:
                left = min(self.leaves_at - time.monotonic(), options.drain_seconds)
                report["remaining_ms"] = max(0, int(left * 1000))
            path = f"/instances/{options.id}"
            status, _ = call(options.control, "PUT", path, report, timeout=1.0)
            if status == 200 and report["state"] == "draining":
                self._acknowledge_leaving(path)
            self._pause(BEAT_SECONDS if status == 200 else 0.3, report["state"])

    def _acknowledge_leaving(self, path):
        """Note the first acknowledgement; end when the time is over."""
        now = time.monotonic()
        if self.leaves_at == float("inf"):
            self.record("leaving-acknowledged")
            self.leaves_at = now + self.options.drain_seconds
        elif now >= self.leaves_at:
            call(self.options.control, "DELETE", path, timeout=1.0)
            self.record("left")
            os._exit(0)

    def _pause(self, seconds, state):
        """Wait until the next report, less if the worker begins to drain."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < min(deadline, self.leaves_at):
            time.sleep(0.02)
            if self.is_draining and state == "ready":
                return


def _get_percent(run, now):
    if run["seconds"] <= 0:
        return 100
    return min(100, int(100 * (now - run["at"]) / run["seconds"]))


def main():
    """Run one worker."""
    parser = argparse.ArgumentParser()
    for name in ("name", "id", "control", "service", "zone", "rack", "machine"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--events", required=True)
    for name, default in (("port", 0), ("cpu", 16000), ("mem", 64000)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--kind", default="a")
    parser.add_argument("--drain-seconds", type=float, default=4.0)
    parser.add_argument("--max-hold-ms", type=int, default=10_000)
    worker = Worker(parser.parse_args())
    signal.signal(signal.SIGUSR1, worker.crash_silently)
    signal.signal(signal.SIGUSR2, worker.leave)
    signal.signal(signal.SIGWINCH, worker.turn_unhealthy)
    worker.run()


if __name__ == "__main__":
    main()
