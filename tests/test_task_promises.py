"""Tests of the guarantees on tasks, under faults and arbitrary event orders."""

import math
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
from tests.model import TTL_SECONDS, WORKER_SIZE, ZONE_BY_NODE, ModelSite

SPEC = TaskSpec(command=["x"], processors=1.5, memory_gb=2.0, work_seconds=5)
# Length of a recovery round, in seconds: tasks end, and others start in their place.
ROUND_SECONDS = 5.0
MIN_RECOVERY_ROUNDS = 8
# Tasks that run at the same time beside the watcher.
FREE_SLOTS = len(ZONE_BY_NODE) * int(WORKER_SIZE.processors / SPEC.processors) - 1
POSITION_STRATEGY = st.integers(0, 1)


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


def test_tasks_run_and_complete_exactly_once(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    assert len(list_running(site)) == 2
    complete_all(site)
    site.advance(2.0)
    assert [task.state for task in get_row(site, job_id).tasks] == ["completed"] * 2
    assert site.table.scan("job-open/").unwrap() == []


def test_tasks_of_a_closed_data_centre_move_with_their_checkpoint(site):
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


def test_tasks_of_a_failed_machine_move_after_the_lease_ends(site):
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


def test_a_restarted_node_adopts_the_running_tasks_of_its_worker(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    keys_before = list_running(site)
    site.replace_node(0, with_worker=False)
    site.replace_node(1, with_worker=False)
    site.advance(6.0)
    assert list_running(site) == keys_before
    complete_all(site)
    site.advance(3.0)
    assert [task.state for task in get_row(site, job_id).tasks] == ["completed"] * 2


def test_tasks_adopted_after_a_restart_move_when_the_machine_fails_later(site):
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


def test_a_worker_that_fails_every_task_does_not_fail_the_jobs(site):
    failing_worker = site.worker_by_node["node-1"]
    failing_worker.fails_everything = True
    job_ids = [submit(site, f"job-{number}", count=1) for number in range(8)]
    for _ in range(30):
        site.advance(1.0)
        for key in site.worker_by_node["node-2"].list_running():
            site.worker_by_node["node-2"].complete(key)
    states = [get_row(site, job_id).tasks[0].state for job_id in job_ids]
    assert states == ["completed"] * 8
    assert any(
        entry.scheduler.quarantine.list_quarantined(site.clock.now()) == ["node-1"]
        for entry in site.entries
    )


def test_a_job_too_large_for_any_worker_gets_a_reason_and_blocks_no_other(site):
    spec = replace(SPEC, processors=64.0)
    row = create_job("t", "huge", "batch", "submitted", spec, 1)
    site.entries[0].jobs.create(row)
    submit(site, "job")
    site.advance(3.0)
    assert get_row(site, "t/huge").tasks[0].reason == "larger-than-any-worker"
    assert len(list_running(site)) == 2


def test_urgent_tasks_preempt_other_tasks(site):
    submit(site, "batch", count=4)
    site.advance(3.0)
    row = create_job("t", "urgent", "batch", "submitted", SPEC, 2, urgent=True)
    site.entries[0].jobs.create(row)
    site.advance(4.5)
    running_job_ids = [key[0] for key in list_running(site)]
    assert running_job_ids.count("t/urgent") == 2
    for _ in range(3):
        complete_all(site)
        site.advance(3.0)
    states = {task.state for task in get_row(site, "t/batch").tasks}
    assert states == {"completed"}


def test_an_entry_with_an_old_configuration_cancels_no_newly_declared_job(site):
    """The table holds a newer configuration than the entry has read."""
    newer_config = ConfigRow(version=2, versions_by_team={})
    site.table.transact([], [build_write("config", 0, newer_config)])
    row = create_job("t", "new", "batch", "declared", SPEC, 1)
    site.entries[0].jobs.create(row)
    site.entries[1].scheduler.reconciled_version = 0
    site.advance(4.0)
    assert len(list_running(site)) == 1
    assert not get_row(site, "t/new").is_cancelled


def test_many_cancellations_at_once_leave_nothing_running(site):
    job_ids = [submit(site, f"job-{number}", count=2) for number in range(10)]
    site.advance(1.0)
    for job_id in job_ids:
        stored_job = site.entries[0].jobs.read(job_id).unwrap()
        site.entries[0].jobs.replace(stored_job, cancel_job(stored_job.row))
    site.advance(3.0)
    assert list_running(site) == []
    assert site.table.scan("job-open/").unwrap() == []


def test_tasks_stopped_by_a_long_table_outage_resume_from_their_checkpoint(site):
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


def test_a_short_table_outage_stops_no_task(site):
    submit(site, "job")
    site.advance(2.0)
    keys_before = list_running(site)
    site.table.is_down = True
    site.advance(TTL_SECONDS / 2)
    site.table.is_down = False
    site.advance(3 * TTL_SECONDS)
    assert list_running(site) == keys_before


def test_a_claim_whose_start_message_is_lost_is_released(site):
    site.links[0].is_held = site.links[1].is_held = True
    for link in site.links:
        link.to_node.clear()
    job_id = submit(site, "job", count=1)
    site.entries[0].step()
    site.replace_entry(0)
    site.advance(8.0)
    assert len(list_running(site)) == 1
    assert get_row(site, job_id).tasks[0].attempt == 2


def test_a_late_start_message_is_refused(site):
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


def test_tasks_of_a_cancelled_job_stop_on_all_nodes(site):
    job_id = submit(site, "job")
    site.advance(2.0)
    entry = site.entries[1]
    stored_job = entry.jobs.read(job_id).unwrap()
    entry.jobs.replace(stored_job, cancel_job(stored_job.row))
    site.advance(3.0)
    assert list_running(site) == []
    assert {task.state for task in get_row(site, job_id).tasks} == {"cancelled"}


def test_a_watcher_is_restarted_after_every_failure(site):
    submit(site, "watcher", count=1, kind="watcher")
    for _ in range(7):
        site.advance(3.0)
        (key,) = list_running(site)
        worker = next(w for w in site.worker_by_node.values() if key in w.task_by_key)
        worker.task_by_key[key].state = "failed"
    site.advance(3.0)
    assert len(list_running(site)) == 1


@pytest.mark.parametrize("fault", ["refused", "cut", "lost"])
def test_a_start_that_fails_on_the_worker_is_retried(site, fault):
    for worker in site.worker_by_node.values():
        worker.fault = fault
    submit(site, "job", count=1)
    site.advance(6.0)
    assert len(list_running(site)) == 1


def test_an_entry_unaware_of_a_closed_gate_starts_nothing(site):
    for entry in site.entries:
        entry.is_gate_read_blocked = True
    for zone in ZONE_BY_NODE.values():
        site.set_gate(zone, False)
    site.entries[0].configuration.gate_by_zone.clear()
    submit(site, "job")
    site.advance(6.0)
    assert site.starts == []


def test_duplicate_messages_take_effect_once(site):
    for link in site.links:
        link.is_duplicating = True
    job_id = submit(site, "job")
    site.advance(3.0)
    assert len(list_running(site)) == 2
    site.set_gate(get_row(site, job_id).tasks[0].zone, False)
    site.advance(4.0)
    assert len(list_running(site)) == 2


def test_capacity_is_freed_only_after_a_confirmed_stop(site):
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
    """Crashes, pauses, held links, outages, lost responses and operator calls."""

    def __init__(self):
        super().__init__()
        self.site = ModelSite()
        self.count = 0
        self.tasks_by_job = {}

    @initialize()
    def warm_up(self):
        self.site.advance(3.0)
        submit(self.site, "watcher", count=1, kind="watcher")

    @rule(count=st.integers(1, 3))
    def submit_job(self, count):
        self.count += 1
        job_id = submit(self.site, f"job-{self.count}", count)
        self.tasks_by_job[job_id] = count

    @rule()
    def cancel(self):
        jobs = self.site.entries[0].jobs
        for job_id, stored_job in list(jobs.job_by_id.items()):
            if job_id != "t/watcher":
                jobs.replace(stored_job, cancel_job(stored_job.row))
                return

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 2.0, 5.0, 9.0]))
    def advance(self, seconds):
        self.site.advance(seconds)

    @rule(position=POSITION_STRATEGY, is_paused=st.booleans())
    def pause_node(self, position, is_paused):
        self.site.nodes[position].is_paused = is_paused

    @rule(position=POSITION_STRATEGY, is_paused=st.booleans())
    def pause_entry(self, position, is_paused):
        self.site.entries[position].is_paused = is_paused

    @rule(position=POSITION_STRATEGY)
    def kill_entry(self, position):
        self.site.replace_entry(position)

    @rule(position=POSITION_STRATEGY, with_worker=st.booleans())
    def kill_node(self, position, with_worker):
        self.site.replace_node(position, with_worker)

    @rule(position=st.integers(0, 3))
    def hold_link(self, position):
        self.site.links[position].is_held = True

    @rule(position=st.integers(0, 3), seed=st.integers(0, 9), duplicated=st.booleans())
    def release_link(self, position, seed, duplicated):
        link = self.site.links[position]
        link.is_held = False
        for messages in (link.to_node, link.to_entry):
            copies = list(messages) * (2 if duplicated else 1)
            random.Random(seed).shuffle(copies)
            messages[:] = copies
        link.deliver()

    @rule(position=st.integers(0, 3), is_duplicating=st.booleans())
    def duplicate_messages(self, position, is_duplicating):
        self.site.links[position].is_duplicating = is_duplicating

    @rule(position=POSITION_STRATEGY, is_gate_read_blocked=st.booleans())
    def block_gate_reads(self, position, is_gate_read_blocked):
        """Block an entry's gate reads, so that it acts on outdated gates."""
        self.site.entries[position].is_gate_read_blocked = is_gate_read_blocked

    @rule(position=POSITION_STRATEGY, count=st.integers(1, 6))
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

    @rule(position=POSITION_STRATEGY, fault=st.sampled_from(["refused", "cut", "lost"]))
    def fail_worker(self, position, fault):
        list(self.site.worker_by_node.values())[position].fault = fault

    @rule()
    def complete_some(self):
        complete_all(self.site)

    @invariant()
    def invariants_hold(self):
        self.site.check()

    def teardown(self):
        """Every submitted batch job finishes once the faults end."""
        self.site.clear_faults()
        for _ in range(self._count_recovery_rounds()):
            self.site.advance(ROUND_SECONDS)
            complete_all(self.site)
        self.site.advance(3.0)
        assert self._list_open_jobs() == []
        assert [key[0] for key in list_running(self.site)] == ["t/watcher"]

    def _list_open_jobs(self):
        rows = self.site.table.scan("job-open/").unwrap()
        job_ids = [row.key.split("/", 2)[2] for row in rows]
        return [job_id for job_id in job_ids if job_id != "t/watcher"]

    def _count_recovery_rounds(self):
        """Return the rounds in which all submitted tasks that are open can finish."""
        tasks = sum(self.tasks_by_job[job_id] for job_id in self._list_open_jobs())
        return max(MIN_RECOVERY_ROUNDS, math.ceil(tasks / FREE_SLOTS))


TestTaskMachine = TaskMachine.TestCase
TestTaskMachine.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
