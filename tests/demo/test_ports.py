"""Port allocation of sites that run concurrently."""

import tempfile
import uuid

import pytest

from standins.ports import BLOCK_PORTS, PortPool

PORTS = range(11_000, 11_000 + 3 * BLOCK_PORTS)


@pytest.fixture
def open_pool():
    pools = []
    lock_prefix = f"test-{uuid.uuid4().hex}"

    def open_new_pool():
        pools.append(PortPool(PORTS, lock_prefix))
        return pools[-1]

    yield open_new_pool
    for pool in pools:
        pool.close()


def test_concurrent_runs_get_different_ports(open_pool):
    first, second = open_pool(), open_pool()
    allocated = [
        port for _ in range(10) for pool in (first, second) for port in pool.allocate(4)
    ]
    assert len(allocated) == len(set(allocated)) == 80


def test_run_locks_further_blocks_and_then_reuses_its_own(open_pool):
    pool = open_pool()
    allocated = pool.allocate(len(PORTS))
    assert sorted(allocated) == list(PORTS)
    assert pool.allocate(1) == allocated[:1]


def test_blocks_are_released_when_a_run_ends(open_pool):
    first, second = open_pool(), open_pool()
    first.allocate(len(PORTS))
    with pytest.raises(RuntimeError):
        second.allocate(1)
    first.close()
    assert second.allocate(1)


# Guards against runs that don't see each other's locks and listen on the same port.
def test_runs_with_different_temporary_folders_get_different_ports(
    open_pool, tmp_path, monkeypatch
):
    allocated = []
    for name in ("first", "second"):
        (tmp_path / name).mkdir()
        monkeypatch.setattr(tempfile, "tempdir", str(tmp_path / name))
        allocated += open_pool().allocate(4)
    assert len(set(allocated)) == 8
