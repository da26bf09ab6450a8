"""Stand-in of the advice service, over HTTP on loopback.

It follows PROTOCOL.md on ``POST /advise``: one call at a time for each calling machine,
429 beyond 32 waiting ones, an answer after ``decide_ms`` plus ``period_ms`` for each
worker named, and tickets that are valid for ``valid_ms``. Every worker may run a step.
"""

import json
import threading
import time
import uuid

from stand_in_store import HOST, serve_http

MAX_WAITING = 32


class AdviceService:
    """Issue tickets, and tell whether a ticket is valid.

    :param record: ``Record``.
    :param decide_ms: Time of one decision.
    :param period_ms: Further time for each worker named.
    :param valid_ms: Validity of a ticket.
    """

    def __init__(self, record, decide_ms, period_ms, valid_ms):
        self.policy = {
            "decide_ms": decide_ms,
            "period_ms": period_ms,
            "valid_ms": valid_ms,
        }
        self.answers = 0
        self._record = record
        self._turn = threading.Lock()
        self._lock = threading.Lock()
        self._waiting = 0
        self._valid_until_by_ticket = {}
        self._server = serve_http(self)
        self.address = f"{HOST}:{self._server.server_port}"

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def serve(self, method, path, body, headers):
        """Answer one call."""
        if path != "/advise":
            return 404, {}
        call = json.loads(body)
        with self._lock:
            if self._waiting >= MAX_WAITING:
                return 429, {}
            self._waiting += 1
        with self._turn:
            with self._lock:
                self._waiting -= 1
            workers = call["workers"]
            pause_ms = self.policy["decide_ms"] + self.policy["period_ms"] * len(
                workers
            )
            time.sleep(pause_ms / 1000)
            allowed = [[worker, uuid.uuid4().hex[:16]] for worker in workers]
            valid_until = time.monotonic() + self.policy["valid_ms"] / 1000
            with self._lock:
                self.answers += 1
                for worker, ticket in allowed:
                    key = (call["step"], worker, ticket)
                    self._valid_until_by_ticket[key] = valid_until
        self._record.write(f"advice on {call['step']} for {len(workers)} workers")
        return 200, {"allowed": allowed, "valid_ms": self.policy["valid_ms"]}

    def is_valid(self, task, worker, ticket):
        """Return whether a ticket lets a worker start a task now."""
        key = (task.rsplit(".", 1)[0], worker, ticket)
        with self._lock:
            return time.monotonic() < self._valid_until_by_ticket.get(key, 0.0)
