"""Every decoder gives a value or its typed failure, whatever it is given.

Each sample is decoded as it is, with one of its values replaced by an odd one, and with
an odd value in a field that nobody reads.
"""

import json
import math
from dataclasses import dataclass

import msgpack
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotshore.adapters.http import HttpAnswer
from bergamotshore.core.work.interference import Interference
from bergamotshore.core.work.jobstate import encode_progress, restore_progress
from bergamotshore.core.work.model import JobSpec, Step, encode_spec
from bergamotshore.core.work.progress import JobProgress
from bergamotshore.entry.election import LEADER_ROW, Election, LeaderRow
from bergamotshore.entry.jobrows import (
    COUNTS_ROW,
    INTERFERENCE_ROW,
    PARTS,
    JobRows,
    get_fence_id,
    get_row_id,
)
from bergamotshore.entry.maintenance import WAVES, WAVES_PART, _decode_rows
from bergamotshore.entry.retention import Retention
from bergamotshore.entry.sitefollower import SiteFollower
from bergamotshore.entry.takeover import TakeoverFailed, read_open_jobs, write_fences
from bergamotshore.exceptions import StreamError
from bergamotshore.generated.messages import TYPES_BY_TAG
from bergamotshore.metrics.registry import Registry
from bergamotshore.platform.advice import AdviceClient
from bergamotshore.platform.jobs import decode_submission
from bergamotshore.platform.machines import PlatformMachines
from bergamotshore.platform.operator import decode_configuration, decode_wave
from bergamotshore.platform.runner import PlatformRunner, parse_heartbeat
from bergamotshore.platform.store import decode_page, decode_transaction
from bergamotshore.ports.rows import Put, RowId, StoredRow
from bergamotshore.ports.runner import Acknowledgement, RunOrder, WorkerIncarnation
from bergamotshore.transport.codec import Decoder, encode_message
from bergamotshore.utils.eventlog import EventLog
from standins.site import RowsStandIn
from tests.fakes import FakeClock
from tests.site.simulation import CONFIG_SECONDS, build_configuration

NESTING = 5000
MAX_MESSAGE_BYTES = 1024 * 1024


@dataclass(frozen=True)
class Raw:
    """Encoded content in place of a value."""

    content: bytes


DEEP_JSON = Raw(b"[" * NESTING + b"]" * NESTING)
DEEP_MSGPACK = Raw(b"\x91" * NESTING + b"\xc0")
ODD_VALUES = [
    None,
    True,
    -1,
    0,
    2**31,
    2**53 + 1,
    2**63,
    -(2**63),
    1e300,
    -0.5,
    "",
    "127.0.0.1:99999",
    "\x00\ud7ff",
    [],
    [[]],
    {},
    {"a": 1},
]
JSON_ODD = [*ODD_VALUES, DEEP_JSON, 10**30, Raw(b"1e999"), Raw(b"9" * 5000)]
JSON_ODD += [Raw(b"NaN"), Raw(b'"\xff"'), Raw(b'"\\ud800"')]
MSGPACK_ODD = [*ODD_VALUES, DEEP_MSGPACK, math.nan, math.inf, 2**64 - 1, b"\xff"]
MSGPACK_ODD += [Raw(b"\xa1\xff"), Raw(b"\xd6\xff\xff\xff\xff\xff"), Raw(b"\xc1")]


def list_paths(value, path=()):
    """Yield the path of each value within a value, and its own."""
    yield path
    match value:
        case dict():
            for key, item in value.items():
                yield from list_paths(item, (*path, key))
        case list():
            for index, item in enumerate(value):
                yield from list_paths(item, (*path, index))


def replace_at(value, path, odd):
    """Return a value with another one at a path; an unknown key is added."""
    if not path:
        return odd
    key, *rest = path
    copy = list(value) if isinstance(value, list) else {"unread": None, **value}
    copy[key] = replace_at(copy[key], rest, odd)
    return copy


def encode_json(value):
    match value:
        case Raw(content=content):
            return content
        case dict():
            items = [
                json.dumps(str(key)).encode() + b":" + encode_json(item)
                for key, item in value.items()
            ]
            return b"{" + b",".join(items) + b"}"
        case list():
            return b"[" + b",".join(encode_json(item) for item in value) + b"]"
    return json.dumps(value).encode()


def encode_msgpack(value):
    packer = msgpack.Packer()
    match value:
        case Raw(content=content):
            return content
        case dict():
            items = [
                packer.pack(key) + encode_msgpack(item) for key, item in value.items()
            ]
            return packer.pack_map_header(len(value)) + b"".join(items)
        case list():
            items = [encode_msgpack(item) for item in value]
            return packer.pack_array_header(len(value)) + b"".join(items)
    return packer.pack(value)


def draw_content(draw, sample, odd_values, encode):
    """Draw arbitrary bytes, or a sample in which one value is odd."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=100))
    paths = list(list_paths(sample))
    paths += [(*p, "unread") for p in paths if isinstance(get_at(sample, p), dict)]
    path = draw(st.sampled_from(paths))
    return encode(replace_at(sample, path, draw(st.sampled_from(odd_values))))


def get_at(value, path):
    for key in path:
        value = value[key]
    return value


class FixedClient:
    """Client whose calls are all answered with the same body."""

    def __init__(self, status, body):
        self._answer = Success(HttpAnswer(status, "", body, 1))

    def call(self, *arguments, **options):
        return self._answer

    def is_open(self, number):
        return True


def build_runner(status, body):
    runner = PlatformRunner("127.0.0.1:1", 1.0)
    runner._client = FixedClient(status, body)
    return runner


def start_run(status, body):
    """Start a run on an incarnation that has been confirmed."""
    runner = build_runner(200, encode_json(LISTING))
    incarnation = WorkerIncarnation("w", LISTING["born"])
    assert isinstance(runner.confirm(incarnation.started_ms, 1), Success)
    runner._client = FixedClient(status, body)
    return runner.start(RunOrder("t", 1, ""), 1, 1, incarnation)


def ask_advice(body):
    client = AdviceClient("127.0.0.1:1", 1.0)
    client._client = FixedClient(200, body)
    return client.ask("step", ["w"])


def order_maintenance(body):
    machines = PlatformMachines(FixedClient(409, body))
    return machines.order_maintenance("m", 1, "e", 1)


WIRE_ROW = {"table": "t", "key": "k", "part": "", "value": "YQ==", "ver": 3}
PAGE = {"ver": 4, "rows": [WIRE_ROW, {**WIRE_ROW, "deleted": True}], "truncated": True}
STEP = {"count": 2, "cpu": 1, "est_ms": 2, "after": [], "may_miss": None, "goal_ms": 5}
JOB = {"steps": [STEP, {**STEP, "after": [0]}], "spec": "s", "repeats": 1}
ADVICE = {"decide_ms": 1, "period_ms": 2, "valid_ms": 3}
ROUTE = {"name": "n", "host": "h", "prefix": "/", "service": "s", "advice": ADVICE}
CONFIG = {"version": 2, "routes": [ROUTE], "services": [{"name": "s"}]}
WAVE = {"wave": 1, "machines": ["m"], "duration_s": 2.5, "max_count": 1}
REPORT = {
    "service": "s",
    "addr": "127.0.0.1:1",
    "zone": "z",
    "version": "v",
    "slots": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "remaining_ms": 1,
    "capacity": {"cpu": 1000, "mem_mb": 1, "gpu": 0},
    "labels": ["a", "r"],
    "clock_ms": 5,
    "seq": 4,
    "born": 3,
    "machine": "m",
}
LISTING = {
    "clock_ms": 4,
    "running": [["t", 1, None, 40, 2.0]],
    "finished": [[1, "t", 1, "done", ""]],
    "born": 3,
}
MACHINES = {"machines": [{"machine": "m", "state": "up", "id": None}]}
QUEUE = build_configuration().queues[0]
JSON_DECODERS = {
    "page": (PAGE, decode_page),
    "transaction": (
        PAGE,
        lambda body: decode_transaction(Success(HttpAnswer(200, "", body))),
    ),
    "conflict": (
        PAGE,
        lambda body: decode_transaction(Success(HttpAnswer(412, "", body))),
    ),
    "submission": (JOB, lambda body: decode_submission(body, QUEUE, "j", 0.0)),
    "configuration": (CONFIG, decode_configuration),
    "wave": (WAVE, lambda body: decode_wave("wave/1", body)),
    "heartbeat": (REPORT, lambda body: parse_heartbeat("PUT", "/instances/w", body)),
    "listing": (
        LISTING,
        lambda body: build_runner(200, body).renew_lease(1, 1, Acknowledgement(), 0),
    ),
    "accepted order": (
        {"clock_ms": 1, "born": 1},
        lambda body: start_run(200, body),
    ),
    "refused order": (
        {"clock_ms": 1, "reason": "fence"},
        lambda body: build_runner(409, body).stop("t", 1, 1),
    ),
    "advice": ({"allowed": [["w", "ticket"]], "valid_ms": 4}, ask_advice),
    "machines": (
        MACHINES,
        lambda body: PlatformMachines(FixedClient(200, body)).list_machines(),
    ),
    "refused maintenance": ({"reason": "rate"}, order_maintenance),
}


@pytest.mark.parametrize("name", JSON_DECODERS)
def test_samples_of_json_are_valid(name):
    sample, decode = JSON_DECODERS[name]
    outcome = decode(encode_json(sample))
    is_refusal = name in ("conflict", "refused order", "refused maintenance")
    assert isinstance(outcome, Failure if is_refusal else Success)


# Guards against content of other writers whose error no reader expects.
@pytest.mark.parametrize("name", JSON_DECODERS)
@given(data=st.data())
def test_odd_json_gives_a_value_or_a_typed_failure(name, data):
    sample, decode = JSON_DECODERS[name]
    outcome = decode(draw_content(data.draw, sample, JSON_ODD, encode_json))
    assert isinstance(outcome, Success | Failure)
    if isinstance(outcome, Failure):
        assert outcome.failure().code


# Guards against the RecursionError of nesting in a field that nobody reads.
@pytest.mark.parametrize("name", JSON_DECODERS)
def test_deep_nesting_in_an_unread_field_gives_a_typed_failure(name):
    sample, decode = JSON_DECODERS[name]
    outcome = decode(encode_json({**sample, "unread": DEEP_JSON}))
    assert outcome.failure().code


SPEC = JobSpec("q", "j", "s", "p", (Step(2, 5), Step(1, 3, after=(0,))))


def build_progress():
    progress = JobProgress(SPEC)
    progress.open_due_occurrences(1.0)
    ref = progress.list_waiting(0, 0)[0]
    progress.claim(ref, "node", WorkerIncarnation("w", 3))
    return progress


@dataclass
class RowReaders:
    """Readers of all tables, over a store to which another writer has access."""

    store: RowsStandIn

    def __post_init__(self):
        clock = FakeClock()
        log = EventLog(clock, emit=lambda line: None)
        self.rows = JobRows(self.store, clock, clock.advance)
        self.follower = SiteFollower(self.store, clock, Registry(), log, CONFIG_SECONDS)
        self.election = Election(self.store, "e", "r", "127.0.0.1:1", clock, log)
        self.retention = Retention(self.store, None, clock, 1, log)

    def read_all(self):
        def run_all(function, values):
            return [function(value) for value in values]

        for call in (
            lambda: write_fences(self.store, 3, run_all),
            lambda: read_open_jobs(self.store, run_all),
        ):
            try:
                opened = call()
            except TakeoverFailed:
                continue
        for spec in opened.specs:
            JobProgress(spec).open_due_occurrences(1.0)
        self.follower.step()
        self.election.step()
        self.retention.sweep()
        for outcome in (
            self.rows.get_state("q", "j", 0.0),
            self.rows.get_waiting_counts(0.0),
            _decode_rows(self.store.read(WAVES, WAVES_PART).unwrap()),
        ):
            assert isinstance(outcome, Success | Failure)


LEADER = LeaderRow("e2", "r", "127.0.0.1:2", 4, False, (("a", "b"),))
ROWS = {
    "job": (get_row_id("jobs", SPEC.key), encode_spec(SPEC)),
    "runs": (get_row_id("runs", SPEC.key), encode_progress(build_progress())),
    "fence": (get_fence_id(PARTS[0]), msgspec.msgpack.encode(2)),
    "leader": (LEADER_ROW, msgspec.msgpack.encode(LEADER)),
    "counts": (COUNTS_ROW, msgspec.msgpack.encode({"q": 2})),
    "interference": (
        INTERFERENCE_ROW,
        msgspec.msgpack.encode([[["a", "b", 1.0]], [["a", 2.0]]]),
    ),
    "wave": (
        RowId(WAVES, WAVES_PART, "1"),
        msgspec.msgpack.encode([1.0, False, {"m": ["down", "w"]}]),
    ),
}


@pytest.mark.parametrize("name", ROWS)
@given(data=st.data())
def test_odd_rows_raise_nothing_in_their_readers(name, data):
    row_id, value = ROWS[name]
    sample = msgpack.unpackb(value, strict_map_key=False)
    content = draw_content(data.draw, sample, MSGPACK_ODD, encode_msgpack)
    store = RowsStandIn()
    if name == "runs":
        store.write([Put(*ROWS["job"])], [])
    store.write([Put(row_id, content)], [])
    RowReaders(store).read_all()


@pytest.mark.parametrize(
    "content",
    [b"", b"\xff", b"done x", b"done nan", b"done 1e999", b"odd"],
)
def test_odd_rows_of_closed_jobs_raise_nothing_in_their_readers(content):
    store = RowsStandIn()
    store.write([Put(get_row_id("closed", SPEC.key), content)], [])
    RowReaders(store).read_all()


@given(data=st.data())
def test_an_odd_state_of_a_job_raises_only_its_error(data):
    sample = msgpack.unpackb(encode_progress(build_progress()), strict_map_key=False)
    content = draw_content(data.draw, sample, MSGPACK_ODD, encode_msgpack)
    try:
        restore_progress(JobProgress(SPEC), content)
    except ValueError:
        pass


@given(data=st.data())
def test_an_odd_interference_model_can_be_used_or_is_refused(data):
    row_id, value = ROWS["interference"]
    sample = msgpack.unpackb(value)
    content = draw_content(data.draw, sample, MSGPACK_ODD, encode_msgpack)
    store = RowsStandIn()
    store.write([Put(row_id, content)], [])
    opened = read_open_jobs(store, lambda function, values: map(function, values))
    if opened.interference_state is not None:
        model = Interference()
        model.restore(opened.interference_state)
        msgspec.msgpack.encode(model.export())


def build_sample(message_type):
    """Return the fields of a message, with lists that are not empty."""
    fields = msgspec.inspect.type_info(message_type).fields
    return {field.encode_name: build_value(field.type) for field in fields}


def build_value(info):
    kinds = msgspec.inspect
    match info:
        case kinds.StrType():
            return "s"
        case kinds.IntType():
            return 1
        case kinds.FloatType():
            return 1.0
        case kinds.BoolType():
            return True
        case kinds.BytesType():
            return b"b"
        case kinds.LiteralType(values=values):
            return values[0]
        case kinds.ListType(item_type=item):
            return [build_value(item)]
        case kinds.VarTupleType(item_type=item):
            return [build_value(item)]
        case kinds.TupleType(item_types=items):
            return [build_value(item) for item in items]
        case kinds.DictType(key_type=key, value_type=value):
            return {build_value(key): build_value(value)}
        case kinds.UnionType(types=types):
            return build_value(types[0])
        case kinds.DataclassType(cls=cls):
            return build_sample(cls)
        case kinds.Metadata(type=inner):
            return build_value(inner)
        case kinds.NoneType():
            return None
    raise TypeError(info)


@pytest.mark.parametrize("tag", TYPES_BY_TAG)
@given(data=st.data())
def test_odd_messages_raise_only_errors_of_streams(tag, data):
    sample = [tag, 1, build_sample(TYPES_BY_TAG[tag])]
    assert Decoder(MAX_MESSAGE_BYTES).feed(encode_msgpack(sample))
    content = draw_content(data.draw, sample, MSGPACK_ODD, encode_msgpack)
    try:
        frames = Decoder(MAX_MESSAGE_BYTES).feed(content)
    except StreamError:
        return
    for frame in frames:
        # What was read can be sent on.
        encode_message(frame.message, frame.clock + 1)


ODD_ROWS = [
    {"value": "not base64!"},
    {"value": 5},
    {"ver": 10**30},
    {"ver": -1},
    {"deleted": "no"},
]


# Guards against readers that follow nothing as long as one odd row is there, or that
# take the odd row for absent.
@pytest.mark.parametrize("odd", ODD_ROWS, ids=str)
def test_an_odd_row_of_a_page_is_there_without_a_value(odd):
    other = {**WIRE_ROW, "key": "odd", **odd}
    body = encode_json({**PAGE, "rows": [WIRE_ROW, other]})
    first, second = decode_page(body).unwrap().rows
    assert first == StoredRow(RowId("t", "", "k"), 3, b"a")
    assert (second.id.key, second.value) == ("odd", b"")
    assert second.version in (3, PAGE["ver"])


@pytest.mark.parametrize("odd", [5, None, [], {}, {"key": 5}, {"table": "t"}], ids=str)
def test_a_row_that_is_not_identified_takes_no_other_with_it(odd):
    page = decode_page(encode_json({**PAGE, "rows": [odd, WIRE_ROW]})).unwrap()
    assert [row.id.key for row in page.rows] == ["k"]


# Guards against a conflict that is lost with one odd row in its answer.
def test_an_odd_row_in_a_conflict_leaves_it_a_conflict():
    body = encode_json({"rows": [WIRE_ROW, {**WIRE_ROW, "value": 5}]})
    failure = decode_transaction(Success(HttpAnswer(412, "", body))).failure()
    assert [row.version for row in failure.rows] == [3, 3]
