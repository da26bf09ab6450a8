"""Submit small jobs and one job of many tasks; judge the small ones by the rule."""

import itertools
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from small_site import Platform, Record, build_site, call, read_state

from bergamotshore.platform.jobs import decode_submission
from soak.run import QUEUE

ENTRIES, NODES = 3, 4
START_SECONDS = 8.0
TROUBLE_AT_SECONDS = 8.0
TRAFFIC_SECONDS = 34.0
PAUSE_SECONDS = 0.8
# ``finish_s``, and the time without a run of a task whose turn has come.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
POLL_SECONDS = 0.1
SMALL_JOB = {"steps": [{"count": 2, "cpu": 500, "mem_mb": 100, "est_ms": 800}]}
LARGE_ID = "f" * 16
LARGE_JOB = {
    "spec": "large",
    "steps": [{"count": 1_000_000, "cpu": 100, "mem_mb": 10, "est_ms": 800}],
}
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


def submit(site, record, address, job_id, body):
    """Register a job at the stand-ins and submit it; return the status."""
    content = json.dumps(body).encode()
    spec = decode_submission(content, QUEUE, job_id, time.time()).unwrap()
    with site.lock:
        site.ledger.record_job(spec)
    status, _ = call(address, "POST", job_id, body)
    record.write(
        f"client: POST {job_id} of {len(content)} bytes -> {status or 'no answer'}"
    )
    return status


def send_traffic(site, record):
    """Submit a small job now and then, and the large one once; return the accepted."""
    addresses = list(site.callers_by_entry.values())
    accepted, answers = [], Counter()
    began = time.monotonic()
    is_large_due = IS_TROUBLED
    for number in itertools.count():
        elapsed = time.monotonic() - began
        if elapsed > TRAFFIC_SECONDS:
            break
        address = addresses[number % ENTRIES]
        if is_large_due and elapsed > TROUBLE_AT_SECONDS:
            # Sent again after no answer; a refusal is final.
            status = submit(site, record, address, LARGE_ID, LARGE_JOB)
            is_large_due = status in (0, 502, 504)
        job_id = f"{number:016x}"
        status = submit(
            site, record, address, job_id, {**SMALL_JOB, "spec": f"small-{number}"}
        )
        answers[status] += 1
        if status == 200:
            accepted.append(job_id)
        time.sleep(PAUSE_SECONDS)
    return accepted, answers


def list_idle_jobs(site, jobs, seconds):
    """Return the jobs of which nothing runs or ends during some seconds."""
    idle = set(jobs)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with site.lock:
            idle -= {task.split(".")[0] for _, task in site.ledger.live}
        time.sleep(POLL_SECONDS)
    with site.lock:
        return {job for job in idle if not site.ledger.is_complete(job)}


def main():
    """Play the case; return the exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    folder = tempfile.mkdtemp(prefix="review-11-")
    site = build_site(folder, ENTRIES, NODES)
    platform = Platform(site, record)
    try:
        site.start()
        time.sleep(START_SECONDS)
        platform.start()
        accepted, answers = send_traffic(site, record)
        record.write(f"end of traffic; answers to small jobs: {dict(answers)}")
        time.sleep(FINISH_SECONDS)
        idle = list_idle_jobs(site, accepted, IDLE_SECONDS)
        with site.lock:
            running = len(site.ledger.live)
            used = sum(
                site.ledger.get_step(task).cpu for _, task in list(site.ledger.live)
            )
        states = Counter(
            read_state(list(site.callers_by_entry.values()), job) for job in accepted
        )
        memory = {name: round(mb) for name, mb in platform.peak_mb_by_name.items()}
    finally:
        platform.is_stopped = True
        site.close()
        shutil.rmtree(folder, ignore_errors=True)
    record.write(f"tasks at work on all workers: {running}, with {used} of 64000 cpu")
    record.write(f"states of the {len(accepted)} accepted small jobs: {dict(states)}")
    record.write(f"accepted small jobs without a run for 3 s: {len(idle)}")
    record.write(f"peak memory in MB: {memory}")
    ends = Counter(name for name, _ in platform.ends)
    record.write(f"processes that the platform had to start again: {dict(ends)}")
    if not accepted:
        record.write("could not run: no job was accepted")
        return 2
    # Under half of the capacity is in use, and it suffices for any small task.
    is_broken = bool(idle) and used < NODES * 16000 / 2
    record.write("broken" if is_broken else "held")
    return int(is_broken)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
