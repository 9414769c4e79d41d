"""Orders to engines over real sockets, with stand-ins for the engine and the tables."""

import asyncio
from datetime import timedelta
from random import Random

import pytest

from mustardquay import Role, VirtualClock
from mustardquay.order_state_machine import OrderResult
from mustardquay.orders import Desired, Order
from mustardquay.plans import Release
from mustardquay.revisions import Edit, ReleaseAmendment
from mustardquay_node.configurations import ConfigurationReplica
from mustardquay_node.controllers import Controller
from mustardquay_node.editors import ConfigurationEditor
from mustardquay_node.engines import HttpEngine
from mustardquay_node.reconcilers import Reconciler
from mustardquay_node.stores import HttpTables, PlatformClient, StoreLimits
from mustardquay_standins.engines import EngineStandin
from mustardquay_standins.states import EngineSetup
from mustardquay_standins.stores import LocalObjects
from mustardquay_standins.tables import TableStandin

ZONE = "linz"
LIMITS = StoreLimits(10_000, 10_000, 10_000, 10_000)
TURNS = 400


class Site:
    """One engine, its agent and the controlling part of one entry."""

    def __init__(self):
        self.clock = VirtualClock()
        self.tables = TableStandin(self.clock)
        self.tables.faults.read_rate = self.tables.faults.write_rate = 0.0
        self.engine = EngineStandin(
            setup=EngineSetup(models={"m": "1"}),
            change_time=timedelta(),
            restart_time=timedelta(),
        )
        self.clients = []
        self.agents = []

    async def start(self):
        await self.tables.start()
        await self.engine.start()
        store = await self.make_store()
        self.objects = LocalObjects()
        self.replica = ConfigurationReplica(
            store, self.objects, Random(1), lambda: True
        )
        self.editor = ConfigurationEditor(
            self.replica, store, self.objects, self.clock, Random(1)
        )
        self.entry = Controller(
            ZONE,
            "entry-1",
            store,
            self.replica,
            self.clock,
            Random(1),
        )

    async def close(self):
        for client in self.clients:
            await client.close()
        await self.engine.close()
        await self.tables.close()

    async def sleep(self, duration):
        self.clock.advance(duration)

    async def make_store(self):
        timeout = timedelta(seconds=5)
        url = self.tables.url
        client = PlatformClient(url, timeout, self.clock, Random(1), self.sleep)
        self.clients.append(client)
        await client.start()
        return HttpTables(client, LIMITS)

    async def make_agent(self, number):
        engine = HttpEngine(self.engine.url)
        self.clients.append(engine)
        await engine.start()
        agent = Reconciler(
            "runner-1",
            ZONE,
            f"agent-{number}",
            await self.make_store(),
            engine,
            self.clock,
            Random(number),
            fencing=not self.engine.faults.ignore_fences,
            longest_order=timedelta(seconds=30),
            is_idle=lambda: True,
        )
        self.agents.append(agent)
        return agent

    async def apply_release(self, version):
        await self.replica.poll()
        present = self.replica.configuration.releases.get("m")
        revision = present.revision if present else 0
        release = Release("m", version, accept_overload=True)
        amendment = ReleaseAmendment("m", revision, release)
        await self.editor.propose(Edit(version, "operator", (amendment,)))

    async def run_until(self, agent, condition):
        for _ in range(TURNS):
            await self.entry.run_once()
            await agent.run_once()
            self.clock.advance(timedelta(seconds=1))
            if condition():
                return
        raise AssertionError("the condition was not met in time")

    def check(self):
        counters = self.engine.counters.orders
        assert counters.conflicting == 0 and counters.stale_applied == 0


@pytest.fixture(params=[False, True], ids=["fencing", "lax"])
async def site(request):
    site = Site()
    site.engine.faults.ignore_fences = request.param
    await site.start()
    yield site
    await site.close()


async def test_the_engine_client_follows_the_protocol(site):
    engine = HttpEngine(site.engine.url)
    await engine.start()
    try:
        state = await engine.read_state()
        assert (state.role, state.models) == (Role.MIXED, {"m": "1"})
        assert not state.changing and state.generation == 0
        order = Order(3, 1, Desired(Role.PREFILL, {"m": "2"}))
        second = timedelta(seconds=1)
        assert await engine.send_order(order, second) is OrderResult.ACCEPTED
        while site.engine.orders.changing:
            await asyncio.sleep(0)
        state = await engine.read_state()
        assert (state.role, state.models) == (Role.PREFILL, {"m": "2"})
        assert (state.generation, state.fence) == (1, 3)
        stale = Order(2, 2, Desired(Role.MIXED, {"m": "1"}))
        answer = await engine.send_order(stale, second)
        lax = site.engine.faults.ignore_fences
        assert answer is (OrderResult.ACCEPTED if lax else OrderResult.STALE)
        await site.engine.close()
        assert await engine.read_state() is None
        assert await engine.send_order(order, second) is OrderResult.LOST
    finally:
        await engine.close()


async def test_a_release_reaches_the_engine(site):
    agent = await site.make_agent(1)
    await site.run_until(agent, lambda: agent.ready and site.entry.engines)
    await site.apply_release("2")
    engine = site.engine.orders
    await site.run_until(agent, lambda: engine.setup.models == {"m": "2"})
    await site.run_until(agent, lambda: agent.ready)
    site.check()


@pytest.mark.fault
async def test_an_agent_is_replaced_during_a_model_load(site):
    """Guards against two agents that both give orders to an engine loading a model.

    The weight store delays the load, the agent fails, and its successor finds the
    engine changing. When the first agent resumes later, it must not give an order.
    """
    first = await site.make_agent(1)
    await site.run_until(first, lambda: first.ready and site.entry.engines)
    loading, go_on = asyncio.Event(), asyncio.Event()

    async def load_weights(name, version):
        loading.set()
        await go_on.wait()

    site.engine.orders._load_weights = load_weights
    await site.apply_release("2")
    await site.run_until(first, lambda: site.engine.orders.changing)
    await loading.wait()
    second = await site.make_agent(2)
    for _ in range(60):
        await second.run_once()
        site.clock.advance(timedelta(seconds=1))
    assert second.state.changing and not second.ready
    go_on.set()
    await site.run_until(second, lambda: second.ready)
    assert site.engine.orders.setup.models == {"m": "2"}
    await site.apply_release("3")
    await site.run_until(second, lambda: second.row.desired.models == {"m": "3"})
    for _ in range(20):
        await first.run_once()
        site.clock.advance(timedelta(seconds=1))
    assert first.superseded and not first.ready
    await site.run_until(second, lambda: second.ready)
    assert site.engine.orders.setup.models == {"m": "3"}
    site.check()


@pytest.mark.fault
async def test_an_engine_that_crashes_during_an_order_is_restored(site):
    """Guards against routing callers to an engine that lacks half of its models."""
    agent = await site.make_agent(1)
    await site.run_until(agent, lambda: agent.ready and site.entry.engines)
    await site.apply_release("2")
    loading = asyncio.Event()

    async def load_weights(name, version):
        loading.set()
        await asyncio.Event().wait()

    load = site.engine.orders._load_weights
    site.engine.orders._load_weights = load_weights
    await site.run_until(agent, lambda: site.engine.orders.changing)
    await loading.wait()
    site.engine.orders._load_weights = load
    await site.engine.crash()
    await agent.run_once()
    assert not agent.ready
    await site.run_until(agent, lambda: agent.ready)
    assert site.engine.orders.setup.models == {"m": "2"}
    site.check()
