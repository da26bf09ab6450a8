"""Print the story of one job, task, worker or node from the logs of all processes."""

import sys
from pathlib import Path

from bergamotshore.exceptions import LogsUnreadableError
from bergamotshore.management import exitcodes
from bergamotshore.management.output import print_json
from bergamotshore.timeline.explanation import parse_line, tell_story


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument(
        "subject", help="identifier of a job, name of a task, worker or node"
    )
    parser.add_argument(
        "files", nargs="*", help="log files; standard input when there are none"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def handle(options):
    """Print what the logs tell; 1 when they tell nothing of the subject."""
    lines = [line for text in read_texts(options.files) if (line := parse_line(text))]
    story = tell_story(lines, options.subject)
    if options.json:
        print_json(
            {
                "own": [str(line) for line in story.own],
                "context": [str(line) for line in story.context],
                "causes": story.causes,
            }
        )
    elif story.own:
        print_section("what happened", story.own)
        print_section("what processes believed meanwhile", story.context)
        print_section("causes", story.causes or ["none found in these lines"])
    else:
        print(f"no line of {len(lines)} tells of {options.subject}", file=sys.stderr)
    return exitcodes.DONE if story.own else exitcodes.FAILED


def read_texts(files):
    """Yield the lines of text of log files, or of standard input.

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
    """Print a title and its lines."""
    print(f"{title}:")
    for item in items:
        print(f"  {item}")
