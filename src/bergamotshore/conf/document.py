"""Loading and validation of the operators' configuration document."""

from collections import defaultdict

from returns.result import Failure, Success

from bergamotshore.conf.loading import load_text, map_lines
from bergamotshore.conf.problems import Problem
from bergamotshore.generated.document import HINTS_BY_TYPE, Document

RESERVED_TEAM = "site"
NAME_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789-"


def load_document(text):
    """Parse and validate a configuration document.

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
    """Return all semantic problems of a document that matches the schema.

    :param document: ``Document``.
    :param line_by_path: Line number of each path; a path without one is reported as 0.
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
            "the team name is reserved for the operators of the site",
            "rename the team, or move its settings to the section 'site'",
            "document.E101",
        )
    for path in _list_named_paths(document):
        if not set(path[-1]) <= set(NAME_CHARACTERS):
            yield (
                path,
                "the name has characters other than a-z, 0-9 and hyphens",
                "use only lower-case letters, digits and hyphens",
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
                    "the service has fewer connections than slots",
                    "set connections to at least slots: each running request uses one",
                    "document.E104",
                )
    for name, teams in teams_by_service.items():
        for team in teams[1:]:
            yield (
                ("teams", team, "services", name),
                f"team {teams[0]} already has a service of this name",
                "rename it: service names are unique at a site",
                "document.E103",
            )


def _find_section_problems(team, section):
    quota = section.quota
    for name in section.jobs:
        if name in section.watchers:
            yield (
                ("teams", team, "watchers", name),
                "a job of the team has the same name",
                "rename the job or the watcher",
                "document.E105",
            )
    for group in ("jobs", "watchers"):
        for name, item in getattr(section, group).items():
            is_within_quota = (
                item.processors <= quota.processors
                and item.memory_gb <= quota.memory_gb
                and getattr(item, "accelerators", 0) <= quota.accelerators
            )
            if not is_within_quota:
                yield (
                    ("teams", team, group, name),
                    "one task needs more than the team's quota and could never run",
                    "raise the quota or lower what a task requires",
                    "document.E106",
                )
