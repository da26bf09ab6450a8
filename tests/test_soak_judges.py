"""Checks of configuration responses in the soak."""

import pytest

from soak.changes import CONFIG_PROPAGATION_SECONDS, Change, check_answer

CHANGES = [Change(2, 10.0, 10.1), Change(3, 20.0, 20.1)]


@pytest.mark.parametrize(
    ("version", "status", "sent_at", "is_broken"),
    [
        (2, 200, 20.1 + CONFIG_PROPAGATION_SECONDS - 0.01, False),
        (2, 200, 20.1 + CONFIG_PROPAGATION_SECONDS + 0.01, True),
        (2, 404, 10.1 + CONFIG_PROPAGATION_SECONDS - 0.01, False),
        (2, 404, 10.1 + CONFIG_PROPAGATION_SECONDS + 0.01, True),
        (2, 404, 19.99, False),
        (2, 503, 30.0, False),
        (3, 200, 30.0, False),
        (3, 404, 30.0, True),
    ],
)
def test_stale_configuration_is_reported_only_after_the_propagation_time(
    version, status, sent_at, is_broken
):
    problem = check_answer(CHANGES, version, status, sent_at, sent_at + 0.05)
    assert bool(problem) == is_broken
