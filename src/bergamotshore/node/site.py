"""The node process for submitted jobs: wiring, threads and shutdown."""

import math
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Success

from bergamotshore.conf.logs import set_log_level
from bergamotshore.conf.reload import SettingsWatcher
from bergamotshore.core.work.leases import RenewalGrant, get_grant_seconds
from bergamotshore.core.work.peers import choose_peers
from bergamotshore.entry.intake import MAX_SMALL_SERVER_CONNECTIONS, Intake
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
from bergamotshore.node.runs import MIN_REFUSAL_SECONDS, RunManager
from bergamotshore.platform.runner import PlatformRunner, parse_heartbeat
from bergamotshore.ports.clock import SystemClock
from bergamotshore.timeline.recorder import LamportClock
from bergamotshore.transport.loop import Loop
from bergamotshore.utils.addresses import AddressReader, split_address
from bergamotshore.utils.eventlog import EventLog, describe_error
from bergamotshore.utils.services import run_services

# A start without an answer blocks a thread for 1.5 s; a worker runs up to about 30
# tasks.
START_THREADS = 8
# Separate threads, so that stops and throttles are not queued behind starts.
STOP_THREADS = 3
HEARTBEAT_THREADS = 2
# Worker heartbeats are small; the platform rejects larger ones too.
MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024
# Pause between two lease renewals while completed runs are not acknowledged yet.
UNACKNOWLEDGED_POLL_SECONDS = 0.05
# Pause after an unexpected error in the thread that renews the lease, in seconds.
ERROR_PAUSE_SECONDS = 0.25
# Interval of the checks whether a worker that takes leave has ended, in seconds.
END_CHECK_SECONDS = 0.1
# Checks before this process leaves: enough to prove that the worker has ended.
CHECKS_BEFORE_LEAVING = 1 + math.ceil(MIN_REFUSAL_SECONDS / END_CHECK_SECONDS)
# Time for calls in flight at shutdown; the streams close after a tenth of it.
SHUTDOWN_SECONDS = 1.0


class SiteNodeRole:
    """Run one node beside a worker of the users' platform.

    :param settings: ``Settings`` with a node and a site section.
    :param path: Path of the settings file, reloaded when it changes.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self.site = settings.site
        self.clock = SystemClock()
        self.registry = Registry("bergamotshore_node")
        self.log = EventLog(self.clock)
        self.stopping = threading.Event()
        self.pause = threading.Event().wait
        self.watcher = SettingsWatcher(path, self.clock, self.log, self._apply)
        self.is_draining = False
        self.loop = Loop(self.clock)
        longest_lease = self.site.longest_hold_ms / 1000
        self.grant = RenewalGrant(get_grant_seconds(longest_lease))
        self.starts = ThreadPoolExecutor(START_THREADS, "starts")
        self.stops = ThreadPoolExecutor(STOP_THREADS, "stops")
        self.run_manager = RunManager(
            PlatformRunner(settings.node.worker, settings.platform.timeout),
            self.grant,
            longest_lease,
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
        self.addresses = AddressReader(self.registry, self.log)
        self.peers = set()
        self.leader = ""
        self.leader_stream = None
        # Start of the worker's incarnation and whether it is gone, as last told to all
        # entries.
        self._announced_state = (0, False)
        intake = Intake(settings.intake, self.clock, self.registry, self.log)
        intake.ensure_room(MAX_HEARTBEAT_BYTES, HEARTBEAT_THREADS)
        self.heartbeat_server = HttpServer(
            HeartbeatApp(self.run_manager, self.registry, self.log),
            split_address(self.site.heartbeats),
            HEARTBEAT_THREADS,
            MAX_HEARTBEAT_BYTES,
            intake,
            MAX_SMALL_SERVER_CONNECTIONS,
        )
        self.registry.watch("resident_bytes", read_resident_bytes)
        self.registry.watch("processor_seconds_total", read_processor_seconds)

    def run(self):
        """Run until a signal requests shutdown.

        :returns: True when no service failed.
        """
        self.loop.call(self._choose_entries)
        services = [
            self.loop.run,
            self.heartbeat_server.run,
            self._run_lease_renewal,
            self._run_end_checks,
        ]
        is_success = run_services(
            self.settings.name,
            services,
            self.stopping,
            self._stop,
            self.watcher.request_reload,
        )
        for executor in (self.starts, self.stops):
            executor.shutdown(wait=False, cancel_futures=True)
        return is_success

    def _apply(self, settings):
        """Apply changed settings; changed addresses take effect only on restart."""
        set_log_level(settings)
        self.site = settings.site
        self.loop.call(self._choose_entries)

    def _stop(self):
        """Shut down without stopping the runs: their lease outlasts a restart."""
        self.is_draining = True
        self._tell_end_before_leaving()
        self.log.write(
            "node-left",
            self.settings.name,
            born=self.run_manager.incarnation,
            gone=self.run_manager.is_worker_down,
            answers=self.run_manager.is_answering,
        )
        for executor in (self.starts, self.stops):
            executor.shutdown(wait=True, cancel_futures=True)
        self.pause(SHUTDOWN_SECONDS / 10)
        self.loop.call(self.links.stop)
        self.heartbeat_server.stop()
        self.loop.stop()

    def _tell_end_before_leaving(self):
        """Tell the entries if the worker is gone; nobody can tell them afterwards."""
        for _ in range(CHECKS_BEFORE_LEAVING):
            if not self._check_connection() or self.run_manager.is_worker_down:
                return
            self.pause(END_CHECK_SECONDS)

    def _run_end_checks(self):
        """Check beside calls that wait whether a worker that took leave has ended."""
        while not self.stopping.wait(END_CHECK_SECONDS):
            self._check_expected_end()

    def _check_expected_end(self):
        if self.run_manager.is_end_expected():
            self._check_connection()

    def _check_connection(self):
        """Return whether the worker refuses a new connection."""
        try:
            return self.run_manager.check_connection()
        except Exception as error:
            self.registry.count("service_errors_total", service="end-check")
            self.log.write("service-error", "end-check", why=describe_error(error))
            return False

    def _run_lease_renewal(self):
        while not self.stopping.is_set():
            try:
                self.watcher.step()
                pause = self._renew_lease()
            except Exception as error:
                self.registry.count("service_errors_total", service="lease")
                self.log.write("service-error", "lease", why=describe_error(error))
                pause = ERROR_PAUSE_SECONDS
            if self.run_manager.ended:
                pause = max(pause, UNACKNOWLEDGED_POLL_SECONDS)
            if pause:
                self.stopping.wait(pause)

    def _renew_lease(self):
        """Renew the worker's lease; return the seconds to wait before the next time."""
        pause = self.run_manager.hold()
        self._submit_stops(
            self.run_manager.list_repeated_limits()
            + self.run_manager.list_cancelled_stops()
        )
        return pause

    def _submit_stops(self, calls):
        if self.is_draining:
            # The executor is shutting down; the next process repeats the stops.
            return
        for call, *arguments in calls:
            self.stops.submit(self._execute, call, arguments)

    def _choose_entries(self):
        self.links.set_addresses(
            choose_peers(
                self.settings.name,
                self.peers,
                self.addresses.read(self.site.peers),
                self.leader,
                self.links.list_unreachable(),
            )
        )

    def on_open(self, stream):
        """Record a connected entry once its hello message has arrived."""
        self.links.record_open(stream)
        self.log.write("entry-connected", stream.peer.name)
        if self._announced_state != (0, False):
            # The entry may have missed the present incarnation of the worker, its end,
            # or that this was taken back.
            stream.send(self.run_manager.build_report(self.grant.epoch))

    def on_close(self, stream):
        """Record the closed stream and schedule a reconnect."""
        if stream is self.leader_stream:
            self.leader_stream = None
        if stream.peer is not None:
            self.log.write("entry-lost", stream.peer.name, reason=stream.close_reason)
        self.links.record_close(stream)

    def on_message(self, stream, message):
        """Dispatch a message by its type."""
        match message:
            case Heartbeat():
                self._handle_heartbeat(stream, message)
            case RunOrders():
                self._handle_orders(message)
            case Peers(addresses=addresses):
                self.peers = self.addresses.read(addresses)
                self._choose_entries()
            case _:
                self.registry.count("messages_unexpected_total")

    def _handle_heartbeat(self, stream, heartbeat):
        if heartbeat.cancelled:
            self._submit_stops(self.run_manager.record_cancelled(heartbeat.cancelled))
        if heartbeat.leader and heartbeat.leader != self.leader:
            for leader in self.addresses.read([heartbeat.leader]):
                self.leader = leader
                self._choose_entries()
        if heartbeat.epoch == 0:
            return
        previous_epoch = self.grant.epoch
        had_grant = self.grant.get_remaining(self.clock.now()) > 0.0
        if not self.grant.record_echo(heartbeat.epoch, heartbeat.echo):
            return
        is_new_leader = (
            self.leader_stream is not stream or previous_epoch != heartbeat.epoch
        )
        if is_new_leader or not had_grant:
            self.leader_stream = stream
            self.log.write("leader-seen", stream.peer.name, epoch=heartbeat.epoch)
            self._send_report()

    def _handle_orders(self, orders):
        if orders.epoch < self.grant.epoch or self.is_draining:
            self.log.write("orders-refused", "orders", epoch=orders.epoch)
            for task, number, _, _ in orders.starts:
                self._send_result((task, number, "other-term"))
            return
        self.grant.record_echo(orders.epoch, 0.0)
        calls, starts = self.run_manager.accept_orders(orders)
        self._submit_stops(calls)
        for call, *arguments in starts:
            self.starts.submit(self._execute, call, arguments)

    def _execute(self, call, arguments):
        try:
            call(*arguments)
        except Exception as error:
            self.registry.count("order_errors_total")
            self.log.write("order-error", str(call), why=repr(error))

    def _send_report(self):
        report = self.run_manager.build_report(self.grant.epoch)
        if report is None:
            return
        state = (report.born, report.is_gone)
        if state != self._announced_state:
            # This node may have left when a later scheduling entry looks for its runs,
            # or have restarted, so that it can't tell which incarnation has ended.
            self._announced_state = state
            self.links.broadcast(report)
            if report.is_gone:
                entries = len(self.links.list_streams())
                self.log.write(
                    "worker-gone", report.worker, born=report.born, entries=entries
                )
            return
        stream = self.leader_stream
        if stream is not None and stream.is_open:
            stream.send(report)

    def _send_result(self, result):
        stream = self.leader_stream
        if stream is not None and stream.is_open:
            stream.send(RunResults(results=[result]))

    def build_heartbeat(self, stream):
        """Return the heartbeat to send on a stream."""
        return Heartbeat(sent_at=self.clock.now(), echo=stream.peer_clock)


class HeartbeatApp:
    """WSGI application that receives the worker's heartbeats and serves metrics.

    :param run_manager: ``RunManager``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, run_manager, registry, log):
        self.run_manager = run_manager
        self.registry = registry
        self.log = log

    def __call__(self, environ, start_response):
        """Handle one HTTP request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/metrics":
            text = self.registry.render().encode()
            return reply(start_response, 200, "text/plain; version=0.0.4", text)
        body = environ["wsgi.input"].read()
        match parse_heartbeat(method, path, body):
            case Success(str() as worker):
                self.run_manager.record_farewell(worker)
            case Success(report):
                self.run_manager.record_heartbeat(report)
            case Failure(failure):
                self.registry.count("heartbeats_invalid_total")
                self.log.write("heartbeat-invalid", path, why=failure.detail)
                return reply(start_response, 400, "application/json", b"{}")
        return reply(start_response, 200, "application/json", b"{}")
