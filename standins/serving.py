"""HTTP server for simulated services, with fault injection."""

import argparse
import json
import threading
import time
from dataclasses import dataclass

from waitress import serve

BUFFER_BYTES = 1 << 28


@dataclass(slots=True)
class Fault:
    """Fault applied to calls.

    :param mode: 'none', 'down', 'slow', 'lost' (the call takes effect, the response is
        lost), 'partial' (half of the response body arrives).
    :param seconds: Delay of mode 'slow', in seconds.
    """

    mode: str = "none"
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP response.

    :param status: HTTP status.
    :param body: Bytes, or a value to encode as JSON.
    """

    status: int
    body: object

    def encode(self):
        """Return the body as bytes."""
        if isinstance(self.body, bytes):
            return self.body
        return json.dumps(self.body).encode()


class StandIn:
    """WSGI application that applies the injected fault to every call.

    Subclasses define ``handle(method, path, body, environ)``.
    """

    def __init__(self):
        self.fault = Fault()

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        if path == "/fault":
            self.fault = Fault(**json.loads(body))
            return _reply(start_response, Answer(200, {}))
        fault = self.fault
        if fault.mode == "down":
            return _reply(start_response, Answer(503, {"error": "down"}))
        if fault.mode == "slow":
            time.sleep(fault.seconds)
        answer = self.handle(method, path, body, environ)
        if fault.mode == "lost":
            return _reply(start_response, answer, sent=0)
        if fault.mode == "partial":
            return _reply(start_response, answer, sent=len(answer.encode()) // 2)
        return _reply(start_response, answer)

    def handle(self, method, path, body, environ):
        """Return the ``Answer`` to a call."""
        raise NotImplementedError


def _reply(start_response, answer, sent=None):
    body = answer.encode()
    length = len(body) if sent is None else len(body) + 1
    start_response(
        f"{answer.status} Answer",
        [("Content-Type", "application/json"), ("Content-Length", str(length))],
    )
    return [body if sent is None else body[:sent]]


def build_parser(description):
    """Return an argument parser with the port option common to all services."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True, help="port on loopback")
    return parser


def run(app, port, threads):
    """Serve an application on loopback until the process exits."""
    serve(
        app,
        host="127.0.0.1",
        port=port,
        threads=threads,
        connection_limit=4000,
        inbuf_overflow=BUFFER_BYTES,
        outbuf_overflow=BUFFER_BYTES,
        _quiet=True,
    )


def start_thread(function):
    """Run a function in a daemon thread."""
    threading.Thread(target=function, daemon=True).start()
