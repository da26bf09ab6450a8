"""Compare a configuration document with the one in force."""

import difflib

import msgspec

from bergamotshore.management import client, exitcodes
from bergamotshore.management.documents import dump_yaml, load_file
from bergamotshore.management.output import print_json


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("file", help="configuration document")
    client.add_arguments(parser)


def handle(options):
    """Print the differences of the sections in the file; 6 when there are some."""
    document = msgspec.to_builtins(load_file(options.file))
    answer = client.build_client(options).call("GET", "/v1/document")
    lines = compare(answer["document"], document)
    if options.json:
        print_json({"version": answer["version"], "lines": lines})
    else:
        print("\n".join(lines))
    return exitcodes.DIFFERENT if lines else exitcodes.DONE


def compare(in_force, wanted):
    """Return the lines of a unified difference, versions of sections left out.

    :param in_force: Document in force, as builtins.
    :param wanted: Document of the file, as builtins.
    """
    lines = []
    for path, section in _list_sections(wanted):
        known = dict(_list_sections(in_force)).get(path, {})
        lines += difflib.unified_diff(
            _render(known),
            _render(section),
            f"in force: {path}",
            f"file: {path}",
            lineterm="",
        )
    return lines


def _list_sections(document):
    sections = [(f"teams.{name}", item) for name, item in document["teams"].items()]
    if document["site"] is not None:
        sections.append(("site", document["site"]))
    return sections


def _render(section):
    plain = {key: value for key, value in section.items() if key != "version"}
    return dump_yaml(plain).splitlines() if plain else []
