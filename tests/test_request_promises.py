"""The promises about requests over any order of deliveries, losses and restarts.

Real routers and request runners. Callers run in threads of which one moves at a time,
so that every run of an example is the same.
"""

import itertools
import random
import threading
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Success

from bergamotshore.entry.directory import NodeDirectory
from bergamotshore.entry.keys import KeyStore
from bergamotshore.entry.outcomes import CallerRequest, Completed, NotRun
from bergamotshore.entry.router import RequestRouter
from bergamotshore.exceptions import EndpointAnswerLost
from bergamotshore.generated.messages import (
    Announce,
    Fence,
    FenceResult,
    RequestEnded,
    RunRequest,
)
from bergamotshore.generated.settings import Entry
from bergamotshore.metrics.registry import Registry
from bergamotshore.node.requests import RequestRunner
from bergamotshore.ports.endpoint import EndpointAnswer
from bergamotshore.timeline.recorder import LamportClock, Recorder
from tests.fakes import (
    FakeClock,
    FakeLinks,
    FakeLoop,
    FakeStream,
    FakeTable,
    ManualExecutor,
)

DEADLINE_SECONDS = 5.0
HEDGE_SECONDS = 1.0
NODES = 2
SETTINGS = Entry(
    callers="127.0.0.1:1",
    operators="127.0.0.1:2",
    nodes="127.0.0.1:3",
    retry_share=1.0,
    hedge_share=1.0,
)


class Turns:
    """Let callers' threads move one at a time, in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.parked = {}
        self.turn = threading.Semaphore(0)

    def wait(self, futures, seconds):
        """Park the calling thread until a future is done or the time is over."""
        wake = threading.Event()
        name = threading.current_thread().name
        self.parked[name] = (futures, self.clock.now() + seconds, wake)
        self.turn.release()
        wake.wait()

    def start(self, name, function):
        """Run a function in a thread until it parks or ends."""

        def run():
            function()
            self.turn.release()

        threading.Thread(target=run, name=name, daemon=True).start()
        self.turn.acquire()

    def settle(self):
        """Move every thread that can move, until none can."""
        while True:
            ready = [
                name
                for name, (futures, until, _) in sorted(self.parked.items())
                if self.clock.now() >= until or any(item.done() for item in futures)
            ]
            if not ready:
                return
            _, _, wake = self.parked.pop(ready[0])
            wake.set()
            self.turn.acquire()


class Node:
    """One node with its endpoint, and its present stream."""

    def __init__(self, site, name, run):
        self.site = site
        self.name = name
        self.incarnation = f"run-{run}"
        self.loop = FakeLoop(site.clock)
        self.executor = ManualExecutor()
        self.links = FakeLinks()
        recorder = Recorder(name, self.incarnation, LamportClock(), site.clock, 50)
        self.runner = RequestRunner(
            self.loop,
            self.executor,
            self,
            self.links,
            lambda: True,
            recorder,
            Registry(),
        )
        self.runner.service = "books"
        self.runner.ledger.resize(1, 3)
        self.runner.start()
        self.is_answer_lost = False
        self.late = []

    def run(self, request, timeout):
        """Run a request as the endpoint does."""
        self.site.runs[request.body.decode()] += 1
        if self.is_answer_lost:
            return Failure(EndpointAnswerLost("cut"))
        return Success(EndpointAnswer(200, "", request.body))

    def connect(self):
        """Open a fresh stream to the entry."""
        self.to_node, self.to_entry = [], []
        self.entry_side = FakeStream(self.name, self.incarnation, role="node")
        self.node_side = FakeStream("entry-1")
        self.entry_side.on_send = self.to_node.append
        self.node_side.on_send = self.to_entry.append
        self.links.streams = [self.node_side]
        self.site.open(self.entry_side)

    def receive(self, message):
        """Take a message of the entry."""
        match message:
            case RunRequest():
                self.runner.handle_run(self.node_side, message)
            case Fence(request_id=request_id):
                self.runner.handle_fence(self.node_side, request_id)


class RequestMachine(RuleBasedStateMachine):
    """Any order of sends, deliveries, cuts, restarts, answers and retries."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.turns = Turns(self.clock)
        self.table = FakeTable()
        self.background = ManualExecutor()
        self.directory = NodeDirectory(self.clock)
        self.runs = Counter()
        self.outcomes = {}
        self.keyed = set()
        self.counts = itertools.count(1)
        keys = KeyStore(self.table, self.background, lambda seconds: None)
        self.router = RequestRouter(
            "entry-run",
            self.directory,
            lambda zone, node: True,
            keys,
            SETTINGS,
            self.clock,
            Registry(),
            Recorder("entry-1", "run", LamportClock(), self.clock, 50),
            random.Random(1),
            self.turns.wait,
        )
        self.router.hedge_timer.delay = HEDGE_SECONDS
        self.nodes = []
        for number in range(NODES):
            node = Node(self, f"node-{number}", next(self.counts))
            self.nodes.append(node)
            node.connect()

    def open(self, stream):
        """Take in a fresh stream as the entry does."""
        self.directory.open(stream)
        announce = Announce(
            service="books",
            slots=1,
            connections=3,
            draining=False,
            session="",
            processors=1,
            memory_gb=1,
            accelerators=0,
        )
        self.directory.record_message(stream, announce)
        self.router.handle_open(stream)
        self.turns.settle()

    def call(self, name, is_keyed):
        request = CallerRequest(
            service="books",
            method="POST",
            path="/x",
            content_type="",
            body=name.encode(),
            deadline=self.clock.now() + DEADLINE_SECONDS,
            repeatable=not is_keyed,
            idempotency_key=name if is_keyed else "",
        )

        def serve():
            outcome = self.router.serve(request)
            self.outcomes.setdefault(name, []).append(outcome)

        self.turns.start(f"{name}/{next(self.counts)}", serve)

    @rule(is_keyed=st.booleans())
    def send(self, is_keyed):
        name = f"c{next(self.counts)}"
        if is_keyed:
            self.keyed.add(name)
        self.call(name, is_keyed)

    @rule(position=st.integers(0, 5))
    def retry(self, position):
        """Let a caller send again what it was not told to be completed."""
        names = sorted(
            name
            for name in self.keyed & set(self.outcomes)
            if not isinstance(self.outcomes[name][-1], Completed)
        )
        if names:
            self.call(names[position % len(names)], True)

    @rule(position=st.integers(0, NODES - 1), count=st.integers(1, 4))
    def deliver_to_node(self, position, count):
        node = self.nodes[position]
        for _ in range(min(count, len(node.to_node))):
            node.receive(node.to_node.pop(0))

    @rule(position=st.integers(0, NODES - 1), seed=st.integers(0, 3))
    def deliver_to_entry(self, position, seed):
        """Hand answers over, in any order and some of them twice."""
        node = self.nodes[position]
        messages, node.to_entry[:] = list(node.to_entry), []
        messages += messages[:1]
        random.Random(seed).shuffle(messages)
        for message in messages:
            if isinstance(message, RequestEnded | FenceResult):
                self.router.handle_message(message)
            self.turns.settle()

    @rule(position=st.integers(0, NODES - 1), is_answer_lost=st.booleans())
    def run_endpoint(self, position, is_answer_lost):
        node = self.nodes[position]
        if node.executor.pending_calls:
            node.is_answer_lost = is_answer_lost
            node.executor.run_next()

    @rule(position=st.integers(0, NODES - 1))
    def flow(self, position):
        """Let a node and its endpoint do all that is to be done."""
        self.deliver_to_node(position, len(self.nodes[position].to_node))
        self.nodes[position].executor.run_all()
        self.deliver_to_entry(position, 0)

    @rule(position=st.integers(0, NODES - 1))
    def deliver_late(self, position):
        """Hand over what was still on its way when a stream was lost."""
        node = self.nodes[position]
        messages, node.late = node.late, []
        for message in messages:
            node.receive(message)

    @rule(position=st.integers(0, NODES - 1), has_rest_arrived=st.booleans())
    def cut(self, position, has_rest_arrived):
        """Lose a stream; what was sent may have arrived, or arrive late."""
        node = self.nodes[position]
        if not has_rest_arrived:
            node.late += node.to_node
        node.entry_side.is_open = False
        if self.directory.close(node.entry_side):
            self.router.handle_close(node.name)
        if has_rest_arrived:
            for message in node.to_node:
                node.receive(message)
        node.node_side.is_open = False
        self.turns.settle()

    @rule(position=st.integers(0, NODES - 1))
    def reconnect(self, position):
        node = self.nodes[position]
        if not node.entry_side.is_open:
            node.connect()

    @rule(position=st.integers(0, NODES - 1), has_run=st.booleans())
    def restart(self, position, has_run):
        """Kill a node; what it had handed to the endpoint may run on."""
        old = self.nodes[position]
        if has_run:
            old.links.streams = []
            old.executor.run_all()
        self.cut(position, has_rest_arrived=False)
        self.nodes[position] = Node(self, old.name, next(self.counts))
        self.nodes[position].connect()

    @rule(seconds=st.sampled_from([0.3, 1.1, 6.0]))
    def advance(self, seconds):
        self.clock.advance(seconds)
        for node in self.nodes:
            node.loop.run_due()
        self.turns.settle()

    @rule()
    def run_background(self):
        self.background.run_all()

    @rule(faults=st.lists(st.sampled_from(["lost", "cut", "down"]), max_size=3))
    def fail_table(self, faults):
        self.table.faults = list(faults)

    @invariant()
    def keyed_requests_run_once(self):
        assert all(self.runs[name] <= 1 for name in self.keyed)

    @invariant()
    def not_run_is_true(self):
        for name, outcomes in self.outcomes.items():
            if all(isinstance(item, NotRun) for item in outcomes):
                is_retried = any(
                    key.startswith(f"{name}/") for key in self.turns.parked
                )
                assert self.runs[name] == 0 or is_retried

    @invariant()
    def answers_are_whole_and_own(self):
        for name, outcomes in self.outcomes.items():
            for outcome in outcomes:
                if isinstance(outcome, Completed):
                    assert outcome.body == name.encode()

    def teardown(self):
        """Every caller gets a final outcome by its deadline."""
        self.advance(DEADLINE_SECONDS + 1)
        assert not self.turns.parked
        assert self.router.in_flight == 0
        for node in self.nodes:
            node.executor.run_all()
        self.keyed_requests_run_once()
        self.not_run_is_true()


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)
