"""One entry that follows the operator's rows, in virtual time, while callers ask.

The store is reached directly or by way of a peer. What becomes of calls on each way is
given by a test; the code that follows, relays and answers is the real one.
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
from soak.servers import answer_page
from standins.site import RowsStandIn
from tests.site.simulation import CONFIG_SECONDS

CALL_SECONDS = 1.5
STEP_SECONDS = 0.05
ANSWER_SECONDS = 0.005
# Less than this is no time at all, as the sums of steps are rounded.
LEAST_SECONDS = 1e-6
HOST = "host.example"


@dataclass(frozen=True, slots=True)
class Spell:
    """What becomes of calls on a way for a while; they are answered otherwise.

    :param begin: Begin, in seconds from the start.
    :param end: End.
    :param kind: 'silent' (no answer, also to what waits at its begin), 'busy' (503) or
        'reset'.
    """

    begin: float
    end: float
    kind: str


class Way:
    """The direct way to the store; ``call`` is that of an HTTP client."""

    def __init__(self, entry, spells):
        self._entry = entry
        self._spells = spells

    def _find_trouble(self):
        now = self._entry.get_time()
        for spell in self._spells:
            if spell.begin <= now < spell.end:
                return spell.kind
        return ""

    def call(self, method, path, body=b"", headers=None, timeout=None):
        """Make one call; time goes on until it is answered or given up."""
        began = self._entry.get_time()
        timeout = timeout or CALL_SECONDS
        self._entry.pass_time(self._entry.answer_seconds)
        trouble = self._find_trouble()
        if trouble == "busy":
            return Success(HttpAnswer(503, "", b"{}"))
        if trouble == "reset":
            return Failure(HttpFailure("reset", was_sent=True))
        name, query = parse_call(path)
        wait = int(query.get("wait_ms", 0)) / 1000
        while True:
            left = began + timeout - self._entry.get_time()
            if left <= LEAST_SECONDS:
                return Failure(HttpFailure("timed out", was_sent=True))
            if self._find_trouble() != "silent":
                outcome = self._entry.read(name, query)
                is_due = self._entry.get_time() - began >= wait
                if is_due or not isinstance(outcome, Success) or outcome.unwrap().rows:
                    status, answer = answer_page(outcome)
                    return Success(HttpAnswer(status, "", json.dumps(answer).encode()))
            self._entry.pass_time(min(STEP_SECONDS, left))


class PeerWay(Way):
    """The way through a peer, which gives up a moment later than the peer would."""

    def has_peer(self):
        """Tell that a peer is taken to be there, gone or not."""
        return True

    def call(self, method, path, body, timeout):
        """Make one call; see ``Way``."""
        return super().call(
            method, path, body, timeout=timeout + PEER_ROUND_TRIP_SECONDS
        )


class OneEntry:
    """An entry with its ways, an operator and a caller.

    :param clock: ``FakeClock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param direct: ``Spell`` of the direct way.
    :param peer: ``Spell`` of the way through a peer.
    :param changes: Times of the operator's changes, each of which swaps one queue.
    :param answer_seconds: Time that the store takes for an answer.

    ``stale`` lists answers by an older configuration than is allowed, ``answers`` the
    time, status and age of each call.
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
        self.began = clock.now()
        self.answer_seconds = answer_seconds
        self.rows = RowsStandIn()
        self.answers = []
        self.stale = []
        self._changes = list(changes)
        self._acked_at_by_version = {}
        self._declare(1)
        client = RelayedClient(
            Way(self, direct), PeerWay(self, peer), CALL_SECONDS, clock, registry, log
        )
        store = PlatformRowStore(client)
        self.follower = SiteFollower(store, clock, registry, log, CONFIG_SECONDS)
        self.app = SubmissionApp(
            JobRows(store, clock, self.pass_time),
            self.follower.state,
            CONFIG_SECONDS,
            clock,
            registry,
            log,
        )

    def get_time(self):
        """Return seconds since the start."""
        return self.clock.now() - self.began

    @property
    def refused(self):
        """Return the calls that were refused although a configuration was known."""
        return [a for a in self.answers if a[1] == 503 and math.isfinite(a[2])]

    def _declare(self, version):
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
        self._acked_at_by_version[version] = self.get_time()

    def read(self, name, query):
        """Read the store's rows as a call asks."""
        if name == "/rows-feed":
            return self.rows.follow(query["table"], int(query["after"]), 0)
        return self.rows.read(query["table"], query.get("part", ""))

    def pass_time(self, seconds):
        """Let time pass while a caller asks."""
        until = self.get_time() + seconds
        while (left := until - self.get_time()) > LEAST_SECONDS:
            self._advance(min(STEP_SECONDS, left))

    def _advance(self, seconds):
        self.clock.advance(seconds)
        while self._changes and self._changes[0] <= self.get_time():
            self._changes.pop(0)
            self._declare(max(self._acked_at_by_version) + 1)
        self._ask()

    def _ask(self):
        """Ask for a queue that only one version has, and judge the answer."""
        now = self.get_time()
        state = self.follower.state
        version = state.configuration.version
        status = self._call(f"/{version}/x")
        self.answers.append((now, status, state.get_age(self.clock.now())))
        newest = max(
            (
                v
                for v, at in self._acked_at_by_version.items()
                if at < now - CONFIG_SECONDS
            ),
            default=0,
        )
        if status != 503 and version < newest:
            self.stale.append((round(now, 2), status, version, newest))

    def _call(self, path):
        seen = []
        environ = {
            # Such a call ends with the choice of the queue.
            "REQUEST_METHOD": "PUT",
            "PATH_INFO": path,
            "HTTP_HOST": HOST,
            "wsgi.input": _Empty(),
        }
        b"".join(self.app(environ, lambda status, headers: seen.append(status)))
        return int(seen[0].split()[0])

    def run(self, seconds):
        """Follow the operator's rows as an entry does."""
        self.follower.run(Until(self, seconds))


class Until:
    """An event that is set at a time; waiting for it lets time pass."""

    def __init__(self, entry, seconds):
        self._entry = entry
        self._seconds = seconds

    def is_set(self):
        """Tell whether the time has come."""
        return self._entry.get_time() >= self._seconds

    def wait(self, seconds):
        """Wait no longer than the given time."""
        self._entry.pass_time(seconds)


class _Empty:
    @staticmethod
    def read():
        return b""


def parse_call(path):
    """Return the path of a call and its query."""
    name, _, query = path.partition("?")
    return name, dict(urllib.parse.parse_qsl(query))
