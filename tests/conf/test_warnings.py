"""Warnings of ``check``: entries without effect, contradictions, and differences."""

import json
from types import SimpleNamespace

import pytest
from returns.result import Success

from bergamotshore.conf.document import load_document
from bergamotshore.conf.loading import map_lines
from bergamotshore.conf.warnings import find_conflicts, find_warnings
from bergamotshore.management import client, exitcodes
from bergamotshore.management.parser import run_command

DOCUMENT = """\
site:
  version: 3
  zones:
    bole: {vms: [bole-1, bole-2]}
    arada: {vms: [arada-1]}
teams:
  ledger:
    version: 5
    quota: {processors: 4, memory_gb: 8}
    services:
      books: {objective_p99_ms: 250, longest_deadline_ms: 3000}
    jobs:
      statements: {command: [compile], processors: 1, memory_gb: 1}
    watchers:
      changes: {command: [watch], processors: 2, memory_gb: 2}
"""


def load(text):
    outcome = load_document(text)
    assert isinstance(outcome, Success)
    return outcome.unwrap()


def test_a_sound_document_has_no_warnings():
    assert find_warnings(load(DOCUMENT)) == []


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("[arada-1]", "[bole-2]", ("document.W201", 5, "site.zones.arada.vms")),
        (
            "[bole-1, bole-2]",
            "[bole-1, bole-1]",
            ("document.W201", 4, "site.zones.bole.vms"),
        ),
        (
            "longest_deadline_ms: 3000",
            "longest_deadline_ms: 200",
            ("document.W203", 11, "teams.ledger.services.books.objective_p99_ms"),
        ),
        (
            "[watch], processors: 2, memory_gb: 2}",
            "[watch], processors: 2, memory_gb: 2}\n"
            "      rates: {command: [watch], processors: 3}",
            ("document.W204", 14, "teams.ledger.watchers"),
        ),
        (
            "[compile], processors: 1",
            "[compile], processors: 3",
            ("document.W205", 13, "teams.ledger.jobs.statements"),
        ),
    ],
)
def test_entries_without_effect_and_contradictions_are_found(old, new, expected):
    text = DOCUMENT.replace(old, new)
    assert text != DOCUMENT
    found = [
        (item.id, item.line, item.path)
        for item in find_warnings(load(text), map_lines(text))
    ]
    assert found == [expected]


def test_a_site_without_data_centres_is_found():
    text = DOCUMENT.replace(
        "  zones:\n    bole: {vms: [bole-1, bole-2]}\n    arada: {vms: [arada-1]}\n",
        "  zones: {}\n",
    )
    assert [item.id for item in find_warnings(load(text))] == ["document.W202"]


@pytest.mark.parametrize(
    ("in_force", "nodes", "expected"),
    [
        (
            {"site": {"version": 3}, "teams": {"ledger": {"version": 5}}},
            {"bole-1", "bole-2", "arada-1"},
            [],
        ),
        (
            {"site": {"version": 4}, "teams": {}},
            {"bole-1", "arada-1"},
            [
                ("document.W206", "teams.ledger.version"),
                ("document.W206", "site.version"),
                ("document.W207", "site.zones.bole.vms"),
            ],
        ),
    ],
)
def test_conflicts_with_the_running_system_are_found(in_force, nodes, expected):
    found = find_conflicts(load(DOCUMENT), in_force, nodes)
    assert [(item.id, item.path) for item in found] == expected


@pytest.fixture
def file(tmp_path, monkeypatch):
    """Return a file whose document differs in one limit from that in force."""
    path = tmp_path / "document.yaml"
    path.write_text(DOCUMENT)
    in_force = {
        "site": {"version": 3, "zones": {}},
        "teams": {"ledger": {"version": 5, "quota": {"processors": 2.0}}},
    }
    answers = {
        "/v1/document": {"version": 9, "document": in_force},
        "/v1/status": {"nodes": [{"name": "bole-1"}, {"name": "bole-2"}]},
    }
    entry = SimpleNamespace(call=lambda method, path: answers[path])
    monkeypatch.setattr(client, "build_client", lambda options: entry)
    return path


def test_check_prints_what_differs_from_the_document_in_force(file, capsys):
    arguments = ["check", str(file), "--in-force", "--json"]
    assert run_command(arguments) == exitcodes.DIFFERENT
    findings = json.loads(capsys.readouterr().out)
    assert findings["problems"] == []
    assert [item["id"] for item in findings["warnings"]] == ["document.W207"]
    assert "-  processors: 2.0" in findings["lines"]
    assert "+  processors: 4.0" in findings["lines"]


def test_warnings_are_printed_and_leave_the_exit_code(file, capsys):
    file.write_text(DOCUMENT.replace("[arada-1]", "[bole-2]"))
    assert run_command(["check", str(file)]) == exitcodes.DONE
    assert "warning: line 5: site.zones.arada.vms" in capsys.readouterr().out


def test_a_document_with_problems_is_not_compared(file, capsys):
    file.write_text(DOCUMENT.replace("processors: 4", "processors: 1"))
    assert run_command(["check", str(file), "--in-force"]) == exitcodes.PROBLEMS
    assert "document.E106" in capsys.readouterr().out
