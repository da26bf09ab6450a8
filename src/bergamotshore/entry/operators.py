"""HTTP API for operators."""

import hmac
import re
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from bergamotshore.conf.document import load_document
from bergamotshore.conf.loading import load_text
from bergamotshore.conf.problems import Problem
from bergamotshore.core.jobs import cancel_job, get_job_id
from bergamotshore.entry.configuration import build_document
from bergamotshore.entry.scheduler import build_job
from bergamotshore.entry.wsgi import reply
from bergamotshore.exceptions import Conflict, JobMissing, StaleSection
from bergamotshore.generated.document import HINTS_BY_TYPE, Job
from bergamotshore.utils.problems import (
    JSON_TYPE,
    PROBLEM_TYPE,
    build_problem,
    format_retry_after,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CANCEL_ATTEMPTS = 10
RETRY_AFTER_SECONDS = 1.0
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NAME_PATTERN = r"[a-z0-9-]+"
STATUS_BY_CODE = {
    "conflict": 409,
    "job-exists": 409,
    "job-missing": 404,
    "not-owner": 403,
    "stale-section": 409,
    "zone-unknown": 404,
}


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """An authenticated call.

    :param team: Team that the token belongs to, or 'site'.
    :param body: Request body.
    :param query: Query string.
    """

    team: str
    body: bytes
    query: str


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """A call that the API itself rejects.

    :param status: HTTP status.
    :param code: Stable error code.
    :param detail: Human-readable description.
    """

    status: int
    code: str
    detail: str


class OperatorApp:
    """WSGI application of the operator API.

    :param services: Object with the stores and status functions of the entry.
    """

    def __init__(self, services):
        self.services = services
        self.routes = [
            ("GET", re.compile(r"^/v1/document$"), self._get_document),
            ("PUT", re.compile(r"^/v1/document$"), self._apply_document),
            ("GET", re.compile(r"^/v1/zones$"), self._list_zones),
            (
                "POST",
                re.compile(
                    rf"^/v1/zones/(?P<zone>{NAME_PATTERN})/(?P<verb>take-out|bring-back)$"
                ),
                self._set_gate,
            ),
            ("GET", re.compile(r"^/v1/jobs$"), self._list_jobs),
            (
                "GET",
                re.compile(
                    rf"^/v1/jobs/(?P<team>{NAME_PATTERN})/(?P<name>{NAME_PATTERN})$"
                ),
                self._show_job,
            ),
            (
                "POST",
                re.compile(
                    rf"^/v1/jobs/(?P<team>{NAME_PATTERN})/(?P<name>{NAME_PATTERN})$"
                ),
                self._submit_job,
            ),
            (
                "POST",
                re.compile(
                    rf"^/v1/jobs/(?P<team>{NAME_PATTERN})/(?P<name>{NAME_PATTERN})/cancel$"
                ),
                self._cancel_job,
            ),
            ("GET", re.compile(r"^/v1/status$"), self._show_status),
            ("GET", re.compile(r"^/v1/events$"), self._list_events),
            (
                "GET",
                re.compile(r"^/v1/nodes/(?P<node>[^/]+)/metrics$"),
                self._get_node_metrics,
            ),
        ]

    def __call__(self, environ, start_response):
        """Handle one HTTP request."""
        path = environ.get("PATH_INFO", "")
        match path:
            case "/live":
                return reply(start_response, 200, TEXT_TYPE, b"live\n")
            case "/ready":
                is_ready = self.services.is_ready()
                status, text = (200, b"ready\n") if is_ready else (503, b"not ready\n")
                return reply(start_response, status, TEXT_TYPE, text)
            case "/metrics":
                text = self.services.registry.render().encode()
                return reply(start_response, 200, TEXT_TYPE, text)
        outcome = self._read_call(environ).bind(
            lambda call: self._dispatch(environ["REQUEST_METHOD"], path, call)
        )
        match outcome:
            case Success(result):
                body = msgspec.json.encode(result)
                return reply(start_response, 200, JSON_TYPE, body)
            case Failure(failure):
                return _reply_failure(start_response, failure)

    def _read_call(self, environ):
        scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        team = self._find_team(token) if scheme == "Bearer" else None
        if team is None:
            return Failure(
                RefusedCall(401, "token-invalid", "give a valid Bearer token")
            )
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            detail = f"at most {MAX_BODY_BYTES} bytes"
            return Failure(RefusedCall(413, "body-too-large", detail))
        body = environ["wsgi.input"].read(int(length))
        return Success(OperatorCall(team, body, environ.get("QUERY_STRING", "")))

    def _find_team(self, token):
        for team, team_token in self.services.tokens.items():
            if hmac.compare_digest(token.encode(), team_token.encode()):
                return team
        return None

    def _dispatch(self, method, path, call):
        is_path_known = False
        for route_method, pattern, handler in self.routes:
            path_match = pattern.match(path)
            if path_match is None:
                continue
            is_path_known = True
            if route_method == method:
                return handler(call, **path_match.groupdict())
        if is_path_known:
            return Failure(RefusedCall(405, "method-not-allowed", f"{method} {path}"))
        return Failure(RefusedCall(404, "path-unknown", path))

    def _get_document(self, call):
        configuration = self.services.configuration.configuration
        return Success(
            {
                "version": configuration.version,
                "document": msgspec.to_builtins(build_document(configuration)),
            }
        )

    def _apply_document(self, call):
        outcome = _decode_utf8(call.body).bind(load_document)
        match outcome:
            case Success(document):
                pass
            case failure:
                return failure
        accepted = self.services.configuration.apply(document, call.team)
        self.services.refresh()
        return accepted.map(msgspec.to_builtins)

    def _list_zones(self, call):
        gates = self.services.configuration.list_gates()
        return Success({"zones": [msgspec.to_builtins(gate) for gate in gates]})

    def _set_gate(self, call, zone, verb):
        if call.team != "site":
            return Failure(
                RefusedCall(
                    403, "not-site-operator", "only the site's token may do this"
                )
            )
        outcome = self.services.configuration.set_gate(
            zone, verb == "bring-back", call.team
        )
        self.services.refresh()
        return outcome.map(msgspec.to_builtins)

    def _list_jobs(self, call):
        return self.services.jobs.list_all().map(
            lambda rows: {"jobs": [_summarise_job(row) for row in rows]}
        )

    def _show_job(self, call, team, name):
        return self.services.jobs.find(f"{team}/{name}").map(msgspec.to_builtins)

    def _submit_job(self, call, team, name):
        match self._check_owner(call, team):
            case Failure() as failure:
                return failure
        section = self.services.configuration.configuration.teams.get(team)
        if section is None:
            return Failure(RefusedCall(404, "team-unknown", f"no section for {team!r}"))
        outcome = _decode_utf8(call.body).bind(
            lambda text: load_text(text, Job, HINTS_BY_TYPE)
        )
        match outcome:
            case Success(job):
                pass
            case failure:
                return failure
        quota = self.services.configuration.configuration.get_quota(team)
        row = build_job(team, name, job, "submitted")
        if _exceeds_quota(job, quota):
            return Failure(
                [Problem("document.E106", f"jobs.{name}", 0, "larger than the quota")]
            )
        return self.services.jobs.create(row).map(
            lambda stored_job: {"job": get_job_id(stored_job.row)}
        )

    def _check_owner(self, call, team):
        if call.team != team:
            return Failure(RefusedCall(403, "not-owner", f"the section of {team!r}"))
        return Success(None)

    def _cancel_job(self, call, team, name):
        match self._check_owner(call, team):
            case Failure() as failure:
                return failure
        job_id = f"{team}/{name}"
        outcome = Failure(Conflict(job_id, 0))
        for _ in range(MAX_CANCEL_ATTEMPTS):
            outcome = self._cancel_once(job_id)
            match outcome:
                case Failure(Conflict()):
                    continue
            break
        self.services.refresh()
        return outcome

    def _cancel_once(self, job_id):
        jobs = self.services.jobs
        match jobs.read(job_id):
            case Success(None):
                return jobs.find(job_id).map(_summarise_job)
            case Success(stored_job):
                return jobs.replace(stored_job, cancel_job(stored_job.row)).map(
                    lambda updated_job: _summarise_job(updated_job.row)
                )
            case failure:
                return failure

    def _show_status(self, call):
        return Success(self.services.describe())

    def _list_events(self, call):
        events = self.services.collect_events()
        return Success({"events": [msgspec.to_builtins(event) for event in events]})

    def _get_node_metrics(self, call, node):
        return self.services.collect_node_metrics(node).map(lambda text: {"text": text})


def _decode_utf8(body):
    try:
        return Success(body.decode("utf-8"))
    except UnicodeDecodeError as error:
        problem = Problem("conf.E001", "document", 0, str(error), "use UTF-8")
        return Failure([problem])


def _exceeds_quota(job, quota):
    return (
        job.processors > quota.processors
        or job.memory_gb > quota.memory_gb
        or job.accelerators > quota.accelerators
    )


def _summarise_job(row):
    counts = {}
    for task in row.tasks:
        counts[task.state] = counts.get(task.state, 0) + 1
    return {
        "job": get_job_id(row),
        "kind": row.kind,
        "origin": row.origin,
        "is_cancelled": row.is_cancelled,
        "tasks": counts,
    }


def _reply_failure(start_response, failure):
    match failure:
        case list():
            body = build_problem(
                422,
                "document-invalid",
                f"{len(failure)} problems",
                problems=[problem.to_builtins() for problem in failure],
            )
            return reply(start_response, 422, PROBLEM_TYPE, body)
        case RefusedCall(status, code, detail):
            body = build_problem(status, code, detail)
            return reply(start_response, status, PROBLEM_TYPE, body)
        case StaleSection(team, based_on, current):
            detail = (
                f"the edit of {team!r} starts from version {based_on}, "
                f"but version {current} is in force"
            )
            body = build_problem(
                409, failure.code, detail, based_on=based_on, current=current
            )
            return reply(start_response, 409, PROBLEM_TYPE, body)
        case JobMissing(job):
            body = build_problem(404, failure.code, f"no job {job!r}")
            return reply(start_response, 404, PROBLEM_TYPE, body)
    status = STATUS_BY_CODE.get(failure.code, 503)
    body = build_problem(status, failure.code, repr(failure))
    headers = []
    if status == 503:
        headers = [("Retry-After", format_retry_after(RETRY_AFTER_SECONDS))]
    return reply(start_response, status, PROBLEM_TYPE, body, headers)
