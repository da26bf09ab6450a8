"""Detection of runs that go on after their job is over, and what keeps them there.

It changes no decision; the scheduling entry logs its findings.
"""

from dataclasses import dataclass

# A stop is sent again after 1 s, and runs of cancelled jobs have to be gone after 3 s;
# one that is still there in between is logged. In seconds.
REPORTED_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OutlastingRun:
    """A run whose job is over.

    :param name: Name of the task at its worker.
    :param number: Number of the run.
    :param node: Node beside the worker.
    :param seconds: How long its job has been over.
    :param reason: Code of what keeps it from ending.
    """

    name: str
    number: int
    node: str
    seconds: float
    reason: str


class OutlastingRunTracker:
    """Track since when runs have outlasted their jobs."""

    def __init__(self):
        self._since_by_key = {}
        self._reported_keys = set()

    def update(self, cluster, now):
        """Update the state of all runs.

        :param cluster: ``ClusterState``.
        :param now: Current time, in seconds.
        :returns: Pair of a list of ``OutlastingRun`` to report, once for each, and a
            list of those reported before that are gone now.
        """
        since_by_key = {}
        found = []
        for worker in cluster.worker_by_node.values():
            for name, number in _list_outlasting(cluster, worker):
                key = (worker.node, name, number)
                since = since_by_key[key] = self._since_by_key.get(key, now)
                is_due = now - since >= REPORTED_SECONDS
                if is_due and key not in self._reported_keys:
                    self._reported_keys.add(key)
                    reason = _find_reason(worker)
                    found.append(
                        OutlastingRun(name, number, worker.node, now - since, reason)
                    )
        gone = [
            OutlastingRun(name, number, node, now - self._since_by_key[key], "")
            for key in sorted(self._reported_keys - since_by_key.keys())
            for node, name, number in (key,)
        ]
        self._reported_keys &= since_by_key.keys()
        self._since_by_key = since_by_key
        return found, gone


def _list_outlasting(cluster, worker):
    """Yield task name and run number of the runs of a worker whose jobs are over."""
    yield from worker.unknown_runs
    for run in worker.allocation_by_key.values():
        progress = cluster.job_by_key.get(run.ref.job)
        is_over = progress is None or progress.is_cancelled or progress.outcome
        if is_over and run.sent_at:
            yield run.key


def _find_reason(worker):
    if worker.stream is None:
        return "node-away"
    if not worker.is_reachable:
        return "node-silent"
    return "stopping" if worker.is_answering else "worker-silent"
