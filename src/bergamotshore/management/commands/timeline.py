"""Print the events of all processes in causal order."""

import msgspec

from bergamotshore.exceptions import OperatorCallError
from bergamotshore.generated.messages import TimelineEvent
from bergamotshore.management import client, exitcodes
from bergamotshore.management.client import OperatorClient
from bergamotshore.management.output import print_json, print_table
from bergamotshore.timeline.recorder import merge_events


def add_arguments(parser):
    """Add the arguments of this command."""
    parser.add_argument(
        "--follow",
        default="",
        metavar="SUBJECT",
        help="only events whose subject contains this text, such as a request "
        "identifier, task/TEAM/NAME or config/VERSION",
    )
    parser.add_argument(
        "--also",
        action="append",
        default=[],
        metavar="ADDRESS",
        help="operators' address of another entry; can be repeated",
    )
    client.add_arguments(parser)


def handle(options):
    """Collect, merge and print the events."""
    events = collect_events([options.operators, *options.also], options.token)
    merged = merge_events(events, options.follow)
    if options.json:
        print_json({"events": [msgspec.to_builtins(event) for event in merged]})
        return exitcodes.DONE
    rows = [
        (
            event.clock,
            f"{event.process}/{event.incarnation}",
            event.sequence,
            event.kind,
            event.subject,
            event.detail,
        )
        for event in merged
    ]
    print_table(("clock", "process", "sequence", "kind", "subject", "detail"), rows)
    return exitcodes.DONE


def collect_events(addresses, token):
    """Return the events of several entries and of their nodes.

    :param addresses: Operators' addresses. Only the first entry has to respond; others
        that fail are skipped.
    :param token: Access token of a team.
    """
    events = []
    for position, address in enumerate(addresses):
        try:
            answer = OperatorClient(address, token).call("GET", "/v1/events")
        except OperatorCallError:
            if position == 0:
                raise
            continue
        events += msgspec.convert(answer["events"], type=list[TimelineEvent])
    return events
