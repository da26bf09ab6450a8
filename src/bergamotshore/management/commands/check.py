"""Validate settings or a configuration document and print all problems."""

from pathlib import Path

import msgspec
from returns.result import Failure, Success

from bergamotshore.conf.document import load_document
from bergamotshore.conf.loading import map_lines
from bergamotshore.conf.problems import Problem
from bergamotshore.conf.settings import load_settings
from bergamotshore.conf.warnings import find_conflicts, find_warnings
from bergamotshore.management import client, exitcodes
from bergamotshore.management.commands.diff import compare
from bergamotshore.management.documents import load_file, read_text
from bergamotshore.management.output import print_json


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("file", help="file to validate")
    parser.add_argument(
        "--settings",
        action="store_true",
        help="the file has settings of a process, not a configuration document",
    )
    parser.add_argument(
        "--in-force",
        action="store_true",
        help="ask an entry, and print how the document differs from the one in force",
    )
    client.add_arguments(parser)


def handle(options):
    """Print all problems and warnings, and what differs if that is asked for.

    :returns: ``PROBLEMS`` if there are any, else ``DIFFERENT`` if the document differs
        from the one in force. Warnings don't change the exit code.
    """
    problems = list_problems(options.file, options.settings)
    warnings, lines = [], []
    if not problems and not options.settings:
        text = read_text(options.file)
        document = load_file(options.file)
        warnings = find_warnings(document, map_lines(text))
        if options.in_force:
            conflicts, lines = _compare_with_entry(options, document)
            warnings += conflicts
    _print_findings(options.json, problems, warnings, lines)
    if problems:
        return exitcodes.PROBLEMS
    return exitcodes.DIFFERENT if lines else exitcodes.DONE


def _compare_with_entry(options, document):
    """Return warnings and lines of a diff against the running system."""
    entry = client.build_client(options)
    in_force = entry.call("GET", "/v1/document")["document"]
    nodes = {node["name"] for node in entry.call("GET", "/v1/status")["nodes"]}
    lines = compare(in_force, msgspec.to_builtins(document))
    return find_conflicts(document, in_force, nodes), lines


def _print_findings(is_json, problems, warnings, lines):
    if is_json:
        findings = {
            "problems": [problem.to_builtins() for problem in problems],
            "warnings": [warning.to_builtins() for warning in warnings],
            "lines": lines,
        }
        print_json(findings)
        return
    for line in [*problems, *(f"warning: {item}" for item in warnings), *lines]:
        print(line)


def list_problems(path, is_settings):
    """Return the problems of a file.

    :param path: Path of the file.
    :param is_settings: Whether the file has settings rather than a document.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [
            Problem(
                "conf.E000", str(path), 0, str(error), "check the path and the encoding"
            )
        ]
    load = load_settings if is_settings else load_document
    match load(text):
        case Success(_):
            return []
        case Failure(problems):
            return problems
