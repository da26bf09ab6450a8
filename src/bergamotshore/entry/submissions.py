"""WSGI applications for callers: submit jobs, read their state and cancel them."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.admission import choose_retry_seconds
from bergamotshore.core.work.jobcost import estimate_job_memory
from bergamotshore.core.work.model import get_job_key
from bergamotshore.entry.jobrows import find_id_problem
from bergamotshore.entry.waitingcounts import WaitingCounts
from bergamotshore.entry.wsgi import reply
from bergamotshore.exceptions import PlatformUncertain, RowsRefused
from bergamotshore.platform.jobs import (
    decode_submission,
    encode_job_state,
    encode_queue_length,
)

JSON = "application/json"
# Share of the caller's deadline after which the entry answers with a failure, so that
# the answer arrives in time.
DEADLINE_SHARE = 0.8
DEFAULT_DEADLINE_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1
# Time after which jobs that found no memory may come again, in seconds: jobs that last
# for seconds make room, and callers are spread over twice the time.
FULL_RETRY_SECONDS = 4.0
# Time for the store to tell that a job to be refused isn't stored, in seconds: a sound
# store answers two reads in a few hundredths. A slower one may hold writes back too.
PROOF_SECONDS = 0.3
# Time for which a job whose write got no answer here isn't refused, in seconds: longer
# than its caller goes on, and than the store holds a write back.
UNCERTAIN_SECONDS = 15.0
# Number of such jobs that are remembered; beyond it, the oldest are forgotten.
MAX_UNCERTAIN = 1000


@dataclass(frozen=True, slots=True)
class AppliedConfig:
    """Configuration by which a call is answered.

    :param config: Version of the configuration.
    :param age: Time since it was last confirmed to be the newest, in seconds.
    """

    config: int
    age: float


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call of a caller.

    :param method: HTTP method.
    :param queue: ``Queue``.
    :param job_id: Identifier of the job; empty for the queue as a whole.
    :param body: Request body.
    :param deadline: Time by which the store must have answered, on this entry's clock.
    :param applied: ``AppliedConfig`` of the call.
    """

    method: str
    queue: object
    job_id: str
    body: bytes
    deadline: float
    applied: AppliedConfig


class SubmissionApp:
    """Answer callers that submit, read, count and cancel jobs.

    :param rows: ``JobRows``.
    :param site: ``SiteState``.
    :param max_config_age: Age at which the configuration is too old to answer calls by,
        in seconds.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param is_store_reachable: Returns whether the store currently accepts calls.
    :param on_cancelled: Called with the key of each job whose cancellation was stored.
    :param admission: ``Admission``; None to refuse no job for load.
    :param counts: ``WaitingCounts``; None for one that trusts no published number.
    :param job_room: ``JobRoom``; None to refuse no job for memory.
    """

    def __init__(
        self,
        rows,
        site,
        max_config_age,
        clock,
        registry,
        log,
        is_store_reachable=lambda: True,
        on_cancelled=lambda key: None,
        admission=None,
        counts=None,
        job_room=None,
    ):
        self._admission = admission
        self._uncertain_until_by_key = OrderedDict()
        self._rows = rows
        self._site = site
        self._max_config_age = max_config_age
        self._clock = clock
        self._registry = registry
        self._log = log
        self._is_store_reachable = is_store_reachable
        self._on_cancelled = on_cancelled
        self._lock = threading.Lock()
        self._job_room = job_room
        self._counts = counts or WaitingCounts(rows, clock, registry, log)
        self._in_flight = 0

    @property
    def in_flight(self):
        """Return the number of calls in flight."""
        return self._in_flight

    def finish_by(self, end):
        """Answer all calls by a time, also those that are in flight.

        :param end: Time on this entry's clock.
        """
        self._rows.finish_by(end)

    def __call__(self, environ, start_response):
        """Answer one call."""
        started_at = self._clock.now()
        with self._lock:
            self._in_flight += 1
        try:
            status, body, headers = self._handle(environ, started_at)
        except Exception as error:
            # A write may have been applied, so the answer must not claim a rejection.
            self._log.write("call-error", environ["PATH_INFO"], why=repr(error))
            status, body, headers = 502, b"{}", ()
        finally:
            with self._lock:
                self._in_flight -= 1
        method = environ["REQUEST_METHOD"]
        self._registry.count("calls_total", method=method, status=status)
        self._registry.measure(
            "call_seconds", self._clock.now() - started_at, method=method
        )
        return reply(start_response, status, JSON, body, headers)

    def _handle(self, environ, started_at):
        body = environ["wsgi.input"].read()
        if not self._site.is_loaded:
            return _build_refusal(503)
        host = environ.get("HTTP_HOST", "").split(":")[0]
        path = environ["PATH_INFO"]
        # The age is read first: a configuration that replaces this one in between is
        # younger, so the age is never understated.
        age = self._site.get_age(started_at)
        configuration = self._site.configuration
        applied = AppliedConfig(configuration.version, age)
        self._registry.measure("config_age_seconds", age)
        if age >= self._max_config_age:
            # A newer configuration may be in force that this entry has not read.
            self._log_answer("call-refused", path, applied, why="config-unconfirmed")
            return _build_refusal(503)
        queue = configuration.find_queue(host, path)
        if queue is None:
            self._log_answer("queue-unknown", path, applied)
            return 404, b"{}", ()
        job_id = path[len(queue.prefix) :].strip("/")
        if job_id and (problem := find_id_problem(queue.name, job_id)):
            self._log.write("job-invalid", job_id, why=problem)
            if environ["REQUEST_METHOD"] == "POST":
                return 400, msgspec.json.encode({"detail": problem}), ()
            # No such job exists.
            return 410, b"{}", ()
        if not self._is_store_reachable():
            # Nothing is sent to the store, so the job is certainly not accepted.
            self._log_answer(
                "call-refused", job_id or queue.name, applied, why="store-away"
            )
            return _build_refusal(503)
        deadline = started_at + DEADLINE_SHARE * _get_deadline_seconds(environ)
        call = Call(environ["REQUEST_METHOD"], queue, job_id, body, deadline, applied)
        match call:
            case Call(method="POST") if job_id:
                return self._submit(call)
            case Call(method="GET", job_id=""):
                return self._get_waiting_count(call)
            case Call(method="GET"):
                return self._get_state(call)
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
        if self._has_no_room(spec, call):
            return self._refuse_for_memory(spec, call)
        refusal = self._find_refusal(spec, call)
        if refusal is not None:
            return self._refuse(refusal, call)
        self._set_uncertain(spec.key, is_uncertain=True)
        outcome = self._rows.accept(spec, call.deadline)
        self._update_uncertain(spec.key, outcome)
        match outcome:
            case Success(is_new):
                if is_new and self._admission is not None:
                    self._admission.record_accepted(spec, queue)
                self._log_answer(
                    "job-accepted",
                    call.job_id,
                    call.applied,
                    queue=queue.name,
                    new=is_new,
                )
                return 200, b"{}", ()
            case Failure(RowsRefused(detail=detail)):
                self._log.write("job-invalid", call.job_id, why=detail)
                body = msgspec.json.encode({"detail": "the job can't be stored"})
                return 400, body, ()
        return self._fail("job-not-accepted", call, outcome.failure())

    def _find_refusal(self, spec, call):
        """Return the ``Refusal`` of a job that is provably not stored; None to accept.

        A job that was accepted before must not be told that it never runs: its caller
        may have got no answer and have sent it again.
        """
        if self._admission is None:
            return None
        refusal = self._admission.find_refusal(spec, call.queue)
        if refusal is None:
            return None
        reason = self._find_doubt(spec.key, call)
        if not reason:
            return refusal
        self._registry.count("refusals_withheld_total", reason=reason)
        self._log.write(
            "refusal-withheld",
            call.job_id,
            why=reason,
            wait=round(refusal.wait, 2),
            limit=round(refusal.limit, 2),
        )
        return None

    def _has_no_room(self, spec, call):
        """Return whether a job is provably not stored, and no entry has room for it."""
        if self._job_room is None or self._job_room.has_room(spec):
            return False
        return not self._find_doubt(spec.key, call)

    def _refuse_for_memory(self, spec, call):
        self._registry.count(
            "jobs_refused_total",
            reason="memory",
            service=call.queue.service,
            priority=call.queue.priority,
        )
        retry = choose_retry_seconds(FULL_RETRY_SECONDS, call.job_id)
        self._log.write(
            "jobs-full",
            call.job_id,
            queue=call.queue.name,
            memory=estimate_job_memory(spec),
            held=self._job_room.held,
            limit=self._job_room.limit,
            retry=retry,
        )
        return 503, b"{}", (("Retry-After", str(retry)),)

    def _find_doubt(self, key, call):
        """Return why a job may be stored; empty if it provably isn't."""
        now = self._clock.now()
        with self._lock:
            if now < self._uncertain_until_by_key.get(key, 0.0):
                return "write-unanswered"
        deadline = min(call.deadline, now + PROOF_SECONDS)
        match self._rows.has(key, deadline):
            case Success(False) if self._clock.now() <= deadline:
                return ""
            case Success(True):
                return "stored"
        return "store-slow"

    def _update_uncertain(self, key, outcome):
        """Update the memory of a job's write by how the attempt to store it ended.

        A definite failure concerns this attempt alone: an earlier write of the job may
        still be applied.
        """
        match outcome:
            case Success(_):
                self._set_uncertain(key, is_uncertain=False)
            case Failure(PlatformUncertain()):
                self._set_uncertain(key, is_uncertain=True)

    def _set_uncertain(self, key, is_uncertain):
        """Remember, or forget, that a write of a job may still be applied."""
        if self._admission is None and self._job_room is None:
            return
        with self._lock:
            self._uncertain_until_by_key.pop(key, None)
            if is_uncertain:
                until = self._clock.now() + UNCERTAIN_SECONDS
                self._uncertain_until_by_key[key] = until
            while len(self._uncertain_until_by_key) > MAX_UNCERTAIN:
                self._uncertain_until_by_key.popitem(last=False)

    def _refuse(self, refusal, call):
        queue = call.queue
        self._registry.count(
            "jobs_refused_total",
            reason="overload",
            service=queue.service,
            priority=queue.priority,
        )
        self._log.write(
            "job-refused",
            call.job_id,
            why="overload",
            queue=queue.name,
            wait=round(refusal.wait, 2),
            limit=round(refusal.limit, 2),
            ahead=round(refusal.ahead, 1),
            accepted=round(refusal.accepted, 1),
            others=round(refusal.others, 1),
            cores=round(refusal.cores, 1),
            epoch=refusal.epoch,
            age=round(refusal.age, 3),
            retry=refusal.retry,
        )
        return 503, b"{}", (("Retry-After", str(refusal.retry)),)

    def _get_state(self, call):
        match self._rows.get_state(call.queue.name, call.job_id, call.deadline):
            case Success(None):
                self._log_answer("state-told", call.job_id, call.applied, state="none")
                return 410, b"{}", ()
            case Success(state):
                self._log_answer("state-told", call.job_id, call.applied, state=state)
                return 200, encode_job_state(state), ()
            case Failure(failure):
                return self._fail("state-unknown", call, failure)

    def _cancel(self, call):
        match self._rows.cancel(call.queue.name, call.job_id, call.deadline):
            case Success(True):
                self._on_cancelled(get_job_key(call.queue.name, call.job_id))
                self._log_answer(
                    "job-cancelled", call.job_id, call.applied, queue=call.queue.name
                )
                return 200, b"{}", ()
            case Success(False):
                return 410, b"{}", ()
            case Failure(failure):
                return self._fail("cancel-failed", call, failure)

    def _get_waiting_count(self, call):
        match self._counts.get(call.queue.name, call.deadline):
            case Success(jobs):
                pass
            case Failure(failure):
                return self._fail("count-unknown", call, failure)
        self._log_answer("count-told", call.queue.name, call.applied, jobs=jobs)
        return 200, encode_queue_length(jobs), ()

    def _log_answer(self, kind, subject, applied, **fields):
        """Log the answer to a call with the version and age of the configuration."""
        self._log.write(kind, subject, **fields, config=applied.config, age=applied.age)

    def _fail(self, kind, call, failure):
        self._log.write(
            kind,
            call.job_id or call.queue.name,
            why=failure.code,
            detail=failure.detail,
        )
        if isinstance(failure, PlatformUncertain):
            return 504, b"{}", ()
        return _build_refusal(503)


def _build_refusal(status):
    return status, b"{}", (("Retry-After", str(RETRY_AFTER_SECONDS)),)


def _get_deadline_seconds(environ):
    """Return the deadline that the caller set, in seconds from now."""
    try:
        return max(0.2, int(environ["HTTP_X_DEADLINE_MS"]) / 1000)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_SECONDS


class ReadinessApp:
    """Answer the load balancer's readiness probe.

    :param is_ready: Returns whether this entry is ready.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        """Answer one call."""
        status = 200 if self._is_ready() else 503
        return reply(start_response, status, JSON, b"{}")
