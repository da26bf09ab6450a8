"""HTTP servers for the simulated row store and workers."""

import base64
import http.client
import json
import random
import threading
import time
import urllib.parse

from returns.result import Failure, Success
from waitress import create_server

from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.ports.rows import Expect, HistoryLost, Put, RowId, RowsConflict
from bergamotshore.ports.runner import Acknowledgement, RunOrder, RunRejected
from bergamotshore.utils.addresses import split_address
from standins.site import RunnerStandIn

HOST = "127.0.0.1"
# Each entry holds two long polls open and calls from up to 36 threads.
STORE_THREADS = 48
WORKER_THREADS = 8
# Maximum delay, in seconds, until an expired lease or a due task ends.
TICK_SECONDS = 0.02
# Pause between heartbeats, and the timeout of a heartbeat call, in seconds.
HEARTBEAT_SECONDS = 0.5
CALL_SECONDS = 1.0
GOOD_STATUS = 200
# Task durations in seconds; longer ones would give too few starts in a run.
SHORTEST_TASK_SECONDS = 0.2
LONGEST_TASK_SECONDS = 1.5
# Share of tasks that fail on their own.
FAILED_SHARE = 0.02


class HttpServer:
    """Serve a WSGI application on a free port of loopback."""

    def __init__(self, threads):
        self._server = create_server(
            self._serve, host=HOST, port=0, threads=threads, connection_limit=2000
        )
        self.port = self._server.effective_port
        threading.Thread(target=self._server.run, daemon=True).start()

    def _serve(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        status, answer = self.handle(environ["PATH_INFO"], query, body)
        content = json.dumps(answer).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(f"{status} Answer", headers)
        return [content]

    def handle(self, path, query, body):
        """Return the status and the JSON response to a call."""
        raise NotImplementedError


class StoreServer(HttpServer):
    """Serve the platform's row store.

    :param rows: ``RowsStandIn``.
    """

    def __init__(self, rows):
        self.rows = rows
        self.changed = threading.Condition()
        super().__init__(STORE_THREADS)

    def write(self, puts, deletes):
        """Apply changes of the operator, exempt from faults."""
        with self.changed:
            self.rows.write(puts, deletes)
            self.changed.notify_all()

    def handle(self, path, query, body):
        """Answer a call to the row store."""
        if path == "/rows-feed":
            return self._follow(query)
        with self.changed:
            if path == "/rows-tx":
                outcome = self._transact(json.loads(body))
                self.changed.notify_all()
                return outcome
            outcome = self.rows.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target", ""),
                int(query.get("limit", 500)),
            )
        return build_page_response(outcome)

    def _transact(self, call):
        expects = [Expect(_decode_row_id(row), row["ver"]) for row in call["expected"]]
        puts = [
            Put(_decode_row_id(row), base64.b64decode(row["value"]))
            for row in call["puts"]
        ]
        deletes = [_decode_row_id(row) for row in call["remove"]]
        match self.rows.transact(expects, puts, deletes):
            case Success(version):
                return 200, {"ver": version}
            case Failure(RowsConflict() as failure):
                rows = [_encode_row(row) for row in failure.rows]
                return 412, {"ver": self.rows.version, "rows": rows}
            case Failure(PlatformUnavailable()):
                return 503, {}
        # The outcome stays unknown to the caller: 500 simulates a lost response.
        return 500, {}

    def _follow(self, query):
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                outcome = self.rows.follow(query["table"], int(query["after"]), 0)
                left = deadline - time.monotonic()
                is_empty = isinstance(outcome, Success) and not outcome.unwrap().rows
                if not is_empty or left <= 0:
                    return build_page_response(outcome)
                self.changed.wait(left)


def _decode_row_id(row):
    return RowId(row["table"], row.get("part", ""), row["key"])


def _encode_row(row):
    return {
        "table": row.id.table,
        "part": row.id.part,
        "key": row.id.key,
        "value": base64.b64encode(row.value).decode(),
        "ver": row.version,
        "deleted": row.is_deleted,
    }


def build_page_response(outcome):
    """Return the status and the JSON response for a page of rows.

    :param outcome: ``Result`` of a ``RowPage``.
    """
    match outcome:
        case Success(page):
            rows = [_encode_row(row) for row in page.rows]
            return 200, {
                "ver": page.version,
                "now_ms": int(page.now * 1000),
                "rows": rows,
                "truncated": page.is_partial,
            }
        case Failure(HistoryLost()):
            return 410, {}
    return 503, {}


class IncarnationServer(HttpServer):
    """Serve one incarnation of a worker; the next one listens on another port.

    Calls that reach it after a restart get no answer and have no effect, as if its
    process had ended.

    :param worker: ``WorkerServer``.
    """

    def __init__(self, worker):
        self._worker = worker
        self.born = worker.runner.born
        super().__init__(WORKER_THREADS)

    def handle(self, path, query, body):
        """Answer a call from the node."""
        return self._worker.answer(self.born, path, json.loads(body))


class WorkerServer:
    """Serve one worker: answer its node, end tasks when due, and send heartbeats.

    Its node, ``program``, calls it through ``proxy``, which refuses connections after
    a crash.

    :param clock: ``Clock``.
    :param name: Name of the worker.
    :param zone: Data centre.
    :param ledger: ``Ledger`` of all workers.
    :param lock: Lock that guards the ledger.
    :param heartbeat_address: Heartbeat address of its node, as host:port.
    :param seed: Seed of the durations of tasks.
    """

    def __init__(self, clock, name, zone, ledger, lock, heartbeat_address, seed):
        self.zone = zone
        self.lock = lock
        self.runner = RunnerStandIn(clock, name, ledger)
        self.runner.zone = zone
        self.is_hanging = False
        self.proxy = None
        self.program = None
        self.harmed_at = 0.0
        self._clock = clock
        self._random = random.Random(seed)
        self._ends_at_by_run = {}
        self._heartbeat_address = split_address(heartbeat_address)
        self._is_closed = False
        self._sequence = 0
        self._server = IncarnationServer(self)

    def start(self):
        """Begin to end tasks and to send heartbeats; node and proxy must be set."""
        for function in (self._run_tasks, self._send_heartbeats):
            threading.Thread(target=function, daemon=True).start()

    @property
    def port(self):
        """Return the port of the current incarnation."""
        return self._server.port

    def close(self):
        """Stop the worker's threads."""
        self._is_closed = True

    def restart(self):
        """Start a new incarnation without any state, on a new port."""
        with self.lock:
            self.runner.restart()
            self._follow_incarnation()

    def _follow_incarnation(self):
        """Refuse connections after a crash, and serve the new incarnation."""
        if self.runner.is_down:
            self.proxy.close()
        elif self.runner.born != self._server.born:
            self._server = IncarnationServer(self)
            self.proxy.redirect((HOST, self.port))

    def answer(self, born, path, call):
        """Answer a call to one incarnation.

        :param born: Start time of the incarnation, in milliseconds.
        """
        while self.is_hanging and not self._is_closed:
            time.sleep(TICK_SECONDS)
        if path == "/hold":
            time.sleep(min(0.1, call.get("wait_ms", 0) / 1000))
        with self.lock:
            if self.runner.born != born:
                return 500, {}
            outcome = self._call(path, call)
            clock_ms, born = self.runner.clock_ms, self.runner.born
        common = {"clock_ms": clock_ms, "born": born}
        match outcome:
            case Success(listing) if path == "/hold":
                return 200, {**common, **_encode_listing(listing)}
            case Success(_):
                return 200, common
            case Failure(RunRejected(reason=reason)):
                return 409, {**common, "reason": reason}
        return 500, {}

    def _call(self, path, call):
        fence, runner = call["fence"], self.runner
        match path:
            case "/hold":
                acknowledgement = Acknowledgement(runner.born, call["ack_cursor"])
                return runner.renew_lease(
                    call.get("until_ms"), fence, acknowledgement, 0
                )
            case "/run-start":
                order = RunOrder(call["task"], call["run"], call["spec"], "", "")
                return runner.start(order, call["until_ms"], fence, runner.incarnation)
            case "/run-stop":
                return runner.stop(call["task"], call["run"], fence)
        return runner.throttle(call["task"], call["run"], call["percent"], fence)

    def _run_tasks(self):
        while not self._is_closed:
            time.sleep(TICK_SECONDS)
            with self.lock:
                if self.is_hanging or self.program.is_paused or self.proxy.is_faulty:
                    self.harmed_at = self._clock.now()
                self.runner.update()
                self._finish_due_tasks()
                self._follow_incarnation()

    def _finish_due_tasks(self):
        now = self._clock.now()
        for task, number in list(self.runner.run_by_task.items()):
            key = (self.runner.born, task, number)
            seconds = self._random.uniform(SHORTEST_TASK_SECONDS, LONGEST_TASK_SECONDS)
            ends_at = self._ends_at_by_run.setdefault(key, now + seconds)
            is_endless = (
                task.startswith("lasting")
                or self.runner.ledger.get_crash_delay(task) is not None
            )
            if now >= ends_at and not is_endless:
                has_failed = self._random.random() < FAILED_SHARE
                self.runner.finish(task, "failed" if has_failed else "done")

    def _send_heartbeats(self):
        while not self._is_closed:
            time.sleep(HEARTBEAT_SECONDS)
            self._sequence += 1
            with self.lock:
                is_sending = self.runner.is_sending_heartbeats
                report = self.runner.build_report(self.zone)
                if not report.is_draining:
                    self.runner.ledger.record_heartbeat(report, self._clock.now())
            if not is_sending:
                continue
            body = {
                "service": report.service,
                "zone": self.zone,
                "state": "draining" if report.is_draining else "ready",
                "born": report.incarnation.started_ms,
                "seq": self._sequence,
                "capacity": {
                    "cpu": self.runner.capacity.cpu,
                    "mem_mb": self.runner.capacity.memory,
                    "gpu": self.runner.capacity.accelerators,
                },
                "labels": list(report.labels),
            }
            path = f"/instances/{report.incarnation.worker}"
            if self._send(path, json.dumps(body)) and report.is_draining:
                with self.lock:
                    self.runner.ledger.record_heartbeat(report, self._clock.now())

    def _send(self, path, body):
        """Send a heartbeat; return whether the node acknowledged it."""
        connection = http.client.HTTPConnection(
            *self._heartbeat_address, timeout=CALL_SECONDS
        )
        try:
            connection.request("PUT", path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            answer.read()
            return answer.status == GOOD_STATUS
        except (OSError, http.client.HTTPException):
            # The node is down or paused; the next heartbeat retries.
            return False
        finally:
            connection.close()


def _encode_listing(listing):
    return {
        "running": [
            [run.task, run.number, run.checkpoint, run.percent, run.usage]
            for run in listing.running
        ],
        "finished": [
            [end.sequence, end.task, end.number, end.outcome, end.checkpoint]
            for end in listing.ended
        ],
    }
