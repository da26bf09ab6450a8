"""Simulated endpoint that runs callers' requests.

The body of a request is JSON with ``id`` and ``service_ms``; the response repeats the
``id``, so that a caller can check that the response belongs to its own request.
"""

import json
import random
import threading
import time
from dataclasses import asdict, dataclass

from standins.serving import Answer, StandIn, build_parser, run


@dataclass(slots=True)
class Run:
    """One execution of a request.

    :param id: Request identifier from the body.
    :param started: Start time in seconds of the machine's boot-time clock.
    """

    id: str
    started: float


class EndpointStandIn(StandIn):
    """Run requests and record their executions.

    :param service: Name of the service.
    :param slots: Maximum number of concurrent requests.
    :param connections: Maximum number of open connections.
    """

    def __init__(self, service, slots, connections):
        super().__init__()
        self.service = service
        self.slots = slots
        self.connections = connections
        self.slowdown = 1.0
        self.slow_share = 1.0
        self._random = random.Random(service)
        self._is_draining = False
        self._lock = threading.Lock()
        self._running = 0
        self._max_running = 0
        self._runs = []

    def handle(self, method, path, body, environ):
        """Answer a status or counter query, a control call, or a request."""
        match path:
            case "/health":
                return Answer(
                    200,
                    {
                        "service": self.service,
                        "slots": self.slots,
                        "connections": self.connections,
                        "leaving": self._is_draining,
                    },
                )
            case "/leave":
                self._is_draining = json.loads(body)["leaving"]
                return Answer(200, {})
            case "/slowdown":
                call = json.loads(body)
                self.slowdown = call["factor"]
                self.slow_share = call.get("share", 1.0)
                return Answer(200, {})
            case "/counts":
                return self._get_counts()
        return self._run(json.loads(body))

    def _get_counts(self):
        with self._lock:
            runs = [asdict(item) for item in self._runs]
            return Answer(200, {"most_running": self._max_running, "runs": runs})

    def _run(self, request):
        with self._lock:
            self._running += 1
            self._max_running = max(self._max_running, self._running)
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
            self._runs.append(Run(request["id"], now))
            is_slow = self._random.random() < self.slow_share
        factor = self.slowdown if is_slow else 1.0
        time.sleep(request.get("service_ms", 0) * factor / 1000)
        with self._lock:
            self._running -= 1
        return Answer(200, {"id": request["id"], "service": self.service})


def main():
    """Run the endpoint."""
    parser = build_parser(__doc__)
    parser.add_argument("--service", required=True, help="name of the service")
    parser.add_argument("--slots", type=int, default=8, help="concurrent requests")
    parser.add_argument("--connections", type=int, default=64, help="open connections")
    options = parser.parse_args()
    app = EndpointStandIn(options.service, options.slots, options.connections)
    run(app, options.port, options.connections)


if __name__ == "__main__":
    main()
