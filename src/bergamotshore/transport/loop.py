"""A loop over sockets and timers in one thread."""

import heapq
import itertools
import selectors
import socket
import threading

from loguru import logger

IDLE_SECONDS = 1.0
WAKE_BYTES = 4096


class Loop:
    """Call handlers of sockets that are ready, of due timers and from other threads.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self.clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers = []
        self._count = itertools.count()
        self._lock = threading.Lock()
        self._calls = []
        self._is_stopping = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.register(self._wake_reader, selectors.EVENT_READ, self._drain_wakes)

    def register(self, sock, events, handler):
        """Call ``handler(events)`` when a socket is ready."""
        self._selector.register(sock, events, handler)

    def modify(self, sock, events, handler):
        """Change what a socket waits for."""
        self._selector.modify(sock, events, handler)

    def unregister(self, sock):
        """Stop watching a socket."""
        self._selector.unregister(sock)

    def call(self, function, *arguments):
        """Call a function soon, from any thread."""
        with self._lock:
            self._calls.append((function, arguments))
        self._wake()

    def call_later(self, delay, function, *arguments):
        """Call a function after some seconds; from the loop's thread only."""
        due = self.clock.now() + delay
        entry = (due, next(self._count), function, arguments)
        heapq.heappush(self._timers, entry)

    def run(self):
        """Run until ``stop`` is called."""
        while not self._is_stopping:
            self.step(self._get_wait())
        self._selector.close()
        self._wake_reader.close()

    def step(self, wait):
        """Handle what is ready, waiting some seconds at most."""
        for key, events in self._selector.select(wait):
            self._guard(key.data, events)
        with self._lock:
            calls, self._calls = self._calls, []
        for function, arguments in calls:
            self._guard(function, *arguments)
        self._run_timers()

    def stop(self):
        """Make ``run`` return."""
        self._is_stopping = True
        self._wake()

    def _run_timers(self):
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, function, arguments = heapq.heappop(self._timers)
            self._guard(function, *arguments)

    def _get_wait(self):
        if not self._timers:
            return IDLE_SECONDS
        wait = self._timers[0][0] - self.clock.now()
        return min(IDLE_SECONDS, max(0.0, wait))

    def _wake(self):
        try:
            self._wake_writer.send(b"w")
        except OSError:
            pass

    def _drain_wakes(self, events):
        try:
            self._wake_reader.recv(WAKE_BYTES)
        except OSError:
            pass

    @staticmethod
    def _guard(function, *arguments):
        try:
            function(*arguments)
        except Exception:
            logger.exception("a handler of the loop failed")
