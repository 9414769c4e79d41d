import asyncio
from datetime import timedelta

import orjson
import pytest

from mustardquay.clocks import SystemClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.peer_books import EngineDigest, PeerDigest, PlacedPart
from mustardquay.rate_divisions import ServiceDemand
from mustardquay.rate_limits import LimitNotice
from mustardquay_node import digest_frames
from mustardquay_node.adapters import StoreRow
from mustardquay_node.digest_frames import decode_digest, encode_digest
from mustardquay_node.peers import MAX_RECIPIENTS, PeerLink, list_recipients


def test_each_gateway_of_a_large_fleet_is_told_by_some():
    """Most gateways of a large fleet send their work to engines that are full.

    Each gateway told the same sixteen, the first by name; the others heard nobody and
    placed work as if they were alone.
    """
    names = [f"gateway-{number:03}" for number in range(100)]
    told = {name: list_recipients(name, set(names) - {name}) for name in names}
    for name in names:
        listeners = [each for each in names if name in told[each]]
        assert len(listeners) == MAX_RECIPIENTS
        assert name not in told[name]


def test_a_digest_tells_the_work_by_engine_and_rank():
    engines = (
        EngineDigest("e1", (0.0, 0.012, 0.0, 0.5), 3),
        EngineDigest("e2", (), 1),
        EngineDigest("e3", (0.25,), 0),
    )
    placed = (PlacedPart("e3", 2**63, 2_601), PlacedPart("e1", 7, 9))
    digest = PeerDigest("g", 1, 2, 3, engines, placed, ("e2",))
    assert decode_digest(encode_digest(digest)) == digest


def test_a_datagram_of_another_layout_is_not_read():
    """Guards against programs of two versions that misread each other."""
    message = digest_frames.SCHEMA.Digest.new_message()
    message.gateway = "g"
    message.layout = digest_frames.LAYOUT + 1
    assert decode_digest(message.to_bytes_packed()) is None


@pytest.mark.parametrize("ends_in", [None, timedelta(), timedelta(seconds=6.5)])
def test_a_digest_tells_whether_its_gateway_stops(ends_in):
    digest = PeerDigest(
        "g", 1, 2, 3, availability_zone="a", is_ready=False, ends_in=ends_in
    )
    assert decode_digest(encode_digest(digest)) == digest


@pytest.mark.parametrize("demands", [None, (), (ServiceDemand("llm", 7.5),)])
def test_a_digest_tells_of_rate_limits(demands):
    limits = (LimitNotice("e1", 9.5, timedelta(milliseconds=40)),)
    digest = PeerDigest("g", 1, 2, 3, limits=limits, demands=demands)
    assert decode_digest(encode_digest(digest)) == digest


class Store:
    """Takes the addresses of gateways."""

    def __init__(self):
        self.writes = []

    async def transact(self, transaction):
        self.writes += transaction.writes


def make_link(name, store, hear):
    clock = SystemClock()
    events = EventRing(name, HybridClock(clock), 100)

    def build():
        return PeerDigest(name, 1, 1, 1)

    return PeerLink(name, "127.0.0.1:0", store, clock, events, build, hear)


async def test_gateways_hear_of_an_engine_that_changes_before_it_is_ordered():
    """Callers are refused by an engine that has just been ordered to change.

    With many peers digests are 160 ms apart, and the order follows its notice by 90.
    """
    store, heard = Store(), asyncio.Queue()
    links = [make_link(name, store, heard.put_nowait) for name in ("a", "b")]
    for link in links:
        await link.start()
    try:
        async with asyncio.timeout(2):
            while len(store.writes) < 2:
                await asyncio.sleep(0.01)
            address = next(each for each in store.writes if each.key == "b").value
            links[0].take_rows([StoreRow("b", orjson.dumps(address), 1)], True)
            links[0].send_now()
            await heard.get()
        links[0].send_now()
        # Less than the time to the next digest of an idle gateway.
        async with asyncio.timeout(0.3):
            assert (await heard.get()).gateway == "a"
    finally:
        for link in links:
            await link.close()
