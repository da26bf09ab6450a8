"""Problem details (RFC 9457) of HTTP responses."""

import math

import msgspec

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"


def build_problem(status, code, detail, **extra):
    """Return the JSON body of a problem response.

    :param status: HTTP status code.
    :param code: Stable identifier of the problem.
    :param detail: Explanation for people.
    :param extra: Additional members.
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
    """Return a value for ``Retry-After``: seconds, rounded up and at least 1."""
    return str(max(1, math.ceil(seconds)))
