"""Stateful test of request guarantees under reordering, losses and restarts.

The router and the request runners are the real ones. Callers run in threads, of which
only one executes at a time, so that every run of an example is deterministic.
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
HEDGE_DELAY_SECONDS = 1.0
NODE_COUNT = 2
SETTINGS = Entry(
    callers="127.0.0.1:1",
    operators="127.0.0.1:2",
    nodes="127.0.0.1:3",
    retry_share=1.0,
    hedge_share=1.0,
)


class ThreadStepper:
    """Run callers' threads one at a time, in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.waiting_by_thread = {}
        self.thread_paused = threading.Semaphore(0)

    def wait(self, futures, seconds):
        """Block the calling thread until a future is done or the timeout expires."""
        wake = threading.Event()
        name = threading.current_thread().name
        self.waiting_by_thread[name] = (futures, self.clock.now() + seconds, wake)
        self.thread_paused.release()
        wake.wait()

    def start(self, name, function):
        """Run a function in a new thread until it blocks or ends."""

        def run():
            function()
            self.thread_paused.release()

        threading.Thread(target=run, name=name, daemon=True).start()
        self.thread_paused.acquire()

    def run_until_blocked(self):
        """Run the threads until all of them are blocked."""
        while True:
            runnable = [
                name
                for name, (futures, deadline, _) in sorted(
                    self.waiting_by_thread.items()
                )
                if self.clock.now() >= deadline or any(item.done() for item in futures)
            ]
            if not runnable:
                return
            _, _, wake = self.waiting_by_thread.pop(runnable[0])
            wake.set()
            self.thread_paused.acquire()


class SimulatedNode:
    """One node with its endpoint and its current stream to the entry."""

    def __init__(self, harness, name, run):
        self.harness = harness
        self.name = name
        self.incarnation = f"run-{run}"
        self.loop = FakeLoop(harness.clock)
        self.executor = ManualExecutor()
        self.links = FakeLinks()
        recorder = Recorder(name, self.incarnation, LamportClock(), harness.clock, 50)
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
        self.loses_answer = False
        self.delayed = []

    def run(self, request, timeout):
        """Run a request as the endpoint would."""
        self.harness.run_count_by_name[request.body.decode()] += 1
        if self.loses_answer:
            return Failure(EndpointAnswerLost("cut"))
        return Success(EndpointAnswer(200, "", request.body))

    def connect(self):
        """Open a new stream to the entry."""
        self.to_node, self.to_entry = [], []
        self.entry_side = FakeStream(self.name, self.incarnation, role="node")
        self.node_side = FakeStream("entry-1")
        self.entry_side.on_send = self.to_node.append
        self.node_side.on_send = self.to_entry.append
        self.links.streams = [self.node_side]
        self.harness.handle_stream_open(self.entry_side)

    def receive(self, message):
        """Handle a message from the entry."""
        match message:
            case RunRequest():
                self.runner.handle_run(self.node_side, message)
            case Fence(request_id=request_id):
                self.runner.handle_fence(self.node_side, request_id)


class RequestMachine(RuleBasedStateMachine):
    """Requests, deliveries, stream losses, restarts and retries in any order."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.stepper = ThreadStepper(self.clock)
        self.table = FakeTable()
        self.background_executor = ManualExecutor()
        self.directory = NodeDirectory(self.clock)
        self.run_count_by_name = Counter()
        self.outcomes_by_name = {}
        self.keyed_names = set()
        self.numbers = itertools.count(1)
        keys = KeyStore(self.table, self.background_executor, lambda seconds: None)
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
            self.stepper.wait,
        )
        self.router.hedge_timer.delay = HEDGE_DELAY_SECONDS
        self.nodes = []
        for number in range(NODE_COUNT):
            node = SimulatedNode(self, f"node-{number}", next(self.numbers))
            self.nodes.append(node)
            node.connect()

    def handle_stream_open(self, stream):
        """Handle a newly opened stream as the entry does."""
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
        self.stepper.run_until_blocked()

    def start_request(self, name, is_keyed):
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
            self.outcomes_by_name.setdefault(name, []).append(outcome)

        self.stepper.start(f"{name}/{next(self.numbers)}", serve)

    @rule(is_keyed=st.booleans())
    def send(self, is_keyed):
        name = f"c{next(self.numbers)}"
        if is_keyed:
            self.keyed_names.add(name)
        self.start_request(name, is_keyed)

    @rule(index=st.integers(0, 5))
    def retry(self, index):
        """Retry a keyed request that was not reported as completed."""
        names = sorted(
            name
            for name in self.keyed_names & set(self.outcomes_by_name)
            if not isinstance(self.outcomes_by_name[name][-1], Completed)
        )
        if names:
            self.start_request(names[index % len(names)], True)

    @rule(node_index=st.integers(0, NODE_COUNT - 1), count=st.integers(1, 4))
    def deliver_to_node(self, node_index, count):
        node = self.nodes[node_index]
        for _ in range(min(count, len(node.to_node))):
            node.receive(node.to_node.pop(0))

    @rule(node_index=st.integers(0, NODE_COUNT - 1), seed=st.integers(0, 3))
    def deliver_to_entry(self, node_index, seed):
        """Deliver the answers in any order, with the first of them duplicated."""
        node = self.nodes[node_index]
        messages, node.to_entry[:] = list(node.to_entry), []
        messages += messages[:1]
        random.Random(seed).shuffle(messages)
        for message in messages:
            if isinstance(message, RequestEnded | FenceResult):
                self.router.handle_message(message)
            self.stepper.run_until_blocked()

    @rule(node_index=st.integers(0, NODE_COUNT - 1), loses_answer=st.booleans())
    def run_endpoint(self, node_index, loses_answer):
        node = self.nodes[node_index]
        if node.executor.pending_calls:
            node.loses_answer = loses_answer
            node.executor.run_next()

    @rule(node_index=st.integers(0, NODE_COUNT - 1))
    def finish_node_work(self, node_index):
        """Deliver and process everything that is pending at a node."""
        self.deliver_to_node(node_index, len(self.nodes[node_index].to_node))
        self.nodes[node_index].executor.run_all()
        self.deliver_to_entry(node_index, 0)

    @rule(node_index=st.integers(0, NODE_COUNT - 1))
    def deliver_delayed(self, node_index):
        """Deliver the messages that were in transit when a stream was lost."""
        node = self.nodes[node_index]
        messages, node.delayed = node.delayed, []
        for message in messages:
            node.receive(message)

    @rule(node_index=st.integers(0, NODE_COUNT - 1), is_rest_delivered=st.booleans())
    def close_stream(self, node_index, is_rest_delivered):
        """Lose a stream; messages in transit are delivered now or later."""
        node = self.nodes[node_index]
        if not is_rest_delivered:
            node.delayed += node.to_node
        node.entry_side.is_open = False
        if self.directory.close(node.entry_side):
            self.router.handle_close(node.name)
        if is_rest_delivered:
            for message in node.to_node:
                node.receive(message)
        node.node_side.is_open = False
        self.stepper.run_until_blocked()

    @rule(node_index=st.integers(0, NODE_COUNT - 1))
    def reconnect(self, node_index):
        node = self.nodes[node_index]
        if not node.entry_side.is_open:
            node.connect()

    @rule(node_index=st.integers(0, NODE_COUNT - 1), is_work_finished=st.booleans())
    def restart(self, node_index, is_work_finished):
        """Kill a node; requests already at its endpoint may still run."""
        killed = self.nodes[node_index]
        if is_work_finished:
            killed.links.streams = []
            killed.executor.run_all()
        self.close_stream(node_index, is_rest_delivered=False)
        self.nodes[node_index] = SimulatedNode(self, killed.name, next(self.numbers))
        self.nodes[node_index].connect()

    @rule(seconds=st.sampled_from([0.3, 1.1, 6.0]))
    def advance(self, seconds):
        self.clock.advance(seconds)
        for node in self.nodes:
            node.loop.run_due()
        self.stepper.run_until_blocked()

    @rule()
    def run_background(self):
        self.background_executor.run_all()

    @rule(faults=st.lists(st.sampled_from(["lost", "cut", "down"]), max_size=3))
    def fail_table(self, faults):
        self.table.faults = list(faults)

    @invariant()
    def keyed_requests_run_at_most_once(self):
        assert all(self.run_count_by_name[name] <= 1 for name in self.keyed_names)

    @invariant()
    def not_run_means_never_run(self):
        for name, outcomes in self.outcomes_by_name.items():
            if all(isinstance(item, NotRun) for item in outcomes):
                is_retried = any(
                    key.startswith(f"{name}/") for key in self.stepper.waiting_by_thread
                )
                assert self.run_count_by_name[name] == 0 or is_retried

    @invariant()
    def answers_are_complete_and_match_their_requests(self):
        for name, outcomes in self.outcomes_by_name.items():
            for outcome in outcomes:
                if isinstance(outcome, Completed):
                    assert outcome.body == name.encode()

    def teardown(self):
        """Check that every caller gets a final outcome by its deadline."""
        self.advance(DEADLINE_SECONDS + 1)
        assert not self.stepper.waiting_by_thread
        assert self.router.in_flight == 0
        for node in self.nodes:
            node.executor.run_all()
        self.keyed_requests_run_at_most_once()
        self.not_run_means_never_run()


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)
