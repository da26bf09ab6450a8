"""Whatever ids callers choose, rows of different jobs and purposes stay apart."""

import io
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshore.core.work.site import Queue, SiteConfiguration, SiteState
from bergamotshore.entry.jobrows import (
    CANCEL_SUFFIX,
    CLOSED,
    CRASHES,
    JOBS,
    RUNS,
    JobRows,
    find_id_problem,
    get_cancel_id,
    get_row_id,
)
from bergamotshore.entry.submissions import SubmissionApp
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn
from tests.site.simulation import CONFIG_SECONDS

JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10}]}
TABLES = (JOBS, RUNS, CLOSED, CRASHES)
PARTS_OF_KEYS = st.lists(st.sampled_from(["a", "/", "cancel", "-", "0", "//"]))
TEXTS = PARTS_OF_KEYS.map("".join)
IDS = st.tuples(TEXTS, TEXTS)
JOBS_OF_CALLERS = IDS.filter(lambda job: not find_id_problem(*job))


def list_rows(queue, job_id):
    """Return table and key of each row of a job; some share a partition as well."""
    key = f"{queue}/{job_id}"
    ids = [*(get_row_id(table, key) for table in TABLES), get_cancel_id(key)]
    return [(row_id.table, row_id.key) for row_id in ids]


@given(IDS, st.sampled_from(["", CANCEL_SUFFIX]))
def test_no_two_purposes_share_a_row(job, suffix):
    key = "/".join(job) + suffix
    slashes = [index for index, letter in enumerate(key) if letter == "/"]
    named = {job, *((key[:index], key[index + 1 :]) for index in slashes)}
    jobs = [item for item in named if not find_id_problem(*item)]
    rows = [row for item in jobs for row in list_rows(*item)]
    assert len(set(rows)) == len(rows)


@given(JOBS_OF_CALLERS)
def test_job_is_never_taken_for_the_cancellation_of_another(job):
    assert not "/".join(job).endswith(CANCEL_SUFFIX)


@pytest.fixture
def app(clock, registry):
    configuration = SiteConfiguration(1, (Queue("q", "h", "/q/", "books"),), {})
    site = SiteState(configuration, confirmed_at=clock.now())
    rows = JobRows(RowsStandIn(), clock, clock.advance)
    log = EventLog(clock, lambda line: None)
    return SubmissionApp(rows, site, CONFIG_SECONDS, clock, registry, log)


def call(app, method, path, body=b""):
    statuses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": "h",
        "wsgi.input": io.BytesIO(body),
    }
    answer = b"".join(app(environ, lambda status, headers: statuses.append(status)))
    return int(statuses[0].split()[0]), json.loads(answer)


def submit(app, job_id):
    return call(app, "POST", f"/q/{job_id}", json.dumps(JOB).encode())[0]


@pytest.mark.parametrize("job_id", ["j/cancel", "cancel", "j/1", "j" * 200])
def test_id_that_can_name_rows_of_another_purpose_is_refused(app, job_id):
    assert submit(app, "j") == 200
    assert submit(app, job_id) == 400
    assert call(app, "GET", f"/q/{job_id}")[0] == 410
    assert call(app, "DELETE", f"/q/{job_id}")[0] == 410
    assert call(app, "GET", "/q/j") == (200, {"state": "pending"})


def test_cancelled_job_is_told_as_such_beside_jobs_whose_ids_begin_with_its_own(app):
    ids = ["j", *(f"j-{number}" for number in range(40))]
    assert {submit(app, job_id) for job_id in ids} == {200}
    assert call(app, "DELETE", "/q/j")[0] == 200
    assert call(app, "GET", "/q/j") == (200, {"state": "canceled"})
