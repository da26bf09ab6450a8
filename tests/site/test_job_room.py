"""Refusal of jobs that no entry has memory for, and the account that it relies on.

Accepted jobs stayed in memory without a bound, so that each scheduling entry in turn
exceeded the memory of its machine.
"""

import tracemalloc
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.jobcost import (
    HeldJobs,
    estimate_job_memory,
    get_memory_limit,
    has_room,
)
from bergamotshore.core.work.model import JobSpec, Step, decode_spec, encode_spec
from bergamotshore.core.work.site import Queue, SiteConfiguration, SiteState
from bergamotshore.entry.jobroom import UNANSWERED_SECONDS, JobRoom
from bergamotshore.entry.jobrows import JobRows
from bergamotshore.entry.submissions import SubmissionApp
from bergamotshore.exceptions import PlatformUncertain
from bergamotshore.generated.settings import Scheduling
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn
from tests.site.simulation import SERVICE
from tests.site.test_entry_parts import call
from tests.site.test_job_cost import build_cluster, plan

JOB = {"steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 500}]}
MEMORY_MB = 64
LIMIT = get_memory_limit(MEMORY_MB)


def build_spec(steps=1, job_id="job", **fields):
    """Return a job whose steps differ from each other."""
    all_steps = tuple(
        Step(tasks=1 + n, cpu=99_000 + n, memory=100 + n, estimate=0.5 + n, **fields)
        for n in range(steps)
    )
    return JobSpec("q", job_id, SERVICE, "p", all_steps, 3)


@pytest.mark.parametrize(("steps", "jobs"), [(1, 400), (2, 400), (20, 100), (1000, 4)])
@pytest.mark.parametrize("has_labels", [False, True])
def test_job_takes_no_more_memory_than_estimated(steps, jobs, has_labels):
    labels = {"label": "l" * 40, "image": "i" * 40} if has_labels else {}
    cluster = build_cluster()
    specs = [encode_spec(build_spec(steps, f"job{n}", **labels)) for n in range(jobs)]
    plan(cluster, 99.0, Scheduling())
    tracemalloc.start()
    try:
        for spec in specs:
            cluster.add_job(decode_spec(spec))
        plan(cluster, 100.0, Scheduling())
        plan(cluster, 101.0, Scheduling())
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak <= cluster.job_memory


def test_account_follows_the_jobs():
    cluster = ClusterState(lambda name: None)
    specs = [build_spec(n + 1, f"job{n}") for n in range(5)]
    for spec in specs:
        cluster.add_job(spec)
        cluster.add_job(spec)
    assert cluster.job_memory == sum(map(estimate_job_memory, specs))
    for spec in specs:
        cluster.remove_job(spec.key)
        cluster.remove_job(spec.key)
    assert cluster.job_memory == 0


class Entries:
    """Entries that accept jobs by an account that each of them reads late.

    :param count: Number of entries.
    """

    def __init__(self, count):
        self.version = 0
        self.stored = {}
        self.told = [None] * count
        clock = SimpleNamespace(now=lambda: 0.0)
        self.rooms = [
            JobRoom(MEMORY_MB, clock, lambda n=n: self.told[n], lambda: count)
            for n in range(count)
        ]

    def count(self):
        """Return what the scheduling entry tells now."""
        return HeldJobs(sum(self.stored.values()), LIMIT, self.version)

    def submit(self, number, steps):
        """Submit a job to an entry."""
        spec = build_spec(steps)
        if self.rooms[number].has_room(spec):
            self.version += 1
            self.stored[self.version] = estimate_job_memory(spec)
            self.rooms[number].record_accepted(spec, self.version)


# Whatever the entries read and when, they never accept more than there is memory for.
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("submit"), st.integers(0, 2), st.integers(1, 4000)),
            st.tuples(st.just("read"), st.integers(0, 2), st.booleans()),
            st.tuples(st.just("count"), st.just(0), st.just(0)),
            st.tuples(st.just("end"), st.just(0), st.just(0)),
        ),
        max_size=80,
    )
)
def test_entries_never_accept_more_than_there_is_memory_for(events):
    entries = Entries(3)
    counted = entries.count()
    for kind, number, value in events:
        match kind:
            case "submit":
                entries.submit(number, value)
            case "count":
                counted = entries.count()
            case "read":
                entries.told[number] = counted if value else entries.count()
            case "end" if entries.stored:
                # Ends are seen at once, so that no entry counts with them too early.
                entries.stored.pop(min(entries.stored))
        assert sum(entries.stored.values()) <= LIMIT


@pytest.mark.parametrize(
    ("held", "unseen", "entries", "is_accepted"),
    [
        (None, 0, 3, True),
        (HeldJobs(LIMIT - 5000, LIMIT, 1), 0, 3, True),
        (HeldJobs(LIMIT - 100, LIMIT, 1), 0, 3, False),
        # The scheduling entry has less memory.
        (HeldJobs(5000, 5000, 1), 0, 3, False),
        # The others may have accepted as much.
        (HeldJobs(LIMIT - 12_000, LIMIT, 1), 4000, 3, False),
        (HeldJobs(LIMIT - 12_000, LIMIT, 1), 4000, 1, True),
    ],
)
def test_room_for_a_job(held, unseen, entries, is_accepted):
    memory = estimate_job_memory(build_spec())
    assert has_room(held, LIMIT, unseen, entries, memory) is is_accepted


# Guards against large jobs that keep all others out.
def test_small_jobs_have_room_beside_large_ones():
    large = estimate_job_memory(build_spec(400))
    held = HeldJobs(LIMIT - 4 * large, LIMIT, 1)
    assert not has_room(held, LIMIT, 0, 3, large)
    assert has_room(held, LIMIT, 0, 3, estimate_job_memory(build_spec(2)))


def test_write_without_an_answer_counts_for_as_long_as_it_may_be_executed(clock):
    told = HeldJobs(LIMIT - 6000, LIMIT, 9)
    room = JobRoom(MEMORY_MB, clock, lambda: told, lambda: 1)
    room.record_accepted(build_spec(), None)
    assert not room.has_room(build_spec())
    clock.advance(UNANSWERED_SECONDS)
    assert room.has_room(build_spec())


@pytest.fixture
def lines():
    return []


@pytest.fixture
def told():
    """Return the account that is told, which tests replace."""
    return [HeldJobs(LIMIT, LIMIT, 1)]


@pytest.fixture
def app(clock, registry, lines, told):
    site = SiteState(
        SiteConfiguration(1, (Queue("q", "h", "/q/", SERVICE),), {}),
        confirmed_at=clock.now(),
    )
    room = JobRoom(MEMORY_MB, clock, lambda: told[0], lambda: 3)
    rows = JobRows(RowsStandIn(clock.now), clock, clock.advance, room.record_accepted)
    log = EventLog(clock, emit=lines.append)
    return SubmissionApp(rows, site, 99.0, clock, registry, log, job_room=room)


def test_job_without_memory_is_refused_and_not_stored(app, lines, told):
    status, headers, _ = call(app, "POST", "/q/j1", JOB)
    assert status == 503
    assert 1 <= int(headers["Retry-After"]) <= 30
    assert any("jobs-full" in str(line) for line in lines)
    assert call(app, "GET", "/q/j1")[0] == 410
    told[0] = HeldJobs(0, LIMIT, 1)
    assert call(app, "POST", "/q/j1", JOB)[0] == 200


def test_job_that_was_accepted_before_is_not_refused(app, told):
    told[0] = HeldJobs(0, LIMIT, 1)
    assert call(app, "POST", "/q/j1", JOB)[0] == 200
    told[0] = HeldJobs(LIMIT, LIMIT, 2)
    assert call(app, "POST", "/q/j1", JOB)[0] == 200


def test_job_whose_write_got_no_answer_is_not_refused(app, told):
    told[0] = HeldJobs(0, LIMIT, 1)
    store = app._rows._store
    original = store.transact
    store.transact = lambda *_, **__: Failure(PlatformUncertain("no answer"))
    assert call(app, "POST", "/q/j1", JOB)[0] == 504
    store.transact = original
    told[0] = HeldJobs(LIMIT, LIMIT, 2)
    assert call(app, "POST", "/q/j1", JOB)[0] == 200


# A successor may have less memory than the scheduling entry.
def test_lowest_limit_of_all_holders_stays_in_force(simulation):
    first = simulation.leader
    first.dispatcher._job_memory_limit = 1_000_000
    simulation.advance(2.0)
    simulation.kill_entry(first.name)
    simulation.advance(10.0)
    assert simulation.leader.name != first.name
    assert simulation.leader.election.get_observed_held_jobs().limit == 1_000_000


def test_account_is_told_to_all_entries(simulation):
    specs = [("job1", 3), ("job2", 5)]
    for name, steps in specs:
        simulation.submit(name, build_spec(steps).steps)
    simulation.advance(3.0)
    expected = simulation.leader.dispatcher.cluster.job_memory
    assert expected > 0
    for entry in simulation.entry_by_name.values():
        assert entry.election.get_observed_held_jobs().memory == expected
    for name, _ in specs:
        assert simulation.cancel(name) == Success(True)
    simulation.advance(3.0)
    for entry in simulation.entry_by_name.values():
        assert entry.election.get_observed_held_jobs().memory == 0
