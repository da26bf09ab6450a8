"""Sub-commands and their arguments."""

import argparse
import sys

from bergamotshore import __version__
from bergamotshore.exceptions import OperatorCallError, SettingsError
from bergamotshore.management import exitcodes
from bergamotshore.management.commands import (
    apply,
    check,
    diff,
    entry,
    get,
    job,
    node,
    status,
    timeline,
    zone,
)

COMMANDS = (entry, node, check, apply, diff, get, zone, job, status, timeline)
EXIT_CODE_TEXT = (
    "exit codes: 0 done, 1 failed, 2 wrong usage, 3 problems found, 4 conflict, "
    "5 entry not reached, 6 documents differ"
)


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bergamotshore",
        description="Scheduler for colocated latency-critical and batch work.",
        epilog=EXIT_CODE_TEXT,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    for module in COMMANDS:
        name = module.__name__.rpartition(".")[2]
        summary = module.__doc__.splitlines()[0]
        command = commands.add_parser(name, help=summary, description=summary)
        module.add_arguments(command)
        command.set_defaults(handle=module.handle)
    return parser


def run_command(arguments):
    """Run one sub-command.

    :param arguments: Arguments after the program's name.
    :returns: Exit code.
    """
    options = build_parser().parse_args(arguments)
    try:
        return options.handle(options)
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return exitcodes.PROBLEMS
    except OperatorCallError as error:
        return report_refusal(error)


def report_refusal(error):
    """Print why an entry refused a call.

    :param error: ``OperatorCallError``.
    :returns: Exit code.
    """
    if error.status == 0:
        print(f"entry not reached: {error.problem}", file=sys.stderr)
        return exitcodes.UNREACHABLE
    print(f"{error.problem['code']}: {error.problem['detail']}", file=sys.stderr)
    for problem in error.problem.get("problems", []):
        place = f"line {problem['line']}: " if problem["line"] else ""
        text = f"{place}{problem['path']}: {problem['message']} [{problem['id']}]"
        print(text, file=sys.stderr)
    if error.status == 409:
        return exitcodes.CONFLICT
    return exitcodes.PROBLEMS if error.status == 422 else exitcodes.FAILED
