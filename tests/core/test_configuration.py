"""Tests of the active configuration at nodes."""

import pytest

from bergamotshore.core.configuration import Configuration, Gate, build_push
from bergamotshore.core.nodeconfig import NodeConfiguration
from bergamotshore.generated.document import Section, Service, SiteSection, Zone
from bergamotshore.generated.messages import PushConfig, ServiceLimits, ZoneGate


def build(version, slots=8, gate_version=0, is_open=True):
    return PushConfig(
        version=version,
        services=[ServiceLimits(name="books", slots=slots, connections=64)],
        gates=[ZoneGate(zone="zone-a", version=gate_version, is_open=is_open)],
        vm_in_use=True,
    )


@pytest.fixture
def configuration():
    return NodeConfiguration()


def test_node_accepts_no_work_without_a_configuration(configuration):
    assert not configuration.may_work("zone-a")


def test_newer_configuration_becomes_active(configuration):
    assert configuration.accept(build(1))
    assert configuration.accept(build(2, slots=4))
    assert configuration.limits_by_service["books"].slots == 4
    assert configuration.may_work("zone-a")


@pytest.mark.parametrize("version", [1, 2])
def test_older_or_equal_version_is_ignored(configuration, version):
    configuration.accept(build(2, slots=4))
    assert not configuration.accept(build(version, slots=9))
    assert configuration.version == 2
    assert configuration.limits_by_service["books"].slots == 4


def test_gates_are_versioned_independently(configuration):
    configuration.accept(build(1, gate_version=5, is_open=False))
    configuration.accept(build(2, gate_version=4, is_open=True))
    assert not configuration.may_work("zone-a")
    configuration.accept(build(2, gate_version=6, is_open=True))
    assert configuration.may_work("zone-a")


def test_push_contains_the_settings_of_one_node():
    configuration = Configuration(
        version=3,
        site=SiteSection(version=1, zones={"zone-a": Zone(vms=["a-1"])}),
        teams={"t": Section(version=1, services={"books": Service(slots=4)})},
    )
    gates = {"zone-a": Gate("zone-a", 7, False)}
    push = build_push(configuration, gates, "zone-a", "a-1")
    assert (push.version, push.vm_in_use) == (3, True)
    assert push.services[0].slots == 4
    assert push.gates == [ZoneGate(zone="zone-a", version=7, is_open=False)]
    assert not build_push(configuration, gates, "zone-a", "a-2").vm_in_use
