import asyncio
from dataclasses import replace
from datetime import timedelta

import orjson
import pytest

from mustardquay.clocks import SystemClock
from mustardquay.engine_speeds import EngineFactor
from mustardquay.events import EventRing, HybridClock
from mustardquay.fair_shares import OrganisationUse
from mustardquay.peer_digests import EngineDigest, PeerDigest, PlacedPart
from mustardquay.rate_limits import LimitNotice
from mustardquay.rate_shares import ServiceDemand
from mustardquay.upstream_capacity import MAX_NOTICES, CapacityNotice
from mustardquay_node import digest_frames
from mustardquay_node.adapters import StoreRow
from mustardquay_node.digest_frames import decode_digest, encode_digest
from mustardquay_node.peers import MAX_RECIPIENTS, PeerLink, list_recipients


def test_each_gateway_of_a_large_fleet_receives_digests():
    """Guards against gateways of a large fleet that place work on busy engines.

    All gateways sent their digests to the same sixteen, the first by name. The others
    received none and placed work as if they were alone.
    """
    names = [f"gateway-{number:03}" for number in range(100)]
    recipients = {name: list_recipients(name, set(names) - {name}) for name in names}
    for name in names:
        senders = [each for each in names if name in recipients[each]]
        assert len(senders) == MAX_RECIPIENTS
        assert name not in recipients[name]


def test_a_digest_contains_the_work_by_engine_and_rank():
    engines = (
        EngineDigest("e1", (0.0, 0.012, 0.0, 0.5), 3),
        EngineDigest("e2", (), 1),
        EngineDigest("e3", (0.25,), 0),
    )
    placed = (PlacedPart("e3", 2**63, 2_601), PlacedPart("e1", 7, 9))
    digest = PeerDigest("g", 1, 2, 3, engines, placed, ("e2",))
    assert decode_digest(encode_digest(digest)) == digest


def test_a_datagram_of_another_layout_is_ignored():
    """Guards against misinterpreted digests between gateways of two versions."""
    message = digest_frames.SCHEMA.Digest.new_message()
    message.gateway = "g"
    message.layout = digest_frames.LAYOUT + 1
    assert decode_digest(message.to_bytes_packed()) is None


@pytest.mark.parametrize("ends_in", [None, timedelta(), timedelta(seconds=6.5)])
def test_a_digest_contains_whether_its_gateway_stops(ends_in):
    digest = PeerDigest(
        "g", 1, 2, 3, availability_zone="a", is_ready=False, ends_in=ends_in
    )
    assert decode_digest(encode_digest(digest)) == digest


@pytest.mark.parametrize("demands", [None, (), (ServiceDemand("llm", 7.5),)])
def test_a_digest_contains_rate_limits(demands):
    limits = (LimitNotice("e1", 9.5, timedelta(milliseconds=40)),)
    digest = PeerDigest("g", 1, 2, 3, limits=limits, demands=demands)
    assert decode_digest(encode_digest(digest)) == digest


def test_a_digest_contains_load_reports():
    notices = (
        CapacityNotice("e1", 3, 0, 2.5, timedelta(milliseconds=40)),
        CapacityNotice("u1", None, None, None, timedelta(), 2, 0.25),
    )
    digest = PeerDigest("g", 1, 2, 3, capacities=notices)
    assert decode_digest(encode_digest(digest)) == digest


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -3.0, 0.0])
def test_an_invalid_figure_of_a_peer_is_ignored_by_itself(value):
    """Guards against a peer whose figures make every choice of an upstream fail."""
    notice = CapacityNotice("u1", 3, 0, value, timedelta(), 2, value)
    digest = PeerDigest("g", 1, 2, 3, capacities=(notice,))
    decoded = decode_digest(encode_digest(digest))
    assert decoded.capacities == (CapacityNotice("u1", 3, 0, None, timedelta()),)


def test_the_most_load_reports_add_little_to_a_digest():
    """Guards against digests over the size of a datagram, which are fragmented."""
    notices = [
        CapacityNotice(f"i-{n:010x}", 12, 3, 2.5, timedelta(milliseconds=n), 9, 0.25)
        for n in range(MAX_NOTICES)
    ]
    bare = PeerDigest("g", 1, 2, 3)
    added = len(encode_digest(replace(bare, capacities=tuple(notices))))
    assert added - len(encode_digest(bare)) <= 400


class Store:
    """A store that records the writes of registrations."""

    def __init__(self):
        self.writes = []

    async def transact(self, transaction):
        self.writes += transaction.writes


def make_link(name, store, apply_digest):
    clock = SystemClock()
    events = EventRing(name, HybridClock(clock), 100)

    def build():
        return PeerDigest(name, 1, 1, 1)

    return PeerLink(name, "127.0.0.1:0", store, clock, events, build, apply_digest)


async def test_gateways_are_notified_before_an_engine_is_ordered_to_change():
    """Guards against refusals by an engine that was just ordered to change its stage.

    With many peers, digests are 160 ms apart, but an order follows 90 ms after its
    notice.
    """
    store, received = Store(), asyncio.Queue()
    links = [make_link(name, store, received.put_nowait) for name in ("a", "b")]
    for link in links:
        await link.start()
    try:
        async with asyncio.timeout(2):
            while len(store.writes) < 2:
                await asyncio.sleep(0.01)
            address = next(each for each in store.writes if each.key == "b").value
            links[0].apply_rows([StoreRow("b", orjson.dumps(address), 1)], True)
            links[0].send_now()
            await received.get()
        links[0].send_now()
        # Less than the usual interval between digests of an idle gateway.
        async with asyncio.timeout(0.3):
            assert (await received.get()).gateway == "a"
    finally:
        for link in links:
            await link.close()


def test_the_availability_zone_of_each_listed_gateway_is_known():
    """Guards against list readers that are all selected in one availability zone.

    Digests name the zones of neighbours only, and a gateway of an earlier version
    registers none.
    """
    link = make_link("a", Store(), lambda digest: None)
    rows = [
        StoreRow("b", b'{"address": "10.0.0.2:1", "zone": "z2"}', 1),
        StoreRow("c", b'{"address": "10.0.0.3:1"}', 2),
        StoreRow("d", b'"10.0.0.4:1"', 3),
    ]
    link.apply_rows(rows, True)
    assert link.zones == {"a": "", "b": "z2", "c": ""}
    link.apply_rows([StoreRow("b", b"", 4, deleted=True)], False)
    assert link.zones == {"a": "", "c": ""}


def test_a_digest_carries_factors_of_engines():
    """Guards against factors that one gateway alone knows."""
    factors = (EngineFactor("e1", 1.5, 0.75, 3.0, 2.5),)
    digest = PeerDigest("g", 1, 2, 3, engine_factors=factors)
    assert decode_digest(encode_digest(digest)) == digest


def make_uses(count, length=1):
    names = [f"{number}".rjust(length, "o") for number in range(1, count + 1)]
    listed = (*names, "", None)
    return tuple(OrganisationUse("llm", name, 0.5, 2.0) for name in listed)


def test_a_digest_contains_the_uses_of_organisations():
    """Guards against anonymous callers that are taken for the sum of the others."""
    digest = PeerDigest("g", 1, 2, 3, uses=make_uses(3))
    assert decode_digest(encode_digest(digest)) == digest


@pytest.mark.parametrize(("count", "length"), [(24, 9), (24, 40), (24, 200), (3, 900)])
def test_uses_fit_into_a_datagram_beside_everything_else(count, length):
    """Guards against digests that are fragmented where organisations are many."""
    engines = tuple(EngineDigest(f"engine-{each}", (0.5,), 3) for each in range(9))
    placed = tuple(PlacedPart("engine-1", 2**63 + each, 2_601) for each in range(40))
    uses = make_uses(count, length)
    digest = PeerDigest("g", 1, 2, 3, engines, placed, uses=uses)
    data = encode_digest(digest)
    assert len(data) <= digest_frames.DATAGRAM_LIMIT
    decoded = decode_digest(data)
    assert decoded.placed == placed
    total = sum(each.demand for each in decoded.uses)
    assert total == sum(each.demand for each in uses)
    assert decoded.uses[-1].organisation is None


def test_uses_are_left_out_of_a_digest_that_is_full():
    """Guards against uses that make a large digest larger."""
    placed = tuple(PlacedPart("e1", each * 0x9E3779B9, each) for each in range(300))
    engines = (EngineDigest("e1", (), 1),)
    digest = PeerDigest("g", 1, 2, 3, engines, placed)
    assert len(encode_digest(digest)) > digest_frames.DATAGRAM_LIMIT
    full = PeerDigest("g", 1, 2, 3, engines, placed, uses=make_uses(9))
    assert encode_digest(full) == encode_digest(digest)


def test_wrong_figures_of_a_use_count_as_none():
    """Guards against a share that is not a number or infinite."""
    uses = tuple(
        OrganisationUse("llm", "a", value, value)
        for value in (float("nan"), float("inf"), -1.0, 1e9)
    )
    decoded = decode_digest(encode_digest(PeerDigest("g", 1, 2, 3, uses=uses)))
    assert [each.demand for each in decoded.uses] == [0.0] * 4
