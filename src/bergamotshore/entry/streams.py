"""Streams from nodes at one entry."""

import threading
from dataclasses import dataclass, field

from bergamotshore.core.work.crashes import LostRun
from bergamotshore.entry.workerends import WorkerEnds

# Nodes send a heartbeat every 0.5 s. One that was silent for longer was away, in
# seconds.
MAX_SILENCE_SECONDS = 1.3


@dataclass(slots=True)
class NodeContact:
    """What this entry has heard of a node.

    :param heard_at: Time of the last message, in seconds; 0 before the first.
    :param silent_since: Begin of its last silence, in seconds.
    :param silent_until: End of its last silence, in seconds; 0 before the first.
    :param lost_by_key: ``LostRun`` by task and run, as told by its last report.
    """

    heard_at: float = 0.0
    silent_since: float = 0.0
    silent_until: float = 0.0
    lost_by_key: dict = field(default_factory=dict)

    def record_message(self, now):
        """Record that a message has arrived."""
        if self.heard_at and now - self.heard_at > MAX_SILENCE_SECONDS:
            self.silent_since, self.silent_until = self.heard_at, now
        self.heard_at = now

    def was_away(self, at):
        """Return whether the node was silent at a time."""
        return self.silent_since <= at <= self.silent_until


class StreamDirectory:
    """Track the newest stream of each node and the time of its last heartbeat.

    :param clock: ``Clock``.
    :param send_heartbeat: Called with a stream to send a heartbeat, which names the
        scheduling entry.

    ``ends`` are the ends of workers that this entry was told of.
    """

    def __init__(self, clock, send_heartbeat):
        self._clock = clock
        self._send_heartbeat = send_heartbeat
        self._lock = threading.Lock()
        self._stream_by_node = {}
        self._last_heartbeat_at_by_node = {}
        self.ends = WorkerEnds(clock)
        self._contact_by_node = {}

    def open(self, stream):
        """Register a stream; return the open stream that it replaces, or None."""
        with self._lock:
            older = self._stream_by_node.get(stream.peer.name)
            self._stream_by_node[stream.peer.name] = stream
        return older if older is not None and older.is_open else None

    def close(self, stream):
        """Unregister a stream that was lost."""
        with self._lock:
            if self._stream_by_node.get(stream.peer.name) is stream:
                del self._stream_by_node[stream.peer.name]

    def record_heartbeat(self, stream):
        """Record that a node sent a clock reading, which may be echoed from now on."""
        now = self._clock.now()
        with self._lock:
            self._last_heartbeat_at_by_node[stream.peer.name] = now
            self._get_contact(stream.peer.name).record_message(now)

    def _get_contact(self, node):
        return self._contact_by_node.setdefault(node, NodeContact())

    def get_last_heartbeat_at(self, node):
        """Return the time of the last heartbeat of a node, 0 if there was none."""
        with self._lock:
            return self._last_heartbeat_at_by_node.get(node, 0.0)

    def record_report(self, stream, report):
        """Record whether a node reports its worker as gone, and what it has lost.

        :param report: ``RunReport``.
        :returns: Whether it newly does.
        """
        now = self._clock.now()
        node = stream.peer.name
        with self._lock:
            is_current = self._stream_by_node.get(node) is stream
            contact = self._get_contact(node)
            contact.record_message(now)
            contact.lost_by_key = {
                (task, number): LostRun(seconds, contact.was_away(now - ago))
                for task, number, seconds, ago in report.lost
            }
        if report.born or not report.is_gone:
            return self.ends.record_report(node, report.born, report.is_gone)
        # A report on a former stream may be older than the last answer of the worker.
        return is_current and self.ends.record_end_of_known(node)

    def get_lost_runs(self, node):
        """Return the ``LostRun`` by task and run that a node has told of."""
        with self._lock:
            contact = self._contact_by_node.get(node)
            return contact.lost_by_key if contact is not None else {}

    def is_current(self, stream):
        """Return whether a stream is open and the newest of its node."""
        with self._lock:
            return self._stream_by_node.get(stream.peer.name) is stream

    def list_streams(self):
        """Return the newest stream of each node."""
        with self._lock:
            return list(self._stream_by_node.values())

    def send_heartbeats(self):
        """Send a heartbeat to all nodes, so that they learn of a new leader at once."""
        for stream in self.list_streams():
            self._send_heartbeat(stream)
