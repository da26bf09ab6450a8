"""Problem details for HTTP answers, as JSON."""

import math

import msgspec

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"


def build_problem(status, code, detail, **extra):
    """Return the body of a problem.

    :param status: HTTP status.
    :param code: Stable identifier of the problem.
    :param detail: Text for people.
    :param extra: Further members.
    """
    members = {
        "type": f"urn:bergamotshore:problem:{code}",
        "title": code.replace("-", " "),
        "status": status,
        "code": code,
        "detail": detail,
    }
    return msgspec.json.encode({**members, **extra})


def format_retry_after(seconds):
    """Return the value of ``Retry-After``, whole seconds and at least 1."""
    return str(max(1, math.ceil(seconds)))
