import asyncio
from datetime import timedelta
from random import Random

from mustardquay.clocks import VirtualClock
from mustardquay.errors import StoreUnavailable
from mustardquay.events import EventRing, HybridClock
from mustardquay.store_eras import StorePosition
from mustardquay_node.adapters import FeedPage
from mustardquay_node.feeds import FeedListener, FeedOptions, TableFeed

WAIT = timedelta(seconds=2.5)


class Store:
    """Records the requested waits, and fails as often as configured."""

    def __init__(self, failures):
        self.failures = failures
        self.waits = []
        self.done = asyncio.Event()

    async def list_rows(self, table, options):
        return FeedPage((), StorePosition(0, 1))

    async def follow(self, table, after, options):
        self.waits.append(options.wait)
        if len(self.waits) > self.failures + 2:
            self.done.set()
            await asyncio.Event().wait()
        if 1 < len(self.waits) <= self.failures + 1:
            raise StoreUnavailable("The store does not answer; try again later.")
        return FeedPage((), StorePosition(0, 1))


async def test_calls_during_an_outage_of_the_store_ask_for_no_wait():
    """Guards against a configuration change that is seen three seconds late.

    A silent store recovers. The gateway's last call was sent just before, gets no
    answer, and ends only when the wait that it asked for is over; until then, a route
    uses its old service.
    """
    clock = VirtualClock()
    store = Store(failures=3)

    async def sleep(duration):
        await asyncio.sleep(0)

    feed = TableFeed(
        store,
        FeedOptions("op", WAIT),
        FeedListener(lambda rows, is_whole: None),
        EventRing("g1", HybridClock(clock)),
        clock,
        Random(1),
        sleep=sleep,
    )
    feed.start()
    async with asyncio.timeout(5):
        await store.done.wait()
    await feed.close()
    assert store.waits[:6] == [WAIT, WAIT, *[timedelta()] * 3, WAIT]


class RestoredStore:
    """Has one row; records each read and the version that it continues after."""

    def __init__(self):
        self.reads = []

    async def list_rows(self, table, options):
        self.reads.append("all")
        return FeedPage((), StorePosition(0, 1))

    async def follow(self, table, after, options):
        self.reads.append(after)
        await asyncio.Event().wait()


async def follow_until_held(on_rows):
    """Follow a store until a read is held; return the reads."""
    clock = VirtualClock()
    store = RestoredStore()

    async def sleep(duration):
        await asyncio.sleep(0)

    feed = TableFeed(
        store,
        FeedOptions("op", WAIT),
        FeedListener(lambda rows, is_whole: on_rows(feed)),
        EventRing("g1", HybridClock(clock)),
        clock,
        Random(1),
        sleep=sleep,
    )
    feed.start()
    async with asyncio.timeout(5):
        while 1 not in store.reads:
            await asyncio.sleep(0)
    await feed.close()
    return store.reads


async def test_the_next_read_begins_once_rows_are_applied():
    ended = []

    async def apply(feed):
        await asyncio.sleep(0)
        ended.append(feed)

    assert await follow_until_held(apply) == ["all", 1]
    assert len(ended) == 1


async def test_a_restore_while_rows_are_applied_is_not_forgotten():
    """Guards against a gateway that misses what a restored store lacks."""
    calls = []

    async def apply(feed):
        calls.append(feed)
        await asyncio.sleep(0)
        if len(calls) == 1:
            feed.note_era()

    assert await follow_until_held(apply) == ["all", "all", 1]


async def test_rows_that_could_not_be_applied_are_read_again():
    """Guards against a version that is lost as its application fails."""
    calls = []

    async def apply(feed):
        calls.append(feed)
        await asyncio.sleep(0)
        if len(calls) == 1:
            raise RuntimeError("failed")

    assert await follow_until_held(apply) == ["all", "all", 1]
