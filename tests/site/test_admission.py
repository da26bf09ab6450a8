"""Refusals at one entry: what they prove, and estimates that can't be used."""

import io
import json
from dataclasses import replace

import msgspec
import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.admission import MAX_AGE_SECONDS
from bergamotshore.core.work.backlog import TIMES, Backlog, ClassLoad
from bergamotshore.core.work.model import JobSpec, Step, get_job_key
from bergamotshore.core.work.site import SiteState
from bergamotshore.entry.admission import (
    MAX_TRANSIT_SECONDS,
    Admission,
    decode_backlog,
    encode_backlog,
)
from bergamotshore.entry.jobrows import (
    CLOSED,
    JOBS,
    ClosedJob,
    JobRows,
    encode_closed,
    get_row_id,
)
from bergamotshore.entry.submissions import UNCERTAIN_SECONDS, SubmissionApp
from bergamotshore.exceptions import DecodingError, PlatformUnavailable
from bergamotshore.generated.settings import Scheduling
from bergamotshore.ports.rows import Put
from bergamotshore.utils.eventlog import EventLog
from standins.site import SERVICE, RowsStandIn
from tests.site.simulation import CONFIG_SECONDS, Simulation, build_configuration

CORES = 10.0
STEP = {"count": 2, "cpu": 1000, "est_ms": 1000}
CALL_SECONDS = 2.0


def build_backlog(wait=60.0, epoch=1, age=0.0, **fields):
    """Return an estimate by which each job waits for a time."""
    row = [min(wait, time) * 2 * CORES for time in TIMES]
    load = ClassLoad(SERVICE, 0, False, 1.0, {0: row})
    cores = {SERVICE: CORES}
    return Backlog(epoch, age, [load], cores, cores, {}, **fields)


@pytest.fixture
def lines():
    return []


@pytest.fixture
def admission(clock, registry, lines):
    log = EventLog(clock, emit=lines.append)
    return Admission(True, "entry-1", clock, registry, log)


@pytest.fixture
def store():
    return RowsStandIn()


@pytest.fixture
def rows(store, clock):
    return JobRows(store, clock, clock.advance)


@pytest.fixture
def app(rows, clock, registry, lines, admission):
    state = SiteState()
    state.accept(build_configuration())
    state.confirmed_at = clock.now()
    log = EventLog(clock, emit=lines.append)
    return SubmissionApp(
        rows, state, CONFIG_SECONDS, clock, registry, log, admission=admission
    )


def call(app, job_id="00000000000000aa", method="POST", path="/q/", **job):
    """Call the application; return status and headers."""
    answers = []
    body = json.dumps({"steps": [STEP], **job}).encode()
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": f"{path}{job_id}",
        "HTTP_HOST": "host.example",
        "wsgi.input": io.BytesIO(body),
    }
    list(app(environ, lambda status, headers: answers.append((status, headers))))
    status, headers = answers[0]
    return int(status.split()[0]), dict(headers)


def build_spec(**fields):
    steps = (Step(tasks=2, cpu=1000, estimate=1.0),)
    return JobSpec("queue", "job", SERVICE, "", steps, **fields)


def is_refusing(admission):
    queue = build_configuration().queues[0]
    return admission.find_refusal(build_spec(), queue) is not None


# Guards against jobs that join a line in which they can't be of use.
def test_refused_job_is_not_stored_and_its_log_line_names_the_estimate(
    app, store, admission, lines, registry
):
    admission.record(build_backlog(epoch=7, age=0.25))
    status, headers = call(app)
    assert status == 503
    assert int(headers["Retry-After"]) >= 1
    assert store.row_by_id == {}
    [line] = [line for line in lines if line.startswith("event=job-refused ")]
    for text in ("why=overload", "epoch=7", "age=0.25", "ahead=", "retry="):
        assert text in line
    count = registry.get_count(
        "jobs_refused_total", reason="overload", service=SERVICE, priority=0
    )
    assert count == 1


@pytest.mark.parametrize(
    "job",
    [
        {"repeats": 3, "interval_ms": 1000, "start_at_ms": 1000},
        {"steps": [{**STEP, "long_running": True}]},
    ],
)
def test_scheduled_and_long_running_jobs_are_never_refused(app, admission, job):
    admission.record(build_backlog())
    assert call(app, **job)[0] == 200


def test_reads_and_cancels_are_never_refused(app, admission):
    call(app)
    admission.record(build_backlog())
    assert call(app, method="GET")[0] == 200
    assert call(app, method="DELETE")[0] == 200


# Guards against telling a caller that a job never runs which is stored: its first
# answer may have been lost, or a request may arrive again after it.
def test_repeated_request_for_a_stored_job_is_accepted(app, store, admission):
    assert call(app)[0] == 200
    admission.record(build_backlog())
    assert call(app)[0] == 200
    assert call(app, "00000000000000bb")[0] == 503


def test_repeated_request_for_a_closed_job_is_accepted(app, store, admission):
    row_id = get_row_id(CLOSED, get_job_key("queue", "00000000000000aa"))
    store.write([Put(row_id, encode_closed(ClosedJob("done", 1.0)))], [])
    admission.record(build_backlog())
    assert call(app)[0] == 200


def test_job_whose_write_may_still_be_applied_is_not_refused(
    app, store, admission, clock
):
    store.faults = ["late"] * 50
    assert call(app)[0] == 504
    store.faults = []
    app._site.confirmed_at = clock.now()
    admission.record(build_backlog())
    assert call(app)[0] == 200


class SlowReads:
    """Store whose reads take longer than a proof may."""

    def __init__(self, store, clock, outcome=None):
        self._store, self._clock, self._outcome = store, clock, outcome
        self.transact = store.transact

    def read(self, *arguments, **options):
        """Read rows late, or fail."""
        self._clock.advance(0.2)
        return self._outcome or self._store.read(*arguments, **options)


@pytest.mark.parametrize("outcome", [None, Failure(PlatformUnavailable("away"))])
def test_job_is_accepted_when_the_store_does_not_prove_in_time_that_it_is_not_stored(
    app, store, clock, admission, lines, outcome
):
    app._rows = JobRows(SlowReads(store, clock, outcome), clock, clock.advance)
    admission.record(build_backlog())
    assert call(app)[0] == 200
    assert any("why=store-slow" in line for line in lines)


def test_estimate_that_is_absent_or_old_refuses_nothing(admission, clock, registry):
    assert not is_refusing(admission)
    admission.record(build_backlog())
    assert is_refusing(admission)
    clock.advance(MAX_AGE_SECONDS)
    assert not is_refusing(admission)
    for reason in ("absent", "old"):
        assert registry.get_count("admission_fallbacks_total", reason=reason) == 1
    admission.record(build_backlog(age=1e6))
    assert not is_refusing(admission)


def test_estimate_of_a_former_term_does_not_replace_a_newer_one(
    admission, clock, lines
):
    admission.record(build_backlog(wait=0.0, epoch=4))
    admission.record(build_backlog(epoch=3))
    assert not is_refusing(admission)
    assert any("why=former-term" in line for line in lines)
    # An entry whose store holds a lower term for good is heard once the other is old.
    clock.advance(MAX_AGE_SECONDS)
    admission.record(build_backlog(epoch=3))
    assert is_refusing(admission)


def test_estimate_is_passed_on_with_its_age(admission, clock):
    admission.record(build_backlog(age=0.5))
    clock.advance(1.0)
    assert decode_backlog(admission.encode()).age == pytest.approx(1.5)
    clock.advance(MAX_AGE_SECONDS)
    assert admission.encode() == b""


def test_older_estimate_that_comes_by_another_way_is_ignored(admission, clock):
    admission.record(build_backlog(wait=0.0, age=0.2))
    admission.record_told(encode_backlog(build_backlog(age=1.0)), clock.now())
    assert not is_refusing(admission)


# Guards against an estimate that was held up on its way and looks young.
@pytest.mark.parametrize("echo_age", [None, MAX_TRANSIT_SECONDS + 0.1, -5.0])
def test_estimate_whose_age_is_not_known_is_not_taken(admission, clock, echo_age):
    echo = 0.0 if echo_age is None else clock.now() - echo_age
    admission.record_told(encode_backlog(build_backlog()), echo)
    assert not is_refusing(admission)


def _change_row(**fields):
    row = [*build_backlog().classes[0].row_by_due[0]]
    for index, value in fields.get("values", {}).items():
        row[index] = value
    load = ClassLoad(SERVICE, 0, False, 1.0, {fields.get("due", 0): row})
    return replace(build_backlog(), classes=[load])


BAD_ESTIMATES = {
    "other type": msgspec.msgpack.encode("much"),
    "cut off": encode_backlog(build_backlog())[:-5],
    "age negative": encode_backlog(build_backlog(age=-1.0)),
    "age is no number": encode_backlog(build_backlog(age=float("nan"))),
    "term huge": encode_backlog(build_backlog(epoch=2**60)),
    "term zero": encode_backlog(build_backlog(epoch=0)),
    "work huge": encode_backlog(_change_row(values={7: 1e30})),
    "work infinite": encode_backlog(_change_row(values={7: float("inf")})),
    "work negative": encode_backlog(_change_row(values={0: -1.0})),
    "work decreases": encode_backlog(_change_row(values={7: 1.0})),
    "row unknown": encode_backlog(_change_row(due=99)),
    "cores negative": encode_backlog(
        replace(build_backlog(), cores_by_service={SERVICE: -4.0})
    ),
    "drain infinite": encode_backlog(
        replace(build_backlog(), drain_by_service={SERVICE: float("inf")})
    ),
}


@pytest.mark.parametrize("content", BAD_ESTIMATES.values(), ids=BAD_ESTIMATES)
def test_bad_estimate_costs_a_logged_fallback(admission, clock, lines, content):
    with pytest.raises(DecodingError):
        decode_backlog(content)
    admission.record_told(content, clock.now())
    assert not is_refusing(admission)
    assert any(line.startswith("event=estimate-invalid ") for line in lines)


def test_service_without_workers_refuses_nothing(admission):
    admission.record(replace(build_backlog(), cores_by_service={}))
    assert not is_refusing(admission)


def test_switched_off_admission_tells_and_refuses_nothing(clock, registry, lines):
    log = EventLog(clock, emit=lines.append)
    admission = Admission(False, "entry-1", clock, registry, log)
    admission.record(build_backlog())
    admission.record_told(encode_backlog(build_backlog()), clock.now())
    assert not is_refusing(admission)
    assert admission.encode() == b""


@pytest.fixture
def loaded(clock):
    """Two entries and workers that are full for long."""
    simulation = Simulation(clock, scheduling=Scheduling(admission=True))
    simulation.advance(4.0)
    for number in range(60):
        step = Step(tasks=32, cpu=4000, memory=100, estimate=1.0)
        simulation.submit(f"{number:016x}", (step,), accepted_at=clock.wall())
    simulation.advance(2.0)
    return simulation


def list_refusing(simulation):
    return [n for n, e in simulation.entry_by_name.items() if is_refusing(e.admission)]


def test_all_entries_refuse_by_the_estimate_of_the_scheduling_entry(loaded):
    assert list_refusing(loaded) == loaded.entry_names


def test_frozen_scheduling_entry_ends_refusals_also_its_own(loaded):
    frozen = loaded.leader
    loaded.paused.add(frozen.name)
    loaded.advance(MAX_AGE_SECONDS + 0.1)
    assert list_refusing(loaded) == []


# Guards against a wave of refusals after a takeover, when nodes have not reported yet.
def test_next_scheduling_entry_tells_its_first_estimate_once_it_knows_the_workers(
    loaded,
):
    epoch = loaded.leader.dispatcher.epoch
    loaded.kill_entry(loaded.leader.name)
    while loaded.leader is None:
        loaded.advance(0.1)
    assert loaded.leader.dispatcher.epoch > epoch
    loaded.advance(1.5)
    assert list_refusing(loaded) == []
    loaded.advance(1.5)
    assert list_refusing(loaded) == [loaded.leader.name]


def test_store_outage_leaves_the_estimate_and_loses_no_accepted_job(loaded):
    loaded.store.is_down = True
    loaded.advance(1.0)
    loaded.store.is_down = False
    loaded.settle()
    states = {loaded.get_state(f"{number:016x}") for number in range(60)}
    assert states <= {"pending", "running", "done"}


def test_cancelled_backlog_ends_refusals(loaded):
    for number in range(60):
        loaded.cancel(f"{number:016x}")
    loaded.advance(2.0)
    assert list_refusing(loaded) == []


class ClosingStore:
    """Store in which a job is closed after the first read."""

    def __init__(self, store, key):
        self._store, self._key = store, key
        self.reads = 0

    def read(self, *arguments, **options):
        """Read rows; close the job behind the first read."""
        page = self._store.read(*arguments, **options)
        self.reads += 1
        if self.reads == 1:
            closed = Put(
                get_row_id(CLOSED, self._key), encode_closed(ClosedJob("done", 1.0))
            )
            self._store.write([closed], [get_row_id(JOBS, self._key)])
        return page


@pytest.mark.parametrize("is_stored", [False, True])
def test_proof_tells_whether_a_job_is_stored(rows, clock, is_stored):
    if is_stored:
        rows.accept(build_spec(), clock.now() + CALL_SECONDS).unwrap()
    key = get_job_key("queue", "job")
    assert rows.has(key, clock.now() + CALL_SECONDS) == Success(is_stored)


def test_proof_reads_the_open_row_before_the_closed_one(rows, store, clock):
    key = get_job_key("queue", "job")
    rows.accept(build_spec(), clock.now() + CALL_SECONDS).unwrap()
    closing = JobRows(ClosingStore(store, key), clock, clock.advance)
    assert closing.has(key, clock.now() + CALL_SECONDS) == Success(True)
    # The job was closed meanwhile: an open row is gone.
    assert get_row_id(JOBS, key) not in store.row_by_id


TRANSIT_SECONDS = 0.6


# Guards against an estimate that looks younger at each entry that passes it on.
def test_estimate_that_goes_round_slow_links_ends_with_its_age(clock, registry, lines):
    log = EventLog(clock, emit=lines.append)
    entries = [Admission(True, f"entry-{n}", clock, registry, log) for n in range(8)]
    entries[0].record(build_backlog())
    made_at = last_at = clock.now()
    while clock.now() - made_at < 20.0:
        sent_at = clock.now()
        contents = [entry.encode() for entry in entries]
        clock.advance(TRANSIT_SECONDS)
        for content in contents:
            for entry in entries:
                entry.record_told(content, sent_at)
        if any(is_refusing(entry) for entry in entries):
            last_at = clock.now()
    assert 0.0 < last_at - made_at < MAX_AGE_SECONDS


def test_estimate_that_arrives_again_does_not_replace_its_successor(admission, clock):
    admission.record(build_backlog(wait=0.0, number=2))
    clock.advance(0.5)
    admission.record(build_backlog(number=1))
    assert not is_refusing(admission)
    admission.record(build_backlog(number=3))
    assert is_refusing(admission)


def test_estimates_of_a_term_are_numbered(loaded):
    first = decode_backlog(loaded.leader.admission.encode()).number
    loaded.advance(1.0)
    assert decode_backlog(loaded.leader.admission.encode()).number > first > 0


# Guards against a definite failure that hides an older write without an answer.
def test_definite_failure_leaves_the_doubt_about_a_former_write(
    app, store, admission, clock
):
    store.faults = ["late"] * 50
    assert call(app)[0] == 504
    store.faults = []
    app._site.confirmed_at = clock.now()
    store.is_down = True
    assert call(app)[0] == 503
    store.is_down = False
    app._site.confirmed_at = clock.now()
    admission.record(build_backlog())
    assert call(app)[0] == 200


def test_doubt_lasts_from_the_end_of_the_write(app, store, admission, clock):
    # The store holds the write back for longer than the caller waits.
    store.faults = ["late"] * 50
    assert call(app)[0] == 504
    key = get_job_key("queue", "00000000000000aa")
    until = app._uncertain_until_by_key[key]
    assert until == pytest.approx(clock.now() + UNCERTAIN_SECONDS)


# Guards against an error of the estimate that stops the scheduling of jobs.
def test_error_of_the_estimate_ends_refusals_and_jobs_still_run(loaded):
    def fail(view):
        raise ZeroDivisionError

    loaded.allows_errors = True
    loaded.leader.dispatcher._backlog.measure = fail
    loaded.advance(MAX_AGE_SECONDS + 0.5)
    assert list_refusing(loaded) == []
    before = len(loaded.running)
    assert before
    loaded.finish_all()
    loaded.advance(2.0)
    assert loaded.running
    assert not any(line.startswith("event=term-abandoned ") for line in loaded.lines)
