"""Fixtures for the tests of job scheduling."""

import pytest

from tests.site.simulation import Simulation


@pytest.fixture
def simulation(clock):
    simulation = Simulation(clock)
    simulation.advance(1.0)
    return simulation
