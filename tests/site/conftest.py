"""Fixtures for the tests of job scheduling."""

import pytest

from tests.site.world import World


@pytest.fixture
def world(clock):
    world = World(clock)
    world.advance(1.0)
    return world
