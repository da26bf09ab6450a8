"""Ports of sites that run at the same time."""

import pytest

from standins.ports import BLOCK_PORTS, PortPool

PORTS = range(11_000, 11_000 + 3 * BLOCK_PORTS)


@pytest.fixture
def open_pool(tmp_path):
    pools = []

    def open_one():
        pools.append(PortPool(PORTS, tmp_path))
        return pools[-1]

    yield open_one
    for pool in pools:
        pool.close()


def test_two_runs_never_get_the_same_port(open_pool):
    first, second = open_pool(), open_pool()
    taken = [
        port for _ in range(10) for pool in (first, second) for port in pool.allocate(4)
    ]
    assert len(taken) == len(set(taken)) == 80


def test_a_run_gets_further_blocks_and_then_its_own_again(open_pool):
    pool = open_pool()
    taken = pool.allocate(len(PORTS))
    assert sorted(taken) == list(PORTS)
    assert pool.allocate(1) == taken[:1]


def test_blocks_of_a_run_that_ended_are_free_again(open_pool):
    first, second = open_pool(), open_pool()
    first.allocate(len(PORTS))
    with pytest.raises(RuntimeError):
        second.allocate(1)
    first.close()
    assert second.allocate(1)
