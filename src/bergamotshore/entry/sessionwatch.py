"""Watching the lease sessions of nodes, and declaring those lapsed that are."""

from dataclasses import replace

from returns.result import Success

from bergamotshore.adapters.rowwrites import (
    build_write,
    create_operation_id,
    decode_row,
    write_rows,
)
from bergamotshore.core.sessions import SessionObserver
from bergamotshore.generated.rows import SessionRow

SESSION_PREFIX = "session/"


class SessionWatch:
    """Hold the newest session row of each node.

    :param table: ``Table``.
    :param interval: Time between scans, in seconds.
    :param clock: ``Clock``.
    :param recorder: ``Recorder``.
    :param registry: ``Registry``.
    """

    def __init__(self, table, interval, clock, recorder, registry):
        self.table = table
        self.interval = interval
        self.clock = clock
        self.recorder = recorder
        self.registry = registry
        self.by_node = {}
        self._observer = SessionObserver()
        self._next_scan = 0.0

    def record_outage(self):
        """Record that the table service did not answer: nobody lapses by that."""
        self._observer.record_outage()

    def scan(self):
        """Read all sessions when it is time to.

        :returns: ``Result`` of None.
        """
        if self.clock.now() < self._next_scan:
            return Success(None)
        self._next_scan = self.clock.now() + self.interval
        outcome = self.table.scan(SESSION_PREFIX)
        match outcome:
            case Success(rows):
                for stored in rows:
                    self._observe(stored)
        return outcome.map(lambda _: None)

    def _observe(self, stored):
        match decode_row(stored, SessionRow):
            case Success(SessionRow() as row):
                self.by_node[row.node] = row
                if self._observer.observe(row, self.clock.now()):
                    self._declare_lapsed(row, stored)

    def _declare_lapsed(self, row, stored):
        lapsed = replace(
            row,
            state="lapsed",
            operation=create_operation_id(),
            clock=self.recorder.lamport.tick(),
        )
        writes = [build_write(stored.key, stored.version, lapsed)]
        match write_rows(self.table, lapsed.operation, [], writes):
            case Success(_):
                self.by_node[row.node] = lapsed
                self.registry.count("sessions_lapsed_total")
                self.recorder.record("session-lapsed", f"session/{row.node}")
