"""Requests of callers around a planned stop of an entry, with real processes."""

import http.client
import json
import signal
import threading
import time

import pytest

from soak.site import HOST_NAME, PREFIX, SoakSite

CALLERS = 6
CALL_SECONDS = 6.0
PATIENT_SECONDS = 30
START_SECONDS = 30.0
LOAD_SECONDS = 1.5
# Longest delay of each part of an answer of the store: most requests are in flight for
# longer than the slack.
STORE_DELAY_SECONDS = 0.8
# A stop takes less than this.
STOP_SECONDS = 5.0
# The platform kills a process this long after SIGTERM.
GRACE_SECONDS = 6.0
# A request may be lost if it was sent less than this time before its connection ended:
# it may not have been read.
LOSS_SLACK_SECONDS = 0.2
HEADERS = {"Host": HOST_NAME, "Content-Type": "application/json"}
STEP = {"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 500}


class Caller(threading.Thread):
    """Submit and read jobs on one connection, as fast as they are answered.

    :param address: Host and port of the entry.
    :param name: Prefix of the jobs.
    """

    def __init__(self, address, name):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.answered = 0
        self.lost = []
        self._address = address
        self._name = name

    def run(self):
        number = 0
        while not self.is_stopped:
            connection = http.client.HTTPConnection(
                *self._address, timeout=CALL_SECONDS
            )
            try:
                connection.connect()
            except OSError:
                time.sleep(0.05)
                continue
            while not self.is_stopped and self._call(connection, number):
                number += 1
            connection.close()

    def _call(self, connection, number):
        """Send a request; return whether the connection can be used again."""
        job_id = f"{self._name}-{number // 2}"
        body = json.dumps({"spec": "text", "steps": [STEP]}) if number % 2 else None
        sent_at = time.monotonic()
        try:
            method = "POST" if body else "GET"
            connection.request(method, PREFIX + job_id, body, HEADERS)
            sent_at = time.monotonic()
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            waited = time.monotonic() - sent_at
            if waited > LOSS_SLACK_SECONDS:
                self.lost.append((job_id, waited, repr(error)))
            return False
        self.answered += 1
        return answer.headers.get("Connection", "").lower() != "close"


@pytest.fixture
def site(tmp_path):
    site = SoakSite(tmp_path, entries=2, nodes=1, seed=0)
    site.start()
    yield site
    site.close()


def wait_until_ready(address):
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        connection = http.client.HTTPConnection(*address, timeout=CALL_SECONDS)
        try:
            connection.request("GET", PREFIX + "absent", None, HEADERS)
            if connection.getresponse().status == http.HTTPStatus.GONE:
                return
        except (OSError, http.client.HTTPException):
            time.sleep(0.1)
        finally:
            connection.close()
    raise AssertionError(f"{address} is not ready")


def delay_store(site):
    for proxy in site.proxies:
        if proxy.target[1] == site.store.port:
            proxy.delay = STORE_DELAY_SECONDS
            proxy.set_mode("delay")


# Guards against a planned stop, or a reload of settings, that ends connections with
# requests which were read and not answered.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_no_request_is_lost_around_a_planned_stop_or_a_reload(site, number):
    address = site.callers_by_entry["entry-0"]
    wait_until_ready(address)
    delay_store(site)
    callers = [Caller(address, f"job-{index}") for index in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(LOAD_SECONDS)
    program = site.entry_by_name["entry-0"]
    if number == signal.SIGTERM:
        assert program.stop() == 0
    else:
        program.send_signal(number)
        time.sleep(STOP_SECONDS)
        assert program.process.poll() is None
    for caller in callers:
        caller.is_stopped = True
    for caller in callers:
        caller.join(2 * CALL_SECONDS)
    assert [caller.lost for caller in callers] == [[]] * CALLERS
    assert all(caller.answered for caller in callers)


def silence_store(site):
    for proxy in site.proxies:
        if proxy.target[1] == site.store.port:
            proxy.set_mode("silent")


# Guards against a request that an entry has read and never answers, since it waits for
# the store beyond the end of the drain, and against a stop that outlasts the kill.
def test_request_without_an_answer_of_the_store_is_answered_at_a_planned_stop(site):
    address = site.callers_by_entry["entry-0"]
    wait_until_ready(address)
    connection = http.client.HTTPConnection(*address, timeout=PATIENT_SECONDS)
    silence_store(site)
    headers = {**HEADERS, "X-Deadline-Ms": str(PATIENT_SECONDS * 1000)}
    body = json.dumps({"spec": "text", "steps": [STEP]})
    connection.request("POST", PREFIX + "job", body, headers)
    time.sleep(LOSS_SLACK_SECONDS)
    stopped_at = time.monotonic()
    assert site.entry_by_name["entry-0"].stop() == 0
    assert time.monotonic() - stopped_at < GRACE_SECONDS
    assert connection.getresponse().status == http.HTTPStatus.GATEWAY_TIMEOUT
