"""Kill the scheduling entry and its successor; ask the third entry for the count."""

import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

from small_site import Record, build_site, call

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.entry.election import LEADER_ROW, LeaderRow
from bergamotshore.platform.jobs import decode_submission
from soak.run import QUEUE

ENTRIES, NODES = 3, 4
START_SECONDS = 9.0
# ``visible_ms`` and 2 s, and the longest time that a killed process stays away.
SETTLED_SECONDS = 5.0
AWAY_SECONDS = 3.5
JOBS = 12
SUBMIT_SECONDS = 0.08
WATCH_SECONDS = 12.0
POLL_SECONDS = 0.1
JOB = {
    "spec": "job",
    "steps": [{"count": 2, "cpu": 500, "mem_mb": 100, "est_ms": 800}],
}
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class Site:
    """The site and its store, as far as the platform sees them."""

    def __init__(self, folder, record):
        self.site = build_site(folder, ENTRIES, NODES)
        self.record = record
        self.killed = []

    def get_holder(self):
        """Return the name of the entry that last wrote the row of the lease."""
        with self.site.store.changed:
            row = self.site.rows.row_by_id.get(LEADER_ROW)
        return decode_msgpack(row.value, LeaderRow).name if row is not None else ""

    def kill(self, name):
        """Let an entry lose power; it is back after a while."""
        program = self.site.entry_by_name[name]
        program.kill()
        self.killed.append(name)
        self.record.write(f"platform: {name} lost power")
        timer = threading.Timer(AWAY_SECONDS, self._start, [program])
        timer.daemon = True
        timer.start()

    def _start(self, program):
        program.start()
        self.record.write(f"platform: {program.name} started again")

    def kill_next_holder(self, former):
        """Kill the next entry that takes the lease."""
        until = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < until:
            holder = self.get_holder()
            if holder not in ("", former):
                self.kill(holder)
                return
            time.sleep(0.01)

    def submit(self, address, job_id):
        """Submit a job; return when it was accepted, or None."""
        content = json.dumps(JOB).encode()
        spec = decode_submission(content, QUEUE, job_id, time.time()).unwrap()
        with self.site.lock:
            self.site.ledger.record_job(spec)
        status, _ = call(address, "POST", job_id, JOB)
        self.record.write(f"client: POST {job_id} -> {status or 'no answer'}")
        return time.monotonic() if status == 200 else None

    def list_begun(self):
        """Return the jobs of which a task has started."""
        with self.site.lock:
            return {task.split(".")[0] for task, _, _ in self.site.ledger.starts}


def watch(play, address, accepted_at_by_job):
    """Ask one entry for the count; return how often it told under half of the jobs."""
    wrong = 0
    until = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < until:
        begun_before = play.list_begun()
        asked_at = time.monotonic()
        status, answer = call(address, "GET", "")
        begun = begun_before | play.list_begun()
        expected = sum(
            asked_at - at > SETTLED_SECONDS and job not in begun
            for job, at in accepted_at_by_job.items()
        )
        told = answer.get("queued_jobs")
        is_wrong = status == 200 and expected > 0 and told < expected / 2
        wrong += is_wrong
        play.record.write(
            f"client: GET count -> {status} {told}; waiting for over 5 s: {expected}"
            + (" WRONG" if is_wrong else "")
        )
        time.sleep(POLL_SECONDS)
    return wrong


def main():
    """Play the case; return the exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    folder = tempfile.mkdtemp(prefix="review-15-")
    play = Site(folder, record)
    try:
        play.site.start()
        time.sleep(START_SECONDS)
        holder = play.get_holder()
        record.write(f"store: {holder} holds the lease")
        if not holder:
            record.write("could not run: nobody schedules")
            return 2
        others = [name for name in play.site.entry_by_name if name != holder]
        if IS_TROUBLED:
            play.kill(holder)
            threading.Thread(
                target=play.kill_next_holder, args=[holder], daemon=True
            ).start()
        accepted_at_by_job = {}
        for number in range(JOBS):
            address = play.site.callers_by_entry[others[number % 2]]
            job_id = f"{number:016x}"
            if (at := play.submit(address, job_id)) is not None:
                accepted_at_by_job[job_id] = at
            time.sleep(SUBMIT_SECONDS)
        while IS_TROUBLED and len(play.killed) < 2:
            time.sleep(0.01)
        third = next(name for name in others if name not in play.killed)
        record.write(f"{third} has had no trouble; it is asked for the count")
        address = play.site.callers_by_entry[third]
        wrong = watch(play, address, accepted_at_by_job)
    finally:
        time.sleep(AWAY_SECONDS)
        play.site.close()
        shutil.rmtree(folder, ignore_errors=True)
    if not accepted_at_by_job:
        record.write("could not run: no job was accepted")
        return 2
    record.write(f"answers with under half of the waiting jobs: {wrong}")
    record.write("broken" if wrong else "held")
    return int(wrong > 0)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
