"""Deterministic simulation of entries, nodes, workers and a store in one thread.

The code of entries and nodes is real; the store, the workers and the streams between
processes are fakes. Time only passes in ``advance``.
"""

import io
import itertools
import queue
import random
import threading
from concurrent.futures import Future
from types import SimpleNamespace

from returns.result import Failure, Success

from bergamotshore.core.work.confirmation import StateFreshness, get_max_age
from bergamotshore.core.work.leases import (
    DRIFT_SHARE,
    RenewalGrant,
    get_grant_seconds,
)
from bergamotshore.core.work.model import JobSpec, Step, get_job_key
from bergamotshore.core.work.site import Queue, ServicePool, SiteConfiguration
from bergamotshore.core.work.stall import StallDetector
from bergamotshore.entry.admission import Admission
from bergamotshore.entry.cancellations import RecentCancellations
from bergamotshore.entry.dispatcher import Dispatcher
from bergamotshore.entry.election import Election
from bergamotshore.entry.jobrows import JobRows
from bergamotshore.entry.retention import Retention
from bergamotshore.entry.site import SiteEntryRole
from bergamotshore.entry.sitefollower import SiteFollower
from bergamotshore.entry.streams import StreamDirectory
from bergamotshore.exceptions import (
    PlatformUnavailable,
)
from bergamotshore.generated.messages import Heartbeat, Hello
from bergamotshore.generated.settings import Scheduling, Stream
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.runs import RunManager
from bergamotshore.node.site import HeartbeatApp, SiteNodeRole
from bergamotshore.ports.rows import (
    Expect,
)
from bergamotshore.transport.codec import Decoder, encode_message
from bergamotshore.utils.addresses import AddressReader
from bergamotshore.utils.eventlog import EventLog
from standins.ledger import Ledger
from standins.machines import MachinesStandIn
from standins.site import (
    LONGEST_HOLD_SECONDS,
    SERVICE,
    RowsStandIn,
    RunnerStandIn,
)
from tests.site.operatorrows import OperatorRows

STATE_KEPT_SECONDS = 120
# Time after which a confirmed change of the operator's rows has to be active.
CONFIG_SECONDS = 2.0
# Time after which nothing may start in a closed data centre, or for a cancelled job.
EVACUATE_SECONDS = 5.0
CANCEL_SECONDS = 3.0
STEP_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.5
# Limit of the streams between real processes by default.
MAX_MESSAGE_BYTES = Stream().largest_message
# Time between the resignation of an entry that shuts down and its end, in seconds.
ENTRY_SHUTDOWN_SECONDS = 2.2
# Kinds of log lines about unexpected errors.
ERROR_KINDS = (
    "background-error",
    "left-out",
    "order-error",
    "service-error",
    "term-abandoned",
)
# What the clock of the store is ahead of that of the simulation, in seconds.
STORE_CLOCK_OFFSET_SECONDS = 70_000.0
# Largest difference of the clocks of two processes, in seconds.
MAX_OFFSET_SECONDS = 1000.0
NO_DECISIONS_UNDER_LOAD = Scheduling()
# Lower than the priority of all other queues in the tests.
BATCH_PRIORITY = 9


class ProcessClock:
    """Clock of one process, which runs slower than that of the simulation.

    :param clock: ``Clock`` of the simulation.
    :param drift: Share by which it is slower.
    :param offset: What it is ahead at time 0, in seconds.
    """

    def __init__(self, clock, drift, offset):
        self._clock = clock
        self._drift = drift
        self._offset = offset

    def now(self):
        """Return the time on this clock, in seconds."""
        return self._offset + (1.0 - self._drift) * self._clock.now()

    def wall(self):
        """Return seconds since the epoch, which all processes agree on."""
        return self._clock.wall()


class StoreConnection:
    """Connection of one process to the store, on which failures can be injected.

    Either all calls fail or only the change feed.
    """

    def __init__(self, store, is_disconnected, is_feed_disconnected):
        self._store = store
        self._is_disconnected = is_disconnected
        self._is_feed_disconnected = is_feed_disconnected

    def transact(self, *arguments, **options):
        return self._call(self._store.transact, arguments, options)

    def read(self, *arguments, **options):
        return self._call(self._store.read, arguments, options)

    def follow(self, *arguments, **options):
        if self._is_feed_disconnected():
            return Failure(PlatformUnavailable("no answer"))
        return self._call(self._store.follow, arguments, options)

    def _call(self, function, arguments, options):
        if self._is_disconnected():
            return Failure(PlatformUnavailable("store not reachable"))
        return function(*arguments, **options)


class FakeStream:
    """One end of an in-memory stream between an entry and a node."""

    def __init__(self, owner, peer):
        self.owner = owner
        self.peer = peer
        self.peer_clock = self.peer_clock_received_at = 0.0
        self.close_reason = ""
        self.other = None
        self.inbox = []
        self.has_lost_messages = False
        self._decoder = Decoder(MAX_MESSAGE_BYTES)

    @property
    def is_open(self):
        return not self.close_reason

    def send(self, message):
        if self.close_reason:
            return False
        if not self.other.close_reason:
            self.other.inbox.append(encode_message(message, 0))
        return True

    def close(self, reason):
        if not self.close_reason:
            self.close_reason = reason
            self.owner.on_close(self)

    def deliver(self):
        inbox, self.inbox = self.inbox, []
        for content in inbox:
            if self.close_reason:
                return
            message = self.decode(content)
            if isinstance(message, Heartbeat):
                self.peer_clock_received_at = self.owner.clock.now()
                self.peer_clock = message.sent_at
            self.owner.on_message(self, message)

    def decode(self, content):
        """Decode the only message in some bytes."""
        [frame] = self._decoder.feed(content)
        return frame.message


class EntryStream(FakeStream):
    """An entry's end of an in-memory stream to another entry.

    :param owner: ``EntryProcess``.
    :param peer_process: The other ``EntryProcess``.
    :param post: Called with both and the content of each message that is sent.
    """

    def __init__(self, owner, peer_process, post):
        hello = Hello(
            protocol=1,
            role="entry",
            name=peer_process.name,
            incarnation=peer_process.incarnation,
            zone="",
        )
        super().__init__(owner, hello)
        self._peer_process = peer_process
        self._post = post

    def send(self, message):
        self._post(self.owner, self._peer_process, encode_message(message, 0))
        return True


class InlineExecutor:
    """Executor that runs calls immediately in the calling thread."""

    def submit(self, function, *arguments):
        function(*arguments)
        return Future()

    def map(self, function, values):
        return [function(value) for value in values]

    def shutdown(self, wait, cancel_futures):
        """Do nothing."""


class InlineLoop:
    """Event loop that runs calls immediately in the calling thread."""

    @staticmethod
    def call(function, *arguments):
        function(*arguments)

    def stop(self):
        """Do nothing."""


class NodeLinks:
    """Replacement for a node's links; the simulation opens the streams."""

    def __init__(self, node):
        self._node = node

    def broadcast(self, message):
        """Send a message to every connected entry."""
        for stream in self.list_streams():
            stream.send(message)

    def list_streams(self):
        """Return the open streams."""
        return [stream for stream in self._node.streams if stream.is_open]

    def record_open(self, stream):
        """Do nothing."""

    def record_close(self, stream):
        """Do nothing."""

    def set_addresses(self, addresses):
        """Do nothing."""

    def stop(self):
        """Do nothing; the streams close with the process."""


class EntryProcess(SiteEntryRole):
    """Scheduling role of an entry, without its servers and threads."""

    def __init__(self, simulation, name, incarnation):
        self.name = name
        self.clock = simulation.build_clock()
        self.registry = Registry()
        self.log = EventLog(simulation.clock, emit=simulation.lines.append)
        self.store = StoreConnection(
            simulation.store,
            lambda: name in simulation.without_store,
            lambda: name in simulation.without_feeds,
        )
        self.is_following = lambda: (
            name not in (simulation.without_store | simulation.without_feeds)
        )
        self.peers = []
        self.follower = SiteFollower(
            self.store, self.clock, self.registry, self.log, CONFIG_SECONDS
        )
        self.has_operator = simulation.operator is not None
        if not self.has_operator:
            self.follower.state.accept(simulation.configuration)
            self.follower.state.confirmed_at = self.clock.now()
        self.stopping = threading.Event()
        self.incarnation = f"{name}-{incarnation}"
        self.election = Election(
            self.store,
            name,
            self.incarnation,
            f"10.0.0.{1 + int(name[-1])}:1",
            self.clock,
            self.log,
            can_schedule=self.can_schedule,
            grant_seconds=simulation.grant_seconds,
            get_counts_mark=lambda: self.dispatcher.get_counts_mark(),
            get_held_jobs=lambda: self.dispatcher.get_held_jobs(),
        )
        self.stall = StallDetector()
        self.directory = StreamDirectory(self.clock, self._send_heartbeat)
        self.admission = Admission(
            simulation.scheduling.admission,
            name,
            self.clock,
            self.registry,
            self.log,
            lambda: len(simulation.entry_names),
        )
        self.cancellations = RecentCancellations(self.clock)
        self.freshness = StateFreshness(
            self.follower.state,
            get_max_age(EVACUATE_SECONDS),
            get_max_age(CANCEL_SECONDS),
        )
        self.dispatcher = Dispatcher(
            self.store,
            self.election,
            self.follower.state,
            self.freshness,
            self.directory,
            simulation.grant_seconds,
            InlineExecutor(),
            lambda seconds: None,
            self.clock,
            self.registry,
            self.log,
            Retention(
                self.store, InlineExecutor(), self.clock, STATE_KEPT_SECONDS, self.log
            ),
            machines=simulation.machines,
            machine_calls=InlineExecutor(),
            scheduling=simulation.scheduling,
            on_backlog=self.admission.record,
        )
        self.dispatcher.events = NonBlockingQueue()
        self.streams = []
        self.next_election_at = 0.0
        self.feed = (0, 0)

    def step(self):
        if self.has_operator:
            self.follower.step()
        elif self.is_following():
            self.follower.state.confirmed_at = self.clock.now()
        if self.clock.now() >= self.next_election_at:
            self.next_election_at = self.clock.now() + self._step_election()
        epoch = self.dispatcher.epoch
        if epoch:
            version = self.feed[1] if self.feed[0] == epoch else None
            if version is None:
                version = self.dispatcher.feed_version
            self.feed = (epoch, self._follow_jobs(version, epoch))
        for _ in range(3):
            self.dispatcher.step(wait=0)

    @property
    def finished(self):
        return self

    def wait(self, seconds):
        """Return immediately."""


class NonBlockingQueue(queue.SimpleQueue):
    """Queue whose ``get`` never blocks."""

    def get(self, timeout=None):
        return super().get_nowait()


class NodeProcess(SiteNodeRole):
    """Node role without its server and threads."""

    def __init__(self, simulation, name, zone, runner):
        self.name, self.zone = name, zone
        self.incarnation = f"{name}-{next(simulation.incarnations)}"
        self.clock = simulation.build_clock()
        self._true_clock = simulation.clock
        self.registry = Registry()
        self.log = EventLog(simulation.clock, emit=simulation.lines.append)
        self.loop = InlineLoop()
        self.links = NodeLinks(self)
        self.settings = SimpleNamespace(name=name)
        self.pause = simulation.clock.advance
        self.heartbeat_server = self.loop
        self.addresses = AddressReader(self.registry, self.log)
        self.grant = RenewalGrant(simulation.grant_seconds)
        self.starts = self.stops = InlineExecutor()
        self.is_draining = False
        self.leader = ""
        self.leader_stream = None
        self._announced_state = (0, False)
        self.peers = set()
        self.runner = runner
        self.is_receiving_heartbeats = lambda: (
            runner.is_sending_heartbeats and name not in simulation.without_heartbeats
        )
        self.run_manager = RunManager(
            runner,
            self.grant,
            runner.longest_hold,
            self.clock,
            self._send_report,
            lambda *result: self._send_result(result),
            self.registry,
            self.log,
        )
        self.heartbeat_app = HeartbeatApp(self.run_manager, self.registry, self.log)
        self.streams = []
        self.calls_delayed_until = 0.0

    def _choose_entries(self):
        """Do nothing; the simulation opens the streams."""

    def step(self):
        if self.is_receiving_heartbeats():
            report = self.runner.build_report(self.zone)
            self.run_manager.record_heartbeat(report)
            self.runner.ledger.record_heartbeat(report, self._true_clock.now())
        if self._true_clock.now() >= self.calls_delayed_until:
            self._renew_lease()
        self._check_expected_end()

    def stop(self):
        """Begin to shut down."""
        self._stop()

    def receive_farewell(self):
        """Receive the last heartbeat of the worker, which says that it ends."""
        environ = {
            "REQUEST_METHOD": "DELETE",
            "PATH_INFO": f"/instances/{self.runner.name}",
            "wsgi.input": io.BytesIO(),
        }
        self.heartbeat_app(environ, lambda status, headers: None)


class Simulation:
    """Simulation of a small site.

    :param has_operator: Whether the entries follow the rows of ``operator``; otherwise,
        tests set the state that entries have of them.
    :param is_drifting: Whether each process and worker has a clock of its own, whose
        rate differs from that of the others by up to ``DRIFT_SHARE``.
    :param scheduling: ``Scheduling`` of all entries.
    :param longest_hold: Longest lease of the workers, in seconds.
    """

    def __init__(
        self,
        clock,
        entries=2,
        nodes=3,
        seed=0,
        has_operator=False,
        is_drifting=False,
        scheduling=NO_DECISIONS_UNDER_LOAD,
        longest_hold=LONGEST_HOLD_SECONDS,
    ):
        self.grant_seconds = get_grant_seconds(longest_hold)
        self.clock = clock
        self.scheduling = scheduling
        self.random = random.Random(seed)
        self._drift_random = random.Random(seed) if is_drifting else None
        self.lines = []
        self.allows_errors = False
        self._checked_lines = 0
        self.store = RowsStandIn(lambda: STORE_CLOCK_OFFSET_SECONDS + clock.now())
        self.ledger = Ledger(get_harmed_at=self._get_harmed_at)
        self.configuration = build_configuration()
        self.operator = None
        if has_operator:
            self.operator = OperatorRows(self.store, self.ledger, clock)
            self.operator.declare(self.configuration)
        self._harmed_at = clock.now()
        self._harmed_at_by_node = {}
        self._oldest_history = 0
        self.incarnations = itertools.count(1)
        self.runner_by_node = {
            f"node-{index}": RunnerStandIn(clock, f"worker-{index}", self.ledger)
            for index in range(nodes)
        }
        for runner in self.runner_by_node.values():
            runner.longest_hold = longest_hold
        if is_drifting:
            for runner in self.runner_by_node.values():
                runner.drift = self._draw_drift()
        self.machines = MachinesStandIn(clock, self.runner_by_node, self.ledger)
        self.disconnected_pairs = set()
        # Pairs of sender and receiver whose messages are lost, or wait.
        self.cut_links = set()
        self.held_links = set()
        self._entry_messages = []
        self._entry_streams = {}
        self.without_store = set()
        self.without_feeds = set()
        self.without_heartbeats = set()
        self.paused = set()
        self.entry_by_name = {}
        self.node_by_name = {}
        self.entry_names = [f"entry-{index}" for index in range(entries)]
        for name in self.entry_names:
            self.start_entry(name)
        for name in self.runner_by_node:
            self.start_node(name)
        self.next_heartbeat_at = 0.0
        self.rows = JobRows(self.store, clock, self.clock.advance)

    def build_clock(self):
        """Return the clock of a new process."""
        if self._drift_random is None:
            return self.clock
        offset = self._drift_random.uniform(0.0, MAX_OFFSET_SECONDS)
        return ProcessClock(self.clock, self._draw_drift(), offset)

    def _draw_drift(self):
        """Return by how much a clock is slow; often it is one of the extremes."""
        draw = self._drift_random
        return draw.choice([0.0, DRIFT_SHARE, draw.uniform(0.0, DRIFT_SHARE)])

    def start_entry(self, name):
        self.kill_entry(name)
        self.entry_by_name[name] = EntryProcess(self, name, next(self.incarnations))
        self._exchange_entry_heartbeats(started=name)

    def kill_entry(self, name):
        self._harmed_at = self.clock.now()
        entry = self.entry_by_name.pop(name, None)
        for stream in entry.streams if entry is not None else ():
            stream.close_reason = "killed"
            stream.other.close("connection-lost")

    def stop_entry(self, name):
        """Shut an entry down gracefully; it resigns, and its process ends."""
        entry = self.entry_by_name.get(name)
        if entry is not None:
            entry.dispatcher.is_shutting_down = True
            self.advance(STEP_SECONDS)
            entry.election.resign()
            self.advance(ENTRY_SHUTDOWN_SECONDS)
            self.kill_entry(name)

    def stop_node(self, name):
        """Shut a node down gracefully; its process ends."""
        node = self.node_by_name.get(name)
        if node is not None:
            node.stop()
            self.advance(STEP_SECONDS)
            self.kill_node(name)

    def start_node(self, name):
        self.kill_node(name)
        zone = f"zone-{int(name[-1]) % 2}"
        runner = self.runner_by_node[name]
        runner.zone = zone
        self.node_by_name[name] = NodeProcess(self, name, zone, runner)

    def kill_node(self, name):
        self._harmed_at_by_node[name] = self.clock.now()
        node = self.node_by_name.pop(name, None)
        for stream in node.streams if node is not None else ():
            stream.close_reason = "killed"
            stream.other.close("connection-lost")

    def lose_worker(self, node):
        """Let the worker beside a node end for good, without a farewell."""
        self._harmed_at_by_node[node] = self.clock.now()
        self.runner_by_node[node].begin_incarnation()
        self.runner_by_node[node].is_gone = True

    def take_worker_away(self, node):
        """Let the worker beside a node end for good after a farewell."""
        self.node_by_name[node].receive_farewell()
        self.lose_worker(node)

    def delay_calls(self, node, seconds):
        """Let the call that renews a worker's lease wait for its answer for a time."""
        until = self.clock.now() + seconds
        self.node_by_name[node].calls_delayed_until = until

    def disconnect(self, entry, node):
        """Block all messages between an entry and a node."""
        self.disconnected_pairs.add((entry, node))

    def heal(self):
        """Let all messages arrive again."""
        self.disconnected_pairs.clear()
        self.cut_links.clear()
        self.held_links.clear()

    def _connect(self):
        for entry in self.entry_by_name.values():
            for node in self.node_by_name.values():
                pair = (entry.name, node.name)
                streams = [p for p in node.streams if p.peer.name == entry.name]
                if pair in self.disconnected_pairs:
                    for stream in streams:
                        self._drop_messages(stream)
                    continue
                if not self.cut_links.isdisjoint((pair, pair[::-1])):
                    for stream in streams:
                        self._drop_cut_messages(stream)
                    continue
                if any(stream.has_lost_messages for stream in streams) or not any(
                    stream.is_open and stream.other.is_open for stream in streams
                ):
                    self._open(entry, node)

    @staticmethod
    def _drop_messages(stream):
        """Drop messages in flight and mark the stream for replacement."""
        stream.has_lost_messages = stream.has_lost_messages or bool(
            stream.inbox or stream.other.inbox
        )
        stream.inbox.clear()
        stream.other.inbox.clear()

    def _drop_cut_messages(self, stream):
        """Drop messages of a node's stream on links that are cut, and mark it."""
        for end in (stream, stream.other):
            if (end.peer.name, end.owner.name) in self.cut_links:
                stream.has_lost_messages = stream.has_lost_messages or bool(end.inbox)
                end.inbox.clear()

    def _open(self, entry, node):
        for stream in [p for p in node.streams if p.peer.name == entry.name]:
            stream.close("lost")
            stream.other.close("lost")
            node.streams.remove(stream)
        hello = build_hello("node", node.name, node.zone, node.incarnation)
        at_entry = FakeStream(entry, hello)
        at_node = FakeStream(node, build_hello("entry", entry.name, ""))
        at_entry.other, at_node.other = at_node, at_entry
        entry.streams.append(at_entry)
        node.streams.append(at_node)
        entry.on_open(at_entry)
        node.on_open(at_node)

    def step(self):
        self._connect()
        if self.clock.now() >= self.next_heartbeat_at:
            self.next_heartbeat_at = self.clock.now() + HEARTBEAT_SECONDS
            self._send_heartbeats()
        for _ in range(2):
            self.deliver()
            for process in self._list_unpaused():
                process.step()
        self.deliver()
        for runner in self.runner_by_node.values():
            runner.update()
        self.machines.check_wave_status(self.store)
        self._record_faults()
        self.ledger.check_cancelled_runs(self.clock.now())
        self._check_errors()

    def _get_harmed_at(self, runner):
        """Return when a fault last affected a worker, its node or the scheduling."""
        node = next(
            name for name, item in self.runner_by_node.items() if item is runner
        )
        return max(self._harmed_at, self._harmed_at_by_node[node])

    def get_calm_since(self):
        """Return when any fault was last there, in seconds."""
        return max(self._harmed_at, *self._harmed_at_by_node.values())

    def list_usable_runners(self):
        """Return the workers that are there, with their nodes."""
        return [
            runner
            for node, runner in self.runner_by_node.items()
            if node in self.node_by_name and not runner.is_gone
        ]

    def _record_faults(self):
        """Record the present faults, those of a node apart from those of the site."""
        now, store = self.clock.now(), self.store
        impaired_links = self.cut_links | self.held_links
        is_history_lost = store.oldest != self._oldest_history
        self._oldest_history = store.oldest
        if (
            is_history_lost
            or store.is_down
            or store.faults
            or store.late
            or self.without_store
            or self.without_feeds
            or not self.entry_by_name
            or not self.paused.isdisjoint(self.entry_by_name)
            or any(self._list_nodes(link) == [] for link in impaired_links)
        ):
            self._harmed_at = now
        for link in impaired_links:
            for node in self._list_nodes(link):
                self._harmed_at_by_node[node] = now
        for node, runner in self.runner_by_node.items():
            if (
                node in self.paused
                or runner.is_cut
                or runner.is_down
                or runner.has_faults
                or self._is_waiting_for_call(node)
                or any(node == name for _, name in self.disconnected_pairs)
            ):
                self._harmed_at_by_node[node] = now

    def _list_nodes(self, link):
        """Return the nodes among sender and receiver; none if both are entries."""
        return [name for name in link if name in self.runner_by_node]

    def _is_waiting_for_call(self, name):
        node = self.node_by_name.get(name)
        return node is not None and self.clock.now() < node.calls_delayed_until

    def _check_errors(self):
        """Raise an error that a process contained, unless the test provokes it."""
        new_lines = self.lines[self._checked_lines :]
        self._checked_lines = len(self.lines)
        for line in new_lines:
            is_error = line.startswith(tuple(f"event={kind} " for kind in ERROR_KINDS))
            assert self.allows_errors or not is_error, line

    def _list_unpaused(self):
        processes = [*self.entry_by_name.values(), *self.node_by_name.values()]
        return [item for item in processes if item.name not in self.paused]

    def _send_heartbeats(self):
        for process in self._list_unpaused():
            for stream in process.streams:
                if stream.is_open:
                    stream.send(process.build_heartbeat(stream))
        self._exchange_entry_heartbeats()

    def _exchange_entry_heartbeats(self, started=None):
        """Send heartbeats among the entries, and deliver those that may arrive.

        Each echoes the last clock reading that its sender has received before.

        :param started: Name of an entry that has just started and connects to the
            others, which answer its first heartbeat at once; None for all entries.
        """
        entries = [
            entry
            for entry in self.entry_by_name.values()
            if entry.name not in self.paused
        ]
        for sender, receiver in itertools.permutations(entries, 2):
            if started in (None, sender.name):
                stream = self._get_entry_stream(sender, receiver)
                stream.send(sender.build_heartbeat(stream))
        self._deliver_among_entries()
        if started is not None:
            self._deliver_among_entries()

    def _get_entry_stream(self, owner, peer):
        """Return an entry's end of its stream to another one."""
        return self._entry_streams.setdefault(
            (owner.incarnation, peer.incarnation),
            EntryStream(owner, peer, self._post_among_entries),
        )

    def _post_among_entries(self, sender, receiver, content):
        if (sender.name, receiver.name) not in self.cut_links:
            self._entry_messages.append((sender, receiver, content))

    def _deliver_among_entries(self):
        """Deliver messages among entries, also those of processes that have ended."""
        messages, self._entry_messages = self._entry_messages, []
        for sender, receiver, content in messages:
            link = (sender.name, receiver.name)
            if self.entry_by_name.get(receiver.name) is not receiver:
                continue
            if link in self.held_links or receiver.name in self.paused:
                self._entry_messages.append((sender, receiver, content))
                continue
            stream = self._get_entry_stream(receiver, sender)
            stream.inbox.append(content)
            stream.deliver()

    def deliver(self):
        """Deliver the messages that were sent."""
        self._deliver_among_entries()
        unavailable = self.cut_links | self.held_links
        for process in self._list_unpaused():
            for stream in list(process.streams):
                link = (stream.peer.name, process.name)
                is_disconnected = not self.disconnected_pairs.isdisjoint(
                    (link, link[::-1])
                )
                if stream.is_open and not is_disconnected and link not in unavailable:
                    stream.deliver()

    def advance(self, seconds):
        """Run the simulation for a time."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(STEP_SECONDS)
            self.step()

    def submit(self, job_id, steps=None, queue="queue", **fields):
        """Submit a job."""
        steps = steps or (Step(tasks=2, cpu=4000, memory=100, estimate=1.0),)
        queue_ = self.configuration.get_queue(queue)
        spec = JobSpec(
            queue, job_id, SERVICE, "payload", steps, queue_.retries, **fields
        )
        self.ledger.record_job(spec)
        outcome = self.rows.accept(spec, self.clock.now() + 2.0)
        is_refused = isinstance(outcome, Failure) and isinstance(
            outcome.failure(), PlatformUnavailable
        )
        self.ledger.record_submission(job_id, is_refused)
        return outcome

    def cancel(self, job_id, queue="queue"):
        """Cancel a job through an entry that reaches the store, if there is one."""
        outcome = self.rows.cancel(queue, job_id, self.clock.now() + 2.0)
        match outcome:
            case Success(True):
                self.ledger.record_cancellation(job_id, self.clock.now())
                for entry in self._list_answering_entries()[-1:]:
                    entry.record_stored_cancellation(get_job_key(queue, job_id))
        return outcome

    def _list_answering_entries(self):
        return [
            entry
            for name, entry in self.entry_by_name.items()
            if name not in (self.paused | self.without_store)
        ]

    def finish_all(self, outcome="done"):
        """End all runs with an outcome."""
        for runner in self.runner_by_node.values():
            for task in list(runner.run_by_task):
                runner.finish(task, outcome)

    def get_state(self, job_id, queue="queue"):
        """Return the job state that is shown to callers."""
        state = self.rows.get_state(queue, job_id, self.clock.now()).unwrap()
        self.ledger.check_state(job_id, state)
        return state

    def settle(self):
        """Remove all faults and run until the processes have recovered."""
        self.heal()
        self.paused.clear()
        self.without_heartbeats.clear()
        self.without_store.clear()
        self.without_feeds.clear()
        self.store.is_down = self.machines.is_down = False
        self.store.faults, self.machines.faults = [], []
        self.store.run_late()
        for runner in self.runner_by_node.values():
            runner.is_cut = False
            runner.faults, runner.stop_faults = [], []
            runner.renewal_faults = []
            runner.run_late()
        for name in self.entry_names:
            if name not in self.entry_by_name:
                self.start_entry(name)
        self.advance(12.0)

    @property
    def leader(self):
        """Return the scheduling entry, or None."""
        return next(
            (e for e in self.entry_by_name.values() if e.dispatcher.epoch), None
        )

    @property
    def running(self):
        """Return sorted pairs of running task and its worker."""
        return sorted((task, worker) for worker, task in self.ledger.live)


def build_hello(role, name, zone, incarnation="run"):
    return Hello(protocol=1, role=role, name=name, incarnation=incarnation, zone=zone)


def build_configuration(version=1, **fields):
    options = {"priority": 0, "retries": 3, "stretch": 2.0, "slack": 1.0, **fields}
    queue_ = Queue("queue", "host.example", "/q/", SERVICE, **options)
    options["priority"] = BATCH_PRIORITY
    batch = Queue("batch", "host.example", "/batch/", SERVICE, **options)
    return SiteConfiguration(version, (queue_, batch), {SERVICE: ServicePool(SERVICE)})


def expect_absent(row_id):
    return Expect(row_id, 0)
