"""Take data centres out and bring them back."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.output import print_json, print_table


def add_arguments(parser):
    """Add the arguments of this command."""
    verbs = parser.add_subparsers(dest="verb", required=True)
    for verb, summary in (
        ("take-out", "let nothing start in a data centre and move its work away"),
        ("bring-back", "let work start in a data centre again"),
        ("list", "list the data centres"),
    ):
        command = verbs.add_parser(verb, help=summary, description=summary)
        if verb != "list":
            command.add_argument("zone", help="data centre")
        client.add_arguments(command)


def handle(options):
    """Carry out the verb."""
    caller = client.build_client(options)
    if options.verb == "list":
        return _list(caller, options)
    answer = caller.call("POST", f"/v1/zones/{options.zone}/{options.verb}")
    if options.json:
        print_json(answer)
    else:
        state = "open" if answer["is_open"] else "taken out"
        print(f"{answer['zone']} is {state}, gate version {answer['version']}")
    return exitcodes.DONE


def _list(caller, options):
    answer = caller.call("GET", "/v1/zones")
    if options.json:
        print_json(answer)
    else:
        rows = [
            (gate["zone"], "open" if gate["is_open"] else "taken out", gate["version"])
            for gate in answer["zones"]
        ]
        print_table(("zone", "state", "gate version"), rows)
    return exitcodes.DONE
