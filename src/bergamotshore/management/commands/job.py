"""Submit, list, show and cancel jobs."""

from bergamotshore.management import client, exitcodes
from bergamotshore.management.documents import read_text
from bergamotshore.management.output import print_json, print_table


def add_arguments(parser):
    """Add the arguments of this command."""
    verbs = parser.add_subparsers(dest="verb", required=True)
    submit = verbs.add_parser("submit", help="submit a one-off job")
    submit.add_argument("job", help="job, as TEAM/NAME")
    submit.add_argument("file", help="YAML file with the fields of the job")
    verbs.add_parser("list", help="list jobs and watchers")
    show = verbs.add_parser("show", help="show a job and its tasks")
    show.add_argument("job", help="job, as TEAM/NAME")
    cancel = verbs.add_parser("cancel", help="cancel a job")
    cancel.add_argument("job", help="job, as TEAM/NAME")
    for command in verbs.choices.values():
        client.add_arguments(command)


def handle(options):
    """Run the action that the options name."""
    entry = client.build_client(options)
    match options.verb:
        case "submit":
            body = read_text(options.file).encode()
            answer = entry.call("POST", f"/v1/jobs/{options.job}", body)
            text = f"{answer['job']} was submitted"
        case "cancel":
            answer = entry.call("POST", f"/v1/jobs/{options.job}/cancel")
            text = f"{answer['job']} was cancelled: {_format_counts(answer['tasks'])}"
        case "show":
            answer = entry.call("GET", f"/v1/jobs/{options.job}")
            text = None
        case _:
            answer = entry.call("GET", "/v1/jobs")
            text = None
    if options.json:
        print_json(answer)
    elif text is not None:
        print(text)
    else:
        _print_answer(answer)
    return exitcodes.DONE


def _print_answer(answer):
    if "jobs" in answer:
        rows = [
            (item["job"], item["kind"], item["origin"], _format_counts(item["tasks"]))
            for item in answer["jobs"]
        ]
        print_table(("job", "kind", "origin", "tasks"), rows)
        return
    fields = ("index", "state", "attempt", "node", "failures", "checkpoint", "reason")
    rows = [[task[name] for name in fields] for task in answer["tasks"]]
    print_table(fields, rows)


def _format_counts(counts):
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))
