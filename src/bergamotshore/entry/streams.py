"""Streams from nodes at one entry."""

import threading

from bergamotshore.entry.workerends import WorkerEnds


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
        with self._lock:
            self._last_heartbeat_at_by_node[stream.peer.name] = self._clock.now()

    def get_last_heartbeat_at(self, node):
        """Return the time of the last heartbeat of a node, 0 if there was none."""
        with self._lock:
            return self._last_heartbeat_at_by_node.get(node, 0.0)

    def record_report(self, stream, report):
        """Record whether a node reports its worker as gone.

        :param report: ``RunReport``.
        :returns: Whether it newly does.
        """
        return self.ends.record_report(stream.peer.name, report.born, report.is_gone)

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
