"""Calls to the store by way of another entry.

The store may turn single machines away while it serves the others. An entry whose own
calls fail sends them through a peer; each answer comes back as it was. After a while
readings look whether the store serves this entry again. Writes never do, since what
became of one that gets no answer is not known, nor do those that wait for changes.
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
# Time for which calls go through a peer after one of this entry's own has failed.
DETOUR_SECONDS = 1.0
# Afterwards readings look whether the store is back, for this long: a slow store
# answers one in under 0.4 s. In seconds.
PROBE_SECONDS = 0.8
# Time for which no peer is asked after the store failed for a peer as well.
PEER_PAUSE_SECONDS = 0.4
# Time for which a peer that could not serve a call is asked last, in seconds: as long
# as this entry's own calls go another way.
PEER_BACKOFF_SECONDS = DETOUR_SECONDS
# Further time for the way to the peer and back, in seconds.
PEER_ROUND_TRIP_SECONDS = 0.1
# Failures in a row after which the store counts as out of reach.
FAILURES_FOR_OUTAGE = 2
# Statuses with which the store turns a call away without having done anything.
TURNED_AWAY = {429, 503}


class RelayedClient:
    """Call the store directly, or through a peer while that fails.

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
        self._detour_until = 0.0
        self._no_peer_until = 0.0
        self._is_direct = True
        self._answered_at = -math.inf
        self._failures = 0

    @property
    def is_reachable(self):
        """Tell whether the store took the latest calls, directly or through a peer."""
        return self._failures < FAILURES_FOR_OUTAGE

    def call(self, method, path, body=b"", headers=None, timeout=None, may_probe=True):
        """Call the store; see ``HttpClient.call``.

        A failure of a call that began before the store last answered tells nothing new.

        :param may_probe: Whether a short reading may look if the store is back; not for
            one that the store answers only after a wait.
        """
        began = self._clock.now()
        timeout = timeout or self._timeout
        outcome = self._call(method, path, body, headers, timeout, may_probe)
        if not is_turned_away(outcome):
            self._failures = 0
        elif began >= self._answered_at:
            self._failures += 1
        return outcome

    def _call(self, method, path, body, headers, timeout, may_probe):
        may_relay = self._clock.now() >= self._no_peer_until and self._relay.has_peer()
        is_lost = may_relay and not self._is_direct
        is_short = may_probe and method == "GET" and timeout <= self._timeout
        is_probe = is_short and self._clock.now() >= self._detour_until
        if is_lost and not is_probe:
            return self._call_peer(method, path, body, timeout)
        began = self._clock.now()
        tried = min(timeout, PROBE_SECONDS) if is_lost else timeout
        outcome = self._direct.call(method, path, body, headers, tried)
        if not is_turned_away(outcome):
            self._note_direct()
            return outcome
        if began >= self._answered_at:
            self._note_detour(outcome)
        left = timeout - (self._clock.now() - began)
        is_unknown = method != "GET" and _may_have_been_taken(outcome)
        if is_unknown or not may_relay or left <= 0:
            return outcome
        return self._call_peer(method, path, body, left)

    def _call_peer(self, method, path, body, timeout):
        outcome = self._relay.call(method, path, body, timeout)
        self._registry.count("store_calls_relayed_total")
        if is_turned_away(outcome):
            self._no_peer_until = self._clock.now() + PEER_PAUSE_SECONDS
        return outcome

    def _note_direct(self):
        self._answered_at = self._clock.now()
        self._detour_until = 0.0
        if not self._is_direct:
            self._is_direct = True
            self._log.write("store-regained", "store")

    def _note_detour(self, outcome):
        self._detour_until = self._clock.now() + DETOUR_SECONDS
        if self._is_direct:
            self._is_direct = False
            self._log.write("store-lost", "store", why=str(outcome))


def is_turned_away(outcome):
    """Tell whether a call got no answer or one that says nothing was done."""
    match outcome:
        case Success(HttpAnswer(status=status)):
            return status in TURNED_AWAY
    return True


def _may_have_been_taken(outcome):
    return isinstance(outcome, Failure) and outcome.failure().was_sent


class StoreRelay:
    """Streams to the other entries, for calls to the store in both directions.

    :param loop: ``Loop``.
    :param settings: ``Settings``.
    :param incarnation: Run of this process.
    :param lamport: ``LamportClock``.
    :param direct: ``HttpClient`` of the store, for calls of peers.
    :param executor: Runs calls of peers.
    :param clock: ``Clock``.
    """

    def __init__(self, loop, settings, incarnation, lamport, direct, executor, clock):
        self._direct = direct
        self._executor = executor
        self._clock = clock
        self._lock = threading.Lock()
        self._future_by_call = {}
        self._turns = itertools.count()
        self._calls = itertools.count()
        self._away_until_by_run = {}
        self._prefix = incarnation
        self._name = settings.name
        self._others = []
        self.links = EntryLinks(
            loop, settings, incarnation, lamport, self, "entry", self._choose
        )

    def set_others(self, addresses):
        """Take note of the addresses of all other entries; in the loop's thread."""
        self._others = addresses
        self._choose()

    def _choose(self):
        away = self.links.list_unreachable()
        self.links.set_addresses(choose_relays(self._name, self._others, away))

    def has_peer(self):
        """Tell whether a peer can be asked."""
        return bool(self.links.list_streams())

    def call(self, method, path, body, timeout):
        """Call the store through a peer; results as of ``HttpClient.call``.

        A peer that is turned away like this entry is followed by another, as long as
        that repeats no write.
        """
        until = self._clock.now() + timeout
        outcome = Failure(HttpFailure("no peer", was_sent=False))
        for stream in self._list_in_turn():
            left = until - self._clock.now()
            if left <= 0:
                break
            outcome = self._call_through(stream, method, path, body, left)
            is_away = is_turned_away(outcome)
            self._note_outcome(stream, is_away)
            is_unknown = method != "GET" and _may_have_been_taken(outcome)
            if not is_away or is_unknown:
                break
        return outcome

    def _list_in_turn(self):
        """Return the streams to peers, those that could not serve a call last."""
        streams = self.links.list_streams()
        known = {stream.peer.incarnation for stream in streams}
        now = self._clock.now()
        with self._lock:
            self._away_until_by_run = {
                run: until
                for run, until in self._away_until_by_run.items()
                if run in known and until > now
            }
            away = set(self._away_until_by_run)
        first = next(self._turns) % max(1, len(streams))
        turned = streams[first:] + streams[:first]
        return sorted(turned, key=lambda stream: stream.peer.incarnation in away)

    def _note_outcome(self, stream, is_away):
        run = stream.peer.incarnation
        with self._lock:
            if is_away:
                self._away_until_by_run[run] = self._clock.now() + PEER_BACKOFF_SECONDS
            else:
                self._away_until_by_run.pop(run, None)

    def _call_through(self, stream, method, path, body, timeout):
        call_id = f"{self._prefix}-{next(self._calls)}"
        future = Future()
        with self._lock:
            self._future_by_call[call_id] = future
        request = StoreCall(
            call_id=call_id, method=method, path=path, body=body, timeout=timeout
        )
        try:
            if not stream.send(request):
                return Failure(HttpFailure("peer lost", was_sent=False))
            answer = future.result(timeout + PEER_ROUND_TRIP_SECONDS)
        except FutureTimeout:
            return Failure(HttpFailure("peer silent", was_sent=True))
        finally:
            with self._lock:
                self._future_by_call.pop(call_id, None)
        if answer.status == 0:
            return Failure(HttpFailure(answer.detail, was_sent=answer.was_sent))
        return Success(HttpAnswer(answer.status, "application/json", answer.body))

    def serve(self, stream, call):
        """Carry out a call of a peer and send the answer back."""
        self._executor.submit(self._serve, stream, call)

    def _serve(self, stream, call):
        outcome = self._direct.call(
            call.method, call.path, call.body, JSON_HEADERS, call.timeout
        )
        stream.send(build_answer(call.call_id, outcome))

    def on_open(self, stream):
        """Take note of a peer that said who it is."""
        self.links.record_open(stream)

    def on_close(self, stream):
        """Connect again."""
        self.links.record_close(stream)

    def on_message(self, stream, message):
        """Take the answer of a peer."""
        if isinstance(message, StoreAnswer):
            with self._lock:
                future = self._future_by_call.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)

    def build_heartbeat(self, stream):
        """Return the heartbeat for a stream."""
        return Heartbeat(sent_at=self._clock.now(), echo=stream.peer_clock)


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
