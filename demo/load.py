"""Callers that send requests through the balancer and keep what they are told."""

import http.client
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass

PAUSE_SECONDS = 0.08
CLIENT_TIMEOUT_SECONDS = 30.0
DEADLINE_MS = 3000
WRITE_SHARE = 0.2
SERVICE_MS = (5, 40)
RETRY_PAUSE_SECONDS = 0.3
TRIES = 4


@dataclass(frozen=True, slots=True)
class Sent:
    """One request as its caller saw it.

    :param id: Identifier in the body.
    :param repeatable: Whether it may run more than once.
    :param outcome: 'completed', 'not-run', 'unknown', 'refused' or 'cut-off'.
    :param seconds: Time until the answer.
    :param detail: Code of the problem.
    :param is_own_answer: False when the answer is to another request or not whole.
    """

    id: str
    repeatable: bool
    outcome: str
    seconds: float
    detail: str
    is_own_answer: bool


class Load:
    """Send requests from several threads until stopped.

    :param address: Balancer.
    :param site: ``Site``.
    :param callers: Number of threads.
    :param seed: Seed of the random choices.
    :param pause: Time between two requests of one caller, in seconds.
    """

    def __init__(self, address, site, callers, seed, pause=PAUSE_SECONDS):
        self.pause = pause
        self.prefix = "r"
        self.address = address
        self.site = site
        self.sent = []
        self._stopping = threading.Event()
        self._count = itertools.count(1)
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed + number),))
            for number in range(callers)
        ]

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending and wait for every answer."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, choices):
        connection = http.client.HTTPConnection(
            self.address, timeout=CLIENT_TIMEOUT_SECONDS
        )
        while not self._stopping.is_set():
            is_write = choices.random() < WRITE_SHARE
            self._send(connection, not is_write, choices.randint(*SERVICE_MS))
            time.sleep(self.pause)

    def _send(self, connection, repeatable, service_ms):
        """Send a request; one with a key is sent again until its fate is known."""
        request_id = f"{self.prefix}{next(self._count)}"
        for _ in range(TRIES):
            outcome = self._send_once(connection, request_id, repeatable, service_ms)
            if repeatable or outcome == "completed":
                return
            time.sleep(RETRY_PAUSE_SECONDS)

    def _send_once(self, connection, request_id, repeatable, service_ms):
        path = self.site.read_path if repeatable else self.site.write_path
        headers = {
            "Content-Type": "application/json",
            "X-Request-Deadline-Ms": str(DEADLINE_MS),
            "X-Request-Repeatable": "true" if repeatable else "false",
        }
        if not repeatable:
            headers["Idempotency-Key"] = request_id
        body = json.dumps({"id": request_id, "service_ms": service_ms})
        started = time.monotonic()
        try:
            connection.request(
                "POST", f"/services/{self.site.service}{path}", body, headers
            )
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return self._note(request_id, repeatable, "cut-off", started, repr(error))
        outcome = response.getheader("X-Request-Outcome", "")
        if response.getheader("X-Balancer"):
            return self._note(
                request_id, repeatable, "cut-off", started, content.decode()
            )
        if outcome == "completed":
            is_own = response.status == 200 and json.loads(content)["id"] == request_id
            return self._note(request_id, repeatable, outcome, started, "", is_own)
        code = json.loads(content).get("code", "")
        return self._note(request_id, repeatable, outcome or "refused", started, code)

    def _note(self, request_id, repeatable, outcome, started, detail, is_own=True):
        seconds = time.monotonic() - started
        self.sent.append(Sent(request_id, repeatable, outcome, seconds, detail, is_own))
        return outcome
