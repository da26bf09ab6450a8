"""The promises about tasks over any order of events and faults."""

import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bergamotshore.adapters.rowwrites import build_write
from bergamotshore.core.jobs import cancel_job, create_job, get_job_id
from bergamotshore.generated.messages import TaskSpec
from bergamotshore.generated.rows import ConfigRow
from tests.model import TTL_SECONDS, ZONE_BY_NODE, ModelSite

SPEC = TaskSpec(command=["x"], processors=1.5, memory_gb=2.0, work_seconds=5)
HEAL_SECONDS = 40.0
POSITIONS = st.integers(0, 1)


def submit(site, name, count=2, kind="batch"):
    row = create_job("t", name, kind, "submitted", SPEC, count)
    site.entries[0].jobs.create(row)
    return get_job_id(row)


def get_row(site, job_id):
    return site.entries[0].jobs.find(job_id).unwrap()


def list_running(site):
    return sorted(k for w in site.worker_by_node.values() for k in w.list_running())


def complete_all(site):
    for worker in site.worker_by_node.values():
        for key in worker.list_running():
            if key[0] != "t/watcher":
                worker.complete(key)


@pytest.fixture
def site():
    site = ModelSite()
    site.advance(3.0)
    return site


def test_tasks_run_and_complete_once(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    assert len(list_running(site)) == 2
    complete_all(site)
    site.advance(2.0)
    assert [task.state for task in get_row(site, job_id).tasks] == ["completed"] * 2
    assert site.table.scan("job-open/").unwrap() == []


def test_a_taken_out_data_centre_gives_its_work_away_with_a_checkpoint(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    zone = get_row(site, job_id).tasks[0].zone
    site.set_gate(zone, False)
    site.advance(3.0)
    tasks = get_row(site, job_id).tasks
    assert all(task.zone != zone for task in tasks)
    assert tasks[0].attempt == 2
    assert tasks[0].checkpoint == "checkpoint-1"
    assert len(list_running(site)) == 2


def test_a_dead_machine_gives_its_work_away_after_the_lease(site):
    job_id = submit(site, "job", count=1)
    site.advance(2.0)
    name = get_row(site, job_id).tasks[0].node
    position = list(ZONE_BY_NODE).index(name)
    site.nodes[position].is_paused = True
    site.worker_by_node[name].restart()
    site.advance(TTL_SECONDS)
    assert get_row(site, job_id).tasks[0].attempt == 1
    site.advance(TTL_SECONDS)
    assert get_row(site, job_id).tasks[0].attempt == 2
    assert len(list_running(site)) == 1


def test_a_restarted_node_keeps_what_its_worker_runs(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    before = list_running(site)
    site.replace_node(0, with_worker=False)
    site.replace_node(1, with_worker=False)
    site.advance(6.0)
    assert list_running(site) == before
    complete_all(site)
    site.advance(3.0)
    assert [task.state for task in get_row(site, job_id).tasks] == ["completed"] * 2


def test_work_kept_over_a_restart_moves_when_the_machine_dies_later(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    for position in (0, 1):
        site.replace_node(position, with_worker=False)
    site.advance(3.0)
    name = get_row(site, job_id).tasks[0].node
    site.nodes[list(ZONE_BY_NODE).index(name)].is_paused = True
    site.worker_by_node[name].restart()
    site.advance(3 * TTL_SECONDS)
    assert len(list_running(site)) == 2


def test_a_worker_that_fails_everything_does_not_fail_the_jobs(site):
    bad = site.worker_by_node["node-1"]
    bad.fails_everything = True
    jobs = [submit(site, f"job-{number}", count=1) for number in range(8)]
    for _ in range(30):
        site.advance(1.0)
        for key in site.worker_by_node["node-2"].list_running():
            site.worker_by_node["node-2"].complete(key)
    states = [get_row(site, job_id).tasks[0].state for job_id in jobs]
    assert states == ["completed"] * 8
    assert any(
        entry.scheduler.quarantine.list_quarantined(site.clock.now()) == ["node-1"]
        for entry in site.entries
    )


def test_a_job_that_can_never_run_is_told_so_and_starves_nobody(site):
    spec = replace(SPEC, processors=64.0)
    row = create_job("t", "huge", "batch", "submitted", spec, 1)
    site.entries[0].jobs.create(row)
    submit(site, "job")
    site.advance(3.0)
    assert get_row(site, "t/huge").tasks[0].reason == "larger-than-any-worker"
    assert len(list_running(site)) == 2


def test_urgent_work_takes_the_room_of_other_work(site):
    submit(site, "batch", count=4)
    site.advance(3.0)
    row = create_job("t", "urgent", "batch", "submitted", SPEC, 2, urgent=True)
    site.entries[0].jobs.create(row)
    site.advance(4.5)
    running = [key[0] for key in list_running(site)]
    assert running.count("t/urgent") == 2
    for _ in range(3):
        complete_all(site)
        site.advance(3.0)
    states = {task.state for task in get_row(site, "t/batch").tasks}
    assert states == {"completed"}


def test_an_entry_that_lags_cancels_nothing_that_a_newer_document_declares(site):
    """The newer configuration is in the table; this entry still holds the older one."""
    newer = ConfigRow(version=2, versions_by_team={})
    site.table.transact([], [build_write("config", 0, newer)])
    row = create_job("t", "new", "batch", "declared", SPEC, 1)
    site.entries[0].jobs.create(row)
    site.entries[1].scheduler.reconciled_version = 0
    site.advance(4.0)
    assert len(list_running(site)) == 1
    assert not get_row(site, "t/new").is_cancelled


def test_a_wave_of_cancellations_leaves_nothing_running(site):
    jobs = [submit(site, f"job-{number}", count=2) for number in range(10)]
    site.advance(1.0)
    for job_id in jobs:
        held = site.entries[0].jobs.read(job_id).unwrap()
        site.entries[0].jobs.replace(held, cancel_job(held.row))
    site.advance(3.0)
    assert list_running(site) == []
    assert site.table.scan("job-open/").unwrap() == []


def test_a_long_outage_costs_progress_but_no_promise(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    site.table.is_down = True
    site.advance(3 * TTL_SECONDS)
    assert list_running(site) == []
    site.table.is_down = False
    site.advance(1.0)
    assert get_row(site, job_id).tasks[0].checkpoint == "checkpoint-1"
    site.advance(4 * TTL_SECONDS)
    assert len(list_running(site)) == 2
    complete_all(site)
    site.advance(3.0)
    assert get_row(site, job_id).tasks[0].state == "completed"


def test_a_short_outage_stops_nothing(site):
    submit(site, "job")
    site.advance(2.0)
    before = list_running(site)
    site.table.is_down = True
    site.advance(TTL_SECONDS / 2)
    site.table.is_down = False
    site.advance(3 * TTL_SECONDS)
    assert list_running(site) == before


def test_a_claim_whose_start_is_lost_is_handed_back(site):
    site.links[0].is_held = site.links[1].is_held = True
    for link in site.links:
        link.to_node.clear()
    job_id = submit(site, "job", count=1)
    site.entries[0].step()
    site.replace_entry(0)
    site.advance(8.0)
    assert len(list_running(site)) == 1
    assert get_row(site, job_id).tasks[0].attempt == 2


def test_a_start_that_comes_late_is_refused(site):
    for link in site.links:
        link.is_held = True
    submit(site, "job", count=1)
    site.advance(5.0)
    for link in site.links:
        link.is_held = False
        link.deliver()
    assert site.starts == []
    site.advance(6.0)
    assert len(list_running(site)) == 1


def test_cancelled_work_stops_everywhere(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    entry = site.entries[1]
    held = entry.jobs.read(job_id).unwrap()
    entry.jobs.replace(held, cancel_job(held.row))
    site.advance(3.0)
    assert list_running(site) == []
    assert {task.state for task in get_row(site, job_id).tasks} == {"cancelled"}


def test_a_watcher_lives_on_through_failures_and_restarts(site):
    submit(site, "watcher", count=1, kind="watcher")
    for _ in range(7):
        site.advance(3.0)
        (key,) = list_running(site)
        worker = next(w for w in site.worker_by_node.values() if key in w.task_by_key)
        worker.task_by_key[key].state = "failed"
    site.advance(3.0)
    assert len(list_running(site)) == 1


@pytest.mark.parametrize("fault", ["refused", "cut", "lost"])
def test_a_start_that_the_worker_fails_is_tried_again(site, fault):
    for worker in site.worker_by_node.values():
        worker.fault = fault
    submit(site, "job", count=1)
    site.advance(6.0)
    assert len(list_running(site)) == 1


def test_an_entry_that_missed_the_gate_starts_nothing(site):
    for entry in site.entries:
        entry.is_blind = True
    for zone in ZONE_BY_NODE.values():
        site.set_gate(zone, False)
    site.entries[0].configuration.gate_by_zone.clear()
    submit(site, "job")
    site.advance(6.0)
    assert site.starts == []


def test_messages_that_come_twice_act_once(site):
    for link in site.links:
        link.is_doubling = True
    job_id = submit(site, "job")
    site.advance(3.0)
    assert len(list_running(site)) == 2
    site.set_gate(get_row(site, job_id).tasks[0].zone, False)
    site.advance(4.0)
    assert len(list_running(site)) == 2


def test_room_is_free_only_after_a_proven_stop(site):
    submit(site, "job", count=4)
    site.advance(2.0)
    for worker in site.worker_by_node.values():
        worker.stops_to_fail = 8
    site.set_gate("zone-a", False)
    site.advance(1.0)
    site.set_gate("zone-a", True)
    submit(site, "more", count=2)
    site.advance(6.0)


class TaskMachine(RuleBasedStateMachine):
    """Kills, pauses, cuts, outages, lost answers and operators in any order."""

    def __init__(self):
        super().__init__()
        self.site = ModelSite()
        self.count = 0

    @initialize()
    def warm_up(self):
        self.site.advance(3.0)
        submit(self.site, "watcher", count=1, kind="watcher")

    @rule(count=st.integers(1, 3))
    def submit_job(self, count):
        self.count += 1
        submit(self.site, f"job-{self.count}", count)

    @rule()
    def cancel(self):
        jobs = self.site.entries[0].jobs
        for job_id, held in list(jobs.by_job_id.items()):
            if job_id != "t/watcher":
                jobs.replace(held, cancel_job(held.row))
                return

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 2.0, 5.0, 9.0]))
    def advance(self, seconds):
        self.site.advance(seconds)

    @rule(position=POSITIONS, is_paused=st.booleans())
    def pause_node(self, position, is_paused):
        self.site.nodes[position].is_paused = is_paused

    @rule(position=POSITIONS, is_paused=st.booleans())
    def pause_entry(self, position, is_paused):
        self.site.entries[position].is_paused = is_paused

    @rule(position=POSITIONS)
    def kill_entry(self, position):
        self.site.replace_entry(position)

    @rule(position=POSITIONS, with_worker=st.booleans())
    def kill_node(self, position, with_worker):
        self.site.replace_node(position, with_worker)

    @rule(position=st.integers(0, 3))
    def hold_link(self, position):
        self.site.links[position].is_held = True

    @rule(position=st.integers(0, 3), seed=st.integers(0, 9), doubled=st.booleans())
    def release_link(self, position, seed, doubled):
        link = self.site.links[position]
        link.is_held = False
        for messages in (link.to_node, link.to_entry):
            copies = list(messages) * (2 if doubled else 1)
            random.Random(seed).shuffle(copies)
            messages[:] = copies
        link.deliver()

    @rule(position=st.integers(0, 3), is_doubling=st.booleans())
    def double_link(self, position, is_doubling):
        self.site.links[position].is_doubling = is_doubling

    @rule(position=POSITIONS, is_blind=st.booleans())
    def blind_entry(self, position, is_blind):
        """Let an entry act on gates that it read long ago."""
        self.site.entries[position].is_blind = is_blind

    @rule(position=POSITIONS, count=st.integers(1, 6))
    def fail_stops(self, position, count):
        list(self.site.worker_by_node.values())[position].stops_to_fail = count

    @rule(faults=st.lists(st.sampled_from(["lost", "cut", "down", "none"]), max_size=6))
    def fail_transactions(self, faults):
        self.site.table.faults = list(faults)

    @rule(is_down=st.booleans())
    def switch_table(self, is_down):
        self.site.table.is_down = is_down

    @rule(zone=st.sampled_from(["zone-a", "zone-b"]), is_open=st.booleans())
    def switch_zone(self, zone, is_open):
        self.site.set_gate(zone, is_open)

    @rule(position=POSITIONS, fault=st.sampled_from(["refused", "cut", "lost"]))
    def fail_worker(self, position, fault):
        list(self.site.worker_by_node.values())[position].fault = fault

    @rule()
    def complete_some(self):
        complete_all(self.site)

    @invariant()
    def promises_hold(self):
        self.site.check()

    def teardown(self):
        """All that was submitted ends once the faults end."""
        self.site.heal()
        for _ in range(8):
            self.site.advance(HEAL_SECONDS / 8)
            complete_all(self.site)
        self.site.advance(3.0)
        open_jobs = [row.key for row in self.site.table.scan("job-open/").unwrap()]
        assert [key for key in open_jobs if "watcher" not in key] == []
        assert [key[0] for key in list_running(self.site)] == ["t/watcher"]


TestTaskMachine = TaskMachine.TestCase
TestTaskMachine.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
