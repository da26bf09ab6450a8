"""Apply one section of a configuration document."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.documents import read_document
from bergamotshore.management.output import print_json


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("file", help="configuration document")
    parser.add_argument(
        "--team", default="", help="send this team's section only; 'site' for the site"
    )
    client.add_arguments(parser)


def handle(options):
    """Send the document; the entry takes the section that the token owns."""
    content = read_document(options.file, options.team)
    answer = client.build_client(options).call("PUT", "/v1/document", content)
    if options.json:
        print_json(answer)
    else:
        print(
            f"section {answer['team']} is at version {answer['section_version']}, "
            f"configuration at {answer['config_version']}"
        )
    return exitcodes.DONE
