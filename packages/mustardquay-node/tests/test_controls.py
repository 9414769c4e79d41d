"""Controllers and reconcilers together, on a virtual clock, with their faults."""

from dataclasses import replace
from datetime import timedelta
from random import Random
from unittest.mock import AsyncMock

import pytest

from mustardquay import Contract, Role, VirtualClock
from mustardquay.errors import StoreUnclear
from mustardquay.leases import LEASES
from mustardquay.logs import HEAD, TABLE
from mustardquay.orders import CLAIMS, ORDERS, Desired
from mustardquay.plans import Action, PlannedChange, Release, Scope
from mustardquay.revisions import Configuration
from mustardquay.tables import Transaction, Write
from mustardquay_node.controllers import Controller
from mustardquay_node.reconcilers import Reconciler
from mustardquay_standins.stores import LocalEngine, LocalTables

ZONE = "linz"
OLD = Desired(Role.MIXED, {"m": "1"})
TERM = timedelta(seconds=10)


class Keeper:
    """Has the head row of a configuration that tests set."""

    def __init__(self, tables):
        self._tables = tables
        self.configuration = Configuration()

    @property
    def version(self):
        return self.configuration.version

    def put(self, configuration):
        self.configuration = configuration
        write = Write(TABLE, HEAD, {"version": configuration.version})
        self._tables.apply(Transaction(writes=(write,)))

    async def poll(self):
        return self._tables.read(TABLE, HEAD)


class Fleet:
    """Engines of one zone with their agents, and the entries that control them."""

    def __init__(self, size, fencing=True, share=0.7):
        self.clock = VirtualClock()
        self.tables = LocalTables().tables
        self.names = [f"runner-{number}" for number in range(size)]
        self.engines = {
            name: LocalEngine(self.clock, OLD, fencing) for name in self.names
        }
        self.busy = set()
        self.fencing = fencing
        self.agents = {name: self.make_agent(name, 1) for name in self.names}
        self.share = share
        self.keeper = Keeper(self.tables)
        self.configuration = self.make_configuration()
        self.entries = [self.make_entry(number) for number in range(2)]
        self.lowest = size

    @property
    def configuration(self):
        return self.keeper.configuration

    @configuration.setter
    def configuration(self, configuration):
        self.keeper.put(configuration)

    def make_agent(self, name, number):
        store = LocalTables(self.tables)
        agent = Reconciler(
            name,
            ZONE,
            f"{name}-{number}",
            store,
            self.engines[name],
            self.clock,
            Random(number),
            self.fencing,
            timedelta(seconds=30),
            lambda: name not in self.busy,
        )
        agent.store = store
        return agent

    def make_entry(self, number):
        store = LocalTables(self.tables)
        entry = Controller(
            ZONE,
            f"entry-{number}",
            store,
            self.keeper,
            self.clock,
            Random(number),
            term=TERM,
        )
        entry.store = store
        return entry

    def make_configuration(self, version=1, changes=(), releases=()):
        contract = Contract("radio", ("hash",), self.share, models=("m",))
        return Configuration(
            version,
            {"radio": contract},
            {change.name: change for change in changes},
            {release.model: release for release in releases},
            {"hash": "radio"},
        )

    async def run(self, seconds, entries=None):
        for _ in range(seconds):
            for entry in self.entries if entries is None else entries:
                await entry.turn()
            for agent in self.agents.values():
                await agent.turn()
            ready = sum(agent.ready for agent in self.agents.values())
            self.lowest = min(self.lowest, ready)
            self.clock.advance(timedelta(seconds=1))

    async def settle(self):
        """Let agents claim their engines and the holder adopt them."""
        await self.run(30)
        self.lowest = len(self.names)

    def count_ready(self):
        return sum(agent.ready for agent in self.agents.values())

    def list_versions(self):
        rows = [self.tables.read(ORDERS, f"{ZONE}/{name}") for name in self.names]
        return [row.value["desired"]["models"]["m"] for row in rows]

    def check_orders(self):
        assert all(engine.conflicts == 0 for engine in self.engines.values())


@pytest.fixture(params=[True, False], ids=["fencing", "lax"])
async def fleet(request):
    fleet = Fleet(4, request.param)
    await fleet.settle()
    assert fleet.count_ready() == 4
    return fleet


NEW = Release("m", "2", previous="1")


async def test_a_release_goes_engine_by_engine_and_back(fleet):
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4
    assert fleet.count_ready() == 4 and fleet.lowest == 3
    back = Release("m", "1", previous="2")
    fleet.configuration = fleet.make_configuration(3, releases=[back])
    await fleet.run(200)
    assert fleet.list_versions() == ["1"] * 4
    assert fleet.count_ready() == 4 and fleet.lowest == 3
    fleet.check_orders()


async def test_a_release_takes_no_engine_that_the_contracts_need():
    fleet = Fleet(4, share=1.0)
    await fleet.settle()
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(60)
    assert fleet.list_versions() == ["1"] * 4
    accepted = Release("m", "2", previous="1", accept_overload=True)
    fleet.configuration = fleet.make_configuration(3, releases=[accepted])
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4 and fleet.lowest == 3


async def test_a_release_stops_at_the_first_engine_that_it_breaks(fleet):
    """A version that no engine can load would take them all, one by one.

    The first engine does not come back from its order. The release waits there and
    can be taken back.
    """
    fleet.engines["runner-0"].down = True
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(200)
    assert fleet.list_versions() == ["2", "1", "1", "1"]
    assert fleet.count_ready() == fleet.lowest == 3
    back = Release("m", "1", previous="2")
    fleet.configuration = fleet.make_configuration(3, releases=[back])
    await fleet.run(60)
    assert fleet.list_versions() == ["1"] * 4
    fleet.engines["runner-0"].down = False
    await fleet.run(30)
    assert fleet.count_ready() == 4 and fleet.lowest == 3


async def test_work_that_runs_is_finished_before_the_engine_changes(fleet):
    """An alert that is being written would be cut by a release."""
    fleet.busy = set(fleet.names)
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(60)
    assert not any(engine.orders for engine in fleet.engines.values())
    fleet.busy = set()
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4


async def test_drain_and_return(fleet):
    drain = PlannedChange("d", Action.DRAIN, Scope.UPSTREAM, "runner-2")
    fleet.configuration = fleet.make_configuration(2, changes=[drain])
    await fleet.run(10)
    assert fleet.agents["runner-2"].draining and fleet.count_ready() == 3
    fleet.configuration = fleet.make_configuration(3)
    await fleet.run(10)
    assert fleet.count_ready() == 4
    assert not any(engine.orders for engine in fleet.engines.values())


async def test_a_zone_is_replaced_one_instance_at_a_time(fleet):
    change = PlannedChange("r", Action.REPLACE, Scope.AVAILABILITY_ZONE, ZONE)
    fleet.configuration = fleet.make_configuration(2, changes=[change])
    for number in range(2, 6):
        await fleet.run(20)
        (name,) = [name for name in fleet.names if fleet.agents[name].draining]
        fleet.agents[name] = fleet.make_agent(name, number)
        await fleet.run(60)
    assert fleet.count_ready() == 4 and fleet.lowest == 3
    await fleet.run(60)
    assert fleet.lowest == 3
    fleet.check_orders()


@pytest.mark.fault
async def test_a_planned_change_goes_on_after_its_holder_dies(fleet):
    """A roll-out would stand still, or begin anew, when the entry in charge dies."""
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(30)
    assert "1" in fleet.list_versions() and "2" in fleet.list_versions()
    survivors = [entry for entry in fleet.entries if not entry.held]
    await fleet.run(300, survivors)
    assert survivors[0].held and survivors[0].fence == 2
    assert fleet.list_versions() == ["2"] * 4 and fleet.lowest == 3
    fleet.check_orders()


@pytest.mark.fault
async def test_a_holder_paused_in_the_middle_of_an_order_changes_nothing(fleet):
    """An engine would be told to go back to what another entry just replaced.

    The holder has decided on rows and is paused before its transaction for longer
    than its term. Another takes over and takes the release back. Then the first
    wakes up and sends its transaction.
    """
    holder, other = fleet.entries if fleet.entries[0].held else fleet.entries[::-1]
    transact = holder.store.transact
    held_back = hold_back_orders(holder)
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await holder.turn()
    assert held_back and holder.held
    fleet.configuration = fleet.make_configuration(3)
    await fleet.run(30, [other])
    assert other.held
    for transaction in held_back:
        result = await transact(transaction)
        assert not result and LEASES in [row.table for row in result.rows]
    await fleet.run(30, [other])
    assert fleet.list_versions() == ["1"] * 4 and fleet.count_ready() == 4


@pytest.mark.fault
async def test_a_late_copy_of_an_older_transaction_changes_nothing(fleet):
    """An engine would be told to go back to an older row by its own holder.

    A transaction is held up in the network and given up as unclear. The holder
    reads the rows and writes others; then the first one arrives.
    """
    holder = next(entry for entry in fleet.entries if entry.held)
    transact = holder.store.transact
    held_back = hold_back_orders(holder)
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await holder.turn()
    holder.store.transact = transact
    await fleet.run(60)
    (transaction,) = held_back
    result = await transact(transaction)
    assert not result and ORDERS in [row.table for row in result.rows]


def hold_back_orders(holder):
    """Keep the holder's transactions on order rows from the store; return them."""
    held_back = []
    transact = holder.store.transact

    async def hold_back(transaction):
        if transaction.writes[0].table != ORDERS:
            return await transact(transaction)
        held_back.append(transaction)
        raise StoreUnclear("The transaction is still under way.")

    holder.store.transact = hold_back
    return held_back


@pytest.mark.fault
async def test_an_agent_is_replaced_while_its_engine_loads_a_model(fleet):
    """Two agents would order one engine about, each from its own half of the story.

    The agent dies with an order under way. The next one claims the engine, waits
    until nothing of the first can arrive any more and sees the engine settle.
    """
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(6)
    (name,) = [name for name in fleet.names if fleet.engines[name].orders]
    before = fleet.agents[name]
    fleet.agents[name] = fleet.make_agent(name, 2)
    await fleet.run(2)
    assert not fleet.agents[name].ready
    await before.turn()
    await fleet.run(300)
    await before.turn()
    assert fleet.agents[name].incarnation == before.incarnation + 1
    assert fleet.list_versions() == ["2"] * 4 and fleet.count_ready() == 4
    fleet.check_orders()


@pytest.mark.fault
async def test_an_engine_back_in_an_unknown_state_is_mended(fleet):
    """Callers would get answers of whatever the engine happens to have loaded."""
    fleet.engines["runner-1"].crash(Desired(Role.MIXED, {"m": "0"}))
    await fleet.agents["runner-1"].turn()
    assert not fleet.agents["runner-1"].ready
    await fleet.run(30)
    assert fleet.count_ready() == 4
    assert fleet.engines["runner-1"].orders[-1].desired == OLD
    fleet.check_orders()


@pytest.mark.fault
async def test_serving_goes_on_through_an_hour_without_the_store(fleet):
    """Every engine would leave service because nobody can say what it should be.

    A release is announced and reaches the order row of one engine just before the
    store goes down for an hour.
    """
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    processes = [*fleet.entries, *fleet.agents.values()]
    fleet.busy = set(fleet.names)
    await fleet.run(10)
    assert "2" in fleet.list_versions() and fleet.count_ready() == 3
    for process in processes:
        process.store.down = True
    await fleet.run(3)
    fleet.lowest = 4
    await fleet.run(1800)
    fleet.busy = set()
    await fleet.run(1800)
    assert fleet.lowest == 4
    assert not any(entry.held for entry in fleet.entries)
    assert not any(engine.orders for engine in fleet.engines.values())
    for process in processes:
        process.store.down = False
    await fleet.run(300)
    assert fleet.list_versions() == ["2"] * 4 and fleet.count_ready() == 4
    fleet.check_orders()


@pytest.mark.fault
async def test_lost_answers_neither_double_a_claim_nor_an_order(fleet):
    """An agent would take itself for superseded by its own claim."""
    name = fleet.names[0]
    fleet.agents[name] = fleet.make_agent(name, 2)
    fleet.agents[name].store.lose_answers = 1
    for entry in fleet.entries:
        entry.store.lose_answers = 3
    fleet.configuration = fleet.make_configuration(2, releases=[NEW])
    await fleet.run(300)
    assert fleet.tables.read(CLAIMS, f"{ZONE}/{name}").revision == 2
    assert fleet.list_versions() == ["2"] * 4 and fleet.count_ready() == 4
    fleet.check_orders()


@pytest.mark.fault
async def test_a_new_holder_with_an_old_configuration_returns_no_engine(fleet):
    """An engine that was drained for its replacement would get work again.

    The drain is accepted and carried out. A fresh entry takes the lease over before
    the newest version has come to it: it must read the head, and its writes must
    not pass if the head has moved since.
    """
    drain = PlannedChange("d", Action.DRAIN, Scope.UPSTREAM, "runner-2")
    before = fleet.configuration
    fleet.configuration = fleet.make_configuration(2, changes=[drain])
    await fleet.run(10)
    old = Keeper(fleet.tables)
    old.configuration = before
    fleet.keeper = old
    fresh = fleet.make_entry(9)
    await fleet.run(60, [fresh])
    assert fresh.held and fleet.agents["runner-2"].draining
    head = fleet.tables.read(TABLE, HEAD)
    old.poll = AsyncMock(return_value=replace(head, value={"version": 1}, revision=1))
    await fleet.run(60, [fresh])
    assert fleet.agents["runner-2"].draining and fleet.count_ready() == 3


async def test_a_holder_that_stops_hands_over_at_once(fleet):
    holder, other = fleet.entries if fleet.entries[0].held else fleet.entries[::-1]
    await holder.close()
    await other.turn()
    assert other.held
