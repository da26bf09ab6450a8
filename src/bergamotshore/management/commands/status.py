"""Print the status of an entry and of the nodes connected to it."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.output import print_json, print_table

NODE_FIELDS = (
    "name",
    "zone",
    "service",
    "draining",
    "running",
    "queued",
    "attempts",
    "config_version",
)


def add_arguments(parser):
    """Add the arguments of this command."""
    client.add_arguments(parser)


def handle(options):
    """Print the status of the entry and a table of its nodes."""
    answer = client.build_client(options).call("GET", "/v1/status")
    if options.json:
        print_json(answer)
        return exitcodes.DONE
    ready = "ready" if answer["is_ready"] else "not ready"
    print(
        f"{answer['name']} in {answer['zone']}: {ready}, configuration "
        f"{answer['config_version']}, {answer['requests_in_flight']} requests in flight"
    )
    rows = [[node[name] for name in NODE_FIELDS] for node in answer["nodes"]]
    print_table(NODE_FIELDS, rows)
    return exitcodes.DONE
