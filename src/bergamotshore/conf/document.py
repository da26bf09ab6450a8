"""Reading and checking of the operators' configuration document."""

from collections import defaultdict

from returns.result import Failure, Success

from bergamotshore.conf.loading import load_text, map_lines
from bergamotshore.conf.problems import Problem
from bergamotshore.generated.document import HINTS_BY_TYPE, Document

RESERVED_TEAM = "site"
NAME_PATTERN = "abcdefghijklmnopqrstuvwxyz0123456789-"


def load_document(text):
    """Read and check a document.

    :param text: YAML text.
    :returns: ``Success`` of ``Document``, or ``Failure`` of a list of ``Problem``.
    """
    outcome = load_text(text, Document, HINTS_BY_TYPE)
    match outcome:
        case Success(document):
            problems = check_document(document, map_lines(text))
            return Failure(problems) if problems else outcome
    return outcome


def check_document(document, line_by_path=None):
    """Return every problem in the meaning of a document.

    :param document: ``Document``.
    :param line_by_path: Line of each path; unknown lines are 0.
    """
    line_by_path = line_by_path or {}
    problems = []
    for path, message, hint, problem_id in _find_problems(document):
        text = ".".join(path)
        line = line_by_path.get(path, 0)
        problems.append(Problem(problem_id, text, line, message, hint))
    return problems


def _find_problems(document):
    yield from _find_name_problems(document)
    yield from _find_service_problems(document)
    for team, section in document.teams.items():
        yield from _find_section_problems(team, section)


def _find_name_problems(document):
    if RESERVED_TEAM in document.teams:
        yield (
            ("teams", RESERVED_TEAM),
            "this name is kept for the site's operators",
            "use the section 'site'",
            "document.E101",
        )
    for path in _list_named_paths(document):
        if not set(path[-1]) <= set(NAME_PATTERN):
            yield (
                path,
                "names hold small letters, digits and hyphens",
                "rename it",
                "document.E102",
            )


def _list_named_paths(document):
    for team, section in document.teams.items():
        yield ("teams", team)
        for group in ("services", "jobs", "watchers"):
            for name in getattr(section, group):
                yield ("teams", team, group, name)
    if document.site is not None:
        for zone in document.site.zones:
            yield ("site", "zones", zone)


def _find_service_problems(document):
    teams_by_service = defaultdict(list)
    for team, section in document.teams.items():
        for name, service in section.services.items():
            teams_by_service[name].append(team)
            if service.connections < service.slots:
                yield (
                    ("teams", team, "services", name, "connections"),
                    "fewer connections than slots",
                    "a running request holds a connection",
                    "document.E104",
                )
    for name, teams in teams_by_service.items():
        for team in teams[1:]:
            yield (
                ("teams", team, "services", name),
                f"team {teams[0]} has a service of this name",
                "names of services are unique at the site",
                "document.E103",
            )


def _find_section_problems(team, section):
    quota = section.quota
    for name in section.jobs:
        if name in section.watchers:
            yield (
                ("teams", team, "watchers", name),
                "a job has this name",
                "rename one of them",
                "document.E105",
            )
    for group in ("jobs", "watchers"):
        for name, item in getattr(section, group).items():
            is_small = (
                item.processors <= quota.processors
                and item.memory_gb <= quota.memory_gb
                and getattr(item, "accelerators", 0) <= quota.accelerators
            )
            if not is_small:
                yield (
                    ("teams", team, group, name),
                    "one task needs more than the team's quota",
                    "it could never run",
                    "document.E106",
                )
