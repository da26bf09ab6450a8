"""Streams of nodes at one entry."""

import threading


class StreamDirectory:
    """Know the newest stream of each node and when it was last heard.

    :param clock: ``Clock``.
    :param send_heartbeats: Called with a stream to tell its node at once who leads.
    """

    def __init__(self, clock, greet):
        self._clock = clock
        self._greet = greet
        self._lock = threading.Lock()
        self._stream_by_node = {}
        self._heard_at_by_node = {}

    def open(self, stream):
        """Take in a stream; returns the older one of that node, or None."""
        with self._lock:
            older = self._stream_by_node.get(stream.peer.name)
            self._stream_by_node[stream.peer.name] = stream
        return older if older is not None and older.is_open else None

    def close(self, stream):
        """Forget a stream that was lost."""
        with self._lock:
            if self._stream_by_node.get(stream.peer.name) is stream:
                del self._stream_by_node[stream.peer.name]

    def record_heartbeat(self, stream):
        """Take note of a clock reading of a node that may be echoed from now on."""
        with self._lock:
            self._heard_at_by_node[stream.peer.name] = self._clock.now()

    def get_last_heartbeat_at(self, node):
        """Return when a node was last heard, 0 for never."""
        with self._lock:
            return self._heard_at_by_node.get(node, 0.0)

    def is_current(self, stream):
        """Tell whether a stream is the newest of its node and open."""
        with self._lock:
            return self._stream_by_node.get(stream.peer.name) is stream

    def list_streams(self):
        """Return the newest stream of each node."""
        with self._lock:
            return list(self._stream_by_node.values())

    def send_heartbeats(self):
        """Tell all nodes at once that this entry leads."""
        for stream in self.list_streams():
            self._greet(stream)
