"""Single-threaded event loop for sockets and timers."""

import heapq
import itertools
import selectors
import socket
import threading

from loguru import logger

MAX_WAIT_SECONDS = 1.0
WAKEUP_READ_BYTES = 4096


class Loop:
    """Run handlers of ready sockets, due timers and calls from other threads.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self.clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers = []
        self._timer_numbers = itertools.count()
        self._lock = threading.Lock()
        self._pending_calls = []
        self._is_stopping = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.register(self._wake_reader, selectors.EVENT_READ, self._drain_wakeups)

    def register(self, sock, events, handler):
        """Call ``handler(events)`` when a socket is ready."""
        self._selector.register(sock, events, handler)

    def modify(self, sock, events, handler):
        """Change the events and the handler of a socket."""
        self._selector.modify(sock, events, handler)

    def unregister(self, sock):
        """Remove a socket from the loop."""
        self._selector.unregister(sock)

    def call(self, function, *arguments):
        """Schedule a function for the next step; safe to call from any thread."""
        with self._lock:
            self._pending_calls.append((function, arguments))
        self._wake()

    def call_later(self, delay, function, *arguments):
        """Schedule a function after a delay in seconds; only from the loop's thread."""
        due = self.clock.now() + delay
        entry = (due, next(self._timer_numbers), function, arguments)
        heapq.heappush(self._timers, entry)

    def run(self):
        """Run until ``stop`` is called."""
        while not self._is_stopping:
            self.step(self._get_wait_seconds())
        self._selector.close()
        self._wake_reader.close()

    def step(self, wait):
        """Run one iteration, waiting at most ``wait`` seconds for an event."""
        for key, events in self._selector.select(wait):
            self._call_safely(key.data, events)
        with self._lock:
            calls, self._pending_calls = self._pending_calls, []
        for function, arguments in calls:
            self._call_safely(function, *arguments)
        self._run_timers()

    def stop(self):
        """Make ``run`` return."""
        self._is_stopping = True
        self._wake()

    def _run_timers(self):
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, function, arguments = heapq.heappop(self._timers)
            self._call_safely(function, *arguments)

    def _get_wait_seconds(self):
        if not self._timers:
            return MAX_WAIT_SECONDS
        wait = self._timers[0][0] - self.clock.now()
        return min(MAX_WAIT_SECONDS, max(0.0, wait))

    def _wake(self):
        try:
            self._wake_writer.send(b"w")
        except OSError:
            pass

    def _drain_wakeups(self, events):
        try:
            self._wake_reader.recv(WAKEUP_READ_BYTES)
        except OSError:
            pass

    @staticmethod
    def _call_safely(function, *arguments):
        try:
            function(*arguments)
        except Exception:
            logger.exception("unhandled exception in an event loop handler")
