"""Apply one section of a configuration document."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.documents import read_document
from bergamotshore.management.output import print_json


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument("file", help="configuration document")
    parser.add_argument(
        "--team",
        default="",
        help="send only the section of this team; 'site' for the site's",
    )
    client.add_arguments(parser)


def handle(options):
    """Send the document; the entry applies the section that the token may change."""
    content = read_document(options.file, options.team)
    answer = client.build_client(options).call("PUT", "/v1/document", content)
    if options.json:
        print_json(answer)
    else:
        print(
            f"section {answer['team']} is now at version {answer['section_version']}, "
            f"configuration version {answer['config_version']}"
        )
    return exitcodes.DONE
