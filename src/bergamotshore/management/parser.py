"""Parsing of the command line and dispatch to the sub-commands."""

import argparse
import importlib
import sys

from bergamotshore import __version__
from bergamotshore.exceptions import (
    BergamotshoreError,
    OperatorCallError,
    SettingsError,
)
from bergamotshore.management import exitcodes

SUMMARY_BY_COMMAND = {
    "entry": "Run the entry role.",
    "node": "Run the node role.",
    "check": "Validate settings or a configuration document and print all problems.",
    "apply": "Apply one section of a configuration document.",
    "diff": "Compare a configuration document with the one in force.",
    "get": "Print the configuration document in force.",
    "zone": "Close, reopen and list data centres.",
    "job": "Submit, list, show and cancel jobs.",
    "status": "Print the status of an entry and of the nodes connected to it.",
    "explain": "Explain from log lines what happened to a job, task, worker or node.",
    "timeline": "Print the events of all processes in causal order.",
}
EXIT_CODE_TEXT = (
    "exit codes: 0 success, 1 failure, 2 usage error, 3 invalid file, 4 conflict, "
    "5 entry not reached, 6 documents differ"
)


def build_parser(chosen=""):
    """Return the argument parser.

    Only the module of the chosen command is imported, since every import adds to the
    memory of a node.

    :param chosen: Name of the command to run; empty for none.
    """
    parser = argparse.ArgumentParser(
        prog="bergamotshore",
        description="Scheduler for colocated latency-critical and batch work.",
        epilog=EXIT_CODE_TEXT,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, summary in SUMMARY_BY_COMMAND.items():
        command = commands.add_parser(name, help=summary, description=summary)
        if name == chosen:
            module = importlib.import_module(
                f"bergamotshore.management.commands.{name}"
            )
            module.add_arguments(command)
            command.set_defaults(handle=module.handle)
    return parser


def run_command(arguments):
    """Run a sub-command and return its exit code.

    :param arguments: Command-line arguments without the program name.
    """
    chosen = next((item for item in arguments if item in SUMMARY_BY_COMMAND), "")
    options = build_parser(chosen).parse_args(arguments)
    try:
        return options.handle(options)
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return exitcodes.PROBLEMS
    except OperatorCallError as error:
        return report_call_error(error)
    except BergamotshoreError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return exitcodes.FAILED


def report_call_error(error):
    """Print the reason of a failed call of an entry and return the exit code.

    :param error: ``OperatorCallError``.
    """
    if error.status == 0:
        print(
            f"no valid response from the entry (check --operators): {error.problem}",
            file=sys.stderr,
        )
        return exitcodes.UNREACHABLE
    print(f"{error.problem['code']}: {error.problem['detail']}", file=sys.stderr)
    for problem in error.problem.get("problems", []):
        location = f"line {problem['line']}: " if problem["line"] else ""
        text = f"{location}{problem['path']}: {problem['message']} [{problem['id']}]"
        print(text, file=sys.stderr)
    if error.status == 409:
        return exitcodes.CONFLICT
    return exitcodes.PROBLEMS if error.status == 422 else exitcodes.FAILED
