"""Run the demo: load, a data centre out and back, graceful stops, and the judgement."""

import argparse
import signal
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from bergamotshore.generated.messages import TimelineEvent
from bergamotshore.timeline.recorder import merge_events
from demo.cluster import SITE_TOKEN, Cluster
from demo.judge import Closure, Evidence, judge_requests, judge_tasks, measure_latency
from demo.load import Load
from demo.sites import SITE_BY_NAME

ENTRIES = ("entry-1", "entry-2")
CALLERS = 12
SEED = 2026
SLOTS = 8
PROCESSORS = 16.0
BEFORE_SECONDS = 4.0
OUT_SECONDS = 7.0
BACK_SECONDS = 3.0
TASKS_SECONDS = 25.0
TIMELINE_LINES = 60
REQUEST_KINDS = ("request-",)


def main():
    """Run the demo and exit with 1 when a promise is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(SITE_BY_NAME), default="tsehay")
    parser.add_argument("--binary", default="", help="built file to run")
    options = parser.parse_args()
    program = [sys.executable, "-m", "bergamotshore"]
    if options.binary:
        program = [sys.executable, str(Path(options.binary).resolve())]
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(SITE_BY_NAME[options.site], folder, program)
        try:
            is_kept = Demo(cluster).run()
        except Exception:
            print_logs(cluster)
            raise
        finally:
            cluster.kill_all()
    sys.exit(0 if is_kept else 1)


class Demo:
    """One run of the demo.

    :param cluster: ``Cluster``.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.site = cluster.site
        self.began = time.monotonic()
        self.events = []
        self.memory_rows = []
        self.exit_codes = []
        self.load = None

    def run(self):
        """Run every step; True when all promises were kept."""
        self._start()
        self.load = Load(
            self.cluster.member_by_name["balancer"].address, self.site, CALLERS, SEED
        )
        self.load.start()
        self._wait_for_tasks_to_run()
        time.sleep(BEFORE_SECONDS)
        closure = self._take_out_and_bring_back()
        self._wait_for_batch()
        self._measure_memory()
        self._collect_events()
        self._stop_under_load()
        evidence = self._gather(closure)
        self.exit_codes += self._stop_rest()
        return self._report(evidence)

    def _say(self, text):
        print(f"[{time.monotonic() - self.began:5.1f} s] {text}", flush=True)

    def _start(self):
        self.cluster.start_site(ENTRIES)
        count = len(self.cluster.member_by_name)
        self._say(f"{count} processes of {self.site.name} serve")

    def _list_worker_records(self):
        return [
            (node, zone, record)
            for node, zone in self.site.list_nodes()
            for record in self.cluster.ask(f"worker-{node}", "/counts")["records"]
        ]

    def _get_batch_zone(self):
        name = f"{self.site.team}/{self.site.batch}/"
        for _, zone, record in self._list_worker_records():
            if record["task"].startswith(name) and record["ended"] is None:
                return zone
        return None

    def _wait_for_tasks_to_run(self):
        self.cluster.wait_until(self._get_batch_zone, "a batch task to run")
        self._say("batch tasks run")

    def _take_out_and_bring_back(self):
        zone = self._get_batch_zone()
        done = self.cluster.run_cli(ENTRIES[0], SITE_TOKEN, "zone", "take-out", zone)
        began = now()
        self._say(f"operators: {done.stdout.strip()}{done.stderr.strip()}")
        time.sleep(OUT_SECONDS)
        ended = now()
        done = self.cluster.run_cli(ENTRIES[1], SITE_TOKEN, "zone", "bring-back", zone)
        self._say(f"operators: {done.stdout.strip()}{done.stderr.strip()}")
        time.sleep(BACK_SECONDS)
        return Closure(zone, began, ended)

    def _list_batch_tasks(self):
        section = self.cluster.ask_operators(ENTRIES[0], "/v1/document")["document"]
        job = section["teams"][self.site.team]["jobs"][self.site.batch]
        name = f"{self.site.team}/{self.site.batch}"
        return [f"{name}/{index}" for index in range(job["tasks"])]

    def _wait_for_batch(self):
        name = f"{self.site.team}/{self.site.batch}"

        def is_done():
            row = self.cluster.ask_operators(ENTRIES[0], f"/v1/jobs/{name}")
            return all(task["state"] == "completed" for task in row["tasks"])

        self.cluster.wait_until(is_done, "the batch job", TASKS_SECONDS)
        self.batch_tasks = self._list_batch_tasks()
        self._say(f"{name} completed")

    def _measure_memory(self):
        nodes = [name for name, _ in self.site.list_nodes()]
        for role, names in (("entry", ENTRIES), ("node", nodes)):
            sizes = [self.cluster.read_resident_mb(name) for name in names]
            self.memory_rows.append((role, min(sizes), max(sizes)))

    def _collect_events(self):
        for entry in ENTRIES:
            answer = self.cluster.ask_operators(entry, "/v1/events")
            self.events += msgspec.convert(answer["events"], type=list[TimelineEvent])

    def _stop_under_load(self):
        entry = ENTRIES[1]
        code = self.cluster.stop(entry)
        self.exit_codes.append(code)
        self._say(f"{entry} stopped gracefully under load, exit code {code}")
        node = self.site.list_nodes()[-1][0]
        code = self.cluster.stop(node)
        self.exit_codes.append(code)
        self._say(f"{node} stopped gracefully under load, exit code {code}")
        self._wait_for_watcher()
        self.load.stop()
        self._say("load ended")

    def _get_watcher(self):
        return f"{self.site.team}/{self.site.watcher}/0"

    def _wait_for_watcher(self):
        def is_alive():
            return any(
                record["task"] == self._get_watcher() and record["ended"] is None
                for _, _, record in self._list_worker_records()
            )

        self.cluster.wait_until(is_alive, "the watcher to run again")

    def _gather(self, closure):
        self._collect_last_events()
        nodes = self.site.list_nodes()
        return Evidence(
            sent=self.load.sent,
            endpoint_by_node={
                node: self.cluster.ask(f"endpoint-{node}", "/counts")
                for node, _ in nodes
            },
            worker_by_node={
                node: self.cluster.ask(f"worker-{node}", "/counts") for node, _ in nodes
            },
            zone_by_node=dict(nodes),
            slots=SLOTS,
            processors=PROCESSORS,
            closure=closure,
        )

    def _collect_last_events(self):
        answer = self.cluster.ask_operators(ENTRIES[0], "/v1/events")
        self.events += msgspec.convert(answer["events"], type=list[TimelineEvent])

    def _stop_rest(self):
        """Stop the nodes that are left together, then the last entry."""
        stopped = self.site.list_nodes()[-1][0]
        left = [name for name, _ in self.site.list_nodes() if name != stopped]
        for name in left:
            self.cluster.send_signal(name, signal.SIGTERM)
        codes = [self.cluster.wait_for_exit(name) for name in left]
        codes.append(self.cluster.stop(ENTRIES[0]))
        self._say(f"{len(left)} nodes and {ENTRIES[0]} stopped, exit codes {codes}")
        return codes

    def _report(self, evidence):
        lines = judge_requests(evidence)
        lines += judge_tasks(evidence, self.batch_tasks, [self._get_watcher()])
        self._print_timeline()
        print_outcomes(lines)
        print("\nlatency of completed requests")
        for quantile, milliseconds in measure_latency(evidence.sent):
            print(f"  p{quantile:<5g} {milliseconds:8.1f} ms")
        print("\nresident memory (least, most)")
        for role, least, most in self.memory_rows:
            print(f"  {role:6} {least:6.1f} MB {most:6.1f} MB")
        bad_exits = [code for code in self.exit_codes if code != 0]
        broken = [line.name for line in lines if line.is_broken]
        if bad_exits:
            broken.append(f"stops that did not end well: {bad_exits}")
        verdict = "every promise was kept" if not broken else f"BROKEN: {broken}"
        self._say(verdict)
        return not broken

    def _print_timeline(self):
        merged = merge_events(self.events)
        shown = [e for e in merged if not e.kind.startswith(REQUEST_KINDS)]
        print(f"\ntime line ({len(merged)} events; the last {TIMELINE_LINES} without")
        print("those of requests, then one request and one task followed)")
        for event in shown[-TIMELINE_LINES:]:
            print_event(event)
        for subject in (_find_request(merged), f"task/{self.batch_tasks[0]}"):
            print(f"\nfollowing {subject}")
            for event in merge_events(merged, subject):
                print_event(event)


def _find_request(events):
    for event in reversed(events):
        if event.kind == "request-retried":
            return event.subject
    answered = [event for event in events if event.kind == "request-answered"]
    return answered[-1].subject if answered else "none"


def print_event(event):
    """Print one event of the time line."""
    print(
        f"  {event.clock:7d}  {event.process:15} {event.kind:20} "
        f"{event.subject}  {event.detail}"
    )


def print_outcomes(lines):
    """Print the outcome table."""
    print("\noutcomes as counted by callers and stand-ins")
    for line in lines:
        mark = "  BROKEN" if line.is_broken else ""
        bound = "" if line.most is None else f"(at most {line.most})"
        print(f"  {line.name:45} {line.count:7d} {bound}{mark}")


def print_logs(cluster):
    """Print the end of every log, to find out what went wrong."""
    for path in sorted(cluster.folder.glob("*.log")):
        text = path.read_text(errors="replace").strip()
        if text:
            print(f"--- {path.name}\n{text[-1500:]}")


def now():
    """Return the machine's clock, as the stand-ins record it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


if __name__ == "__main__":
    main()
