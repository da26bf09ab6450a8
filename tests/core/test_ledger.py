"""Tests of admission control."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from bergamotshore.core.ledger import (
    DEADLINE_SAFETY_FACTOR,
    AdmissionLedger,
    Refuse,
    Run,
    Wait,
)

SLOTS = 2
CONNECTIONS = 4


def fill(ledger, count, now=0.0):
    return [ledger.admit(f"r{n}", now + 100, now) for n in range(count)]


def test_runs_up_to_slots_queues_up_to_connections_then_refuses():
    actions = fill(AdmissionLedger(SLOTS, CONNECTIONS), 5)
    kinds = [type(action) for action in actions]
    assert kinds == [Run, Run, Wait, Wait, Refuse]
    assert actions[-1].reason == "connections-full"
    assert actions[-1].retry_after > 0


def test_refuses_without_an_endpoint():
    assert AdmissionLedger().admit("r", 10, 0).reason == "no-endpoint"


def test_finished_request_frees_a_slot_for_the_next_one():
    ledger = AdmissionLedger(1, CONNECTIONS)
    fill(ledger, 3)
    ledger.finish("r0", 0.1)
    assert ledger.advance(0.0) == [Run("r1")]


@pytest.mark.parametrize(
    ("deadline", "expected"),
    [
        (0.5, Refuse),
        (1.5, Refuse),
        (2.0 * DEADLINE_SAFETY_FACTOR - 0.1, Refuse),
        (2.7, Wait),
    ],
)
def test_refuses_requests_that_cannot_finish_before_their_deadline(deadline, expected):
    ledger = AdmissionLedger(1, CONNECTIONS)
    ledger.service_seconds = 1.0
    ledger.admit("r0", 100, 0)
    action = ledger.admit("r1", deadline, 0)
    assert isinstance(action, expected)


def test_expire_refuses_queued_requests_before_their_deadline():
    ledger = AdmissionLedger(1, CONNECTIONS)
    ledger.service_seconds = 1.0
    ledger.admit("r0", 100, 0)
    ledger.admit("r1", 5.0, 0)
    assert ledger.expire(3.9) == []
    assert [action.request_id for action in ledger.expire(4.1)] == ["r1"]
    assert ledger.held == 1


def test_lowered_limits_keep_running_requests_and_admit_no_more():
    ledger = AdmissionLedger(SLOTS, CONNECTIONS)
    fill(ledger, 2)
    ledger.resize(1, 1)
    assert isinstance(ledger.admit("r9", 100, 0), Refuse)
    ledger.finish("r0", 0.1)
    assert ledger.advance(0) == []


class LedgerMachine(RuleBasedStateMachine):
    """The ledger stays within its limits for any order of events."""

    running = Bundle("running")

    def __init__(self):
        super().__init__()
        self.ledger = AdmissionLedger(SLOTS, CONNECTIONS)
        self.now = 0.0
        self.count = 0
        self.model_running = set()
        self.model_queued = set()

    def apply(self, actions):
        for action in actions:
            match action:
                case Run(request_id):
                    self.model_queued.discard(request_id)
                    assert request_id not in self.model_running
                    self.model_running.add(request_id)
                case Refuse(request_id):
                    assert request_id not in self.model_running
                    self.model_queued.discard(request_id)
                case Wait(request_id):
                    self.model_queued.add(request_id)

    @rule(target=running, budget=st.floats(0.01, 5.0))
    def admit(self, budget):
        self.count += 1
        request_id = f"r{self.count}"
        self.apply([self.ledger.admit(request_id, self.now + budget, self.now)])
        return request_id

    @rule(request_id=consumes(running), seconds=st.floats(0.001, 2.0))
    def finish(self, request_id, seconds):
        if request_id in self.model_running:
            self.model_running.remove(request_id)
            self.ledger.finish(request_id, seconds)
            self.apply(self.ledger.advance(self.now))

    @rule(request_id=consumes(running))
    def fence(self, request_id):
        was_queued = self.ledger.remove(request_id)
        assert was_queued == (request_id in self.model_queued)
        self.model_queued.discard(request_id)

    @rule(seconds=st.floats(0.0, 2.0))
    def expire(self, seconds):
        self.now += seconds
        self.apply(self.ledger.expire(self.now))
        self.apply(self.ledger.advance(self.now))

    @invariant()
    def stays_within_limits(self):
        assert len(self.ledger.running) <= SLOTS
        assert self.ledger.held <= CONNECTIONS

    @invariant()
    def agrees_with_the_model(self):
        assert self.ledger.running == self.model_running
        assert set(self.ledger.queue) == self.model_queued


TestLedgerMachine = LedgerMachine.TestCase
