"""The HTTP interface of callers."""

import math
import re

from returns.result import Failure, Success

from bergamotshore.entry.outcomes import (
    CallerRequest,
    Completed,
    KeyBusy,
    KeyMismatch,
    NotRun,
    Unknown,
)
from bergamotshore.entry.wsgi import reply
from bergamotshore.utils.problems import (
    PROBLEM_TYPE,
    build_problem,
    format_retry_after,
)

PATH_PATTERN = re.compile(r"^/services/(?P<service>[a-z0-9-]+)(?P<path>/.*)$")
KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,128}$")
METHODS = frozenset({"GET", "POST", "PUT", "DELETE", "PATCH"})
TRUTH_BY_TEXT = {"true": True, "false": False}
MILLISECONDS = 1000.0
TEXT_TYPE = "text/plain; charset=utf-8"


class CallerApp:
    """Serve callers over WSGI.

    :param router: ``RequestRouter``.
    :param get_services: Returns ``document.Service`` by name.
    :param is_ready: Tells whether the balancer should send requests here.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param largest_body: Largest body, in bytes.
    """

    def __init__(self, router, get_services, is_ready, clock, registry, largest_body):
        self.router = router
        self.get_services = get_services
        self.is_ready = is_ready
        self.clock = clock
        self.registry = registry
        self.largest_body = largest_body

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        path = environ.get("PATH_INFO", "")
        if path == "/live":
            return reply(start_response, 200, TEXT_TYPE, b"live\n")
        if path == "/ready":
            return self._answer_ready(start_response)
        arrived_at = self.clock.now()
        match self._read_request(environ, arrived_at):
            case Success(request):
                outcome = self.router.serve(request)
                self._count(outcome)
                return self._answer(start_response, outcome)
            case Failure(refusal):
                self.registry.count("requests_invalid_total", code=refusal.code)
                return refusal.answer(start_response)

    def _answer_ready(self, start_response):
        if self.is_ready():
            return reply(start_response, 200, TEXT_TYPE, b"ready\n")
        return reply(start_response, 503, TEXT_TYPE, b"not ready\n")

    def _count(self, outcome):
        name = type(outcome).__name__.lower()
        reason = getattr(outcome, "reason", "")
        self.registry.count("requests_total", outcome=name, reason=reason)

    def _read_request(self, environ, arrived_at):
        """Return ``Result`` of ``CallerRequest`` or of ``InvalidRequest``."""
        found = PATH_PATTERN.match(environ.get("PATH_INFO", ""))
        if found is None:
            return _refuse(404, "path-unknown", "use /services/NAME/PATH")
        method = environ["REQUEST_METHOD"]
        if method not in METHODS:
            return _refuse(405, "method-not-allowed", f"{method} is not served")
        service = self.get_services().get(found["service"])
        if service is None:
            return _refuse(404, "service-unknown", f"no service {found['service']!r}")
        return self._read_terms(environ, service).bind(
            lambda terms: _read_body(environ, self.largest_body).map(
                lambda body: CallerRequest(
                    service=found["service"],
                    method=method,
                    path=_join_query(found["path"], environ),
                    content_type=environ.get("CONTENT_TYPE", ""),
                    body=body,
                    deadline=arrived_at + terms.deadline_ms / MILLISECONDS,
                    repeatable=terms.repeatable,
                    idempotency_key=terms.idempotency_key,
                )
            )
        )

    def _read_terms(self, environ, service):
        deadline_ms = _read_number(environ.get("HTTP_X_REQUEST_DEADLINE_MS", ""))
        if deadline_ms is None:
            return _refuse(
                400, "deadline-missing", "give X-Request-Deadline-Ms, a whole number"
            )
        if not 1 <= deadline_ms <= service.longest_deadline_ms:
            longest = service.longest_deadline_ms
            return _refuse(400, "deadline-out-of-range", f"use 1 to {longest}")
        repeatable = TRUTH_BY_TEXT.get(environ.get("HTTP_X_REQUEST_REPEATABLE", ""))
        if repeatable is None:
            return _refuse(
                400, "repeatable-missing", "give X-Request-Repeatable, true or false"
            )
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if key and not KEY_PATTERN.match(key):
            return _refuse(
                400, "idempotency-key-invalid", "use 1 to 128 visible characters"
            )
        if not key and not repeatable:
            return _refuse(
                400,
                "idempotency-key-missing",
                "a request that may not be repeated needs an Idempotency-Key",
            )
        return Success(Terms(deadline_ms, repeatable, key))

    def _answer(self, start_response, outcome):
        match outcome:
            case Completed(status, content_type, body, is_replay):
                headers = [("X-Request-Outcome", "completed")]
                if is_replay:
                    headers.append(("X-Request-Replay", "true"))
                return reply(start_response, status, content_type, body, headers)
            case NotRun(reason, retry_after):
                return _explain(
                    start_response,
                    503,
                    reason,
                    "not-run",
                    retry_after,
                    "the request did not run",
                )
            case Unknown(reason, retry_after):
                return _explain(
                    start_response,
                    504,
                    reason,
                    "unknown",
                    retry_after,
                    "whether the request ran is not known",
                )
            case KeyBusy(state, retry_after):
                return _explain(
                    start_response,
                    409,
                    f"key-{state}",
                    "unknown",
                    retry_after,
                    "a request with this key was started before; its answer is not "
                    "at hand",
                )
            case KeyMismatch():
                body = build_problem(
                    422, "key-mismatch", "the key was used for another request"
                )
                headers = [("X-Request-Outcome", "not-run")]
                return reply(start_response, 422, PROBLEM_TYPE, body, headers)


class Terms:
    """Terms that the caller sets for a request.

    :param deadline_ms: Time allowed, in milliseconds.
    :param repeatable: Whether it may run more than once.
    :param idempotency_key: Key; empty when there is none.
    """

    def __init__(self, deadline_ms, repeatable, idempotency_key):
        self.deadline_ms = deadline_ms
        self.repeatable = repeatable
        self.idempotency_key = idempotency_key


class InvalidRequest:
    """A request that was refused at the border; it did not run.

    :param status: HTTP status.
    :param code: Stable identifier.
    :param detail: Text for people.
    """

    def __init__(self, status, code, detail):
        self.status = status
        self.code = code
        self.detail = detail

    def answer(self, start_response):
        """Answer with problem details."""
        body = build_problem(self.status, self.code, self.detail, outcome="not-run")
        headers = [("X-Request-Outcome", "not-run")]
        return reply(start_response, self.status, PROBLEM_TYPE, body, headers)


def _refuse(status, code, detail):
    return Failure(InvalidRequest(status, code, detail))


def _explain(start_response, status, code, outcome, retry_after, detail):
    body = build_problem(
        status,
        code,
        detail,
        outcome=outcome,
        retry_after_ms=math.ceil(retry_after * MILLISECONDS),
    )
    headers = [
        ("X-Request-Outcome", outcome),
        ("Retry-After", format_retry_after(retry_after)),
    ]
    return reply(start_response, status, PROBLEM_TYPE, body, headers)


def _read_number(text):
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


def _read_body(environ, largest):
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > largest:
        return _refuse(413, "body-too-large", f"at most {largest} bytes")
    body = environ["wsgi.input"].read(int(length))
    if len(body) != int(length):
        return _refuse(400, "body-cut-off", "the body is shorter than announced")
    return Success(body)


def _join_query(path, environ):
    query = environ.get("QUERY_STRING", "")
    return f"{path}?{query}" if query else path
