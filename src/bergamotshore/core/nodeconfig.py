"""The part of the configuration that is in force at one node."""


class NodeConfiguration:
    """The configuration in force at a node; nothing older is ever accepted."""

    def __init__(self):
        self.version = 0
        self.limits_by_service = {}
        self.gate_by_zone = {}
        self.vm_in_use = False

    def accept(self, push):
        """Put a pushed configuration in force.

        Gates have versions of their own and are merged one by one.

        :param push: ``PushConfig``.
        :returns: True when the configuration version is new.
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
        """Tell whether work may start in a data centre."""
        gate = self.gate_by_zone.get(zone)
        return gate is None or gate.is_open

    def may_work(self, zone):
        """Tell whether this node may take new work at all."""
        return self.version > 0 and self.vm_in_use and self.is_zone_open(zone)
