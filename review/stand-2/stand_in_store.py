"""Stand-in of the platform's metadata store, over HTTP on loopback.

It follows the section "The platform's metadata store" of PROTOCOL.md: rows with
versions from one counter, atomic transactions on one part, reads of ranges, and a feed.
"""

import base64
import json
import socket
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
ANSWER_SECONDS = 0.004
TRANSACTION_SECONDS = 0.008


class QuietServer(ThreadingHTTPServer):
    """HTTP server that prints nothing when a peer breaks a connection."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handler):
        self._open = set()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        """Serve a connection in a thread, and remember it."""
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Close a connection."""
        self._open.discard(request)
        super().shutdown_request(request)

    def close_connections(self):
        """Break all open connections."""
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        """Ignore broken connections."""


class Handler(BaseHTTPRequestHandler):
    """Pass calls to the ``serve`` method of the server's owner."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Print nothing."""

    def answer(self):
        """Read one call and write its answer."""
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        status, content = self.server.owner.serve(
            self.command, self.path, body, self.headers
        )
        if status == 0:
            self.close_connection = True
            return
        data = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = answer


def serve_http(owner, port=0):
    """Serve the calls to an owner in threads; return the server."""
    server = QuietServer((HOST, port), Handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """Rows in memory.

    ``mode`` is 'ok', 'busy' (503 to all calls: nothing is done) or 'silent' (no answer,
    nothing is done).

    :param row_bytes: Largest value of a row, in bytes.
    """

    def __init__(self, row_bytes=65536):
        self.mode = "ok"
        self.refused_rows = 0
        self._row_bytes = row_bytes
        self._rows = {}
        self._changes = []
        self._version = 0
        self._changed = threading.Condition()
        self._lock_by_part = {}
        self._born = time.monotonic()
        self._server = serve_http(self)
        self.address = f"{HOST}:{self._server.server_port}"

    def put(self, table, key, value):
        """Write a row as the operator."""
        with self._changed:
            self._version += 1
            self._store(
                (table, "", key), base64.b64encode(json.dumps(value).encode()).decode()
            )
            self._changed.notify_all()

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def serve(self, method, path, body, headers):
        """Answer one call."""
        if self.mode == "silent":
            while self.mode == "silent":
                time.sleep(0.02)
            return 0, {}
        if self.mode == "busy":
            return 503, {}
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        time.sleep(ANSWER_SECONDS)
        match url.path:
            case "/rows-tx":
                return self._transact(json.loads(body), len(body))
            case "/rows-get":
                return self._get(query)
            case "/rows-feed":
                return self._feed(query)
        return 404, {}

    def _now(self):
        return int((time.monotonic() - self._born) * 1000)

    def _store(self, row_id, value):
        row = {
            "table": row_id[0],
            "part": row_id[1],
            "key": row_id[2],
            "value": value,
            "ver": self._version,
        }
        self._rows[row_id] = row
        self._changes.append(row)

    def _transact(self, call, size):
        expected = call.get("expected", [])
        puts = call.get("puts", [])
        removed = call.get("remove", [])
        entries = [*expected, *puts, *removed]
        parts = {entry.get("part", "") for entry in entries}
        if len(entries) > MAX_ENTRIES or size > MAX_CALL_BYTES or len(parts) > 1:
            return 400, {}
        if any(len(base64.b64decode(p["value"])) > self._row_bytes for p in puts):
            self.refused_rows += 1
            return 400, {}
        part = parts.pop() if parts else ""
        with self._changed:
            lock = self._lock_by_part.setdefault(part, threading.Lock())
        with lock:
            time.sleep(TRANSACTION_SECONDS)
            with self._changed:
                return self._apply(expected, puts, removed)

    def _apply(self, expected, puts, removed):
        found = []
        is_met = True
        for entry in expected:
            row = self._rows.get(_get_id(entry))
            if row is not None:
                found.append(row)
            if entry["ver"] != (row["ver"] if row is not None else 0):
                is_met = False
        if not is_met:
            return 412, {"ver": self._version, "now_ms": self._now(), "rows": found}
        self._version += 1
        for entry in puts:
            self._store(_get_id(entry), entry["value"])
        for entry in removed:
            row = self._rows.pop(_get_id(entry), None)
            if row is not None:
                self._changes.append(
                    {**row, "value": "", "ver": self._version, "deleted": True}
                )
        self._changed.notify_all()
        return 200, {"ver": self._version, "now_ms": self._now()}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        with self._changed:
            rows = sorted(
                (
                    row
                    for row_id, row in self._rows.items()
                    if row_id[:2] == (table, part)
                    and row_id[2] >= first
                    and (not last or row_id[2] < last)
                ),
                key=lambda row: row["key"],
            )
            return 200, {
                "rows": rows[:limit],
                "truncated": len(rows) > limit,
                "ver": self._version,
                "now_ms": self._now(),
            }

    def _feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while True:
                rows = []
                for row in reversed(self._changes):
                    if row["ver"] <= after:
                        break
                    if row["table"] == table:
                        rows.append(row)
                remaining = deadline - time.monotonic()
                if rows or remaining <= 0 or self.mode != "ok":
                    return 200, {
                        "rows": rows[::-1],
                        "ver": self._version,
                        "now_ms": self._now(),
                    }
                self._changed.wait(remaining)


def _get_id(entry):
    return (entry["table"], entry.get("part", ""), entry["key"])
