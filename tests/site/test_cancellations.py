"""Runs of cancelled jobs end in time, whatever happens to the scheduling entry."""

import io

import pytest
from returns.result import Failure, Success

from bergamotshore.core.work.cancellations import (
    ANNOUNCE_SECONDS,
    RETENTION_SECONDS,
    CancelledJobs,
)
from bergamotshore.core.work.model import Step
from bergamotshore.core.work.stops import STOP_RETRY_SECONDS
from bergamotshore.entry.cancellations import MAX_ANNOUNCED, RecentCancellations
from bergamotshore.entry.jobrows import JobRows
from bergamotshore.entry.submissions import SubmissionApp
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.ports.runner import ListedRun
from bergamotshore.utils.eventlog import EventLog
from tests.site.simulation import CANCEL_SECONDS, CONFIG_SECONDS, Simulation

# Time that a worker takes to stop a run.
STOP_SECONDS = 0.2
# Time that an entry has for a call whose caller waits for 3 s.
CALL_SECONDS = 2.4
READ_TIMEOUT_SECONDS = 1.5
WATCH = (Step(tasks=3, cpu=100, memory=10, is_lasting=True),)


@pytest.fixture
def site(clock):
    """Return a site of three entries with a running long-running job."""
    simulation = Simulation(clock, entries=3)
    simulation.advance(1.0)
    simulation.submit("watch", WATCH).unwrap()
    simulation.advance(2.0)
    assert len(list_running(simulation)) == 3
    return simulation


def list_running(simulation):
    """Return the running tasks of the job."""
    return [task for task, _ in simulation.running if task.startswith("watch")]


def cancel_and_wait(simulation):
    """Cancel the job and run until all its runs have to be over."""
    simulation.cancel("watch").unwrap()
    simulation.advance(CANCEL_SECONDS + STOP_SECONDS)


def leave(simulation):
    """End the scheduling entry for good."""
    simulation.kill_entry(simulation.leader.name)


def abandon_term(simulation):
    """Let the scheduling entry end its term because of an unexpected error."""
    simulation.allows_errors = True
    simulation.leader.dispatcher._abandon_term(RuntimeError("provoked"))


def hang(simulation):
    """Let the thread that schedules stand still while the lease is renewed."""
    simulation.leader.dispatcher.step = lambda wait: None


def lose_feed(simulation):
    """Let the scheduling entry get no answers from the feed of jobs."""
    simulation.without_feeds.add(simulation.leader.name)


# Guards against runs of a cancelled job that go on because the scheduling entry is
# gone, stands still or does not know of the cancel.
@pytest.mark.parametrize("since_renewal", [0.0, 0.2, 0.4, 0.6])
@pytest.mark.parametrize("trouble", [leave, abandon_term, hang, lose_feed])
def test_cancelled_job_is_stopped_in_time(site, trouble, since_renewal):
    site.advance(since_renewal)
    trouble(site)
    cancel_and_wait(site)
    assert list_running(site) == []


# Guards against a run of a cancelled job that is started by an order that was already
# on its way to the node.
def test_node_refuses_to_start_a_task_of_an_announced_job(site):
    node = next(iter(site.node_by_name.values()))
    node.run_manager.record_cancelled(["queue/late"])
    site.submit("late", WATCH).unwrap()
    site.advance(1.0)
    on_node = node.runner.run_by_task
    assert not [task for task in on_node if task.startswith("late")]
    assert any("reason=job-cancelled" in line for line in site.lines)


# Guards against a stop that is sent once and lost.
def test_stops_of_an_announced_job_are_repeated_until_its_runs_have_ended(clock):
    jobs = CancelledJobs()
    runs = [
        ListedRun("job.0.0.0", 1, "", 0, 0.0),
        ListedRun("other.0.0.0", 1, "", 0, 0),
    ]
    jobs.record(["queue/job"], clock.now())
    assert jobs.choose_stops(runs, clock.now()) == [("job.0.0.0", 1)]
    assert jobs.choose_stops(runs, clock.now()) == []
    clock.advance(STOP_RETRY_SECONDS)
    assert jobs.choose_stops(runs, clock.now()) == [("job.0.0.0", 1)]
    assert jobs.choose_stops(runs[1:], clock.now()) == []


# Guards against entries that repeat each other's announcements for ever.
def test_two_entries_announce_a_cancellation_for_a_limited_time(clock):
    entries = [RecentCancellations(clock), RecentCancellations(clock)]
    entries[0].record("job")
    announced_until = 0.0
    for _ in range(60):
        clock.advance(0.5)
        for sender, receiver in (entries, entries[::-1]):
            for job_id in sender.list_announced():
                receiver.record(job_id)
                announced_until = clock.now()
    assert announced_until - clock.now() < -20.0


# Guards against heartbeats that grow with the number of cancellations.
def test_announcements_are_bounded_and_prefer_the_latest(clock):
    cancellations = RecentCancellations(clock)
    for number in range(2 * MAX_ANNOUNCED):
        assert cancellations.record(f"job{number}")
    announced = cancellations.list_announced()
    assert len(announced) == MAX_ANNOUNCED
    assert announced[-1] == f"job{2 * MAX_ANNOUNCED - 1}"


# Guards against a caller's cancellation that is stored and not announced, and against
# one that is announced and not stored.
@pytest.mark.parametrize("is_stored", [True, False])
def test_just_stored_cancellations_of_callers_are_announced(clock, registry, is_stored):
    simulation = Simulation(clock)
    simulation.submit("job").unwrap()
    state = simulation.entry_by_name["entry-0"].follower.state
    announced = []
    app = SubmissionApp(
        simulation.rows,
        state,
        CONFIG_SECONDS,
        clock,
        registry,
        EventLog(clock, emit=simulation.lines.append),
        on_cancelled=announced.append,
    )
    simulation.store.is_down = not is_stored
    environ = {
        "REQUEST_METHOD": "DELETE",
        "PATH_INFO": "/q/job",
        "HTTP_HOST": "host.example",
        "wsgi.input": io.BytesIO(),
    }
    statuses = []
    list(app(environ, lambda status, headers: statuses.append(status)))
    assert statuses[0].startswith("200") == is_stored
    assert announced == (["queue/job"] if is_stored else [])


class SilentOnceStore:
    """Store whose first read gets no answer."""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._is_silent = True
        self.transact = store.transact

    def read(self, *arguments, **options):
        """Read rows; the first time without an answer."""
        if self._is_silent:
            self._is_silent = False
            self._clock.advance(READ_TIMEOUT_SECONDS)
            return Failure(PlatformUnavailable("no answer"))
        return self._store.read(*arguments, **options)


# Guards against a cancellation that is refused, and stops nothing, because one read of
# the store got no answer, while the caller has time for another.
def test_cancellation_is_stored_although_one_read_gets_no_answer(clock):
    simulation = Simulation(clock)
    simulation.submit("job").unwrap()
    store = SilentOnceStore(simulation.store, clock)
    rows = JobRows(store, clock, clock.advance)
    outcome = rows.cancel("queue", "job", clock.now() + CALL_SECONDS)
    assert outcome == Success(True)


class SilentStore:
    """Store that answers no read."""

    def __init__(self, clock):
        self._clock = clock

    def read(self, *arguments, timeout=None, **options):
        """Wait for the timeout of the call."""
        self._clock.advance(timeout or READ_TIMEOUT_SECONDS)
        return Failure(PlatformUnavailable("no answer"))


# Guards against a cancellation that is answered after its caller has left.
def test_cancellation_is_refused_in_time_if_no_read_is_answered(clock):
    rows = JobRows(SilentStore(clock), clock, clock.advance)
    deadline = clock.now() + CALL_SECONDS
    outcome = rows.cancel("queue", "job", deadline)
    assert isinstance(outcome.failure(), PlatformUnavailable)
    assert clock.now() <= deadline


# Guards against a cancellation that is answered long after its caller has left.
def test_cancellation_is_refused_in_time_if_the_store_does_not_answer(clock):
    simulation = Simulation(clock)
    simulation.submit("job").unwrap()
    simulation.store.is_down = True
    rows = JobRows(simulation.store, clock, clock.advance)
    deadline = clock.now() + CALL_SECONDS
    outcome = rows.cancel("queue", "job", deadline)
    assert isinstance(outcome.failure(), PlatformUnavailable)
    assert clock.now() <= deadline


# Guards against a cancellation that ends a running job of another queue with the same
# id, which is shown as cancelled though nobody cancelled it.
def test_cancellation_spares_the_state_of_a_job_of_another_queue(clock):
    simulation = Simulation(clock, entries=3)
    simulation.advance(1.0)
    simulation.submit("watch", WATCH).unwrap()
    simulation.submit("watch", WATCH, queue="batch").unwrap()
    simulation.advance(2.0)
    simulation.cancel("watch").unwrap()
    simulation.advance(5.0)
    assert simulation.get_state("watch", "batch") == "running"


# Guards against a node that refuses a job for ever because no other one is cancelled.
def test_cancelled_job_is_forgotten_after_its_retention(clock):
    jobs = CancelledJobs()
    jobs.record(["queue/job"], clock.now())
    clock.advance(RETENTION_SECONDS + 1.0)
    run = ListedRun("job.0.0.0", 1, "", 0, 0.0)
    assert jobs.choose_stops([run], clock.now()) == []
    assert not jobs.includes("job.0.0.0", clock.now())


# Guards against runs that go on because the scheduling entry ended right after it had
# stored and acknowledged a cancellation, before its next heartbeat.
@pytest.mark.parametrize("since_renewal", [0.0, 0.2, 0.4, 0.6])
def test_cancellation_by_a_scheduling_entry_that_ends_at_once_takes_effect(
    site, since_renewal
):
    site.advance(since_renewal)
    site.rows.cancel("queue", "watch", site.clock.now() + CALL_SECONDS).unwrap()
    site.leader.record_stored_cancellation("queue/watch")
    # What was sent arrives after the end of its sender.
    site.deliver()
    site.kill_entry(site.leader.name)
    site.advance(CANCEL_SECONDS + STOP_SECONDS)
    assert list_running(site) == []


# Guards against heartbeats that grow in number with the number of cancellations.
def test_many_cancellations_cost_few_further_heartbeats(site):
    entry = site.leader
    sent = []
    entry.directory._send_heartbeat = sent.append
    for number in range(100):
        entry.record_cancellation(f"queue/job{number}")
    assert len(sent) == len(site.node_by_name)


# Guards against a run that goes on for ever because its node was away, or restarted,
# while the cancellation of its job was announced and nobody scheduled.
@pytest.mark.parametrize("away", [1.0, 2.5, 4.5])
@pytest.mark.parametrize("is_restarted", [False, True])
def test_node_that_was_away_stops_runs_of_a_cancelled_job(site, away, is_restarted):
    hang(site)
    nodes = list(site.node_by_name)
    for node in nodes:
        if is_restarted:
            site.kill_node(node)
        for entry in site.entry_by_name:
            site.disconnect(entry, node)
    site.cancel("watch").unwrap()
    site.advance(away)
    site.heal()
    for node in nodes if is_restarted else ():
        site.start_node(node)
    site.advance(CANCEL_SECONDS + STOP_SECONDS)
    assert list_running(site) == []


# Guards against a repeated cancellation that is acknowledged and not announced.
def test_repeated_cancellation_is_announced_again(site):
    entry = site.leader
    entry.record_stored_cancellation("queue/watch")
    site.advance(ANNOUNCE_SECONDS + 1.0)
    entry.record_stored_cancellation("queue/watch")
    assert entry.cancellations.list_announced() == ["queue/watch"]


# Guards against jobs that are never started, and cancellations that never take effect,
# because the scheduling entry gets no answers from its feed and renews its lease.
def test_jobs_are_read_while_the_feed_gets_no_answers(site):
    lose_feed(site)
    site.rows.cancel("queue", "watch", site.clock.now() + CALL_SECONDS).unwrap()
    site.submit("late").unwrap()
    site.advance(10.0)
    assert list_running(site) == []
    assert [task for task, _ in site.running if task.startswith("late")]
