"""What the soak takes for a broken promise."""

import pytest

from soak.changes import CONFIG_SECONDS, Change, judge_answer

CHANGES = [Change(2, 10.0, 10.1), Change(3, 20.0, 20.1)]


@pytest.mark.parametrize(
    ("version", "status", "sent_at", "is_broken"),
    [
        (2, 200, 20.1 + CONFIG_SECONDS - 0.01, False),
        (2, 200, 20.1 + CONFIG_SECONDS + 0.01, True),
        (2, 404, 10.1 + CONFIG_SECONDS - 0.01, False),
        (2, 404, 10.1 + CONFIG_SECONDS + 0.01, True),
        (2, 404, 19.99, False),
        (2, 503, 30.0, False),
        (3, 200, 30.0, False),
        (3, 404, 30.0, True),
    ],
)
def test_the_soak_judges_which_configuration_answers(
    version, status, sent_at, is_broken
):
    problem = judge_answer(CHANGES, version, status, sent_at, sent_at + 0.05)
    assert bool(problem) == is_broken
