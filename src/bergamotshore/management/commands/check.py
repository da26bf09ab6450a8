"""Validate settings or a configuration document and print all problems."""

from pathlib import Path

from returns.result import Failure, Success

from bergamotshore.conf.document import load_document
from bergamotshore.conf.problems import Problem
from bergamotshore.conf.settings import load_settings
from bergamotshore.management import exitcodes
from bergamotshore.management.output import print_json


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("file", help="file to validate")
    parser.add_argument(
        "--settings",
        action="store_true",
        help="the file has settings of a process, not a configuration document",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def handle(options):
    """Print all problems and return ``PROBLEMS`` if there are any."""
    problems = list_problems(options.file, options.settings)
    if options.json:
        print_json({"problems": [problem.to_builtins() for problem in problems]})
    else:
        for problem in problems:
            print(problem)
    return exitcodes.PROBLEMS if problems else exitcodes.DONE


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
