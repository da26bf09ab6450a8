"""A small site in virtual time: real schedulers, task runners and sessions over fakes.

Entries and nodes exchange messages over links that a test can hold, reorder and double;
clocks are shared, processes can be paused and replaced, the table can fail.
"""

import itertools
import random
from types import SimpleNamespace

from returns.result import Failure, Success

from bergamotshore.core.capacity import Size, get_size
from bergamotshore.core.configuration import Configuration
from bergamotshore.entry.configuration import ConfigurationStore
from bergamotshore.entry.directory import NodeDirectory
from bergamotshore.entry.jobstore import JobStore
from bergamotshore.entry.scheduler import TaskScheduler
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.generated.document import Quota, Section, SiteSection, Zone
from bergamotshore.generated.messages import (
    AckTask,
    Announce,
    StartTask,
    StopTask,
    TaskEnded,
    TaskInventory,
)
from bergamotshore.generated.settings import Entry, Node
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.session import SessionManager
from bergamotshore.node.tasks import TaskRunner
from bergamotshore.ports.worker import WorkerStatus, WorkerTask
from bergamotshore.timeline.recorder import LamportClock, Recorder
from tests.fakes import FakeClock, FakeLoop, FakeStream, FakeTable, ManualExecutor

STEP_SECONDS = 0.25
TTL_SECONDS = 4.0
RAMP_SECONDS = 2.0
START_WITHIN_SECONDS = 2.0
HEARTBEAT_SECONDS = 0.5
SIZE = Size(4.0, 16.0)
ZONE_BY_NODE = {"node-1": "zone-a", "node-2": "zone-b"}
ENTRY_SETTINGS = Entry(
    callers="127.0.0.1:1",
    operators="127.0.0.1:2",
    nodes="127.0.0.1:3",
    rescan=0.5,
    rescan_sessions=0.5,
    start_within=START_WITHIN_SECONDS,
)
NODE_SETTINGS = Node(start_within=START_WITHIN_SECONDS, session_ttl=TTL_SECONDS)


class ModelWorker:
    """A worker that keeps leases and remembers every start."""

    def __init__(self, clock, node, site):
        self.clock = clock
        self.node = node
        self.site = site
        self.boots = itertools.count(1)
        self.fault = "none"
        self.stops_to_fail = 0
        self.fails_everything = False
        self.restart()

    def restart(self):
        """Lose everything, as a machine that is replaced does."""
        self.boot = f"boot-{next(self.boots)}"
        self.task_by_key = {}
        self.lease_end = 0.0

    def list_running(self):
        """Return the attempts that make progress now."""
        if self.clock.now() >= self.lease_end:
            return []
        return [
            key for key, task in self.task_by_key.items() if task.state == "running"
        ]

    def tick(self):
        """Stop what runs without a lease, and fail what is to fail."""
        if self.fails_everything:
            for task in self.task_by_key.values():
                if task.state == "running":
                    task.state = "failed"
        if self.clock.now() >= self.lease_end:
            for task in self.task_by_key.values():
                if task.state == "running":
                    task.state = "stopped"

    def get_status(self):
        tasks = [
            WorkerTask(
                job=key[0],
                index=key[1],
                attempt=key[2],
                state=task.state,
                checkpoint=task.checkpoint,
                result=task.result,
                processors=task.size.processors,
                memory_gb=task.size.memory_gb,
            )
            for key, task in self.task_by_key.items()
        ]
        return Success(
            WorkerStatus(boot=self.boot, processors=4.0, memory_gb=16.0, tasks=tasks)
        )

    def start(self, attempt, spec, checkpoint, lease_end):
        fault, self.fault = self.fault, "none"
        if fault == "refused":
            return Failure(WorkerFailure("refused", is_certain=True))
        if fault == "cut":
            return Failure(WorkerFailure("cut", is_certain=False))
        key = (attempt.job, attempt.index, attempt.attempt)
        if key in self.task_by_key:
            return Failure(WorkerFailure("known", is_certain=True))
        self.lease_end = max(self.lease_end, lease_end)
        self.task_by_key[key] = SimpleNamespace(
            state="running", checkpoint=checkpoint, result="", size=get_size(spec)
        )
        self.site.record_start(key, self.node)
        if fault == "lost":
            return Failure(WorkerFailure("lost", is_certain=False))
        return Success(None)

    def renew(self, lease_end):
        self.lease_end = max(self.lease_end, lease_end)
        return Success(None)

    def stop(self, attempt, with_checkpoint):
        if self.stops_to_fail:
            self.stops_to_fail -= 1
            return Failure(WorkerFailure("cut", is_certain=False))
        key = (attempt.job, attempt.index, attempt.attempt)
        task = self.task_by_key.setdefault(
            key, SimpleNamespace(state="stopped", checkpoint="", result="", size=Size())
        )
        if task.state == "running":
            task.state = "stopped"
            if with_checkpoint:
                task.checkpoint = f"checkpoint-{key[2]}"
        return Success(
            WorkerTask(
                job=key[0],
                index=key[1],
                attempt=key[2],
                state=task.state,
                checkpoint=task.checkpoint,
                result=task.result,
            )
        )

    def forget(self, attempt):
        key = (attempt.job, attempt.index, attempt.attempt)
        task = self.task_by_key.get(key)
        if task is not None and task.state != "running":
            del self.task_by_key[key]
        return Success(None)

    def complete(self, key):
        """Let a running task reach its end."""
        task = self.task_by_key[key]
        task.state = "completed"
        task.result = f"result-{key[2]}"


class Link:
    """Both directions between one entry and one node."""

    def __init__(self, entry, node):
        self.entry = entry
        self.node = node
        self.is_held = False
        self.is_doubling = False
        self.to_node = []
        self.to_entry = []
        self.entry_side = FakeStream(node.name, node.incarnation, node.zone, "node")
        self.node_side = FakeStream(entry.name, entry.incarnation)
        self.entry_side.on_send = self.to_node.append
        self.node_side.on_send = self.to_entry.append

    def beat(self):
        """Exchange heartbeats unless the link is held."""
        if not self.is_held:
            self.entry_side.peer_clock = self.node.clock.now()
            self.node_side.peer_clock = self.entry.clock.now()
            self.to_entry.append(self.node.announce())

    def deliver(self):
        """Hand over all that waits."""
        if not self.node.is_paused:
            messages, self.to_node[:] = self._copy(self.to_node), []
            for message in messages:
                self.node.receive(self.node_side, message)
        if not self.entry.is_paused:
            messages, self.to_entry[:] = self._copy(self.to_entry), []
            for message in messages:
                self.entry.receive(self.entry_side, message)

    def _copy(self, messages):
        copies = 2 if self.is_doubling else 1
        return [message for message in messages for _ in range(copies)]


class ModelEntry:
    """One entry: a real scheduler with its stores."""

    def __init__(self, site, name, run):
        self.name = name
        self.clock = site.clock
        self.incarnation = f"run-{run}"
        self.is_paused = False
        self.is_blind = False
        recorder = Recorder(name, self.incarnation, LamportClock(), site.clock, 100)
        self.configuration = ConfigurationStore(
            site.table, recorder, site.clock, RAMP_SECONDS
        )
        self.configuration.configuration = site.configuration
        self.directory = NodeDirectory(site.clock)
        self.jobs = JobStore(site.table, recorder.lamport)
        self.scheduler = TaskScheduler(
            site.table,
            self.jobs,
            self.configuration,
            self.directory,
            lambda bucket: True,
            ENTRY_SETTINGS,
            site.clock,
            recorder,
            Registry(),
            random.Random(run),
        )
        self.scheduler.reconciled_version = site.configuration.version

    def receive(self, stream, message):
        match message:
            case Announce() | TaskInventory():
                self.directory.record_message(stream, message)
            case TaskEnded():
                self.scheduler.report(stream.peer.name, message)

    def step(self):
        if not self.is_blind:
            self.configuration._refresh_gates()
        self.scheduler.step()


class ModelNode:
    """One node process: a real task runner and a real session keeper."""

    def __init__(self, site, name, run, worker):
        self.name = name
        self.zone = ZONE_BY_NODE[name]
        self.clock = site.clock
        self.incarnation = f"run-{run}"
        self.is_paused = False
        self.worker = worker
        self.loop = FakeLoop(site.clock)
        self.executor = ManualExecutor()
        self.streams = []
        recorder = Recorder(name, self.incarnation, LamportClock(), site.clock, 100)
        links = SimpleNamespace(list_streams=lambda: list(self.streams))
        self.session = SessionManager(
            site.table,
            name,
            self.zone,
            TTL_SECONDS,
            site.clock,
            recorder,
            lambda: self.tasks.worker_boot,
            lambda: self.tasks.evict_all(),
        )
        self.tasks = TaskRunner(
            self.loop,
            self.executor,
            worker,
            links,
            self.session.get_session,
            self.session.get_lease_end,
            lambda: True,
            NODE_SETTINGS,
            recorder,
            Registry(),
        )
        self.tasks.start()
        self.next_session_step = site.clock.now()

    def announce(self):
        return Announce(
            service="",
            slots=0,
            connections=0,
            draining=False,
            session=self.session.get_session(),
            processors=SIZE.processors,
            memory_gb=SIZE.memory_gb,
            accelerators=0,
        )

    def receive(self, stream, message):
        match message:
            case StartTask():
                self.tasks.handle_start(stream, message)
            case StopTask():
                self.tasks.handle_stop(message)
            case AckTask():
                self.tasks.handle_ack(message)
        self.executor.run_all()

    def step(self):
        if self.clock.now() >= self.next_session_step:
            self.next_session_step = self.clock.now() + self.session.step()
        self.loop.run_due()
        self.executor.run_all()


class ModelSite:
    """Two entries, two nodes with their workers, one table."""

    def __init__(self):
        self.clock = FakeClock()
        self.table = FakeTable()
        self.configuration = Configuration(
            version=1,
            site=SiteSection(version=1, zones={"zone-a": Zone(), "zone-b": Zone()}),
            teams={"t": Section(version=1, quota=Quota(processors=100.0))},
        )
        self.runs = itertools.count(1)
        self.starts = []
        self.closed_since_by_zone = {}
        self.worker_by_node = {
            name: ModelWorker(self.clock, name, self) for name in ZONE_BY_NODE
        }
        self.entries = [self._build_entry("entry-1"), self._build_entry("entry-2")]
        self.nodes = [self._build_node(name) for name in ZONE_BY_NODE]
        self.links = []
        self._connect_all()

    def _build_entry(self, name):
        return ModelEntry(self, name, next(self.runs))

    def _build_node(self, name):
        return ModelNode(self, name, next(self.runs), self.worker_by_node[name])

    def _connect_all(self):
        for entry, node in itertools.product(self.entries, self.nodes):
            self._connect(entry, node)

    def _connect(self, entry, node):
        link = Link(entry, node)
        self.links.append(link)
        entry.directory.open(link.entry_side)
        node.streams.append(link.node_side)

    def replace_entry(self, position):
        """Kill an entry and start another under its name."""
        old = self.entries[position]
        self.links = [link for link in self.links if link.entry is not old]
        for node in self.nodes:
            node.streams = [s for s in node.streams if s.peer.name != old.name]
        self.entries[position] = self._build_entry(old.name)
        for node in self.nodes:
            self._connect(self.entries[position], node)

    def replace_node(self, position, with_worker):
        """Kill a node process, with its worker or without."""
        old = self.nodes[position]
        self.links = [link for link in self.links if link.node is not old]
        if with_worker:
            self.worker_by_node[old.name].restart()
        self.nodes[position] = self._build_node(old.name)
        for entry in self.entries:
            self._connect(entry, self.nodes[position])

    def record_start(self, key, node):
        """Keep a start as the worker saw it."""
        self.starts.append((key, node, self.clock.now()))
        closed_since = self.closed_since_by_zone.get(ZONE_BY_NODE[node])
        if closed_since is not None:
            age = self.clock.now() - closed_since
            assert age <= START_WITHIN_SECONDS, f"started {age} s after the gate closed"

    def set_gate(self, zone, is_open):
        """Take a data centre out or bring it back, as an operator does."""
        outcome = self.entries[0].configuration.set_gate(zone, is_open, "site")
        if isinstance(outcome, Success):
            if is_open:
                self.closed_since_by_zone.pop(zone, None)
            else:
                self.closed_since_by_zone.setdefault(zone, self.clock.now())

    def advance(self, seconds):
        """Let time pass in small steps."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for worker in self.worker_by_node.values():
                worker.tick()
            if self.clock.now() % HEARTBEAT_SECONDS == 0:
                for link in self.links:
                    link.beat()
            for node in self.nodes:
                if not node.is_paused:
                    node.step()
            for link in self.links:
                if not link.is_held:
                    link.deliver()
            for entry in self.entries:
                if not entry.is_paused:
                    entry.step()
            self.check()

    def check(self):
        """Check every promise that must hold at any moment."""
        live = [key for w in self.worker_by_node.values() for key in w.list_running()]
        tasks = [key[:2] for key in live]
        assert len(tasks) == len(set(tasks)), f"in two places: {live}"
        started = [key for key, _, _ in self.starts]
        assert len(started) == len(set(started)), "an attempt was started twice"
        for worker in self.worker_by_node.values():
            used = sum(
                (worker.task_by_key[key].size for key in worker.list_running()), Size()
            )
            assert SIZE.fits(used), f"{worker.node} holds too much: {used}"

    def heal(self):
        """End every fault."""
        self.table.is_down = False
        self.table.faults = []
        for member in [*self.entries, *self.nodes]:
            member.is_paused = False
        for entry in self.entries:
            entry.is_blind = False
        for worker in self.worker_by_node.values():
            worker.stops_to_fail = 0
        for link in self.links:
            link.is_held = False
            link.is_doubling = False
        for zone in ZONE_BY_NODE.values():
            self.set_gate(zone, True)
