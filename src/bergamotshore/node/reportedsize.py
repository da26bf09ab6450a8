"""Size of the worker beside a node, for as long as its last report may be relied on."""

import math

# A worker reports itself about every 1.1 s. A smaller size counts 4.1 s after a worker
# shrank; a start by an older report than this would leave under 1.1 s of that for the
# call.
MAX_AGE_SECONDS = 3.0


class ReportedSize:
    """The size that one incarnation of a worker reported last, and its age.

    A report may have been delayed on its way, so its age counts from the reading of the
    worker's clock in it. What that clock shows now is bounded by an answer of the
    worker: its reading was taken after the call was sent.
    """

    def __init__(self):
        self._size = None
        self._received_at = -math.inf
        self._reported_ms = None
        self._asked_at = None
        self._answered_ms = 0

    def record(self, report, now):
        """Record a report of the worker.

        :param report: ``WorkerReport``.
        :param now: Time of its arrival, in seconds.
        """
        self._size = report.size
        self._received_at = now
        self._reported_ms = report.clock_ms

    def record_clock(self, asked_at, clock_ms):
        """Record a reading of the worker's clock in its answer to a call.

        :param asked_at: Time at which the call was sent, in seconds.
        :param clock_ms: Clock of the worker, in milliseconds.
        """
        self._asked_at, self._answered_ms = asked_at, clock_ms

    def get(self, now):
        """Return the ``WorkerSize``; None when unknown or reported too long ago."""
        return self._size if self._get_age(now) <= MAX_AGE_SECONDS else None

    def _get_age(self, now):
        """Return how old the report is at most, in seconds."""
        since_arrival = now - self._received_at
        if self._reported_ms is None or self._asked_at is None:
            return since_arrival
        by_clock = now - self._asked_at + (self._answered_ms - self._reported_ms) / 1000
        return max(since_arrival, by_clock)
