"""The active configuration, merged from the teams' sections.

Its version only increases.
"""

from dataclasses import dataclass, field, replace

from bergamotshore.core.capacity import Size
from bergamotshore.generated.document import Document, Section, SiteSection
from bergamotshore.generated.messages import PushConfig, ServiceLimits, ZoneGate

CONFIG_KEY = "config"


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration.

    :param version: Version of the configuration as a whole.
    :param site: Section of the site operators.
    :param teams: Sections by team.
    :param row_version: Version of the table row that it was read from.
    """

    version: int = 0
    site: SiteSection | None = None
    teams: dict[str, Section] = field(default_factory=dict)
    row_version: int = 0

    def get_quota(self, team):
        """Return the quota of a team as a ``Size``; zero for an unknown team."""
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
        """Whether the configuration allows the use of a VM.

        A data centre without a list of VMs allows all of its VMs.
        """
        if self.site is None or zone not in self.site.zones:
            return False
        vms = self.site.zones[zone].vms
        return not vms or node in vms


@dataclass(frozen=True, slots=True)
class Gate:
    """Whether a data centre is open for new work.

    :param zone: Data centre.
    :param version: Version of the gate's row; 0 when it was never changed.
    :param is_open: Whether new work may start in the data centre.
    """

    zone: str
    version: int = 0
    is_open: bool = True


def build_push(configuration, gate_by_zone, zone, node):
    """Return the ``PushConfig`` with the part of a configuration that a node needs.

    :param configuration: Active ``Configuration``.
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
    """Return the sections contained in a document, by team.

    :param document: ``Document``.
    """
    sections = dict(document.teams)
    if document.site is not None:
        sections["site"] = document.site
    return sections


def strip_version(section):
    """Return a section with its version cleared, for comparing contents."""
    return replace(section, version=0)


def merge_document(configuration):
    """Return a configuration in the form of a ``Document``."""
    return Document(site=configuration.site, teams=dict(configuration.teams))
