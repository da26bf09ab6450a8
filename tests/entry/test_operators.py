"""Tests of the operator HTTP API and of the configuration store behind it."""

import json
from types import SimpleNamespace

import pytest
from returns.result import Success

from bergamotshore.entry.configuration import ConfigurationStore
from bergamotshore.entry.jobstore import JobStore
from bergamotshore.entry.operators import OperatorApp
from bergamotshore.timeline.recorder import LamportClock
from tests.entry.test_callers import call_app

SITE_SECTION = "site: {version: %d, zones: {zone-a: {}, zone-b: {vms: [b-1]}}}\n"
LEDGER_SECTION = """\
teams:
  ledger:
    version: %d
    services: {books: {slots: %d}}
"""
AUDIT_SECTION = "teams:\n  audit:\n    version: %d\n    watchers: {w: {command: [x]}}\n"
RAMP_SECONDS = 10.0
JOB_BODY = b"command: [compile]\ntasks: 2\n"
TOKENS = {"site": "t-site", "ledger": "t-ledger", "audit": "t-audit"}


def build_services(table, recorder, registry, clock):
    """Return the services that an entry passes to the operator API."""
    configuration = ConfigurationStore(table, recorder, clock, RAMP_SECONDS)
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
    """Return the operator API of a second entry on the same table."""
    return OperatorApp(build_services(table, recorder, registry, clock))


def send_request(app, method, path, team="site", body=b""):
    if isinstance(body, str):
        body = body.encode()
    token = f"Bearer {TOKENS[team]}"
    return call_app(app, path, method, body, HTTP_AUTHORIZATION=token)


def apply_document(app, team, text):
    response = send_request(app, "PUT", "/v1/document", team, text)
    return response.status, json.loads(response.body)


@pytest.mark.parametrize("value", ["", "Bearer", "Bearer nothing", "Basic t-site"])
def test_a_call_without_a_valid_token_is_refused(app, value):
    response = call_app(app, "/v1/document", "GET", HTTP_AUTHORIZATION=value)
    assert (response.status, response.code) == (401, "token-invalid")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/v1/none", 404), ("POST", "/v1/document", 405), ("GET", "/live", 200)],
)
def test_calls_are_routed_by_path_and_method(app, method, path, status):
    assert send_request(app, method, path).status == status


def test_each_section_has_its_own_version(app):
    assert apply_document(app, "site", SITE_SECTION % 0)[1]["config_version"] == 1
    assert (
        apply_document(app, "ledger", LEDGER_SECTION % (0, 8))[1]["config_version"] == 2
    )
    status, response = apply_document(app, "ledger", LEDGER_SECTION % (1, 9))
    assert (status, response["section_version"], response["config_version"]) == (
        200,
        2,
        3,
    )


def test_a_stale_edit_is_refused_with_both_versions(app):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    apply_document(app, "ledger", LEDGER_SECTION % (1, 9))
    status, response = apply_document(app, "ledger", LEDGER_SECTION % (1, 10))
    assert (status, response["code"]) == (409, "stale-section")
    assert (response["based_on"], response["current"]) == (1, 2)
    document = json.loads(send_request(app, "GET", "/v1/document").body)["document"]
    assert document["teams"]["ledger"]["services"]["books"]["slots"] == 9


def test_applying_the_same_document_twice_changes_nothing(app):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    status, response = apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    assert (status, response["section_version"], response["config_version"]) == (
        200,
        1,
        1,
    )


def test_concurrent_edits_of_two_teams_do_not_conflict(app, other_entry, table):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    other_entry.services.refresh()
    original_transact = table.transact
    edits = []

    def transact_after_other_edit(checks, writes):
        if not edits:
            edits.append(True)
            assert apply_document(other_entry, "audit", AUDIT_SECTION % 0)[0] == 200
        return original_transact(checks, writes)

    table.transact = transact_after_other_edit
    assert apply_document(app, "ledger", LEDGER_SECTION % (1, 9))[0] == 200
    app.services.refresh()
    assert app.services.configuration.configuration.version == 3


def test_an_apply_succeeds_though_the_table_response_is_lost(app, table):
    table.faults = ["lost"]
    assert apply_document(app, "ledger", LEDGER_SECTION % (0, 8))[0] == 200
    table.faults = ["cut", "lost"]
    assert (
        apply_document(app, "ledger", LEDGER_SECTION % (1, 9))[1]["section_version"]
        == 2
    )


@pytest.mark.parametrize(
    ("team", "text"),
    [
        ("ledger", AUDIT_SECTION % 0),
        ("ledger", SITE_SECTION % 0),
        ("site", LEDGER_SECTION % (0, 8)),
    ],
)
def test_sections_of_other_teams_can_not_be_edited(app, team, text):
    assert apply_document(app, team, text)[1]["code"] == "not-owner"


def test_a_document_may_contain_unchanged_sections_of_other_teams(app):
    apply_document(app, "site", SITE_SECTION % 0)
    full_document = SITE_SECTION % 1 + LEDGER_SECTION % (0, 8)
    assert apply_document(app, "ledger", full_document)[0] == 200


def test_every_problem_of_a_document_is_reported(app):
    text = LEDGER_SECTION % (0, 0) + "    jobs: {j: {tasks: 99}}\n    unknown: 1\n"
    status, response = apply_document(app, "ledger", text)
    assert (status, len(response["problems"])) == (422, 4)
    assert all(problem["line"] > 0 for problem in response["problems"])


def test_a_document_that_conflicts_with_the_active_configuration_is_refused(app):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    conflicting = "teams: {audit: {version: 0, services: {books: {}}}}"
    status, response = apply_document(app, "audit", conflicting)
    assert (status, response["problems"][0]["id"]) == (422, "document.E103")


def test_an_edit_during_an_outage_is_refused_and_nothing_is_lost(app, table):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    table.is_down = True
    response = send_request(
        app, "PUT", "/v1/document", "ledger", LEDGER_SECTION % (1, 9)
    )
    assert (response.status, response.headers["Retry-After"]) == (503, "1")
    assert app.services.configuration.configuration.version == 1
    table.is_down = False
    assert apply_document(app, "ledger", LEDGER_SECTION % (1, 9))[0] == 200


def test_data_centres_are_closed_and_reopened(app, other_entry):
    apply_document(app, "site", SITE_SECTION % 0)
    first = json.loads(send_request(app, "POST", "/v1/zones/zone-a/take-out").body)
    assert first["is_open"] is False
    assert not app.services.configuration.is_usable("zone-a", "a-1")
    other_entry.services.refresh()
    assert not other_entry.services.configuration.is_usable("zone-a", "a-1")
    second = json.loads(
        send_request(other_entry, "POST", "/v1/zones/zone-a/bring-back").body
    )
    assert second["version"] > first["version"]
    app.services.refresh()
    assert app.services.configuration.is_usable("zone-a", "a-1")


def test_a_reopened_data_centre_is_filled_gradually(app, clock):
    apply_document(app, "site", SITE_SECTION % 0)
    configuration = app.services.configuration
    nodes = [f"a-{number}" for number in range(50)]

    def count_open_nodes():
        return sum(1 for node in nodes if configuration.may_place("zone-a", node))

    assert count_open_nodes() == 50
    send_request(app, "POST", "/v1/zones/zone-a/take-out")
    assert count_open_nodes() == 0
    send_request(app, "POST", "/v1/zones/zone-a/bring-back")
    counts = []
    for _ in range(5):
        clock.advance(RAMP_SECONDS / 5)
        counts.append(count_open_nodes())
    assert counts == sorted(counts)
    assert 0 < counts[0] < 25
    assert counts[-1] == 50


def test_only_vms_in_use_are_usable(app):
    apply_document(app, "site", SITE_SECTION % 0)
    is_usable = app.services.configuration.is_usable
    assert is_usable("zone-b", "b-1")
    assert not is_usable("zone-b", "b-2")
    assert not is_usable("zone-c", "c-1")


@pytest.mark.parametrize(
    ("team", "zone", "code"),
    [("ledger", "zone-a", "not-site-operator"), ("site", "zone-x", "zone-unknown")],
)
def test_closing_needs_the_site_token_and_a_known_data_centre(app, team, zone, code):
    apply_document(app, "site", SITE_SECTION % 0)
    assert send_request(app, "POST", f"/v1/zones/{zone}/take-out", team).code == code


def test_a_configuration_never_reverts_to_an_older_version(app, other_entry, table):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    old_rows = dict(table.row_by_key)
    apply_document(app, "ledger", LEDGER_SECTION % (1, 9))
    new_rows, table.row_by_key = table.row_by_key, old_rows
    app.services.refresh()
    assert app.services.configuration.configuration.version == 2
    table.row_by_key = new_rows
    assert other_entry.services.refresh() == Success(True)
    assert other_entry.services.configuration.configuration.version == 2


def test_jobs_can_be_submitted_once_shown_and_cancelled(app):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    path = "/v1/jobs/ledger/statements"
    assert send_request(app, "POST", path, "ledger", JOB_BODY).status == 200
    assert send_request(app, "POST", path, "ledger", JOB_BODY).code == "job-exists"
    assert len(json.loads(send_request(app, "GET", path).body)["tasks"]) == 2
    assert send_request(app, "POST", path + "/cancel", "audit").code == "not-owner"
    cancelled = json.loads(send_request(app, "POST", path + "/cancel", "ledger").body)
    assert cancelled["tasks"] == {"cancelled": 2}
    assert send_request(app, "POST", path, "ledger", JOB_BODY).code == "job-exists"
    assert send_request(app, "POST", path + "/cancel", "ledger").status == 200
    listed = json.loads(send_request(app, "GET", "/v1/jobs").body)["jobs"]
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
        ("audit", "/v1/jobs/ledger/j", JOB_BODY, "not-owner"),
        ("audit", "/v1/jobs/audit/j", JOB_BODY, "team-unknown"),
        ("ledger", "/v1/jobs/ledger/none/cancel", b"", "job-missing"),
    ],
)
def test_invalid_job_calls_get_an_error_code(app, team, path, body, code):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    assert send_request(app, "POST", path, team, body).code == code


def test_an_unreadable_configuration_leaves_the_active_one_in_place(
    app, table, recorder, clock
):
    apply_document(app, "ledger", LEDGER_SECTION % (0, 8))
    old_rows = dict(table.row_by_key)
    apply_document(app, "audit", AUDIT_SECTION % 0)
    for key in ("config", "section/audit"):
        row = table.row_by_key[key]
        table.row_by_key[key] = type(row)(key, row.version, b"{")
        store = ConfigurationStore(table, recorder, clock, RAMP_SECONDS)
        assert store.refresh().failure().code == "platform-answer-invalid"
        assert not store.is_loaded
        table.row_by_key[key] = row
    table.row_by_key = old_rows
    app.services.refresh()
    assert app.services.configuration.configuration.version == 2
