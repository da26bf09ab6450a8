"""The service for VMs as it answers on the wire."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer, HttpFailure
from bergamotshore.exceptions import (
    PlatformAnswerInvalid,
    PlatformUnavailable,
    PlatformUncertain,
)
from bergamotshore.platform.machines import PlatformMachines
from bergamotshore.platform.operator import encode_wave_status, get_wave_status_id
from bergamotshore.ports.machines import Machine, MachineOrderRefused

ROW = {
    "machine": "m-1",
    "pool": "books",
    "state": "up",
    "zone": "z",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "id": "i-7f3a91c2",
}


class ScriptedClient:
    """Answer calls with the next of some outcomes, and keep the calls."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = []

    def call(self, method, path, body=b"", headers=None, timeout=None):
        self.calls.append((method, path, body, headers))
        return self.outcomes.pop(0)


def answer(status, value=None):
    body = json.dumps(value).encode() if value is not None else b""
    return Success(HttpAnswer(status, "application/json", body))


def test_a_list_is_read_page_by_page():
    client = ScriptedClient(
        answer(200, {"machines": [ROW], "next_token": "t 1"}),
        answer(
            200,
            {
                "machines": [{"machine": "m-2", "state": "upkeep", "id": None}],
                "next_token": None,
            },
        ),
    )
    assert PlatformMachines(client).list_machines() == Success(
        (Machine("m-1", "books", "up", "i-7f3a91c2"), Machine("m-2", "", "upkeep"))
    )
    assert [path for _, path, _, _ in client.calls] == [
        "/machines",
        "/machines?page_token=t+1",
    ]


def test_a_page_that_fails_gives_no_part_of_a_list():
    client = ScriptedClient(
        answer(200, {"machines": [ROW], "next_token": "1"}), answer(429)
    )
    assert PlatformMachines(client).list_machines() == Failure(
        PlatformUnavailable("status 429")
    )


def test_an_order_names_its_holder_and_token():
    client = ScriptedClient(answer(200))
    assert PlatformMachines(client).order_maintenance(
        "m-1", 3, "entry-1", 12
    ) == Success(None)
    [(method, path, body, headers)] = client.calls
    assert (method, path) == ("POST", "/machine-upkeep")
    assert json.loads(body) == {"machine": "m-1", "wave": 3}
    assert headers["X-Lease-Holder"] == "entry-1"
    assert headers["X-Fence-Token"] == "12"


@pytest.mark.parametrize(
    ("outcome", "failure"),
    [
        (answer(409, {"reason": "busy"}), MachineOrderRefused("busy")),
        (answer(409, {"reason": "wave"}), MachineOrderRefused("wave")),
        (answer(400), MachineOrderRefused("unknown")),
        (answer(429), MachineOrderRefused("rate")),
        (answer(503), PlatformUnavailable("status 503")),
        (answer(500), PlatformUncertain("status 500")),
        (Failure(HttpFailure("reset", True)), PlatformUncertain("reset")),
        (Failure(HttpFailure("refused", False)), PlatformUnavailable("refused")),
    ],
)
def test_an_order_that_was_not_taken_says_what_is_known(outcome, failure):
    found = PlatformMachines(ScriptedClient(outcome)).order_maintenance("m", 1, "e", 1)
    assert found == Failure(failure)


@given(st.binary(max_size=200))
def test_any_bytes_give_a_list_or_a_typed_failure(content):
    client = ScriptedClient(*[Success(HttpAnswer(200, "", content))] * 2)
    outcome = PlatformMachines(client).list_machines()
    assert isinstance(outcome, Success) or isinstance(
        outcome.failure(), PlatformAnswerInvalid
    )


def test_the_state_of_a_wave_is_told_in_its_own_row():
    row_id = get_wave_status_id(7)
    assert (row_id.table, row_id.part, row_id.key) == ("status", "", "wave/7")
    assert json.loads(encode_wave_status(True)) == {"state": "complete"}
    assert json.loads(encode_wave_status(False)) == {"state": "active"}
