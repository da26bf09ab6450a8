"""Measure failover, moves of a data centre's work and spreading of a configuration.

Real processes; the session's time to live is short here and is named with the figures.
"""

import signal
import statistics
import sys
import tempfile
import time
from dataclasses import replace

from bench.path import ENTRIES
from demo.cluster import (
    SESSION_TTL_SECONDS,
    SITE_TOKEN,
    TEAM_TOKEN,
    Cluster,
)
from demo.sites import SITE_BY_NAME

ROUNDS = 3
APPLIES = 8
SETTLE_SECONDS = 2.0
WAIT_SECONDS = 30.0
JOB_TEXT = """\
command: [compile]
tasks: 6
processors: 1
memory_gb: 1
work_seconds: 1000000
"""


def start_cluster(folder):
    """Start a site of three nodes in three data centres."""
    site = replace(SITE_BY_NAME["tsehay"], nodes_per_zone=1)
    cluster = Cluster(site, folder, [sys.executable, "-m", "bergamotshore"])
    cluster.start_site(ENTRIES, document=cluster.write_idle_document())
    submit(cluster, "load")
    time.sleep(SETTLE_SECONDS)
    return cluster


def apply(cluster, team, token):
    """Apply one section of the document."""
    document = str(cluster.folder / "document.yaml")
    done = cluster.run_cli(ENTRIES[0], token, "apply", document, "--team", team)
    if done.returncode:
        raise RuntimeError(done.stderr)


def submit(cluster, name):
    """Submit a job that goes on for ever."""
    path = cluster.folder / f"{name}.job"
    path.write_text(JOB_TEXT)
    job = f"{cluster.site.team}/{name}"
    done = cluster.run_cli(ENTRIES[0], TEAM_TOKEN, "job", "submit", job, str(path))
    if done.returncode:
        raise RuntimeError(done.stderr)


def list_records(cluster):
    """Return pairs of node and record of every worker that answers."""
    pairs = []
    for node, _ in cluster.site.list_nodes():
        try:
            records = cluster.ask(f"worker-{node}", "/counts")["records"]
        except OSError:
            continue
        pairs += [(node, record) for record in records]
    return pairs


def find_busy_node(cluster):
    """Return the node that runs most tasks, and their names."""
    tasks_by_node = {}
    for node, record in list_records(cluster):
        if record["ended"] is None:
            tasks_by_node.setdefault(node, []).append(record)
    return max(tasks_by_node.items(), key=lambda item: len(item[1]))


def now():
    """Return the machine's clock, as the stand-ins record it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wait_for_moves(cluster, tasks, since):
    """Wait until every task was started again and return the last delay."""
    names = {record["task"] for record in tasks}

    def list_restarts():
        return {
            record["task"]: record["started"]
            for _, record in list_records(cluster)
            if record["task"] in names and record["started"] > since
        }

    cluster.wait_until(
        lambda: set(list_restarts()) == names, "all tasks to move", WAIT_SECONDS
    )
    return max(list_restarts().values()) - since


def measure_planned_stop(cluster):
    """Return the time from the signal until all work runs elsewhere."""
    node, tasks = find_busy_node(cluster)
    since = now()
    cluster.send_signal(node, signal.SIGTERM)
    delay = wait_for_moves(cluster, tasks, since)
    cluster.wait_for_exit(node)
    return delay, node


def measure_machine_death(cluster):
    """Return the time from the death until all work runs elsewhere."""
    node, tasks = find_busy_node(cluster)
    since = now()
    for name in (node, f"worker-{node}"):
        cluster.send_signal(name, signal.SIGKILL)
        cluster.member_by_name[name].process.wait()
    delay = wait_for_moves(cluster, tasks, since)
    cluster.start_worker(node)
    return delay, node


def measure_process_death(cluster):
    """Return how many tasks were interrupted by the death of the node process."""
    node, tasks = find_busy_node(cluster)
    cluster.send_signal(node, signal.SIGKILL)
    cluster.member_by_name[node].process.wait()
    begun = time.monotonic()
    cluster.start_node(node, dict(cluster.site.list_nodes())[node])
    for name in ENTRIES:
        cluster.wait_for_nodes(name)
    seconds = time.monotonic() - begun
    time.sleep(SESSION_TTL_SECONDS)
    keys = {(record["task"], record["attempt"]) for record in tasks}
    running = {
        (record["task"], record["attempt"])
        for _, record in list_records(cluster)
        if record["ended"] is None
    }
    return seconds, len(keys - running)


def restart(cluster, node):
    """Bring a node back and wait for it."""
    cluster.start_node(node, dict(cluster.site.list_nodes())[node])
    for name in ENTRIES:
        cluster.wait_for_nodes(name)
    time.sleep(SETTLE_SECONDS)


def measure_change(cluster):
    """Take a data centre out and back and return what the move cost.

    :returns: Seconds until all work ran elsewhere, work lost in seconds, work that a
        restart from scratch would have lost.
    """
    node, tasks = find_busy_node(cluster)
    zone = dict(cluster.site.list_nodes())[node]
    since = now()
    cluster.run_cli(ENTRIES[0], SITE_TOKEN, "zone", "take-out", zone)
    delay = wait_for_moves(cluster, tasks, since)
    records = [record for _, record in list_records(cluster)]
    ended = {
        record["task"]: record["progress"]
        for record in records
        if record["task"] in {item["task"] for item in tasks}
        and record["ended"]
        and record["ended"] > since
    }
    resumed = {
        record["task"]: record["resumed_from"]
        for record in records
        if record["task"] in ended and record["started"] > since
    }
    lost = sum(ended[name] - resumed[name] for name in ended)
    cluster.run_cli(ENTRIES[0], SITE_TOKEN, "zone", "bring-back", zone)
    time.sleep(SETTLE_SECONDS)
    return delay, lost, sum(ended.values())


def measure_spread(cluster):
    """Return the times from an accepted edit until it is in force at every process."""
    seconds = []
    text = (cluster.folder / "document.yaml").read_text()
    for number in range(1, APPLIES + 1):
        section = text.split("teams:")[1].replace("version: 0", f"version: {number}")
        section = section.replace("slots: 8", f"slots: {8 - number % 2}")
        (cluster.folder / "document.yaml").write_text("teams:" + section)
        apply(cluster, cluster.site.team, TEAM_TOKEN)
        begun = time.monotonic()
        wanted = number + 2
        cluster.wait_until(lambda wanted=wanted: is_in_force(cluster, wanted), "spread")
        seconds.append(time.monotonic() - begun)
    return seconds


def is_in_force(cluster, version):
    """Tell whether every entry and every node has a configuration version."""
    for entry in ENTRIES:
        status = cluster.ask_operators(entry, "/v1/status")
        versions = [node["config_version"] for node in status["nodes"]]
        if min([status["config_version"], *versions]) < version:
            return False
    return True


def main():
    """Run every measurement and print medians."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = start_cluster(folder)
        try:
            print_all(cluster)
        finally:
            cluster.kill_all()


def print_all(cluster):
    """Print every figure."""
    stops, deaths, processes, changes = [], [], [], []
    for _ in range(ROUNDS):
        changes.append(measure_change(cluster))
        delay, node = measure_planned_stop(cluster)
        stops.append(delay)
        restart(cluster, node)
        processes.append(measure_process_death(cluster))
        delay, node = measure_machine_death(cluster)
        deaths.append(delay)
        cluster.send_signal(node, signal.SIGKILL)
        restart(cluster, node)
    spread = measure_spread(cluster)
    print(f"medians of {ROUNDS} rounds, session of {SESSION_TTL_SECONDS:g} s")
    print(f"  planned stop to resumed elsewhere  {statistics.median(stops):6.2f} s")
    print(f"  machine death to resumed elsewhere {statistics.median(deaths):6.2f} s")
    print(
        "  node process killed: serving again after "
        f"{statistics.median(item[0] for item in processes):.2f} s, "
        f"{sum(item[1] for item in processes)} tasks interrupted"
    )
    delay, lost, scratch = (
        statistics.median(column) for column in zip(*changes, strict=True)
    )
    print(
        f"  data centre out: resumed elsewhere after {delay:.2f} s, {lost:.2f} s of "
        f"work lost, {scratch:.2f} s from scratch"
    )
    print(
        f"  configuration in force everywhere: median {statistics.median(spread):.2f}"
        f" s, longest of {APPLIES} {max(spread):.2f} s"
    )


if __name__ == "__main__":
    main()
