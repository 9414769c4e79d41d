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


async def cancel_change(entry, revision):
    amendment = ChangeAmendment("change", revision, None)
    return await entry.apply_edit(Edit(uuid4().hex, "operator", (amendment,)))


def is_chosen(site, upstream):
    return all(upstream in item.list_reachable() for item in site.entries.values())


def is_left_out(site, upstream):
    return all(upstream not in item.list_reachable() for item in site.entries.values())


async def test_announced_drain_cuts_no_stream_and_can_be_cancelled(
    relayed_site, client
):
    """
    An operator announces the drain of an engine that is streaming a draft. The draft
    is completed there, no entry chooses the engine for new requests, and it serves
    again once the operator has cancelled the change.
    """
    entry = relayed_site.entries["entry-2"]
    stream = await start_stream(relayed_site, client, "announced")
    revision = await announce(entry, Action.DRAIN, stream.upstream)
    await wait_until(lambda: is_left_out(relayed_site, stream.upstream))
    await stream.check_whole()
    assert count_runs(relayed_site, "announced") == 1
    await cancel_change(entry, revision)
    await wait_until(lambda: is_chosen(relayed_site, stream.upstream))


async def test_drain_of_a_plain_service_can_be_cancelled(relayed_site, client):
    """
    An operator announces the drain of an instance of the booking service. Entries
    stop choosing it, although a plain service takes no orders.
    """
    entry = relayed_site.entries["entry-1"]
    name = next(iter(relayed_site.services))
    revision = await announce(entry, Action.DRAIN, name)
    await wait_until(lambda: is_left_out(relayed_site, name))
    await cancel_change(entry, revision)
    await wait_until(lambda: is_chosen(relayed_site, name))


async def test_change_is_carried_out_after_its_lease_holder_stops(relayed_site, client):
    """
    The entry that holds the lease of a zone stops, and then a drain in that zone is
    announced. Another entry takes over the lease and carries out the change.
    """
    entries = relayed_site.entries
    zone = relayed_site.find_agent("assistant-1").availability_zone

    def find_holders():
        return [name for name, item in entries.items() if zone in item.held_domains]

    await wait_until(lambda: len(find_holders()) == 1)
    holder = entries.pop(find_holders()[0])
    relayed_site.register_instances()
    await holder.stop()
    other = next(iter(entries.values()))
    await announce(other, Action.DRAIN, "assistant-1")
    await wait_until(lambda: is_left_out(relayed_site, "assistant-1"))
    assert zone in other.held_domains


async def test_change_that_leaves_too_little_capacity_is_refused(relayed_site):
    """
    An operator announces the withdrawal of a whole zone, which would leave too little
    capacity for the contracts. The edit is refused with the sum, and nothing is
    drained.
    """
    entry = relayed_site.entries["entry-1"]
    zones = {agent.availability_zone for agent in relayed_site.agents.values()}
    await wait_until(
        lambda: any(item.held_domains for item in relayed_site.entries.values())
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


async def test_one_of_two_concurrent_edits_is_a_conflict(relayed_site):
    """
    Two operators announce a change of the same name through two entries. One edit is
    accepted and applied everywhere, the other is refused as a conflict.
    """
    first, second = relayed_site.entries.values()
    version = await announce(first, Action.DRAIN, "assistant-1")
    with pytest.raises(ConflictError):
        await announce(second, Action.DRAIN, "assistant-2")
    nodes = (*relayed_site.entries.values(), *relayed_site.agents.values())
    await wait_until(lambda: all(node.version == version for node in nodes))
