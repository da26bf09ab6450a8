"""Validation of settings and documents: all problems at once, with path and line."""

import pytest
from returns.result import Failure, Success

from bergamotshore.conf.document import load_document
from bergamotshore.conf.settings import load_settings

ENTRY = """\
name: entry-1
zone: addis-bole
platform: {table: "127.0.0.1:1", objects: "127.0.0.1:2"}
entry: {callers: "127.0.0.1:3", operators: "127.0.0.1:4", nodes: "127.0.0.1:5"}
"""
NODE = """\
name: bole-1
zone: addis-bole
platform: {table: "127.0.0.1:1", objects: "127.0.0.1:2"}
node: {endpoint: "127.0.0.1:3"}
"""
DOCUMENT = """\
site:
  version: 0
  zones: {addis-bole: {}}
teams:
  ledger:
    version: 0
    services:
      charity-books: {slots: 8}
    jobs:
      statements: {command: [compile], tasks: 2}
"""


def find_problems(load, text):
    """Return identifier, line and path of each problem of a text."""
    match load(text):
        case Failure(problems):
            return [(problem.id, problem.line, problem.path) for problem in problems]
    return []


@pytest.mark.parametrize("text", [ENTRY, NODE])
def test_valid_settings_are_loaded(text):
    assert isinstance(load_settings(text), Success)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("x: 1\na: b: c\n", ("conf.E001", 2, "document")),
        ("- 1\n", ("conf.E003", 1, "document")),
        (ENTRY + "nmae: x\n", ("conf.E002", 5, "nmae")),
        (ENTRY + "name: twice\n", ("conf.E005", 5, "name")),
        (ENTRY.replace("name: entry-1\n", ""), ("conf.E004", 1, "name")),
        (ENTRY.replace("entry-1", "Entry 1"), ("conf.E003", 1, "name")),
        (ENTRY + "stream: {heartbeat: -1}\n", ("conf.E003", 5, "stream.heartbeat")),
        (ENTRY + "log_level: LOUD\n", ("conf.E003", 5, "log_level")),
        (ENTRY + "node: {}\n", ("settings.E010", 0, "entry")),
        (
            ENTRY + "stream: {silence_min: 0.6}\n",
            ("settings.E011", 0, "stream.silence_min"),
        ),
        (
            ENTRY + "stream: {silence_max: 1.2}\n",
            ("settings.E012", 0, "stream.silence_max"),
        ),
        (
            ENTRY.replace('"127.0.0.1:3"', '"127.0.0.1:99999"'),
            ("settings.E013", 0, "entry.callers"),
        ),
        (NODE.replace(":3", ":x"), ("settings.E013", 0, "node.endpoint")),
        (NODE.replace(":3", ":99999"), ("settings.E013", 0, "node.endpoint")),
        (NODE.replace("127.0.0.1:3", "[::1]:3"), ("settings.E013", 0, "node.endpoint")),
        (
            NODE + 'site: {heartbeats: "node.example:1"}\n',
            ("settings.E013", 0, "site.heartbeats"),
        ),
        (ENTRY + 'site: {ready: "127.0.0.1:0"}\n', ("settings.E013", 0, "site.ready")),
        (ENTRY + 'site: {advice: "rubbish"}\n', ("settings.E013", 0, "site.advice")),
    ],
)
def test_problems_of_settings_have_identifier_line_and_path(text, expected):
    assert expected in find_problems(load_settings, text)


def test_all_problems_are_reported_at_once():
    text = ENTRY.replace("entry-1", "Entry 1").replace("addis-bole", "A") + "x: 1\n"
    assert len(find_problems(load_settings, text)) == 3


def test_problems_have_a_hint():
    problems = load_settings(ENTRY.replace("zone: addis-bole\n", "")).failure()
    assert problems[0].hint == "Data centre of the process."
    assert "[conf.E004]" in str(problems[0])


def test_a_valid_document_is_loaded():
    document = load_document(DOCUMENT).unwrap()
    assert document.teams["ledger"].services["charity-books"].connections == 64


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("ledger:", "site:", ("document.E101", 5, "teams.site")),
        ("ledger:", "Ledger:", ("document.E102", 5, "teams.Ledger")),
        (
            "{slots: 8}",
            "{slots: 8, connections: 4}",
            ("document.E104", 8, "teams.ledger.services.charity-books.connections"),
        ),
        (
            "tasks: 2",
            "processors: 400",
            ("document.E106", 10, "teams.ledger.jobs.statements"),
        ),
        (
            "tasks: 2",
            "tasks: 0",
            ("conf.E003", 10, "teams.ledger.jobs.statements.tasks"),
        ),
        ("{slots: 8}", "5", ("conf.E003", 8, "teams.ledger.services.charity-books")),
        (
            "    jobs:",
            "    watchers: {statements: {command: [x]}}\n    jobs:",
            ("document.E105", 9, "teams.ledger.watchers.statements"),
        ),
        (
            "    jobs:",
            "  other:\n    version: 0\n    services: {charity-books: {}}\n    jobs:",
            ("document.E103", 11, "teams.other.services.charity-books"),
        ),
    ],
)
def test_problems_of_documents_have_identifier_line_and_path(old, new, expected):
    assert expected in find_problems(load_document, DOCUMENT.replace(old, new))


def test_a_key_that_is_not_a_string_is_a_problem():
    text = DOCUMENT.replace("ledger:", "2026:")
    assert ("conf.E006", 0, "teams.2026") in find_problems(load_document, text)


def build_nested_aliases(levels):
    lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x]"]
    for level in range(1, levels):
        names = ", ".join([f"*a{level - 1}"] * 9)
        lines.append(f"a{level}: &a{level} [{names}]")
    return "\n".join(lines)


@pytest.mark.parametrize(
    ("text", "problem_id"),
    [
        (build_nested_aliases(9), "conf.E008"),
        ("[" * 200 + "]" * 200, "conf.E009"),
        ("- x\n" * 60_000, "conf.E009"),
        ("# " + "x" * 5_000_000, "conf.E007"),
    ],
    ids=["nested aliases", "deep", "many nodes", "large"],
)
def test_a_document_over_the_limits_is_refused_before_it_is_built(text, problem_id):
    problems = load_document(text).failure()
    assert [problem.id for problem in problems] == [problem_id]
