"""The platform's store and workers over HTTP, around the stand-ins."""

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
from bergamotshore.ports.runner import RunOrder, RunRejected
from bergamotshore.utils.addresses import split_address
from standins.site import RunnerStandIn

HOST = "127.0.0.1"
# Each entry keeps two feeds waiting and calls from up to 36 threads.
STORE_THREADS = 48
WORKER_THREADS = 8
# Leases and tasks end within this time of their end, in seconds.
TICK_SECONDS = 0.02
# Workers send a heartbeat about this often, and wait this long for its answer.
HEARTBEAT_SECONDS = 0.5
CALL_SECONDS = 1.0
# Tasks of quick jobs; long ones would leave too few starts in a run.
SHORTEST_TASK_SECONDS = 0.2
LONGEST_TASK_SECONDS = 1.5
# Share of tasks that fail by their own fault.
FAILED_SHARE = 0.02


class HttpFront:
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
        """Return status and answer of a call."""
        raise NotImplementedError


class StoreServer(HttpFront):
    """The platform's store.

    :param rows: ``RowsStandIn``.
    """

    def __init__(self, rows):
        self.rows = rows
        self.changed = threading.Condition()
        super().__init__(STORE_THREADS)

    def handle(self, path, query, body):
        """Answer one call about rows."""
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
        return answer_page(outcome)

    def _transact(self, call):
        expects = [Expect(_read_id(row), row["ver"]) for row in call["expected"]]
        puts = [
            Put(_read_id(row), base64.b64decode(row["value"])) for row in call["puts"]
        ]
        deletes = [_read_id(row) for row in call["remove"]]
        match self.rows.transact(expects, puts, deletes):
            case Success(version):
                return 200, {"ver": version}
            case Failure(RowsConflict() as failure):
                rows = [_show_row(row) for row in failure.rows]
                return 412, {"ver": self.rows.version, "rows": rows}
            case Failure(PlatformUnavailable()):
                return 503, {}
        # The outcome is not told; 500 stands for an answer that was lost.
        return 500, {}

    def _follow(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                outcome = self.rows.follow(query["table"], int(query["after"]), 0)
                left = until - time.monotonic()
                is_empty = isinstance(outcome, Success) and not outcome.unwrap().rows
                if not is_empty or left <= 0:
                    return answer_page(outcome)
                self.changed.wait(left)


def _read_id(row):
    return RowId(row["table"], row.get("part", ""), row["key"])


def _show_row(row):
    return {
        "table": row.id.table,
        "part": row.id.part,
        "key": row.id.key,
        "value": base64.b64encode(row.value).decode(),
        "ver": row.version,
        "deleted": row.is_deleted,
    }


def answer_page(outcome):
    """Return status and answer of a call for rows.

    :param outcome: ``Result`` of a ``RowPage``.
    """
    match outcome:
        case Success(page):
            rows = [_show_row(row) for row in page.rows]
            answer = {"ver": page.version, "rows": rows, "truncated": page.is_partial}
            return 200, answer
        case Failure(HistoryLost()):
            return 410, {}
    return 503, {}


class WorkerServer(HttpFront):
    """One worker: answers its node, ends its tasks in time and sends heartbeats.

    :param clock: ``Clock``.
    :param name: Name of the worker.
    :param zone: Data centre.
    :param ledger: ``Ledger`` of all workers.
    :param lock: Lock around the ledger.
    :param heartbeat_address: Address of its node for heartbeats, host:port.
    :param seed: Seed of the durations of tasks.
    """

    def __init__(self, clock, name, zone, ledger, lock, heartbeat_address, seed):
        self.zone = zone
        self.lock = lock
        self.runner = RunnerStandIn(clock, name, ledger)
        self.is_hanging = False
        self._clock = clock
        self._random = random.Random(seed)
        self._ends_at_by_run = {}
        self._heartbeat_address = split_address(heartbeat_address)
        self._is_closed = False
        self._sequence = 0
        super().__init__(WORKER_THREADS)
        for function in (self._run_tasks, self._run_heartbeats):
            threading.Thread(target=function, daemon=True).start()

    def close(self):
        """Run nothing any more."""
        self._is_closed = True

    def handle(self, path, query, body):
        """Answer one call of the node."""
        while self.is_hanging and not self._is_closed:
            time.sleep(TICK_SECONDS)
        call = json.loads(body)
        if path == "/hold":
            time.sleep(min(0.1, call.get("wait_ms", 0) / 1000))
        with self.lock:
            outcome = self._call(path, call)
            clock_ms, born = self.runner.clock_ms, self.runner.born
        common = {"clock_ms": clock_ms, "born": born}
        match outcome:
            case Success(listing) if path == "/hold":
                return 200, {**common, **_show_listing(listing)}
            case Success(_):
                return 200, common
            case Failure(RunRejected(reason=reason)):
                return 409, {**common, "reason": reason}
        return 500, {}

    def _call(self, path, call):
        fence, runner = call["fence"], self.runner
        match path:
            case "/hold":
                return runner.renew_lease(
                    call.get("until_ms"), fence, call["ack_cursor"], 0
                )
            case "/run-start":
                order = RunOrder(call["task"], call["run"], call["spec"], "", "")
                return runner.start(order, call["until_ms"], fence, runner.name)
            case "/run-stop":
                return runner.stop(call["task"], call["run"], fence)
        return runner.throttle(call["task"], call["run"], call["percent"], fence)

    def _run_tasks(self):
        while not self._is_closed:
            time.sleep(TICK_SECONDS)
            with self.lock:
                self.runner.end_runs_if_expired()
                self._end_tasks()

    def _end_tasks(self):
        now = self._clock.now()
        for task, number in list(self.runner.run_by_task.items()):
            key = (self.runner.born, task, number)
            seconds = self._random.uniform(SHORTEST_TASK_SECONDS, LONGEST_TASK_SECONDS)
            ends_at = self._ends_at_by_run.setdefault(key, now + seconds)
            is_lasting = task.startswith("lasting")
            if now >= ends_at and not is_lasting:
                has_failed = self._random.random() < FAILED_SHARE
                self.runner.finish(task, "failed" if has_failed else "done")

    def _run_heartbeats(self):
        while not self._is_closed:
            time.sleep(HEARTBEAT_SECONDS)
            self._sequence += 1
            with self.lock:
                report = self.runner.build_report(self.zone)
            body = {
                "service": report.service,
                "zone": self.zone,
                "state": "draining" if report.is_draining else "ready",
                "born": report.incarnation.started_ms,
                "seq": self._sequence,
                "capacity": {"cpu": report.cpu, "mem_mb": report.memory},
                "labels": list(report.labels),
            }
            self._send(f"/instances/{report.incarnation.worker}", json.dumps(body))

    def _send(self, path, body):
        connection = http.client.HTTPConnection(
            *self._heartbeat_address, timeout=CALL_SECONDS
        )
        try:
            connection.request("PUT", path, body, {"Content-Type": "application/json"})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            # The node is down or paused; the next heartbeat tries again.
            return
        finally:
            connection.close()


def _show_listing(listing):
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
