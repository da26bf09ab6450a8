"""Tests of the node's idempotency table."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshore.core.idempotency import (
    Admitted,
    AlreadyEnded,
    Fenced,
    Forgotten,
    IdempotencyTable,
    InProgress,
)
from bergamotshore.generated.messages import RequestEnded

RETENTION = 60.0


@pytest.fixture
def requests():
    return IdempotencyTable(RETENTION, 1000)


def end(request_id, outcome="completed", body=b""):
    return RequestEnded(request_id=request_id, outcome=outcome, body=body)


def test_request_is_admitted_once(requests):
    assert requests.begin("r1", "", 0) == Admitted()
    assert requests.begin("r1", "", 0) == InProgress()


def test_request_with_the_key_of_a_running_one_is_in_progress(requests):
    requests.begin("r1", "k", 0)
    requests.mark_running("r1", 0)
    assert requests.begin("r2", "k", 1) == InProgress()


def test_repeated_request_returns_the_recorded_outcome(requests):
    requests.begin("r1", "k", 0)
    requests.end(end("r1"), 1)
    assert requests.begin("r2", "k", 2) == AlreadyEnded(end("r1"))


def test_request_that_did_not_run_releases_its_key(requests):
    requests.begin("r1", "k", 0)
    requests.end(end("r1", "not_run"), 1)
    assert requests.begin("r2", "k", 2) == Admitted()
    assert requests.begin("r1", "", 2) == AlreadyEnded(end("r1", "not_run"))


def test_fence_that_arrives_before_its_request_leaves_a_tombstone(requests):
    assert requests.fence("r1", 0)
    assert requests.begin("r1", "k", 1) == Fenced()


def test_running_request_cannot_be_fenced(requests):
    requests.begin("r1", "", 0)
    requests.mark_running("r1", 0)
    assert not requests.fence("r1", 1)


def test_only_ended_and_fenced_records_expire(requests):
    requests.begin("r1", "", 0)
    requests.mark_running("r1", 0)
    requests.fence("r2", 0)
    requests.forget(RETENTION + 1)
    assert requests.get_state("r1") == "running"
    assert requests.get_state("r2") is None


def test_bodies_over_the_limit_are_dropped_oldest_first_but_records_are_kept(requests):
    for number in range(3):
        requests.begin(f"r{number}", "", number)
        requests.end(end(f"r{number}", body=b"x" * 400), number)
    requests.forget(5)
    assert requests.begin("r0", "", 6).ended.outcome == "unknown"
    assert requests.get_ended("r2").outcome == "completed"
    assert requests.answer_bytes <= 1000


def test_request_with_a_possibly_expired_record_is_reported_as_forgotten(requests):
    requests.begin("entry.7", "", 0)
    requests.end(end("entry.7"), 0)
    requests.forget(RETENTION + 1)
    assert requests.begin("entry.7", "", RETENTION + 2) == Forgotten()
    assert requests.is_forgotten("entry.3")
    assert not requests.is_forgotten("entry.8")
    assert not requests.is_forgotten("other.1")
    assert requests.begin("entry.8", "", RETENTION + 2) == Admitted()


class IdempotencyMachine(RuleBasedStateMachine):
    """A request or key runs at most once, for any order of events."""

    IDS = st.sampled_from(["r1", "r2", "r3", "r4"])
    KEY_BY_ID = {"r1": "k", "r2": "k", "r3": "", "r4": ""}

    def __init__(self):
        super().__init__()
        self.table = IdempotencyTable(RETENTION, 10_000)
        self.runs = []
        self.completed = set()
        self.fenced = set()
        self.now = 0.0

    @rule(request_id=IDS)
    def arrive(self, request_id):
        self.now += 0.1
        result = self.table.begin(request_id, self.KEY_BY_ID[request_id], self.now)
        if result == Admitted():
            assert request_id not in self.fenced

    @rule(request_id=IDS)
    def run(self, request_id):
        if self.table.get_state(request_id) == "queued":
            self.table.mark_running(request_id, self.now)
            self.runs.append(request_id)

    @rule(request_id=IDS, outcome=st.sampled_from(["completed", "unknown"]))
    def finish(self, request_id, outcome):
        if self.table.get_state(request_id) == "running":
            self.table.end(end(request_id, outcome), self.now)

    @rule(request_id=IDS)
    def refuse(self, request_id):
        if self.table.get_state(request_id) == "queued":
            self.table.end(end(request_id, "not_run"), self.now)

    @rule(request_id=IDS)
    def fence(self, request_id):
        if self.table.fence(request_id, self.now):
            assert request_id not in self.runs
            self.fenced.add(request_id)

    @invariant()
    def runs_once(self):
        assert len(self.runs) == len(set(self.runs))
        keyed = [request_id for request_id in self.runs if self.KEY_BY_ID[request_id]]
        assert len(keyed) <= 1
        assert not self.fenced & set(self.runs)


TestIdempotencyMachine = IdempotencyMachine.TestCase
