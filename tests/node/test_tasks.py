"""Tests of the node's task runner and of its lease session."""

import pytest

from bergamotshore.entry.scheduler import ClaimObservation
from bergamotshore.generated.messages import (
    AckTask,
    AttemptId,
    StartTask,
    StopTask,
    TaskEnded,
    TaskInventory,
    TaskSpec,
)
from bergamotshore.generated.settings import Node
from bergamotshore.node.session import SessionManager
from bergamotshore.node.tasks import TaskRunner
from tests.model import ModelWorker

SPEC = TaskSpec(command=["x"], processors=1.5, memory_gb=2.0)


class StartRecorder:
    """Records the starts that a worker executes."""

    def __init__(self):
        self.keys = []

    def record_start(self, key, node):
        self.keys.append(key)


@pytest.fixture
def starts():
    return StartRecorder()


@pytest.fixture
def worker(clock, starts):
    return ModelWorker(clock, "node-1", starts)


@pytest.fixture
def tasks(loop, executor, worker, links, recorder, registry):
    runner = TaskRunner(
        loop,
        executor,
        worker,
        links,
        lambda: "s1",
        lambda: loop.clock.now() + 60,
        lambda: True,
        Node(),
        recorder,
        registry,
    )
    runner.start()
    executor.run_all()
    return runner


def build_start(clock, attempt=1, index=0, session="s1", age=0.0, spec=SPEC):
    return StartTask(
        attempt=AttemptId(job="t/j", index=index, attempt=attempt),
        session=session,
        echo=clock.now() - age,
        spec=spec,
    )


def list_outcomes(stream):
    return [
        (message.outcome, message.reason) for message in stream.list_sent(TaskEnded)
    ]


def test_a_start_runs_and_is_listed(tasks, executor, clock, stream, starts):
    tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    assert starts.keys == [("t/j", 0, 1)]
    inventory = tasks.build_inventory(stream)
    assert len(inventory.attempts) == 1
    assert inventory.processors_free == 2.5


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"session": "s0"}, "session-over"),
        ({"age": 2.1}, "start-too-late"),
        ({"age": -1.0}, "start-too-late"),
        ({"spec": TaskSpec(command=["x"], processors=5.0)}, "no-room"),
    ],
)
def test_refused_starts_do_not_run(
    tasks, executor, clock, stream, starts, fields, reason
):
    tasks.handle_start(stream, build_start(clock, **fields))
    executor.run_all()
    assert starts.keys == []
    assert list_outcomes(stream) == [("not_run", reason)]
    assert tasks.reservations.free == tasks.size


def test_a_duplicate_start_runs_once(tasks, executor, clock, stream, starts):
    for _ in range(2):
        tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    assert starts.keys == [("t/j", 0, 1)]
    assert list_outcomes(stream) == []


def test_two_attempts_of_a_task_never_run_together(
    tasks, executor, clock, stream, starts
):
    tasks.handle_start(stream, build_start(clock, attempt=1))
    tasks.handle_start(stream, build_start(clock, attempt=2))
    executor.run_all()
    assert starts.keys == [("t/j", 0, 1)]
    assert list_outcomes(stream) == [("not_run", "other-attempt-here")]


def test_the_reservation_is_kept_until_the_stop_is_confirmed(
    tasks, executor, worker, loop, clock, stream
):
    tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    worker.stops_to_fail = 1
    tasks.handle_stop(StopTask(attempt=build_start(clock).attempt, mode="evict"))
    executor.run_all()
    assert tasks.reservations.free.processors == 2.5
    assert list_outcomes(stream) == []
    loop.advance(0.3)
    executor.run_all()
    assert tasks.reservations.free.processors == 4.0
    assert stream.list_sent(TaskEnded)[-1].checkpoint == "checkpoint-1"


@pytest.mark.parametrize("fault", ["cut", "lost"])
def test_a_start_of_unknown_outcome_is_stopped_before_it_is_reported(
    tasks, executor, worker, clock, stream, fault
):
    worker.fault = fault
    worker.stops_to_fail = 1
    tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    assert list_outcomes(stream) == []
    tasks.loop.advance(0.3)
    executor.run_all()
    assert list_outcomes(stream) == [("evicted", "")]
    assert worker.list_running() == []


def test_ends_are_reported_until_acknowledged(tasks, executor, loop, clock, stream):
    tasks.handle_start(stream, build_start(clock, session="s0"))
    loop.advance(2.5)
    assert len(list_outcomes(stream)) >= 3
    tasks.handle_ack(AckTask(attempt=build_start(clock).attempt))
    count = len(list_outcomes(stream))
    loop.advance(2.5)
    assert len(list_outcomes(stream)) == count
    assert tasks.is_idle


def test_a_restarted_node_adopts_the_attempts_of_its_worker(
    loop, executor, worker, links, recorder, registry, clock, stream
):
    attempt = AttemptId(job="t/j", index=0, attempt=3)
    worker.start(attempt, SPEC, "", clock.now() + 60)
    ended = AttemptId(job="t/j", index=1, attempt=1)
    worker.start(ended, SPEC, "", clock.now() + 60)
    worker.complete(("t/j", 1, 1))
    runner = TaskRunner(
        loop,
        executor,
        worker,
        links,
        lambda: "s2",
        lambda: clock.now() + 60,
        lambda: True,
        Node(),
        recorder,
        registry,
    )
    runner.start()
    executor.run_all()
    assert runner.reservations.free.processors == 2.5
    assert list_outcomes(stream) == [("completed", "")]
    assert attempt in runner.build_inventory(stream).attempts


def test_tasks_are_evicted_with_a_checkpoint_before_the_lease_ends(
    tasks, executor, loop, clock, stream
):
    lease_end = clock.now() + 120.0
    tasks.get_lease_end = lambda: lease_end
    tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    loop.advance(104.0)
    executor.run_all()
    assert list_outcomes(stream) == []
    loop.advance(1.5)
    executor.run_all()
    assert stream.list_sent(TaskEnded)[0].checkpoint == "checkpoint-1"


def test_draining_evicts_and_starts_nothing(tasks, executor, clock, stream, starts):
    tasks.handle_start(stream, build_start(clock))
    executor.run_all()
    tasks.drain()
    tasks.handle_start(stream, build_start(clock, index=1))
    executor.run_all()
    assert list_outcomes(stream) == [("not_run", "not-in-use"), ("evicted", "")]
    assert starts.keys == [("t/j", 0, 1)]


def build_inventory(taken_at, echo):
    return TaskInventory(
        session="s1",
        taken_at=taken_at,
        echo=echo,
        attempts=[],
        processors_free=1.0,
        memory_free_gb=1.0,
        accelerators_free=0,
    )


@pytest.mark.parametrize(
    ("inventories", "expected"),
    [
        ([(500.0, 9.9)], False),
        ([(500.0, 9.9), (503.0, 9.9)], False),
        ([(500.0, 10.0)], False),
        ([(500.0, 10.0), (501.9, 11.9)], False),
        ([(500.0, 10.0), (502.1, 10.0)], True),
        ([(490.0, 9.0), (500.0, 10.5), (502.1, 12.6)], True),
    ],
)
def test_a_start_expires_only_by_the_clock_of_the_node(inventories, expected):
    """Inventories taken before the claim was observed do not count."""
    observation = ClaimObservation(observed_at=10.0)
    for taken_at, echo in inventories:
        inventory = build_inventory(taken_at, echo)
        observation.record_inventory(inventory)
    assert observation.is_start_expired(inventory, within=2.0) is expected


@pytest.fixture
def session(table, clock, recorder):
    lost = []
    manager = SessionManager(
        table, "n", "z", 8.0, clock, recorder, lambda: "boot-1", lambda: lost.append(1)
    )
    manager.lost = lost
    return manager


def test_a_session_is_renewed_before_it_expires(session, clock):
    for _ in range(10):
        clock.advance(session.step())
        assert session.get_session()


def test_a_session_expires_in_an_outage_and_is_renewed_afterwards(
    session, table, clock
):
    session.step()
    first_session = session.get_session()
    table.is_down = True
    for _ in range(20):
        clock.advance(0.5)
        session.step()
    assert session.get_session() == ""
    table.is_down = False
    session.step()
    assert session.get_session() == first_session


def test_a_session_declared_lapsed_is_replaced(session, table, clock):
    session.step()
    first_session = session.get_session()
    (row,) = table.scan("session/").unwrap()
    table.row_by_key[row.key] = type(row)(row.key, row.version + 1, row.value)
    session.step()
    assert session.get_session() == ""
    assert session.lost == [1]
    clock.advance(1)
    session.step()
    assert session.get_session() not in ("", first_session)


def test_a_replaced_worker_waits_until_the_old_lease_expires(
    table, clock, recorder, session
):
    session.step()
    successor = SessionManager(
        table, "n", "z", 8.0, clock, recorder, lambda: "boot-2", lambda: None
    )
    waited = 0.0
    while not successor.get_session():
        successor.step()
        clock.advance(0.5)
        waited += 0.5
    assert waited > 8.0


def test_an_ended_session_can_be_taken_over_at_once(table, clock, recorder, session):
    session.step()
    session.end()
    successor = SessionManager(
        table, "n", "z", 8.0, clock, recorder, lambda: "boot-2", lambda: None
    )
    successor.step()
    assert successor.get_session()


def test_a_session_survives_a_lost_answer_to_its_renewal(session, table, clock):
    session.step()
    first_session = session.get_session()
    table.faults = ["lost"]
    clock.advance(session.step())
    table.faults = ["cut", "lost"]
    clock.advance(session.step())
    assert session.get_session() == first_session
