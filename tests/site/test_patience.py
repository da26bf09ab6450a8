"""How long tasks wait for places near their data or group, under load and failure."""

import math
import random
from types import SimpleNamespace

import pytest

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.durations import DurationEstimate
from bergamotshore.core.work.model import JobSpec, Step, TaskRef, WorkerSize
from bergamotshore.core.work.placewaits import MAX_WAIT_SECONDS, SETTLING_SECONDS
from bergamotshore.core.work.site import Queue, SiteState
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.entry.waitlog import log_place_waits
from bergamotshore.generated.settings import Scheduling
from bergamotshore.metrics.registry import Registry
from bergamotshore.ports.runner import ListedCompletion, ListedRun, WorkerIncarnation
from tests.site.simulation import SERVICE

CPU = 4000
TASK_CPU = 1000
SPREAD_FACTOR = 1.5
PASS_SECONDS = 0.1
REPORT_SECONDS = 0.4
SECONDS = 2.0


class RackSimulation:
    """Workers in racks that run tasks in virtual time, planned pass by pass."""

    def __init__(self, racks=4, nodes_per_rack=3, **settings):
        self.now = 100.0
        self.settings = {"spread_factor": SPREAD_FACTOR, **settings}
        self.is_patient = True
        self.error_factor = 1.0
        self.queue = Queue("queue", "host", "/queue/", SERVICE, stretch=2.0, slack=1.0)
        self.end_by_job = {}
        self.starts = []
        self.events = []
        self._submitted_at_by_job = {}
        self._sequence = 0
        self.build_cluster(racks, nodes_per_rack)

    def build_cluster(self, racks, nodes_per_rack):
        self.cluster = ClusterState({"queue": self.queue}.get)
        for index in range(racks * nodes_per_rack):
            worker = self.cluster.get_worker(f"node-{index}", "zone-0")
            worker.incarnation = WorkerIncarnation(f"worker-{index}", 1)
            worker.service, worker.size = SERVICE, WorkerSize(CPU, 64000)
            worker.rack = f"r{index // nodes_per_rack}"
            worker.labels = ("a", worker.rack)
            worker.stream = object()
            worker.is_reachable = worker.is_answering = worker.has_right = True

    def list_rack(self, rack="r0"):
        return [w for w in self.cluster.worker_by_node.values() if w.rack == rack]

    def add_job(self, name, *steps, seconds=SECONDS, accepted_at=None, **fields):
        """Add a job; its real durations are the declared ones by the error factor."""
        if not steps:
            estimate = seconds * self.error_factor
            fields = {"tasks": 1, "cpu": TASK_CPU, "estimate": estimate, **fields}
            steps = (Step(**fields),)
        accepted_at = self.now if accepted_at is None else accepted_at
        spec = JobSpec("queue", name, SERVICE, "p", steps, 3, accepted_at=accepted_at)
        self.cluster.add_job(spec)
        self._submitted_at_by_job[spec.key] = self.now
        return spec.key

    def plan(self):
        scheduling = Scheduling(patience=self.is_patient, durations=True)
        view = PlanView(
            self.cluster,
            SiteState(),
            self.now,
            self.now,
            lambda node, at: False,
            scheduling=scheduling,
            **self.settings,
        )
        make_plan(view, may_start=True, is_full_scan=True)

    def step(self):
        self.now += PASS_SECONDS
        is_report_due = round(self.now / PASS_SECONDS) % 4 == 0
        for worker in self.cluster.worker_by_node.values():
            if is_report_due and worker.is_reachable:
                worker.reported_at = self.now
                for run in list(worker.allocation_by_key.values()):
                    self._report(worker, run)
        self.plan()
        self.events += self.cluster.place_waits.pop_events()
        for worker in self.cluster.worker_by_node.values():
            for run in worker.allocation_by_key.values():
                if not run.sent_at:
                    run.sent_at = self.now
                    since = self._submitted_at_by_job[run.ref.job]
                    self.starts.append((run.ref, worker.rack, self.now - since))
                    self.cluster.record_order_result(
                        worker, run.key, "started", self.now
                    )

    def advance(self, seconds):
        until = self.now + seconds - PASS_SECONDS / 2
        while self.now < until:
            self.step()

    def _report(self, worker, run):
        if run.step.is_lasting:
            return
        step = run.step
        is_far = bool(step.rack) and step.rack not in worker.labels
        seconds = step.estimate / self.error_factor * (SPREAD_FACTOR if is_far else 1.0)
        share = max(run.percent / 100, (self.now - run.sent_at) / seconds)
        if share < 1.0:
            listed = ListedRun(run.name, run.number, "", int(100 * share), 0.0)
            self.cluster.record_running(worker, listed, self.now)
            return
        self._sequence += 1
        listed = ListedCompletion(self._sequence, run.name, run.number, "done", "")
        self.cluster.record_completion(worker, listed, self.now)
        progress = self.cluster.job_by_key[run.ref.job]
        if progress.outcome:
            since = self._submitted_at_by_job[run.ref.job]
            self.end_by_job[run.ref.job] = self.now - since

    def list_results(self):
        return [event.result for event in self.events]

    def fill(self, rack="r0", seconds=SECONDS, leave=0):
        """Fill a rack with tasks that started just now."""
        slots = sum(w.size.cpu for w in self.list_rack(rack)) // TASK_CPU - leave
        for number in range(slots):
            name = f"filler-{rack}-{number}-{round(self.now, 1)}"
            self.add_job(name, rack=rack, seconds=seconds)
        self.step()
        assert all(place == rack for _, place, _ in self.starts[-slots:])


@pytest.fixture
def racks():
    """Return a simulation whose term is old enough for waits."""
    simulation = RackSimulation()
    simulation.advance(SETTLING_SECONDS + PASS_SECONDS)
    return simulation


def run_hot_rack(is_patient, load, seed=0, error_factor=1.0):
    """Play 100 jobs of which 60 want one rack; return the simulation after them.

    :param load: Offered work for that rack as a share of its capacity.
    """
    simulation, rng = RackSimulation(), random.Random(seed)
    interval = 0.6 * SECONDS / (len(simulation.list_rack()) * CPU / TASK_CPU * load)
    simulation.is_patient, simulation.error_factor = is_patient, error_factor
    simulation.advance(SETTLING_SECONDS + PASS_SECONDS)
    for number in range(100):
        rack = "r0" if number % 5 < 3 else f"r{1 + number % 3}"
        seconds = SECONDS * rng.lognormvariate(-0.125, 0.5)
        due_at = simulation.now + rng.expovariate(1.0 / interval)
        simulation.add_job(f"job{number}", rack=rack, seconds=seconds)
        while simulation.now < due_at - PASS_SECONDS / 2:
            simulation.step()
    while len(simulation.end_by_job) < 100:
        simulation.step()
    return simulation


def count_far(simulation):
    return sum(
        simulation.cluster.job_by_key[ref.job].spec.steps[ref.step].rack != rack
        for ref, rack, _ in simulation.starts
    )


def get_mean_end(simulation):
    return sum(simulation.end_by_job.values()) / len(simulation.end_by_job)


@pytest.mark.parametrize("load", [0.8, 1.0, 2.0])
def test_a_rack_that_60_of_100_jobs_want_serves_more_of_them_sooner(load):
    patient = [run_hot_rack(True, load, seed) for seed in range(8)]
    impatient = [run_hot_rack(False, load, seed) for seed in range(8)]
    assert sum(map(get_mean_end, patient)) < sum(map(get_mean_end, impatient))
    assert sum(map(count_far, patient)) <= sum(map(count_far, impatient))
    assert "near" in patient[0].list_results()
    assert all(simulation.events == [] for simulation in impatient)


@pytest.mark.parametrize("error_factor", [0.1, 10.0])
def test_durations_wrong_ten_times_cost_callers_little(error_factor):
    patient = run_hot_rack(True, 1.0, error_factor=error_factor)
    impatient = run_hot_rack(False, 1.0, error_factor=error_factor)
    assert get_mean_end(patient) <= 1.05 * get_mean_end(impatient)
    assert max(start for _, _, start in patient.starts) <= MAX_WAIT_SECONDS + 0.5


def test_no_wait_pays_at_a_rack_full_of_long_tasks(racks):
    racks.fill(seconds=60.0)
    for number in range(10):
        racks.add_job(f"job{number}", rack="r0", seconds=2.0)
    racks.step()
    assert [rack for _, rack, _ in racks.starts[-10:]].count("r0") == 0
    assert racks.events == []


def test_a_short_wait_for_a_run_near_its_end_pays(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.add_job("job", rack="r0", seconds=4.0)
    racks.advance(1.0)
    assert racks.starts[-1][1] == "r0"
    assert racks.list_results() == ["began", "near"]


def test_only_as_many_wait_as_room_is_expected_for(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    for number in range(40):
        racks.add_job(f"job{number}", rack="r0", seconds=4.0)
    racks.step()
    assert racks.list_results().count("began") == 12
    assert len(racks.starts) == 12 + 28


@pytest.mark.parametrize(("tasks", "results"), [(12, ["began", "near"]), (13, [])])
def test_a_step_waits_only_if_all_its_tasks_are_expected_near(racks, tasks, results):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.add_job("job", rack="r0", seconds=4.0, tasks=tasks)
    racks.advance(1.0)
    assert racks.list_results() == results
    starts = [rack for ref, rack, _ in racks.starts if ref.job == "queue/job"]
    assert len(starts) == tasks
    assert (set(starts) == {"r0"}) == bool(results)


@pytest.mark.parametrize("fault", ["lost", "draining", "disconnected"])
def test_a_wait_ends_when_the_rack_goes_away(racks, fault):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.add_job("job", rack="r0", seconds=4.0)
    racks.step()
    assert racks.list_results() == ["began"]
    for worker in racks.list_rack():
        match fault:
            case "lost":
                worker.is_reachable = False
            case "draining":
                worker.is_draining = True
            case "disconnected":
                worker.stream = None
    racks.step()
    assert racks.starts[-1][1] != "r0"
    assert racks.list_results() == ["began", "gave-up"]


def test_no_wait_begins_that_would_cost_the_deadline(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    # Objective 9 s after acceptance; a start elsewhere now ends 6 s from now.
    racks.add_job("early", rack="r0", seconds=4.0, accepted_at=racks.now)
    racks.add_job("tight", rack="r0", seconds=4.0, accepted_at=racks.now - 2.5)
    racks.step()
    assert [event.ref.job for event in racks.events] == ["queue/early"]
    assert racks.starts[-1][0].job == "queue/tight"


def test_a_wait_ends_before_a_start_elsewhere_would_miss_the_deadline(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    accepted_at = racks.now - 1.7
    racks.add_job("job", rack="r0", seconds=4.0, accepted_at=accepted_at)
    racks.step()
    assert racks.list_results() == ["began"]
    wait = next(iter(racks.cluster.place_waits.wait_by_ref.values()))
    # The objective is 9 s after acceptance, and elsewhere the job takes 6 s.
    assert wait.ends_at - wait.began_at > 0.5
    assert wait.ends_at + 6.0 <= accepted_at + 9.0


def test_a_wait_in_vain_ends_by_the_cap_and_is_not_repeated(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.add_job("job", rack="r0", seconds=30.0)
    # The runs stand still just before their end.
    for worker in racks.list_rack():
        for run in worker.allocation_by_key.values():
            run.sent_at += 1e6
    began_at = racks.now
    while not any(ref.job == "queue/job" for ref, _, _ in racks.starts):
        racks.step()
        assert racks.now - began_at < MAX_WAIT_SECONDS + 2 * PASS_SECONDS + 0.01
    assert racks.list_results() == ["began", "gave-up"]
    run = next(
        (worker, run)
        for worker in racks.cluster.worker_by_node.values()
        for run in worker.allocation_by_key.values()
        if run.ref.job == "queue/job"
    )
    racks.cluster.release(*run, "absent", racks.now)
    racks.step()
    assert racks.starts[-1][0].job == "queue/job"
    assert racks.list_results() == ["began", "gave-up"]


def test_waits_in_vain_make_later_ones_rarer_and_time_restores_them(racks):
    waits, place = racks.cluster.place_waits, (SERVICE, "r0")
    estimate = SimpleNamespace(
        place=place, uncorrected=0.5, expected=0.5, gain=4.0, spare=math.inf
    )
    for number in range(6):
        ref = TaskRef(f"queue/{number}", 0, 0, 0)
        assert waits.judge(ref, estimate, racks.now)
        waits.end(ref, "gave-up", racks.now + 1.0)
    assert waits.get_correction(place, racks.now) > 1.5
    assert waits.get_correction(place, racks.now + 60.0) < 1.05


@pytest.mark.parametrize(
    "fields", [{"is_lasting": True}, {"is_filling": True}, {"rack": ""}]
)
def test_lasting_and_best_effort_tasks_and_those_without_data_do_not_wait(
    racks, fields
):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    if fields.get("is_filling"):
        for worker in racks.list_rack():
            worker.size = WorkerSize(CPU, 100)
            worker.used_memory = 100
        fields = {**fields, "memory": 10}
    racks.add_job("job", **{"rack": "r0", "seconds": 4.0, **fields})
    racks.step()
    assert racks.starts[-1][0].job == "queue/job"
    assert racks.events == []


def test_a_new_term_lets_nothing_wait_at_first_and_then_as_before(racks):
    racks.fill(seconds=9.0)
    racks.advance(8.4)
    racks.add_job("job1", rack="r0", seconds=20.0)
    racks.step()
    assert racks.list_results() == ["began"]
    # The entry dies: the next one knows the jobs, their runs and no waits.
    old = racks.cluster
    racks.build_cluster(4, 3)
    for progress in old.job_by_key.values():
        racks.cluster.add_progress(progress)
    for worker in old.worker_by_node.values():
        for run in worker.allocation_by_key.values():
            racks.cluster.worker_by_node[worker.node].allocate(run)
    racks.step()
    assert racks.starts[-1][0].job == "queue/job1"
    assert racks.starts[-1][1] != "r0"
    racks.advance(SETTLING_SECONDS)
    racks.fill(seconds=2.0, leave=len(racks.list_rack()[0].allocation_by_key))
    racks.advance(1.6)
    racks.add_job("job2", rack="r0", seconds=4.0)
    racks.step()
    assert racks.list_results()[-1] == "began"


@pytest.mark.parametrize("learned", [math.nan, math.inf, -1.0, 1e30, None])
def test_unusable_durations_are_logged_once_and_replaced(racks, learned):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.cluster.durations.get_estimate = lambda queue, step: DurationEstimate(
        learned, math.inf, 9
    )
    racks.add_job("job1", rack="r0", seconds=4.0)
    racks.add_job("job2", rack="r0", seconds=4.0)
    racks.step()
    assert sorted(racks.list_results()) == ["began", "began", "unusable"]


@pytest.mark.parametrize("factor", [0.2, math.nan, math.inf, -3.0, 1e30])
def test_an_unusable_spread_factor_lets_nothing_wait(racks, factor):
    racks.settings["spread_factor"] = factor
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.add_job("job", rack="r0", seconds=4.0)
    racks.step()
    assert racks.starts[-1][0].job == "queue/job"
    assert racks.list_results() == ["unusable"]


def test_absurd_progress_lets_nothing_wait(racks):
    racks.fill(seconds=2.0)
    racks.advance(0.8)
    for worker in racks.list_rack():
        for run in worker.allocation_by_key.values():
            run.percent, run.started_at = -(10**30), -1e30
    racks.add_job("job", rack="r0", seconds=4.0)
    racks.step()
    assert racks.starts[-1][0].job == "queue/job"


def test_a_gang_waits_for_room_in_one_rack(racks):
    for rack in ("r0", "r1", "r2", "r3"):
        racks.fill(rack, seconds=2.0, leave=4)
    racks.advance(1.6)
    gang = Step(8, cpu=TASK_CPU, estimate=6.0, is_gang=True, is_tight=True)
    racks.add_job("gang", gang)
    racks.advance(1.0)
    places = {rack for ref, rack, _ in racks.starts if ref.job == "queue/gang"}
    assert len(places) == 1
    assert racks.list_results() == ["began", "near"]


def test_a_gang_too_large_for_a_rack_does_not_wait(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    gang = Step(20, cpu=TASK_CPU, estimate=6.0, is_gang=True, is_tight=True)
    racks.add_job("gang", gang)
    racks.step()
    assert len({rack for _, rack, _ in racks.starts[-20:]}) > 1
    assert racks.events == []


@pytest.mark.parametrize("settings", [{"spread_factor": 1.0}, {}])
def test_nothing_waits_while_patience_is_off(settings):
    simulation = RackSimulation(**settings)
    simulation.is_patient = bool(settings)
    simulation.advance(SETTLING_SECONDS + PASS_SECONDS)
    simulation.fill(seconds=2.0)
    simulation.advance(1.6)
    simulation.add_job("job", rack="r0", seconds=4.0)
    simulation.step()
    assert simulation.starts[-1][0].job == "queue/job"
    assert simulation.events == []


def test_log_lines_and_counters_tell_the_estimate_behind_a_wait(racks):
    racks.fill(seconds=2.0)
    racks.advance(1.6)
    racks.add_job("job", rack="r0", seconds=4.0)
    racks.plan()
    registry, lines = Registry("entry"), []
    log = SimpleNamespace(write=lambda *words, **fields: lines.append((words, fields)))
    log_place_waits(racks.cluster.place_waits, registry, log)
    words, fields = lines[0]
    assert words == ("place-wait", "job.0.0.0")
    assert fields["result"] == "began" and fields["rack"] == "r0"
    assert fields["gain"] == 2.0 and 0.0 < fields["expected"] <= 1.0
    assert 'place_waits_total{result="began"} 1' in registry.render()


@pytest.fixture
def patient_site(simulation):
    """Return a simulation of whole processes with one worker near the data."""
    for node, rack in (("node-0", "r1"), ("node-1", "r2"), ("node-2", "r2")):
        simulation.runner_by_node[node].rack = rack
    for entry in simulation.entry_by_name.values():
        entry.dispatcher.scheduling = Scheduling(patience=True)
        entry.dispatcher.spread_factor = 3.0
    simulation.advance(SETTLING_SECONDS + 1.0)
    fields = {"cpu": 4000, "rack": "r1"}
    simulation.submit("filler", (Step(4, estimate=5.0, **fields),))
    simulation.advance(4.5)
    assert len(simulation.runner_by_node["node-0"].run_by_task) == 4
    simulation.submit("job", (Step(1, estimate=4.0, **fields),))
    simulation.advance(0.3)
    assert any(
        line.startswith("event=place-wait ") and "result=began" in line
        for line in simulation.lines
    )
    assert "job.0.0.0" not in {task for task, _, _ in simulation.ledger.starts}
    return simulation


def test_a_task_starts_near_its_data_when_room_frees(patient_site):
    patient_site.finish_all()
    patient_site.advance(0.5)
    assert "job.0.0.0" in patient_site.runner_by_node["node-0"].run_by_task
    assert any("result=near" in line for line in patient_site.lines)
    assert patient_site.ledger.problems == []


def test_a_wait_that_outlives_its_scheduling_entry_ends_with_one_start(patient_site):
    patient_site.kill_entry(patient_site.leader.name)
    patient_site.advance(6.0)
    starts = [start for start in patient_site.ledger.starts if start[0] == "job.0.0.0"]
    assert len(starts) == 1
    assert patient_site.ledger.problems == []


def test_a_wait_ends_by_its_bound_while_the_store_is_away(patient_site):
    patient_site.store.is_down = True
    patient_site.advance(MAX_WAIT_SECONDS + 0.5)
    patient_site.store.is_down = False
    patient_site.advance(2.0)
    starts = [start for start in patient_site.ledger.starts if start[0] == "job.0.0.0"]
    assert len(starts) == 1
    assert patient_site.ledger.problems == []
