"""Fixtures for the tests of job scheduling."""

import pytest

from standins.ledger import Ledger
from standins.site import RunnerStandIn
from tests.site.onenode import build_run_manager
from tests.site.simulation import Simulation


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock)
    simulation.advance(1.0)
    return simulation


@pytest.fixture
def runner(clock):
    return RunnerStandIn(clock, "worker-0", Ledger())


@pytest.fixture
def results():
    """Return the list of the outcomes of orders to ``run_manager``."""
    return []


@pytest.fixture
def run_manager(clock, runner, results):
    """Return a ``RunManager`` whose worker, ``runner``, has answered."""
    return build_run_manager(clock, runner, results)
