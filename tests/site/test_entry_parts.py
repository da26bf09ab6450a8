"""Parts of an entry: the operator's rows, callers, calls through a peer."""

import io
import json

import pytest
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.core.work.cluster import ClusterState
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
def lines():
    return []


@pytest.fixture
def log(clock, lines):
    return EventLog(clock, emit=lines.append)


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


def test_a_configuration_is_put_in_force_and_never_reverts(store, follower):
    put_operator_row(store, "config", build_config(5))
    follower.step()
    assert follower.state.configuration.version == 5
    put_operator_row(store, "config", build_config(4, ("old",)))
    follower.step()
    assert follower.state.configuration.version == 5
    put_operator_row(store, "config", build_config(9, ("a", "b")))
    follower.step()
    assert follower.state.configuration.get_queue("b") is not None


def test_a_row_that_can_not_be_read_changes_nothing(store, follower, lines):
    put_operator_row(store, "config", build_config(5))
    put_operator_row(store, "wave/1", {"wave": "x"})
    follower.step()
    put_operator_row(store, "config", {"version": "none"})
    follower.step()
    assert follower.state.configuration.version == 5
    assert sum("operator-row-invalid" in line for line in lines) == 2


def test_data_centres_close_and_open_also_over_a_lost_history(store, follower):
    put_operator_row(store, "evacuate/zone-a", {})
    follower.step()
    assert follower.state.closed_zones == {"zone-a"}
    store.transact([], [], [RowId("op", "", "evacuate/zone-a")])
    put_operator_row(store, "evacuate/zone-b", {})
    store.compact()
    follower.step()
    follower.step()
    assert follower.state.closed_zones == {"zone-b"}


def test_waves_come_and_are_withdrawn_also_over_a_lost_history(store, follower):
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


def test_an_outage_leaves_the_configuration_in_force(store, follower):
    put_operator_row(store, "config", build_config(5))
    follower.step()
    store.is_down = True
    assert not follower.step()
    assert follower.state.is_loaded


def test_the_longest_prefix_chooses_the_queue():
    queues = (Queue("a", "h", "/x/", "s"), Queue("b", "h", "/x/y/", "s"))
    configuration = SiteConfiguration(1, queues, {})
    assert configuration.find_queue("h", "/x/y/1").name == "b"
    assert configuration.find_queue("h", "/x/1").name == "a"
    assert configuration.find_queue("g", "/x/1") is None


@pytest.fixture
def site(clock):
    """Return what is in force: one queue, known to be the newest just now."""
    configuration = SiteConfiguration(1, (Queue("q", "h", "/q/", "books"),), {})
    return SiteState(configuration, confirmed_at=clock.now())


@pytest.fixture
def app(store, site, clock, registry, log):
    rows = JobRows(store, clock, clock.advance)
    return SubmissionApp(rows, site, CONFIG_SECONDS, clock, registry, log)


def call(app, method, path, body=None, host="h"):
    seen = {}

    def start_response(status, headers):
        seen["status"] = int(status.split()[0])
        seen["headers"] = dict(headers)

    content = json.dumps(body).encode() if body is not None else b""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": host,
        "HTTP_X_DEADLINE_MS": "3000",
        "wsgi.input": io.BytesIO(content),
    }
    answer = b"".join(app(environ, start_response))
    return seen["status"], seen["headers"], json.loads(answer)


def test_callers_submit_read_count_and_cancel(app):
    assert call(app, "GET", "/q/j1")[0] == 410
    assert call(app, "POST", "/q/j1", JOB)[0] == 200
    assert call(app, "POST", "/q/j1", JOB)[0] == 200
    assert call(app, "GET", "/q/j1")[2] == {"state": "pending"}
    assert call(app, "GET", "/q/")[2] == {"queued_jobs": 0}
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
def test_each_answer_tells_which_configuration_decided_and_its_age(
    app, clock, lines, method, path, kind
):
    call(app, "POST", "/q/j0", JOB)
    lines.clear()
    clock.advance(1.25)
    call(app, method, path, JOB if method == "POST" else None)
    (line,) = lines
    assert f"event={kind} " in line
    assert "config=1 age=1.250" in line


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
def test_a_bad_submission_is_refused_and_nothing_is_written(app, store, body):
    assert call(app, "POST", "/q/j1", body)[0] == 400
    assert store.row_by_id == {}


def test_without_the_store_a_submission_is_refused_with_a_time_to_come_back(app, store):
    store.is_down = True
    status, headers, _ = call(app, "POST", "/q/j1", JOB)
    assert status == 503
    assert int(headers["Retry-After"]) >= 1
    store.is_down = False
    assert store.row_by_id == {}


def test_an_unknown_outcome_is_never_called_a_refusal(app, store):
    store.faults = ["late"] + ["down"] * 50
    assert call(app, "POST", "/q/j1", JOB)[0] == 504


def test_no_configuration_means_not_ready_and_503_rather_than_404(
    store, clock, registry, log
):
    rows = JobRows(store, clock, clock.advance)
    app = SubmissionApp(rows, SiteState(), CONFIG_SECONDS, clock, registry, log)
    assert call(app, "POST", "/q/j1", JOB)[0] == 503
    assert call(ReadinessApp(lambda: False), "GET", "/readyz")[0] == 503


class FakeCalls:
    """Answers of a store or of a peer, in order; the last one is repeated."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = 0

    def call(self, method, path, body=b"", headers=None, timeout=None):
        self.calls += 1
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]

    def has_peer(self):
        return True


class SlowFirstCall(FakeCalls):
    """The first call is answered only after something else was done."""

    def __init__(self, meanwhile, *outcomes):
        super().__init__(*outcomes)
        self.meanwhile = meanwhile

    def call(self, method, path, body=b"", headers=None, timeout=None):
        outcome = super().call(method, path, body, headers, timeout)
        if self.calls == 1:
            self.meanwhile()
        return outcome


OK = Success(HttpAnswer(200, "", b"{}"))
TURNED_AWAY = Success(HttpAnswer(503, "", b""))
RESET = Failure(HttpFailure("reset", was_sent=True))
REFUSED = Failure(HttpFailure("refused", was_sent=False))


def build_client(direct, peer, clock, registry, log):
    return RelayedClient(direct, peer, 1.0, clock, registry, log)


@pytest.mark.parametrize(
    ("failure", "method", "is_relayed"),
    [
        (TURNED_AWAY, "POST", True),
        (REFUSED, "POST", True),
        (RESET, "GET", True),
        (RESET, "POST", False),
    ],
)
def test_a_call_is_relayed_only_when_that_can_not_repeat_it(
    failure, method, is_relayed, clock, registry, log
):
    direct, peer = FakeCalls(failure), FakeCalls(OK)
    outcome = build_client(direct, peer, clock, registry, log).call(method, "/x")
    assert outcome == (OK if is_relayed else failure)
    assert peer.calls == int(is_relayed)


def test_calls_go_through_the_peer_for_a_while_and_then_directly_again(
    clock, registry, log
):
    direct, peer = FakeCalls(TURNED_AWAY, OK), FakeCalls(OK)
    client = build_client(direct, peer, clock, registry, log)
    for _ in range(3):
        assert client.call("GET", "/x") == OK
    assert (direct.calls, peer.calls) == (1, 3)
    clock.advance(1.1)
    client.call("GET", "/x")
    assert (direct.calls, peer.calls) == (2, 3)


@pytest.mark.parametrize(
    ("method", "timeout", "longest"),
    [("GET", 3.5, 0.0), ("POST", 1.0, 0.0), ("GET", 1.0, 0.8)],
)
def test_a_silent_store_holds_up_no_call_once_it_is_lost(
    clock, registry, log, method, timeout, longest
):
    """Only short readings look whether it is back, and only for a moment."""

    def stay_silent(method, path, body, headers, timeout):
        clock.advance(timeout)
        return RESET

    direct, peer = FakeCalls(RESET), FakeCalls(OK)
    direct.call = stay_silent
    client = build_client(direct, peer, clock, registry, log)
    client.call("GET", "/x", timeout=1.0)
    for _ in range(4):
        clock.advance(1.5)
        began = clock.now()
        assert client.call(method, "/x", timeout=timeout) == OK
        assert clock.now() - began == pytest.approx(longest)


def test_an_old_call_that_gets_no_answer_hides_no_store_that_is_back(
    clock, registry, log
):
    """A call sent during an outage fails after a later one was answered."""

    def call_later():
        clock.advance(1.0)
        assert client.call("GET", "/later") == OK

    direct, peer = SlowFirstCall(call_later, RESET, OK), FakeCalls(OK)
    client = build_client(direct, peer, clock, registry, log)
    assert client.call("POST", "/x") == RESET
    assert client.is_reachable
    client.call("GET", "/x")
    assert (direct.calls, peer.calls) == (3, 0)


def test_a_store_that_is_down_for_all_costs_no_detours(clock, registry, log):
    direct, peer = FakeCalls(TURNED_AWAY), FakeCalls(TURNED_AWAY)
    client = build_client(direct, peer, clock, registry, log)
    for _ in range(5):
        assert client.call("GET", "/x") == TURNED_AWAY
    assert peer.calls == 1


def test_an_outage_that_is_known_is_told_at_once_and_writes_nothing(
    store, site, clock, registry, log
):
    direct = FakeCalls(RESET)
    client = build_client(direct, FakeCalls(RESET), clock, registry, log)
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
    before = clock.now()
    status, headers, _ = call(app, "POST", "/q/j1", JOB)
    assert (status, clock.now(), store.calls) == (503, before, 0)
    assert int(headers["Retry-After"]) >= 1
    direct.outcomes = [OK]
    clock.advance(2.0)
    client.call("GET", "/x")
    assert client.is_reachable


class SlowStore(RowsStandIn):
    """Every transaction takes a while, and a call gives up after its time."""

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


def test_a_submission_that_a_slow_store_can_not_take_in_time_is_refused_at_once(clock):
    """The caller hears for certain that nothing was done, and may come back."""
    store = SlowStore(clock, 0.6)
    rows = JobRows(store, clock, clock.advance)
    spec = JobSpec("queue", "job1", "books", "payload", (Step(tasks=1),))
    assert rows.accept(spec, clock.now() + 2.4) == Success(True)
    late = JobSpec("queue", "job2", "books", "payload", (Step(tasks=1),))
    calls, began = store.calls, clock.now()
    outcome = rows.accept(late, clock.now() + 0.4)
    assert isinstance(outcome.failure(), PlatformUnavailable)
    assert (store.calls, clock.now()) == (calls, began)
    assert rows.accept(late, clock.now() + 2.4) == Success(True)


def test_a_store_that_is_fast_again_is_soon_taken_for_it(clock):
    store = SlowStore(clock, 1.0)
    rows = JobRows(store, clock, clock.advance)
    spec = JobSpec("queue", "job1", "books", "payload", (Step(tasks=1),))
    rows.accept(spec, clock.now() + 2.4)
    store.seconds = 0.01
    clock.advance(LATENCY_WINDOW_SECONDS)
    late = JobSpec("queue", "job2", "books", "payload", (Step(tasks=1),))
    assert rows.accept(late, clock.now() + 0.4) == Success(True)


def test_a_write_of_a_term_that_is_over_changes_nothing(store, clock):
    """A batch that was built before a successor began is carried out after it."""

    def run(function, values):
        return [function(value) for value in values]

    cluster = ClusterState(build_configuration().get_queue)
    writer = JobWriter(cluster, 1, clock)
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
