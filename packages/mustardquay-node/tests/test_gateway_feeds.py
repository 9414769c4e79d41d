"""How a gateway follows the list of upstreams, in virtual time."""

import asyncio
from datetime import timedelta
from random import Random

import pytest

from mustardquay.errors import StoreUnavailable
from mustardquay.events import EventRing, HybridClock
from mustardquay.store_eras import StorePosition
from mustardquay.upstream_lists import MIN_EXPIRY_OUTAGE
from mustardquay_node.adapters import FeedPage, StoreRow
from mustardquay_node.feeds import FeedListener, TableFeed
from mustardquay_node.gateway_feeds import make_upstreams_options
from mustardquay_node.settings import StoreSettings
from mustardquay_standins.virtual_loops import LoopClock, VirtualLoop

DRAIN_BOUND = timedelta(seconds=3)
"""Time after which a leaving upstream may get no new work."""
CHANGES_AT = 5.0
"""Seconds after which the followed row changes."""


class FailingStore:
    """Refuses one call, and answers all others."""

    def __init__(self, loop, fails_at):
        self.loop = loop
        self.fails_at = fails_at
        self.has_failed = False

    async def list_rows(self, table, options):
        await asyncio.sleep(0.05)
        return FeedPage((), StorePosition(0, 1))

    async def follow(self, table, after, options):
        if not self.has_failed and self.loop.time() >= self.fails_at:
            self.has_failed = True
            raise StoreUnavailable("The store does not answer; try again later.")
        return await self.list_rows(table, options)


class Store:
    """Stops to answer on the connections that are open `silent_from` seconds on."""

    def __init__(self, loop, silent_from):
        self.loop = loop
        self.silent_from = silent_from

    async def list_rows(self, table, options):
        return await self._answer(options)

    async def follow(self, table, after, options):
        return await self._answer(options)

    async def _answer(self, options):
        if self.loop.time() >= self.silent_from and not options.on_new_connection:
            await asyncio.Event().wait()
        await asyncio.sleep(0.05)
        version = 2 if self.loop.time() >= CHANGES_AT else 1
        row = StoreRow("i-1", str(version).encode(), version)
        return FeedPage((row,), StorePosition(0, version))


def follow(loop, store, listener):
    """Follow the list of upstreams in virtual time."""
    clock = LoopClock(loop)
    settings = StoreSettings(
        adapter="a",
        address="127.0.0.1:1",
        upstreams_delay=DRAIN_BOUND,
        configuration_wait=DRAIN_BOUND,
        upstream_readers=0,
    )
    feed = TableFeed(
        store,
        make_upstreams_options("servers", settings),
        listener,
        EventRing("g1", HybridClock(clock)),
        clock,
        Random(1),
        sleep=lambda pause: asyncio.sleep(pause.total_seconds()),
    )

    async def run():
        feed.start()
        await asyncio.sleep(CHANGES_AT + 10)
        await feed.close()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


def measure_delay(silent_from):
    """Return the seconds after which a change is known, beside a dead connection."""
    loop = VirtualLoop()
    seen = []

    def note_rows(rows, is_whole):
        if not seen and rows[0].value == b"2":
            seen.append(loop.time())

    follow(loop, Store(loop, silent_from), FeedListener(note_rows))
    return seen[0] - CHANGES_AT


@pytest.mark.parametrize("silent_from", [4.0 + step / 10 for step in range(11)])
def test_a_leaving_upstream_is_known_in_half_of_the_bound(silent_from):
    """Guards against a connection to the store that goes silent as upstreams leave.

    The next read on it gets no answer; a second one was started 2.3 s later, and the
    gateway knew of the change more than 3 s after the store.
    """
    assert measure_delay(silent_from) <= DRAIN_BOUND.total_seconds() / 2


def test_a_call_that_fails_once_is_no_outage_in_which_records_expire():
    """Guards against removed upstreams that are kept after a single failed call."""
    loop = VirtualLoop()
    outages = []
    listener = FeedListener(lambda rows, is_whole: None, outages.append)
    follow(loop, FailingStore(loop, CHANGES_AT), listener)
    [outage] = outages
    assert timedelta() < outage < MIN_EXPIRY_OUTAGE


class HoldingStore:
    """Holds each call without a change for as long as the caller waits."""

    async def list_rows(self, table, options):
        await asyncio.sleep(0.05)
        return FeedPage((), StorePosition(0, 1))

    async def follow(self, table, after, options):
        await asyncio.sleep(options.wait.total_seconds() + 0.05)
        return FeedPage((), StorePosition(0, 1))


def test_a_held_call_confirms_the_list_up_to_its_end():
    """Guards against followers that read a list which a reader has just confirmed."""
    loop = VirtualLoop()
    ages = []

    def note_read(read):
        ages.append(loop.time() - read.confirmed_at.total_seconds())

    listener = FeedListener(lambda rows, is_whole: None, on_read=note_read)
    follow(loop, HoldingStore(), listener)
    assert len(ages) > 5
    assert max(ages) < 0.06
