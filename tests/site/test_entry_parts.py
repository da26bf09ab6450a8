"""Components of an entry: operator rows, calls of callers, relayed store calls."""

import io
import json

import pytest
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.model import JobSpec, Step, TaskRef
from bergamotshore.core.work.site import Queue, SiteConfiguration, SiteState, Wave
from bergamotshore.entry.jobrows import LATENCY_WINDOW_SECONDS, JobRows, get_part
from bergamotshore.entry.jobwriter import JobWriter
from bergamotshore.entry.relay import RelayedClient
from bergamotshore.entry.sitefollower import SiteFollower
from bergamotshore.entry.submissions import ReadinessApp, SubmissionApp
from bergamotshore.entry.takeover import write_fences
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.ports.rows import Put, RowId
from bergamotshore.ports.runner import WorkerIncarnation
from bergamotshore.utils.eventlog import EventLog
from standins.site import SERVICE, RowsStandIn
from tests.site.simulation import CONFIG_SECONDS, build_configuration

JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 64}]}


@pytest.fixture
def store():
    return RowsStandIn()


@pytest.fixture
def log_lines():
    return []


@pytest.fixture
def log(clock, log_lines):
    return EventLog(clock, emit=log_lines.append)


@pytest.fixture
def follower(store, clock, registry, log):
    return SiteFollower(store, clock, registry, log, CONFIG_SECONDS)


def put_operator_row(store, key, value):
    row = Put(RowId("op", "", key), json.dumps(value).encode())
    return store.transact([], [row], [])


def build_config(version, queues=("a",)):
    routes = [
        {"name": name, "host": "h", "prefix": f"/{name}/", "service": "books"}
        for name in queues
    ]
    services = [{"name": "books", "admission_check": False}]
    return {"version": version, "routes": routes, "services": services}


def test_a_newer_configuration_is_applied_and_an_older_one_is_ignored(store, follower):
    put_operator_row(store, "config", build_config(5))
    follower.step()
    assert follower.state.configuration.version == 5
    put_operator_row(store, "config", build_config(4, ("old",)))
    follower.step()
    assert follower.state.configuration.version == 5
    put_operator_row(store, "config", build_config(9, ("a", "b")))
    follower.step()
    assert follower.state.configuration.get_queue("b") is not None


def test_an_invalid_operator_row_is_logged_and_changes_nothing(
    store, follower, log_lines
):
    put_operator_row(store, "config", build_config(5))
    put_operator_row(store, "wave/1", {"wave": "x"})
    follower.step()
    put_operator_row(store, "config", {"version": "none"})
    follower.step()
    assert follower.state.configuration.version == 5
    assert sum("operator-row-invalid" in log_line for log_line in log_lines) == 2


def test_data_centres_are_closed_and_reopened_even_when_the_feed_history_is_lost(
    store, follower
):
    put_operator_row(store, "evacuate/zone-a", {})
    follower.step()
    assert follower.state.closed_zones == {"zone-a"}
    store.transact([], [], [RowId("op", "", "evacuate/zone-a")])
    put_operator_row(store, "evacuate/zone-b", {})
    store.compact()
    follower.step()
    follower.step()
    assert follower.state.closed_zones == {"zone-b"}


def test_waves_are_added_and_withdrawn_even_when_the_feed_history_is_lost(
    store, follower
):
    wave = {"machines": ["m-1"], "duration_s": 20, "max_count": 2}
    for number in (1, 2, 3):
        put_operator_row(store, f"wave/{number}", {"wave": number, **wave})
    follower.step()
    assert follower.state.wave_by_number[2] == Wave(2, ("m-1",), 20.0, 2)
    store.transact([], [], [RowId("op", "", "wave/1")])
    follower.step()
    assert set(follower.state.wave_by_number) == {2, 3}
    store.transact([], [], [RowId("op", "", "wave/2")])
    store.compact()
    follower.step()
    follower.step()
    assert set(follower.state.wave_by_number) == {3}


def test_a_store_outage_keeps_the_loaded_configuration(store, follower):
    put_operator_row(store, "config", build_config(5))
    follower.step()
    store.is_down = True
    assert not follower.step()
    assert follower.state.is_loaded


def test_the_longest_matching_prefix_selects_the_queue():
    queues = (Queue("a", "h", "/x/", "s"), Queue("b", "h", "/x/y/", "s"))
    configuration = SiteConfiguration(1, queues, {})
    assert configuration.find_queue("h", "/x/y/1").name == "b"
    assert configuration.find_queue("h", "/x/1").name == "a"
    assert configuration.find_queue("g", "/x/1") is None


@pytest.fixture
def site(clock):
    """Return a state with one queue whose configuration was confirmed just now."""
    configuration = SiteConfiguration(1, (Queue("q", "h", "/q/", "books"),), {})
    return SiteState(configuration, confirmed_at=clock.now())


@pytest.fixture
def app(store, site, clock, registry, log):
    rows = JobRows(store, clock, clock.advance)
    return SubmissionApp(rows, site, CONFIG_SECONDS, clock, registry, log)


def call(app, method, path, body=None, host="h"):
    response = {}

    def start_response(status, headers):
        response["status"] = int(status.split()[0])
        response["headers"] = dict(headers)

    payload = json.dumps(body).encode() if body is not None else b""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": host,
        "HTTP_X_DEADLINE_MS": "3000",
        "wsgi.input": io.BytesIO(payload),
    }
    response_body = b"".join(app(environ, start_response))
    return response["status"], response["headers"], json.loads(response_body)


def test_callers_can_submit_read_count_and_cancel_jobs(app):
    assert call(app, "GET", "/q/j1")[0] == 410
    assert call(app, "POST", "/q/j1", JOB)[0] == 200
    assert call(app, "POST", "/q/j1", JOB)[0] == 200
    assert call(app, "GET", "/q/j1")[2] == {"state": "pending"}
    # Nobody schedules, so no number is published.
    assert call(app, "GET", "/q/")[2] == {"queued_jobs": 1}
    assert call(app, "DELETE", "/q/j1")[0] == 200
    assert call(app, "GET", "/q/j1")[2] == {"state": "canceled"}
    assert call(app, "DELETE", "/q/j2")[0] == 410
    assert call(app, "POST", "/other/j1", JOB)[0] == 404
    assert call(app, "POST", "/q/j1", JOB, host="other")[0] == 404


@pytest.mark.parametrize(
    ("method", "path", "kind"),
    [
        ("POST", "/q/j1", "job-accepted"),
        ("GET", "/q/j1", "state-told"),
        ("DELETE", "/q/j0", "job-cancelled"),
        ("GET", "/q/", "count-told"),
        ("GET", "/gone/", "queue-unknown"),
    ],
)
def test_each_answer_is_logged_with_the_version_and_age_of_the_configuration(
    app, clock, log_lines, method, path, kind
):
    call(app, "POST", "/q/j0", JOB)
    # The first count also logs where the numbers come from.
    call(app, "GET", "/q/")
    log_lines.clear()
    clock.advance(1.25)
    call(app, method, path, JOB if method == "POST" else None)
    (log_line,) = log_lines
    assert f"event={kind} " in log_line
    assert "config=1 age=1.250" in log_line


@pytest.mark.parametrize(
    "body",
    [
        None,
        {},
        {"steps": []},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": 1, "cpu": -1}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": "two"}]},
        {"steps": [{"count": 1}], "spec": "x" * 4001},
    ],
)
def test_an_invalid_submission_is_rejected_without_a_write(app, store, body):
    assert call(app, "POST", "/q/j1", body)[0] == 400
    assert store.row_by_id == {}


def test_a_submission_during_a_store_outage_is_refused_with_a_retry_after_header(
    app, store
):
    store.is_down = True
    status, headers, _ = call(app, "POST", "/q/j1", JOB)
    assert status == 503
    assert int(headers["Retry-After"]) >= 1
    store.is_down = False
    assert store.row_by_id == {}


def test_an_unknown_write_outcome_is_not_reported_as_a_refusal(app, store):
    store.faults = ["late"] + ["down"] * 50
    assert call(app, "POST", "/q/j1", JOB)[0] == 504


def test_without_a_configuration_callers_and_readiness_probes_get_503(
    store, clock, registry, log
):
    rows = JobRows(store, clock, clock.advance)
    app = SubmissionApp(rows, SiteState(), CONFIG_SECONDS, clock, registry, log)
    assert call(app, "POST", "/q/j1", JOB)[0] == 503
    assert call(ReadinessApp(lambda: False), "GET", "/readyz")[0] == 503


class FakeStoreClient:
    """A store or peer that returns given outcomes in order and repeats the last one."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = 0

    def call(self, method, path, body=b"", headers=None, timeout=None):
        self.calls += 1
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]

    def has_peer(self):
        return True


class SlowFirstCallClient(FakeStoreClient):
    """A store whose first call returns only after a callback has run."""

    def __init__(self, during_first_call, *outcomes):
        super().__init__(*outcomes)
        self.during_first_call = during_first_call

    def call(self, method, path, body=b"", headers=None, timeout=None):
        outcome = super().call(method, path, body, headers, timeout)
        if self.calls == 1:
            self.during_first_call()
        return outcome


OK = Success(HttpAnswer(200, "", b"{}"))
REJECTED = Success(HttpAnswer(503, "", b""))
CONNECTION_RESET = Failure(HttpFailure("reset", was_sent=True))
CONNECTION_REFUSED = Failure(HttpFailure("refused", was_sent=False))


def build_client(direct, peer, clock, registry, log):
    return RelayedClient(direct, peer, 1.0, clock, registry, log)


@pytest.mark.parametrize(
    ("failure", "method", "is_relayed"),
    [
        (REJECTED, "POST", True),
        (CONNECTION_REFUSED, "POST", True),
        (CONNECTION_RESET, "GET", True),
        (CONNECTION_RESET, "POST", False),
    ],
)
def test_a_call_is_relayed_only_if_that_can_not_apply_it_twice(
    failure, method, is_relayed, clock, registry, log
):
    direct, peer = FakeStoreClient(failure), FakeStoreClient(OK)
    outcome = build_client(direct, peer, clock, registry, log).call(method, "/x")
    assert outcome == (OK if is_relayed else failure)
    assert peer.calls == int(is_relayed)


def test_calls_are_relayed_until_the_direct_backoff_ends(clock, registry, log):
    direct, peer = FakeStoreClient(REJECTED, OK), FakeStoreClient(OK)
    client = build_client(direct, peer, clock, registry, log)
    for _ in range(3):
        assert client.call("GET", "/x") == OK
    assert (direct.calls, peer.calls) == (1, 3)
    clock.advance(1.1)
    client.call("GET", "/x")
    assert (direct.calls, peer.calls) == (2, 3)


@pytest.mark.parametrize(
    ("method", "timeout", "max_delay"),
    [("GET", 3.5, 0.0), ("POST", 1.0, 0.0), ("GET", 1.0, 0.8)],
)
def test_an_unresponsive_store_delays_calls_by_a_short_probe_at_most(
    clock, registry, log, method, timeout, max_delay
):
    """Only short reads probe whether the store is back, with a short timeout."""

    def time_out(method, path, body, headers, timeout):
        clock.advance(timeout)
        return CONNECTION_RESET

    direct, peer = FakeStoreClient(CONNECTION_RESET), FakeStoreClient(OK)
    direct.call = time_out
    client = build_client(direct, peer, clock, registry, log)
    client.call("GET", "/x", timeout=1.0)
    for _ in range(4):
        clock.advance(1.5)
        started_at = clock.now()
        assert client.call(method, "/x", timeout=timeout) == OK
        assert clock.now() - started_at == pytest.approx(max_delay)


SILENT_CONNECTION = Failure(HttpFailure("timed out", was_sent=True, was_reused=True))
NEW_CONNECTION_TIMED_OUT = Failure(HttpFailure("timed out", was_sent=False))


def build_timed_client(clock, *outcomes):
    """Return a client of which each call without an answer takes its whole timeout."""
    client = FakeStoreClient(*outcomes)
    answer = client.call

    def call(method, path, *arguments):
        outcome = answer(method, path)
        if isinstance(outcome, Failure):
            clock.advance(arguments[-1])
        return outcome

    client.call = call
    return client


# Guards against refused callers while the store answers: a connection to it has gone
# silent, and the next call goes to a peer, the connection to which is silent as well.
def test_read_after_a_silent_connection_reaches_the_store_directly(
    clock, registry, log
):
    direct = build_timed_client(clock, SILENT_CONNECTION, OK)
    peer = build_timed_client(clock, NEW_CONNECTION_TIMED_OUT)
    client = build_client(direct, peer, clock, registry, log)
    assert client.call("GET", "/x", timeout=1.0, may_probe=False) == SILENT_CONNECTION
    started_at = clock.now()
    assert client.call("GET", "/x", timeout=0.8) == OK
    assert clock.now() == started_at


# Guards against a job that is not accepted because its write goes to a peer to which
# the connection is silent, though the store answers on new ones.
def test_write_after_a_silent_connection_reaches_the_store_directly(
    clock, registry, log
):
    direct = build_timed_client(clock, SILENT_CONNECTION, OK)
    peer = build_timed_client(clock, NEW_CONNECTION_TIMED_OUT)
    client = build_client(direct, peer, clock, registry, log)
    client.call("POST", "/x", timeout=1.0)
    assert client.call("POST", "/x", timeout=1.0) == OK


# Guards against callers who are refused at once (`store-away`) because several
# connections had gone silent, though the store answers on new ones.
def test_store_is_not_taken_for_away_because_connections_are_silent(
    clock, registry, log
):
    direct = build_timed_client(clock, SILENT_CONNECTION)
    peer = build_timed_client(clock, NEW_CONNECTION_TIMED_OUT)
    client = build_client(direct, peer, clock, registry, log)
    for _ in range(4):
        client.call("POST", "/x", timeout=1.0)
    assert client.is_reachable


# Guards against an entry that the store rejects, which tries it in vain for longer
# because its connections had been open before.
def test_read_is_answered_by_a_peer_after_a_silent_connection_to_a_silent_store(
    clock, registry, log
):
    direct = build_timed_client(clock, SILENT_CONNECTION, NEW_CONNECTION_TIMED_OUT)
    peer = build_timed_client(clock, OK)
    client = build_client(direct, peer, clock, registry, log)
    client.call("GET", "/x", timeout=1.0, may_probe=False)
    started_at = clock.now()
    for _ in range(3):
        assert client.call("GET", "/x", timeout=0.8) == OK
    assert clock.now() - started_at < 0.8


def test_a_late_failure_of_an_old_call_does_not_mark_a_recovered_store_as_lost(
    clock, registry, log
):
    """A call sent during an outage fails only after a later call was answered."""

    def call_later():
        clock.advance(1.0)
        assert client.call("GET", "/later") == OK

    direct, peer = (
        SlowFirstCallClient(call_later, CONNECTION_RESET, OK),
        FakeStoreClient(OK),
    )
    client = build_client(direct, peer, clock, registry, log)
    assert client.call("POST", "/x") == CONNECTION_RESET
    assert client.is_reachable
    client.call("GET", "/x")
    assert (direct.calls, peer.calls) == (3, 0)


def test_calls_are_not_relayed_repeatedly_while_the_store_rejects_all_entries(
    clock, registry, log
):
    direct, peer = FakeStoreClient(REJECTED), FakeStoreClient(REJECTED)
    client = build_client(direct, peer, clock, registry, log)
    for _ in range(5):
        assert client.call("GET", "/x") == REJECTED
    assert peer.calls == 1


def test_a_submission_during_a_known_outage_is_refused_without_a_store_call(
    store, site, clock, registry, log
):
    direct = FakeStoreClient(CONNECTION_RESET)
    client = build_client(
        direct, FakeStoreClient(CONNECTION_RESET), clock, registry, log
    )
    assert client.is_reachable
    for _ in range(2):
        client.call("POST", "/x")
    assert not client.is_reachable
    rows = JobRows(store, clock, clock.advance)
    app = SubmissionApp(
        rows,
        site,
        CONFIG_SECONDS,
        clock,
        registry,
        log,
        lambda: client.is_reachable,
    )
    started_at = clock.now()
    status, headers, _ = call(app, "POST", "/q/j1", JOB)
    assert (status, clock.now(), store.calls) == (503, started_at, 0)
    assert int(headers["Retry-After"]) >= 1
    direct.outcomes = [OK]
    clock.advance(2.0)
    client.call("GET", "/x")
    assert client.is_reachable


class SlowStore(RowsStandIn):
    """A store whose transactions take a given time; shorter timeouts expire."""

    def __init__(self, clock, seconds):
        super().__init__()
        self.clock = clock
        self.seconds = seconds

    def transact(self, expects, puts, deletes, timeout=None):
        if timeout is not None and timeout < self.seconds:
            self.clock.advance(timeout)
            self.faults = ["late"]
        else:
            self.clock.advance(self.seconds)
        return super().transact(expects, puts, deletes, timeout)


def test_a_submission_that_a_slow_store_can_not_finish_in_time_is_refused_at_once(
    clock,
):
    """The answer states that nothing was written, so the caller may safely retry."""
    store = SlowStore(clock, 0.6)
    rows = JobRows(store, clock, clock.advance)
    spec = JobSpec("queue", "job1", "books", "payload", (Step(tasks=1),))
    assert rows.accept(spec, clock.now() + 2.4) == Success(True)
    late_spec = JobSpec("queue", "job2", "books", "payload", (Step(tasks=1),))
    calls, started_at = store.calls, clock.now()
    outcome = rows.accept(late_spec, clock.now() + 0.4)
    assert isinstance(outcome.failure(), PlatformUnavailable)
    assert (store.calls, clock.now()) == (calls, started_at)
    assert rows.accept(late_spec, clock.now() + 2.4) == Success(True)


def test_submissions_are_accepted_again_soon_after_a_slow_store_recovers(clock):
    store = SlowStore(clock, 1.0)
    rows = JobRows(store, clock, clock.advance)
    spec = JobSpec("queue", "job1", "books", "payload", (Step(tasks=1),))
    rows.accept(spec, clock.now() + 2.4)
    store.seconds = 0.01
    clock.advance(LATENCY_WINDOW_SECONDS)
    late_spec = JobSpec("queue", "job2", "books", "payload", (Step(tasks=1),))
    assert rows.accept(late_spec, clock.now() + 0.4) == Success(True)


def test_a_write_of_an_ended_term_changes_nothing(store, clock):
    """A batch built before a successor's term began reaches the store after that."""

    def run(function, values):
        return [function(value) for value in values]

    cluster = ClusterState(build_configuration().get_queue)
    writer = JobWriter(cluster, 1, clock, ErrorCollector())
    for part, version in write_fences(store, 1, run).items():
        writer.set_fence(part, version)
    progress = cluster.add_job(JobSpec("queue", "job", SERVICE, "p", (Step(tasks=1),)))
    progress.open_due_occurrences(0.0)
    worker = cluster.get_worker("node-0", "zone-0")
    worker.incarnation = WorkerIncarnation("worker-0", 1)
    cluster.claim(TaskRef(progress.key, 0, 0, 0), worker, 0.0)
    batch = writer.build_batch(get_part(progress.key))
    write_fences(store, 2, run)
    rows = dict(store.row_by_id)
    outcome = store.transact(batch.expects, batch.puts, batch.deletes)
    assert store.row_by_id == rows
    assert writer.record_failed(batch, outcome.failure())
