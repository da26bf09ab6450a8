"""The entry process for submitted jobs: wiring, threads and graceful shutdown."""

import contextlib
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpClient
from bergamotshore.conf.logs import set_log_level
from bergamotshore.conf.reload import SettingsWatcher
from bergamotshore.core.work.confirmation import (
    StateFreshness,
    get_max_age,
    get_poll_times,
)
from bergamotshore.core.work.jobcost import get_memory_limit
from bergamotshore.core.work.leases import (
    RENEW_SECONDS,
    get_candidacy_delay,
    get_grant_seconds,
)
from bergamotshore.core.work.runslots import RUNS_PER_MB
from bergamotshore.core.work.stall import StallDetector
from bergamotshore.entry.admission import Admission
from bergamotshore.entry.cancellations import RecentCancellations
from bergamotshore.entry.dispatcher import Dispatcher
from bergamotshore.entry.dispatchevents import (
    JobCancelled,
    NodeMessage,
    RowsChanged,
    StreamClosed,
)
from bergamotshore.entry.election import Election
from bergamotshore.entry.entrylist import EntryList
from bergamotshore.entry.intake import MAX_SMALL_SERVER_CONNECTIONS, Intake
from bergamotshore.entry.jobroom import JobRoom
from bergamotshore.entry.jobrows import JOBS, PARTS, JobRows
from bergamotshore.entry.relay import (
    RelayedClient,
    StoreRelay,
    answer_first_heartbeat,
)
from bergamotshore.entry.retention import Retention
from bergamotshore.entry.sitefollower import RETRY_SECONDS, SiteFollower
from bergamotshore.entry.streams import StreamDirectory
from bergamotshore.entry.submissions import ReadinessApp, SubmissionApp
from bergamotshore.entry.takeover import read_job_rows
from bergamotshore.entry.waitingcounts import WaitingCounts
from bergamotshore.entry.workerleases import UNKNOWN_INCARNATION
from bergamotshore.entry.wsgi import DecodingMemory, HttpServer
from bergamotshore.generated.messages import (
    Heartbeat,
    Hello,
    Peers,
    RunReport,
    RunResults,
    StoreCall,
)
from bergamotshore.metrics.app import MetricsApp
from bergamotshore.metrics.memory import read_processor_seconds, read_resident_bytes
from bergamotshore.metrics.registry import Registry
from bergamotshore.platform.advice import AdviceClient
from bergamotshore.platform.jobs import estimate_decoding, estimate_largest_decoding
from bergamotshore.platform.machines import PlatformMachines
from bergamotshore.platform.store import PlatformRowStore
from bergamotshore.ports.clock import SystemClock
from bergamotshore.ports.rows import HistoryLost
from bergamotshore.timeline.recorder import LamportClock
from bergamotshore.transport.intake import StreamIntake
from bergamotshore.transport.loop import Loop
from bergamotshore.transport.stream import PROTOCOL_VERSION, Stream, listen
from bergamotshore.utils.addresses import Address, AddressReader, split_address
from bergamotshore.utils.eventlog import EventLog, describe_error
from bergamotshore.utils.services import run_services

CALLER_THREADS = 24
SMALL_SERVER_THREADS = 2
# One concurrent write per partition of the jobs, and two for rows outside partitions.
WRITER_THREADS = len(PARTS) + 2
RELAY_THREADS = 16
# The advice service serves one call per machine at a time, so a query about 30 workers
# is slow.
ADVICE_TIMEOUT_SECONDS = 5.0
# Calls about VMs may be slow; an order that gets no answer is sent again. In seconds.
MACHINES_TIMEOUT_SECONDS = 1.5
PEERS_INTERVAL_SECONDS = 5.0
# The load balancer probes readiness once a second and removes an entry after two
# failed probes.
BALANCER_REMOVAL_SECONDS = 2.2
# Time allowed for calls in flight at shutdown; the platform kills the process after
# 6 s, and calls of the background to a store that doesn't answer take 1.5 s more.
DRAIN_TIMEOUT_SECONDS = 2.2
# Part of it for sending the answers to calls that the store hasn't served, in seconds.
ANSWER_SECONDS = 0.3
POLL_SECONDS = 0.05
# An entry reports itself as not ready after this time without an answer from the store,
# in seconds.
MAX_READY_STATE_AGE_SECONDS = 2.5
# Consecutive failures of the feed of jobs after which the table is read instead; a
# single one also happens when a connection goes silent.
MAX_FEED_FAILURES = 2


class SiteEntryRole:
    """Run one entry that accepts and schedules submitted jobs.

    :param settings: ``Settings`` with an entry and a site section.
    :param path: Path of the settings file, which is reloaded when it changes.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self.entry = settings.entry
        self.site = settings.site
        self.clock = SystemClock()
        self.registry = Registry()
        self.log = EventLog(self.clock)
        self.lamport = LamportClock()
        self.incarnation = uuid.uuid4().hex[:12]
        self.stopping = threading.Event()
        self.watcher = SettingsWatcher(path, self.clock, self.log, self._apply)
        self.finished = threading.Event()
        self.is_draining = False
        self.address = self.entry.nodes_advertised or self.entry.nodes
        self.peers = [self.address]
        self._next_peers_at = 0.0
        self.loop = Loop(self.clock)
        self.executor = ThreadPoolExecutor(WRITER_THREADS, "writer")
        self.count_executor = ThreadPoolExecutor(len(PARTS), "counts")
        self.advice_executor = ThreadPoolExecutor(1, "advice")
        self.machine_executor = ThreadPoolExecutor(1, "machines")
        self.relay_executor = ThreadPoolExecutor(RELAY_THREADS, "relay")
        self.cancellations = RecentCancellations(self.clock)
        self.admission = Admission(
            self.site.scheduling.admission,
            settings.name,
            self.clock,
            self.registry,
            self.log,
            lambda: len(self.peers),
        )
        self.directory = StreamDirectory(self.clock, self._send_heartbeat)
        self.relay, self.client = self._build_client()
        self.store = PlatformRowStore(self.client, self.registry, self.log)
        max_config_age = self.site.config_within_ms / 1000
        self.follower = SiteFollower(
            self.store, self.clock, self.registry, self.log, max_config_age
        )
        self.entries = EntryList(
            self.store,
            settings.name,
            self.address,
            self.clock,
            self.registry,
            self.log,
        )
        self.election = Election(
            self.store,
            settings.name,
            self.incarnation,
            self.address,
            self.clock,
            self.log,
            get_candidacy_delay(
                self.site.processor_share * self.site.cores, self.site.link_mbps
            ),
            self.can_schedule,
            get_grant_seconds(self.site.longest_hold_ms / 1000),
            lambda: self.dispatcher.get_counts_mark(),
            lambda: self.dispatcher.get_held_jobs(),
        )
        self.stall = StallDetector()
        self.freshness = StateFreshness(
            self.follower.state,
            get_max_age(self.site.evacuate_within_ms / 1000),
            get_max_age(self.site.cancel_within_ms / 1000),
        )
        self.dispatcher = self._build_dispatcher()
        self.job_room = JobRoom(
            settings.intake.memory_mb,
            self.clock,
            self.election.get_observed_held_jobs,
            lambda: len(self.peers),
        )
        rows = JobRows(
            self.store,
            self.clock,
            self.finished.wait,
            self.job_room.record_accepted,
        )
        self.app = SubmissionApp(
            rows,
            self.follower.state,
            max_config_age,
            self.clock,
            self.registry,
            self.log,
            lambda: self.client.is_reachable,
            self.record_stored_cancellation,
            self.admission,
            WaitingCounts(
                rows,
                self.clock,
                self.registry,
                self.log,
                self.election.get_observed_counts_mark,
                self.count_executor.map,
            ),
            self.job_room,
        )
        self.intake = Intake(settings.intake, self.clock, self.registry, self.log)
        self.stream_intake = StreamIntake(
            settings.intake,
            settings.stream.largest_message,
            self.clock,
            self.registry,
            self.log,
        )
        self.caller_server = HttpServer(
            self.app,
            split_address(self.entry.callers),
            CALLER_THREADS,
            self.entry.largest_body,
            self.intake,
            decoding=DecodingMemory(estimate_decoding, estimate_largest_decoding),
        )
        self.ready_server = self._build_small_server(
            ReadinessApp(self.is_ready), self.site.ready
        )
        self.metrics_server = self._build_small_server(
            MetricsApp(self.registry), self.site.metrics
        )
        self._watch_gauges()

    def _build_client(self):
        timeout = self.settings.platform.timeout
        direct = HttpClient(self.settings.platform.table, timeout)
        relay = StoreRelay(
            self.loop,
            self.settings,
            self.incarnation,
            self.lamport,
            direct,
            self.relay_executor,
            self.clock,
            self.cancellations,
            self.directory.ends,
            self.directory.leases,
            self._handle_entry_heartbeat,
            self._describe_terms,
            self.admission.encode,
        )
        client = RelayedClient(
            direct, relay, timeout, self.clock, self.registry, self.log
        )
        return relay, client

    def _build_dispatcher(self):
        return Dispatcher(
            self.store,
            self.election,
            self.follower.state,
            self.freshness,
            self.directory,
            get_grant_seconds(self.site.longest_hold_ms / 1000),
            self.executor,
            self.finished.wait,
            self.clock,
            self.registry,
            self.log,
            Retention(
                self.store, self.executor, self.clock, self.site.state_kept, self.log
            ),
            AdviceClient(self.site.advice, ADVICE_TIMEOUT_SECONDS)
            if self.site.advice
            else None,
            self.advice_executor,
            PlatformMachines(HttpClient(self.site.machines, MACHINES_TIMEOUT_SECONDS))
            if self.site.machines
            else None,
            self.machine_executor,
            scheduling=self.site.scheduling,
            spread_factor=self.site.spread_factor,
            on_backlog=self.admission.record,
            max_runs=self.settings.intake.memory_mb * RUNS_PER_MB,
            job_memory_limit=get_memory_limit(self.settings.intake.memory_mb),
        )

    def _build_small_server(self, app, address):
        return HttpServer(
            app,
            split_address(address),
            SMALL_SERVER_THREADS,
            self.entry.largest_body,
            self.intake,
            MAX_SMALL_SERVER_CONNECTIONS,
        )

    def _watch_gauges(self):
        self.registry.watch("resident_bytes", read_resident_bytes)
        self.registry.watch("processor_seconds_total", read_processor_seconds)
        self.registry.watch("job_memory_bytes", lambda: self.job_room.held)
        self.registry.watch("job_memory_limit_bytes", lambda: self.job_room.limit)
        self.registry.watch("calls_in_flight", lambda: self.app.in_flight)
        self.registry.watch("nodes", lambda: len(self.directory.list_streams()))
        self.registry.watch("epoch", lambda: self.dispatcher.epoch)
        self.registry.watch(
            "task_kinds", lambda: self.dispatcher.cluster.durations.kinds
        )
        self.registry.watch("scheduler_stall", lambda: self.stall.seconds)
        self.registry.watch(
            "config_version", lambda: self.follower.state.configuration.version
        )

    def is_ready(self):
        """Return whether the load balancer should route callers to this entry."""
        state = self.follower.state
        is_fresh = state.get_age(self.clock.now()) < MAX_READY_STATE_AGE_SECONDS
        return state.is_loaded and is_fresh and not self.is_draining

    def can_schedule(self):
        """Return whether this entry may become the scheduling entry.

        Scheduling needs a configuration, which sets how often a task may fail, and a
        dispatcher that doesn't stand still.
        """
        return (
            self.follower.state.is_loaded
            and not self.stopping.is_set()
            and not self.stall.is_stalled
        )

    def run(self):
        """Run until a signal requests shutdown.

        :returns: Whether all services ended without a failure.
        """
        listen(self.loop, split_address(self.entry.nodes), self._accept)
        self.loop.call(self._connect_seeds)
        services = (
            self.loop.run,
            self.caller_server.run,
            self.ready_server.run,
            self.metrics_server.run,
            self._run_follower,
            self._run_election,
            self._run_feed,
            self._run_dispatcher,
        )
        is_successful = run_services(
            self.settings.name,
            services,
            self.stopping,
            self._stop,
            self.watcher.request_reload,
        )
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.count_executor.shutdown(wait=False, cancel_futures=True)
        self.advice_executor.shutdown(wait=False, cancel_futures=True)
        self.machine_executor.shutdown(wait=False, cancel_futures=True)
        self.relay_executor.shutdown(wait=False, cancel_futures=True)
        return is_successful

    def _apply(self, settings):
        """Apply changed settings; a change of addresses needs a restart."""
        set_log_level(settings)

    def _connect_seeds(self):
        """Connect to the peers in the settings until the store lists all entries."""
        peer_addresses = [
            address
            for address in AddressReader(self.registry, self.log).read(self.site.peers)
            if address != self.address
        ]
        self.relay.set_peer_addresses(peer_addresses)

    def _stop(self):
        """Resign, wait for the load balancer, finish calls in flight, then stop."""
        self.is_draining = True
        removed_at = self.clock.now() + BALANCER_REMOVAL_SECONDS
        deadline = removed_at + DRAIN_TIMEOUT_SECONDS
        self.log.write("process-draining", self.settings.name)
        self.dispatcher.is_shutting_down = True
        self.app.finish_by(deadline - ANSWER_SECONDS)
        self.caller_server.drain()
        self._pause(POLL_SECONDS)
        self.election.resign()
        self._pause(max(0.0, removed_at - self.clock.now()))
        self.caller_server.refuse_connections()
        while self._is_busy() and self.clock.now() < deadline:
            self._pause(POLL_SECONDS)
        self.caller_server.finish(deadline - self.clock.now())
        self.finished.set()
        for server in (self.ready_server, self.metrics_server):
            server.stop()
        self.loop.stop()

    def _pause(self, seconds):
        """Wait in the main thread."""
        time.sleep(seconds)

    def _is_busy(self):
        return self.app.in_flight > 0 or self.caller_server.count_busy_connections() > 0

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
        """Register the stream of a node after its handshake."""
        if stream.peer.role == "entry":
            return
        older = self.directory.open(stream)
        if older is not None:
            older.close("replaced")
        self.log.write("node-connected", stream.peer.name)
        stream.send(Peers(addresses=self.peers))
        self._send_heartbeat(stream)

    def on_close(self, stream):
        """Unregister a node whose stream was lost."""
        if stream.peer is None or stream.peer.role == "entry":
            return
        self.directory.close(stream)
        self.log.write("node-gone", stream.peer.name, reason=stream.close_reason)
        self.dispatcher.post(StreamClosed(stream))

    def on_message(self, stream, message):
        """Dispatch a message to the component that handles its type."""
        match message:
            case StoreCall():
                self.relay.serve(stream, message)
            case Heartbeat():
                if stream.peer.role == "node":
                    self.directory.record_heartbeat(stream)
                else:
                    self._handle_entry_heartbeat(stream.peer, message)
                    answer_first_heartbeat(stream, message, self)
            case RunReport() | RunResults():
                if isinstance(message, RunReport):
                    self._record_report(stream, message)
                if self.election.lease.epoch:
                    self.dispatcher.post(NodeMessage(stream, message))
            case _:
                self.registry.count("messages_unexpected_total")

    def _record_report(self, stream, report):
        node = stream.peer.name
        self._record_lease(node, report.born, report.lease_remaining, "node")
        if self.directory.record_report(stream, report):
            self.log.write("worker-end-heard", node, born=report.born, source="node")

    def _record_lease(self, node, born, remaining, source):
        if self.directory.leases.record(node, born, remaining):
            self.log.write(
                "worker-lease-heard", node, born=born, seconds=remaining, source=source
            )

    def _handle_entry_heartbeat(self, peer, heartbeat):
        self.election.record_entry(
            peer.name,
            peer.incarnation,
            heartbeat.echo,
            heartbeat.superseded_epoch,
            heartbeat.permits_echo,
        )
        self.admission.record_told(heartbeat.backlog, heartbeat.echo)
        for key in heartbeat.cancelled:
            self.record_cancellation(key)
        for lease in heartbeat.incarnation_leases:
            self._record_lease(*lease, peer.name)
        if not heartbeat.incarnation_leases:
            for node, remaining in heartbeat.worker_leases:
                self._record_lease(node, UNKNOWN_INCARNATION, remaining, peer.name)
        for end in heartbeat.worker_ends:
            if self.directory.ends.record_passed_on(end):
                self.log.write(
                    "worker-end-heard", end.node, born=end.born, source=peer.name
                )

    def record_stored_cancellation(self, key):
        """Announce a cancellation that this entry has just stored, also a repeated one.

        Nodes hear of it before the caller, since this process may end right after.
        """
        self.cancellations.forget(key)
        self.record_cancellation(key)

    def record_cancellation(self, key):
        """Announce a stored cancellation, and apply it if this entry schedules."""
        if not self.cancellations.record(key):
            return
        if self.election.lease.epoch:
            self.dispatcher.post(JobCancelled(key))
        if self.cancellations.is_announcement_due():
            self.directory.send_heartbeats()

    def build_heartbeat(self, stream):
        """Return the heartbeat for a stream.

        The clock reading to echo is read before the lease is checked, so that a pause
        in between makes a grant shorter. Entries get no grants, but the reading itself.
        """
        echo = stream.peer_clock
        granting_echo = self.election.get_echo(echo, stream.peer_clock_received_at)
        is_entry = stream.peer is not None and stream.peer.role == "entry"
        leases = self.directory.leases
        if granting_echo is not None and not is_entry:
            echo = granting_echo
        return Heartbeat(
            sent_at=self.clock.now(),
            echo=echo,
            config_version=self.follower.state.configuration.version,
            epoch=self.election.lease.epoch if granting_echo is not None else 0,
            leader=self.election.leader_address,
            cancelled=self.cancellations.list_announced(),
            worker_ends=self.directory.ends.list_announced() if is_entry else [],
            worker_leases=leases.list_for_former_revision() if is_entry else [],
            incarnation_leases=leases.list_announced() if is_entry else [],
            backlog=self.admission.encode() if is_entry else b"",
            **(self._describe_terms(stream.peer) if is_entry else {}),
        )

    def _describe_terms(self, peer):
        """Return the fields of a heartbeat to another entry that tell of terms."""
        return {
            "superseded_epoch": self.election.superseded_epoch,
            "permits_echo": self.election.permit_echo(peer.name, peer.incarnation),
        }

    def _send_heartbeat(self, stream):
        stream.send(self.build_heartbeat(stream))

    def _run_follower(self):
        while not self.finished.is_set():
            with self._surviving("operator-rows"):
                self.follower.run(self.finished)

    def _run_election(self):
        while not self.finished.is_set():
            pause = RENEW_SECONDS
            with self._surviving("election"):
                pause = self._step_election()
            for step in (self.watcher.step, self._send_peers):
                with self._surviving("election"):
                    step()
            self.stopping.wait(pause)
            if self.stopping.is_set():
                return

    def _step_election(self):
        """Renew or acquire the lease, or release it if the dispatcher stands still.

        :returns: Time until the next step, in seconds.
        """
        dispatcher = self.dispatcher
        self.stall.observe(
            dispatcher.progress, dispatcher.is_taking_over, self.clock.now()
        )
        if self.stall.is_stalled and self.election.lease.epoch:
            self.registry.count("scheduler_stalls_total")
            self.log.write(
                "scheduler-stalled",
                self.election.name,
                epoch=self.election.lease.epoch,
                seconds=self.stall.seconds,
            )
            self.election.resign()
        former_epoch = self.election.lease.epoch
        pause = self.election.step()
        if self.election.lease.epoch > former_epoch:
            # Nodes keep their runs while this entry reads the open jobs.
            self.directory.send_heartbeats()
        return pause

    @contextlib.contextmanager
    def _surviving(self, service):
        """Log an unexpected error of a service instead of ending the process.

        What the service keeps up to date then ages, and others decide by its age.
        """
        try:
            yield
        except Exception as error:
            self.registry.count("service_errors_total", service=service)
            self.log.write("service-error", service, why=describe_error(error))
            self.finished.wait(POLL_SECONDS)

    def _send_peers(self):
        """Send the addresses of all entries to the nodes and the relay, when due."""
        if self.clock.now() < self._next_peers_at:
            return
        peers = self.entries.read()
        if peers is None:
            return
        self._next_peers_at = self.clock.now() + PEERS_INTERVAL_SECONDS
        peer_addresses = [
            Address(address) for address in peers if address != self.address
        ]
        self.loop.call(self.relay.set_peer_addresses, peer_addresses)
        if peers != self.peers:
            self.peers = peers
            for stream in self.directory.list_streams():
                stream.send(Peers(addresses=peers))

    def _run_feed(self):
        """Follow the jobs table while this entry is the scheduling entry."""
        epoch, version = 0, 0
        while not self.finished.is_set():
            current_epoch = self.dispatcher.epoch
            if not current_epoch:
                epoch = 0
                self.finished.wait(POLL_SECONDS)
                continue
            if current_epoch != epoch:
                epoch, version = current_epoch, self.dispatcher.feed_version
            with self._surviving("job-feed"):
                version = self._follow_jobs(version, epoch)

    # Consecutive failures of the feed of jobs.
    _feed_failures = 0

    def _follow_jobs(self, version, epoch):
        """Follow or read the jobs table once.

        The table is read as a whole if the feed gets no answers: the store may reject
        calls that wait, and serve others.

        :returns: Version to continue from, 0 to read the whole table.
        """
        asked_at = self.clock.now()
        if version and self._feed_failures < MAX_FEED_FAILURES:
            times = get_poll_times(self.freshness.max_jobs_age)
            outcome = self.store.follow(JOBS, version, times.wait, times.timeout)
        else:
            outcome = read_job_rows(self.store)
        match outcome:
            case Success(page):
                self._feed_failures = 0
                self.dispatcher.store_clock.observe(page.now)
                self.dispatcher.post(
                    RowsChanged(page.rows, asked_at, epoch, page.version)
                )
                return page.version
            case Failure(HistoryLost()):
                self.log.write("history-lost", JOBS, version=version)
                return 0
            case Failure(failure):
                self._feed_failures += 1
                self.registry.count("store_failures_total", code=failure.code)
                self.log.write(
                    "store-failed",
                    "job-feed",
                    why=str(failure),
                    seconds=self.clock.now() - asked_at,
                )
                elapsed = self.clock.now() - asked_at
                self.finished.wait(max(0.0, RETRY_SECONDS - elapsed))
                return version

    def _run_dispatcher(self):
        while not self.finished.is_set():
            with self._surviving("dispatcher"):
                self.dispatcher.step()
