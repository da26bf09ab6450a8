"""The time line of one process, ordered by a Lamport clock."""

import threading
from collections import deque

from bergamotshore.generated.messages import TimelineEvent


class LamportClock:
    """Count events so that a cause always has a smaller number than its effect."""

    def __init__(self):
        self._value = 0
        self._lock = threading.Lock()

    def tick(self):
        """Count an event of this process and return its number."""
        with self._lock:
            self._value += 1
            return self._value

    def witness(self, value):
        """Take note of the number of an event of another process."""
        with self._lock:
            self._value = max(self._value, value)


class Recorder:
    """Record events in a ring.

    :param process: Name of the process.
    :param incarnation: Run of the process.
    :param lamport: ``LamportClock``.
    :param clock: ``Clock``.
    :param limit: Events kept.
    """

    def __init__(self, process, incarnation, lamport, clock, limit):
        self.process = process
        self.incarnation = incarnation
        self.lamport = lamport
        self.clock = clock
        self._events = deque(maxlen=limit)
        self._sequence = 0
        self._lock = threading.Lock()

    def record(self, kind, subject, detail=""):
        """Record an event.

        :param kind: Kind of event.
        :param subject: Request, task, session, data centre or version concerned.
        :param detail: Text for operators.
        """
        with self._lock:
            self._sequence += 1
            event = TimelineEvent(
                process=self.process,
                incarnation=self.incarnation,
                sequence=self._sequence,
                clock=self.lamport.tick(),
                wall=self.clock.wall(),
                kind=kind,
                subject=subject,
                detail=detail,
            )
            self._events.append(event)

    def list_events(self):
        """Return the events kept, oldest first."""
        with self._lock:
            return list(self._events)


def merge_events(events, subject=""):
    """Merge events of many processes in causal order.

    :param events: Iterable of ``TimelineEvent``, duplicates allowed.
    :param subject: Keep only events whose subject contains this text.
    :returns: List in the order of Lamport clocks, then process and sequence.
    """
    event_by_key = {
        (event.process, event.incarnation, event.sequence): event for event in events
    }
    chosen = [event for event in event_by_key.values() if subject in event.subject]
    return sorted(chosen, key=lambda e: (e.clock, e.process, e.sequence))
