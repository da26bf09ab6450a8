"""Fixtures shared by all tests."""

import pytest
from hypothesis import settings

from bergamotshore.metrics.registry import Registry
from bergamotshore.timeline.recorder import LamportClock, Recorder
from tests.fakes import (
    FakeClock,
    FakeLinks,
    FakeLoop,
    FakeStream,
    FakeTable,
    ManualExecutor,
)

settings.register_profile("seeded", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("seeded")


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def loop(clock):
    return FakeLoop(clock)


@pytest.fixture
def executor():
    return ManualExecutor()


@pytest.fixture
def links():
    return FakeLinks()


@pytest.fixture
def registry():
    return Registry()


@pytest.fixture
def recorder(clock):
    return Recorder("process-1", "run-1", LamportClock(), clock, 100)


@pytest.fixture
def stream(links):
    stream = FakeStream("entry-1")
    links.streams.append(stream)
    return stream
