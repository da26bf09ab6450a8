"""Calls in flight while an entry shuts down, in virtual time."""

import io
import json
import threading
from types import SimpleNamespace

import pytest
from returns.result import Failure

from bergamotshore.core.work.site import SiteState
from bergamotshore.entry.jobrows import MIN_TIMEOUT_SECONDS, JobRows
from bergamotshore.entry.site import (
    BALANCER_REMOVAL_SECONDS,
    DRAIN_TIMEOUT_SECONDS,
    SiteEntryRole,
)
from bergamotshore.entry.submissions import SubmissionApp
from bergamotshore.exceptions import PlatformUnavailable, PlatformUncertain
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn
from tests.site.simulation import CONFIG_SECONDS, build_configuration

# The platform kills a process this long after SIGTERM.
GRACE_SECONDS = 6.0
DEFAULT_TIMEOUT_SECONDS = 1.5
PATIENT_CALLER_MS = 30_000
BODY = json.dumps({"spec": "text", "steps": [{"count": 1, "cpu": 1, "mem_mb": 1}]})


class SlowStore:
    """Store whose calls take some time; those that outlast their timeout fail.

    :param seconds: Duration of the next calls in order; the last one is repeated.
    """

    def __init__(self, clock, *seconds):
        self.seconds = list(seconds)
        self.on_call = lambda: None
        self._clock = clock
        self._rows = RowsStandIn()

    def transact(self, expects, puts, deletes, timeout=None):
        if self._is_timed_out(timeout):
            return Failure(PlatformUncertain("no answer"))
        return self._rows.transact(expects, puts, deletes)

    def read(self, *arguments, timeout=None, **options):
        if self._is_timed_out(timeout):
            return Failure(PlatformUnavailable("no answer"))
        return self._rows.read(*arguments, **options)

    def _is_timed_out(self, timeout):
        self.on_call()
        seconds = self.seconds.pop(0) if len(self.seconds) > 1 else self.seconds[0]
        timeout = DEFAULT_TIMEOUT_SECONDS if timeout is None else timeout
        self._clock.advance(min(seconds, timeout))
        return seconds > timeout


class CallerServer:
    """Server of callers that records when it ends its connections."""

    def __init__(self, clock):
        self.ended_at = None
        self._clock = clock

    def drain(self):
        """Do nothing."""

    def refuse_connections(self):
        """Do nothing."""

    def count_busy_connections(self):
        return 1

    def finish(self, timeout):
        self._clock.advance(max(0.0, timeout))
        self.ended_at = self._clock.now()

    def stop(self):
        """Do nothing."""


class StoppingEntry(SiteEntryRole):
    """Parts of an entry that take part in its shutdown.

    :param resign: Called to release the lease of the scheduling entry.
    """

    def __init__(self, clock, app, resign):
        self.clock = clock
        self.app = app
        self.settings = SimpleNamespace(name="entry-0")
        self.log = EventLog(clock, emit=[].append)
        self.dispatcher = SimpleNamespace(is_shutting_down=False)
        self.election = SimpleNamespace(resign=resign)
        self.loop = SimpleNamespace(stop=lambda: None)
        self.finished = threading.Event()
        self.caller_server = CallerServer(clock)
        self.ready_server = self.metrics_server = CallerServer(clock)

    def _pause(self, seconds):
        self.clock.advance(seconds)


@pytest.fixture
def build_app(clock, registry):
    def build(store):
        state = SiteState()
        state.accept(build_configuration())
        state.confirmed_at = clock.now()
        log = EventLog(clock, emit=[].append)
        rows = JobRows(store, clock, clock.advance)
        return SubmissionApp(rows, state, CONFIG_SECONDS, clock, registry, log)

    return build


def call(app, method):
    """Call an entry about a job; return the status."""
    statuses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": "/q/job",
        "HTTP_HOST": "host.example",
        "HTTP_X_DEADLINE_MS": str(PATIENT_CALLER_MS),
        "wsgi.input": io.BytesIO(BODY.encode() if method == "POST" else b""),
    }
    app(environ, lambda status, headers: statuses.append(int(status.split()[0])))
    return statuses[0]


# Guards against a request that a stopping entry has read and never answers, because the
# store is slow and the call goes on beyond the end of the drain.
@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize("seconds", [(1.45, 9.0), (0.0, 9.0), (9.0,)])
@pytest.mark.parametrize("remaining", [-0.1, 0.05, 0.5, 2.9, 5.0])
def test_call_during_a_drain_is_answered_before_its_end(
    clock, build_app, method, seconds, remaining
):
    app = build_app(SlowStore(clock, *seconds))
    began_at = clock.now()
    end = began_at + remaining
    app.finish_by(end)
    assert call(app, method) in (200, 410, 503, 504)
    assert clock.now() <= max(began_at, end) + MIN_TIMEOUT_SECONDS


# Guards against the same for a request that is in flight when the shutdown begins.
@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize("seconds", [(1.45, 9.0), (0.0, 9.0), (9.0,)])
def test_call_in_flight_at_the_signal_is_answered_before_the_end_of_the_drain(
    clock, build_app, method, seconds
):
    store = SlowStore(clock, *seconds)
    app = build_app(store)
    end = clock.now() + BALANCER_REMOVAL_SECONDS + DRAIN_TIMEOUT_SECONDS
    store.on_call = lambda: app.finish_by(end)
    assert call(app, method) in (200, 410, 503, 504)
    assert clock.now() <= end + MIN_TIMEOUT_SECONDS


# Guards against connections that are ended by the platform's kill, since the store
# didn't answer the resignation of a stopping entry.
@pytest.mark.parametrize("resign_seconds", [0.0, DEFAULT_TIMEOUT_SECONDS])
def test_drain_ends_after_the_last_answers_and_before_the_kill(
    clock, build_app, resign_seconds
):
    app = build_app(SlowStore(clock, 9.0))
    stopped_at = clock.now()
    entry = StoppingEntry(clock, app, lambda: clock.advance(resign_seconds))
    entry._stop()
    ended_at = entry.caller_server.ended_at
    assert ended_at < stopped_at + GRACE_SECONDS
    clock.instant = stopped_at
    assert call(app, "POST") == 504
    assert clock.now() < ended_at
