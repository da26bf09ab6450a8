"""Tests that an entry answers no call by a configuration that is too old."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshore.metrics.registry import Registry
from bergamotshore.utils.eventlog import EventLog
from tests.fakes import FakeClock
from tests.site.oneentry import EntryHarness, FaultPeriod

# The operator changes the configuration every 0.7 s, first after 1 s.
CHANGES = [1.0 + 0.7 * number for number in range(16)]
DIRECT_REJECTED = FaultPeriod(2.0, 5.0, "busy")


@pytest.fixture
def log(clock):
    return EventLog(clock, emit=lambda line: None)


# Guards against calls answered by a superseded configuration while an entry waits for
# the answer of a lost peer.
def test_no_call_is_answered_by_an_old_configuration_after_the_loss_of_a_peer(
    clock, registry, log
):
    peer_loss = FaultPeriod(5.4, 60.0, "silent")
    harness = EntryHarness(
        clock, registry, log, [DIRECT_REJECTED], [peer_loss], CHANGES
    )
    harness.run(12.0)
    assert harness.stale == []


# Guards against calls answered by an old configuration while the store is unreachable.
@pytest.mark.parametrize("kind", ["silent", "reset", "busy"])
def test_no_call_is_answered_by_an_old_configuration_while_the_store_is_unreachable(
    clock, registry, log, kind
):
    faults = [FaultPeriod(3.0, 12.0, kind)]
    harness = EntryHarness(clock, registry, log, faults, faults, CHANGES)
    harness.run(16.0)
    assert harness.stale == []
    assert harness.answers[-1][1] != 503


@pytest.mark.parametrize("kind", ["silent", "reset", "busy"])
def test_calls_are_answered_while_one_route_to_the_store_works(
    clock, registry, log, kind
):
    """The direct route fails; shortly after it has recovered, the peer is lost."""
    direct, peer = [FaultPeriod(3.0, 8.0, kind)], [FaultPeriod(8.2, 60.0, "silent")]
    harness = EntryHarness(clock, registry, log, direct, peer, CHANGES)
    harness.run(14.0)
    assert harness.stale == []
    assert harness.refused == []


def test_no_call_is_refused_while_the_store_is_slow(clock, registry, log):
    harness = EntryHarness(clock, registry, log, changes=CHANGES, answer_seconds=0.38)
    harness.run(12.0)
    assert harness.stale == []
    assert harness.refused == []


FAULTS = st.lists(
    st.builds(
        lambda start, length, kind: FaultPeriod(start, start + length, kind),
        st.floats(1.0, 9.0),
        st.floats(0.1, 4.0),
        st.sampled_from(["silent", "reset", "busy"]),
    ),
    max_size=4,
)


@settings(max_examples=40)
@given(direct=FAULTS, peer=FAULTS)
def test_no_sequence_of_faults_leads_to_an_answer_by_an_old_configuration(direct, peer):
    clock = FakeClock()
    log = EventLog(clock, emit=lambda line: None)
    harness = EntryHarness(clock, Registry(), log, direct, peer, CHANGES)
    harness.run(18.0)
    assert harness.stale == []
    assert harness.answers[-1][1] != 503
