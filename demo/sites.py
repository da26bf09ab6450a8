"""The two sites of the demo."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Site:
    """One site.

    :param name: Name of the site.
    :param zones: Data centres.
    :param nodes_per_zone: VMs in each data centre.
    :param document: Path of the configuration document.
    :param team: Team that owns the workload.
    :param service: Service that callers use.
    :param read_path: Path of a repeatable request.
    :param write_path: Path of a request that may not be repeated.
    :param batch: Batch job of the document.
    :param watcher: Watcher of the document.
    """

    name: str
    zones: tuple[str, ...]
    nodes_per_zone: int
    document: str
    team: str
    service: str
    read_path: str
    write_path: str
    batch: str
    watcher: str

    def list_nodes(self):
        """Return pairs of node name and data centre."""
        return [
            (f"{zone}-{number}", zone)
            for zone in self.zones
            for number in range(1, self.nodes_per_zone + 1)
        ]


SITE_BY_NAME = {
    "tsehay": Site(
        name="tsehay",
        zones=("addis-bole", "addis-kirkos", "addis-yeka"),
        nodes_per_zone=2,
        document="examples/tsehay.yaml",
        team="ledger",
        service="charity-books",
        read_path="/trial-balance",
        write_path="/statements",
        batch="annual-statements",
        watcher="donor-ledger",
    ),
    "glasul": Site(
        name="glasul",
        zones=("nord-a", "nord-b", "nord-c", "nord-d"),
        nodes_per_zone=1,
        document="examples/glasul.yaml",
        team="consultations",
        service="triaj",
        read_path="/duplicates",
        write_path="/submissions",
        batch="thematic-digests",
        watcher="open-inboxes",
    ),
}
