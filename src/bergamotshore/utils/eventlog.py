"""Structured log with a rate limit, whose writers never block.

There is one line for each decision on a request and each change of the state that the
process assumes. Lines that can not be written in time are dropped and counted.
"""

import collections
import sys
import threading
import traceback

from loguru import logger

# Limit for each kind of line; the next line written reports how many were omitted.
LINES_PER_SECOND = 40
# Size of the buffer for a slow reader of the output, in lines.
MAX_BUFFERED_LINES = 2000
WINDOW_SECONDS = 1.0
FLUSH_SECONDS = 0.2


class LineWriter:
    """Buffer that a separate thread writes to a text stream.

    :param stream: Text stream.
    """

    def __init__(self, stream):
        self._stream = stream
        self._lines = collections.deque()
        self._has_lines = threading.Event()
        self.dropped = 0

    def write(self, line):
        """Add a line to the buffer; drop it when the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(str(line))
        self._has_lines.set()

    def run(self):
        """Write buffered lines until the process ends, in the writer thread."""
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self.flush()

    def flush(self):
        """Write all buffered lines."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if not lines:
            return
        if self.dropped:
            lines.append(f"event=lines-dropped count={self.dropped}\n")
            self.dropped = 0
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            self.dropped += len(lines)


class EventLog:
    """Structured log with a rate limit for each kind of event.

    :param clock: ``Clock``.
    :param emit: Function called with the text of each line.
    """

    def __init__(self, clock, emit=None):
        self._clock = clock
        self._emit = emit or logger.info
        self._lock = threading.Lock()
        self._window_by_kind = {}

    def write(self, kind, subject, **fields):
        """Write a line for an event, unless its kind is over the rate limit.

        :param kind: Kind of event, such as ``start-refused``.
        :param subject: Job, task, worker, node or version that the event is about.
        :param fields: Further fields, such as reason and outcome.
        """
        omitted = self._check_budget(kind)
        if omitted is None:
            return
        if omitted:
            fields["omitted_before"] = omitted
        field_text = "".join(
            f" {name}={_format_value(value)}" for name, value in fields.items()
        )
        self._emit(f"event={kind} subject={subject}{field_text}".replace("{", "("))

    def _check_budget(self, kind):
        """Return how many lines were omitted before this one; None to omit this one."""
        now = self._clock.now()
        with self._lock:
            window_start, written, omitted = self._window_by_kind.get(kind, (now, 0, 0))
            if now - window_start >= WINDOW_SECONDS:
                window_start, written = now, 0
            if written >= LINES_PER_SECOND:
                self._window_by_kind[kind] = (window_start, written, omitted + 1)
                return None
            self._window_by_kind[kind] = (window_start, written + 1, 0)
            return omitted


def _format_value(value):
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return repr(text) if " " in text or not text else text


def describe_error(error):
    """Return an exception and the place where it was raised, in one line."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return repr(error)
    name = frames[-1].filename.rsplit("/", 1)[-1]
    return f"{error!r} in {frames[-1].name} at {name}:{frames[-1].lineno}"


def start_line_writer(stream=None):
    """Start the writer thread and return its ``LineWriter``."""
    writer = LineWriter(stream or sys.stdout)
    threading.Thread(target=writer.run, name="log", daemon=True).start()
    return writer
