"""Small HTTP/1.1 JSON server and client on loopback for the stand-ins."""

import http.client
import json
import os
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"


class Server(ThreadingHTTPServer):
    """Threaded server that passes each call to a function.

    :param port: Port, 0 for a free one.
    :param answer: Function of method, path, headers and body that returns status and
        JSON value, or None to close the connection without an answer.
    """

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, port, answer):
        self.answer = answer
        super().__init__((HOST, port), Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def port(self):
        """Return the port."""
        return self.server_address[1]

    def handle_error(self, request, client_address):
        """Ignore connections that their client has broken off."""


class Handler(BaseHTTPRequestHandler):
    """Handler of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        outcome = self.server.answer(self.command, self.path, self.headers, body)
        if outcome is None:
            self.close_connection = True
            return
        status, value = outcome
        content = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()

    do_GET = do_PUT = do_POST = do_DELETE = _handle

    def log_message(self, format, *args):
        """Write no log."""


def call(address, method, path, value=None, headers=None, timeout=3.0):
    """Make one call on a new connection.

    :returns: Pair of status and JSON value; (0, None) without an answer.
    """
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        body = b"" if value is None else json.dumps(value).encode()
        content_type = {"Content-Type": "application/json"}
        connection.request(method, path, body, {**content_type, **(headers or {})})
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, json.loads(content) if content else None
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


def find_ports(count):
    """Return free ports of loopback outside the range of outgoing connections."""
    ports, port = [], 20_000 + os.getpid() % 120 * 100
    while len(ports) < count:
        port += 1
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
    return ports
