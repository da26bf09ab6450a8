"""Idempotency table of one node, indexed by request id and idempotency key."""

from collections import OrderedDict
from dataclasses import dataclass

from bergamotshore.generated.messages import RequestEnded

NONE_FORGOTTEN = -1


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is new and may proceed to admission."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """The same request is queued or running; its response will follow."""


@dataclass(frozen=True, slots=True)
class AlreadyEnded:
    """The request has already ended.

    :param ended: Its outcome, ``RequestEnded``.
    """

    ended: RequestEnded


@dataclass(frozen=True, slots=True)
class Fenced:
    """The request was fenced before it arrived; it must never run."""


@dataclass(frozen=True, slots=True)
class Forgotten:
    """The request is so old that it may have ended and its record expired."""


@dataclass(slots=True)
class Record:
    """State of one request.

    :param request_id: Identifier of the request.
    :param state: 'queued', 'running', 'ended' or 'fenced'.
    :param key: Idempotency key of the caller; empty when there is none.
    :param ended: Outcome; None until the request has ended.
    :param changed_at: Time of the last state change, in seconds.
    """

    request_id: str
    state: str
    key: str
    ended: RequestEnded | None
    changed_at: float


class IdempotencyTable:
    """Tracks requests so that none runs twice and a fenced one never runs.

    Records of ended and fenced requests expire after ``retention`` seconds. A request
    without a record that is not newer than an expired one of the same entry may have
    run: it is neither executed nor reported as not run. When ``bytes_limit`` is
    exceeded, only response bodies are dropped, never the fact that a request ran.

    :param retention: Time to keep records of ended and fenced requests, in seconds.
    :param bytes_limit: Maximum total size of kept response bodies, in bytes.
    """

    def __init__(self, retention, bytes_limit):
        self.retention = retention
        self.bytes_limit = bytes_limit
        self.by_request_id = OrderedDict()
        self.request_id_by_key = {}
        self.answer_bytes = 0
        self.newest_forgotten_by_entry = {}

    def begin(self, request_id, key, now):
        """Look up an incoming request and record it if it is new.

        :param request_id: Identifier of the request.
        :param key: Idempotency key; empty when there is none.
        :param now: Current time.
        :returns: ``Admitted``, ``InProgress``, ``AlreadyEnded``, ``Fenced`` or
            ``Forgotten``.
        """
        record = self._find(request_id, key)
        if record is None and self.is_forgotten(request_id):
            return Forgotten()
        if record is None:
            self.by_request_id[request_id] = Record(
                request_id, "queued", key, None, now
            )
            if key:
                self.request_id_by_key[key] = request_id
            return Admitted()
        match record.state:
            case "fenced":
                return Fenced()
            case "ended":
                return AlreadyEnded(record.ended)
            case _:
                return InProgress()

    def _find(self, request_id, key):
        record = self.by_request_id.get(request_id)
        if record is None and key in self.request_id_by_key:
            record = self.by_request_id.get(self.request_id_by_key[key])
        return record

    def is_forgotten(self, request_id):
        """Whether a request may have ended and its record expired."""
        if request_id in self.by_request_id:
            return False
        entry, number = split_request_id(request_id)
        return number <= self.newest_forgotten_by_entry.get(entry, NONE_FORGOTTEN)

    def get_state(self, request_id):
        """Return the state of a request, or None when it is unknown."""
        record = self.by_request_id.get(request_id)
        return record.state if record else None

    def get_ended(self, request_id):
        """Return the recorded outcome of a request, or None."""
        record = self.by_request_id.get(request_id)
        return record.ended if record else None

    def mark_running(self, request_id, now):
        """Record that a request is about to be sent to the endpoint."""
        record = self.by_request_id[request_id]
        record.state = "running"
        record.changed_at = now

    def end(self, ended, now):
        """Record the outcome of a request.

        The key of a request that did not run is released, so that a retry may run.

        :param ended: ``RequestEnded``.
        :param now: Current time.
        """
        record = self.by_request_id.get(ended.request_id)
        if record is None:
            return
        record.state = "ended"
        record.ended = ended
        record.changed_at = now
        self.answer_bytes += len(ended.body)
        if ended.outcome == "not_run" and record.key:
            self._release_key(record)
        self.by_request_id.move_to_end(ended.request_id)

    def fence(self, request_id, now):
        """Fence a request that is unknown or queued, leaving a tombstone.

        :returns: True when the request is fenced and can never run.
        """
        record = self.by_request_id.get(request_id)
        if record is None:
            self.by_request_id[request_id] = Record(request_id, "fenced", "", None, now)
            return True
        if record.state == "queued":
            record.state = "fenced"
            record.changed_at = now
            self._release_key(record)
        return record.state == "fenced"

    def _release_key(self, record):
        if self.request_id_by_key.get(record.key) == record.request_id:
            del self.request_id_by_key[record.key]

    def forget(self, now):
        """Remove expired records, and the oldest response bodies over the limit.

        :param now: Current time.
        """
        expired = [
            record
            for record in self.by_request_id.values()
            if record.state in ("ended", "fenced")
            and (now - record.changed_at > self.retention)
        ]
        for record in expired:
            self._drop(record)
        for record in list(self.by_request_id.values()):
            if self.answer_bytes <= self.bytes_limit:
                return
            if record.state == "ended" and record.ended.body:
                self._drop_answer(record)

    def _drop(self, record):
        del self.by_request_id[record.request_id]
        self._release_key(record)
        if record.ended is not None:
            self.answer_bytes -= len(record.ended.body)
        entry, number = split_request_id(record.request_id)
        newest = self.newest_forgotten_by_entry.get(entry, NONE_FORGOTTEN)
        self.newest_forgotten_by_entry[entry] = max(newest, number)

    def _drop_answer(self, record):
        self.answer_bytes -= len(record.ended.body)
        record.ended = RequestEnded(
            request_id=record.request_id, outcome="unknown", reason="answer-not-kept"
        )


def split_request_id(request_id):
    """Return the entry's incarnation and the sequence number in a request identifier.

    :param request_id: Identifier as ``incarnation.number``; any other format counts as
        number 0 of an incarnation of its own.
    """
    incarnation, _, number = request_id.rpartition(".")
    return (
        (incarnation, int(number))
        if number.isdigit() and incarnation
        else (request_id, 0)
    )
