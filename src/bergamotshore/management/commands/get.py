"""Print the configuration document in force."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.documents import dump_yaml
from bergamotshore.management.output import print_json


def add_arguments(parser):
    """Add the arguments of this command."""
    client.add_arguments(parser)


def handle(options):
    """Print the document in a form that can be edited and applied again."""
    answer = client.build_client(options).call("GET", "/v1/document")
    if options.json:
        print_json(answer)
    else:
        print(f"# configuration version {answer['version']}")
        print(dump_yaml(answer["document"]), end="")
    return exitcodes.DONE
