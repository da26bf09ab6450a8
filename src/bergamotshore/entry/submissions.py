"""Callers who submit jobs, read their state and cancel them."""

import threading
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from bergamotshore.entry.wsgi import reply
from bergamotshore.exceptions import PlatformUncertain
from bergamotshore.platform.jobs import (
    decode_submission,
    encode_state,
    encode_waiting,
)

JSON = "application/json"
# Share of the time that a caller waits that is used before giving up.
DEADLINE_SHARE = 0.8
DEFAULT_DEADLINE_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1
COUNTS_FRESH_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Basis:
    """Which configuration decides about a call.

    :param config: Version.
    :param age: How long ago it was known to be the newest, in seconds.
    """

    config: int
    age: float


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a caller.

    :param method: HTTP method.
    :param queue: ``Queue``.
    :param job_id: Identifier of the job; empty for the queue as a whole.
    :param body: Body.
    :param until: When to give up, on this entry's clock.
    :param basis: ``Basis`` of the answer.
    """

    method: str
    queue: object
    job_id: str
    body: bytes
    until: float
    basis: Basis


class SubmissionApp:
    """Answer callers on the address of the settings.

    :param rows: ``JobRows``.
    :param site: ``SiteState``.
    :param longest_age: Age of the configuration from which on no call is decided by it,
        in seconds.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param is_store_reachable: Tells whether the store takes calls now.
    """

    def __init__(
        self,
        rows,
        site,
        longest_age,
        clock,
        registry,
        log,
        is_store_reachable=lambda: True,
    ):
        self._rows = rows
        self._site = site
        self._longest_age = longest_age
        self._clock = clock
        self._registry = registry
        self._log = log
        self._is_store_reachable = is_store_reachable
        self._lock = threading.Lock()
        self._counts = {}
        self._counts_at = 0.0
        self._busy = 0

    @property
    def in_flight(self):
        """Return the number of calls that are not answered."""
        return self._busy

    def __call__(self, environ, start_response):
        """Answer one call."""
        began = self._clock.now()
        with self._lock:
            self._busy += 1
        try:
            status, body, headers = self._handle(environ, began)
        except Exception as error:
            # Nothing is known of what was written, so no refusal is claimed.
            self._log.write("call-error", environ["PATH_INFO"], why=repr(error))
            status, body, headers = 502, b"{}", ()
        finally:
            with self._lock:
                self._busy -= 1
        method = environ["REQUEST_METHOD"]
        self._registry.count("calls_total", method=method, status=status)
        self._registry.measure("call_seconds", self._clock.now() - began, method=method)
        return reply(start_response, status, JSON, body, headers)

    def _handle(self, environ, began):
        body = environ["wsgi.input"].read()
        if not self._site.is_loaded:
            return _refuse(503)
        host = environ.get("HTTP_HOST", "").split(":")[0]
        path = environ["PATH_INFO"]
        # The age comes first: a configuration that is replaced meanwhile is younger.
        age = self._site.get_age(began)
        configuration = self._site.configuration
        basis = Basis(configuration.version, age)
        self._registry.measure("config_age_seconds", age)
        if age >= self._longest_age:
            # A change may be in force that is not known here.
            self._log_answer("call-refused", path, basis, why="config-unconfirmed")
            return _refuse(503)
        queue = configuration.find_queue(host, path)
        if queue is None:
            self._log_answer("queue-unknown", path, basis)
            return 404, b"{}", ()
        job_id = path[len(queue.prefix) :].strip("/")
        if not self._is_store_reachable():
            # Nothing is sent, so "not accepted" is certain and told at once.
            self._log_answer(
                "call-refused", job_id or queue.name, basis, why="store-away"
            )
            return _refuse(503)
        until = began + DEADLINE_SHARE * _get_deadline(environ)
        call = Call(environ["REQUEST_METHOD"], queue, job_id, body, until, basis)
        match call:
            case Call(method="POST") if job_id:
                return self._submit(call)
            case Call(method="GET", job_id=""):
                return self._count(call)
            case Call(method="GET"):
                return self._show(call)
            case Call(method="DELETE") if job_id:
                return self._cancel(call)
        return 405, b"{}", ()

    def _submit(self, call):
        queue = call.queue
        decoded = decode_submission(call.body, queue, call.job_id, self._clock.wall())
        match decoded:
            case Success(spec):
                pass
            case Failure(failure):
                self._log.write("job-invalid", call.job_id, why=failure.detail)
                return 400, msgspec.json.encode({"detail": failure.detail}), ()
        outcome = self._rows.accept(spec, call.until)
        match outcome:
            case Success(is_new):
                self._log_answer(
                    "job-accepted",
                    call.job_id,
                    call.basis,
                    queue=queue.name,
                    new=is_new,
                )
                return 200, b"{}", ()
        return self._fail("job-not-accepted", call, outcome.failure())

    def _show(self, call):
        match self._rows.get_state(call.queue.name, call.job_id):
            case Success(None):
                self._log_answer("state-told", call.job_id, call.basis, state="none")
                return 410, b"{}", ()
            case Success(state):
                self._log_answer("state-told", call.job_id, call.basis, state=state)
                return 200, encode_state(state), ()
            case Failure(failure):
                return self._fail("state-unknown", call, failure)

    def _cancel(self, call):
        match self._rows.cancel(call.queue.name, call.job_id, call.until):
            case Success(True):
                self._log_answer(
                    "job-cancelled", call.job_id, call.basis, queue=call.queue.name
                )
                return 200, b"{}", ()
            case Success(False):
                return 410, b"{}", ()
            case Failure(failure):
                return self._fail("cancel-failed", call, failure)

    def _count(self, call):
        if self._clock.now() - self._counts_at > COUNTS_FRESH_SECONDS:
            match self._rows.get_waiting_counts():
                case Success(counts):
                    self._counts, self._counts_at = counts, self._clock.now()
                case Failure(failure):
                    return self._fail("count-unknown", call, failure)
        jobs = self._counts.get(call.queue.name, 0)
        self._log_answer("count-told", call.queue.name, call.basis, jobs=jobs)
        return 200, encode_waiting(jobs), ()

    def _log_answer(self, kind, subject, basis, **inputs):
        """Write what was decided about a call, and by which configuration."""
        self._log.write(kind, subject, **inputs, config=basis.config, age=basis.age)

    def _fail(self, kind, call, failure):
        self._log.write(
            kind,
            call.job_id or call.queue.name,
            why=failure.code,
            detail=failure.detail,
        )
        if isinstance(failure, PlatformUncertain):
            return 504, b"{}", ()
        return _refuse(503)


def _refuse(status):
    return status, b"{}", (("Retry-After", str(RETRY_AFTER_SECONDS)),)


def _get_deadline(environ):
    """Return how long the caller waits, in seconds."""
    try:
        return max(0.2, int(environ["HTTP_X_DEADLINE_MS"]) / 1000)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_SECONDS


class ReadinessApp:
    """Tell the balancer whether to send callers here.

    :param is_ready: Tells whether this entry is ready.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        """Answer one call."""
        status = 200 if self._is_ready() else 503
        return reply(start_response, status, JSON, b"{}")
