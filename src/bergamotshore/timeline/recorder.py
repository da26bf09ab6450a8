"""Timeline of one process, ordered by a Lamport clock."""

import threading
from collections import deque

from bergamotshore.generated.messages import TimelineEvent


class LamportClock:
    """Logical clock: the value of a cause is always smaller than that of its effect."""

    def __init__(self):
        self._value = 0
        self._lock = threading.Lock()

    def tick(self):
        """Advance the clock for an event of this process and return the new value."""
        with self._lock:
            self._value += 1
            return self._value

    def witness(self, value):
        """Advance the clock to at least the value received from another process."""
        with self._lock:
            self._value = max(self._value, value)


class Recorder:
    """Ring buffer of the latest timeline events of a process.

    :param process: Name of the process.
    :param incarnation: Identifier of this incarnation of the process.
    :param lamport: ``LamportClock``.
    :param clock: ``Clock``.
    :param limit: Maximum number of events kept.
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
        """Append an event, dropping the oldest one when the buffer is full.

        :param kind: Kind of event.
        :param subject: Request, task, session, data centre or version of the event.
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
        """Return the events in the buffer, oldest first."""
        with self._lock:
            return list(self._events)


def merge_events(events, subject=""):
    """Merge the events of several processes in causal order.

    :param events: Iterable of ``TimelineEvent``; duplicates are removed.
    :param subject: Only events whose subject contains this text are returned.
    :returns: List sorted by Lamport clock, process and sequence number.
    """
    event_by_key = {
        (event.process, event.incarnation, event.sequence): event for event in events
    }
    selected = [event for event in event_by_key.values() if subject in event.subject]
    return sorted(
        selected, key=lambda event: (event.clock, event.process, event.sequence)
    )
