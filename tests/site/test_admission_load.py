"""Refusal of jobs on arrival under load, at entries that share one estimate."""

import pytest

from bergamotshore.core.work.admission import MAX_AGE_SECONDS
from bergamotshore.core.work.model import JobSpec, Step, TaskRef
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.core.work.workers import LATENCY_CRITICAL_IDLE_SHARE
from bergamotshore.entry.admission import decode_backlog
from bergamotshore.generated.settings import Scheduling
from bergamotshore.utils.eventlog import EventLog
from tests.site.doorload import CORES_PER_WORKER, QUEUE, SERVICE, DoorLoad

TRAFFIC_SECONDS = 60.0
DRAIN_SECONDS = 40.0
JOB = {"tasks": 4, "seconds": 2.0}
JOB_CORE_SECONDS = 8.0
# Time within which refusals end once there is capacity again, in seconds.
RECOVERY_SECONDS = 2.0


@pytest.fixture
def lines():
    return []


@pytest.fixture
def build_load(clock, registry, lines):
    def build(**options):
        log = EventLog(clock, emit=lines.append)
        return DoorLoad(clock, registry, log, **options)

    return build


def get_rate(load, share):
    """Return the jobs per second that take a share of the capacity."""
    return share * load.cores / JOB_CORE_SECONDS


# Guards against entries that accept all of an overload, so that nearly all of it ends
# when it is of no use: without refusals 0.35 and 0.24 at two and four times.
@pytest.mark.parametrize(("share", "least"), [(1.2, 0.8), (2.0, 0.8), (4.0, 0.7)])
def test_overload_that_lasts_leaves_the_capacity_to_jobs_that_are_of_use(
    build_load, share, least
):
    load = build_load()
    possible = TRAFFIC_SECONDS * get_rate(load, 1.0)
    load.run(TRAFFIC_SECONDS, [(get_rate(load, share), JOB)])
    load.run(DRAIN_SECONDS)
    assert load.refused
    assert load.count_of_use(JOB["seconds"]) >= least * possible
    # What was accepted stays accepted, and ends.
    assert load.ended.keys() == load.accepted.keys()


def test_load_below_the_capacity_is_never_refused(build_load):
    load = build_load(workers=40)
    while len(load.accepted) + len(load.refused) < 5000:
        load.run(10.0, [(get_rate(load, 0.9), JOB)])
    assert load.refused == []


def test_burst_of_one_caller_of_ten_leaves_jobs_of_use_and_ends_without_refusals(
    build_load,
):
    names = [f"queue-{number}" for number in range(10)]
    queues = [Queue(n, "h", f"/{n}/", SERVICE, stretch=1.5, slack=1.0) for n in names]
    load = build_load(queues=queues)
    usual = [(get_rate(load, 0.08), {**JOB, "queue": name}) for name in names]
    load.run(20.0, usual)
    assert load.refused == []
    burst = [(get_rate(load, 2.0), {**JOB, "queue": names[0]})]
    load.run(20.0, usual + burst)
    assert load.refused
    # The rest of the backlog drains beside the usual load.
    load.run(DRAIN_SECONDS, usual)
    count = len(load.refused)
    load.run(20.0, usual)
    assert len(load.refused) == count
    assert load.count_of_use(JOB["seconds"]) >= 0.8 * len(load.ended)


def test_burst_of_a_lower_class_leads_to_no_refusal_in_the_class_above(build_load):
    low = Queue("low", "h", "/l/", SERVICE, priority=2, stretch=1.5, slack=1.0)
    load = build_load(queues=(QUEUE, low))
    load.run(
        TRAFFIC_SECONDS,
        [(get_rate(load, 0.5), JOB), (get_rate(load, 3.0), {**JOB, "queue": "low"})],
    )
    assert {queue for _, queue, _ in load.refused} == {"low"}


def test_refusals_end_when_capacity_returns(build_load):
    load = build_load()
    rate = get_rate(load, 0.9)
    for number in range(7):
        load.lose_worker(f"node-{number}")
    load.run(TRAFFIC_SECONDS, [(rate, JOB)])
    assert load.refused
    for number in range(7):
        load.add_worker(f"node-{number}")
    returned_at = load.clock.now()
    load.run(30.0, [(rate, JOB)])
    late = [at for at, _, _ in load.refused if at > returned_at + RECOVERY_SECONDS]
    assert late == []


# Guards against refusals by a loss of contact that is over in a moment.
def test_workers_that_are_away_for_a_moment_still_count(build_load):
    load = build_load(error=0.0)
    for _ in range(20):
        load.submit(**JOB)
    load.run(0.5)
    workers = list(load.cluster.worker_by_node.values())
    for worker in workers[:9]:
        worker.is_reachable = False
    load.run(1.3, [(get_rate(load, 0.5), JOB)])
    assert load.refused == []
    # A loss that lasts is believed.
    load.run(5.0, [(get_rate(load, 0.5), JOB)])
    assert load.refused


def test_lost_scheduling_entry_ends_refusals_once_the_estimate_is_old(
    build_load, lines
):
    load = build_load()
    rates = [(get_rate(load, 4.0), JOB)]
    load.run(20.0, rates)
    load.is_scheduler_there = False
    lost_at = load.clock.now()
    load.run(10.0, rates)
    last_refused_at = max(at for at, _, _ in load.refused)
    assert lost_at < last_refused_at <= lost_at + MAX_AGE_SECONDS
    assert any(line.startswith("event=admission-fallback ") for line in lines)
    load.is_scheduler_there = True
    load.run(2.0, rates)
    assert load.refused[-1][0] > lost_at + 10.0


# Guards against entries that each fill the same gap between two estimates.
def test_entries_count_what_the_others_accept_between_two_estimates(build_load):
    load = build_load(error=0.0)
    load.run(20.0, [(get_rate(load, 2.0), JOB)])
    for number in range(10):
        load.add_worker(f"new-{number}")
    load.run(0.5)
    load.is_scheduler_there = False
    before = len(load.accepted)
    load.run(1.0, [(get_rate(load, 30.0), JOB)])
    # The work ahead fills the longest wait of 7.6 s at twice the capacity, less the
    # half that was there; one second of work is done meanwhile.
    gap = (7.6 / 2 + 1.5) * load.cores / JOB_CORE_SECONDS
    assert 0.5 * gap <= len(load.accepted) - before <= 1.6 * gap


def test_narrow_work_that_lasts_keeps_nobody_waiting(build_load):
    slow = Queue("slow", "h", "/s/", SERVICE, stretch=1.5, slack=1.0)
    low = Queue("low", "h", "/l/", SERVICE, priority=2, stretch=1.5, slack=1.0)
    load = build_load(queues=(slow, low), error=0.0)
    for _ in range(8):
        load.submit(tasks=4, seconds=100.0, queue="slow")
    load.run(TRAFFIC_SECONDS, [(get_rate(load, 0.1), {**JOB, "queue": "low"})])
    assert load.refused == []


def test_refused_callers_return_apart(build_load):
    load = build_load()
    load.run(TRAFFIC_SECONDS, [(get_rate(load, 4.0), JOB)])
    times = [refusal.retry for _, _, refusal in load.refused]
    assert len(set(times)) >= 3
    assert min(times) >= 1
    assert max(times) <= 30


def test_capacity_of_long_running_tasks_is_not_counted(build_load):
    load = build_load(error=0.0)
    load.run(1.0)
    worker = load.cluster.worker_by_node["node-0"]
    spec = JobSpec(
        "queue",
        "service",
        SERVICE,
        "",
        (Step(1, cpu=3000, is_lasting=True, goal_ms=5.0),),
    )
    load.cluster.add_job(spec).open_due_occurrences(0.0)
    load.cluster.claim(TaskRef(spec.key, 0, 0, 0), worker, load.clock.now())
    load.run(4.0)
    content = decode_backlog(load.entries[0].encode())
    whole = 10 * CORES_PER_WORKER / 1000
    assert content.cores_by_service == {SERVICE: whole - 3.0}
    # Best-effort work may use what a latency-critical task reserves and leaves idle.
    used = 3.0 * (1.0 - LATENCY_CRITICAL_IDLE_SHARE)
    assert content.filling_cores_by_service == {SERVICE: pytest.approx(whole - used)}


# Guards against an estimate that no other entry takes, because a row decreases: in a
# trial, copies and rounding made one.
def test_estimate_beside_copies_and_progress_is_taken_by_all_entries(build_load, lines):
    load = build_load(error=0.9)
    for seconds in (0.7, 1.3, 2.9, 5.1, 9.7):
        load.submit(tasks=8, seconds=seconds)
    load.run(0.3)
    for worker, run in [(worker, run) for _, worker, run in load._runs]:
        run.percent = 97
        copy = load.cluster.claim(run.ref, worker, load.clock.now(), number=9)
        copy.percent = 97
    load.run(1.0)
    assert all(entry.encode() for entry in load.entries)
    assert not any(line.startswith("event=estimate-invalid ") for line in lines)


NOWHERE = {
    "too wide": (Step(tasks=20, cpu=32000, memory=1, estimate=20.0),),
    "label": (Step(tasks=100, cpu=1000, memory=1, estimate=20.0, label="nowhere"),),
    "chain": tuple(
        Step(1, cpu=1000, memory=1, estimate=20.0, after=(n - 1,) if n else ())
        for n in range(20)
    ),
}


# Guards against refusals beside idle cores, behind work that can't use them.
@pytest.mark.parametrize("steps", NOWHERE.values(), ids=NOWHERE)
def test_work_that_leaves_the_cores_idle_leads_to_no_refusal(build_load, steps):
    high = Queue("high", "h", "/h/", SERVICE, priority=0, stretch=1.5, slack=1.0)
    low = Queue("low", "h", "/l/", SERVICE, priority=2, stretch=1.5, slack=1.0)
    load = build_load(queues=(high, low), error=0.0)
    for number in range(4):
        spec = JobSpec("high", f"job-{number}", SERVICE, "", steps)
        load.cluster.add_job(spec).open_due_occurrences(0.0)
    load.run(1.0)
    for _ in range(20):
        load.submit(**{**JOB, "queue": "low"})
    assert load.refused == []


def measure_blocked(load, label):
    """Return the work that is told for a step which needs a label."""
    step = Step(tasks=20, cpu=1000, memory=1, estimate=20.0, label=label)
    spec = JobSpec("queue", "blocked", SERVICE, "", (step,))
    load.cluster.add_job(spec).open_due_occurrences(0.0)
    load.run(0.5)
    return decode_backlog(load.entries[0].encode()).classes


def test_step_that_no_open_worker_can_take_is_not_counted(build_load):
    assert measure_blocked(build_load(error=0.0), "nowhere") == []


def test_step_that_some_open_worker_can_take_is_counted(build_load):
    load = build_load(error=0.0)
    load.cluster.worker_by_node["node-3"].labels = ("somewhere",)
    assert measure_blocked(load, "somewhere")


# Guards against refusals at low load: the balancer gave one entry all jobs of a burst.
def test_burst_at_one_of_eight_entries_is_not_taken_for_one_at_all(build_load):
    load = build_load(entries=8, error=0.0)
    load.run(1.0)
    for _ in range(10):
        load.submit(tasks=4, seconds=1.0)
    load.run(0.5)
    # All cores are at work, with a second of work ahead.
    load.entries = load.entries[:1]
    for _ in range(10):
        load.submit(**JOB)
    assert load.refused == []


class BrokenJobs:
    """Cluster whose jobs can't be read, with the workers of another."""

    def __init__(self, cluster):
        self._cluster = cluster

    def __getattr__(self, name):
        if name == "job_by_key":
            raise ValueError("broken")
        return getattr(self._cluster, name)


# Guards against memory that grows while each estimate fails.
def test_finished_work_is_forgotten_although_no_estimate_succeeds(build_load):
    load = build_load(error=0.0)
    load.run(5.0, [(get_rate(load, 0.5), JOB)])
    view = PlanView(
        BrokenJobs(load.cluster),
        SiteState(),
        load.clock.now() + 60.0,
        load.clock.now() + 60.0,
        lambda node, at: False,
        scheduling=Scheduling(admission=True),
    )
    assert load.tracker._drained
    with pytest.raises(ValueError, match="broken"):
        load.tracker.measure(view)
    assert not load.tracker._drained
