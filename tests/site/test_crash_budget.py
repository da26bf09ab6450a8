"""Tests of the limit of starts of tasks that crash workers, beside other faults."""

import random
from dataclasses import replace

import pytest

from bergamotshore.core.work.crashes import TRIAL_SECONDS
from bergamotshore.core.work.model import Step
from bergamotshore.entry.streams import NodeRestart, StreamDirectory
from bergamotshore.generated.messages import RunOrders
from bergamotshore.node.runs import MIN_REFUSAL_SECONDS
from standins.ledger import MAX_CRASHES, MAX_STARTS_AFTER_CRASHES
from standins.site import CRASH_SECONDS
from tests.fakes import FakeClock
from tests.site.simulation import FakeStream, Simulation, build_hello

CULPRIT = "deadly.0.0.0"
WORK_SECONDS = 1.3
SHORT = Step(tasks=2, cpu=240, memory=100, estimate=WORK_SECONDS)
LASTING = Step(tasks=2, cpu=400, memory=100, is_lasting=True)
# One task for each worker.
LASTING_EVERYWHERE = Step(tasks=6, cpu=400, memory=100, is_lasting=True, per_worker=1)
COPIED = Step(tasks=2, cpu=240, memory=100, is_speculative=True)
# Time of work after which the task crashes its worker, in seconds.
CRASH_DELAYS = (0.0, 0.1, 0.8, 1.6)
# Time for which a crashed worker refuses connections, in seconds. After the shortest,
# its node notices the new incarnation only.
CRASH_TIMES = (0.1, 1.0, CRASH_SECONDS)
MAX_STARTS = MAX_CRASHES + MAX_STARTS_AFTER_CRASHES - 1
# Long enough for twice as many starts as are allowed.
LIMIT_SECONDS = 60.0


class Site:
    """A site with a task that crashes workers and harmless tasks beside it.

    :param step: ``Step`` of the job of which one task crashes workers.
    :param delay: Time of work after which it does so, in seconds.
    """

    def __init__(self, step, delay, crash_seconds=CRASH_SECONDS, seed=0):
        self.simulation = Simulation(FakeClock(), entries=3, nodes=6, seed=seed)
        self.random = self.simulation.random
        for runner in self.simulation.runner_by_node.values():
            runner.crash_seconds = crash_seconds
        self.simulation.advance(1.0)
        self.ledger = self.simulation.ledger
        self.ledger.record_crashing(CULPRIT, delay)
        self.harmless_jobs = []
        self.submit_harmless()
        self.simulation.submit("deadly", (step,))

    def submit_harmless(self):
        """Submit another harmless job, whose tasks start beside the culprit."""
        job_id = f"harmless{len(self.harmless_jobs)}"
        self.harmless_jobs.append(job_id)
        self.simulation.submit(job_id, (SHORT,))

    def list_crashed_nodes(self):
        """Return the nodes whose workers have crashed under the culprit, in order."""
        crashes = sorted(self.ledger.crashes_by_task.get(CULPRIT, ()))
        return [f"node-{name.removeprefix('worker-')}" for name, _ in crashes]

    def count_starts(self):
        return sum(task == CULPRIT for task, _, _ in self.ledger.starts)

    def is_over(self):
        return self.simulation.get_state("deadly") in ("done", "failed")

    def advance(self):
        """Run one step; harmless short tasks end after their work."""
        self.simulation.advance(0.1)
        now = self.simulation.clock.now()
        for runner in self.simulation.runner_by_node.values():
            for task, number in list(runner.run_by_task.items()):
                age = now - runner.started_at_by_run[(task, number)]
                is_harmless = self.ledger.get_crash_delay(task) is None
                is_lasting = self.ledger.get_step(task).is_lasting
                if age >= WORK_SECONDS and is_harmless and not is_lasting:
                    runner.finish(task, "done")

    def run(self, disturb, wait):
        """Run until the culprit is given up; disturb the site after each crash.

        :param disturb: Called with this object and the node of the crashed worker.
        :param wait: Time from a crash to the disturbance, in seconds.
        """
        until = self.simulation.clock.now() + LIMIT_SECONDS
        known = set()
        due = []
        while self.simulation.clock.now() < until and not self.is_over():
            self.advance()
            crashes = self.ledger.crashes_by_task.get(CULPRIT, set())
            for worker, _ in sorted(crashes - known):
                node = f"node-{worker.removeprefix('worker-')}"
                due.append((self.simulation.clock.now() + wait, node))
            known = set(crashes)
            while due and due[0][0] <= self.simulation.clock.now():
                disturb(self, due.pop(0)[1])

    def check(self):
        """Check that the culprit, and nothing else, was given up in time."""
        assert self.ledger.problems == []
        assert self.simulation.get_state("deadly") == "failed"
        assert self.count_starts() <= MAX_STARTS
        for job_id in self.harmless_jobs:
            assert self.simulation.get_state(job_id) != "failed"


def restart_leader(site, node):
    leader = site.simulation.leader
    if leader is not None:
        site.simulation.start_entry(leader.name)


def replace_leader(site, node):
    """Kill the scheduling entry; start again the one that was killed before."""
    simulation = site.simulation
    missing = set(simulation.entry_names) - set(simulation.entry_by_name)
    leader = simulation.leader
    if leader is not None:
        simulation.kill_entry(leader.name)
    for name in sorted(missing):
        simulation.start_entry(name)


def restart_all_entries(site, node):
    for name in site.simulation.entry_names:
        site.simulation.start_entry(name)


def restart_leader_during_outage(site, node):
    site.simulation.store.is_down = True
    site.simulation.advance(1.0)
    restart_leader(site, node)
    site.simulation.store.is_down = False


def restart_leader_before_nodes_connect(site, node):
    """Restart the scheduling entry, to which nodes connect later than other entries."""
    leader = site.simulation.leader
    if leader is None:
        return
    for name in site.simulation.node_by_name:
        site.simulation.disconnect(leader.name, name)
    site.simulation.start_entry(leader.name)
    site.simulation.advance(0.8)
    site.simulation.heal()


def reset_streams(site, node):
    for stream in list(site.simulation.node_by_name[node].streams):
        stream.close("connection-lost")
        stream.other.close("connection-lost")


def restart_node(site, node):
    site.simulation.start_node(node)


def restart_node_later(site, node):
    site.simulation.kill_node(node)
    site.simulation.advance(1.0)
    restart_node(site, node)


def replace_leader_and_restart_node(site, node):
    replace_leader(site, node)
    restart_node(site, node)


def restart_node_after_replacing_leader(site, node):
    replace_leader(site, node)
    site.simulation.advance(0.1)
    restart_node(site, node)


def replace_leader_after_restarting_node(site, node):
    restart_node(site, node)
    site.simulation.advance(0.1)
    replace_leader(site, node)


def restart_leader_and_node(site, node):
    """Restart the scheduling entry, and the node once it has told of the crash."""
    site.simulation.advance(0.3)
    restart_leader(site, node)
    site.simulation.advance(0.1)
    restart_node(site, node)


def do_nothing(site, node):
    """Leave the site as it is."""


# Guards against counting only the crashes of workers that the scheduling entry has seen
# before: a task was started without a limit while that entry changed at each crash.
@pytest.mark.parametrize(
    "disturb",
    [
        restart_leader,
        replace_leader,
        restart_all_entries,
        restart_leader_during_outage,
        restart_leader_before_nodes_connect,
        restart_leader_and_node,
    ],
)
def test_crashes_are_counted_while_the_scheduling_entry_changes(disturb):
    for delay in CRASH_DELAYS:
        for wait in (0.0, 0.2, 0.4):
            site = Site(SHORT, delay)
            site.run(disturb, wait)
            site.check()


# Guards against a crash that isn't counted because the node has connected anew since.
@pytest.mark.parametrize("crash_seconds", CRASH_TIMES)
def test_crashes_are_counted_although_the_node_connects_anew(crash_seconds):
    for delay in CRASH_DELAYS:
        for wait in (0.0, 0.2, 0.4):
            site = Site(SHORT, delay, crash_seconds)
            site.run(reset_streams, wait)
            site.check()


# Guards against a crash of which the node sees the new incarnation only: the run whose
# order got no answer was taken for one that had not started.
@pytest.mark.parametrize(
    "step", [SHORT, LASTING, COPIED], ids=["short", "long-running", "copied"]
)
def test_crashes_of_workers_that_return_at_once_are_counted(step):
    for delay in CRASH_DELAYS:
        site = Site(step, delay, CRASH_TIMES[0])
        site.run(do_nothing, 0.0)
        site.check()


# Guards against blaming only the runs that have just started: a task that crashes its
# workers after a second of work was started without a limit on a busy site.
@pytest.mark.parametrize("delay", [1.2, 1.6])
def test_crashes_are_counted_beside_runs_that_have_just_started(delay):
    site = Site(SHORT, delay)
    until = site.simulation.clock.now() + LIMIT_SECONDS
    while site.simulation.clock.now() < until and not site.is_over():
        for _ in range(3):
            site.advance()
        site.submit_harmless()
    site.check()


# Guards against clearing a long-running task that crashes each worker after some
# seconds of work: it was never given up.
@pytest.mark.parametrize("delay", [2.2, 4.0, 8.0])
def test_long_running_task_that_crashes_workers_late_is_given_up(delay):
    site = Site(LASTING, delay)
    site.run(do_nothing, 0.0)
    site.check()


# Guards against a crash that isn't counted because the process of the node restarted
# beside it.
def test_crashes_are_counted_although_the_node_restarts():
    for delay in CRASH_DELAYS:
        site = Site(SHORT, delay)
        site.run(restart_node, 0.0)
        site.check()


# Guards against the same while the worker is back at once, the node later, or another
# entry begins to schedule.
@pytest.mark.parametrize("crash_seconds", CRASH_TIMES)
@pytest.mark.parametrize(
    "disturb",
    [
        restart_node,
        restart_node_later,
        replace_leader_and_restart_node,
        restart_node_after_replacing_leader,
        replace_leader_after_restarting_node,
    ],
)
def test_crashes_are_counted_although_node_and_entry_restart(disturb, crash_seconds):
    for delay in CRASH_DELAYS:
        site = Site(SHORT, delay, crash_seconds)
        site.run(disturb, 0.0)
        site.check()


# Guards against blaming the tasks of a rack that loses power, whether its processes are
# back at once or not, or of one machine that stays away.
@pytest.mark.parametrize(("nodes", "away"), [(3, 0.0), (3, 0.5), (3, 3.0), (1, 3.0)])
@pytest.mark.parametrize("crash_seconds", CRASH_TIMES)
def test_loss_of_power_is_not_counted(nodes, away, crash_seconds):
    simulation = Simulation(FakeClock(), entries=3, nodes=6)
    simulation.advance(1.0)
    simulation.submit("harmless", (LASTING_EVERYWHERE,))
    simulation.advance(1.5)
    lost = list(simulation.runner_by_node)[:nodes]
    for name in lost:
        assert simulation.runner_by_node[name].run_by_task
        simulation.kill_node(name)
        simulation.runner_by_node[name].crash(crash_seconds)
    if away:
        simulation.advance(away)
    for name in lost:
        simulation.start_node(name)
    simulation.advance(CRASH_SECONDS + 3.0)
    assert list_counted(simulation) == []
    assert len(simulation.running) == LASTING_EVERYWHERE.tasks


# Guards against taking a machine without power for a process that ended: it leaves its
# streams open, or they are lost only once it has been silent.
@pytest.mark.parametrize(
    ("silence", "is_lost", "away", "has_kept_power"),
    [
        (0.2, True, 0.5, True),
        (0.2, False, 0.5, False),
        (2.0, True, 0.5, False),
        (0.2, True, 3.0, False),
    ],
)
def test_machine_without_power_is_told_from_a_process_that_ended(
    clock, silence, is_lost, away, has_kept_power
):
    directory = StreamDirectory(clock, lambda stream: None)
    clock.advance(5.0)
    stream = open_stream(directory, "first")
    clock.advance(1.0)
    directory.record_heartbeat(stream)
    clock.advance(silence)
    if is_lost:
        directory.close(stream)
    clock.advance(away)
    open_stream(directory, "second")
    assert directory.get_restart("node-0").has_kept_power == has_kept_power


# Guards against forgetting a loss of power because the process of the node ends again
# before it has told of its worker.
@pytest.mark.parametrize("has_told", [True, False])
def test_loss_of_power_is_remembered_until_the_node_has_told_of_its_worker(
    node, has_told
):
    clock = node.clock
    directory = StreamDirectory(clock, lambda stream: None)
    directory.close(open_stream(directory, "first"))
    clock.advance(3.0)
    second = open_stream(directory, "second")
    if has_told:
        directory.record_report(second, node.run_manager.build_report(1))
    directory.close(second)
    clock.advance(0.5)
    open_stream(directory, "third")
    assert directory.get_restart("node-0").has_kept_power == has_told


# Guards against blaming the tasks of a worker that leaves beside its restarting node.
def test_end_of_a_draining_worker_beside_its_restarting_node_is_not_counted():
    simulation = Simulation(FakeClock(), entries=3, nodes=6)
    simulation.advance(1.0)
    simulation.submit("harmless", (LASTING_EVERYWHERE,))
    simulation.advance(1.5)
    node, runner = next(iter(simulation.runner_by_node.items()))
    runner.is_draining = True
    simulation.advance(0.2)
    runner.stop_faults = ["silent"] * 100
    runner.crash()
    simulation.start_node(node)
    simulation.advance(CRASH_SECONDS + 3.0)
    assert list_counted(simulation) == []


# Guards against blaming a run for an end of its worker that it has outlived: the node
# process that starts beside it finds it there.
def test_restart_of_a_node_beside_a_sound_worker_is_not_counted():
    simulation = Simulation(FakeClock(), entries=3, nodes=6)
    simulation.advance(1.0)
    simulation.submit("harmless", (LASTING_EVERYWHERE,))
    simulation.advance(1.5)
    for _ in range(3):
        for name in simulation.runner_by_node:
            simulation.start_node(name)
            simulation.advance(0.5)
    assert list_counted(simulation) == []
    assert len(simulation.ledger.starts) == LASTING_EVERYWHERE.tasks


# Guards against counting an end that the present process of a node has seen, and does
# not tell as a loss, since its worker took leave.
def test_end_that_the_restarted_node_has_seen_is_not_counted_by_guess():
    simulation = Simulation(FakeClock(), entries=3, nodes=6)
    simulation.advance(1.0)
    simulation.submit("harmless", (LASTING_EVERYWHERE,))
    simulation.advance(1.5)
    name, runner = next(iter(simulation.runner_by_node.items()))
    simulation.start_node(name)
    simulation.advance(2.0)
    simulation.node_by_name[name].receive_farewell()
    runner.restart()
    simulation.advance(5.0)
    assert any("outcome=life-over" in line for line in simulation.lines)
    assert list_counted(simulation) == []


@pytest.fixture
def restarted():
    """Return a site with a harmless task at each worker."""
    simulation = Simulation(FakeClock(), entries=1, nodes=2)
    simulation.advance(1.0)
    simulation.submit("harmless", (replace(LASTING_EVERYWHERE, tasks=2),))
    simulation.advance(3.0)
    return simulation


def find_unseen(simulation, change_run=(), **changes):
    """Return what is taken for lost at a worker whose node has restarted."""
    dispatcher = simulation.leader.dispatcher
    worker = dispatcher.cluster.worker_by_node["node-0"]
    (run,) = worker.allocation_by_key.values()
    for field, value in change_run:
        setattr(run, field, value)
    report = simulation.node_by_name["node-0"].run_manager.build_report(1)
    contact = simulation.leader.directory._get_contact("node-0")
    contact.restart = NodeRestart(simulation.clock.now(), True)
    report = replace(
        report, **{"born": 1, "has_missed_end": True, "running": [], **changes}
    )
    return list(dispatcher._find_unseen_losses(worker, report).values())


# Guards against blaming a run for the end of the worker before although the present one
# has it or has just refused it, or its order had not been sent.
def test_only_runs_that_were_there_are_lost_beside_a_restarting_node(restarted):
    (lost,) = find_unseen(restarted)
    assert lost.worked_seconds > 1.0
    worker = restarted.leader.dispatcher.cluster.worker_by_node["node-0"]
    (run,) = worker.allocation_by_key.values()
    assert not find_unseen(restarted, running=[(*run.key, "", 0, 0.0)])
    assert not find_unseen(restarted, ended=[(1, *run.key, "done", "")])
    assert not find_unseen(restarted, doubtful=[run.key])
    assert not find_unseen(restarted, born=run.born)
    assert not find_unseen(restarted, has_missed_end=False)
    assert not find_unseen(restarted, [("sent_at", 0.0)])


# Guards against blaming a run of which a successor knows only the claim as one that has
# just started: it may have worked for long.
def test_unseen_losses_that_no_node_has_told_of_count_as_old(restarted):
    (sent,) = find_unseen(restarted, [("is_started", False)])
    (claimed,) = find_unseen(restarted, [("stream", None)])
    assert sent.worked_seconds == 0.0
    assert claimed.worked_seconds > TRIAL_SECONDS


def open_stream(directory, incarnation):
    stream = FakeStream(None, build_hello("node", "node-0", "", incarnation))
    directory.open(stream)
    return stream


def list_counted(simulation):
    return [line for line in simulation.lines if "event=crash-counted " in line]


def list_lost(node):
    return {task for task, *_ in node.run_manager.build_report(1).lost}


def notice_end(node):
    """Let a node prove by two calls that its worker has ended."""
    node.run_manager.hold()
    node.clock.advance(2 * MIN_REFUSAL_SECONDS)
    node.run_manager.hold()


@pytest.fixture
def node():
    """Return a node whose worker runs a harmless job."""
    simulation = Simulation(FakeClock(), entries=1, nodes=1)
    simulation.advance(1.0)
    simulation.submit("harmless", (LASTING,))
    simulation.advance(1.0)
    (node,) = simulation.node_by_name.values()
    return node


# Guards against blaming a task for a crash although its order had not been sent yet.
def test_order_that_was_never_sent_is_not_among_the_lost_runs(node):
    orders = RunOrders(
        epoch=1,
        echo=node.clock.now(),
        born=node.runner.born,
        starts=[("harmless.0.0.7", 1, "", "")],
        payload_by_job={"harmless": "payload"},
        stops=[],
        paces=[],
        acknowledged=0,
    )
    _, starts = node.run_manager.accept_orders(orders)
    assert len(starts) == 1
    node.runner.crash()
    notice_end(node)
    assert list_lost(node) == {"harmless.0.0.0", "harmless.0.0.1"}


# Guards against a loss that is told although the worker answers again: its runs would
# be blamed for a later end of the worker.
def test_runs_that_are_listed_again_are_not_lost(node):
    node.runner.is_gone = True
    notice_end(node)
    assert list_lost(node) == {"harmless.0.0.0", "harmless.0.0.1"}
    node.runner.is_gone = False
    node.run_manager.hold()
    assert list_lost(node) == set()


# Guards against suspects that hide each other: several tasks that crash workers, of one
# job or of several.
@pytest.mark.parametrize("disturb", [do_nothing, restart_leader])
def test_starts_of_several_tasks_that_crash_workers_are_limited(disturb):
    for delay in CRASH_DELAYS:
        site = Site(SHORT, delay)
        site.ledger.record_crashing("deadly", delay)
        site.ledger.record_crashing("other", delay)
        site.simulation.submit("other", (SHORT,))
        site.run(disturb, 0.1)
        site.check()


# Guards against combinations of these faults that add up to more starts than allowed.
@pytest.mark.parametrize("seed", range(4))
def test_starts_are_limited_under_random_faults(seed):
    generator = random.Random(seed)
    for _ in range(6):
        site = Site(
            generator.choice((SHORT, COPIED)),
            generator.choice(CRASH_DELAYS),
            generator.choice(CRASH_TIMES),
            seed=generator.randrange(1000),
        )
        faults = (
            do_nothing,
            restart_leader,
            replace_leader,
            restart_all_entries,
            reset_streams,
        )

        def disturb(site, node, faults=faults):
            site.submit_harmless()
            site.random.choice(faults)(site, node)

        site.run(disturb, generator.choice((0.0, 0.1, 0.3, 0.5, 1.0)))
        site.check()
