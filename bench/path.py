"""Measure the path of a request through real processes on loopback.

Added latency against calling the endpoint directly, and goodput under overload.
"""

import argparse
import http.client
import itertools
import json
import statistics
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, replace

from demo.cluster import Cluster
from demo.sites import SITE_BY_NAME

ENTRIES = ("entry-1", "entry-2")
NODES = 3
SLOTS = 8
LATENCY_RATE = 200.0
LATENCY_SERVICE_MS = 5
LATENCY_SECONDS = 4.0
LATENCY_ROUNDS = 3
LATENCY_THREADS = 32
OVERLOAD_SERVICE_MS = 200
OVERLOAD_SECONDS = 8.0
OVERLOAD_THREADS = 256
DEADLINE_MS = 1000
FACTORS = (1.0, 2.0, 5.0, 0.9)
CLIENT_TIMEOUT_SECONDS = 10.0
SPREAD_SECONDS = 0.5
USUAL_SETTINGS = {"poll": 1.0, "rescan": 5.0, "rescan_sessions": 15.0}
HEDGE_SHARES = (0.0, 0.05, 0.0, 0.05)
HEDGE_RATE = 120.0
HEDGE_SECONDS = 20.0
HEDGE_WARM_UP_SECONDS = 5.0
HEDGE_SERVICE_MS = 10
SLOW_SHARE = 0.02
SLOW_FACTOR = 20.0


@dataclass(frozen=True, slots=True)
class Sample:
    """One request as its caller saw it.

    :param begun: Time of the call.
    :param seconds: Time until the answer.
    :param outcome: Outcome header; empty when there is none.
    """

    begun: float
    seconds: float
    outcome: str


class OpenLoad:
    """Send at a fixed rate, whatever the answers.

    :param addresses: Servers, used in turn.
    :param path: Path of the requests.
    :param rate: Requests a second.
    :param seconds: Duration.
    :param service_ms: Time that the endpoint takes.
    :param threads: Callers at once.
    """

    def __init__(self, addresses, path, rate, seconds, service_ms, threads):
        self.addresses = addresses
        self.path = path
        self.rate = rate
        self.total = int(rate * seconds)
        self.service_ms = service_ms
        self.samples = []
        self._numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._run, args=(addresses[n % len(addresses)],))
            for n in range(threads)
        ]

    def run(self):
        """Send everything and return the samples."""
        self.started = time.monotonic() + SPREAD_SECONDS
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()
        return self.samples

    def _run(self, address):
        connection = http.client.HTTPConnection(address, timeout=CLIENT_TIMEOUT_SECONDS)
        while True:
            number = next(self._numbers)
            if number >= self.total:
                return
            due = self.started + number / self.rate
            time.sleep(max(0.0, due - time.monotonic()))
            self._send(connection, number, due)

    def _send(self, connection, number, due):
        body = json.dumps({"id": f"b{number}", "service_ms": self.service_ms})
        headers = {
            "X-Request-Deadline-Ms": str(DEADLINE_MS),
            "X-Request-Repeatable": "true",
        }
        begun = time.monotonic()
        try:
            connection.request("POST", self.path, body, headers)
            response = connection.getresponse()
            response.read()
            outcome = response.getheader("X-Request-Outcome", "")
        except (OSError, http.client.HTTPException):
            connection.close()
            outcome = "cut-off"
        seconds = time.monotonic() - begun
        self.samples.append(Sample(due - self.started, seconds, outcome))


def start_cluster(folder, entry_settings=None):
    """Start a site of three nodes and return its ``Cluster``.

    :param entry_settings: Settings of the entries that differ from the usual ones.
    """
    site = replace(SITE_BY_NAME["tsehay"], nodes_per_zone=1)
    cluster = Cluster(site, folder, [sys.executable, "-m", "bergamotshore"])
    cluster.entry_settings = {**USUAL_SETTINGS, **(entry_settings or {})}
    cluster.start_site(ENTRIES)
    return cluster


def measure_latency(cluster):
    """Print the added latency of the path, medians over rounds."""
    site = cluster.site
    endpoints = [
        cluster.member_by_name[f"endpoint-{name}"].address
        for name, _ in site.list_nodes()
    ]
    entries = [cluster.member_by_name[name].address for name in ENTRIES]
    path = f"/services/{site.service}{site.read_path}"
    rows = []
    for _ in range(LATENCY_ROUNDS):
        row = []
        for addresses, target in ((endpoints, site.read_path), (entries, path)):
            load = OpenLoad(
                addresses,
                target,
                LATENCY_RATE,
                LATENCY_SECONDS,
                LATENCY_SERVICE_MS,
                LATENCY_THREADS,
            )
            seconds = sorted(sample.seconds for sample in load.run())
            row.append(seconds[len(seconds) // 2] * 1000)
            row.append(seconds[int(0.99 * len(seconds))] * 1000)
        rows.append(row)
    direct50, direct99, path50, path99 = (
        statistics.median(column) for column in zip(*rows, strict=True)
    )
    print(f"latency at {LATENCY_RATE:g} requests a second, medians of {LATENCY_ROUNDS}")
    print(f"  direct to the endpoint  p50 {direct50:6.2f} ms  p99 {direct99:6.2f} ms")
    print(f"  through entry and node  p50 {path50:6.2f} ms  p99 {path99:6.2f} ms")
    print(f"  added                   p50 {path50 - direct50:6.2f} ms")


def measure_hedging(folder, share):
    """Print quantiles when some runs are slow, whatever the endpoint.

    :param share: Hedges as a share of first tries.
    """
    cluster = start_cluster(folder, {"hedge_share": share})
    try:
        entries = [cluster.member_by_name[name].address for name in ENTRIES]
        path = f"/services/{cluster.site.service}{cluster.site.read_path}"
        for name, _ in cluster.site.list_nodes():
            slow = {"factor": SLOW_FACTOR, "share": SLOW_SHARE}
            cluster.ask(f"endpoint-{name}", "/slowdown", slow)
        load = OpenLoad(
            entries, path, HEDGE_RATE, HEDGE_SECONDS, HEDGE_SERVICE_MS, LATENCY_THREADS
        )
        samples = load.run()
        seconds = sorted(
            sample.seconds * 1000
            for sample in samples
            if sample.begun > HEDGE_WARM_UP_SECONDS
        )
        runs = sum(
            len(cluster.ask(f"endpoint-{name}", "/counts")["runs"])
            for name, _ in cluster.site.list_nodes()
        )
    finally:
        cluster.kill_all()
    p50, p99, p999 = (seconds[int(q * (len(seconds) - 1))] for q in (0.5, 0.99, 0.999))
    print(
        f"  hedge share {share:4.2f}: p50 {p50:6.1f} ms, p99 {p99:6.1f} ms, "
        f"p99.9 {p999:6.1f} ms, {runs / len(samples):.3f} runs a request"
    )


def measure_overload(cluster):
    """Print goodput and refusals at several loads, one after the other."""
    site = cluster.site
    entries = [cluster.member_by_name[name].address for name in ENTRIES]
    path = f"/services/{site.service}{site.read_path}"
    capacity = NODES * SLOTS / (OVERLOAD_SERVICE_MS / 1000)
    print(f"goodput, capacity {capacity:g} a second, deadline {DEADLINE_MS} ms")
    for factor in FACTORS:
        load = OpenLoad(
            entries,
            path,
            factor * capacity,
            OVERLOAD_SECONDS,
            OVERLOAD_SERVICE_MS,
            OVERLOAD_THREADS,
        )
        samples = load.run()
        print_overload(factor, capacity, samples)


def print_overload(factor, capacity, samples):
    """Print one line for one load."""
    done = [sample for sample in samples if sample.outcome == "completed"]
    refused = sorted(s.seconds for s in samples if s.outcome == "not-run")
    other = len(samples) - len(done) - len(refused)
    in_time = [sample for sample in done if sample.seconds <= DEADLINE_MS / 1000]
    goodput = len(in_time) / OVERLOAD_SECONDS / capacity
    middle = refused[len(refused) // 2] * 1000 if refused else 0.0
    late = refused[int(0.99 * len(refused))] * 1000 if refused else 0.0
    slow = sorted(sample.seconds for sample in done)
    p99 = slow[int(0.99 * len(slow))] * 1000 if slow else 0.0
    print(
        f"  {factor:3.1f}x: goodput {goodput:6.1%} of capacity, completed p99 "
        f"{p99:6.0f} ms, refused {len(refused):5d} (p50 {middle:5.1f} ms, p99 "
        f"{late:6.1f} ms), other {other}"
    )


def main():
    """Run both measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=("latency", "overload", "hedge"), default="")
    options = parser.parse_args()
    if options.only in ("", "hedge"):
        print(f"hedging, {SLOW_SHARE:.0%} of all runs {SLOW_FACTOR:g}x slow")
        for share in HEDGE_SHARES:
            with tempfile.TemporaryDirectory() as folder:
                measure_hedging(folder, share)
    if options.only == "hedge":
        return
    with tempfile.TemporaryDirectory() as folder:
        cluster = start_cluster(folder)
        try:
            if options.only != "overload":
                measure_latency(cluster)
            if options.only != "latency":
                measure_overload(cluster)
        finally:
            cluster.kill_all()


if __name__ == "__main__":
    main()
