"""The node process: wiring, threads and graceful shutdown."""

import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Success

from bergamotshore.adapters.endpoint import HttpEndpoint
from bergamotshore.adapters.rowwrites import decode_row
from bergamotshore.adapters.table import HttpTable
from bergamotshore.adapters.worker import HttpWorker
from bergamotshore.core.nodeconfig import NodeConfiguration
from bergamotshore.generated.messages import (
    AckTask,
    Announce,
    Events,
    Fence,
    Heartbeat,
    Metrics,
    PushConfig,
    QueryEvents,
    QueryMetrics,
    RunRequest,
    StartTask,
    StopTask,
)
from bergamotshore.generated.rows import EntryRow
from bergamotshore.metrics.memory import read_processor_seconds, read_resident_bytes
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.links import EntryLinks
from bergamotshore.node.requests import RequestRunner
from bergamotshore.node.session import SessionManager
from bergamotshore.node.tasks import TaskRunner
from bergamotshore.ports.clock import SystemClock
from bergamotshore.timeline.recorder import LamportClock, Recorder
from bergamotshore.transport.loop import Loop
from bergamotshore.utils.addresses import AddressReader
from bergamotshore.utils.eventlog import EventLog
from bergamotshore.utils.services import run_services

ENDPOINT_STATUS_TIMEOUT_SECONDS = 2.0
MAX_ENDPOINT_THREADS = 256
WORKER_THREADS = 4
ENTRY_PREFIX = "entry/"
STOP_POLL_SECONDS = 0.05
DISCONNECTED_SECONDS = 3.0
FLUSH_SECONDS = 0.2


class NodeRole:
    """Run one node.

    :param settings: ``Settings`` with a node section.
    """

    def __init__(self, settings):
        node = settings.node
        self.settings = settings
        self.node = node
        self.clock = SystemClock()
        self.incarnation = uuid.uuid4().hex[:12]
        self.lamport = LamportClock()
        self.registry = Registry("bergamotshore_node")
        self.recorder = Recorder(
            settings.name,
            self.incarnation,
            self.lamport,
            self.clock,
            settings.timeline_events,
        )
        self.addresses = AddressReader(self.registry, EventLog(self.clock))
        self.stopping = threading.Event()
        self.is_draining = False
        self.endpoint_status = None
        self.configuration = NodeConfiguration()
        self.table = HttpTable(settings.platform.table, settings.platform.timeout)
        self.endpoint = self._build_endpoint()
        self.worker = self._build_worker()
        self.loop = Loop(self.clock)
        self.endpoint_calls = ThreadPoolExecutor(MAX_ENDPOINT_THREADS, "endpoint")
        self.worker_calls = ThreadPoolExecutor(WORKER_THREADS, "worker")
        self.links = EntryLinks(
            self.loop, settings, self.incarnation, self.lamport, self
        )
        self.session = self._build_session()
        self.requests = RequestRunner(
            self.loop,
            self.endpoint_calls,
            self.endpoint,
            self.links,
            self._may_serve,
            self.recorder,
            self.registry,
        )
        self.tasks = self._build_tasks()
        self._last_announce = None
        self.registry.watch("resident_bytes", read_resident_bytes)
        self.registry.watch("processor_seconds_total", read_processor_seconds)
        self.registry.watch("requests_held", lambda: self.requests.ledger.held)
        self.registry.watch("attempts_held", lambda: len(self.tasks.attempt_by_key))

    def _build_endpoint(self):
        if not self.node.endpoint:
            return None
        return HttpEndpoint(self.node.endpoint, ENDPOINT_STATUS_TIMEOUT_SECONDS)

    def _build_worker(self):
        if not self.node.worker:
            return None
        return HttpWorker(self.node.worker, self.settings.platform.timeout)

    def _build_session(self):
        return SessionManager(
            self.table,
            self.settings.name,
            self.settings.zone,
            self.node.session_ttl,
            self.clock,
            self.recorder,
            lambda: self.tasks.worker_boot,
            lambda: self.loop.call(self.tasks.evict_all),
        )

    def _build_tasks(self):
        return TaskRunner(
            self.loop,
            self.worker_calls,
            self.worker,
            self.links,
            self.session.get_session,
            self.session.get_lease_end,
            self._may_work,
            self.node,
            self.recorder,
            self.registry,
        )

    def _may_work(self):
        return not self.is_draining and self.configuration.may_work(self.settings.zone)

    def _may_serve(self):
        status = self.endpoint_status
        return self._may_work() and status is not None and not status.leaving

    def run(self):
        """Run until a signal requests shutdown.

        :returns: True when no service failed.
        """
        self.recorder.record("process-started", f"process/{self.settings.name}")
        self.loop.call(self._start)
        services = [self.loop.run, self._watch_entries]
        if self.worker is not None:
            services.append(self.session.run)
        if self.endpoint is not None:
            services.append(self._watch_endpoint)
        is_success = run_services(
            self.settings.name, services, self.stopping, self._stop
        )
        self.endpoint_calls.shutdown(wait=False, cancel_futures=True)
        self.worker_calls.shutdown(wait=False, cancel_futures=True)
        return is_success

    def _start(self):
        self.requests.start()
        self.tasks.start()
        self.links.set_addresses(self.addresses.read(self.node.entries))

    def _stop(self):
        """Refuse work, announce it, finish requests, evict tasks, end the session."""
        self.loop.call(self._drain)
        pause = threading.Event()
        pause.wait(STOP_POLL_SECONDS)
        self._wait_until_idle(pause)
        is_stopped = self.tasks.is_idle
        self.session.stop()
        if self.worker is not None and is_stopped:
            self.session.end()
        pause.wait(FLUSH_SECONDS)
        self.loop.call(self.links.stop)
        pause.wait(STOP_POLL_SECONDS)
        self.loop.stop()

    def _wait_until_idle(self, pause):
        """Wait for requests and acknowledgements, except from entries that are gone."""
        now = self.clock.now()
        deadline = now + self.node.stop_within
        last_connected_at = now
        while not self._is_idle() and now < deadline:
            pause.wait(STOP_POLL_SECONDS)
            now = self.clock.now()
            if self.links.list_streams():
                last_connected_at = now
            is_disconnected = now - last_connected_at > DISCONNECTED_SECONDS
            if is_disconnected and self.requests.is_idle and not self.tasks.is_busy:
                return

    def _drain(self):
        self.is_draining = True
        self.recorder.record("process-draining", f"process/{self.settings.name}")
        self._announce()
        self.tasks.drain()

    def _is_idle(self):
        return self.is_draining and self.requests.is_idle and self.tasks.is_idle

    def _watch_entries(self):
        """Poll the table service for entries in addition to those in the settings."""
        while not self.stopping.is_set():
            match self.table.scan(ENTRY_PREFIX):
                case Success(rows):
                    self.loop.call(self._update_entries, rows)
                case Failure(failure):
                    self.registry.count("table_failures_total", code=failure.code)
            self.stopping.wait(self.node.entry_poll)

    def _update_entries(self, stored_rows):
        addresses = set(self.node.entries)
        for stored in stored_rows:
            match decode_row(stored, EntryRow):
                case Success(EntryRow(stream_address=address)):
                    addresses.add(address)
        self.links.set_addresses(self.addresses.read(addresses))

    def _watch_endpoint(self):
        while not self.stopping.is_set():
            outcome = self.endpoint.get_status()
            self.loop.call(self._update_endpoint_status, outcome)
            self.stopping.wait(self.node.poll)

    def _update_endpoint_status(self, outcome):
        match outcome:
            case Success(status):
                self.endpoint_status = status
                self.requests.service = status.service
            case Failure(_):
                self.endpoint_status = None
        self._apply_limits()

    def _apply_limits(self):
        """Limit the endpoint to the lower of its own and the document's limits."""
        status = self.endpoint_status
        slots, connections = 0, 0
        if status is not None:
            limits = self.configuration.limits_by_service.get(status.service)
            slots = min(status.slots, MAX_ENDPOINT_THREADS)
            connections = status.connections
            if limits is not None:
                slots = min(slots, limits.slots)
                connections = min(connections, limits.connections)
        self.requests.ledger.resize(slots, connections)
        self._announce()

    def _build_announce(self):
        ledger = self.requests.ledger
        status = self.endpoint_status
        size = self.tasks.size
        return Announce(
            service=status.service if status is not None else "",
            slots=ledger.slots,
            connections=ledger.connections,
            draining=not self._may_serve(),
            session=self.session.get_session() if self._may_work() else "",
            processors=size.processors,
            memory_gb=size.memory_gb,
            accelerators=size.accelerators,
        )

    def _announce(self):
        announce = self._build_announce()
        if announce != self._last_announce:
            self._last_announce = announce
            self.links.broadcast(announce)
            self.recorder.record(
                "announced",
                f"node/{self.settings.name}",
                "draining" if announce.draining else "serving",
            )

    def on_open(self, stream):
        """Send the announcement and the task inventory to a newly connected entry."""
        self.links.record_open(stream)
        self.recorder.record("entry-connected", f"entry/{stream.peer.name}")
        stream.send(self._build_announce())
        if self.worker is not None:
            stream.send(self.tasks.build_inventory(stream))

    def on_close(self, stream):
        """Record the closed stream and schedule a reconnect."""
        self.registry.count("streams_closed_total", reason=stream.close_reason)
        if stream.peer is not None:
            self.recorder.record(
                "entry-lost", f"entry/{stream.peer.name}", stream.close_reason
            )
        self.links.record_close(stream)

    def on_message(self, stream, message):
        """Dispatch a message by its type."""
        match message:
            case RunRequest():
                self.requests.handle_run(stream, message)
            case Fence(request_id=request_id):
                self.requests.handle_fence(stream, request_id)
            case StartTask():
                self.tasks.handle_start(stream, message)
            case StopTask():
                self.tasks.handle_stop(message)
            case AckTask():
                self.tasks.handle_ack(message)
            case PushConfig():
                self._apply_config(message)
            case QueryEvents(query_id=query_id):
                events = self.recorder.list_events()
                stream.send(Events(query_id=query_id, events=events))
            case QueryMetrics(query_id=query_id):
                text = self.registry.render()
                stream.send(Metrics(query_id=query_id, text=text))
            case Heartbeat():
                self._announce()
            case _:
                self.registry.count("messages_unexpected_total")

    def _apply_config(self, push):
        if self.configuration.accept(push):
            self.recorder.record("config-in-force", f"config/{push.version}")
        self._apply_limits()

    def build_heartbeat(self, stream):
        """Return the heartbeat to send on a stream, with the load of the endpoint."""
        ledger = self.requests.ledger
        return Heartbeat(
            sent_at=self.clock.now(),
            echo=stream.peer_clock,
            running=len(ledger.running),
            queued=len(ledger.queue),
            service_seconds=self.requests.service_seconds,
            config_version=self.configuration.version,
        )
