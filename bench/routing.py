"""Compare ways to route requests, with one slow worker and late load reports.

Virtual time over the product's own routing and admission; no network.
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass

from bergamotshore.core.ledger import AdmissionLedger, Refuse, Run
from bergamotshore.core.routing import Candidate, choose_node, smooth_others

ENTRIES = 3
WORKERS = 11
SLOTS = 8
CONNECTIONS = 64
SERVICE_SECONDS = 0.02
SLOW_FACTOR = 5.0
UTILISATION = 0.6
REPORT_EVERY_SECONDS = 0.5
REPORT_DELAY_SECONDS = 1.0
RUN_SECONDS = 40.0
WARM_UP_SECONDS = 5.0
DEADLINE_SECONDS = 10.0
SEEDS = range(101, 106)
TAIL = 0.99


@dataclass(slots=True)
class Report:
    """Load of a worker as it told it.

    :param held: Requests held.
    :param service_seconds: Moving average of the service time.
    """

    held: int = 0
    service_seconds: float = 0.0


class Simulation:
    """One run of one policy.

    :param choose: Function of candidates and random source that gives one of them.
    :param seed: Seed of arrivals and service times.
    """

    def __init__(self, choose, seed):
        self.choose = choose
        self.random = random.Random(seed)
        self.ledgers = [AdmissionLedger(SLOTS, CONNECTIONS) for _ in range(WORKERS)]
        self.reports = [Report() for _ in range(WORKERS)]
        self.others = [[0.0] * WORKERS for _ in range(ENTRIES)]
        self.in_flight = [[0] * WORKERS for _ in range(ENTRIES)]
        self.begun_by_request = {}
        self.latencies = []
        self.refused = 0
        self._events = []
        self._count = itertools.count()
        self.now = 0.0

    def run(self):
        """Run to the end and return the latencies in seconds."""
        self._plan(0.0, self._arrive)
        for worker in range(WORKERS):
            self._plan(
                self.random.uniform(0, REPORT_EVERY_SECONDS), self._report, worker
            )
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.latencies

    def _plan(self, delay, function, *arguments):
        event = (self.now + delay, next(self._count), function, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self):
        if self.now > RUN_SECONDS:
            return
        rate = UTILISATION * WORKERS * SLOTS / SERVICE_SECONDS
        self._plan(self.random.expovariate(rate), self._arrive)
        entry = self.random.randrange(ENTRIES)
        chosen = self.choose(self._list_candidates(entry), self.random)
        if chosen is None:
            self.refused += 1
            return
        self._admit(entry, int(chosen.node))

    def _list_candidates(self, entry):
        return [
            Candidate(
                str(worker),
                SLOTS,
                CONNECTIONS,
                self.in_flight[entry][worker],
                self.others[entry][worker],
                report.service_seconds,
            )
            for worker, report in enumerate(self.reports)
        ]

    def _admit(self, entry, worker):
        request = next(self._count)
        self.begun_by_request[request] = (self.now, entry)
        action = self.ledgers[worker].admit(
            request, self.now + DEADLINE_SECONDS, self.now
        )
        if isinstance(action, Refuse):
            self.refused += 1
            return
        self.in_flight[entry][worker] += 1
        if isinstance(action, Run):
            self._start(worker, request)

    def _start(self, worker, request):
        mean = SERVICE_SECONDS * (SLOW_FACTOR if worker == 0 else 1.0)
        seconds = self.random.lognormvariate(0.0, 0.4) * mean
        self._plan(seconds, self._finish, worker, request, seconds)

    def _finish(self, worker, request, seconds):
        ledger = self.ledgers[worker]
        ledger.finish(request, seconds)
        begun, entry = self.begun_by_request.pop(request)
        self.in_flight[entry][worker] -= 1
        if begun > WARM_UP_SECONDS:
            self.latencies.append(self.now - begun)
        for action in ledger.advance(self.now):
            if isinstance(action, Run):
                self._start(worker, action.request_id)

    def _report(self, worker):
        if self.now > RUN_SECONDS:
            return
        ledger = self.ledgers[worker]
        report = Report(ledger.held, ledger.service_seconds)
        self._plan(REPORT_DELAY_SECONDS, self._hear, worker, report)
        self._plan(REPORT_EVERY_SECONDS, self._report, worker)

    def _hear(self, worker, report):
        self.reports[worker] = report
        for entry in range(ENTRIES):
            self.others[entry][worker] = smooth_others(
                self.others[entry][worker], report.held, self.in_flight[entry][worker]
            )


class LastReport(Simulation):
    """A run in which entries believe the last report as it is."""

    def _list_candidates(self, entry):
        return [
            Candidate(
                str(worker), SLOTS, CONNECTIONS, 0, report.held, report.service_seconds
            )
            for worker, report in enumerate(self.reports)
        ]


def choose_random(candidates, source):
    """Choose any node."""
    return source.choice(candidates)


def build_round_robin():
    """Return a function that chooses each node in turn."""
    turn = itertools.count()
    return lambda candidates, source: candidates[next(turn) % len(candidates)]


def choose_least_reported(candidates, source):
    """Choose the node whose last report told the least load."""
    return min(candidates, key=lambda item: (item.others, source.random()))


@dataclass(frozen=True, slots=True)
class Policy:
    """One way to route.

    :param name: Name in the table.
    :param build: Returns the function that chooses.
    :param simulation: What entries know.
    """

    name: str
    build: Callable
    simulation: type


POLICIES = (
    Policy("two choices on expected end (chosen)", lambda: choose_node, Simulation),
    Policy("two choices on the last report", lambda: choose_node, LastReport),
    Policy("random", lambda: choose_random, Simulation),
    Policy("round robin", build_round_robin, Simulation),
    Policy("least reported load", lambda: choose_least_reported, LastReport),
)


def measure(policy):
    """Return medians over the seeds of p50, p99, p99.9 in ms, and refusals."""
    rows = []
    for seed in SEEDS:
        simulation = policy.simulation(policy.build(), seed)
        latencies = sorted(simulation.run())
        quantiles = [
            latencies[int(share * (len(latencies) - 1))] * 1000
            for share in (0.5, TAIL, 0.999)
        ]
        rows.append((*quantiles, simulation.refused))
    return [statistics.median(column) for column in zip(*rows, strict=True)]


def main():
    """Print the table."""
    print(
        f"routing: {ENTRIES} entries, {WORKERS} workers, one "
        f"{SLOW_FACTOR:g}x slow, reports {REPORT_DELAY_SECONDS:g} s late, "
        f"{UTILISATION:.0%} of nominal capacity"
    )
    print(f"{'policy':40} {'p50 ms':>9} {'p99 ms':>9} {'p99.9 ms':>9} {'refused':>8}")
    for policy in POLICIES:
        p50, p99, p999, refused = measure(policy)
        print(f"{policy.name:40} {p50:9.1f} {p99:9.1f} {p999:9.1f} {refused:8.0f}")


if __name__ == "__main__":
    main()
