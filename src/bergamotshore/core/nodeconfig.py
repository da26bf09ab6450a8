"""The part of the active configuration that applies to one node."""


class NodeConfiguration:
    """The active configuration of a node; an older version is never accepted."""

    def __init__(self):
        self.version = 0
        self.limits_by_service = {}
        self.gate_by_zone = {}
        self.vm_in_use = False

    def accept(self, push):
        """Apply a pushed configuration.

        Each gate has a version of its own and is merged individually.

        :param push: ``PushConfig``.
        :returns: True when the configuration is newer than the active one.
        """
        for gate in push.gates:
            known = self.gate_by_zone.get(gate.zone)
            if known is None or gate.version > known.version:
                self.gate_by_zone[gate.zone] = gate
        if push.version <= self.version:
            return False
        self.version = push.version
        self.limits_by_service = {item.name: item for item in push.services}
        self.vm_in_use = push.vm_in_use
        return True

    def is_zone_open(self, zone):
        """Whether new work may start in a data centre; True when it is unknown."""
        gate = self.gate_by_zone.get(zone)
        return gate is None or gate.is_open

    def may_work(self, zone):
        """Whether this node may accept new work."""
        return self.version > 0 and self.vm_in_use and self.is_zone_open(zone)
