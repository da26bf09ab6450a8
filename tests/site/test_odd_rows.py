"""Odd rows of another writer in each table, while jobs are submitted and run."""

import msgspec
import pytest

from bergamotshore.core.work.model import JobSpec, Step, encode_spec
from bergamotshore.entry.election import LEADER_ROW
from bergamotshore.entry.entrylist import ENTRIES_TABLE
from bergamotshore.entry.jobrows import (
    COUNTS_ROW,
    INTERFERENCE_ROW,
    PARTS,
    get_cancel_id,
    get_fence_id,
    get_row_id,
)
from bergamotshore.entry.maintenance import WAVES, WAVES_PART
from bergamotshore.ports.rows import Put, RowId
from standins.site import SERVICE
from tests.site.simulation import Simulation, build_configuration
from tests.site.test_peers import build_list

TASK = Step(tasks=2, cpu=1000, memory=100, estimate=1.0)
ODD = "queue/odd"
ROW_BY_TABLE = {
    "jobs": get_row_id("jobs", ODD),
    "cancel": get_cancel_id(ODD),
    "runs": get_row_id("runs", ODD),
    "closed": get_row_id("closed", ODD),
    "fence": get_fence_id(PARTS[0]),
    "leader": LEADER_ROW,
    "counts": COUNTS_ROW,
    "learned": INTERFERENCE_ROW,
    "waves": RowId(WAVES, WAVES_PART, "7"),
    "waves-key": RowId(WAVES, WAVES_PART, "odd"),
    "entries": RowId(ENTRIES_TABLE, "", "odd"),
    "config": RowId("op", "", "config"),
    "wave": RowId("op", "", "wave/7"),
    "wave-key": RowId("op", "", "wave/\u00b2"),
    "other": RowId("op", "", "odd"),
}
LARGE_JOB = JobSpec("queue", "odd", SERVICE, "p", (Step(tasks=2**40),))
CONTENT_BY_KIND = {
    "nested": b"\x91" * 5000 + b"\xc0",
    "nested-json": b'{"unread":' + b"[" * 5000 + b"]" * 5000 + b"}",
    "number": b'{"version":' + b"9" * 5000 + b',"wave":1e400}',
    "infinite": msgspec.msgpack.encode([[float("inf"), 2**64 - 1, float("nan")]]),
    "large": encode_spec(LARGE_JOB),
    "port": b"127.0.0.1:99999",
    # What the platform's adapter gives for a value that isn't base64.
    "unreadable": b"",
    "types": msgspec.msgpack.encode({"a": [None, "b", {"c": -1}]}),
    "text": b"\xff\xfe",
}


@pytest.fixture
def operated(clock):
    return Simulation(clock, has_operator=True)


# Guards against one odd row that ends processes or makes them follow its table no more.
@pytest.mark.parametrize("kind", CONTENT_BY_KIND)
@pytest.mark.parametrize("table", ROW_BY_TABLE)
def test_an_odd_row_keeps_no_job_from_being_done_once(operated, table, kind):
    operated.advance(1.0)
    operated.submit("before", (TASK,)).unwrap()
    operated.advance(1.0)
    operated.store.write([Put(ROW_BY_TABLE[table], CONTENT_BY_KIND[kind])], [])
    operated.submit("beside", (TASK,)).unwrap()
    operated.advance(8.0)
    operated.kill_entry(operated.leader.name)
    operated.advance(8.0)
    operated.submit("after", (TASK,)).unwrap()
    operated.advance(1.0)
    assert {task.split(".")[0] for task, _ in operated.running} >= {"after"}
    operated.finish_all()
    operated.advance(3.0)
    for job in ("before", "beside", "after"):
        assert operated.get_state(job) == "done"
    build_list(operated.store, operated.clock, "a").read()


# Guards against a follower that stays at a former state after an odd row.
@pytest.mark.parametrize("kind", CONTENT_BY_KIND)
def test_an_odd_configuration_leaves_the_former_in_force(operated, kind):
    operated.advance(1.0)
    operated.store.write([Put(ROW_BY_TABLE["config"], CONTENT_BY_KIND[kind])], [])
    operated.advance(1.0)
    follower = operated.leader.follower
    assert follower.state.configuration.version == 1
    operated.operator.declare(build_configuration(version=2))
    operated.advance(1.0)
    assert follower.state.configuration.version == 2


# Guards against an unreadable job that a successor doesn't tell of.
def test_a_successor_tells_of_a_job_that_it_cannot_read(operated):
    operated.advance(1.0)
    operated.store.write([Put(ROW_BY_TABLE["jobs"], b"\xff")], [])
    operated.advance(1.0)
    operated.kill_entry(operated.leader.name)
    del operated.lines[:]
    operated._checked_lines = 0
    operated.advance(8.0)
    lines = [line for line in operated.lines if "event=job-row-invalid" in line]
    assert len(lines) == 1
    assert operated.get_state("odd") == "pending"


# Guards against a term with the number of an earlier one, which its fence doesn't keep
# from writing, and against a lease that is taken while its holder may be at work.
@pytest.mark.parametrize("kind", CONTENT_BY_KIND)
def test_an_odd_row_of_the_scheduling_entry_is_not_taken_for_absent(operated, kind):
    operated.advance(1.0)
    leader = operated.leader
    epoch = leader.dispatcher.epoch
    operated.paused.add(leader.name)
    operated.store.write([Put(LEADER_ROW, CONTENT_BY_KIND[kind])], [])
    operated.advance(1.0)
    assert operated.leader is leader
    operated.advance(8.0)
    epochs = {entry.dispatcher.epoch for entry in operated.entry_by_name.values()}
    assert max(epochs) > epoch
