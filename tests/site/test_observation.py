"""Logs that stay bounded, settings that change, runs that stand still."""

import io

import pytest

from bergamotshore.conf.reload import LOOK_SECONDS, SettingsWatcher
from bergamotshore.core.work.stuck import STUCK_SECONDS, is_stuck
from bergamotshore.core.work.suspicion import FAILURES_IN_A_ROW, WorkerQuarantine
from bergamotshore.utils.eventlog import (
    LINES_PER_SECOND,
    WAITING_LINES,
    EventLog,
    LineWriter,
)
from tests.site.test_interference import build_filling, build_worker, put

SETTINGS = """\
name: node-1
zone: zone-a
platform: {table: "127.0.0.1:1", objects: "127.0.0.1:1"}
node: {worker: "127.0.0.1:2"}
site: {heartbeats: "127.0.0.1:3"}
"""


def test_a_flood_of_events_is_cut_and_the_rest_counted(clock):
    lines = []
    log = EventLog(clock, emit=lines.append)
    for number in range(5 * LINES_PER_SECOND):
        log.write("job-accepted", f"job{number}", queue="q")
    assert len(lines) == LINES_PER_SECOND
    clock.advance(1.0)
    log.write("job-accepted", "last", queue="q")
    assert f"omitted_before={4 * LINES_PER_SECOND}" in lines[-1]


def test_a_reader_that_stops_reading_costs_lines_and_never_time():
    writer = LineWriter(io.StringIO())
    for number in range(WAITING_LINES + 7):
        writer.write(f"{number}\n")
    assert writer.dropped == 7
    writer.flush()
    assert writer.dropped == 0


def test_a_broken_output_is_borne():
    target = io.StringIO()
    target.close()
    writer = LineWriter(target)
    writer.write("x\n")
    writer.flush()
    assert writer.dropped == 1


@pytest.fixture
def settings_path(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    return path


def test_settings_are_read_again_with_and_without_a_signal(clock, settings_path):
    applied, lines = [], []
    log = EventLog(clock, emit=lines.append)
    watcher = SettingsWatcher(settings_path, clock, log, applied.append)
    watcher.step()
    assert applied == []
    settings_path.write_text(SETTINGS + "log_level: DEBUG\n")
    clock.advance(LOOK_SECONDS)
    watcher.step()
    assert [settings.log_level for settings in applied] == ["DEBUG"]
    watcher.ask()
    watcher.step()
    assert len(applied) == 2


@pytest.mark.parametrize("text", ["name: [", "name: x\n", None])
def test_settings_with_problems_change_nothing(clock, settings_path, text):
    applied, lines = [], []
    log = EventLog(clock, emit=lines.append)
    watcher = SettingsWatcher(settings_path, clock, log, applied.append)
    settings_path.unlink() if text is None else settings_path.write_text(text)
    watcher.ask()
    watcher.step()
    assert applied == []
    assert any("reload-" in line for line in lines)


def test_a_run_that_stands_still_is_found_by_its_progress_alone():
    worker = build_worker()
    allocation = put(worker, build_filling(), "f", percent=40)
    allocation.progressed_at = 100.0
    worker.reported_at = 100.0 + STUCK_SECONDS + 0.1
    assert is_stuck(allocation, worker)
    allocation.throttle_percent = 0
    assert not is_stuck(allocation, worker)
    allocation.throttle_percent = 100
    worker.reported_at = 100.0 + STUCK_SECONDS - 0.1
    assert not is_stuck(allocation, worker)


def test_a_worker_that_fails_all_is_held_back_unless_all_workers_fail():
    from bergamotshore.core.work.cluster import RunOutcome

    worker = build_worker()
    allocation = put(worker, build_filling(), "f")
    suspicion = WorkerQuarantine()
    for node in ("node-1", "node-2"):
        suspicion.record_fact(RunOutcome(node, allocation, "done", 1.0))
    for _ in range(FAILURES_IN_A_ROW):
        suspicion.record_fact(RunOutcome("node-0", allocation, "failed", 1.0))
    assert suspicion.is_quarantined("node-0", 1.1)
    assert not suspicion.is_quarantined("node-1", 1.1)
    everywhere = WorkerQuarantine()
    for node in ("node-0", "node-1", "node-2"):
        for _ in range(FAILURES_IN_A_ROW):
            everywhere.record_fact(RunOutcome(node, allocation, "failed", 1.0))
    assert not everywhere.is_quarantined("node-2", 1.1)
