"""In-memory fakes of the ports, shared by all tests."""

import heapq
import itertools
from concurrent.futures import Future

from returns.result import Failure, Success

from bergamotshore.exceptions import (
    Conflict,
    PlatformUnavailable,
    PlatformUncertain,
)
from bergamotshore.generated.messages import Hello
from bergamotshore.ports.table import TableRow


class FakeClock:
    """A clock that is advanced by the test."""

    def __init__(self):
        self.instant = 1000.0

    def now(self):
        return self.instant

    def wall(self):
        return self.instant

    def advance(self, seconds):
        self.instant += seconds


class FakeTable:
    """An in-memory table with fault injection.

    ``faults`` lists the faults of the next transactions in order: 'none', 'down' (call
    not accepted), 'lost' (written, response lost) or 'cut' (not written, response
    lost).
    """

    def __init__(self):
        self.row_by_key = {}
        self.last_version = 0
        self.faults = []
        self.is_down = False
        self.transactions = 0

    def get(self, keys):
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        return Success({key: self._read(key) for key in keys})

    def scan(self, prefix):
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        keys = sorted(key for key in self.row_by_key if key.startswith(prefix))
        return Success([self._read(key) for key in keys])

    def transact(self, checks, writes):
        if self.is_down:
            return Failure(PlatformUnavailable("down"))
        fault = self.faults.pop(0) if self.faults else "none"
        match fault:
            case "down":
                return Failure(PlatformUnavailable("down"))
            case "cut":
                return Failure(PlatformUncertain("cut"))
            case "lost":
                self._write(checks, writes)
                return Failure(PlatformUncertain("lost"))
        return self._write(checks, writes)

    def _write(self, checks, writes):
        for item in [*checks, *writes]:
            found = self._read(item.key).version
            if found != item.version:
                return Failure(Conflict(item.key, found))
        self.transactions += 1
        self.last_version += 1
        for write in writes:
            if write.value is None:
                self.row_by_key.pop(write.key, None)
            else:
                row = TableRow(write.key, self.last_version, write.value)
                self.row_by_key[write.key] = row
        return Success({write.key: self.last_version for write in writes})

    def _read(self, key):
        return self.row_by_key.get(key, TableRow(key, 0, b""))


class FakeLoop:
    """An event loop whose timers run when the clock is advanced."""

    def __init__(self, clock):
        self.clock = clock
        self._timers = []
        self._count = itertools.count()

    def call(self, function, *arguments):
        function(*arguments)

    def call_later(self, delay, function, *arguments):
        due = self.clock.now() + delay
        heapq.heappush(self._timers, (due, next(self._count), function, arguments))

    def run_due(self):
        """Run all due timers, when the clock was advanced from outside this loop."""
        while self._timers and self._timers[0][0] <= self.clock.now():
            _, _, function, arguments = heapq.heappop(self._timers)
            function(*arguments)

    def advance(self, seconds):
        until = self.clock.now() + seconds
        while self._timers and self._timers[0][0] <= until:
            due, _, function, arguments = heapq.heappop(self._timers)
            self.clock.instant = max(self.clock.instant, due)
            function(*arguments)
        self.clock.instant = until


class ManualExecutor:
    """An executor that runs submitted calls only when the test requests it."""

    def __init__(self):
        self.pending_calls = []

    def submit(self, function, *arguments):
        future = Future()
        self.pending_calls.append((function, arguments))
        return future

    def run_next(self, position=0):
        function, arguments = self.pending_calls.pop(position)
        function(*arguments)

    def run_all(self):
        while self.pending_calls:
            self.run_next()


class FakeStream:
    """A stream that records the messages sent on it."""

    def __init__(self, name, incarnation="run-1", zone="zone-a", role="entry"):
        self.peer = Hello(
            protocol=1, role=role, name=name, incarnation=incarnation, zone=zone
        )
        self.peer_clock = self.peer_clock_received_at = 0.0
        self.sent = []
        self.is_open = True
        self.on_send = None

    def send(self, message):
        if not self.is_open:
            return False
        self.sent.append(message)
        if self.on_send is not None:
            self.on_send(message)
        return True

    def close(self, reason):
        self.is_open = False

    def list_sent(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


class FakeLinks:
    """A node's streams to the entries."""

    def __init__(self):
        self.streams = []

    def list_streams(self):
        return [stream for stream in self.streams if stream.is_open]

    def find_stream(self, incarnation):
        for stream in self.list_streams():
            if stream.peer.incarnation == incarnation:
                return stream
        return None

    def broadcast(self, message):
        for stream in self.list_streams():
            stream.send(message)
