"""Memory of requests that are still arriving or being served, over all connections.

Answers a crowd of clients whose bodies are large, or don't end: which of them may hold
memory, and whose memory is given back when others need room.
"""

from dataclasses import dataclass

# Part of the memory that only small requests may use, so that ordinary ones are served
# beside large bodies.
RESERVED_SHARE = 0.25
# Largest cost of a small request: a job of some steps with its headers, in bytes.
SMALL_BYTES = 32 * 1024
# A body that has not ended after so many times the stall may give way as well; it would
# otherwise hold its memory for ever by a byte now and then.
MAX_STALLS = 6
# Least part of the memory that is freed at once, so that each search pays for several
# further requests.
FREED_SHARE = 1 / 16
# Part of a stall for which a search without result isn't repeated.
RETRY_STALLS = 0.1


@dataclass(slots=True)
class Account:
    """What one request holds.

    :param cost: Memory, in bytes.
    :param started_at: Time of its first byte.
    :param progressed_at: Time of its latest byte.
    :param has_arrived: Whether it is complete, so that it may be running.
    """

    cost: int
    started_at: float
    progressed_at: float
    has_arrived: bool = False


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision on the memory of a request.

    :param is_admitted: Whether the request may hold it; otherwise it holds nothing any
        more.
    :param evicted: Requests that must give back their memory. None of them has arrived.
    """

    is_admitted: bool
    evicted: tuple = ()


ADMITTED = Admission(True)
REFUSED = Admission(False)


class BodyBudget:
    """Decide which requests may hold memory of the process.

    :param limit: Memory for all requests together, in bytes.
    :param stall: Time without progress after which a request may be evicted, in
        seconds.
    """

    def __init__(self, limit, stall):
        self.limit = limit
        self.stall = stall
        self.held = 0
        self._account_by_request = {}
        self._search_again_at = 0.0

    def charge(self, request, cost, now, has_arrived=False):
        """Return the ``Admission`` of a request that has received further bytes.

        :param request: The request, as a hashable object.
        :param cost: Memory that it holds by now, in bytes.
        :param now: Current time, in seconds.
        :param has_arrived: Whether the request is complete.
        """
        account = self._account_by_request.get(request)
        if account is None:
            account = Account(0, now, now)
            self._account_by_request[request] = account
        room = self.limit
        if cost > SMALL_BYTES:
            room -= int(self.limit * RESERVED_SHARE)
        excess = self.held + cost - account.cost - room
        evicted = ()
        if excess > 0:
            evicted = self._find_victims(request, cost, excess, now)
            if not evicted:
                self.release(request)
                return REFUSED
            for victim in evicted:
                self.release(victim)
        self.held += cost - account.cost
        account.cost = cost
        account.progressed_at = now
        account.has_arrived = has_arrived
        return Admission(True, evicted) if evicted else ADMITTED

    def release(self, request):
        """Record that a request holds nothing any more."""
        account = self._account_by_request.pop(request, None)
        if account is not None:
            self.held -= account.cost

    def _find_victims(self, request, cost, excess, now):
        """Return requests to evict that free enough memory, or nothing."""
        if now >= self._search_again_at:
            stalled = self._list_waiting(
                request, lambda item: self._is_stalled(item, now)
            )
            victims = self._choose(stalled, excess)
            if victims:
                return victims
            self._search_again_at = now + self.stall * RETRY_STALLS
        if cost > SMALL_BYTES:
            return ()
        # Other small requests fill the reserved part.
        return self._choose(self._list_waiting(request, lambda _: True), excess)

    def _is_stalled(self, account, now):
        return (
            now - account.progressed_at >= self.stall
            or now - account.started_at >= self.stall * MAX_STALLS
        )

    def _list_waiting(self, request, is_candidate):
        """Return pairs of cost and request, largest first, then the oldest."""
        candidates = [
            (account, other)
            for other, account in self._account_by_request.items()
            if not account.has_arrived
            and other is not request
            and is_candidate(account)
        ]
        candidates.sort(key=lambda pair: (-pair[0].cost, pair[0].progressed_at))
        return [(account.cost, other) for account, other in candidates]

    def _choose(self, candidates, excess):
        target = max(excess, int(self.limit * FREED_SHARE))
        victims, freed = [], 0
        for cost, other in candidates:
            if freed >= target:
                break
            victims.append(other)
            freed += cost
        return tuple(victims) if freed >= excess else ()
