"""Tests of the callers' HTTP interface."""

import io
import json

import pytest

from bergamotshore.entry.callers import CallerApp
from bergamotshore.entry.outcomes import (
    Completed,
    KeyBusy,
    KeyMismatch,
    NotRun,
    Unknown,
)
from bergamotshore.generated.document import Service
from bergamotshore.utils.problems import PROBLEM_TYPE

TERMS = {"HTTP_X_REQUEST_DEADLINE_MS": "500", "HTTP_X_REQUEST_REPEATABLE": "true"}


class FakeRouter:
    """A router that gives one outcome and keeps the requests."""

    def __init__(self):
        self.outcome = Completed(200, "text/plain", b"ok")
        self.requests = []

    def serve(self, request):
        self.requests.append(request)
        return self.outcome


class Answer:
    """An answer as a caller sees it."""

    def __init__(self, status, headers, body):
        self.status = int(status.split()[0])
        self.headers = dict(headers)
        self.body = body

    @property
    def code(self):
        return json.loads(self.body)["code"]


def call_app(app, path, method="POST", body=b"", **environ):
    """Call a WSGI application."""
    started = []
    chunks = app(
        {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            **environ,
        },
        lambda status, headers: started.append((status, headers)),
    )
    return Answer(*started[0], b"".join(chunks))


@pytest.fixture
def router():
    return FakeRouter()


@pytest.fixture
def app(router, clock, registry):
    services = {"books": Service(longest_deadline_ms=1000)}
    return CallerApp(router, lambda: services, lambda: True, clock, registry, 100)


def test_a_request_reaches_the_router_as_sent(app, router, clock):
    answer = call_app(
        app,
        "/services/books/trial/balance",
        body=b"data",
        QUERY_STRING="year=2026",
        CONTENT_TYPE="text/csv",
        HTTP_IDEMPOTENCY_KEY="k-1",
        **TERMS,
    )
    request = router.requests[0]
    assert answer.headers["X-Request-Outcome"] == "completed"
    assert (request.path, request.body) == ("/trial/balance?year=2026", b"data")
    assert request.deadline == clock.now() + 0.5
    assert (request.content_type, request.idempotency_key) == ("text/csv", "k-1")


@pytest.mark.parametrize(
    ("path", "method", "environ", "status", "code"),
    [
        ("/other", "POST", {}, 404, "path-unknown"),
        ("/services/books", "POST", {}, 404, "path-unknown"),
        ("/services/none/x", "POST", {}, 404, "service-unknown"),
        ("/services/books/x", "TRACE", {}, 405, "method-not-allowed"),
        (
            "/services/books/x",
            "POST",
            {"HTTP_X_REQUEST_DEADLINE_MS": ""},
            400,
            "deadline-missing",
        ),
        (
            "/services/books/x",
            "POST",
            {"HTTP_X_REQUEST_DEADLINE_MS": "-5"},
            400,
            "deadline-missing",
        ),
        (
            "/services/books/x",
            "POST",
            {"HTTP_X_REQUEST_DEADLINE_MS": "1001"},
            400,
            "deadline-out-of-range",
        ),
        (
            "/services/books/x",
            "POST",
            {"HTTP_X_REQUEST_DEADLINE_MS": "²"},
            400,
            "deadline-missing",
        ),
        (
            "/services/books/x",
            "POST",
            {"HTTP_X_REQUEST_REPEATABLE": "yes"},
            400,
            "repeatable-missing",
        ),
        (
            "/services/books/x",
            "POST",
            {"HTTP_X_REQUEST_REPEATABLE": "false"},
            400,
            "idempotency-key-missing",
        ),
        (
            "/services/books/x",
            "POST",
            {"HTTP_IDEMPOTENCY_KEY": "a b"},
            400,
            "idempotency-key-invalid",
        ),
        (
            "/services/books/x",
            "POST",
            {"CONTENT_LENGTH": "101"},
            413,
            "body-too-large",
        ),
        ("/services/books/x", "POST", {"CONTENT_LENGTH": "7"}, 400, "body-cut-off"),
    ],
)
def test_bad_requests_get_a_typed_error(
    app, router, path, method, environ, status, code
):
    answer = call_app(app, path, method, **{**TERMS, **environ})
    assert (answer.status, answer.code) == (status, code)
    assert answer.headers["Content-Type"] == PROBLEM_TYPE
    assert answer.headers["X-Request-Outcome"] == "not-run"
    assert router.requests == []


@pytest.mark.parametrize(
    ("outcome", "status", "name", "retry_after"),
    [
        (Completed(404, "text/plain", b"none"), 404, "completed", None),
        (NotRun("connections-full", 0.2), 503, "not-run", "1"),
        (NotRun("no-node", 2.5), 503, "not-run", "3"),
        (Unknown("deadline", 1.0), 504, "unknown", "1"),
        (KeyBusy("started", 1.0), 409, "unknown", "1"),
        (KeyMismatch(), 422, "not-run", None),
    ],
)
def test_outcomes_map_to_statuses(app, router, outcome, status, name, retry_after):
    router.outcome = outcome
    answer = call_app(app, "/services/books/x", **TERMS)
    assert (answer.status, answer.headers["X-Request-Outcome"]) == (status, name)
    assert answer.headers.get("Retry-After") == retry_after


def test_liveness_and_readiness(app):
    assert call_app(app, "/live", "GET").status == 200
    assert call_app(app, "/ready", "GET").status == 200
    app.is_ready = lambda: False
    assert call_app(app, "/ready", "GET").status == 503
    assert call_app(app, "/live", "GET").status == 200
