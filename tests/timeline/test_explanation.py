"""Explanations of jobs from the recorded logs of an incident whose causes are known."""

from pathlib import Path

import pytest

from bergamotshore.management.parser import run_command
from bergamotshore.timeline.explanation import explain_subject, parse_line

LOG = Path(__file__).parent / "inc-2e9c.log"
# Refused while the store was unreachable, accepted later, cancelled before it ran.
REFUSED_JOB = "7e3e72e38a5a2037"
# Some of its runs were lost when all machines lost power.
JOB_WITH_LOST_RUNS = "0c453752217df7b3"


@pytest.fixture
def lines():
    parsed = [parse_line(text) for text in LOG.read_text().splitlines()]
    assert None not in parsed
    return parsed


def test_a_refusal_is_explained_by_the_unreachable_store(lines):
    explanation = explain_subject(lines, REFUSED_JOB)
    assert (
        sum("the store was unreachable" in cause for cause in explanation.causes) == 3
    )
    kinds = [line.kind for line in explanation.context]
    assert kinds.index("store-lost") < kinds.index("store-regained")


def test_a_lost_run_is_explained_by_the_restart_of_its_worker(lines):
    explanation = explain_subject(lines, JOB_WITH_LOST_RUNS)
    lost = [cause for cause in explanation.causes if "was lost" in cause]
    assert lost
    assert all("the worker restarted" in cause for cause in lost)
    assert any("side-addis-bole-3" in cause for cause in lost)


def test_only_lines_of_the_subject_are_listed_as_such(lines):
    explanation = explain_subject(lines, f"{JOB_WITH_LOST_RUNS}.0.1.0")
    assert {line.subject for line in explanation.subject_lines} == {
        f"{JOB_WITH_LOST_RUNS}.0.1.0"
    }
    assert explain_subject(lines, "0c45").subject_lines == []


def test_the_order_of_log_files_does_not_change_the_causes(lines):
    reversed_causes = explain_subject(lines[::-1], JOB_WITH_LOST_RUNS).causes
    assert sorted(reversed_causes) == sorted(
        explain_subject(lines, JOB_WITH_LOST_RUNS).causes
    )


INVALID_TIME = "2026-99-01T00:00:00 INFO process=e event=x subject=s"


@pytest.mark.parametrize(
    "text", ["", "text", "2026-01-01 INFO process=x", INVALID_TIME]
)
def test_text_in_another_format_is_ignored(text):
    assert parse_line(text) is None


def test_quoted_values_may_contain_spaces():
    line = parse_line(
        "2026-01-01T00:00:01.5+00:00 INFO process=e event=x subject=s why='a b' n=1"
    )
    assert line.value_by_field == {"why": "a b", "n": "1"}
    assert line.seconds % 60 == 1.5


def test_the_explain_command_prints_the_explanation(capsys):
    assert run_command(["explain", REFUSED_JOB, str(LOG)]) == 0
    printed = capsys.readouterr().out
    assert "what happened:" in printed
    assert "the store was unreachable" in printed
    assert run_command(["explain", "unknown", str(LOG)]) == 1
    assert run_command(["explain", REFUSED_JOB, "no-such-file"]) == 1


# Guards against a refusal of which callers can't be told why.
def test_a_refusal_for_load_is_explained_by_the_parts_of_its_estimate():
    line = parse_line(
        "2026-04-11T14:21:48.338+00:00 INFO process=entry-1 event=job-refused "
        "subject=00000000000000aa why=overload queue=q wait=24.420 limit=22.890 "
        "ahead=22557.900 accepted=13.300 others=7.100 cores=836.500 epoch=3 "
        "age=0.561 retry=9"
    )
    explanation = explain_subject([line], "00000000000000aa")
    [cause] = [cause for cause in explanation.causes if "job-refused" in cause]
    parts = (
        "24.420 s",
        "22.890 s",
        "22557.900",
        "0.561 s",
        "term 3",
        "13.300",
        "7.100",
    )
    assert all(part in cause for part in (*parts, "836.500 cores"))
