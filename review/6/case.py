"""Many users come at once, and jobs that need advice never start any more."""

import os
import signal
import sys
import threading
import time
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

from deployment import Deployment  # noqa: E402

WORKERS = 11
ADVICE = {"decide_ms": 130, "period_ms": 10, "valid_ms": 3000}
# The kind of request balance-check of the site: 2.23 jobs a second of 1.6 steps of 6
# tasks, each 2 s on 0.24 cores.
JOBS_PER_SECOND = 2.23
STEPS = (2, 1, 2, 1, 2)
TASKS = 6
CPU = 240
WORK_SECONDS = 2.0
BURST_FACTOR = 2.6
BURST_AT_SECONDS = 6.0
BURST_SECONDS = 4.0
TRAFFIC_SECONDS = 22.0
FINISH_SECONDS = 14.0
WINDOW_SECONDS = 3.0
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


def get_work(task, number):
    """Return the seconds of work of a task, and how it ends."""
    return WORK_SECONDS, "done"


def list_send_times():
    """Return the times at which jobs are sent, evenly spaced, in seconds."""
    times = []
    at = 0.0
    while at < TRAFFIC_SECONDS:
        times.append(at)
        is_burst = 0.0 <= at - BURST_AT_SECONDS < BURST_SECONDS
        factor = BURST_FACTOR if IS_TROUBLED and is_burst else 1.0
        at += 1.0 / (JOBS_PER_SECOND * factor)
    return times


def submit(site, number, accepted):
    """Hand a job in."""
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 480, "est_ms": 2000}
    steps = [dict(step) for _ in range(STEPS[number % len(STEPS)])]
    for index in range(1, len(steps)):
        steps[index]["after"] = [index - 1]
    job = f"{number + 1:016x}"
    status, _ = site.call(number % 3, "POST", job, {"spec": "x", "steps": steps})
    if status == 200:
        accepted.append(job)


def run(site):
    """Play the traffic, and look which accepted jobs never run."""
    if not site.start():
        print("the site did not start")
        return 2
    time.sleep(2.0)
    accepted = []
    begin = time.monotonic()
    for number, at in enumerate(list_send_times()):
        time.sleep(max(0.0, begin + at - time.monotonic()))
        threading.Thread(target=submit, args=(site, number, accepted)).start()
    site.record.write("end of the traffic")
    time.sleep(FINISH_SECONDS)
    jobs = sorted(accepted)
    states = {job: site.get_state(0, job) for job in jobs}
    since = site.record.now()
    most_in_use = 0
    while site.record.now() - since < WINDOW_SECONDS:
        running = sum(len(worker.list_running()) for worker in site.workers)
        most_in_use = max(most_in_use, running * CPU)
        time.sleep(0.05)
    capacity = 16000 * WORKERS
    lost = []
    for job in jobs:
        runs = [item for item in list(site.record.runs) if item.task.startswith(job)]
        is_idle = all(item.ended and item.ended < since for item in runs)
        if is_idle and states[job] in ("pending", "active"):
            lost.append((job, states[job], len(runs)))
    for job, state, runs in lost[:10]:
        print(
            f"LOST: {job} is {state}, {runs} runs so far, nothing of it runs for "
            f"{WINDOW_SECONDS:.0f} s, {FINISH_SECONDS:.0f} s after the traffic"
        )
    print(
        f"{len(lost)} of {len(jobs)} accepted jobs lost; {most_in_use} of {capacity} "
        f"thousandths of a core in use; answers of the advice service: "
        f"{site.advice.answers}"
    )
    return 1 if lost and most_in_use < capacity / 2 else 0


def main():
    """Run the case."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    site = None
    result = 2
    try:
        site = Deployment(entries=3, nodes=WORKERS, get_work=get_work, advice=ADVICE)
        result = run(site)
    except Exception:
        traceback.print_exc()
    finally:
        if site is not None:
            site.close()
            site.save(HERE, os.environ.get("LOGS"))
    return result


if __name__ == "__main__":
    sys.exit(main())
