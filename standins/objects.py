"""Simulated object store."""

import threading

from standins.serving import Answer, StandIn, build_parser, run

THREADS = 32


class ObjectStandIn(StandIn):
    """Object store that keeps its objects in memory."""

    def __init__(self):
        super().__init__()
        self._lock = threading.Lock()
        self._content_by_key = {}
        self._counts = {"gets": 0, "puts": 0, "bytes": 0}

    def handle(self, method, path, body, environ):
        """Answer a call to the object store."""
        if path == "/counts":
            return Answer(200, dict(self._counts))
        key = path.removeprefix("/objects/")
        with self._lock:
            if method == "PUT":
                self._counts["puts"] += 1
                self._counts["bytes"] += len(body)
                self._content_by_key[key] = body
                return Answer(200, {})
            self._counts["gets"] += 1
            if key not in self._content_by_key:
                return Answer(404, {"error": "no such object"})
            return Answer(200, self._content_by_key[key])


def main():
    """Run the object store."""
    options = build_parser(__doc__).parse_args()
    run(ObjectStandIn(), options.port, THREADS)


if __name__ == "__main__":
    main()
