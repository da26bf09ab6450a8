"""HTTP interface for callers."""

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
BOOLEAN_BY_TEXT = {"true": True, "false": False}
MILLISECONDS_PER_SECOND = 1000.0
TEXT_TYPE = "text/plain; charset=utf-8"


class CallerApp:
    """WSGI application that serves callers.

    :param router: ``RequestRouter``.
    :param get_services: Function returning ``document.Service`` by service name.
    :param is_ready: Function returning whether the load balancer should send requests.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param largest_body: Maximum size of a body, in bytes.
    """

    def __init__(self, router, get_services, is_ready, clock, registry, largest_body):
        self.router = router
        self.get_services = get_services
        self.is_ready = is_ready
        self.clock = clock
        self.registry = registry
        self.largest_body = largest_body

    def __call__(self, environ, start_response):
        """Handle one HTTP request."""
        path = environ.get("PATH_INFO", "")
        if path == "/live":
            return reply(start_response, 200, TEXT_TYPE, b"live\n")
        if path == "/ready":
            return self._reply_readiness(start_response)
        arrived_at = self.clock.now()
        match self._parse_request(environ, arrived_at):
            case Success(request):
                outcome = self.router.serve(request)
                self._count_outcome(outcome)
                return self._reply_with_outcome(start_response, outcome)
            case Failure(invalid_request):
                self.registry.count("requests_invalid_total", code=invalid_request.code)
                return invalid_request.send_response(start_response)

    def _reply_readiness(self, start_response):
        if self.is_ready():
            return reply(start_response, 200, TEXT_TYPE, b"ready\n")
        return reply(start_response, 503, TEXT_TYPE, b"not ready\n")

    def _count_outcome(self, outcome):
        name = type(outcome).__name__.lower()
        reason = getattr(outcome, "reason", "")
        self.registry.count("requests_total", outcome=name, reason=reason)

    def _parse_request(self, environ, arrived_at):
        """Return a ``Result`` of ``CallerRequest`` or ``InvalidRequest``."""
        path_match = PATH_PATTERN.match(environ.get("PATH_INFO", ""))
        if path_match is None:
            return _reject(404, "path-unknown", "use /services/NAME/PATH")
        method = environ["REQUEST_METHOD"]
        if method not in METHODS:
            return _reject(405, "method-not-allowed", f"{method} is not served")
        service = self.get_services().get(path_match["service"])
        if service is None:
            return _reject(
                404, "service-unknown", f"no service {path_match['service']!r}"
            )
        return self._parse_options(environ, service).bind(
            lambda options: _read_body(environ, self.largest_body).map(
                lambda body: CallerRequest(
                    service=path_match["service"],
                    method=method,
                    path=_append_query(path_match["path"], environ),
                    content_type=environ.get("CONTENT_TYPE", ""),
                    body=body,
                    deadline=arrived_at + options.deadline_ms / MILLISECONDS_PER_SECOND,
                    repeatable=options.repeatable,
                    idempotency_key=options.idempotency_key,
                )
            )
        )

    def _parse_options(self, environ, service):
        deadline_ms = _parse_milliseconds(environ.get("HTTP_X_REQUEST_DEADLINE_MS", ""))
        if deadline_ms is None:
            return _reject(
                400, "deadline-missing", "give X-Request-Deadline-Ms, a whole number"
            )
        if not 1 <= deadline_ms <= service.longest_deadline_ms:
            max_deadline_ms = service.longest_deadline_ms
            return _reject(400, "deadline-out-of-range", f"use 1 to {max_deadline_ms}")
        repeatable = BOOLEAN_BY_TEXT.get(environ.get("HTTP_X_REQUEST_REPEATABLE", ""))
        if repeatable is None:
            return _reject(
                400, "repeatable-missing", "give X-Request-Repeatable, true or false"
            )
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if key and not KEY_PATTERN.match(key):
            return _reject(
                400, "idempotency-key-invalid", "use 1 to 128 visible characters"
            )
        if not key and not repeatable:
            return _reject(
                400,
                "idempotency-key-missing",
                "a request that may not be repeated needs an Idempotency-Key",
            )
        return Success(RequestOptions(deadline_ms, repeatable, key))

    def _reply_with_outcome(self, start_response, outcome):
        match outcome:
            case Completed(status, content_type, body, is_replay):
                headers = [("X-Request-Outcome", "completed")]
                if is_replay:
                    headers.append(("X-Request-Replay", "true"))
                return reply(start_response, status, content_type, body, headers)
            case NotRun(reason, retry_after):
                return _reply_with_problem(
                    start_response,
                    503,
                    reason,
                    "not-run",
                    retry_after,
                    "the request did not run",
                )
            case Unknown(reason, retry_after):
                return _reply_with_problem(
                    start_response,
                    504,
                    reason,
                    "unknown",
                    retry_after,
                    "whether the request ran is not known",
                )
            case KeyBusy(state, retry_after):
                return _reply_with_problem(
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


class RequestOptions:
    """Options that the caller sets in request headers.

    :param deadline_ms: Time until the deadline, in milliseconds.
    :param repeatable: Whether the request may run more than once.
    :param idempotency_key: Idempotency key, or an empty string.
    """

    def __init__(self, deadline_ms, repeatable, idempotency_key):
        self.deadline_ms = deadline_ms
        self.repeatable = repeatable
        self.idempotency_key = idempotency_key


class InvalidRequest:
    """A request that failed validation and did not run.

    :param status: HTTP status.
    :param code: Stable error code.
    :param detail: Human-readable explanation.
    """

    def __init__(self, status, code, detail):
        self.status = status
        self.code = code
        self.detail = detail

    def send_response(self, start_response):
        """Send the response, with problem details as its body."""
        body = build_problem(self.status, self.code, self.detail, outcome="not-run")
        headers = [("X-Request-Outcome", "not-run")]
        return reply(start_response, self.status, PROBLEM_TYPE, body, headers)


def _reject(status, code, detail):
    return Failure(InvalidRequest(status, code, detail))


def _reply_with_problem(start_response, status, code, outcome, retry_after, detail):
    body = build_problem(
        status,
        code,
        detail,
        outcome=outcome,
        retry_after_ms=math.ceil(retry_after * MILLISECONDS_PER_SECOND),
    )
    headers = [
        ("X-Request-Outcome", outcome),
        ("Retry-After", format_retry_after(retry_after)),
    ]
    return reply(start_response, status, PROBLEM_TYPE, body, headers)


def _parse_milliseconds(text):
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


def _read_body(environ, max_bytes):
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > max_bytes:
        return _reject(413, "body-too-large", f"at most {max_bytes} bytes")
    body = environ["wsgi.input"].read(int(length))
    if len(body) != int(length):
        return _reject(400, "body-cut-off", "the body is shorter than announced")
    return Success(body)


def _append_query(path, environ):
    query = environ.get("QUERY_STRING", "")
    return f"{path}?{query}" if query else path
