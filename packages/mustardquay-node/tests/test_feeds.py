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
