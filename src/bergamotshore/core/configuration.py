"""The configuration in force: monotonic, merged from the teams' sections."""

from dataclasses import dataclass, field, replace

from bergamotshore.core.capacity import Size
from bergamotshore.generated.document import Document, Section, SiteSection
from bergamotshore.generated.messages import PushConfig, ServiceLimits, ZoneGate

CONFIG_KEY = "config"


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration.

    :param version: Version of the whole.
    :param site: Section of the site's operators.
    :param teams: Sections by team.
    :param row_version: Version of the table's row that it was read from.
    """

    version: int = 0
    site: SiteSection | None = None
    teams: dict[str, Section] = field(default_factory=dict)
    row_version: int = 0

    def get_quota(self, team):
        """Return the quota of a team as a size; nothing for an unknown team."""
        section = self.teams.get(team)
        if section is None:
            return Size()
        quota = section.quota
        return Size(quota.processors, quota.memory_gb, quota.accelerators)

    def get_services(self):
        """Return the services of all teams by name."""
        return {
            name: service
            for section in self.teams.values()
            for name, service in section.services.items()
        }

    def is_vm_in_use(self, zone, node):
        """Tell whether the document lets the system use a VM."""
        if self.site is None or zone not in self.site.zones:
            return False
        vms = self.site.zones[zone].vms
        return not vms or node in vms


@dataclass(frozen=True, slots=True)
class Gate:
    """State of one data centre.

    :param zone: Data centre.
    :param version: Version of the gate's row; 0 when it was never changed.
    :param is_open: Whether work may start there.
    """

    zone: str
    version: int = 0
    is_open: bool = True


def build_push(configuration, gate_by_zone, zone, node):
    """Return what one node needs of a configuration.

    :param configuration: ``Configuration`` in force.
    :param gate_by_zone: ``Gate`` by data centre.
    :param zone: Data centre of the node.
    :param node: Name of the node.
    """
    services = [
        ServiceLimits(name=name, slots=item.slots, connections=item.connections)
        for name, item in sorted(configuration.get_services().items())
    ]
    gates = [
        ZoneGate(zone=gate.zone, version=gate.version, is_open=gate.is_open)
        for gate in gate_by_zone.values()
    ]
    return PushConfig(
        version=configuration.version,
        services=services,
        gates=gates,
        vm_in_use=configuration.is_vm_in_use(zone, node),
    )


def list_sections(document):
    """Return the sections that a document brings, by team.

    :param document: ``Document``.
    """
    sections = dict(document.teams)
    if document.site is not None:
        sections["site"] = document.site
    return sections


def strip_version(section):
    """Return a section as it compares with others, without its version."""
    return replace(section, version=0)


def merge_document(configuration):
    """Return the document that a configuration stands for."""
    return Document(site=configuration.site, teams=dict(configuration.teams))
