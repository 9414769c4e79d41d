"""Planned changes on a whole site, over real sockets."""

from uuid import uuid4

import pytest

from mustardquay.errors import ConflictError, DocumentError
from mustardquay.plans import Action, PlannedChange, Scope
from mustardquay.revisions import ChangeAmendment, Edit
from mustardquay_standins.watches import count_runs, start_stream, wait_until

pytestmark = pytest.mark.fault


async def announce(entry, action, target, scope=Scope.UPSTREAM, overload=True):
    change = PlannedChange("change", action, scope, target, None, overload)
    return await entry.apply_edit(
        Edit(uuid4().hex, "operator", (ChangeAmendment("change", 0, change),))
    )


async def take_back(entry, revision):
    amendment = ChangeAmendment("change", revision, None)
    return await entry.apply_edit(Edit(uuid4().hex, "operator", (amendment,)))


def is_chosen(site, upstream):
    return all(upstream in item.list_reachable() for item in site.entries.values())


def is_left_out(site, upstream):
    return all(upstream not in item.list_reachable() for item in site.entries.values())


async def test_announced_drain_cuts_nothing_and_is_taken_back(frail_site, client):
    """
    An operator announces the drain of an engine that is in the middle of a draft.
    The draft ends whole there, no entry chooses the engine any more, and it serves
    again once the operator has taken the change back.
    """
    entry = frail_site.entries["entry-2"]
    stream = await start_stream(frail_site, client, "announced")
    revision = await announce(entry, Action.DRAIN, stream.upstream)
    await wait_until(lambda: is_left_out(frail_site, stream.upstream))
    await stream.check_whole()
    assert count_runs(frail_site, "announced") == 1
    await take_back(entry, revision)
    await wait_until(lambda: is_chosen(frail_site, stream.upstream))


async def test_drain_of_a_plain_service_goes_the_same_way(frail_site, client):
    """
    An operator announces the drain of an instance of the booking service. Entries
    stop choosing it; it takes no orders and still drains.
    """
    entry = frail_site.entries["entry-1"]
    name = next(iter(frail_site.services))
    revision = await announce(entry, Action.DRAIN, name)
    await wait_until(lambda: is_left_out(frail_site, name))
    await take_back(entry, revision)
    await wait_until(lambda: is_chosen(frail_site, name))


async def test_change_goes_on_after_the_death_of_its_holder(frail_site, client):
    """
    The entry that holds the lease of a zone dies while the zone's drain is being
    carried out. Another entry takes the lease over and the change is carried out.
    """
    entries = frail_site.entries
    zone = frail_site.find_agent("assistant-1").availability_zone

    def find_holders():
        return [name for name, item in entries.items() if zone in item.held_domains]

    await wait_until(lambda: len(find_holders()) == 1)
    holder = entries.pop(find_holders()[0])
    frail_site.register_instances()
    await holder.stop()
    other = next(iter(entries.values()))
    await announce(other, Action.DRAIN, "assistant-1")
    await wait_until(lambda: is_left_out(frail_site, "assistant-1"))
    assert zone in other.held_domains


async def test_change_that_the_rest_can_not_bear_is_refused(frail_site):
    """
    An operator announces that a whole zone is withdrawn, and the rest could not
    honour the contracts. The edit is refused with the sum, and nothing is drained.
    """
    entry = frail_site.entries["entry-1"]
    zones = {agent.availability_zone for agent in frail_site.agents.values()}
    await wait_until(
        lambda: any(item.held_domains for item in frail_site.entries.values())
    )
    version = entry.version
    with pytest.raises(DocumentError):
        await announce(
            entry,
            Action.WITHDRAW,
            sorted(zones)[0],
            Scope.AVAILABILITY_ZONE,
            overload=False,
        )
    assert entry.version == version


async def test_of_racing_operators_one_is_shown_the_conflict(frail_site):
    """
    Two operators announce a change under one name through two entries. One edit is
    accepted and in force everywhere, the other operator sees the conflict.
    """
    first, second = frail_site.entries.values()
    version = await announce(first, Action.DRAIN, "assistant-1")
    with pytest.raises(ConflictError):
        await announce(second, Action.DRAIN, "assistant-2")
    nodes = (*frail_site.entries.values(), *frail_site.agents.values())
    await wait_until(lambda: all(node.version == version for node in nodes))
