"""The operator, who writes rows that the entries of a simulation follow."""

import json

from bergamotshore.platform import operator
from bergamotshore.ports.rows import Put, RowId


class OperatorRows:
    """Write the operator's rows, exempt from store faults.

    :param store: ``RowsStandIn``.
    :param ledger: ``Ledger``, which is told when a row was acknowledged.
    :param clock: ``Clock``.
    """

    def __init__(self, store, ledger, clock):
        self._store = store
        self._ledger = ledger
        self._clock = clock
        self.closed_zones = set()

    def declare(self, configuration):
        """Write a ``SiteConfiguration``."""
        routes = [
            {
                "name": queue.name,
                "host": queue.host,
                "prefix": queue.prefix,
                "service": queue.service,
                "priority": queue.priority,
                "retries": queue.retries,
                "extension": queue.stretch,
                "slo_ms": queue.slack * 1000,
            }
            for queue in configuration.queues
        ]
        services = [{"name": name} for name in configuration.service_by_name]
        config = {"version": configuration.version, "routes": routes}
        self._put(operator.CONFIG_KEY, {**config, "services": services})

    def close_or_open_zone(self, zone):
        """Close an open data centre, or open a closed one."""
        key = operator.EVACUATE_PREFIX + zone
        if zone in self.closed_zones:
            self.closed_zones.discard(zone)
            self._ledger.record_opened_zone(zone)
            self._store.write([], [RowId(operator.TABLE, "", key)])
            return
        self.closed_zones.add(zone)
        self._put(key, {})
        self._ledger.record_closed_zone(zone, self._clock.now())

    def request_wave(self, wave):
        """Request a ``Wave``."""
        content = {
            "wave": wave.number,
            "machines": wave.machines,
            "duration_s": wave.duration,
            "max_count": wave.max_concurrent,
        }
        self._put(f"{operator.WAVE_PREFIX}{wave.number}", content)

    def _put(self, key, content):
        row_id = RowId(operator.TABLE, "", key)
        self._store.write([Put(row_id, json.dumps(content).encode())], [])
