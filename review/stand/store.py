"""Stand-in for the platform's metadata store, after PROTOCOL.md."""

import base64
import threading
import time
import urllib.parse
import zlib

from wire import Server

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ID_BYTES = 200
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
ANSWER_SECONDS = 0.004
TX_SECONDS = 0.008


class Store:
    """Rows with versions; atomic transactions, range reads and a feed of changes.

    While ``is_silent`` is set, calls get no answer and do nothing.

    :param port: Port.
    :param record: Function that records an event.
    """

    def __init__(self, port, record):
        self.is_silent = False
        self.refused = []
        self._record = record
        self._row_by_id = {}
        self._changes = []
        self._version = 0
        self._changed = threading.Condition()
        self._locks = [threading.Lock() for _ in range(64)]
        self._server = Server(port, self.answer)

    def answer(self, method, path, headers, body):
        """Answer one call."""
        if self.is_silent:
            while self.is_silent:
                time.sleep(0.02)
            return None
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        match url.path:
            case "/rows-tx":
                return self._transact(body)
            case "/rows-get":
                time.sleep(ANSWER_SECONDS)
                return self._read(query)
            case "/rows-feed":
                return self._follow(query)
        return 404, {}

    def _head(self):
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    def _transact(self, body):
        import json

        call = json.loads(body)
        puts = call.get("puts", [])
        entries = [*call.get("expected", []), *puts, *call.get("remove", [])]
        problem = self._find_problem(body, entries, puts)
        if problem:
            self.refused.append(problem)
            self._record("store-refused", problem=problem)
            return 400, {"reason": problem}
        part = entries[0].get("part", "")
        with self._locks[zlib.crc32(part.encode()) % len(self._locks)]:
            time.sleep(TX_SECONDS)
            return self.apply(call)

    def _find_problem(self, body, entries, puts):
        if not entries or len(entries) > MAX_ENTRIES:
            return f"{len(entries)} entries"
        if len(body) > MAX_CALL_BYTES:
            return f"{len(body)} bytes"
        if len({row.get("part", "") for row in entries}) > 1:
            return "several parts"
        if any(
            len(row[k].encode()) > MAX_ID_BYTES
            for row in entries
            for k in ("key", "table")
        ):
            return "id too long"
        if any(row["table"] in ("op", "servers") for row in puts):
            return "table of the operator"
        for row in puts:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                return f"row {row['table']}/{row['key']} has {size} bytes"
        return ""

    def apply(self, call):
        """Apply a transaction if its conditions hold."""
        with self._changed:
            expected = call.get("expected", [])
            found = [self._row_by_id.get(_get_id(row)) for row in expected]
            if any(
                row["ver"] != (stored["ver"] if stored else 0)
                for row, stored in zip(expected, found, strict=True)
            ):
                return 412, {**self._head(), "rows": [row for row in found if row]}
            self._version += 1
            for row in call.get("puts", []):
                stored = {
                    "table": row["table"],
                    "part": row.get("part", ""),
                    "key": row["key"],
                    "value": row["value"],
                    "ver": self._version,
                }
                self._row_by_id[_get_id(row)] = stored
                self._changes.append(stored)
            for row in call.get("remove", []):
                stored = self._row_by_id.pop(_get_id(row), None)
                if stored is not None:
                    gone = {
                        **stored,
                        "value": "",
                        "ver": self._version,
                        "deleted": True,
                    }
                    self._changes.append(gone)
            self._changed.notify_all()
            return 200, self._head()

    def write_as_operator(self, key, value):
        """Write a row of the operator; its answer is the acknowledgement."""
        import json

        content = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": "op", "part": "", "key": key, "value": content}
        self.apply({"puts": [row]})

    def get_row(self, table, key, part=""):
        """Return the content of a row, None if it is absent."""
        with self._changed:
            row = self._row_by_id.get((table, part, key))
            return None if row is None else base64.b64decode(row["value"])

    def _read(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        with self._changed:
            rows = sorted(
                (
                    row
                    for row in self._row_by_id.values()
                    if row["table"] == table
                    and row["part"] == part
                    and row["key"] >= first
                    and (not end or row["key"] < end)
                ),
                key=lambda row: row["key"].encode(),
            )
            page, size = [], 0
            for row in rows[:limit]:
                size += len(row["value"]) + 100
                if page and size > PAGE_BYTES:
                    break
                page.append(row)
            return 200, {
                **self._head(),
                "rows": page,
                "truncated": len(page) < len(rows),
            }

    def _follow(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        with self._changed:
            while not self.is_silent:
                rows = [
                    row
                    for row in self._changes
                    if row["ver"] > after and row["table"] == table
                ]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {**self._head(), "rows": rows, "truncated": False}
                self._changed.wait(min(left, 0.05))
        while self.is_silent:
            time.sleep(0.02)
        return None


def _get_id(row):
    return (row["table"], row.get("part", ""), row["key"])
