"""Calls of callers while single reads of the store get no answer."""

import io

import pytest
from returns.result import Failure

from bergamotshore.entry.jobrows import JobRows
from bergamotshore.entry.submissions import SubmissionApp
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.utils.eventlog import EventLog
from tests.site.simulation import CONFIG_SECONDS, Simulation

DEADLINE_SECONDS = 3.0
SHORT_DEADLINE_SECONDS = 1.0
# Timeout of a call that sets none, in seconds.
DEFAULT_TIMEOUT_SECONDS = 2.0
STATE_PATH, COUNT_PATH = "/q/job", "/q/"


class PartlySilentStore:
    """Store that leaves the reads of the given numbers, counted from 0, unanswered."""

    def __init__(self, store, clock, silent_numbers):
        self._store = store
        self._clock = clock
        self._silent_numbers = silent_numbers
        self._number = -1
        self.transact = store.transact

    def read(self, *arguments, timeout=None, **options):
        """Read rows, or wait for the timeout of the call."""
        self._number += 1
        if self._number in self._silent_numbers:
            self._clock.advance(timeout or DEFAULT_TIMEOUT_SECONDS)
            return Failure(PlatformUnavailable("no answer"))
        return self._store.read(*arguments, **options)


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock)
    simulation.submit("job").unwrap()
    simulation.advance(1.0)
    return simulation


@pytest.fixture
def get(simulation, clock, registry):
    """Return a function that calls an entry; it returns the status."""

    def get(path, silent_numbers, deadline=DEADLINE_SECONDS):
        store = PartlySilentStore(simulation.store, clock, silent_numbers)
        app = SubmissionApp(
            JobRows(store, clock, clock.advance),
            simulation.entry_by_name["entry-0"].follower.state,
            CONFIG_SECONDS,
            clock,
            registry,
            EventLog(clock, emit=simulation.lines.append),
        )
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": path,
            "HTTP_HOST": "host.example",
            "HTTP_X_DEADLINE_MS": str(int(1000 * deadline)),
            "wsgi.input": io.BytesIO(),
        }
        statuses = []
        list(app(environ, lambda status, headers: statuses.append(status)))
        return int(statuses[0].split()[0])

    return get


# Guards against callers that are refused the state or the number of their jobs because
# one connection to the store has gone silent, while they have time for another read.
@pytest.mark.parametrize(
    ("path", "silent_numbers"),
    [(STATE_PATH, {0}), (STATE_PATH, {1}), (STATE_PATH, {0, 2}), (COUNT_PATH, {0})],
)
def test_caller_is_answered_although_a_read_gets_no_answer(
    get, clock, path, silent_numbers
):
    started_at = clock.now()
    assert get(path, silent_numbers) == 200
    assert clock.now() - started_at < DEADLINE_SECONDS


# Guards against a caller with little time who is refused because the first read of the
# store, on a connection that has gone silent, uses all of it.
@pytest.mark.parametrize("path", [STATE_PATH, COUNT_PATH])
def test_caller_with_little_time_is_answered_although_a_read_gets_no_answer(
    get, clock, path
):
    started_at = clock.now()
    assert get(path, {0}, SHORT_DEADLINE_SECONDS) == 200
    assert clock.now() - started_at < SHORT_DEADLINE_SECONDS


# Guards against an answer that comes after its caller has left.
@pytest.mark.parametrize("path", [STATE_PATH, COUNT_PATH])
def test_caller_is_refused_in_time_if_no_read_is_answered(get, clock, path):
    started_at = clock.now()
    assert get(path, range(100)) == 503
    assert clock.now() - started_at < DEADLINE_SECONDS
