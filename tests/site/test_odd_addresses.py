"""Addresses that no process can have, among those of the entries."""

import socket

import pytest

from bergamotshore.generated.messages import Heartbeat, Peers
from bergamotshore.generated.settings import Node, Platform, Settings, Site
from bergamotshore.node.site import SiteNodeRole
from bergamotshore.ports.rows import Put, RowId
from bergamotshore.transport.codec import Decoder, encode_message
from standins.site import RowsStandIn
from tests.fakes import FakeStream
from tests.site.test_peers import A, build_list

ODD_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:1" + 5000 * "0",
    "127.0.0.1:\u0663",
    "127.0.0.1: 1",
    "127.0.0.1",
    "999.0.0.1:1",
    "[::1]:1",
    "entry.example:1",
    "rubbish",
    "",
    "\ufffd\n:1",
]


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(2.0)
        yield listener


@pytest.fixture
def node(tmp_path, listener):
    settings = Settings(
        name="node",
        zone="zone",
        platform=Platform(table="127.0.0.1:1", objects="127.0.0.1:1"),
        node=Node(worker="127.0.0.1:1"),
        site=Site(heartbeats="127.0.0.1:0"),
    )
    node = SiteNodeRole(settings, tmp_path / "settings.yaml")
    yield node
    node.links.stop()
    node.heartbeat_server.stop()


def get_address(listener):
    host, port = listener.getsockname()
    return f"{host}:{port}"


# Guards against one odd address that ends the stream, while no other is connected.
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_an_odd_address_of_an_entry_keeps_a_node_from_no_other(node, listener, odd):
    peers = Peers(addresses=[odd, get_address(listener)])
    for _ in range(3):
        node.on_message(FakeStream("entry"), peers)
    listener.accept()[0].close()
    metrics = node.registry.render()
    assert "bergamotshore_node_addresses_invalid_total 1\n" in metrics


# Guards against an odd address of the scheduling entry that ends the stream.
@pytest.mark.parametrize("odd", [odd for odd in ODD_ADDRESSES if odd])
def test_an_odd_address_of_the_scheduling_entry_is_passed_over(node, listener, odd):
    node.on_message(FakeStream("entry"), Peers(addresses=[get_address(listener)]))
    node.on_message(FakeStream("entry"), Heartbeat(sent_at=1.0, leader=odd))
    assert node.leader == ""
    listener.accept()[0].close()


# Guards against seeds of which an odd one keeps a process from the others.
def test_an_odd_seed_keeps_a_node_from_no_other(node, listener):
    node.site.peers[:] = [*ODD_ADDRESSES, get_address(listener)]
    node._choose_entries()
    listener.accept()[0].close()


# Guards against odd addresses that an entry sends on to every node.
@pytest.mark.parametrize("odd", [odd.encode() for odd in ODD_ADDRESSES] + [b"\xff:1"])
def test_an_odd_row_among_the_entries_is_passed_over(clock, odd):
    store = RowsStandIn()
    store.write([Put(RowId("entries", "", "0"), odd)], [])
    entry_list = build_list(store, clock, "a")
    assert entry_list.read() == [A]
    assert entry_list.read() == [A]


# Guards against checked addresses that end each stream when they are sent on.
def test_addresses_of_entries_can_be_sent_to_nodes(clock):
    addresses = build_list(RowsStandIn(), clock, "a").read()
    message = Peers(addresses=addresses)
    assert Decoder(1000).feed(encode_message(message, 1))[0].message == message
