"""Simulated load balancer: round robin over the entries that are ready."""

import http.client
import itertools
import threading
import time

from standins.serving import Answer, build_parser, run, start_thread

CHECK_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 60.0
THREADS = 256
HOP_BY_HOP_HEADERS = {"connection", "keep-alive", "transfer-encoding", "date", "server"}


class BalancerStandIn:
    """Forward each call to the next ready entry, without retries.

    :param addresses: Addresses at which the entries accept callers' requests.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self.ready = []
        self._round_robin = itertools.count()
        self._thread_local = threading.local()
        start_thread(self._check_readiness)

    def __call__(self, environ, start_response):
        """Forward one HTTP request."""
        ready = self.ready
        if environ["PATH_INFO"] == "/balancer":
            return _reply(start_response, 200, [], str(len(ready)).encode())
        if not ready:
            return _fail(start_response, "no entry is ready")
        address = ready[next(self._round_robin) % len(ready)]
        try:
            return self._forward(address, environ, start_response)
        except (OSError, http.client.HTTPException) as error:
            self._get_connections().pop(address, None)
            return _fail(start_response, repr(error))

    def _forward(self, address, environ, start_response):
        connection = self._get_connections().get(address)
        if connection is None:
            connection = http.client.HTTPConnection(
                address, timeout=CALL_TIMEOUT_SECONDS
            )
            self._get_connections()[address] = connection
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        path = environ["PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        connection.request(
            environ["REQUEST_METHOD"], path, body=body, headers=_build_headers(environ)
        )
        response = connection.getresponse()
        content = response.read()
        headers = [
            item
            for item in response.getheaders()
            if item[0].lower() not in HOP_BY_HOP_HEADERS
        ]
        return _reply(start_response, response.status, headers, content)

    def _get_connections(self):
        if not hasattr(self._thread_local, "by_address"):
            self._thread_local.by_address = {}
        return self._thread_local.by_address

    def _check_readiness(self):
        while True:
            self.ready = [item for item in self.addresses if _is_ready(item)]
            time.sleep(CHECK_SECONDS)


def _is_ready(address):
    connection = http.client.HTTPConnection(address, timeout=CHECK_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def _build_headers(environ):
    headers = {
        name.removeprefix("HTTP_").replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_") and name != "HTTP_CONNECTION"
    }
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _reply(start_response, status, headers, body):
    start_response(f"{status} Answer", headers)
    return [body]


def _fail(start_response, detail):
    answer = Answer(502, {"error": detail})
    return _reply(start_response, 502, [("X-Balancer", "failed")], answer.encode())


def main():
    """Run the balancer."""
    parser = build_parser(__doc__)
    parser.add_argument(
        "--entries", required=True, help="addresses, separated by commas"
    )
    options = parser.parse_args()
    run(BalancerStandIn(options.entries.split(",")), options.port, THREADS)


if __name__ == "__main__":
    main()
