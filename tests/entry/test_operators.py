"""Tests of the operators' HTTP interface and of the configuration behind it."""

import json
from types import SimpleNamespace

import pytest
from returns.result import Success

from bergamotshore.entry.configuration import ConfigurationStore
from bergamotshore.entry.jobstore import JobStore
from bergamotshore.entry.operators import OperatorApp
from bergamotshore.timeline.recorder import LamportClock
from tests.entry.test_callers import call_app

SITE = "site: {version: %d, zones: {zone-a: {}, zone-b: {vms: [b-1]}}}\n"
TEAM = """\
teams:
  ledger:
    version: %d
    services: {books: {slots: %d}}
"""
OTHER = "teams:\n  audit:\n    version: %d\n    watchers: {w: {command: [x]}}\n"
RAMP = 10.0
JOB = b"command: [compile]\ntasks: 2\n"
TOKENS = {"site": "t-site", "ledger": "t-ledger", "audit": "t-audit"}


def build_services(table, recorder, registry, clock):
    """Return what an entry offers to its operators."""
    configuration = ConfigurationStore(table, recorder, clock, RAMP)
    return SimpleNamespace(
        configuration=configuration,
        jobs=JobStore(table, LamportClock()),
        tokens=TOKENS,
        registry=registry,
        is_ready=lambda: True,
        refresh=configuration.refresh,
        describe=lambda: {"name": "entry-1"},
        collect_events=lambda: [],
    )


@pytest.fixture
def app(table, recorder, registry, clock):
    return OperatorApp(build_services(table, recorder, registry, clock))


@pytest.fixture
def other_entry(table, recorder, registry, clock):
    """Return the application of a second entry on the same table."""
    return OperatorApp(build_services(table, recorder, registry, clock))


def ask(app, method, path, team="site", body=b""):
    if isinstance(body, str):
        body = body.encode()
    token = f"Bearer {TOKENS[team]}"
    return call_app(app, path, method, body, HTTP_AUTHORIZATION=token)


def apply(app, team, text):
    answer = ask(app, "PUT", "/v1/document", team, text)
    return answer.status, json.loads(answer.body)


@pytest.mark.parametrize("value", ["", "Bearer", "Bearer nothing", "Basic t-site"])
def test_without_a_token_nothing_is_told(app, value):
    answer = call_app(app, "/v1/document", "GET", HTTP_AUTHORIZATION=value)
    assert (answer.status, answer.code) == (401, "token-invalid")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/v1/none", 404), ("POST", "/v1/document", 405), ("GET", "/live", 200)],
)
def test_paths_and_methods(app, method, path, status):
    assert ask(app, method, path).status == status


def test_sections_have_versions_of_their_own(app):
    assert apply(app, "site", SITE % 0)[1]["config_version"] == 1
    assert apply(app, "ledger", TEAM % (0, 8))[1]["config_version"] == 2
    status, answer = apply(app, "ledger", TEAM % (1, 9))
    assert (status, answer["section_version"], answer["config_version"]) == (200, 2, 3)


def test_a_stale_edit_names_both_versions(app):
    apply(app, "ledger", TEAM % (0, 8))
    apply(app, "ledger", TEAM % (1, 9))
    status, answer = apply(app, "ledger", TEAM % (1, 10))
    assert (status, answer["code"]) == (409, "stale-section")
    assert (answer["based_on"], answer["current"]) == (1, 2)
    document = json.loads(ask(app, "GET", "/v1/document").body)["document"]
    assert document["teams"]["ledger"]["services"]["books"]["slots"] == 9


def test_applying_the_same_again_changes_nothing(app):
    apply(app, "ledger", TEAM % (0, 8))
    status, answer = apply(app, "ledger", TEAM % (0, 8))
    assert (status, answer["section_version"], answer["config_version"]) == (200, 1, 1)


def test_teams_that_edit_at_once_never_conflict(app, other_entry, table):
    apply(app, "ledger", TEAM % (0, 8))
    other_entry.services.refresh()
    real = table.transact
    raced = []

    def race(checks, writes):
        if not raced:
            raced.append(True)
            assert apply(other_entry, "audit", OTHER % 0)[0] == 200
        return real(checks, writes)

    table.transact = race
    assert apply(app, "ledger", TEAM % (1, 9))[0] == 200
    app.services.refresh()
    assert app.services.configuration.configuration.version == 3


def test_a_lost_answer_to_an_apply_is_settled(app, table):
    table.faults = ["lost"]
    assert apply(app, "ledger", TEAM % (0, 8))[0] == 200
    table.faults = ["cut", "lost"]
    assert apply(app, "ledger", TEAM % (1, 9))[1]["section_version"] == 2


@pytest.mark.parametrize(
    ("team", "text"),
    [("ledger", OTHER % 0), ("ledger", SITE % 0), ("site", TEAM % (0, 8))],
)
def test_sections_of_others_can_not_be_edited(app, team, text):
    assert apply(app, team, text)[1]["code"] == "not-owner"


def test_a_document_may_hold_sections_of_others_as_they_are(app):
    apply(app, "site", SITE % 0)
    whole = SITE % 1 + TEAM % (0, 8)
    assert apply(app, "ledger", whole)[0] == 200


def test_every_problem_of_a_document_is_named(app):
    text = TEAM % (0, 0) + "    jobs: {j: {tasks: 99}}\n    unknown: 1\n"
    status, answer = apply(app, "ledger", text)
    assert (status, len(answer["problems"])) == (422, 4)
    assert all(problem["line"] > 0 for problem in answer["problems"])


def test_a_document_that_clashes_with_what_is_in_force_is_refused(app):
    apply(app, "ledger", TEAM % (0, 8))
    clash = "teams: {audit: {version: 0, services: {books: {}}}}"
    status, answer = apply(app, "audit", clash)
    assert (status, answer["problems"][0]["id"]) == (422, "document.E103")


def test_an_outage_refuses_and_loses_nothing(app, table):
    apply(app, "ledger", TEAM % (0, 8))
    table.is_down = True
    answer = ask(app, "PUT", "/v1/document", "ledger", TEAM % (1, 9))
    assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
    assert app.services.configuration.configuration.version == 1
    table.is_down = False
    assert apply(app, "ledger", TEAM % (1, 9))[0] == 200


def test_zones_are_taken_out_and_brought_back(app, other_entry):
    apply(app, "site", SITE % 0)
    first = json.loads(ask(app, "POST", "/v1/zones/zone-a/take-out").body)
    assert first["is_open"] is False
    assert not app.services.configuration.is_usable("zone-a", "a-1")
    other_entry.services.refresh()
    assert not other_entry.services.configuration.is_usable("zone-a", "a-1")
    second = json.loads(ask(other_entry, "POST", "/v1/zones/zone-a/bring-back").body)
    assert second["version"] > first["version"]
    app.services.refresh()
    assert app.services.configuration.is_usable("zone-a", "a-1")


def test_a_returned_data_centre_is_filled_step_by_step(app, clock):
    apply(app, "site", SITE % 0)
    configuration = app.services.configuration
    nodes = [f"a-{number}" for number in range(50)]

    def count():
        return sum(1 for node in nodes if configuration.may_place("zone-a", node))

    assert count() == 50
    ask(app, "POST", "/v1/zones/zone-a/take-out")
    assert count() == 0
    ask(app, "POST", "/v1/zones/zone-a/bring-back")
    counts = []
    for _ in range(5):
        clock.advance(RAMP / 5)
        counts.append(count())
    assert counts == sorted(counts)
    assert 0 < counts[0] < 25
    assert counts[-1] == 50


def test_only_vms_in_use_may_work(app):
    apply(app, "site", SITE % 0)
    usable = app.services.configuration.is_usable
    assert usable("zone-b", "b-1")
    assert not usable("zone-b", "b-2")
    assert not usable("zone-c", "c-1")


@pytest.mark.parametrize(
    ("team", "zone", "code"),
    [("ledger", "zone-a", "not-site-operator"), ("site", "zone-x", "zone-unknown")],
)
def test_who_may_take_out_what(app, team, zone, code):
    apply(app, "site", SITE % 0)
    assert ask(app, "POST", f"/v1/zones/{zone}/take-out", team).code == code


def test_a_configuration_never_reverts(app, other_entry, table):
    apply(app, "ledger", TEAM % (0, 8))
    old_rows = dict(table.row_by_key)
    apply(app, "ledger", TEAM % (1, 9))
    new_rows, table.row_by_key = table.row_by_key, old_rows
    app.services.refresh()
    assert app.services.configuration.configuration.version == 2
    table.row_by_key = new_rows
    assert other_entry.services.refresh() == Success(True)
    assert other_entry.services.configuration.configuration.version == 2


def test_jobs_are_submitted_once_shown_and_cancelled(app):
    apply(app, "ledger", TEAM % (0, 8))
    path = "/v1/jobs/ledger/statements"
    assert ask(app, "POST", path, "ledger", JOB).status == 200
    assert ask(app, "POST", path, "ledger", JOB).code == "job-exists"
    assert len(json.loads(ask(app, "GET", path).body)["tasks"]) == 2
    assert ask(app, "POST", path + "/cancel", "audit").code == "not-owner"
    cancelled = json.loads(ask(app, "POST", path + "/cancel", "ledger").body)
    assert cancelled["tasks"] == {"cancelled": 2}
    assert ask(app, "POST", path, "ledger", JOB).code == "job-exists"
    assert ask(app, "POST", path + "/cancel", "ledger").status == 200
    listed = json.loads(ask(app, "GET", "/v1/jobs").body)["jobs"]
    assert [item["job"] for item in listed] == ["ledger/statements"]


@pytest.mark.parametrize(
    ("team", "path", "body", "code"),
    [
        ("ledger", "/v1/jobs/ledger/j", b"tasks: 0", "document-invalid"),
        ("ledger", "/v1/jobs/ledger/j", b"\xff", "document-invalid"),
        (
            "ledger",
            "/v1/jobs/ledger/j",
            b"command: [x]\nprocessors: 500",
            "document-invalid",
        ),
        ("audit", "/v1/jobs/ledger/j", JOB, "not-owner"),
        ("audit", "/v1/jobs/audit/j", JOB, "team-unknown"),
        ("ledger", "/v1/jobs/ledger/none/cancel", b"", "job-missing"),
    ],
)
def test_bad_job_calls_get_a_typed_error(app, team, path, body, code):
    apply(app, "ledger", TEAM % (0, 8))
    assert ask(app, "POST", path, team, body).code == code


def test_a_configuration_that_can_not_be_read_keeps_what_is_in_force(
    app, table, recorder, clock
):
    apply(app, "ledger", TEAM % (0, 8))
    old = dict(table.row_by_key)
    apply(app, "audit", OTHER % 0)
    for key in ("config", "section/audit"):
        row = table.row_by_key[key]
        table.row_by_key[key] = type(row)(key, row.version, b"{")
        store = ConfigurationStore(table, recorder, clock, RAMP)
        assert store.refresh().failure().code == "platform-answer-invalid"
        assert not store.is_loaded
        table.row_by_key[key] = row
    table.row_by_key = old
    app.services.refresh()
    assert app.services.configuration.configuration.version == 2
