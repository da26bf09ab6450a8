"""Measure the decisions at the planned size: time and memory with their slopes.

The product's own scheduler over an in-memory table; no network.
"""

import gc
import random
import time
import tracemalloc

from bergamotshore.core.configuration import Configuration
from bergamotshore.entry.configuration import ConfigurationStore
from bergamotshore.entry.directory import NodeDirectory
from bergamotshore.entry.jobstore import JobStore
from bergamotshore.entry.scheduler import TaskScheduler, build_job
from bergamotshore.generated.document import Job, Quota, Section, SiteSection, Zone
from bergamotshore.generated.messages import (
    Announce,
    AttemptId,
    Heartbeat,
    StartTask,
    TaskInventory,
)
from bergamotshore.generated.settings import Entry
from bergamotshore.metrics.registry import Registry
from bergamotshore.ports.clock import SystemClock
from bergamotshore.timeline.recorder import LamportClock, Recorder
from tests.fakes import FakeStream, FakeTable

NODE_COUNTS = (130, 650, 1300)
TASKS_PER_NODE = 30
TASKS_PER_JOB = 16
ZONES = 5
STARTS = 1600
SETTINGS = Entry(
    callers="127.0.0.1:1",
    operators="127.0.0.1:2",
    nodes="127.0.0.1:3",
    rescan=1e9,
    rescan_sessions=1e9,
    ramp=0.0,
)
JOB = Job(command=["x"], tasks=TASKS_PER_JOB, processors=0.25, memory_gb=0.5)
MICROSECONDS = 1e6


class Scale:
    """One entry with many nodes that run tasks already.

    :param nodes: Number of nodes.
    """

    def __init__(self, nodes):
        self.table = FakeTable()
        clock = SystemClock()
        recorder = Recorder("entry", "run", LamportClock(), clock, 2000)
        configuration = ConfigurationStore(self.table, recorder, clock, 0.0)
        zones = {f"zone-{number}": Zone() for number in range(ZONES)}
        quota = Quota(processors=1e9, memory_gb=1e9)
        configuration.configuration = Configuration(
            version=1,
            site=SiteSection(version=1, zones=zones),
            teams={"t": Section(version=1, quota=quota)},
        )
        self.directory = NodeDirectory(clock)
        self.jobs = JobStore(self.table, recorder.lamport)
        self.scheduler = TaskScheduler(
            self.table,
            self.jobs,
            configuration,
            self.directory,
            lambda bucket: True,
            SETTINGS,
            clock,
            recorder,
            Registry(),
            random.Random(1),
        )
        self.scheduler.reconciled_version = 1
        self.scheduler.step()
        self.streams = [self._connect(number) for number in range(nodes)]
        self.attempts_by_node = {}

    def _connect(self, number):
        zone = f"zone-{number % ZONES}"
        stream = FakeStream(f"node-{number}", zone=zone, role="node")
        stream.peer_clock = time.monotonic()
        self.directory.open(stream)
        announce = Announce(
            service="books",
            slots=8,
            connections=64,
            draining=False,
            session="s",
            processors=16.0,
            memory_gb=60.0,
            accelerators=2,
        )
        self.directory.record_message(stream, announce)
        self.directory.record_message(stream, Heartbeat(sent_at=1.0))
        self.report(stream, [])
        return stream

    def report(self, stream, attempts):
        """Let a node send its inventory."""
        free = 16.0 - 0.25 * len(attempts)
        self.directory.record_message(
            stream,
            TaskInventory(
                session="s",
                taken_at=1.0,
                echo=1.0,
                attempts=attempts,
                processors_free=free,
                memory_free_gb=60.0 - 0.5 * len(attempts),
                accelerators_free=2,
            ),
        )

    def submit(self, name, count):
        """Create jobs with a number of tasks in all."""
        for number in range(count // TASKS_PER_JOB):
            self.jobs.create(build_job("t", f"{name}-{number}", JOB, "submitted"))

    def settle(self):
        """Let every node list what was started on it."""
        for stream in self.streams:
            attempts = [item.attempt for item in stream.list_sent(StartTask)]
            copies = [
                AttemptId(job=item.job, index=item.index, attempt=item.attempt)
                for item in attempts
            ]
            self.report(stream, copies)
            stream.sent.clear()


def time_call(function):
    """Return the processor time of a call, in seconds."""
    begun = time.process_time()
    function()
    return time.process_time() - begun


def measure(nodes):
    """Print one line for a number of nodes."""
    tracemalloc.start()
    scale = Scale(nodes)
    gc.collect()
    with_nodes = tracemalloc.get_traced_memory()[0]
    tasks = nodes * TASKS_PER_NODE
    scale.submit("running", tasks)
    scale.scheduler.step()
    scale.settle()
    gc.collect()
    stored = sum(len(row.value) for row in scale.table.row_by_key.values())
    with_tasks = tracemalloc.get_traced_memory()[0] - stored
    tracemalloc.stop()
    idle = time_call(scale.scheduler.step)
    scale.submit("new", STARTS)
    start = time_call(scale.scheduler.step)
    scale.scheduler.request_rescan()
    rescan = time_call(scale.scheduler.step)
    stream = scale.streams[0]
    attempts = [
        AttemptId(job="t/running-0", index=n, attempt=1) for n in range(TASKS_PER_NODE)
    ]
    report = time_call(lambda: [scale.report(stream, attempts) for _ in range(2000)])
    print(
        f"{nodes:6d} {tasks:7d} {start / STARTS * MICROSECONDS:10.0f} "
        f"{idle * 1000:9.2f} {rescan * 1000:10.1f} "
        f"{report / 2000 * MICROSECONDS:10.0f} {with_nodes / nodes / 1024:9.1f} "
        f"{(with_tasks - with_nodes) / tasks:11.0f}"
    )


def main():
    """Print the table."""
    print("decisions of one entry (processor time), in-memory table")
    print(
        f"{'nodes':>6} {'tasks':>7} {'us/start':>10} {'idle ms':>9} {'rescan ms':>10} "
        f"{'us/report':>10} {'KB/node':>9} {'bytes/task':>11}"
    )
    for nodes in NODE_COUNTS:
        measure(nodes)


if __name__ == "__main__":
    main()
