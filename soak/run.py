"""Run seeds: callers submit and cancel jobs under bursts of overlapping faults.

Run ``python -m soak.run --seeds 50``; for a seed that fails, it prints the problems
and the folder with the logs of all processes.
"""

import argparse
import http.client
import json
import multiprocessing
import random
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

from bergamotshore.core.work.site import Queue
from bergamotshore.platform.jobs import decode_submission
from soak.changes import ConfigProber, Operator
from soak.judges import MISSING_SECONDS, RESTART_SECONDS, LongRunningJudge
from soak.proxy import MODES
from soak.site import HOST_NAME, PREFIX, RETRIES, ZONES, SoakSite
from standins.site import SERVICE

CALL_SECONDS = 4.0
START_SECONDS = 8.0
# Leadership terms, worker leases and retries end within this time of the last fault.
SETTLE_SECONDS = 20.0
# Store, workers and proxies run in this process; if it stalls for longer than this,
# leases may expire, so the wait for the site to settle starts again.
STALL_SECONDS = 1.0
STALL_POLL_SECONDS = 0.1
MAX_SETTLE_ATTEMPTS = 3
# Without faults, a cancelled job has no running tasks after this time.
CANCEL_SECONDS = 4.0
POLL_SECONDS = 0.2
STATUS_ATTEMPTS = 2
# Workers have 16000: most tasks are small, so that accepted jobs can complete within
# the time above; some are large, to test the capacity limit.
SMALL_TASK_CPU = 1000
LARGE_TASK_CPU = 6000
LARGE_TASK_INTERVAL = 8
# Optional kinds of faults; without them, a seed repeats the faults it always had.
OPTIONAL_KINDS = ("crashing-task", "resize", "calm", "drain", "evacuate", "silence")
# Time of work after which a task crashes its worker, in seconds.
CRASH_DELAYS_SECONDS = (0.0, 0.0, 0.3, 1.5)
CAPACITIES_CPU = (2000, 4000, 8000, 12000, 16000)
# Length of a period without faults, in seconds: a task that is lost at its beginning is
# noticed at its end.
CALM_PERIOD_SECONDS = RESTART_SECONDS + MISSING_SECONDS + 1.0

QUEUE = Queue("soak", HOST_NAME, PREFIX, SERVICE, retries=RETRIES)


@dataclass(slots=True)
class Evidence:
    """Outcomes observed by the callers.

    :param accepted: Identifiers of jobs confirmed as accepted.
    :param refused: Identifiers of jobs whose submission was refused.
    :param cancelled: Identifiers of jobs whose cancellation was confirmed.
    :param doubtful: Identifiers of jobs whose cancellation is uncertain.
    :param cancelling: Identifiers of jobs whose cancellation was requested and not
        refused.
    :param problems: Violations of guarantees.
    """

    accepted: set = field(default_factory=set)
    refused: set = field(default_factory=set)
    cancelled: set = field(default_factory=set)
    doubtful: set = field(default_factory=set)
    cancelling: set = field(default_factory=set)
    problems: list = field(default_factory=list)

    def list_long_running_jobs(self):
        """Return the accepted long-running jobs that nobody has tried to cancel."""
        jobs = self.accepted - self.cancelling
        return {job for job in jobs if job.startswith("lasting")}


class Caller(threading.Thread):
    """Submit jobs to one entry over a persistent connection.

    While ``crash_delay`` is set, the next job is one that crashes workers.

    :param site: ``SoakSite``.
    :param entry: Name of the entry.
    :param evidence: ``Evidence``.
    :param seed: Seed of the jobs and pauses.
    """

    def __init__(self, site, entry, evidence, seed):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.crash_delay = None
        self.program = site.entry_by_name[entry]
        self._site = site
        self._entry = entry
        self._evidence = evidence
        self._random = random.Random(f"{seed}-{entry}")
        self._connection = None

    def run(self):
        """Submit and cancel jobs until stopped."""
        number = 0
        while not self.is_stopped:
            number += 1
            is_lasting = self._random.random() < 0.15
            kind = "lasting" if is_lasting else "job"
            if self.crash_delay is not None:
                self._submit_crashing(f"crash-{self._entry}-{number}")
            is_large = number % LARGE_TASK_INTERVAL == 0 and not is_lasting
            cpu = LARGE_TASK_CPU if is_large else SMALL_TASK_CPU
            self._submit(f"{kind}-{self._entry}-{number}", is_lasting, cpu)
            time.sleep(self._random.uniform(0.05, 0.6))

    def _submit_crashing(self, job_id):
        delay, self.crash_delay = self.crash_delay, None
        self._site.ledger.record_crashing(job_id, delay)
        self._submit(job_id, False, SMALL_TASK_CPU)

    def _submit(self, job_id, is_lasting, cpu):
        step = {"count": 2, "cpu": cpu, "mem_mb": 100, "est_ms": 800}
        later = {**step, "count": 1, "after": [0]}
        steps = [{**step, "long_running": True}] if is_lasting else [step, later]
        call = {"spec": job_id, "steps": steps}
        spec = decode_submission(
            json.dumps(call).encode(), QUEUE, job_id, time.time()
        ).unwrap()
        with self._site.lock:
            self._site.ledger.record_job(spec)
        status = self.call("POST", job_id, call)
        if status == 200:
            self._evidence.accepted.add(job_id)
        elif status in (429, 503):
            self._evidence.refused.add(job_id)
        is_cancelled = status == 200 and self._random.random() < (
            0.8 if is_lasting else 0.1
        )
        if is_cancelled:
            time.sleep(self._random.uniform(0.0, 2.0))
            self._cancel(job_id)

    def _cancel(self, job_id):
        self._evidence.cancelling.add(job_id)
        status = self.call("DELETE", job_id)
        if status == 200:
            self._evidence.cancelled.add(job_id)
            with self._site.lock:
                self._site.ledger.record_cancellation(job_id, self._site.clock.now())
        elif status in (429, 503):
            self._evidence.cancelling.discard(job_id)
        else:
            self._evidence.doubtful.add(job_id)

    def call(self, method, job_id, body=None):
        """Call the entry; return the status, or 0 without a response."""
        return call_entry(self, method, job_id, body)[0]

    def send(self, method, path, body, headers):
        """Send a request on the persistent connection; return status and body."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                *self._site.callers_by_entry[self._entry], timeout=CALL_SECONDS
            )
        try:
            self._connection.request(method, path, body, headers)
            answer = self._connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None
            return 0, b""


def call_entry(caller, method, job_id, body=None):
    """Call an entry about a job; return the status and the decoded response."""
    headers = {
        "Host": HOST_NAME,
        "Content-Type": "application/json",
        "X-Deadline-Ms": "3000",
    }
    content = json.dumps(body).encode() if body is not None else None
    status, answer = caller.send(method, PREFIX + job_id, content, headers)
    return status, json.loads(answer) if answer else {}


class Soak:
    """One run of the soak, with faults chosen by a seed.

    :param site: ``SoakSite``.
    :param seed: Seed of the faults.
    :param optional_kinds: Those of ``OPTIONAL_KINDS`` to inject.
    """

    def __init__(self, site, seed, optional_kinds=()):
        self.site = site
        self._optional_kinds = list(optional_kinds)
        self.evidence = Evidence()
        self.events = []
        self._stops = []
        self.stalls = []
        self._random = random.Random(f"faults-{seed}")
        self._callers = [
            Caller(site, name, self.evidence, seed) for name in site.entry_by_name
        ]
        self.operator = Operator(site, seed)
        self.judge = LongRunningJudge(
            [worker.runner for worker in site.worker_by_node.values()],
            site.ledger,
            site.lock,
            self.evidence,
        )
        self._probers = [
            ConfigProber(
                self.operator,
                Caller(site, name, self.evidence, seed),
                self.evidence.problems,
                f"{seed}-{name}",
            )
            for name in site.entry_by_name
        ]

    def run(self, seconds):
        """Inject faults for some seconds, clear them, and check the guarantees.

        :returns: List of violations.
        """
        threading.Thread(target=self._record_stalls, daemon=True).start()
        self.site.start()
        time.sleep(START_SECONDS)
        self.operator.start()
        self.judge.start()
        for caller in (*self._callers, *self._probers):
            caller.start()
        deadline = time.monotonic() + seconds
        problems = (self.site.ledger.problems, self.evidence.problems)
        while time.monotonic() < deadline and not any(problems):
            self._inject_fault()
            time.sleep(self._random.choice([0.1, 0.5, 1.0, 2.5]))
        for caller in self._callers:
            caller.is_stopped = True
        for caller in self._callers:
            caller.join(4 * CALL_SECONDS)
        # Processes that are still stopping are not restarted by this first ``heal``.
        self.site.heal()
        for stop in self._stops:
            stop.join()
        self.evidence.problems += [
            f"{program.name} exited unexpectedly with status {program.process.poll()}"
            for program in self.site.programs
            if (program.process.poll() or 0) > 0
        ]
        self.site.heal()
        self.judge.calm_since = self.site.clock.now()
        for _ in range(MAX_SETTLE_ATTEMPTS):
            seen = len(self.stalls)
            self._settle()
            if len(self.stalls) == seen:
                break
        for thread in (self.operator, self.judge, *self._probers):
            thread.is_stopped = True
        for prober in self._probers:
            prober.join(2 * CALL_SECONDS)
        self._check_guarantees()
        return self.evidence.problems

    @property
    def config_answers(self):
        """Return the number of responses that reveal the configuration in force."""
        return sum(prober.answered for prober in self._probers)

    def _record_stalls(self):
        """Record stalls of this process."""
        while True:
            began = time.monotonic()
            time.sleep(STALL_POLL_SECONDS)
            if (gap := time.monotonic() - began) > STALL_SECONDS:
                at = datetime.now(UTC).isoformat(timespec="milliseconds")
                self.stalls.append(gap)
                self.judge.record_fault(self.site.clock.now())
                self.events.append(f"{at} the soak stalled for {gap:.1f} s")

    def _inject_fault(self):
        """Inject or clear one random fault."""
        rng, site = self._random, self.site
        program = rng.choice(site.programs)
        worker = rng.choice(list(site.worker_by_node.values()))
        kind = rng.choice(
            ["kill", "pause", "go-on", "stop", "start", "proxy", "proxy", "pass"]
            + ["store-down", "store-faults", "compact", "worker-restart", "hang"]
            + ["order-faults", "late-orders", "kill-entries"]
            + self._optional_kinds
        )
        at = datetime.now(UTC).isoformat(timespec="milliseconds")
        self.events.append(f"{at} {kind} {program.name} {worker.runner.name}")
        match kind:
            case "kill":
                program.kill()
            case "pause":
                program.pause()
            case "go-on":
                for item in site.programs:
                    item.resume()
            case "stop":
                stop = threading.Thread(target=self._stop, args=[program], daemon=True)
                self._stops.append(stop)
                stop.start()
            case "start":
                for item in site.programs:
                    if item.process.poll() is not None:
                        item.start()
            case "proxy":
                rng.choice(site.proxies).set_mode(rng.choice(MODES))
            case "pass":
                for proxy in site.proxies:
                    proxy.set_mode("pass")
            case "silence":
                for proxy in rng.sample(
                    site.proxies, rng.randint(1, len(site.proxies))
                ):
                    proxy.silence_connections()
            case "kill-entries":
                for item in site.entry_by_name.values():
                    item.kill()
            case "hang":
                worker.is_hanging = not worker.is_hanging
            case "worker-restart":
                worker.restart()
            case "crashing-task":
                rng.choice(self._callers).crash_delay = rng.choice(CRASH_DELAYS_SECONDS)
            case "resize":
                with site.lock:
                    worker.runner.resize(cpu=rng.choice(CAPACITIES_CPU))
            case "drain":
                worker.runner.is_draining = not worker.runner.is_draining
            case "evacuate":
                site.close_or_open_zone(rng.choice(ZONES))
            case "calm":
                self._pause_faults()
            case _:
                self._inject_platform_fault(kind)

    def _pause_faults(self):
        """Clear all faults for a period in which long-running tasks are judged."""
        self.site.heal()
        for stop in self._stops:
            stop.join()
        self.site.heal()
        self.judge.calm_since = self.site.clock.now()
        time.sleep(CALM_PERIOD_SECONDS)
        self.judge.calm_since = None

    def _inject_platform_fault(self, kind):
        rng, rows = self._random, self.site.rows
        match kind:
            case "store-down":
                rows.is_down = not rows.is_down
            case "store-faults":
                with self.site.store.changed:
                    faults = ["lost", "late", "down", "ok"]
                    rows.faults = [rng.choice(faults) for _ in range(4)]
                    rows.run_late()
            case "compact":
                with self.site.store.changed:
                    rows.compact()
            case "order-faults":
                faults = ["lost", "late", "silent"]
                for worker in self.site.worker_by_node.values():
                    worker.runner.faults = [rng.choice(faults) for _ in range(3)]
            case "late-orders":
                with self.site.lock:
                    for worker in self.site.worker_by_node.values():
                        worker.runner.run_late()

    def _stop(self, program):
        status = program.stop()
        if status is None:
            self.evidence.problems.append(f"{program.name} did not stop in time")

    def _settle(self):
        """Wait, up to a limit, until all jobs but the long-running ones complete."""
        deadline = time.monotonic() + SETTLE_SECONDS
        open_jobs = self._list_expected_jobs()
        while open_jobs and time.monotonic() < deadline:
            time.sleep(POLL_SECONDS)
            open_jobs = {job for job in open_jobs if self._get_state(job) != "complete"}
        time.sleep(CANCEL_SECONDS)

    def _list_expected_jobs(self):
        return {job for job in self._list_uncancelled_jobs() if job.startswith("job")}

    def _list_uncancelled_jobs(self):
        evidence = self.evidence
        return evidence.accepted - evidence.cancelled - evidence.doubtful

    def _get_state(self, job_id):
        """Return the state of a job; retries once if the connection was broken."""
        caller = self._random.choice(self._callers)
        for _ in range(STATUS_ATTEMPTS):
            status, answer = call_entry(caller, "GET", job_id)
            if status:
                state = answer.get("state", status)
                with self.site.lock:
                    self.site.ledger.check_state(job_id, state)
                return state
        return None

    def _check_guarantees(self):
        evidence, ledger = self.evidence, self.site.ledger
        for caller in self._callers:
            if (
                not call_entry(caller, "GET", "absent")[0]
                and not call_entry(caller, "GET", "absent")[0]
            ):
                evidence.problems.append(f"{caller.program.name} gives no answers")
        started = {task.split(".")[0] for task, _, _ in ledger.starts}
        running = {task.split(".")[0] for _, task in ledger.live}
        for job in sorted(self._list_expected_jobs()):
            if (state := self._get_state(job)) != "complete":
                evidence.problems.append(f"{job} was accepted but is {state}")
        for job in sorted(evidence.refused & started):
            evidence.problems.append(f"{job} was refused but ran")
        for job in sorted(evidence.cancelled & running):
            evidence.problems.append(f"{job} was cancelled but runs")
        lasting = {
            job for job in self._list_uncancelled_jobs() if job.startswith("lasting")
        }
        for job in sorted(lasting - running):
            evidence.problems.append(f"{job} is long-running but does not run")
        evidence.problems += ledger.problems


def run_seed(seed, seconds, entries, nodes, optional_kinds=()):
    """Run one seed in a new temporary folder.

    :param optional_kinds: Those of ``OPTIONAL_KINDS`` to inject.
    :returns: Problems, ``Soak`` and folder.
    """
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    site = SoakSite(folder, entries, nodes, seed)
    soak = Soak(site, seed, optional_kinds)
    try:
        problems = soak.run(seconds)
    finally:
        site.close()
        Path(folder, "faults.txt").write_text("\n".join(soak.events) + "\n")
    return problems, soak, folder


def main():
    """Run seeds and print those that failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=25.0, help="duration of the faults"
    )
    parser.add_argument("--entries", type=int, default=3, help="number of entries")
    parser.add_argument("--nodes", type=int, default=4, help="number of nodes")
    parser.add_argument(
        "--add",
        nargs="*",
        default=(),
        choices=OPTIONAL_KINDS,
        help="further kinds of faults; they change the faults of a seed",
    )
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    failed = [seed for seed in seeds if not _play_in_own_process(seed, options)]
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


def _play_in_own_process(seed, options):
    """Run one seed in a new process; return whether it ran without problems.

    The stand-ins of former seeds would use up the file descriptors of one process.
    """
    process = multiprocessing.get_context("spawn").Process(
        target=_play, args=(seed, options)
    )
    process.start()
    process.join()
    return process.exitcode == 0


def _play(seed, options):
    """Run one seed, print its figures and exit with 1 if there are problems."""
    problems, soak, folder = run_seed(
        seed, options.seconds, options.entries, options.nodes, options.add
    )
    evidence = soak.evidence
    print(
        f"seed {seed}: {len(evidence.accepted)} accepted,"
        f" {len(evidence.refused)} refused, {len(evidence.cancelled)} cancelled,"
        f" {len(soak.site.ledger.starts)} starts, {len(soak.events)} faults,"
        f" {len(soak.operator.changes)} changes,"
        f" {soak.config_answers} answers on them,"
        f" {soak.judge.judged} looks at long-running tasks,"
        f" {len(soak.stalls)} stalls, {len(problems)} problems",
        flush=True,
    )
    if problems:
        print(f"  logs: {folder}", *problems, sep="\n  ", flush=True)
    sys.exit(bool(problems))


if __name__ == "__main__":
    sys.exit(main())
