"""Explanation of what happened to a job, task, worker or node, from log lines."""

import re
from dataclasses import dataclass, field
from datetime import datetime

_LINE = re.compile(
    r"(?P<at>\d{4}-\d\d-\d\dT\S+) [A-Z]+ process=(?P<process>\S+)"
    r" event=(?P<kind>\S+) subject=(?P<subject>\S+)(?P<fields>.*)"
)
_FIELD = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")
# Seconds of context before the first log line of the subject: the longest time that
# the scheduling term takes to pass to another entry.
CONTEXT_BEFORE_SECONDS = 4.0
CONTEXT_AFTER_SECONDS = 1.0

ENTRY_STATE_KINDS = {
    "config-in-force",
    "fenced",
    "history-lost",
    "store-lost",
    "store-regained",
    "takeover",
    "term-lost",
    "term-resigned",
    "term-taken",
    "write-failed",
    "zone-closed",
    "zone-opened",
}
NODE_STATE_KINDS = {
    "entry-lost",
    "fence-raised",
    "leader-seen",
    "node-lost",
    "node-seen",
    "orders-refused",
    "runs-lost",
    "start-in-doubt",
    "worker-answers",
    "worker-life",
    "worker-reported",
    "worker-silent",
    "worker-slow",
}
REFUSAL_KINDS = {
    "call-refused",
    "job-not-accepted",
    "job-refused",
    "state-unknown",
    "cancel-failed",
}
# Outcomes of runs that the job itself did not cause.
CAUSE_BY_OUTCOME = {
    "absent": "the worker has no record of the run",
    "lapsed": "its lease expired",
    "life-over": "the worker restarted",
    "node-silent": "its node sent no heartbeat until the lease expired",
    "worker-lapsed": "the worker had left or its lease had expired",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line.

    :param at: Time in ISO format, as written in the log.
    :param process: Process that wrote the line.
    :param kind: Kind of event.
    :param subject: Job, task, worker, node or version that the event is about.
    :param value_by_field: Further fields, such as reason and outcome.
    """

    at: str
    process: str
    kind: str
    subject: str
    value_by_field: dict = field(default_factory=dict)

    @property
    def seconds(self):
        """Return the time as a Unix timestamp, in seconds."""
        return datetime.fromisoformat(self.at).timestamp()

    def __str__(self):
        fields = [f"{name}={value}" for name, value in self.value_by_field.items()]
        return " ".join([self.at, self.process, self.kind, self.subject, *fields])


@dataclass(frozen=True, slots=True)
class Explanation:
    """Log lines of a subject and the causes found in them.

    :param subject_lines: Log lines of the subject, sorted by time.
    :param context: Log lines on the state of the processes involved in that period.
    :param causes: Sentences that describe what went wrong.
    """

    subject_lines: list
    context: list
    causes: list


def parse_line(text):
    """Return the ``LogLine`` of a line of text, or None for text of another format."""
    match = _LINE.search(text)
    if match is None or not _is_iso_time(match["at"]):
        return None
    value_by_field = {
        name: value.strip("'\"") for name, value in _FIELD.findall(match["fields"])
    }
    return LogLine(
        match["at"], match["process"], match["kind"], match["subject"], value_by_field
    )


def _is_iso_time(text):
    try:
        datetime.fromisoformat(text)
    except ValueError:
        return False
    return True


def explain_subject(lines, subject):
    """Return the ``Explanation`` of a subject.

    Log lines are sorted by time, so those of one process keep their order. The clocks
    of machines may differ; the numbers of runs then show which came first.

    :param lines: List of ``LogLine`` of all processes.
    :param subject: Identifier of a job, or name of a task, worker, node or version.
    """
    lines = sorted(lines, key=lambda line: line.seconds)
    subject_lines = [line for line in lines if _is_subject(line.subject, subject)]
    if not subject_lines:
        return Explanation([], [], [])
    context_start = subject_lines[0].seconds - CONTEXT_BEFORE_SECONDS
    ended = subject_lines[-1].seconds + CONTEXT_AFTER_SECONDS
    entries = {line.process for line in subject_lines}
    nodes = {line.value_by_field.get("node") for line in subject_lines} - {None}
    context = [
        line
        for line in lines
        if context_start <= line.seconds <= ended and _is_context(line, entries, nodes)
    ]
    return Explanation(subject_lines, context, _find_causes(subject_lines, context))


def _is_subject(name, subject):
    return name == subject or name.startswith(subject + ".")


def _is_context(line, entries, nodes):
    if line.kind in ENTRY_STATE_KINDS:
        return line.process in entries
    is_of_node = line.process in nodes or line.subject in nodes
    return line.kind in NODE_STATE_KINDS and is_of_node


def _find_causes(subject_lines, context):
    causes = [
        _describe_refusal(line) for line in subject_lines if line.kind in REFUSAL_KINDS
    ]
    causes += [
        _describe_loss(line, context)
        for line in subject_lines
        if line.kind == "run-ended"
        and line.value_by_field.get("outcome") in CAUSE_BY_OUTCOME
    ]
    causes += _describe_stops(subject_lines)
    if not any(line.kind == "run-ordered" for line in subject_lines) and any(
        line.kind == "job-accepted" for line in subject_lines
    ):
        causes.append(
            "no run was ordered: no worker had capacity, or no entry was scheduling"
        )
    return causes


def _describe_refusal(line):
    why = line.value_by_field.get("why", "unknown")
    text = {
        "overload": _describe_estimate(line.value_by_field),
        "store-away": "the store was unreachable; nothing was written",
        "platform-unavailable": "no write took effect; the job was not accepted",
        "platform-uncertain": "a write was not confirmed; send the request again",
    }.get(why, why)
    return f"{line.process} answered {line.kind} at {line.at}: {text}"


def _describe_estimate(value_by_field):
    """Return the parts of the estimate by which a job was refused."""
    names = ["wait", "limit", "ahead", "age", "epoch", "accepted", "others", "cores"]
    value = {name: value_by_field.get(name, "?") for name in names}
    return (
        f"expected to wait {value['wait']} s, of use up to {value['limit']} s; "
        f"{value['ahead']} core-seconds ahead, told {value['age']} s before in term "
        f"{value['epoch']}, {value['accepted']} accepted here since and "
        f"{value['others']} elsewhere (a guess), on {value['cores']} cores"
    )


def _describe_loss(line, context):
    outcome = line.value_by_field["outcome"]
    node = line.value_by_field.get("node", "")
    run = line.value_by_field.get("run")
    text = (
        f"run {run} of {line.subject} on {node} was lost: {CAUSE_BY_OUTCOME[outcome]}"
    )
    earlier_lines = [
        item
        for item in context
        if item.kind in {"worker-silent", "worker-life", "node-lost"}
        and node in (item.process, item.subject)
        and item.seconds <= line.seconds
    ]
    if earlier_lines:
        text += f" ({earlier_lines[-1].kind} at {earlier_lines[-1].at})"
    return text


def _describe_stops(subject_lines):
    ended = {
        (line.subject, line.value_by_field.get("run"))
        for line in subject_lines
        if line.kind == "run-ended"
    }
    for line in subject_lines:
        if line.kind != "run-stopped":
            continue
        run = line.value_by_field.get("run")
        why = line.value_by_field.get("why")
        text = f"run {run} of {line.subject} was stopped: {why}"
        if (line.subject, run) not in ended:
            text += "; its completion is not in the logs"
        yield text
