"""Controllers and reconcilers together, on a virtual clock, with their faults."""

from dataclasses import replace
from unittest.mock import AsyncMock

import pytest

from mustardquay import Role
from mustardquay.configuration_log import CONFIGURATIONS, HEAD_KEY
from mustardquay.errors import StoreResultUnknown
from mustardquay.leases import LEASES
from mustardquay.orders import ENGINE_CLAIMS, ORDERS, Desired
from mustardquay.plans import Action, PlannedChange, Release, Scope
from mustardquay_standins.fleets import Fleet, StaticKeeper

ZONE = "linz"
OLD = Desired(Role.MIXED, {"m": "1"})
NEW = Release("m", "2", previous="1")


@pytest.fixture(params=[True, False], ids=["fencing", "lax"])
async def fleet(request):
    fleet = Fleet(4, request.param)
    await fleet.settle()
    assert fleet.count_ready() == 4
    return fleet


async def test_a_release_goes_engine_by_engine_and_back(fleet):
    fleet.configure(2, releases=[NEW])
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4
    assert fleet.count_ready() == 4 and fleet.lowest == 3
    back = Release("m", "1", previous="2")
    fleet.configure(3, releases=[back])
    await fleet.run(200)
    assert fleet.list_versions() == ["1"] * 4
    assert fleet.count_ready() == 4 and fleet.lowest == 3
    assert fleet.count_conflicts() == 0


async def test_zones_too_small_to_spare_an_engine_take_a_release_in_turn():
    """Three zones that each took one of their two would halve a small fleet."""
    fleet = Fleet(6, share=0.8, zones=("linz", "wien-nord", "wien-sued"))
    await fleet.settle()
    fleet.configure(2, releases=[NEW])
    await fleet.run(300)
    assert fleet.list_versions() == ["2"] * 6
    assert fleet.count_ready() == 6 and fleet.lowest == 5


async def test_a_release_takes_no_engine_that_the_contracts_need():
    fleet = Fleet(4, share=1.0)
    await fleet.settle()
    fleet.configure(2, releases=[NEW])
    await fleet.run(60)
    assert fleet.list_versions() == ["1"] * 4
    accepted = Release("m", "2", previous="1", accept_overload=True)
    fleet.configure(3, releases=[accepted])
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4 and fleet.lowest == 3


async def test_a_release_stops_at_the_first_engine_that_it_breaks(fleet):
    """A version that no engine can load would take them all, one by one.

    The first engine does not come back from its order. The release waits there and
    can be taken back.
    """
    fleet.engines["runner-0"].down = True
    fleet.configure(2, releases=[NEW])
    await fleet.run(200)
    assert fleet.list_versions() == ["2", "1", "1", "1"]
    assert fleet.count_ready() == fleet.lowest == 3
    back = Release("m", "1", previous="2")
    fleet.configure(3, releases=[back])
    await fleet.run(60)
    assert fleet.list_versions() == ["1"] * 4
    fleet.engines["runner-0"].down = False
    await fleet.run(30)
    assert fleet.count_ready() == 4 and fleet.lowest == 3


async def test_work_that_runs_is_finished_before_the_engine_changes(fleet):
    """An alert that is being written would be cut by a release."""
    fleet.busy = set(fleet.names)
    fleet.configure(2, releases=[NEW])
    await fleet.run(60)
    assert not any(engine.orders for engine in fleet.engines.values())
    fleet.busy = set()
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4


async def test_drain_and_return(fleet):
    drain = PlannedChange("d", Action.DRAIN, Scope.UPSTREAM, "runner-2")
    fleet.configure(2, changes=[drain])
    await fleet.run(10)
    assert fleet.agents["runner-2"].draining and fleet.count_ready() == 3
    fleet.configure(3)
    await fleet.run(10)
    assert fleet.count_ready() == 4
    assert not any(engine.orders for engine in fleet.engines.values())


async def test_a_zone_is_replaced_one_instance_at_a_time(fleet):
    change = PlannedChange("r", Action.REPLACE, Scope.AVAILABILITY_ZONE, ZONE)
    fleet.configure(2, changes=[change])
    for number in range(2, 6):
        await fleet.run(20)
        (name,) = [name for name in fleet.names if fleet.agents[name].draining]
        fleet.agents[name] = fleet.make_agent(name, number)
        await fleet.run(60)
    assert fleet.count_ready() == 4 and fleet.lowest == 3
    await fleet.run(60)
    assert fleet.lowest == 3
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_a_planned_change_goes_on_after_its_holder_dies(fleet):
    """A roll-out would stand still, or begin anew, when the entry in charge dies."""
    fleet.configure(2, releases=[NEW])
    await fleet.run(30)
    assert "1" in fleet.list_versions() and "2" in fleet.list_versions()
    survivors = [entry for entry in fleet.entries if not entry.held]
    await fleet.run(300, survivors)
    assert survivors[0].held and survivors[0].fence == 2
    assert fleet.list_versions() == ["2"] * 4 and fleet.lowest == 3
    assert fleet.count_conflicts() == 0


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
    fleet.configure(2, releases=[NEW])
    await holder.turn()
    assert held_back and holder.held
    fleet.configure(3)
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
    fleet.configure(2, releases=[NEW])
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
        raise StoreResultUnknown("The transaction is still under way.")

    holder.store.transact = hold_back
    return held_back


@pytest.mark.fault
async def test_an_agent_is_replaced_while_its_engine_loads_a_model(fleet):
    """Two agents would order one engine about, each from its own half of the story.

    The agent dies with an order under way. The next one claims the engine, waits
    until nothing of the first can arrive any more and sees the engine settle.
    """
    fleet.configure(2, releases=[NEW])
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
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_an_engine_back_in_an_unknown_state_is_mended(fleet):
    """Callers would get answers of whatever the engine happens to have loaded."""
    fleet.engines["runner-1"].crash(Desired(Role.MIXED, {"m": "0"}))
    await fleet.agents["runner-1"].turn()
    assert not fleet.agents["runner-1"].ready
    await fleet.run(30)
    assert fleet.count_ready() == 4
    assert fleet.engines["runner-1"].orders[-1].desired == OLD
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_serving_goes_on_through_an_hour_without_the_store(fleet):
    """Every engine would leave service because nobody can say what it should be.

    A release is announced and reaches the order row of one engine just before the
    store goes down for an hour.
    """
    fleet.configure(2, releases=[NEW])
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
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_lost_answers_neither_double_a_claim_nor_an_order(fleet):
    """An agent would take itself for superseded by its own claim."""
    name = fleet.names[0]
    fleet.agents[name] = fleet.make_agent(name, 2)
    fleet.agents[name].store.lose_answers = 1
    for entry in fleet.entries:
        entry.store.lose_answers = 3
    fleet.configure(2, releases=[NEW])
    await fleet.run(300)
    assert fleet.tables.read(ENGINE_CLAIMS, f"{ZONE}/{name}").revision == 2
    assert fleet.list_versions() == ["2"] * 4 and fleet.count_ready() == 4
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_a_new_holder_with_an_old_configuration_returns_no_engine(fleet):
    """An engine that was drained for its replacement would get work again.

    The drain is accepted and carried out. A fresh entry takes the lease over before
    the newest version has come to it: it must read the head, and its writes must
    not pass if the head has moved since.
    """
    drain = PlannedChange("d", Action.DRAIN, Scope.UPSTREAM, "runner-2")
    before = fleet.keeper.configuration
    fleet.configure(2, changes=[drain])
    await fleet.run(10)
    old = StaticKeeper(fleet.tables)
    old.configuration = before
    fleet.keeper = old
    fresh = fleet.make_entry(9)
    await fleet.run(60, [fresh])
    assert fresh.held and fleet.agents["runner-2"].draining
    head = fleet.tables.read(CONFIGURATIONS, HEAD_KEY)
    old.poll = AsyncMock(return_value=replace(head, value={"version": 1}, revision=1))
    await fleet.run(60, [fresh])
    assert fleet.agents["runner-2"].draining and fleet.count_ready() == 3


async def test_a_holder_that_stops_hands_over_at_once(fleet):
    holder, other = fleet.entries if fleet.entries[0].held else fleet.entries[::-1]
    await holder.close()
    await other.turn()
    assert other.held
