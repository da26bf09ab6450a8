"""Configuration changes during faults, and callers that check their propagation.

Each version declares the queue of all jobs and a queue of its own, which the next
version drops.
"""

import json
import random
import threading
import time
from dataclasses import dataclass

from bergamotshore.platform import operator
from bergamotshore.ports.rows import Put, RowId
from soak.site import HOST_NAME, build_route

# A confirmed change must be in force after this time, in seconds.
CONFIG_PROPAGATION_SECONDS = 2.0
SHORTEST_GAP_SECONDS = 0.1
# Upper bounds of the pauses between changes, in seconds: quick series and calm periods.
LONGEST_GAPS_SECONDS = (0.2, 1.5, 5.0)
# A process that has shown a version must not act on an older one after this time, in
# seconds; it is eight times the users' slack, since processes and links are slowed.
REGRESSION_SECONDS = 2.0
# Callers request the queues of this many latest versions.
PROBED_VERSIONS = 4
PROBE_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Change:
    """One version of the configuration.

    :param version: Version number.
    :param sent_at: When the write was sent to the store, in seconds.
    :param acked_at: When the store confirmed the write, in seconds.
    """

    version: int
    sent_at: float
    acked_at: float


class Operator(threading.Thread):
    """Change the configuration at irregular intervals, exempt from store faults.

    :param site: ``SoakSite``.
    :param seed: Seed of the pauses between changes.
    """

    def __init__(self, site, seed):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.changes = []
        self._site = site
        self._random = random.Random(f"operator-{seed}")

    def run(self):
        """Change the configuration until stopped."""
        while not self.is_stopped:
            self._change(len(self.changes) + 2)
            longest = self._random.choice(LONGEST_GAPS_SECONDS)
            time.sleep(self._random.uniform(SHORTEST_GAP_SECONDS, longest))

    def _change(self, version):
        routes = [build_route(), build_route(f"probe-{version}", get_prefix(version))]
        config = {"version": version, "routes": routes, "services": []}
        put = Put(
            RowId(operator.TABLE, "", operator.CONFIG_KEY), json.dumps(config).encode()
        )
        sent_at = time.monotonic()
        self._site.store.write([put], [])
        self.changes.append(Change(version, sent_at, time.monotonic()))


class ConfigProber(threading.Thread):
    """Request current and dropped queues from one entry and check the responses.

    :param operator: ``Operator`` whose changes are checked.
    :param caller: ``Caller`` whose connection is used.
    :param problems: List to which violations are appended.
    :param seed: Seed of the choice of versions.
    """

    def __init__(self, operator, caller, problems, seed):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.answered = 0
        self._newest_seen = NewestSeen()
        self._operator = operator
        self._caller = caller
        self._problems = problems
        self._random = random.Random(f"asker-{seed}")

    def run(self):
        """Send requests until stopped."""
        while not self.is_stopped:
            time.sleep(PROBE_INTERVAL_SECONDS)
            changes = list(self._operator.changes)
            if changes:
                self._probe(self._random.choice(changes[-PROBED_VERSIONS:]).version)

    def _probe(self, version):
        sent_at = time.monotonic()
        path = get_prefix(version)
        process = self._caller.program.process
        status, _ = self._caller.send("GET", path, None, {"Host": HOST_NAME})
        answered_at = time.monotonic()
        self.answered += status in (200, 404)
        changes = self._operator.changes
        problem = check_answer(changes, version, status, sent_at, answered_at)
        if not problem and process is self._caller.program.process:
            problem = self._newest_seen.check(
                process, changes, version, status, sent_at, answered_at
            )
        if problem:
            self._problems.append(problem)


class NewestSeen:
    """Newest version that the present process of an entry has shown."""

    def __init__(self):
        self._process = None
        self._version = 0
        self._seen_at = 0.0

    def check(self, process, changes, version, status, sent_at, answered_at):
        """Return a description of a regression, empty if there is none.

        :param process: Process that answered; another one may know less.
        """
        if process is not self._process:
            self._process, self._version = process, 0
        is_late = sent_at > self._seen_at + REGRESSION_SECONDS
        if status == 200 and version > self._version:
            self._version, self._seen_at = version, answered_at
        elif status == 200 and version < self._version and is_late:
            return f"queue of version {version} served after version {self._version}"
        is_kept = not any(
            change.version > version and change.sent_at <= answered_at
            for change in changes
        )
        if status == 404 and version == self._version and is_kept and is_late:
            return f"queue of version {version} not served any more"
        return ""


def get_prefix(version):
    """Return the prefix of the queue that only one version has."""
    return f"/probe-{version}/"


def check_answer(changes, version, status, sent_at, answered_at):
    """Return a description of the violation in a response, empty if there is none.

    :param changes: List of ``Change`` in order.
    :param version: Version whose queue was requested.
    :param status: HTTP status; other statuses than 200 and 404 are ignored.
    :param sent_at: When the request was sent, in seconds.
    :param answered_at: When the response arrived, in seconds.
    """
    own = next(change for change in changes if change.version == version)
    following = next((c for c in changes if c.version > version), None)
    settled = sent_at - CONFIG_PROPAGATION_SECONDS
    if status == 200 and following is not None and following.acked_at < settled:
        late = sent_at - following.acked_at
        return f"queue of version {version} served {late:.2f} s after it was dropped"
    is_kept = following is None or following.sent_at > answered_at
    if status == 404 and own.acked_at < settled and is_kept:
        late = sent_at - own.acked_at
        return f"queue of version {version} not served {late:.2f} s after it was added"
    return ""
