"""The node process for submitted work: wiring, threads and the stop."""

import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Success

from bergamotshore.conf.logs import set_log_level
from bergamotshore.conf.reload import SettingsWatcher
from bergamotshore.core.work.leases import RenewalGrant, get_grant_seconds
from bergamotshore.core.work.peers import choose_peers
from bergamotshore.entry.wsgi import HttpServer, reply
from bergamotshore.generated.messages import (
    Heartbeat,
    Peers,
    RunOrders,
    RunResults,
)
from bergamotshore.metrics.memory import read_processor_seconds, read_resident_bytes
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.links import EntryLinks
from bergamotshore.node.runs import RunManager
from bergamotshore.platform.runner import PlatformRunner, parse_heartbeat
from bergamotshore.ports.clock import SystemClock
from bergamotshore.timeline.recorder import LamportClock
from bergamotshore.transport.loop import Loop
from bergamotshore.utils.addresses import split_address
from bergamotshore.utils.eventlog import EventLog
from bergamotshore.utils.services import run_services

# A start without an answer takes 1.5 s of a thread; a worker holds up to some 30 tasks.
START_THREADS = 8
# Stops and paces do not wait behind starts.
STOP_THREADS = 3
HEARTBEAT_THREADS = 2
# Heartbeats of workers are small; larger ones are refused by the platform too.
LARGEST_HEARTBEAT_BYTES = 4 * 1024 * 1024
# Pause between two lists while ends wait for their acknowledgement, in seconds.
UNACKNOWLEDGED_PAUSE_SECONDS = 0.05
# Time for calls under way at a stop, in seconds.
STOP_SECONDS = 1.0


class SiteNodeRole:
    """Run one node beside a worker of the users' platform.

    :param settings: ``Settings`` with a node and a site section.
    :param path: Path of the settings file, read again when it changes.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self.site = settings.site
        self.clock = SystemClock()
        self.registry = Registry("bergamotshore_node")
        self.log = EventLog(self.clock)
        self.stopping = threading.Event()
        self.watcher = SettingsWatcher(path, self.clock, self.log, self._apply)
        self.is_draining = False
        self.loop = Loop(self.clock)
        self.grant = RenewalGrant(get_grant_seconds(self.site.longest_hold_ms / 1000))
        self.starts = ThreadPoolExecutor(START_THREADS, "starts")
        self.stops = ThreadPoolExecutor(STOP_THREADS, "stops")
        self.run_manager = RunManager(
            PlatformRunner(settings.node.worker, settings.platform.timeout),
            self.grant,
            self.clock,
            lambda: self.loop.call(self._send_report),
            lambda *result: self.loop.call(self._send_result, result),
            self.registry,
            self.log,
        )
        self.links = EntryLinks(
            self.loop,
            settings,
            uuid.uuid4().hex[:12],
            LamportClock(),
            self,
            on_unreachable=self._choose_entries,
        )
        self.peers = set(self.site.peers)
        self.leader = ""
        self.leader_stream = None
        self.heartbeat_server = HttpServer(
            HeartbeatApp(self.run_manager, self.registry, self.log),
            split_address(self.site.heartbeats),
            HEARTBEAT_THREADS,
            LARGEST_HEARTBEAT_BYTES,
        )
        self.registry.watch("resident_bytes", read_resident_bytes)
        self.registry.watch("processor_seconds_total", read_processor_seconds)

    def run(self):
        """Run until a signal asks for the stop.

        :returns: True when nothing failed.
        """
        self.loop.call(self._choose_entries)
        services = [self.loop.run, self.heartbeat_server.run, self._run_holds]
        is_whole = run_services(
            self.settings.name, services, self.stopping, self._stop, self.watcher.ask
        )
        for executor in (self.starts, self.stops):
            executor.shutdown(wait=False, cancel_futures=True)
        return is_whole

    def _apply(self, settings):
        """Put changed settings in force; addresses need a restart."""
        set_log_level(settings)
        self.site = settings.site
        self.loop.call(self._choose_entries)

    def _stop(self):
        """Leave the runs to the worker: their lease outlives a restart."""
        self.is_draining = True
        for executor in (self.starts, self.stops):
            executor.shutdown(wait=True, cancel_futures=True)
        threading.Event().wait(STOP_SECONDS / 10)
        self.loop.call(self.links.stop)
        self.heartbeat_server.stop()
        self.loop.stop()

    def _run_holds(self):
        while not self.stopping.is_set():
            self.watcher.step()
            pause = self.run_manager.hold()
            if self.run_manager.ended:
                pause = max(pause, UNACKNOWLEDGED_PAUSE_SECONDS)
            if pause:
                self.stopping.wait(pause)

    def _choose_entries(self):
        self.links.set_addresses(
            choose_peers(
                self.settings.name,
                self.peers,
                self.site.peers,
                self.leader,
                self.links.list_unreachable(),
            )
        )

    def on_open(self, stream):
        """Take note of an entry that said who it is."""
        self.links.record_open(stream)
        self.log.write("entry-connected", stream.peer.name)

    def on_close(self, stream):
        """Connect again."""
        if stream is self.leader_stream:
            self.leader_stream = None
        if stream.peer is not None:
            self.log.write("entry-lost", stream.peer.name, reason=stream.close_reason)
        self.links.record_close(stream)

    def on_message(self, stream, message):
        """Hand a message to the part that it is for."""
        match message:
            case Heartbeat():
                self._take_heartbeat(stream, message)
            case RunOrders():
                self._take_orders(message)
            case Peers(addresses=addresses):
                self.peers = set(addresses)
                self._choose_entries()
            case _:
                self.registry.count("messages_unexpected_total")

    def _take_heartbeat(self, stream, heartbeat):
        if heartbeat.leader and heartbeat.leader != self.leader:
            self.leader = heartbeat.leader
            self._choose_entries()
        if heartbeat.epoch == 0:
            return
        before = self.grant.epoch
        had_right = self.grant.get_remaining(self.clock.now()) > 0.0
        if not self.grant.record_echo(heartbeat.epoch, heartbeat.echo):
            return
        is_new = self.leader_stream is not stream or before != heartbeat.epoch
        if is_new or not had_right:
            self.leader_stream = stream
            self.log.write("leader-seen", stream.peer.name, epoch=heartbeat.epoch)
            self._send_report()

    def _take_orders(self, orders):
        if orders.epoch < self.grant.epoch or self.is_draining:
            self.log.write("orders-refused", "orders", epoch=orders.epoch)
            for task, number, _, _ in orders.starts:
                self._send_result((task, number, "other-term"))
            return
        self.grant.record_echo(orders.epoch, 0.0)
        calls, starts = self.run_manager.accept_orders(orders)
        for call, *arguments in calls:
            self.stops.submit(self._carry_out, call, arguments)
        for call, *arguments in starts:
            self.starts.submit(self._carry_out, call, arguments)

    def _carry_out(self, call, arguments):
        try:
            call(*arguments)
        except Exception as error:
            self.registry.count("order_errors_total")
            self.log.write("order-error", str(call), why=repr(error))

    def _send_report(self):
        stream = self.leader_stream
        if stream is None or not stream.is_open:
            return
        report = self.run_manager.build_report(self.grant.epoch)
        if report is not None:
            stream.send(report)

    def _send_result(self, result):
        stream = self.leader_stream
        if stream is not None and stream.is_open:
            stream.send(RunResults(results=[result]))

    def build_heartbeat(self, stream):
        """Return the heartbeat for a stream."""
        return Heartbeat(sent_at=self.clock.now(), echo=stream.peer_clock)


class HeartbeatApp:
    """Take the heartbeats of the worker.

    :param run_manager: ``RunManager``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, run_manager, registry, log):
        self.run_manager = run_manager
        self.registry = registry
        self.log = log

    def __call__(self, environ, start_response):
        """Answer one call."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/metrics":
            text = self.registry.render().encode()
            return reply(start_response, 200, "text/plain; version=0.0.4", text)
        body = environ["wsgi.input"].read()
        match parse_heartbeat(method, path, body):
            case Success(str() as worker):
                self.log.write("worker-left", worker)
            case Success(report):
                self.run_manager.record_heartbeat(report)
            case Failure(failure):
                self.registry.count("heartbeats_invalid_total")
                self.log.write("heartbeat-invalid", path, why=failure.detail)
                return reply(start_response, 400, "application/json", b"{}")
        return reply(start_response, 200, "application/json", b"{}")
