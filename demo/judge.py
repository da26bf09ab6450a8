"""Judging a run by what the stand-ins counted."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 60_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)
CLOSED_BOUND_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the outcome table.

    :param name: What was counted.
    :param count: How often.
    :param most: Most that the promises allow; None when any number is.
    """

    name: str
    count: int
    most: int | None = None

    @property
    def is_broken(self):
        """Tell whether a promise is broken."""
        return self.most is not None and self.count > self.most


@dataclass(frozen=True, slots=True)
class Closure:
    """A time in which a data centre was taken out.

    :param zone: Data centre.
    :param began: When the operator's command returned.
    :param ended: When it was brought back.
    """

    zone: str
    began: float
    ended: float

    def forbids(self, zone, instant):
        """Tell whether no work may start in a data centre at an instant."""
        is_inside = self.began + CLOSED_BOUND_SECONDS < instant < self.ended
        return zone == self.zone and is_inside


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the stand-ins and the callers saw.

    :param sent: Requests as their callers saw them.
    :param endpoint_by_node: Counts of each endpoint.
    :param worker_by_node: Counts of each worker.
    :param zone_by_node: Data centre of each node.
    :param slots: Slots of each endpoint.
    :param processors: Size of each worker.
    :param closure: Time in which a data centre was taken out.
    """

    sent: list
    endpoint_by_node: dict
    worker_by_node: dict
    zone_by_node: dict
    slots: int
    processors: float
    closure: Closure


def judge_requests(evidence):
    """Return the lines about requests."""
    outcomes = Counter(item.outcome for item in evidence.sent)
    runs = Counter(
        run["id"]
        for counts in evidence.endpoint_by_node.values()
        for run in counts["runs"]
    )
    not_run = _list_never_run(evidence.sent)
    once = {item.id for item in evidence.sent if not item.repeatable}
    completed = [item.id for item in evidence.sent if item.outcome == "completed"]
    foreign = [item for item in evidence.sent if not item.is_own_answer]
    return [
        Line("requests sent, tries included", len(evidence.sent)),
        Line("completed", outcomes["completed"]),
        Line("not run", outcomes["not-run"]),
        Line("unknown", outcomes["unknown"]),
        Line("refused as invalid", outcomes["refused"], 0),
        Line("completed without a run", sum(1 for i in completed if not runs[i]), 0),
        Line("said not run, but ran", sum(1 for i in not_run if runs[i]), 0),
        Line("not repeatable, ran twice", sum(1 for i in once if runs[i] > 1), 0),
        Line("answer of another request", len(foreign), 0),
        Line("cut off by the stop", outcomes["cut-off"], 0),
        Line("endpoints over their slots", _count_overfull(evidence), 0),
        Line("requests begun in the closed data centre", _count_closed(evidence), 0),
    ]


def _list_never_run(sent):
    """Return the requests of which every try was answered with "not run"."""
    outcomes_by_id = {}
    for item in sent:
        outcomes_by_id.setdefault(item.id, set()).add(item.outcome)
    return [key for key, outcomes in outcomes_by_id.items() if outcomes == {"not-run"}]


def _count_overfull(evidence):
    return sum(
        1
        for counts in evidence.endpoint_by_node.values()
        if counts["most_running"] > evidence.slots
    )


def _count_closed(evidence):
    return sum(
        1
        for node, counts in evidence.endpoint_by_node.items()
        for run in counts["runs"]
        if evidence.closure.forbids(evidence.zone_by_node[node], run["started"])
    )


def judge_tasks(evidence, batch_tasks, watchers):
    """Return the lines about tasks.

    :param batch_tasks: Names of batch tasks that must complete once.
    :param watchers: Names of tasks that must be alive.
    """
    located = [
        (node, record)
        for node, counts in evidence.worker_by_node.items()
        for record in counts["records"]
    ]
    records = [record for _, record in located]
    completions = Counter(r["task"] for r in records if r["end"] == "completed")
    alive = {r["task"] for r in records if r["ended"] is None}
    resumed = [r for r in records if r["resumed_from"] > 0]
    return [
        Line("task attempts started", len(records)),
        Line("task attempts resumed from a checkpoint", len(resumed)),
        Line("batch tasks completed", len(completions)),
        Line(
            "batch tasks not completed",
            sum(1 for task in batch_tasks if not completions[task]),
            0,
        ),
        Line("tasks completed twice", sum(1 for n in completions.values() if n > 1), 0),
        Line("tasks in two places at once", _count_overlaps(records), 0),
        Line(
            "attempts started twice",
            sum(1 for n in Counter(_name(r) for r in records).values() if n > 1),
            0,
        ),
        Line("watchers not alive", sum(1 for w in watchers if w not in alive), 0),
        Line(
            "tasks started in the closed data centre",
            sum(
                1
                for node, record in located
                if evidence.closure.forbids(
                    evidence.zone_by_node[node], record["started"]
                )
            ),
            0,
        ),
        Line(
            "workers over their size",
            sum(
                1
                for counts in evidence.worker_by_node.values()
                if counts["most_processors"] > evidence.processors
            ),
            0,
        ),
    ]


def _name(record):
    return (record["task"], record["attempt"])


def _count_overlaps(records):
    spans_by_task = {}
    for record in records:
        ended = record["ended"] if record["ended"] is not None else float("inf")
        spans_by_task.setdefault(record["task"], []).append((record["started"], ended))
    overlaps = 0
    for spans in spans_by_task.values():
        spans.sort()
        overlaps += sum(
            1
            for before, after in zip(spans, spans[1:], strict=False)
            if after[0] < before[1]
        )
    return overlaps


def measure_latency(sent):
    """Return pairs of quantile and milliseconds over completed requests."""
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    for item in sent:
        if item.outcome == "completed":
            histogram.record_value(max(1, int(item.seconds * 1e6)))
    return [
        (quantile, histogram.get_value_at_percentile(quantile) / 1000)
        for quantile in QUANTILES
    ]
