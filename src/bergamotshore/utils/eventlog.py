"""Structured log lines on standard output, bounded and never blocking.

One line for each decision that touches a request or changes what the process believes.
A line that can not be written in time is dropped and counted.
"""

import collections
import sys
import threading

from loguru import logger

# Lines of one kind a second; what is over is counted and told with the next line.
LINES_PER_SECOND = 40
# Lines that may wait for a reader that is slow.
MAX_BUFFERED_LINES = 2000
WINDOW_SECONDS = 1.0
FLUSH_SECONDS = 0.2


class LineWriter:
    """Write lines to a stream from a thread of its own.

    :param target: Text stream.
    """

    def __init__(self, target):
        self._target = target
        self._lines = collections.deque()
        self._ready = threading.Event()
        self.dropped = 0

    def write(self, line):
        """Queue a line; drops it when too many wait."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(str(line))
        self._ready.set()

    def run(self):
        """Write lines until the process ends."""
        while True:
            self._ready.wait()
            self._ready.clear()
            self.flush()

    def flush(self):
        """Write all lines that wait."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if not lines:
            return
        if self.dropped:
            lines.append(f"event=lines-dropped count={self.dropped}\n")
            self.dropped = 0
        try:
            self._target.write("".join(lines))
            self._target.flush()
        except (OSError, ValueError):
            self.dropped += len(lines)


class EventLog:
    """Write one structured line an event, within a budget for each kind.

    :param clock: ``Clock``.
    :param emit: Takes the text of a line.
    """

    def __init__(self, clock, emit=None):
        self._clock = clock
        self._emit = emit or logger.info
        self._lock = threading.Lock()
        self._window_by_kind = {}

    def write(self, kind, subject, **inputs):
        """Write an event.

        :param kind: Kind of event, such as ``start-refused``.
        :param subject: Job, task, worker, node or version concerned.
        :param inputs: What decided it, and the outcome.
        """
        omitted = self._admit(kind)
        if omitted is None:
            return
        if omitted:
            inputs["omitted_before"] = omitted
        fields = "".join(f" {name}={_show(value)}" for name, value in inputs.items())
        self._emit(f"event={kind} subject={subject}{fields}".replace("{", "("))

    def _admit(self, kind):
        """Return the number of lines left out before this one; None to leave it out."""
        now = self._clock.now()
        with self._lock:
            started, written, omitted = self._window_by_kind.get(kind, (now, 0, 0))
            if now - started >= WINDOW_SECONDS:
                started, written = now, 0
            if written >= LINES_PER_SECOND:
                self._window_by_kind[kind] = (started, written, omitted + 1)
                return None
            self._window_by_kind[kind] = (started, written + 1, 0)
            return omitted


def _show(value):
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return repr(text) if " " in text or not text else text


def start_line_writer(target=None):
    """Start the thread that writes lines; returns the ``LineWriter``."""
    writer = LineWriter(target or sys.stdout)
    threading.Thread(target=writer.run, name="log", daemon=True).start()
    return writer
