"""Explain what happened to a job, task, worker or node, from the logs of processes."""

import sys
from pathlib import Path

from bergamotshore.exceptions import LogsUnreadableError
from bergamotshore.management import exitcodes
from bergamotshore.management.output import print_json
from bergamotshore.timeline.explanation import explain_subject, parse_line


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument(
        "subject", help="identifier of a job, or name of a task, worker or node"
    )
    parser.add_argument("files", nargs="*", help="log files (default: standard input)")
    parser.add_argument("--json", action="store_true", help="print JSON")


def handle(options):
    """Print the explanation; return ``FAILED`` when no log line has the subject."""
    lines = [line for text in read_texts(options.files) if (line := parse_line(text))]
    explanation = explain_subject(lines, options.subject)
    if options.json:
        print_json(
            {
                "own": [str(line) for line in explanation.subject_lines],
                "context": [str(line) for line in explanation.context],
                "causes": explanation.causes,
            }
        )
    elif explanation.subject_lines:
        print_section("what happened", explanation.subject_lines)
        print_section("state of the processes involved", explanation.context)
        print_section(
            "causes", explanation.causes or ["no known cause in these log lines"]
        )
    else:
        print(
            f"none of {len(lines)} log lines has the subject {options.subject}",
            file=sys.stderr,
        )
    return exitcodes.DONE if explanation.subject_lines else exitcodes.FAILED


def read_texts(files):
    """Yield the lines of log files, or of standard input when there are none.

    :raises LogsUnreadableError: when a file can not be read.
    """
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            yield from Path(name).read_text(errors="replace").splitlines()
        except OSError as error:
            raise LogsUnreadableError(f"{name}: {error.strerror}") from error


def print_section(title, items):
    """Print a title and the items below it."""
    print(f"{title}:")
    for item in items:
        print(f"  {item}")
