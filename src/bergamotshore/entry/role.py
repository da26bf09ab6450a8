"""The entry process: its components, threads and graceful shutdown."""

import random
import threading
import uuid
from concurrent.futures import Future, ThreadPoolExecutor, TimeoutError, wait

from loguru import logger
from returns.result import Failure, Success

from bergamotshore.adapters.table import HttpTable
from bergamotshore.core.configuration import build_push
from bergamotshore.entry.callers import CallerApp
from bergamotshore.entry.configuration import ConfigurationStore
from bergamotshore.entry.directory import NodeDirectory
from bergamotshore.entry.intake import MAX_SMALL_SERVER_CONNECTIONS, Intake
from bergamotshore.entry.jobstore import JobStore
from bergamotshore.entry.keys import KeyStore
from bergamotshore.entry.operators import OperatorApp
from bergamotshore.entry.presence import Presence
from bergamotshore.entry.router import RequestRouter
from bergamotshore.entry.scheduler import TaskScheduler
from bergamotshore.entry.wsgi import EXTRA_THREADS, HttpServer
from bergamotshore.exceptions import PlatformUnavailable
from bergamotshore.generated.messages import (
    Announce,
    Events,
    FenceResult,
    Heartbeat,
    Hello,
    Metrics,
    QueryEvents,
    QueryMetrics,
    RequestEnded,
    TaskEnded,
    TaskInventory,
)
from bergamotshore.generated.rows import EntryRow
from bergamotshore.metrics.memory import read_processor_seconds, read_resident_bytes
from bergamotshore.metrics.registry import Registry
from bergamotshore.ports.clock import SystemClock
from bergamotshore.timeline.recorder import LamportClock, Recorder, merge_events
from bergamotshore.transport.intake import StreamIntake
from bergamotshore.transport.loop import Loop
from bergamotshore.transport.stream import PROTOCOL_VERSION, Stream, listen
from bergamotshore.utils.addresses import split_address
from bergamotshore.utils.eventlog import EventLog
from bergamotshore.utils.services import run_services

SCHEDULE_INTERVAL_SECONDS = 0.1
PRESENCE_INTERVAL_SECONDS = 2.0
QUERY_TIMEOUT_SECONDS = 1.0
OPERATOR_THREADS = 8
BACKGROUND_THREADS = 8
MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024
STOP_POLL_INTERVAL_SECONDS = 0.05


class EntryRole:
    """One entry process.

    :param settings: ``Settings`` with an entry section.
    """

    def __init__(self, settings):
        entry = settings.entry
        self.settings = settings
        self.entry = entry
        self.clock = SystemClock()
        self.incarnation = uuid.uuid4().hex[:12]
        self.lamport = LamportClock()
        self.registry = Registry()
        self.recorder = Recorder(
            settings.name,
            self.incarnation,
            self.lamport,
            self.clock,
            settings.timeline_events,
        )
        self.stopping = threading.Event()
        self.finished = threading.Event()
        self.is_draining = False
        self.tokens = entry.tokens
        self._refresh_requested = threading.Event()
        self._query_future_by_id = {}
        self.table = HttpTable(settings.platform.table, settings.platform.timeout)
        self.executor = ThreadPoolExecutor(BACKGROUND_THREADS, "background")
        self.loop = Loop(self.clock)
        self.directory = NodeDirectory(self.clock)
        self.configuration = ConfigurationStore(
            self.table, self.recorder, self.clock, entry.ramp
        )
        self.jobs = JobStore(self.table, self.lamport)
        self.presence = self._build_presence()
        self.router = self._build_router()
        self.scheduler = self._build_scheduler()
        log = EventLog(self.clock)
        self.intake = Intake(settings.intake, self.clock, self.registry, log)
        self.stream_intake = StreamIntake(
            settings.intake,
            settings.stream.largest_message,
            self.clock,
            self.registry,
            log,
        )
        self.caller_server = self._build_caller_server()
        self.operator_server = HttpServer(
            OperatorApp(self),
            split_address(entry.operators),
            OPERATOR_THREADS,
            MAX_OPERATOR_BODY_BYTES,
            self.intake,
            MAX_SMALL_SERVER_CONNECTIONS,
        )
        self._watch_gauges()

    def _build_presence(self):
        row = EntryRow(
            name=self.settings.name,
            incarnation=self.incarnation,
            stream_address=self.entry.nodes_advertised or self.entry.nodes,
            counter=0,
        )
        return Presence(self.table, row, self.clock)

    def _build_router(self):
        keys = KeyStore(self.table, self.executor, self.stopping.wait)
        return RequestRouter(
            self.incarnation,
            self.directory,
            self.configuration.may_place,
            keys,
            self.entry,
            self.clock,
            self.registry,
            self.recorder,
            random.Random(),
        )

    def _build_scheduler(self):
        return TaskScheduler(
            self.table,
            self.jobs,
            self.configuration,
            self.directory,
            self.presence.owns,
            self.entry,
            self.clock,
            self.recorder,
            self.registry,
            random.Random(),
        )

    def _build_caller_server(self):
        app = CallerApp(
            self.router,
            lambda: self.configuration.configuration.get_services(),
            self.is_ready,
            self.clock,
            self.registry,
            self.entry.largest_body,
        )
        return HttpServer(
            app,
            split_address(self.entry.callers),
            self.entry.requests + EXTRA_THREADS,
            self.entry.largest_body,
            self.intake,
        )

    def _watch_gauges(self):
        self.registry.watch("resident_bytes", read_resident_bytes)
        self.registry.watch("processor_seconds_total", read_processor_seconds)
        self.registry.watch("requests_in_flight", lambda: self.router.in_flight)
        self.registry.watch("nodes", lambda: len(self.directory.list_views()))
        self.registry.watch(
            "config_version", lambda: self.configuration.configuration.version
        )

    def is_ready(self):
        """Return whether the load balancer should send requests to this entry."""
        return self.configuration.is_loaded and not self.is_draining

    def run(self):
        """Run until a signal requests shutdown or a service fails.

        :returns: True if no service failed.
        """
        listen(self.loop, split_address(self.entry.nodes), self._accept)
        self.recorder.record("process-started", f"process/{self.settings.name}")
        services = (
            self.loop.run,
            self.caller_server.run,
            self.operator_server.run,
            self._poll_configuration,
            self._run_scheduler,
            self._run_presence,
        )
        is_successful = run_services(
            self.settings.name, services, self.stopping, self._stop
        )
        self.executor.shutdown(wait=False, cancel_futures=True)
        return is_successful

    def _stop(self):
        """Shut down gracefully.

        Wait until the load balancer stops sending requests, then until the requests in
        flight end.
        """
        self.is_draining = True
        self.recorder.record("process-draining", f"process/{self.settings.name}")
        self.caller_server.drain()
        wait_event = threading.Event()
        wait_event.wait(self.entry.balancer_lag)
        self.caller_server.refuse_connections()
        stop_deadline = self.clock.now() + self.entry.stop_within
        while self._is_busy() and self.clock.now() < stop_deadline:
            wait_event.wait(STOP_POLL_INTERVAL_SECONDS)
        self.caller_server.finish(stop_deadline - self.clock.now())
        self.finished.set()
        self._refresh_requested.set()
        self.presence.withdraw()
        self.operator_server.stop()
        self.loop.stop()

    def _is_busy(self):
        return (
            self.router.in_flight > 0 or self.caller_server.count_busy_connections() > 0
        )

    def _accept(self, sock):
        hello = Hello(
            protocol=PROTOCOL_VERSION,
            role="entry",
            name=self.settings.name,
            incarnation=self.incarnation,
            zone=self.settings.zone,
        )
        Stream(
            self.loop,
            sock,
            hello,
            self.settings.stream,
            self.lamport,
            self,
            self.stream_intake,
        )

    def on_open(self, stream):
        """Add a node that completed the handshake."""
        replaced_stream = self.directory.open(stream)
        if replaced_stream is not None:
            replaced_stream.close("replaced")
        self._push_configuration(stream)
        self.router.handle_open(stream)
        self.recorder.record("node-connected", f"node/{stream.peer.name}")
        logger.info("node {} connected", stream.peer.name)

    def on_close(self, stream):
        """Remove a node whose stream was lost."""
        if stream.peer is None or not self.directory.close(stream):
            return
        self.registry.count("streams_closed_total", reason=stream.close_reason)
        self.recorder.record(
            "node-lost", f"node/{stream.peer.name}", stream.close_reason
        )
        logger.info(
            "lost the stream of node {}: {}", stream.peer.name, stream.close_reason
        )
        self.router.handle_close(stream.peer.name)

    def on_message(self, stream, message):
        """Dispatch a message to the component that handles it."""
        match message:
            case Heartbeat() | Announce() | TaskInventory():
                self.directory.record_message(stream, message)
            case RequestEnded() | FenceResult():
                self.router.handle_message(message)
            case TaskEnded():
                self.scheduler.report(stream.peer.name, message)
            case Events(query_id=query_id) | Metrics(query_id=query_id):
                future = self._query_future_by_id.pop(query_id, None)
                if future is not None:
                    future.set_result(message)
            case _:
                self.registry.count("messages_unexpected_total")

    def build_heartbeat(self, stream):
        """Return the heartbeat to send on a stream."""
        return Heartbeat(
            sent_at=self.clock.now(),
            echo=stream.peer_clock,
            config_version=self.configuration.configuration.version,
        )

    def _push_configuration(self, stream):
        if not self.configuration.is_loaded:
            return
        push = build_push(
            self.configuration.configuration,
            self.configuration.gate_by_zone,
            stream.peer.zone,
            stream.peer.name,
        )
        stream.send(push)

    def refresh(self):
        """Request an immediate refresh of configuration, gates and jobs."""
        self._refresh_requested.set()

    def _poll_configuration(self):
        while not self.finished.is_set():
            match self.configuration.refresh():
                case Success(is_changed):
                    if is_changed or self._refresh_requested.is_set():
                        self._refresh_requested.clear()
                        self._push_configuration_to_all()
                case Failure(failure):
                    self.registry.count("table_failures_total", code=failure.code)
            self._refresh_requested.wait(self.entry.poll)

    def _push_configuration_to_all(self):
        for view in self.directory.list_views():
            self._push_configuration(view.stream)
        self.scheduler.request_rescan()

    def _run_scheduler(self):
        while not self.finished.is_set():
            if self.configuration.is_loaded:
                self.scheduler.step(may_place=not self.is_draining)
            self.router.drop_expired()
            self.finished.wait(SCHEDULE_INTERVAL_SECONDS)

    def _run_presence(self):
        while not self.stopping.is_set():
            outcome = self.presence.renew()
            is_renewed = isinstance(outcome, Success)
            self.stopping.wait(PRESENCE_INTERVAL_SECONDS if is_renewed else 1.0)

    def describe(self):
        """Return the status of this entry for operators."""
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "is_ready": self.is_ready(),
            "config_version": self.configuration.configuration.version,
            "requests_in_flight": self.router.in_flight,
            "resident_bytes": read_resident_bytes(),
            "processor_seconds": read_processor_seconds(),
            "quarantined": self.scheduler.quarantine.list_quarantined(self.clock.now()),
            "entries": sorted(self.presence.live_names),
            "nodes": [_describe_node(view) for view in self.directory.list_views()],
        }

    def collect_events(self):
        """Return the timeline of this entry and the nodes connected to it."""
        responses = self._query_nodes(self.directory.list_views(), QueryEvents)
        events = self.recorder.list_events()
        for response in responses:
            events += response.events
        return merge_events(events)

    def collect_node_metrics(self, node):
        """Return a ``Result`` of the metrics of one node, as text."""
        view = self.directory.get(node)
        responses = self._query_nodes([view], QueryMetrics) if view else []
        if not responses:
            return Failure(PlatformUnavailable(f"node {node} does not answer"))
        return Success(responses[0].text)

    def _query_nodes(self, views, query_type):
        futures = []
        for view in views:
            query_id = uuid.uuid4().hex
            future = Future()
            self._query_future_by_id[query_id] = future
            view.stream.send(query_type(query_id=query_id))
            futures.append(future)
        done, _ = wait(futures, timeout=QUERY_TIMEOUT_SECONDS)
        try:
            return [future.result(timeout=0) for future in futures if future in done]
        except TimeoutError:
            return []


def _describe_node(view):
    announce = view.announce
    heartbeat = view.heartbeat
    return {
        "name": view.name,
        "zone": view.zone,
        "incarnation": view.incarnation,
        "service": announce.service if announce else "",
        "draining": announce.draining if announce else False,
        "session": announce.session if announce else "",
        "running": heartbeat.running if heartbeat else 0,
        "queued": heartbeat.queued if heartbeat else 0,
        "config_version": heartbeat.config_version if heartbeat else 0,
        "attempts": len(view.inventory.attempts) if view.inventory else 0,
    }
