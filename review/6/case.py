"""More than 500 ends wait at a worker while the store is down for 4.5 s."""

import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

from deployment import Deployment  # noqa: E402

JOBS = 72
TASKS = 25
OUTAGE_SECONDS = 4.5
# The ends of all tasks spread over about five seconds.
FIRST_END_SECONDS = 14.0
SPREAD_SECONDS = 4.5
STEP_SECONDS = 0.13
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


def get_work(task, number):
    """Return the seconds of work of a task, spread evenly, and how it ends."""
    if task.startswith("f"):
        return 0.1, "done"
    spread = random.Random(task).random() * SPREAD_SECONDS
    # The jobs are handed in one after the other, and end at about the same time.
    return FIRST_END_SECONDS - int(task[:16], 16) * STEP_SECONDS + spread, "done"


def run(site):
    """Submit the jobs, put the store down for a while, and judge."""
    if not site.start():
        print("the site did not start")
        return 2
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    body = {
        "spec": "check",
        "steps": [{"count": TASKS, "cpu": 16, "mem_mb": 16, "est_ms": 8000}],
    }
    begin = time.monotonic()
    for number, job in enumerate(jobs):
        status = 0
        while status != 200 and time.monotonic() - begin < 20:
            status, _ = site.call(number % 2, "POST", job, body)
        if status != 200:
            print(f"job {job} was not accepted")
            return 2
    while len(site.record.runs) < JOBS * TASKS and time.monotonic() - begin < 20:
        time.sleep(0.05)
    print(f"{len(site.record.runs)} starts after {time.monotonic() - begin:.1f} s")
    time.sleep(max(0.0, begin + FIRST_END_SECONDS - time.monotonic()))
    if IS_TROUBLED:
        site.record.write(f"the store is down for {OUTAGE_SECONDS} s")
        site.store.mode = "busy"
        time.sleep(OUTAGE_SECONDS)
        site.store.mode = "ok"
        site.record.write("the store is back")
    deadline = time.monotonic() + 30
    is_complete = False
    while not is_complete and time.monotonic() < deadline:
        time.sleep(1.0)
        is_complete = all(site.get_state(0, job) == "complete" for job in jobs)
    time.sleep(3.0)
    doubled = site.record.find_doubled()
    for line in doubled[:10]:
        print("TWICE:", line)
    print(f"{len(doubled)} breaks of TWICE; all complete: {is_complete}")
    if not doubled and not is_complete:
        return 2
    return 1 if doubled else 0


def main():
    """Run the case."""
    site = Deployment(entries=2, nodes=2, get_work=get_work)
    try:
        result = run(site)
    finally:
        site.close()
        site.save(HERE, os.environ.get("LOGS"))
    return result


if __name__ == "__main__":
    sys.exit(main())
