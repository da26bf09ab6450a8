"""Tests of routing, retry budget and silence detection."""

import random

import pytest

from bergamotshore.core.routing import (
    Candidate,
    RetryBudget,
    choose_node,
    smooth_others,
)
from bergamotshore.core.silence import SilenceDetector


def build(node, own=0, others=0.0, seconds=0.01):
    return Candidate(node, 8, 64, own, others, seconds)


def test_no_candidate_gives_none():
    assert choose_node([], random.Random(1)) is None


def test_full_nodes_are_left_out():
    full = build("full", others=64)
    assert choose_node([full], random.Random(1)) is None
    assert choose_node([full, build("free")], random.Random(1)).node == "free"


@pytest.mark.parametrize(
    ("worse", "better"),
    [
        (build("worse", others=20), build("better", others=3)),
        (build("worse", own=20), build("better", own=3)),
        (build("worse", seconds=0.2), build("better", seconds=0.01)),
    ],
)
def test_prefers_the_one_that_ends_sooner(worse, better):
    for seed in range(10):
        assert choose_node([worse, better], random.Random(seed)).node == "better"


def test_spreads_over_equal_nodes():
    nodes = [build(f"n{number}") for number in range(11)]
    source = random.Random(7)
    chosen = {choose_node(nodes, source).node for _ in range(200)}
    assert len(chosen) == 11


def test_a_node_of_unknown_service_time_counts_as_an_average_one():
    nodes = [build("a"), build("b", seconds=0.05), build("c"), build("new", seconds=0)]
    source = random.Random(3)
    chosen = [choose_node(nodes, source).node for _ in range(400)]
    assert 80 < chosen.count("new") < 170
    assert chosen.count("b") < chosen.count("a")


def test_small_differences_do_not_count():
    nodes = [build("a", seconds=0.0100), build("b", seconds=0.0101)]
    source = random.Random(3)
    chosen = [choose_node(nodes, source).node for _ in range(100)]
    assert 30 < chosen.count("a") < 70


def test_late_reports_are_followed_slowly():
    others = 0.0
    for _ in range(5):
        others = smooth_others(others, held=20, own=5)
    assert 5.0 < others < 8.0
    for _ in range(100):
        others = smooth_others(others, held=20, own=5)
    assert others == pytest.approx(15.0, abs=0.1)
    assert smooth_others(0.0, held=3, own=5) == 0.0


def test_budget_allows_retries_as_a_share_of_first_tries():
    assert not RetryBudget(0.0).spend()
    budget = RetryBudget(0.1, burst=2.0)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(11):
        budget.earn()
    assert [budget.spend() for _ in range(2)] == [True, False]


def test_silence_is_found_after_the_adaptive_timeout():
    detector = SilenceDetector(0.5, 1.0, 5.0, now=0.0)
    for beat in range(1, 20):
        detector.record_heartbeat(beat * 0.5)
    assert not detector.is_silent(9.5 + 0.9)
    assert detector.is_silent(9.5 + detector.timeout + 0.01)
    assert detector.timeout < 2.0


def test_uneven_heartbeats_lengthen_the_timeout_up_to_the_longest():
    detector = SilenceDetector(0.5, 1.0, 5.0, now=0.0)
    now = 0.0
    for gap in [0.1, 3.0] * 10:
        now += gap
        detector.record_heartbeat(now)
    assert detector.timeout == 5.0
