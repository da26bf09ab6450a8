"""The story of one job, from the logs of a recorded day whose causes are known."""

from pathlib import Path

import pytest

from bergamotshore.management.parser import run_command
from bergamotshore.timeline.explanation import parse_line, tell_story

LOG = Path(__file__).parent / "inc-2e9c.log"
# Refused while the store was away, accepted afterwards, cancelled before it ran.
REFUSED = "7e3e72e38a5a2037"
# Runs of it were lost when all machines lost power.
LOST = "0c453752217df7b3"


@pytest.fixture
def lines():
    parsed = [parse_line(text) for text in LOG.read_text().splitlines()]
    assert None not in parsed
    return parsed


def test_a_refusal_is_explained_by_the_store(lines):
    story = tell_story(lines, REFUSED)
    assert sum("the store was known to be away" in cause for cause in story.causes) == 3
    kinds = [line.kind for line in story.context]
    assert kinds.index("store-lost") < kinds.index("store-regained")


def test_a_lost_run_is_explained_by_its_worker(lines):
    story = tell_story(lines, LOST)
    lost = [cause for cause in story.causes if "was lost" in cause]
    assert lost
    assert all("the worker restarted" in cause for cause in lost)
    assert any("side-addis-bole-3" in cause for cause in lost)


def test_only_lines_of_the_subject_are_its_own(lines):
    story = tell_story(lines, f"{LOST}.0.1.0")
    assert {line.subject for line in story.own} == {f"{LOST}.0.1.0"}
    assert tell_story(lines, "0c45").own == []


def test_the_order_of_files_does_not_matter(lines):
    backwards = tell_story(lines[::-1], LOST).causes
    assert sorted(backwards) == sorted(tell_story(lines, LOST).causes)


NO_TIME = "2026-99-01T00:00:00 INFO process=e event=x subject=s"


@pytest.mark.parametrize("text", ["", "text", "2026-01-01 INFO process=x", NO_TIME])
def test_other_lines_are_left_out(text):
    assert parse_line(text) is None


def test_values_with_spaces_are_kept_whole():
    line = parse_line(
        "2026-01-01T00:00:01.5+00:00 INFO process=e event=x subject=s why='a b' n=1"
    )
    assert line.value_by_field == {"why": "a b", "n": "1"}
    assert line.seconds % 60 == 1.5


def test_the_command_prints_the_story(capsys):
    assert run_command(["explain", REFUSED, str(LOG)]) == 0
    printed = capsys.readouterr().out
    assert "what happened:" in printed
    assert "the store was known to be away" in printed
    assert run_command(["explain", "unknown", str(LOG)]) == 1
    assert run_command(["explain", REFUSED, "no-such-file"]) == 1
