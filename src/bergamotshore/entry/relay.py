"""Calls to the store that are relayed through another entry.

The store may reject single machines while it serves others. An entry whose own calls
fail relays them through a peer, which returns each answer unchanged. After a delay,
short reads probe whether the store serves this entry again. Writes never probe, since
the outcome of an unanswered write is unknown, nor do reads that wait for changes.

A failure on a connection that was open before doesn't count: the store may answer on a
new one, and connections to peers may have gone silent as well.
"""

import itertools
import math
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.core.work.peers import choose_relays
from bergamotshore.generated.messages import Heartbeat, StoreAnswer, StoreCall
from bergamotshore.node.links import EntryLinks

JSON_HEADERS = {"Content-Type": "application/json"}
# Time for which calls go through a peer after a direct call failed, in seconds.
DIRECT_BACKOFF_SECONDS = 1.0
# Timeout of the reads that then probe whether the store is reachable directly: a slow
# store answers one in under 0.4 s. In seconds.
PROBE_SECONDS = 0.8
# Largest share of a call's time that a probe without a delay may use; the rest is left
# for a peer.
PROBE_SHARE = 0.5
# Time for which no call is relayed after the store failed for a peer too, in seconds.
RELAY_BACKOFF_SECONDS = 0.4
# Time for which a peer that could not serve a call is tried last, in seconds: as
# long as this entry's own calls avoid the direct connection.
PEER_BACKOFF_SECONDS = DIRECT_BACKOFF_SECONDS
# Extra time allowed for the round trip to the peer, in seconds.
PEER_ROUND_TRIP_SECONDS = 0.1
# Consecutive failures after which the store counts as unreachable.
OUTAGE_FAILURE_COUNT = 2
# Statuses by which the store rejects a call without having applied it.
REJECTION_STATUSES = {429, 503}


class RelayedClient:
    """Call the store directly, or through a peer while direct calls fail.

    :param direct: ``HttpClient`` of the store.
    :param relay: ``StoreRelay``.
    :param timeout: Time allowed for one call, in seconds.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, direct, relay, timeout, clock, registry, log):
        self._direct = direct
        self._relay = relay
        self._timeout = timeout
        self._clock = clock
        self._registry = registry
        self._log = log
        self._direct_backoff_until = 0.0
        self._relay_backoff_until = 0.0
        self._is_direct_available = True
        # Whether the last direct call failed on a connection that was open before.
        self._is_connection_suspect = False
        self._direct_answered_at = -math.inf
        self._consecutive_failures = 0

    @property
    def is_reachable(self):
        """Return whether the store served recent calls, directly or through a peer."""
        return self._consecutive_failures < OUTAGE_FAILURE_COUNT

    def call(self, method, path, body=b"", headers=None, timeout=None, may_probe=True):
        """Call the store; see ``HttpClient.call``.

        A failure of a call that began before the last direct answer is not counted: the
        store has answered since. Nor is one on a connection that was open before: the
        store may answer on a new one.

        :param may_probe: Whether a short read may probe the store; false for a read
            that the store answers only after a wait.
        """
        started_at = self._clock.now()
        timeout = timeout or self._timeout
        outcome = self._call(method, path, body, headers, timeout, may_probe)
        if not is_unserved(outcome):
            self._consecutive_failures = 0
        elif started_at >= self._direct_answered_at and not _is_on_reused_connection(
            outcome
        ):
            self._consecutive_failures += 1
        return outcome

    def _call(self, method, path, body, headers, timeout, may_probe):
        may_relay = (
            self._clock.now() >= self._relay_backoff_until and self._relay.has_peer()
        )
        should_relay = may_relay and not self._is_direct_available
        is_short_read = may_probe and method == "GET" and timeout <= self._timeout
        is_probe = is_short_read and self._clock.now() >= self._direct_backoff_until
        if should_relay and not is_probe and not self._is_connection_suspect:
            return self._call_peer(method, path, body, timeout)
        started_at = self._clock.now()
        has_alternative = should_relay and is_probe
        direct_timeout = (
            self._get_probe_timeout(timeout) if has_alternative else timeout
        )
        outcome = self._direct.call(method, path, body, headers, direct_timeout)
        if not is_unserved(outcome):
            self._record_direct_answer()
            return outcome
        if started_at >= self._direct_answered_at:
            self._record_direct_failure(outcome)
        remaining = timeout - (self._clock.now() - started_at)
        is_uncertain_write = method != "GET" and _may_have_been_applied(outcome)
        if is_uncertain_write or not may_relay or remaining <= 0:
            return outcome
        return self._call_peer(method, path, body, remaining)

    def _get_probe_timeout(self, timeout):
        share = PROBE_SHARE if self._is_connection_suspect else 1.0
        return min(share * timeout, PROBE_SECONDS)

    def _call_peer(self, method, path, body, timeout):
        outcome = self._relay.call(method, path, body, timeout)
        self._registry.count("store_calls_relayed_total")
        if is_unserved(outcome):
            self._relay_backoff_until = self._clock.now() + RELAY_BACKOFF_SECONDS
        return outcome

    def _record_direct_answer(self):
        self._direct_answered_at = self._clock.now()
        self._direct_backoff_until = 0.0
        self._is_connection_suspect = False
        if not self._is_direct_available:
            self._is_direct_available = True
            self._log.write("store-regained", "store")

    def _record_direct_failure(self, outcome):
        self._is_connection_suspect = _is_on_reused_connection(outcome)
        if not self._is_connection_suspect:
            self._direct_backoff_until = self._clock.now() + DIRECT_BACKOFF_SECONDS
        if self._is_direct_available:
            self._is_direct_available = False
            self._log.write("store-lost", "store", why=str(outcome))


def is_unserved(outcome):
    """Return whether a call got no answer, or a rejection without effect."""
    match outcome:
        case Success(HttpAnswer(status=status)):
            return status in REJECTION_STATUSES
    return True


def _is_on_reused_connection(outcome):
    """Return whether a new connection may be answered, so that a probe is due."""
    match outcome:
        case Failure(HttpFailure(was_reused=was_reused)):
            return was_reused
    return False


def _may_have_been_applied(outcome):
    return isinstance(outcome, Failure) and outcome.failure().was_sent


class StoreRelay:
    """Relay calls to the store through peers, and serve the calls of peers.

    :param loop: ``Loop``.
    :param settings: ``Settings``.
    :param incarnation: Incarnation of this process.
    :param lamport: ``LamportClock``.
    :param direct: ``HttpClient`` of the store that carries out calls of peers.
    :param executor: Runs calls of peers.
    :param clock: ``Clock``.
    :param cancellations: ``RecentCancellations`` that are announced to the peers.
    :param worker_ends: ``WorkerEnds`` that are passed on to the peers.
    :param worker_leases: ``WorkerLeases`` that are passed on to the peers.
    :param on_heartbeat: Called with the peer and each heartbeat that it sends.
    :param describe_terms: Function that returns the fields of a heartbeat to a peer
        that tell of the terms of scheduling entries.
    :param encode_backlog: Function that returns the estimate of the work ahead of new
        jobs to pass on; empty for none.
    """

    def __init__(
        self,
        loop,
        settings,
        incarnation,
        lamport,
        direct,
        executor,
        clock,
        cancellations,
        worker_ends,
        worker_leases,
        on_heartbeat,
        describe_terms,
        encode_backlog=lambda: b"",
    ):
        self._encode_backlog = encode_backlog
        self._cancellations = cancellations
        self._worker_ends = worker_ends
        self._worker_leases = worker_leases
        self._on_heartbeat = on_heartbeat
        self._describe_terms = describe_terms
        self._direct = direct
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._future_by_call_id = {}
        self._rotation = itertools.count()
        self._call_numbers = itertools.count()
        self._backoff_until_by_incarnation = {}
        self._incarnation = incarnation
        self._name = settings.name
        self._peer_addresses = []
        self.links = EntryLinks(
            loop, settings, incarnation, lamport, self, "entry", self._update_links
        )

    def set_peer_addresses(self, addresses):
        """Set the addresses of all other entries; called in the loop's thread."""
        self._peer_addresses = addresses
        self._update_links()

    def _update_links(self):
        unreachable = self.links.list_unreachable()
        self.links.set_addresses(
            choose_relays(self._name, self._peer_addresses, unreachable)
        )

    def has_peer(self):
        """Return whether a peer is connected."""
        return bool(self.links.list_streams())

    def call(self, method, path, body, timeout):
        """Call the store through a peer; returns what ``HttpClient.call`` returns.

        When the store does not serve a peer either, the next peer is tried, unless that
        could repeat a write.
        """
        deadline = self._clock.now() + timeout
        outcome = Failure(HttpFailure("no peer is connected", was_sent=False))
        for stream in self._list_peers_in_order():
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                break
            outcome = self._call_through(stream, method, path, body, remaining)
            is_failed = is_unserved(outcome)
            self._record_peer_outcome(stream, is_failed)
            is_uncertain_write = method != "GET" and _may_have_been_applied(outcome)
            if not is_failed or is_uncertain_write:
                break
        return outcome

    def _list_peers_in_order(self):
        """Return the streams to peers in rotation, with recently failed peers last."""
        streams = self.links.list_streams()
        connected = {stream.peer.incarnation for stream in streams}
        now = self._clock.now()
        with self._lock:
            self._backoff_until_by_incarnation = {
                incarnation: until
                for incarnation, until in self._backoff_until_by_incarnation.items()
                if incarnation in connected and until > now
            }
            failed = set(self._backoff_until_by_incarnation)
        first = next(self._rotation) % max(1, len(streams))
        rotated = streams[first:] + streams[:first]
        return sorted(rotated, key=lambda stream: stream.peer.incarnation in failed)

    def _record_peer_outcome(self, stream, is_failed):
        incarnation = stream.peer.incarnation
        with self._lock:
            if is_failed:
                self._backoff_until_by_incarnation[incarnation] = (
                    self._clock.now() + PEER_BACKOFF_SECONDS
                )
            else:
                self._backoff_until_by_incarnation.pop(incarnation, None)

    def _call_through(self, stream, method, path, body, timeout):
        call_id = f"{self._incarnation}-{next(self._call_numbers)}"
        future = Future()
        with self._lock:
            self._future_by_call_id[call_id] = future
        request = StoreCall(
            call_id=call_id, method=method, path=path, body=body, timeout=timeout
        )
        try:
            if not stream.send(request):
                return Failure(
                    HttpFailure("connection to the peer was lost", was_sent=False)
                )
            answer = future.result(timeout + PEER_ROUND_TRIP_SECONDS)
        except FutureTimeout:
            return Failure(HttpFailure("peer did not answer in time", was_sent=True))
        finally:
            with self._lock:
                self._future_by_call_id.pop(call_id, None)
        if answer.status == 0:
            return Failure(HttpFailure(answer.detail, was_sent=answer.was_sent))
        return Success(HttpAnswer(answer.status, "application/json", answer.body))

    def serve(self, stream, call):
        """Carry out a call of a peer in the executor and send the answer back."""
        self._executor.submit(self._serve, stream, call)

    def _serve(self, stream, call):
        outcome = self._direct.call(
            call.method, call.path, call.body, JSON_HEADERS, call.timeout
        )
        stream.send(build_answer(call.call_id, outcome))

    def on_open(self, stream):
        """Record that the handshake with a peer has completed."""
        self.links.record_open(stream)

    def on_close(self, stream):
        """Reconnect after a stream to a peer was lost."""
        self.links.record_close(stream)

    def on_message(self, stream, message):
        """Complete the pending call that a peer answered; note what it announces."""
        match message:
            case StoreAnswer():
                with self._lock:
                    future = self._future_by_call_id.get(message.call_id)
                if future is not None and not future.done():
                    future.set_result(message)
            case Heartbeat():
                self._on_heartbeat(stream.peer, message)
                answer_first_heartbeat(stream, message, self)

    def build_heartbeat(self, stream):
        """Return the heartbeat for a stream."""
        return Heartbeat(
            sent_at=self._clock.now(),
            echo=stream.peer_clock,
            cancelled=self._cancellations.list_announced(),
            worker_ends=self._worker_ends.list_announced(),
            worker_leases=self._worker_leases.list_for_former_revision(),
            incarnation_leases=self._worker_leases.list_announced(),
            backlog=self._encode_backlog(),
            **(self._describe_terms(stream.peer) if stream.peer is not None else {}),
        )


def answer_first_heartbeat(stream, heartbeat, handler):
    """Answer the first heartbeat of another entry, which has read no clock yet.

    The answer proves at once that this process is there, and that a former one of its
    name has ended.

    :param handler: Builds the heartbeats of this process.
    """
    if not heartbeat.echo:
        stream.send(handler.build_heartbeat(stream))


def build_answer(call_id, outcome):
    """Return the ``StoreAnswer`` that carries the outcome of a call."""
    match outcome:
        case Success(HttpAnswer(status=status, body=body)):
            return StoreAnswer(
                call_id=call_id, status=status, body=body, detail="", was_sent=True
            )
        case Failure(HttpFailure(detail=detail, was_sent=was_sent)):
            return StoreAnswer(
                call_id=call_id, status=0, body=b"", detail=detail, was_sent=was_sent
            )
