"""One malformed message or row doesn't end a process or delay the jobs of others."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer
from bergamotshore.exceptions import WorkerFailure
from bergamotshore.platform.runner import PlatformRunner
from bergamotshore.ports.runner import Acknowledgement
from tests.site.test_borders import ARBITRARY_BYTES, JSON_VALUES


class AnsweringClient:
    """HTTP client that returns the same body for each call."""

    def __init__(self, body):
        self._answer = Success(HttpAnswer(200, "application/json", body))

    def call(self, *arguments, **options):
        return self._answer


LISTINGS = st.builds(
    lambda running, finished: msgspec.json.encode(
        {"clock_ms": 1, "born": 2, "running": running, "finished": finished}
    ),
    st.lists(st.lists(JSON_VALUES, max_size=6), max_size=3) | JSON_VALUES,
    st.lists(st.lists(JSON_VALUES, max_size=6), max_size=3) | JSON_VALUES,
)


# Guards against a node that exits because of one malformed answer of its worker.
@given(ARBITRARY_BYTES | LISTINGS)
def test_malformed_listing_of_a_worker_is_a_typed_failure(content):
    runner = PlatformRunner("127.0.0.1:1", 1.0)
    runner._client = AnsweringClient(content)
    outcome = runner.renew_lease(None, 1, Acknowledgement(), 0)
    assert isinstance(outcome, Success | Failure)
    if isinstance(outcome, Failure):
        assert isinstance(outcome.failure(), WorkerFailure)
