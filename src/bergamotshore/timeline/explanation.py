"""The story of one job, task, worker or node, told from the logs of all processes."""

import re
from dataclasses import dataclass, field
from datetime import datetime

_LINE = re.compile(
    r"(?P<at>\d{4}-\d\d-\d\dT\S+) [A-Z]+ process=(?P<process>\S+)"
    r" event=(?P<kind>\S+) subject=(?P<subject>\S+)(?P<fields>.*)"
)
_FIELD = re.compile(r"""(\w+)=('(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"|\S+)""")
# What a process believed is told from this long before the first line on the subject:
# the longest time that a term needs to change hands. In seconds.
BEFORE_SECONDS = 4.0
AFTER_SECONDS = 1.0

ENTRY_BELIEFS = {
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
NODE_BELIEFS = {
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
REFUSALS = {"call-refused", "job-not-accepted", "state-unknown", "cancel-failed"}
# Ends of runs that the job itself has not caused.
LOSSES = {
    "absent": "the worker does not know the run",
    "lapsed": "its lease ran out",
    "life-over": "the worker restarted",
    "node-silent": "nothing was heard from its node until its lease was over",
    "worker-lapsed": "the worker was gone or its lease over",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line.

    :param at: Time as written, in ISO format.
    :param process: Process that wrote it.
    :param kind: Kind of event.
    :param subject: What it is about.
    :param value_by_field: What decided it, and the outcome.
    """

    at: str
    process: str
    kind: str
    subject: str
    value_by_field: dict = field(default_factory=dict)

    @property
    def seconds(self):
        """Return the time, in seconds since the epoch."""
        return datetime.fromisoformat(self.at).timestamp()

    def __str__(self):
        fields = [f"{name}={value}" for name, value in self.value_by_field.items()]
        return " ".join([self.at, self.process, self.kind, self.subject, *fields])


@dataclass(frozen=True, slots=True)
class Story:
    """What was found.

    :param own: Lines about the subject, in the order of their times.
    :param context: Lines on what processes involved believed meanwhile.
    :param causes: Sentences that say what went wrong.
    """

    own: list
    context: list
    causes: list


def parse_line(text):
    """Return the ``LogLine`` in a line of text, None when it holds none."""
    match = _LINE.search(text)
    if match is None or not _is_time(match["at"]):
        return None
    value_by_field = {
        name: value.strip("'\"") for name, value in _FIELD.findall(match["fields"])
    }
    return LogLine(
        match["at"], match["process"], match["kind"], match["subject"], value_by_field
    )


def _is_time(text):
    try:
        datetime.fromisoformat(text)
    except ValueError:
        return False
    return True


def tell_story(lines, subject):
    """Return the ``Story`` of a subject.

    Lines of one process keep their order; those of several follow the clocks of their
    machines, which may differ, so the numbers of runs tell which came first.

    :param lines: List of ``LogLine`` of all processes.
    :param subject: Identifier of a job, name of a task, worker, node or version.
    """
    lines = sorted(lines, key=lambda line: line.seconds)
    own = [line for line in lines if _is_about(line.subject, subject)]
    if not own:
        return Story([], [], [])
    began = own[0].seconds - BEFORE_SECONDS
    ended = own[-1].seconds + AFTER_SECONDS
    entries = {line.process for line in own}
    nodes = {line.value_by_field.get("node") for line in own} - {None}
    context = [
        line
        for line in lines
        if began <= line.seconds <= ended and _is_context(line, entries, nodes)
    ]
    return Story(own, context, _find_causes(own, context))


def _is_about(name, subject):
    return name == subject or name.startswith(subject + ".")


def _is_context(line, entries, nodes):
    if line.kind in ENTRY_BELIEFS:
        return line.process in entries
    is_of_node = line.process in nodes or line.subject in nodes
    return line.kind in NODE_BELIEFS and is_of_node


def _find_causes(own, context):
    causes = [_tell_refusal(line) for line in own if line.kind in REFUSALS]
    causes += [
        _tell_loss(line, context)
        for line in own
        if line.kind == "run-ended" and line.value_by_field.get("outcome") in LOSSES
    ]
    causes += _tell_stops(own)
    if not any(line.kind == "run-ordered" for line in own) and any(
        line.kind == "job-accepted" for line in own
    ):
        causes.append("no task was ordered: no worker had room, or nobody scheduled")
    return causes


def _tell_refusal(line):
    why = line.value_by_field.get("why", "unknown")
    text = {
        "store-away": "the store was known to be away; nothing was written",
        "platform-unavailable": "the store did nothing; the job was not accepted",
        "platform-uncertain": "a write was not answered; a repeat settles it",
    }.get(why, why)
    return f"{line.process} answered {line.kind} at {line.at}: {text}"


def _tell_loss(line, context):
    outcome = line.value_by_field["outcome"]
    node = line.value_by_field.get("node", "")
    run = line.value_by_field.get("run")
    text = f"run {run} of {line.subject} on {node} was lost: {LOSSES[outcome]}"
    before = [
        item
        for item in context
        if item.kind in {"worker-silent", "worker-life", "node-lost"}
        and node in (item.process, item.subject)
        and item.seconds <= line.seconds
    ]
    if before:
        text += f" ({before[-1].kind} at {before[-1].at})"
    return text


def _tell_stops(own):
    ended = {
        (line.subject, line.value_by_field.get("run"))
        for line in own
        if line.kind == "run-ended"
    }
    for line in own:
        if line.kind != "run-stopped":
            continue
        run = line.value_by_field.get("run")
        why = line.value_by_field.get("why")
        text = f"run {run} of {line.subject} was stopped: {why}"
        if (line.subject, run) not in ended:
            text += "; its end was not seen"
        yield text
