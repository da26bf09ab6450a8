"""Sites on which entries connect to a few others."""

import pytest

from bergamotshore.core.work.model import Step
from bergamotshore.core.work.peers import choose_relays
from tests.site.calmjudge import CalmJudge
from tests.site.simulation import STEP_SECONDS, EntryProcess, Simulation

ENTRIES = 10
LASTING = (Step(tasks=3, cpu=3000, memory=100, is_lasting=True),)
# Longer than any task may be down, in seconds.
JUDGED_SECONDS = 18.0


def list_heard(name):
    """Return the entries of which an entry hears: by its own streams or by theirs."""
    links = {}
    name_by_address = {f"10.0.0.{1 + i}:1": f"entry-{i}" for i in range(ENTRIES)}
    for address, entry in name_by_address.items():
        others = [other for other in name_by_address if other != address]
        links[entry] = {name_by_address[a] for a in choose_relays(entry, others)}
    return links[name] | {other for other in links if name in links[other]}


@pytest.fixture
def site(clock, monkeypatch):
    handle = EntryProcess._handle_entry_heartbeat

    def handle_if_connected(entry, peer, heartbeat):
        if peer.name in list_heard(entry.name):
            handle(entry, peer, heartbeat)

    monkeypatch.setattr(EntryProcess, "_handle_entry_heartbeat", handle_if_connected)
    return Simulation(clock, entries=ENTRIES, nodes=6)


# Guards against a wait for the grace period by a successor that the scheduling entry
# does not hear, although the store was there all the time.
@pytest.mark.parametrize("successor", range(1, ENTRIES))
def test_tasks_lost_with_the_scheduling_entry_run_again_whoever_succeeds(
    site, successor
):
    judge = CalmJudge(site)

    def run(seconds):
        until = site.clock.now() + seconds
        while site.clock.now() < until:
            site.advance(STEP_SECONDS)
            judge.check()

    run(3.0)
    site.submit("job", LASTING)
    run(5.0)
    lost = site.leader.name
    assert lost == "entry-0"
    for name, entry in site.entry_by_name.items():
        if name not in (lost, f"entry-{successor}"):
            # Smaller ones leave the lease to others first.
            entry.election._candidacy_delay = 2.4
    site.kill_entry(lost)
    node = next(name for name, item in site.runner_by_node.items() if item.run_by_task)
    site.lose_worker(node)
    site.kill_node(node)
    run(JUDGED_SECONDS)
    assert judge.judged > 0
    assert site.ledger.problems == []
