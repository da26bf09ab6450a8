"""What an entry knows of the nodes connected to it."""

import threading
from dataclasses import dataclass, field

from bergamotshore.core.capacity import Size
from bergamotshore.core.placement import NodeCapacity
from bergamotshore.core.routing import Candidate, smooth_others
from bergamotshore.generated.messages import Announce, Heartbeat, TaskInventory


@dataclass(slots=True)
class NodeView:
    """One connected node.

    :param name: Name of the node.
    :param zone: Data centre of the node.
    :param incarnation: Run of the node.
    :param stream: Stream to the node.
    :param announce: Newest announcement; None before the first.
    :param heartbeat: Newest heartbeat; None before the first.
    :param inventory: Newest list of attempts; None before the first.
    :param inventory_at: When it came, on the entry's clock.
    :param in_flight: Requests of this entry that the node has not answered.
    :param others: Requests from elsewhere, smoothed.
    :param listed_attempts: Attempts of the inventory as (job, index, attempt).
    """

    name: str
    zone: str
    incarnation: str
    stream: object
    announce: Announce | None = None
    heartbeat: Heartbeat | None = None
    inventory: TaskInventory | None = None
    inventory_at: float = 0.0
    in_flight: set = field(default_factory=set)
    others: float = 0.0
    listed_attempts: frozenset = frozenset()


class NodeDirectory:
    """Hold the connected nodes by name; used from several threads.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self.clock = clock
        self._lock = threading.Lock()
        self._view_by_node = {}

    def open(self, stream):
        """Take in a node whose stream opened; an older stream gives way.

        :returns: The older stream, to be closed, or None.
        """
        hello = stream.peer
        with self._lock:
            old = self._view_by_node.get(hello.name)
            view = NodeView(hello.name, hello.zone, hello.incarnation, stream)
            if old is not None and old.incarnation == hello.incarnation:
                view.in_flight = old.in_flight
            self._view_by_node[hello.name] = view
        return old.stream if old is not None else None

    def close(self, stream):
        """Drop a node whose stream closed.

        :returns: False when a newer stream has taken its place.
        """
        with self._lock:
            view = self._view_by_node.get(stream.peer.name)
            if view is None or view.stream is not stream:
                return False
            del self._view_by_node[stream.peer.name]
            return True

    def record_message(self, stream, message):
        """Record an announcement, a heartbeat or an inventory."""
        with self._lock:
            view = self._view_by_node.get(stream.peer.name)
            if view is None or view.stream is not stream:
                return
            match message:
                case Announce():
                    view.announce = message
                case Heartbeat():
                    view.heartbeat = message
                    held = message.running + message.queued
                    view.others = smooth_others(view.others, held, len(view.in_flight))
                case TaskInventory():
                    view.inventory = message
                    view.listed_attempts = frozenset(
                        (item.job, item.index, item.attempt)
                        for item in message.attempts
                    )
                    view.inventory_at = self.clock.now()

    def begin_request(self, node, request_id):
        """Count a request as in flight at a node."""
        with self._lock:
            view = self._view_by_node.get(node)
            if view is not None:
                view.in_flight.add(request_id)

    def end_request(self, node, request_id):
        """Count a request as answered."""
        with self._lock:
            view = self._view_by_node.get(node)
            if view is not None:
                view.in_flight.discard(request_id)

    def get(self, node):
        """Return the view of a node, or None when it is not connected."""
        with self._lock:
            return self._view_by_node.get(node)

    def list_views(self):
        """Return the views of all connected nodes."""
        with self._lock:
            return list(self._view_by_node.values())

    def list_candidates(self, service, is_usable, excluded):
        """Return the nodes that may take a request.

        :param service: Service of the request.
        :param is_usable: Tells whether a data centre and node may be used.
        :param excluded: Names of nodes that were tried.
        """
        return [
            _build_candidate(view)
            for view in self.list_views()
            if view.announce is not None
            and view.announce.service == service
            and not view.announce.draining
            and view.announce.slots > 0
            and view.name not in excluded
            and is_usable(view.zone, view.name)
        ]

    def list_capacities(self, is_usable, claims):
        """Return the room for tasks on each node that may take some.

        :param is_usable: Tells whether a data centre and node may be used.
        :param claims: ``ClaimIndex``; claims not listed yet are taken off.
        """
        return [
            _build_room(view, claims)
            for view in self.list_views()
            if view.announce is not None
            and view.announce.session
            and view.inventory is not None
            and view.inventory.session == view.announce.session
            and is_usable(view.zone, view.name)
        ]


def _build_candidate(view):
    heartbeat = view.heartbeat
    return Candidate(
        node=view.name,
        slots=view.announce.slots,
        connections=view.announce.connections,
        own=len(view.in_flight),
        others=view.others,
        service_seconds=heartbeat.service_seconds if heartbeat else 0.0,
    )


def _build_room(view, claims):
    announce = view.announce
    inventory = view.inventory
    free = Size(
        inventory.processors_free,
        inventory.memory_free_gb,
        inventory.accelerators_free,
    )
    return NodeCapacity(
        node=view.name,
        zone=view.zone,
        session=announce.session,
        total=Size(announce.processors, announce.memory_gb, announce.accelerators),
        free=free - claims.get_unlisted_size(view.name, view.listed_attempts),
    )
