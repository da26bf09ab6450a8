"""Workers that turn slow for a while, as tasks of a burst show it."""

import pytest

from bergamotshore.core.work.board import Board
from bergamotshore.core.work.model import JobSpec, Step
from bergamotshore.core.work.planner import PlanView, plan_starts, plan_stops
from bergamotshore.core.work.site import SiteState
from bergamotshore.core.work.suspicion import Suspicion
from bergamotshore.ports.runner import ListedEnd, ListedRun, WorkerLife
from tests.site.world import SERVICE, build_configuration

NODES = 4
SECONDS = 1.3
SLOWER = 6.5
LOOK_SECONDS = 0.4
LONGEST_PLAY_SECONDS = 400.0


class Burst:
    """Jobs of short tasks on workers of given speeds, in virtual time."""

    def __init__(self, slow_by_node):
        self.now = 100.0
        self.slow_by_node = slow_by_node
        self.board = Board(build_configuration().get_queue)
        self.site = SiteState(build_configuration())
        self.suspicion = Suspicion()
        self.begun_by_key = {}
        self.ended_at_by_job = {}
        self.moved = []
        self.sequence = 0
        for index in range(NODES):
            worker = self.board.get_worker(f"node-{index}", "zone-0")
            worker.life = WorkerLife(f"worker-{index}", 1)
            worker.service, worker.cpu, worker.memory = SERVICE, 16000, 64000
            worker.stream = object()
            worker.is_heard = worker.is_answering = worker.has_right = True

    def add(self, name, tasks=6):
        step = Step(tasks=tasks, cpu=1600, memory=100, estimate=SECONDS)
        self.board.add_job(
            JobSpec("queue", name, SERVICE, "p", (step,), 3, accepted_at=self.now)
        )

    def step(self):
        """Let the workers report, then decide."""
        self.now += LOOK_SECONDS
        for worker in self.board.worker_by_node.values():
            self._report(worker)
        for fact in self.board.take_facts():
            self.suspicion.note(fact)
            self.board.step_times.note(fact)
        slow = self.board.step_times.find_slow(self.board.worker_by_node.values())
        for item in slow:
            self.suspicion.note_slow(item.node, self.now)
        keys = frozenset(held.key for item in slow for held in item.to_move)
        view = PlanView(
            self.board, self.site, self.now, self.now, self.suspicion.is_held, keys
        )
        for stop in plan_stops(view):
            self.moved.append(stop.node)
            self._end(self.board.worker_by_node[stop.node], stop, "stopped")
        for worker, held in plan_starts(view)[0]:
            held.sent_at = self.now
            self.begun_by_key[held.key] = self.now
            self.board.note_result(worker, held.key, "started", self.now)

    def _report(self, worker):
        worker.reported_at = self.now
        slower = self.slow_by_node.get(worker.node, 1.0)
        for held in list(worker.held_by_key.values()):
            done = (self.now - self.begun_by_key[held.key]) / (SECONDS * slower)
            if done >= 1.0:
                self._end(worker, held, "done")
                continue
            listed = ListedRun(held.name, held.number, "", int(100 * done), 0.0)
            self.board.note_running(worker, listed, self.now)

    def _end(self, worker, run, outcome):
        self.sequence += 1
        listed = ListedEnd(self.sequence, run.name, run.number, outcome, "")
        self.board.note_end(worker, listed, self.now)
        job = run.name.split(".")[0]
        if self.board.job_by_key[f"queue/{job}"].outcome:
            self.ended_at_by_job.setdefault(job, self.now)


def play(slow_by_node, seconds=12.0):
    """Return the burst after one job each 0.4 s for some seconds, and their times."""
    burst = Burst(slow_by_node)
    times = {}
    for number in range(int(seconds / LOOK_SECONDS)):
        name = f"job{number}"
        burst.add(name)
        times[name] = burst.now
        burst.step()
    while len(burst.ended_at_by_job) < len(times):
        assert burst.now < LONGEST_PLAY_SECONDS
        burst.step()
    return burst, [burst.ended_at_by_job[name] - times[name] for name in times]


def test_a_slow_worker_delays_few_jobs_of_a_burst():
    """One worker in four turns slow: nine jobs in ten still end within three times."""
    burst, times = play({"node-1": SLOWER})
    assert set(burst.moved) == {"node-1"}
    late = [seconds for seconds in times if seconds > 3 * SECONDS]
    assert len(late) <= len(times) / 10


def test_nothing_is_moved_while_all_workers_work_alike():
    burst, _ = play({})
    assert burst.moved == []


def test_nothing_is_moved_while_all_workers_are_slow():
    burst, _ = play(dict.fromkeys([f"node-{n}" for n in range(NODES)], SLOWER))
    assert burst.moved == []


def test_a_worker_that_recovers_gets_work_again():
    burst, _ = play({"node-1": SLOWER}, seconds=4.0)
    burst.slow_by_node.clear()
    for number in range(30):
        burst.add(f"later{number}")
        burst.step()
    burst.add("last", tasks=16)
    burst.step()
    used = {
        worker.node
        for worker in burst.board.worker_by_node.values()
        if worker.held_by_key
    }
    assert "node-1" in used


@pytest.mark.parametrize("fields", [{"is_lasting": True}, {"is_filling": True}])
def test_tasks_without_a_duration_of_their_own_are_not_judged(fields):
    burst = Burst({"node-1": SLOWER})
    step = Step(tasks=12, cpu=1600, memory=100, **fields)
    burst.board.add_job(JobSpec("queue", "job", SERVICE, "p", (step,), 3))
    for _ in range(4):
        burst.step()
    assert burst.moved == []


def test_runs_that_were_under_way_before_a_term_are_judged_by_what_was_seen():
    """A new scheduler sees runs half done; new siblings of them are not slow."""
    burst = Burst({})
    burst.add("job", tasks=12)
    burst.step()
    for index, worker in enumerate(burst.board.worker_by_node.values()):
        for held in worker.held_by_key.values():
            if index < NODES - 1:
                burst.begun_by_key[held.key] -= 0.6 * SECONDS
    for _ in range(4):
        burst.step()
    assert burst.moved == []


def test_tasks_that_end_as_soon_as_they_are_seen_divide_by_nothing():
    burst = Burst({"node-1": SLOWER})
    burst.add("job", tasks=12)
    burst.step()
    for worker in burst.board.worker_by_node.values():
        for held in list(worker.held_by_key.values()):
            if worker.node != "node-1":
                listed = ListedRun(held.name, held.number, "", 0, 0.0)
                burst.board.note_running(worker, listed, burst.now)
                burst._end(worker, held, "done")
    for _ in range(4):
        burst.step()
    assert set(burst.moved) <= {"node-1"}
