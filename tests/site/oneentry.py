"""Harness that runs the row follower and the caller API of an entry in virtual time.

The store is reached directly or through a peer. A test sets the faults of each route;
the code that follows the rows, relays calls and answers callers is the real one.
"""

import json
import math
import urllib.parse
from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.entry.jobrows import JobRows
from bergamotshore.entry.relay import PEER_ROUND_TRIP_SECONDS, RelayedClient
from bergamotshore.entry.sitefollower import SiteFollower
from bergamotshore.entry.submissions import SubmissionApp
from bergamotshore.platform import operator
from bergamotshore.platform.store import PlatformRowStore
from bergamotshore.ports.rows import Put, RowId
from soak.servers import build_page_response
from standins.site import RowsStandIn
from tests.site.simulation import CONFIG_SECONDS

CALL_TIMEOUT_SECONDS = 1.5
STEP_SECONDS = 0.05
ANSWER_SECONDS = 0.005
# Shorter times count as zero, since sums of steps have rounding errors.
TIME_TOLERANCE_SECONDS = 1e-6
HOST = "host.example"


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A period in which calls on a route fail; outside of it they are answered.

    :param start: Start, in seconds from the start of the run.
    :param end: End, in seconds from the start of the run.
    :param kind: 'silent' (no answer, also for calls already in flight), 'busy' (503) or
        'reset'.
    """

    start: float
    end: float
    kind: str


class StoreRoute:
    """The direct route to the store; ``call`` has the interface of ``HttpClient``."""

    def __init__(self, harness, faults):
        self._harness = harness
        self._faults = faults

    def _find_fault(self):
        now = self._harness.get_time()
        for period in self._faults:
            if period.start <= now < period.end:
                return period.kind
        return ""

    def call(self, method, path, body=b"", headers=None, timeout=None):
        """Make one call; advances the time until it is answered or times out."""
        started_at = self._harness.get_time()
        timeout = timeout or CALL_TIMEOUT_SECONDS
        self._harness.advance(self._harness.answer_seconds)
        fault = self._find_fault()
        if fault == "busy":
            return Success(HttpAnswer(503, "", b"{}"))
        if fault == "reset":
            return Failure(HttpFailure("reset", was_sent=True))
        call_path, query = parse_call(path)
        wait = int(query.get("wait_ms", 0)) / 1000
        while True:
            remaining = started_at + timeout - self._harness.get_time()
            if remaining <= TIME_TOLERANCE_SECONDS:
                return Failure(HttpFailure("timed out", was_sent=True))
            if self._find_fault() != "silent":
                outcome = self._harness.read(call_path, query)
                is_due = self._harness.get_time() - started_at >= wait
                if is_due or not isinstance(outcome, Success) or outcome.unwrap().rows:
                    status, answer = build_page_response(outcome)
                    return Success(HttpAnswer(status, "", json.dumps(answer).encode()))
            self._harness.advance(min(STEP_SECONDS, remaining))


class PeerRoute(StoreRoute):
    """The route through a peer; its timeout includes the round trip to the peer."""

    def has_peer(self):
        """Return True: the peer counts as connected even while it is unreachable."""
        return True

    def call(self, method, path, body, timeout):
        """Make one call; see ``StoreRoute.call``."""
        return super().call(
            method, path, body, timeout=timeout + PEER_ROUND_TRIP_SECONDS
        )


class EntryHarness:
    """An entry with its routes to the store, an operator and a caller.

    :param clock: ``FakeClock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param direct: ``FaultPeriod`` objects of the direct route.
    :param peer: ``FaultPeriod`` objects of the route through a peer.
    :param changes: Times at which the operator replaces the only queue by another, in
        seconds.
    :param answer_seconds: Response time of the store, in seconds.

    ``answers`` lists the time, status and configuration age of each call, ``stale`` the
    answers by a configuration that is older than allowed.
    """

    def __init__(
        self,
        clock,
        registry,
        log,
        direct=(),
        peer=(),
        changes=(),
        answer_seconds=ANSWER_SECONDS,
    ):
        self.clock = clock
        self.started_at = clock.now()
        self.answer_seconds = answer_seconds
        self.rows = RowsStandIn()
        self.answers = []
        self.stale = []
        self._changes = list(changes)
        self._written_at_by_version = {}
        self._write_configuration(1)
        client = RelayedClient(
            StoreRoute(self, direct),
            PeerRoute(self, peer),
            CALL_TIMEOUT_SECONDS,
            clock,
            registry,
            log,
        )
        store = PlatformRowStore(client, registry, log)
        self.follower = SiteFollower(store, clock, registry, log, CONFIG_SECONDS)
        self.app = SubmissionApp(
            JobRows(store, clock, self.advance),
            self.follower.state,
            CONFIG_SECONDS,
            clock,
            registry,
            log,
        )

    def get_time(self):
        """Return seconds since the start."""
        return self.clock.now() - self.started_at

    @property
    def refused(self):
        """Return the calls answered with 503 although a configuration was loaded."""
        return [
            answer
            for answer in self.answers
            if answer[1] == 503 and math.isfinite(answer[2])
        ]

    def _write_configuration(self, version):
        route = {
            "name": f"queue-{version}",
            "host": HOST,
            "prefix": f"/{version}/",
            "service": "books",
        }
        config = {"version": version, "routes": [route]}
        put = Put(
            RowId(operator.TABLE, "", operator.CONFIG_KEY), json.dumps(config).encode()
        )
        self.rows.transact([], [put], [])
        self._written_at_by_version[version] = self.get_time()

    def read(self, call_path, query):
        """Return the result of a read or feed call to the store."""
        if call_path == "/rows-feed":
            return self.rows.follow(query["table"], int(query["after"]), 0)
        return self.rows.read(query["table"], query.get("part", ""))

    def advance(self, seconds):
        """Advance the time in steps, with a call and a check of its answer at each."""
        end_at = self.get_time() + seconds
        while (remaining := end_at - self.get_time()) > TIME_TOLERANCE_SECONDS:
            self._advance_step(min(STEP_SECONDS, remaining))

    def _advance_step(self, seconds):
        self.clock.advance(seconds)
        while self._changes and self._changes[0] <= self.get_time():
            self._changes.pop(0)
            self._write_configuration(max(self._written_at_by_version) + 1)
        self._check_answer()

    def _check_answer(self):
        """Call a queue that exists in one version only, and record a stale answer."""
        now = self.get_time()
        state = self.follower.state
        version = state.configuration.version
        status = self._call(f"/{version}/x")
        self.answers.append((now, status, state.get_age(self.clock.now())))
        required_version = max(
            (
                number
                for number, written_at in self._written_at_by_version.items()
                if written_at < now - CONFIG_SECONDS
            ),
            default=0,
        )
        if status != 503 and version < required_version:
            self.stale.append((round(now, 2), status, version, required_version))

    def _call(self, path):
        statuses = []
        environ = {
            # An unsupported method: the call ends once its queue has been selected.
            "REQUEST_METHOD": "PUT",
            "PATH_INFO": path,
            "HTTP_HOST": HOST,
            "wsgi.input": _EmptyBody(),
        }
        b"".join(self.app(environ, lambda status, headers: statuses.append(status)))
        return int(statuses[0].split()[0])

    def run(self, seconds):
        """Run the follower of the operator's rows for a time."""
        self.follower.run(TimedEvent(self, seconds))


class TimedEvent:
    """An event that is set at a given time; waiting for it advances the time."""

    def __init__(self, harness, seconds):
        self._harness = harness
        self._set_at = seconds

    def is_set(self):
        """Return whether the time has been reached."""
        return self._harness.get_time() >= self._set_at

    def wait(self, seconds):
        """Advance the time by the given number of seconds."""
        self._harness.advance(seconds)


class _EmptyBody:
    @staticmethod
    def read():
        return b""


def parse_call(path):
    """Return the path of a call and its query parameters."""
    call_path, _, query = path.partition("?")
    return call_path, dict(urllib.parse.parse_qsl(query))
