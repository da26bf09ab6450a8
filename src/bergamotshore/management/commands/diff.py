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
    """Print how the sections of the file differ; return ``DIFFERENT`` if they do."""
    document = msgspec.to_builtins(load_file(options.file))
    answer = client.build_client(options).call("GET", "/v1/document")
    lines = compare(answer["document"], document)
    if options.json:
        print_json({"version": answer["version"], "lines": lines})
    else:
        print("\n".join(lines))
    return exitcodes.DIFFERENT if lines else exitcodes.DONE


def compare(in_force, wanted):
    """Return the lines of a unified diff that ignores the versions of sections.

    :param in_force: Document in force, as a dictionary.
    :param wanted: Document of the file, as a dictionary.
    """
    lines = []
    for path, section in _list_sections(wanted):
        current = dict(_list_sections(in_force)).get(path, {})
        lines += difflib.unified_diff(
            _render(current),
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
    unversioned = {key: value for key, value in section.items() if key != "version"}
    return dump_yaml(unversioned).splitlines() if unversioned else []
