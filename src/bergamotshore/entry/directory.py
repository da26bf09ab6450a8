"""Directory of the nodes connected to an entry."""

import threading
from dataclasses import dataclass, field

from bergamotshore.core.capacity import Size
from bergamotshore.core.placement import NodeCapacity
from bergamotshore.core.routing import Candidate, smooth_others
from bergamotshore.generated.messages import Announce, Heartbeat, TaskInventory


@dataclass(slots=True)
class NodeView:
    """State of one connected node, as last reported.

    :param name: Name of the node.
    :param zone: Data centre of the node.
    :param incarnation: Incarnation of the node.
    :param stream: Stream to the node.
    :param announce: Latest announcement, or None.
    :param heartbeat: Latest heartbeat, or None.
    :param inventory: Latest list of attempts, or None.
    :param inventory_at: When the inventory arrived, on the entry's clock.
    :param in_flight: Identifiers of requests from this entry not answered yet.
    :param others: Smoothed number of requests from other entries.
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
    """Thread-safe directory of the connected nodes by name.

    :param clock: ``Clock``.
    """

    def __init__(self, clock):
        self.clock = clock
        self._lock = threading.Lock()
        self._view_by_node = {}

    def open(self, stream):
        """Add a node whose stream opened, replacing an older stream of that node.

        :returns: The replaced stream, which the caller must close, or None.
        """
        hello = stream.peer
        with self._lock:
            replaced_view = self._view_by_node.get(hello.name)
            view = NodeView(hello.name, hello.zone, hello.incarnation, stream)
            if (
                replaced_view is not None
                and replaced_view.incarnation == hello.incarnation
            ):
                view.in_flight = replaced_view.in_flight
            self._view_by_node[hello.name] = view
        return replaced_view.stream if replaced_view is not None else None

    def close(self, stream):
        """Remove a node whose stream closed.

        :returns: False if a newer stream has replaced this one.
        """
        with self._lock:
            view = self._view_by_node.get(stream.peer.name)
            if view is None or view.stream is not stream:
                return False
            del self._view_by_node[stream.peer.name]
            return True

    def record_message(self, stream, message):
        """Record an announcement, heartbeat or inventory from a node."""
        with self._lock:
            view = self._view_by_node.get(stream.peer.name)
            if view is None or view.stream is not stream:
                return
            match message:
                case Announce():
                    view.announce = message
                case Heartbeat():
                    view.heartbeat = message
                    held_requests = message.running + message.queued
                    view.others = smooth_others(
                        view.others, held_requests, len(view.in_flight)
                    )
                case TaskInventory():
                    view.inventory = message
                    view.listed_attempts = frozenset(
                        (item.job, item.index, item.attempt)
                        for item in message.attempts
                    )
                    view.inventory_at = self.clock.now()

    def begin_request(self, node, request_id):
        """Record that a request is in flight at a node."""
        with self._lock:
            view = self._view_by_node.get(node)
            if view is not None:
                view.in_flight.add(request_id)

    def end_request(self, node, request_id):
        """Record that a request is no longer in flight at a node."""
        with self._lock:
            view = self._view_by_node.get(node)
            if view is not None:
                view.in_flight.discard(request_id)

    def get(self, node):
        """Return the view of a node, or None if it is not connected."""
        with self._lock:
            return self._view_by_node.get(node)

    def list_views(self):
        """Return the views of all connected nodes."""
        with self._lock:
            return list(self._view_by_node.values())

    def list_candidates(self, service, is_usable, excluded):
        """Return the nodes that can accept a request.

        :param service: Service of the request.
        :param is_usable: Function returning whether a data centre and node may be used.
        :param excluded: Names of the nodes already tried.
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
        """Return the free capacity for tasks of each node that can accept them.

        :param is_usable: Function returning whether a data centre and node may be used.
        :param claims: ``ClaimIndex``; tasks that were claimed but are missing from the
            inventory are subtracted.
        """
        return [
            _build_capacity(view, claims)
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


def _build_capacity(view, claims):
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
