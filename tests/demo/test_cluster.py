"""Startup of the processes of a site."""

import pytest

from demo.cluster import Cluster
from demo.sites import SITE_BY_NAME

SITE = SITE_BY_NAME["tsehay"]
NEWEST = 2


class ScriptedCluster(Cluster):
    """Cluster whose entries report the given configuration versions in turn."""

    def __init__(self, folder, versions):
        super().__init__(SITE, folder, [])
        self.versions = versions

    def ask_operators(self, entry, path, method="GET", token=""):
        version = self.versions.pop(0)
        node = {"session": "s", "draining": False, "config_version": version}
        return {"config_version": version, "nodes": [node] * len(SITE.list_nodes())}


@pytest.mark.parametrize("stale", [0, 1])
def test_startup_waits_while_entry_and_nodes_agree_on_an_old_version(tmp_path, stale):
    cluster = ScriptedCluster(tmp_path, [stale, NEWEST])
    cluster.wait_for_nodes("entry-2", NEWEST)
    assert cluster.versions == []
