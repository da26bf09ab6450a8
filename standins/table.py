"""Simulated transactional table service."""

import json
import threading

from standins.serving import Answer, StandIn, build_parser, run

THREADS = 64


class TableStandIn(StandIn):
    """Table service that keeps its rows in memory and never reuses a version."""

    def __init__(self):
        super().__init__()
        self._lock = threading.Lock()
        self._row_by_key = {}
        self._last_version = 0
        self._counts = {"reads": 0, "rows_read": 0, "transactions": 0, "writes": 0}

    def handle(self, method, path, body, environ):
        """Answer a call to the table service."""
        if path == "/counts":
            return Answer(200, dict(self._counts))
        call = json.loads(body)
        with self._lock:
            match path:
                case "/v1/get":
                    return self._read(call["keys"])
                case "/v1/scan":
                    keys = sorted(
                        k for k in self._row_by_key if k.startswith(call["prefix"])
                    )
                    return self._read(keys)
                case "/v1/transact":
                    return self._transact(call)
        return Answer(404, {"error": "no such call"})

    def _read(self, keys):
        self._counts["reads"] += 1
        self._counts["rows_read"] += len(keys)
        rows = [self._row_by_key.get(key) or _build_absent_row(key) for key in keys]
        return Answer(200, {"rows": rows})

    def _transact(self, call):
        for item in [*call["checks"], *call["writes"]]:
            current_row = self._row_by_key.get(item["key"]) or _build_absent_row(
                item["key"]
            )
            if current_row["version"] != item["version"]:
                return Answer(
                    409, {"key": item["key"], "version": current_row["version"]}
                )
        self._counts["transactions"] += 1
        self._counts["writes"] += len(call["writes"])
        self._last_version += 1
        for item in call["writes"]:
            self._write(item)
        keys = [item["key"] for item in call["writes"]]
        return Answer(200, {"versions": dict.fromkeys(keys, self._last_version)})

    def _write(self, item):
        if item["value"] is None:
            self._row_by_key.pop(item["key"], None)
            return
        self._row_by_key[item["key"]] = {
            "key": item["key"],
            "version": self._last_version,
            "value": item["value"],
        }


def _build_absent_row(key):
    return {"key": key, "version": 0, "value": ""}


def main():
    """Run the table service."""
    options = build_parser(__doc__).parse_args()
    run(TableStandIn(), options.port, THREADS)


if __name__ == "__main__":
    main()
