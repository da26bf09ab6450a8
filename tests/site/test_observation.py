"""Bounded logs, reloading of settings, and detection of stuck runs and bad workers."""

import io

import pytest

from bergamotshore.conf.reload import RELOAD_CHECK_SECONDS, SettingsWatcher
from bergamotshore.core.work.stuck import STUCK_SECONDS, is_stuck
from bergamotshore.core.work.suspicion import MAX_CONSECUTIVE_FAILURES, WorkerQuarantine
from bergamotshore.utils.eventlog import (
    LINES_PER_SECOND,
    MAX_BUFFERED_LINES,
    EventLog,
    LineWriter,
)
from tests.site.test_interference import build_best_effort_step, build_worker, place_run

SETTINGS = """\
name: node-1
zone: zone-a
platform: {table: "127.0.0.1:1", objects: "127.0.0.1:1"}
node: {worker: "127.0.0.1:2"}
site: {heartbeats: "127.0.0.1:3"}
"""


def test_the_log_limits_lines_per_second_and_counts_omitted_ones(clock):
    lines = []
    log = EventLog(clock, emit=lines.append)
    for number in range(5 * LINES_PER_SECOND):
        log.write("job-accepted", f"job{number}", queue="q")
    assert len(lines) == LINES_PER_SECOND
    clock.advance(1.0)
    log.write("job-accepted", "last", queue="q")
    assert f"omitted_before={4 * LINES_PER_SECOND}" in lines[-1]


def test_a_full_line_buffer_drops_lines_instead_of_blocking():
    writer = LineWriter(io.StringIO())
    for number in range(MAX_BUFFERED_LINES + 7):
        writer.write(f"{number}\n")
    assert writer.dropped == 7
    writer.flush()
    assert writer.dropped == 0


def test_a_closed_output_drops_lines_without_an_error():
    output = io.StringIO()
    output.close()
    writer = LineWriter(output)
    writer.write("x\n")
    writer.flush()
    assert writer.dropped == 1


@pytest.fixture
def settings_path(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    return path


def test_settings_are_reloaded_on_a_change_and_on_a_signal(clock, settings_path):
    applied, lines = [], []
    log = EventLog(clock, emit=lines.append)
    watcher = SettingsWatcher(settings_path, clock, log, applied.append)
    watcher.step()
    assert applied == []
    settings_path.write_text(SETTINGS + "log_level: DEBUG\n")
    clock.advance(RELOAD_CHECK_SECONDS)
    watcher.step()
    assert [settings.log_level for settings in applied] == ["DEBUG"]
    watcher.request_reload()
    watcher.step()
    assert len(applied) == 2


@pytest.mark.parametrize("text", ["name: [", "name: x\n", None])
def test_invalid_settings_are_not_applied(clock, settings_path, text):
    applied, lines = [], []
    log = EventLog(clock, emit=lines.append)
    watcher = SettingsWatcher(settings_path, clock, log, applied.append)
    settings_path.unlink() if text is None else settings_path.write_text(text)
    watcher.request_reload()
    watcher.step()
    assert applied == []
    assert any("reload-" in line for line in lines)


def test_a_run_without_progress_is_stuck_unless_it_is_paused():
    worker = build_worker()
    run = place_run(worker, build_best_effort_step(), "f", percent=40)
    run.progressed_at = 100.0
    worker.reported_at = 100.0 + STUCK_SECONDS + 0.1
    assert is_stuck(run, worker)
    run.throttle_percent = 0
    assert not is_stuck(run, worker)
    run.throttle_percent = 100
    worker.reported_at = 100.0 + STUCK_SECONDS - 0.1
    assert not is_stuck(run, worker)


def test_a_failing_worker_is_quarantined_unless_all_workers_fail():
    from bergamotshore.core.work.cluster import RunOutcome

    worker = build_worker()
    run = place_run(worker, build_best_effort_step(), "f")
    quarantine = WorkerQuarantine()
    for node in ("node-1", "node-2"):
        quarantine.record_fact(RunOutcome(node, run, "done", 1.0))
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        quarantine.record_fact(RunOutcome("node-0", run, "failed", 1.0))
    assert quarantine.is_quarantined("node-0", 1.1)
    assert not quarantine.is_quarantined("node-1", 1.1)
    quarantine_of_failing_site = WorkerQuarantine()
    for node in ("node-0", "node-1", "node-2"):
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            quarantine_of_failing_site.record_fact(RunOutcome(node, run, "failed", 1.0))
    assert not quarantine_of_failing_site.is_quarantined("node-2", 1.1)
