"""Unexpected errors: the job, worker or row that causes one is left out alone."""

import msgspec
import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.model import JobSpec, Step, TaskRef, encode_spec
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.entry.jobrows import JOBS, RUNS, get_row_id
from bergamotshore.exceptions import StateError
from bergamotshore.ports.rows import Put, RowId, RowPage, StoredRow
from bergamotshore.ports.runner import ListedCompletion
from tests.site.simulation import SERVICE, Simulation, build_configuration
from tests.site.workers import (
    build_best_effort_step,
    build_latency_critical_step,
    build_worker,
    place_run,
)

SHORT = Step(tasks=2, cpu=2000, memory=100)


class Broken:
    """A value with which nothing can be done."""

    def __getattribute__(self, name):
        raise RuntimeError(name)

    def __eq__(self, other):
        raise RuntimeError("compared")

    __hash__ = None


@pytest.fixture
def cluster():
    """Return three workers with tasks of both kinds and a waiting job."""
    cluster = ClusterState(build_configuration().get_queue)
    for index in range(3):
        worker = build_worker(f"node-{index}")
        cluster.worker_by_node[worker.node] = worker
        place_run(worker, build_latency_critical_step(), f"s{index}", usage=20.0)
        place_run(worker, build_best_effort_step(), f"f{index}", usage=900.0)
    add_job(cluster, "waiting")
    return cluster


def add_job(cluster, name, step=SHORT):
    return cluster.add_job(JobSpec("queue", name, SERVICE, "p", (step,), 3))


def plan(cluster, now=100.0):
    """Run one whole planning pass; return the plan and the view."""
    site = SiteState(build_configuration())
    view = PlanView(
        cluster,
        site,
        now,
        now,
        lambda node, at: False,
        collector=ErrorCollector(),
    )
    return make_plan(view, may_start=True, is_full_scan=True), view


def list_placed(cluster, job="queue/waiting"):
    return [
        worker.node
        for worker in cluster.worker_by_node.values()
        for run in worker.allocation_by_key.values()
        if run.ref.job == job
    ]


# Guards against one worker that ends the planning of all others.
@pytest.mark.parametrize("field", ["size", "labels", "zone", "latency_critical_cpu"])
def test_a_worker_that_raises_errors_is_left_out_of_the_plan(cluster, field):
    step = Step(tasks=2, cpu=2000, memory=100, rack="r1", label="a")
    add_job(cluster, "labelled", step)
    add_job(cluster, "filling", build_best_effort_step(tasks=2))
    cluster.interference.factor_by_pair = {("web", "crunch"): 0.0}
    for worker in cluster.worker_by_node.values():
        worker.labels = ("a",)
    setattr(cluster.worker_by_node["node-1"], field, Broken())
    _, view = plan(cluster)
    for job in ("waiting", "labelled", "filling"):
        placed = list_placed(cluster, f"queue/{job}")
        assert len(placed) == 2, job
        assert field == "latency_critical_cpu" or "node-1" not in placed
    assert {error.subject for error in view.errors} == {"node-1"}


# Guards against one job that ends the planning of all others.
@pytest.mark.parametrize(
    "step",
    [
        Step(tasks=2, cpu="many"),
        Step(tasks=2, after=(7,)),
        Step(tasks=2, estimate=None),
        Step(tasks=2, cpu=100, is_gang=True, memory=None),
        Step(tasks=2, cpu=100, is_filling=True, image=["web"]),
    ],
)
def test_a_job_that_raises_errors_is_left_out_of_the_plan(cluster, step):
    add_job(cluster, "broken", step)
    add_job(cluster, "zlast")
    _, view = plan(cluster)
    assert len(list_placed(cluster)) == 2
    assert len(list_placed(cluster, "queue/zlast")) == 2
    assert "queue/broken" in {error.subject for error in view.errors}


# Guards against a task that is claimed again because the planning of its step began
# anew after an error.
def test_no_task_is_claimed_twice_after_an_error(cluster, monkeypatch):
    claimed = []
    claim = ClusterState.claim

    def break_a_worker_after_the_first_claim(self, ref, *arguments):
        claimed.append(ref)
        if len(claimed) == 1:
            cluster.worker_by_node["node-2"].size = Broken()
        return claim(self, ref, *arguments)

    monkeypatch.setattr(ClusterState, "claim", break_a_worker_after_the_first_claim)
    _, view = plan(cluster)
    assert "node-2" in {error.subject for error in view.errors}
    assert len(claimed) == len(set(claimed)) == 2


# Guards against going on with a state of which a part was changed.
def test_an_error_within_a_change_of_the_state_is_not_contained(cluster):
    worker = cluster.worker_by_node["node-0"]
    worker.used_cpu = None
    with pytest.raises(StateError):
        cluster.claim(TaskRef("queue/waiting", 0, 0, 0), worker, 1.0)


@pytest.fixture
def erring(simulation):
    """Return a simulation in which processes may meet unexpected errors."""
    simulation.allows_errors = True
    return simulation


def submit_unchecked(simulation, job_id, steps):
    """Store a job as no caller could submit it."""
    spec = JobSpec("queue", job_id, SERVICE, "payload", steps, 3)
    put = Put(get_row_id(JOBS, spec.key), encode_spec(spec))
    simulation.store.transact([], [put], []).unwrap()
    return spec


# Guards against a stored job that ends one scheduling entry after another.
def test_a_stored_job_that_raises_errors_stops_no_other(erring):
    submit_unchecked(erring, "broken", (Step(tasks=1, after=(7,)),))
    erring.submit("job1", (SHORT,))
    erring.advance(1.0)
    assert len(erring.running) == 2
    epoch = erring.leader.dispatcher.epoch
    erring.kill_entry(erring.leader.name)
    erring.advance(6.0)
    erring.submit("job2", (SHORT,))
    erring.advance(1.0)
    assert len(erring.running) == 4
    assert erring.leader.dispatcher.epoch == epoch + 1
    left_out = [line for line in erring.lines if "event=left-out" in line]
    assert left_out
    assert all("subject=queue/broken" in line for line in left_out)


@pytest.mark.parametrize(
    "content",
    [
        b"\xc1",
        msgspec.msgpack.encode([0, "", {0: [[[0, 0, 1]]]}]),
        msgspec.msgpack.encode([0, "", {0: [[], [], []]}]),
        msgspec.msgpack.encode([0, "", {0: [[[0, 0, 1, "", [[1]]], []]]}]),
    ],
)
# Guards against a row of runs that ends the takeover of one entry after another, and
# against starting its tasks from scratch, of which some may run.
def test_unreadable_runs_of_a_job_hold_up_no_takeover(erring, content):
    erring.submit("broken", (SHORT,))
    erring.submit("job1", (SHORT,))
    erring.advance(1.0)
    assert len(erring.running) == 4
    starts = len(erring.ledger.starts)
    put = Put(get_row_id(RUNS, "queue/broken"), content)
    erring.store.transact([], [put], []).unwrap()
    erring.kill_entry(erring.leader.name)
    erring.advance(6.0)
    erring.store.compact()
    erring.advance(1.0)
    erring.submit("job2", (SHORT,))
    erring.advance(1.0)
    assert erring.leader is not None
    assert len(erring.ledger.starts) == starts + 2
    assert {task for task, _ in erring.running} >= {
        "job1.0.0.0",
        "job1.0.0.1",
        "job2.0.0.0",
        "job2.0.0.1",
    }
    assert erring.ledger.problems == []


# Guards against a worker that lists the end of a task by a name that is none.
@pytest.mark.parametrize("name", ["job1", "job1.0.0", "job1.a.b.c", "job1.9.9.9"])
def test_an_end_of_no_task_is_acknowledged_and_stops_nothing(simulation, name):
    simulation.submit("job1", (SHORT,))
    simulation.advance(1.0)
    runner = next(r for r in simulation.runner_by_node.values() if r.run_by_task)
    runner.sequence += 1
    end = ListedCompletion(runner.sequence, name, 1, "done", "")
    runner.ends.append(end)
    simulation.advance(1.0)
    assert end not in runner.ends
    simulation.finish_all()
    simulation.advance(1.0)
    assert simulation.get_state("job1") == "done"


# Guards against going on with a state of which a part was changed, and against an error
# that ends the process: the next term begins with what is stored.
def test_an_error_within_a_change_of_the_state_ends_the_term(erring, monkeypatch):
    erring.submit("job1", (SHORT,))
    erring.advance(1.0)
    first = erring.leader
    worker = next(iter(first.dispatcher.cluster.worker_by_node.values()))
    monkeypatch.setattr(worker, "allocation_by_key", None)
    erring.submit("job2", (SHORT,))
    erring.advance(0.3)
    assert first.dispatcher.epoch == 0
    erring.advance(8.0)
    assert erring.leader is not None
    assert erring.leader is not first
    assert len(erring.running) == 4
    assert len(erring.ledger.starts) == 4
    assert erring.ledger.problems == []


# Guards against a single entry that never schedules again after such an error.
def test_a_term_that_was_abandoned_is_followed_by_another(clock):
    simulation = Simulation(clock, entries=1)
    simulation.allows_errors = True
    simulation.advance(1.0)
    epoch = simulation.leader.dispatcher.epoch
    simulation.leader.election.stand_back(4.0)
    simulation.advance(3.0)
    assert simulation.leader is None
    simulation.advance(3.0)
    assert simulation.leader.dispatcher.epoch > epoch


# Guards against one row of the operator that ends all entries at once.
def test_an_operator_row_that_raises_an_error_hides_no_other(erring):
    follower = erring.leader.follower
    follower._apply(
        RowPage(
            [
                StoredRow(RowId("op", "", "wave/\u00b2"), 5, b"", True),
                StoredRow(RowId("op", "", "evacuate/zone-1"), 6, b"1"),
            ],
            6,
        )
    )
    assert follower.state.closed_zones == {"zone-1"}
