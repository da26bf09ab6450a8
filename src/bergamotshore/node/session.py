"""The node's lease session in the table service."""

import threading
import uuid
from dataclasses import replace

from loguru import logger
from returns.result import Failure, Success

from bergamotshore.adapters.rowwrites import (
    build_write,
    create_operation_id,
    decode_row,
    write_rows,
)
from bergamotshore.core.sessions import (
    SessionHolder,
    SessionObserver,
    create_session,
    may_take_over,
)
from bergamotshore.exceptions import Conflict
from bergamotshore.generated.rows import SessionRow

RENEWALS_PER_TTL = 4
RETRY_SECONDS = 0.5
WORKER_POLL_SECONDS = 0.1
SESSION_PREFIX = "session/"


class SessionManager:
    """Open, renew and end the session; ``run`` needs a thread of its own.

    :param table: ``Table``.
    :param name: Name of the node.
    :param zone: Data centre of the node.
    :param ttl: Time to live, in seconds.
    :param clock: ``Clock``.
    :param recorder: ``Recorder``.
    :param get_worker_boot: Returns the boot identifier of the worker; empty until it
        is known.
    :param on_lost: Called when the session was dropped: its row was changed by another
        process, or the worker restarted.
    """

    def __init__(
        self, table, name, zone, ttl, clock, recorder, get_worker_boot, on_lost
    ):
        self.table = table
        self.name = name
        self.zone = zone
        self.ttl = ttl
        self.clock = clock
        self.recorder = recorder
        self.get_worker_boot = get_worker_boot
        self.on_lost = on_lost
        self._key = SESSION_PREFIX + name
        self._holder = SessionHolder(ttl)
        self._observer = SessionObserver()
        self._version = 0
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def get_session(self):
        """Return the identifier of the valid session, empty when there is none."""
        with self._lock:
            return self._holder.get_session(self.clock.now())

    def get_lease_end(self):
        """Return the end of the session on the node's clock."""
        with self._lock:
            return self._holder.valid_until

    def run(self):
        """Open and renew the session until ``stop`` is called."""
        while not self._stopping.is_set():
            self._stopping.wait(self.step())

    def step(self):
        """Open or renew the session.

        :returns: Time until the next step, in seconds.
        """
        if not self.get_worker_boot():
            return WORKER_POLL_SECONDS
        is_held = self._renew() if self._holder.row else self._open()
        return self.ttl / RENEWALS_PER_TTL if is_held else RETRY_SECONDS

    def stop(self):
        """Make ``run`` return."""
        self._stopping.set()

    def _open(self):
        outcome = self.table.get([self._key]).bind(
            lambda rows: decode_row(rows[self._key], SessionRow).map(
                lambda row: (row, rows[self._key].version)
            )
        )
        match outcome:
            case Success((row, version)):
                return self._take_over(row, version)
            case Failure(_):
                self._observer.record_outage()
                return False

    def _take_over(self, row, version):
        boot = self.get_worker_boot()
        is_free = may_take_over(row, boot)
        if not is_free and not self._observer.observe(row, self.clock.now()):
            return False
        sent_at = self.clock.now()
        new = create_session(
            self.name,
            self.zone,
            uuid.uuid4().hex[:12],
            boot,
            self.ttl,
            create_operation_id(),
            self.recorder.lamport.tick(),
        )
        return self._write(new, version, sent_at, "session-opened")

    def _renew(self):
        sent_at = self.clock.now()
        if self.get_worker_boot() != self._holder.row.worker_boot:
            logger.info("worker restarted; opening a new session")
            self._drop_session()
            return False
        row = self._holder.prepare_renewal(
            create_operation_id(), self.recorder.lamport.tick()
        )
        return self._write(row, self._version, sent_at, "")

    def _write(self, row, version, sent_at, event):
        writes = [build_write(self._key, version, row)]
        match write_rows(self.table, row.operation, [], writes):
            case Success(versions):
                with self._lock:
                    self._version = versions[self._key]
                    self._holder.open(row, sent_at)
                if event:
                    self.recorder.record(event, self._key, row.session)
                return True
            case Failure(Conflict()):
                self._drop_session()
                return False
        return False

    def _drop_session(self):
        with self._lock:
            was_open = self._holder.row is not None
            self._holder.close()
        if was_open:
            self.recorder.record("session-lost", self._key)
            self.on_lost()

    def end(self):
        """Store the session as ended, once no task runs under it."""
        with self._lock:
            row = self._holder.row
            self._holder.close()
        if row is None:
            return
        ended = replace(row, state="ended", operation=create_operation_id())
        writes = [build_write(self._key, self._version, ended)]
        write_rows(self.table, ended.operation, [], writes)
        self.recorder.record("session-ended", self._key, row.session)
