"""Streams from nodes at one entry."""

import threading
from dataclasses import dataclass, field

from bergamotshore.core.work.crashes import LostRun
from bergamotshore.entry.workerends import WorkerEnds
from bergamotshore.entry.workerleases import WorkerLeases

# Nodes send a heartbeat every 0.5 s. One that was silent for longer was away, in
# seconds.
MAX_SILENCE_SECONDS = 1.3
# Longest absence of a node whose process alone may have ended, in seconds. A machine
# that loses power stays away for longer.
MAX_RESTART_SECONDS = 2.0
# Streams of nodes that lose power together are lost within this time of each other, in
# seconds: two passes of the scheduling entry.
COMMON_CAUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class NodeRestart:
    """A restart of the process of a node.

    :param ended_at: When the stream to the former process was lost, in seconds.
    :param has_kept_power: Whether only the process ended, as far as this entry can
        tell, and not its machine.
    """

    ended_at: float
    has_kept_power: bool


@dataclass(slots=True)
class NodeContact:
    """What this entry has heard of a node.

    :param heard_at: Time of the last message, in seconds; 0 before the first.
    :param silent_since: Begin of its last silence, in seconds.
    :param silent_until: End of its last silence, in seconds; 0 before the first.
    :param lost_by_key: ``LostRun`` by task and run, as told by its last report.
    :param incarnation: Incarnation of its process; empty before the first stream.
    :param left_at: When its last stream was lost, in seconds; 0 before that.
    :param reported_at: Time of its last report of a worker that had answered it, in
        seconds; 0 before the first.
    :param restart: Last ``NodeRestart``; None if none was seen.
    """

    heard_at: float = 0.0
    silent_since: float = 0.0
    silent_until: float = 0.0
    lost_by_key: dict = field(default_factory=dict)
    incarnation: str = ""
    left_at: float = 0.0
    reported_at: float = 0.0
    restart: NodeRestart | None = None

    def record_open(self, incarnation, has_ended_alone, now):
        """Record that a stream was opened.

        A process that ends closes its streams, and the next one follows at once. A
        machine without power leaves them open and stays away.

        :param has_ended_alone: Whether the former stream was lost, and at that time
            those of no other nodes.
        """
        if self.incarnation not in ("", incarnation):
            has_kept_power = (
                has_ended_alone
                and now - self.left_at < MAX_RESTART_SECONDS
                and self.left_at - self.heard_at < MAX_SILENCE_SECONDS
            )
            if self.restart is not None and self.reported_at <= self.restart.ended_at:
                # Nobody has told of its worker since the restart before.
                has_kept_power = has_kept_power and self.restart.has_kept_power
            self.restart = NodeRestart(self.left_at, has_kept_power)
        self.incarnation = incarnation
        self.record_message(now)

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

    ``ends`` are the ends of workers that this entry was told of, and ``leases`` those
    of their leases that do not end with the renewal grant.
    """

    def __init__(self, clock, send_heartbeat):
        self._clock = clock
        self._send_heartbeat = send_heartbeat
        self._lock = threading.Lock()
        self._stream_by_node = {}
        self._last_heartbeat_at_by_node = {}
        self.ends = WorkerEnds(clock)
        self.leases = WorkerLeases(clock)
        self._contact_by_node = {}

    def open(self, stream):
        """Register a stream; return the open stream that it replaces, or None."""
        now = self._clock.now()
        with self._lock:
            older = self._stream_by_node.get(stream.peer.name)
            self._stream_by_node[stream.peer.name] = stream
            contact = self._get_contact(stream.peer.name)
            if older is not None:
                contact.left_at = now
            has_ended_alone = older is None and not any(
                abs(other.left_at - contact.left_at) < COMMON_CAUSE_SECONDS
                for other in self._contact_by_node.values()
                if other is not contact
            )
            contact.record_open(stream.peer.incarnation, has_ended_alone, now)
        return older if older is not None and older.is_open else None

    def close(self, stream):
        """Unregister a stream that was lost."""
        now = self._clock.now()
        with self._lock:
            if self._stream_by_node.get(stream.peer.name) is stream:
                del self._stream_by_node[stream.peer.name]
                self._get_contact(stream.peer.name).left_at = now

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
            if report.born:
                contact.reported_at = now
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

    def get_restart(self, node):
        """Return the last ``NodeRestart``; None if this entry has seen none."""
        with self._lock:
            contact = self._contact_by_node.get(node)
            return contact.restart if contact is not None else None

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
