"""Close, reopen and list data centres."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.output import print_json, print_table


def add_arguments(parser):
    """Add the arguments of this command."""
    verbs = parser.add_subparsers(dest="verb", required=True)
    for verb, summary in (
        (
            "take-out",
            "close a data centre: nothing starts there and its work moves elsewhere",
        ),
        ("bring-back", "reopen a data centre: work may start there again"),
        ("list", "list the data centres"),
    ):
        command = verbs.add_parser(verb, help=summary, description=summary)
        if verb != "list":
            command.add_argument("zone", help="name of the data centre")
        client.add_arguments(command)


def handle(options):
    """Run the action that the options name."""
    entry = client.build_client(options)
    if options.verb == "list":
        return _list(entry, options)
    answer = entry.call("POST", f"/v1/zones/{options.zone}/{options.verb}")
    if options.json:
        print_json(answer)
    else:
        state = "open" if answer["is_open"] else "closed"
        print(f"{answer['zone']} is {state}, gate version {answer['version']}")
    return exitcodes.DONE


def _list(entry, options):
    answer = entry.call("GET", "/v1/zones")
    if options.json:
        print_json(answer)
    else:
        rows = [
            (gate["zone"], "open" if gate["is_open"] else "closed", gate["version"])
            for gate in answer["zones"]
        ]
        print_table(("zone", "state", "gate version"), rows)
    return exitcodes.DONE
