"""Fixtures of the tests of submitted work."""

import pytest

from tests.site.simulation import Simulation


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock)
    simulation.advance(1.0)
    return simulation
