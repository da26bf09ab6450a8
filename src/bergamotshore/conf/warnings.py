"""Findings in a valid document that is unlikely to do what was meant.

They don't keep a document from being applied.
"""

from bergamotshore.conf.problems import Problem


def find_warnings(document, line_by_path=None):
    """Return a ``Problem`` for each entry without effect and each contradiction.

    :param document: ``Document`` without semantic problems.
    :param line_by_path: Line number of each path; a path without one is reported as 0.
    """
    line_by_path = line_by_path or {}
    return [
        Problem(warning_id, ".".join(path), line_by_path.get(path, 0), message, hint)
        for path, message, hint, warning_id in _list_warnings(document)
    ]


def _list_warnings(document):
    if document.site is not None:
        yield from _find_repeated_vms(document.site)
        if not document.site.zones and document.teams:
            yield (
                ("site", "zones"),
                "no data centre is in use, so that nothing can run",
                "list the data centres",
                "document.W202",
            )
    for team, section in document.teams.items():
        yield from _find_objectives_without_effect(team, section)
        yield from _find_excess_of_quota(team, section)


def _find_repeated_vms(site):
    zone_by_vm = {}
    for zone, item in site.zones.items():
        for vm in item.vms:
            if vm in zone_by_vm:
                yield (
                    ("site", "zones", zone, "vms"),
                    f"VM {vm} is already listed in {zone_by_vm[vm]}",
                    "a VM is in one data centre; the other entry never matches",
                    "document.W201",
                )
            zone_by_vm.setdefault(vm, zone)


def _find_objectives_without_effect(team, section):
    for name, service in section.services.items():
        if service.objective_p99_ms > service.longest_deadline_ms:
            yield (
                ("teams", team, "services", name, "objective_p99_ms"),
                "the objective is longer than the longest deadline",
                "no request is served that late; lower the objective",
                "document.W203",
            )


def _find_excess_of_quota(team, section):
    """Find watchers that don't fit together, and jobs that don't fit beside them."""
    watchers = section.watchers.values()
    processors = sum(watcher.processors for watcher in watchers)
    memory = sum(watcher.memory_gb for watcher in watchers)
    quota = section.quota
    if processors > quota.processors or memory > quota.memory_gb:
        yield (
            ("teams", team, "watchers"),
            "the watchers together need more than the team's quota",
            "some of them can never run; raise the quota",
            "document.W204",
        )
        return
    for name, job in section.jobs.items():
        if (
            processors + job.processors > quota.processors
            or memory + job.memory_gb > quota.memory_gb
        ):
            yield (
                ("teams", team, "jobs", name),
                "beside the team's watchers, its quota has no room for a task",
                "the job can never run while they do; raise the quota",
                "document.W205",
            )


def find_conflicts(document, in_force, nodes):
    """Return warnings about a document in the light of the running system.

    :param document: ``Document``.
    :param in_force: Document in force, as a dictionary.
    :param nodes: Names of the nodes that are connected to the entry that was asked.
    """
    warnings = []
    sections = {("teams", team): item for team, item in document.teams.items()}
    if document.site is not None:
        sections[("site",)] = document.site
    for path, section in sections.items():
        version = _get_version(in_force, path)
        if section.version != version:
            warnings.append(
                Problem(
                    "document.W206",
                    ".".join((*path, "version")),
                    0,
                    f"the edit starts from version {section.version}, and "
                    f"{version} is in force",
                    "an apply would be refused; edit the document in force",
                )
            )
    for zone, item in document.site.zones.items() if document.site else ():
        for vm in item.vms:
            if vm not in nodes:
                warnings.append(
                    Problem(
                        "document.W207",
                        f"site.zones.{zone}.vms",
                        0,
                        f"no node named {vm} is connected to the entry",
                        "check the name; without such a node the entry never matches",
                    )
                )
    return warnings


def _get_version(in_force, path):
    """Return the version of a section in force; 0 if there is none."""
    if path == ("site",):
        section = in_force.get("site")
    else:
        section = in_force.get("teams", {}).get(path[1])
    return section["version"] if section else 0
