"""Controllers and reconcilers together, on a virtual clock, with injected faults."""

from dataclasses import replace
from unittest.mock import AsyncMock

import pytest

from mustardquay import Role
from mustardquay.configuration_log import CONFIGURATIONS, HEAD_KEY
from mustardquay.errors import StoreResultUnknown
from mustardquay.leases import LEASES
from mustardquay.orders import ENGINE_CLAIMS, ORDERS, Desired
from mustardquay.plans import Action, PlannedChange, Release, Scope
from mustardquay_standins.fleets import Fleet, StaticReplica

ZONE = "linz"
OLD = Desired(Role.MIXED, {"m": "1"})
NEW = Release("m", "2", previous="1")


@pytest.fixture(params=[True, False], ids=["fencing", "lax"])
async def fleet(request):
    fleet = Fleet(4, request.param)
    await fleet.run_until_adopted()
    assert fleet.count_ready() == 4
    return fleet


async def test_a_release_and_its_rollback_change_one_engine_at_a_time(fleet):
    fleet.configure(2, releases=[NEW])
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4
    assert fleet.count_ready() == 4 and fleet.lowest_ready == 3
    back = Release("m", "1", previous="2")
    fleet.configure(3, releases=[back])
    await fleet.run(200)
    assert fleet.list_versions() == ["1"] * 4
    assert fleet.count_ready() == 4 and fleet.lowest_ready == 3
    assert fleet.count_conflicts() == 0


async def test_small_zones_apply_a_release_one_after_another():
    """Three zones that each changed one of their two engines would halve the fleet."""
    fleet = Fleet(6, share=0.8, zones=("linz", "wien-nord", "wien-sued"))
    await fleet.run_until_adopted()
    fleet.configure(2, releases=[NEW])
    await fleet.run(300)
    assert fleet.list_versions() == ["2"] * 6
    assert fleet.count_ready() == 6 and fleet.lowest_ready == 5


async def test_a_release_changes_no_engine_that_the_contracts_need():
    fleet = Fleet(4, share=1.0)
    await fleet.run_until_adopted()
    fleet.configure(2, releases=[NEW])
    await fleet.run(60)
    assert fleet.list_versions() == ["1"] * 4
    accepted = Release("m", "2", previous="1", accept_overload=True)
    fleet.configure(3, releases=[accepted])
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4 and fleet.lowest_ready == 3


async def test_a_release_stops_at_the_first_engine_that_it_breaks(fleet):
    """Guards against a version that no engine can load and that disables all of them.

    The first engine does not recover after its order. The release stops there and can
    be rolled back.
    """
    fleet.engines["runner-0"].down = True
    fleet.configure(2, releases=[NEW])
    await fleet.run(200)
    assert fleet.list_versions() == ["2", "1", "1", "1"]
    assert fleet.count_ready() == fleet.lowest_ready == 3
    back = Release("m", "1", previous="2")
    fleet.configure(3, releases=[back])
    await fleet.run(60)
    assert fleet.list_versions() == ["1"] * 4
    fleet.engines["runner-0"].down = False
    await fleet.run(30)
    assert fleet.count_ready() == 4 and fleet.lowest_ready == 3


async def test_work_that_runs_is_finished_before_the_engine_changes(fleet):
    """Guards against a release that interrupts a running request, such as an alert."""
    fleet.busy = set(fleet.names)
    fleet.configure(2, releases=[NEW])
    await fleet.run(60)
    assert not any(engine.orders for engine in fleet.engines.values())
    fleet.busy = set()
    await fleet.run(200)
    assert fleet.list_versions() == ["2"] * 4


async def test_drain_and_end_of_drain(fleet):
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
    assert fleet.count_ready() == 4 and fleet.lowest_ready == 3
    await fleet.run(60)
    assert fleet.lowest_ready == 3
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_a_rollout_continues_after_the_lease_holder_fails(fleet):
    """Guards against a rollout that stops or restarts when the lease holder fails."""
    fleet.configure(2, releases=[NEW])
    await fleet.run(30)
    assert "1" in fleet.list_versions() and "2" in fleet.list_versions()
    survivors = [entry for entry in fleet.entries if not entry.held]
    await fleet.run(300, survivors)
    assert survivors[0].held and survivors[0].fence == 2
    assert fleet.list_versions() == ["2"] * 4 and fleet.lowest_ready == 3
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_a_holder_paused_in_the_middle_of_an_order_changes_nothing(fleet):
    """Guards against an order that reverts an engine to an outdated state.

    The holder has decided on rows and is paused before its transaction for longer
    than the lease's term. Another entry takes over, and the release is rolled back.
    Then the first entry resumes and sends its transaction.
    """
    holder, other = fleet.entries if fleet.entries[0].held else fleet.entries[::-1]
    transact = holder.store.transact
    intercepted = intercept_orders(holder)
    fleet.configure(2, releases=[NEW])
    await holder.run_once()
    assert intercepted and holder.held
    fleet.configure(3)
    await fleet.run(30, [other])
    assert other.held
    for transaction in intercepted:
        result = await transact(transaction)
        assert not result and LEASES in [row.table for row in result.rows]
    await fleet.run(30, [other])
    assert fleet.list_versions() == ["1"] * 4 and fleet.count_ready() == 4


@pytest.mark.fault
async def test_a_late_copy_of_an_older_transaction_changes_nothing(fleet):
    """Guards against an order row that is overwritten by an older one.

    A transaction is delayed in the network, and its result is unknown to the holder,
    which reads the rows and writes newer ones. Then the delayed transaction arrives.
    """
    holder = next(entry for entry in fleet.entries if entry.held)
    transact = holder.store.transact
    intercepted = intercept_orders(holder)
    fleet.configure(2, releases=[NEW])
    await holder.run_once()
    holder.store.transact = transact
    await fleet.run(60)
    (transaction,) = intercepted
    result = await transact(transaction)
    assert not result and ORDERS in [row.table for row in result.rows]


def intercept_orders(holder):
    """Intercept and return the holder's transactions on order rows."""
    intercepted = []
    transact = holder.store.transact

    async def intercept(transaction):
        if transaction.writes[0].table != ORDERS:
            return await transact(transaction)
        intercepted.append(transaction)
        raise StoreResultUnknown("The transaction is still under way.")

    holder.store.transact = intercept
    return intercepted


@pytest.mark.fault
async def test_an_agent_is_replaced_while_its_engine_loads_a_model(fleet):
    """Guards against conflicting orders of two agents to one engine.

    The agent fails while an order is in progress. Its replacement claims the engine
    and waits until no order of the first agent can arrive any more and the engine's
    change has ended.
    """
    fleet.configure(2, releases=[NEW])
    await fleet.run(6)
    (name,) = [name for name in fleet.names if fleet.engines[name].orders]
    before = fleet.agents[name]
    fleet.agents[name] = fleet.make_agent(name, 2)
    await fleet.run(2)
    assert not fleet.agents[name].ready
    await before.run_once()
    await fleet.run(300)
    await before.run_once()
    assert fleet.agents[name].incarnation == before.incarnation + 1
    assert fleet.list_versions() == ["2"] * 4 and fleet.count_ready() == 4
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_an_engine_that_restarts_in_another_state_is_corrected(fleet):
    """Guards against answers of a model version that the engine should not serve."""
    fleet.engines["runner-1"].crash(Desired(Role.MIXED, {"m": "0"}))
    await fleet.agents["runner-1"].run_once()
    assert not fleet.agents["runner-1"].ready
    await fleet.run(30)
    assert fleet.count_ready() == 4
    assert fleet.engines["runner-1"].orders[-1].desired == OLD
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_serving_continues_through_an_hour_without_the_store(fleet):
    """Guards against engines that leave service because their orders can't be read.

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
    fleet.lowest_ready = 4
    await fleet.run(1800)
    fleet.busy = set()
    await fleet.run(1800)
    assert fleet.lowest_ready == 4
    assert not any(entry.held for entry in fleet.entries)
    assert not any(engine.orders for engine in fleet.engines.values())
    for process in processes:
        process.store.down = False
    await fleet.run(300)
    assert fleet.list_versions() == ["2"] * 4 and fleet.count_ready() == 4
    assert fleet.count_conflicts() == 0


@pytest.mark.fault
async def test_lost_answers_duplicate_neither_a_claim_nor_an_order(fleet):
    """Guards against an agent that is superseded by its own claim."""
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
async def test_a_new_holder_with_an_old_configuration_ends_no_drain(fleet):
    """Guards against work for an engine that was drained for its replacement.

    The drain is accepted and executed. A new entry takes over the lease before it has
    received the newest version. It must read the head row, and its writes must fail if
    the head has moved since.
    """
    drain = PlannedChange("d", Action.DRAIN, Scope.UPSTREAM, "runner-2")
    before = fleet.replica.configuration
    fleet.configure(2, changes=[drain])
    await fleet.run(10)
    old = StaticReplica(fleet.tables)
    old.configuration = before
    fleet.replica = old
    fresh = fleet.make_entry(9)
    await fleet.run(60, [fresh])
    assert fresh.held and fleet.agents["runner-2"].draining
    head = fleet.tables.read(CONFIGURATIONS, HEAD_KEY)
    old.poll = AsyncMock(return_value=replace(head, value={"version": 1}, revision=1))
    await fleet.run(60, [fresh])
    assert fleet.agents["runner-2"].draining and fleet.count_ready() == 3


async def test_a_holder_that_stops_releases_its_lease_at_once(fleet):
    holder, other = fleet.entries if fleet.entries[0].held else fleet.entries[::-1]
    await holder.close()
    await other.run_once()
    assert other.held
