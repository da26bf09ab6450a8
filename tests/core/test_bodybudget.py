"""Memory of request bodies under crowds of clients whose bodies don't end."""

import pytest

from bergamotshore.core.bodybudget import RESERVED_SHARE, SMALL_BYTES, BodyBudget

LIMIT = 16_000_000
LARGE_BYTES = 1_000_000
PIECE_BYTES = 8192
STALL_SECONDS = 5.0
CROWD = 400
SHARED = LIMIT * (1 - RESERVED_SHARE)


@pytest.fixture
def budget():
    return BodyBudget(LIMIT, STALL_SECONDS)


def fill(budget, cost, now=0.0, count=CROWD):
    """Let a crowd hold as much as it is admitted; return who was refused."""
    names = [f"{cost}-{number}" for number in range(count)]
    return [name for name in names if not budget.charge(name, cost, now).is_admitted]


def test_many_large_bodies_never_exceed_the_shared_part(budget):
    refused = fill(budget, LARGE_BYTES)
    assert budget.held <= SHARED
    assert len(refused) == CROWD - SHARED // LARGE_BYTES


def test_bodies_that_grow_piece_by_piece_never_exceed_the_shared_part(budget):
    alive = set(range(CROWD))
    for size in range(PIECE_BYTES, LARGE_BYTES, PIECE_BYTES):
        for name in sorted(alive):
            admission = budget.charge(name, size, 0.0)
            alive.difference_update(admission.evicted)
            if not admission.is_admitted:
                alive.discard(name)
            assert budget.held <= LIMIT
    assert len(alive) == SHARED // LARGE_BYTES


def test_ordinary_request_is_admitted_beside_large_bodies_that_stall(budget):
    fill(budget, LARGE_BYTES)
    assert budget.charge("ordinary", SMALL_BYTES, 0.0, True).is_admitted


def test_ordinary_request_takes_the_room_of_small_bodies_that_do_not_end(budget):
    fill(budget, LARGE_BYTES)
    fill(budget, SMALL_BYTES, count=10 * CROWD)
    admission = budget.charge("ordinary", SMALL_BYTES, 0.0, True)
    assert admission.is_admitted
    assert budget.held <= LIMIT


def test_large_body_takes_the_room_of_the_largest_that_stall(budget):
    budget.charge("small", SMALL_BYTES, 0.0)
    fill(budget, LARGE_BYTES)
    assert not budget.charge("new", LARGE_BYTES, STALL_SECONDS / 2).is_admitted
    admission = budget.charge("new", LARGE_BYTES, STALL_SECONDS)
    assert admission.is_admitted
    assert admission.evicted
    assert "small" not in admission.evicted


def test_body_that_grows_by_a_byte_now_and_then_gives_way_in_the_end(budget):
    for second in range(100):
        fill(
            budget, LARGE_BYTES + second, float(second), count=int(LIMIT / LARGE_BYTES)
        )
    assert budget.charge("new", LARGE_BYTES, 100.0).is_admitted


def test_running_request_is_never_evicted(budget):
    for number in range(int(SHARED / LARGE_BYTES)):
        assert budget.charge(number, LARGE_BYTES, 0.0, True).is_admitted
    assert not budget.charge("new", LARGE_BYTES, 1000.0).is_admitted


def test_calm_evicts_nothing_however_long_a_body_takes(budget):
    budget.charge("slow", LARGE_BYTES, 0.0)
    admission = budget.charge("other", LARGE_BYTES, 1000.0)
    assert (admission.is_admitted, admission.evicted) == (True, ())


def test_everything_is_given_back(budget):
    refused = fill(budget, LARGE_BYTES)
    for number in range(CROWD):
        budget.release(f"{LARGE_BYTES}-{number}")
    assert refused
    assert budget.held == 0
