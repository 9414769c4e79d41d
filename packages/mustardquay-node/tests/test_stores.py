"""The platform's HTTP clients against its stand-ins, over real sockets."""

import asyncio
import time
from datetime import timedelta
from random import Random

import pytest

from mustardquay import SystemClock, VirtualClock
from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay.tables import Committed, Condition, Conflict, Row, Transaction, Write
from mustardquay_node.stores import (
    HttpInstances,
    HttpObjects,
    HttpTables,
    HttpWeights,
    PlatformClient,
    StoreLimits,
)
from mustardquay_standins.platforms import PlatformStandin

TIMEOUT = timedelta(seconds=5)
WIDE = StoreLimits(10_000, 10_000, 10_000, 10_000)


class Site:
    """The platform's stand-ins, a clock that they share, and clients."""

    def __init__(self):
        self.clock = VirtualClock()
        self.platform = PlatformStandin(self.clock)
        self.clients = []
        self.slept = []

    async def sleep(self, duration):
        self.slept.append(duration)
        self.clock.advance(duration)

    async def make_client(self, url, seed=0):
        client = PlatformClient(url, TIMEOUT, self.clock, Random(seed), self.sleep)
        self.clients.append(client)
        await client.start()
        return client

    async def make_tables(self, seed=0, limits=WIDE):
        client = await self.make_client(self.platform.tables.url, seed)
        return HttpTables(client, limits)


@pytest.fixture
async def site():
    site = Site()
    await site.platform.start()
    yield site
    for client in site.clients:
        await client.close()
    await site.platform.close()


def put(key, revision=0):
    return Transaction((Condition("t", key, revision),), (Write("t", key, {"n": 1}),))


async def test_rows_are_written_read_and_scanned(site):
    tables = await site.make_tables()
    assert await tables.transact(put("b")) == Committed((1,))
    row = Row("t", "b", {"n": 1}, 1)
    assert await tables.transact(put("b")) == Conflict((row,))
    assert await tables.transact(put("c", 1)) == Conflict((None,))
    assert await tables.read("t", "b") == row
    assert await tables.read("t", "c") is None
    assert await tables.scan("t", "a") == (row,)
    assert await tables.scan("t", "b") == ()


async def test_objects_weights_and_instances(site):
    objects = HttpObjects(await site.make_client(site.platform.objects.url))
    assert await objects.get("a/b") is None
    await objects.put("a/b", b"data")
    assert await objects.get("a/b") == b"data"
    weights = HttpWeights(await site.make_client(site.platform.weights.url))
    assert isinstance(await weights.has("model", "1"), bool)
    instances = HttpInstances(await site.make_client(site.platform.instances.url))
    assert await instances.list_instances() == ()


@pytest.mark.fault
async def test_a_transaction_whose_answer_was_lost_is_not_sent_again(site):
    """Guards against a claim that conflicts with the same attempt's earlier write.

    The service applies the transaction of a Booking's claim, and the connection ends
    before its answer.
    """
    tables = await site.make_tables()
    site.platform.tables.faults.lose_answers = 1
    with pytest.raises(StoreResultUnknown):
        await tables.transact(put("a"))
    assert site.platform.tables.counters.writes == 1
    assert (await tables.read("t", "a")).revision == 1


@pytest.mark.fault
async def test_rate_limited_calls_are_retried_after_the_time_given(site):
    tables = await site.make_tables()
    site.platform.tables.faults.write_rate = 1.0
    for number in range(4):
        assert await tables.transact(put(str(number)))
    assert site.platform.tables.counters.limited > 0
    assert sum(site.slept, timedelta()) >= timedelta(seconds=2)


async def test_a_process_limits_the_rate_of_its_own_calls(site):
    tables = await site.make_tables(limits=StoreLimits(10.0, 5, 10.0, 5))
    for _ in range(15):
        await tables.read("t", "a")
    assert timedelta(seconds=0.99) <= sum(site.slept, timedelta()) < TIMEOUT


@pytest.mark.fault
async def test_an_hour_of_outage_ends_without_overload(site):
    """Guards against a thundering herd that overloads the store after an outage.

    Fifty processes call the store every two seconds for an hour while it is down.
    Because of their circuit breakers only probes reach it, and after its recovery the
    calls of the first second stay within the normal rate.
    """
    faults, counters = site.platform.tables.faults, site.platform.tables.counters
    faults.read_rate = 0.0
    processes = [await site.make_tables(seed) for seed in range(50)]
    faults.down = True
    refused = await read_all(site, processes, rounds=20)
    assert refused == 50 * 20
    assert not any(tables.is_available for tables in processes)
    site.clock.advance(timedelta(hours=1))
    faults.down = False
    faults.read_rate = 2000.0
    answered = [50 - await read_all(site, processes, rounds=1) for _ in range(12)]
    assert answered[-1] == 50
    assert all(tables.is_available for tables in processes)
    assert counters.limited == 0


async def read_all(site, processes, rounds):
    refused = 0
    for _ in range(rounds):
        for tables in processes:
            try:
                await tables.read("t", "a")
            except StoreUnavailable:
                refused += 1
        site.clock.advance(timedelta(seconds=2))
    return refused


@pytest.mark.fault
async def test_a_store_that_is_down_gets_only_probes(site):
    tables = await site.make_tables()
    await site.platform.tables.close()
    for _ in range(10):
        with pytest.raises(StoreUnavailable):
            await tables.read("t", "a")
    # With the circuit breaker open, a call fails before its deadline and is not sent.
    with pytest.raises(StoreUnavailable):
        await tables.read("t", "a")
    assert not tables.is_available


async def test_a_pause_of_the_process_is_no_failure_of_the_service(site):
    """Guards against calls that fail although the store is healthy.

    The process is paused for longer than a call's timeout. When it resumes, the
    timeouts of its calls are due before the store's answers are read. Each call would
    fail, and three failures would open the circuit breaker, so that an edit fails and
    calls are refused for seconds.
    """
    timeout = timedelta(seconds=0.5)
    url = site.platform.tables.url
    client = PlatformClient(url, timeout, SystemClock(), Random(1))
    site.clients.append(client)
    await client.start()
    tables = HttpTables(client)
    reads = [asyncio.create_task(tables.read("t", "a")) for _ in range(3)]
    await asyncio.sleep(0)
    time.sleep(2 * timeout.total_seconds())
    assert await asyncio.gather(*reads) == [None] * 3
    assert tables.is_available
