"""The configuration over lost answers, outages, races and gaps."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from mustardquay import Contract, VirtualClock
from mustardquay.configuration_log import CHANGE_PREFIX, CONFIGURATIONS, build_entry_key
from mustardquay.errors import (
    ConflictError,
    DocumentError,
    StoreResultUnknown,
    StoreUnavailable,
)
from mustardquay.revisions import ContractAmendment, Edit
from mustardquay_node.configurations import ConfigurationKeeper, configuration_changed
from mustardquay_node.editors import ConfigurationEditor
from mustardquay_standins.stores import LocalObjects, LocalTables


class Process:
    """A process with its keeper and editor on a shared store."""

    def __init__(self, tables, objects, clock, seed=0, **options):
        self.store = LocalTables(tables)
        self.keeper = ConfigurationKeeper(
            self.store, objects, Random(seed), lambda: True
        )

        async def sleep(duration):
            clock.advance(duration)

        self.editor = ConfigurationEditor(
            self.keeper,
            self.store,
            objects,
            clock,
            Random(seed),
            sleep=sleep,
            **options,
        )


@pytest.fixture
def make_process():
    tables = LocalTables().tables
    objects = LocalObjects()
    clock = VirtualClock()

    def make(seed=0, **options):
        return Process(tables, objects, clock, seed, **options)

    return make


def make_edit(change_id, customer="radio", revision=0, share=0.1):
    contract = Contract(customer, (f"hash-{customer}",), share)
    amendment = ContractAmendment(customer, revision, contract)
    return Edit(change_id, "operator", (amendment,))


async def test_an_edit_is_in_force_and_announced(make_process):
    first, second = make_process(), make_process()
    seen = []

    def note(sender, configuration):
        seen.append(configuration.version)

    with configuration_changed.connected_to(note, sender=second.keeper):
        assert await first.editor.propose(make_edit("a")) == 1
        await second.keeper.poll()
    assert seen == [1] and second.keeper.current
    assert second.keeper.configuration.find_contract("hash-radio").revision == 1


@pytest.mark.fault
@pytest.mark.parametrize("fault", ["lose_answers", "lose_calls"])
async def test_a_lost_answer_is_resolved(make_process, fault):
    """An operator would apply a contract twice, or believe that it was refused.

    The answer to the transaction is lost, after or before it has taken effect.
    The editor sends the same transaction again, which tells by the change id.
    """
    process = make_process()
    setattr(process.store, fault, 2)
    assert await process.editor.propose(make_edit("a")) == 1
    assert await process.editor.propose(make_edit("b", "tram")) == 2
    entries = process.store.tables.scan(CONFIGURATIONS, build_entry_key(0))
    assert [row.key for row in entries if row.key.startswith("entry/")] == [
        build_entry_key(1),
        build_entry_key(2),
    ]


@pytest.mark.fault
async def test_an_edit_that_stays_unclear_can_be_sent_again(make_process):
    """The store goes down just after it has lost the answer."""
    process = make_process(patience=timedelta(seconds=3))
    process.store.lose_answers = 1000
    with pytest.raises(StoreResultUnknown):
        await process.editor.propose(make_edit("a"))
    process.store.lose_answers = 0
    assert await process.editor.propose(make_edit("a")) == 1


@pytest.mark.fault
async def test_of_racing_edits_one_wins_and_the_other_sees_the_conflict(make_process):
    """Two operators amend one contract at once; neither edit may vanish silently.

    The second editor has read the head before the first one's edit is committed;
    its transaction meets the moved head and its edit the newer revision.
    """
    first, second = make_process(1), make_process(2)
    await first.editor.propose(make_edit("base"))
    poll = second.keeper.poll

    async def poll_then_lose_the_race():
        head = await poll()
        second.keeper.poll = poll
        await first.editor.propose(make_edit("winner", revision=1, share=0.2))
        return head

    second.keeper.poll = poll_then_lose_the_race
    with pytest.raises(ConflictError, match="revision 2"):
        await second.editor.propose(make_edit("loser", revision=1, share=0.3))
    assert second.keeper.configuration.contracts["radio"].share == 0.2
    assert second.store.tables.read(CONFIGURATIONS, CHANGE_PREFIX + "loser") is None
    merged = make_edit("merged", revision=2, share=0.3)
    assert await second.editor.propose(merged) == 3


async def test_a_race_about_other_items_is_not_a_conflict(make_process):
    first, second = make_process(1), make_process(2)
    await first.keeper.poll()
    await second.editor.propose(make_edit("a"))
    assert await first.editor.propose(make_edit("b", "tram")) == 2


async def test_a_refused_edit_never_takes_force(make_process):
    process = make_process()
    with pytest.raises(DocumentError):
        await process.editor.propose(make_edit("a", share=1.5))
    process.store.down = True
    with pytest.raises(StoreUnavailable):
        await process.editor.propose(make_edit("b"))
    process.store.down = False
    await process.keeper.poll()
    assert process.keeper.version == 0


@pytest.mark.fault
async def test_a_fresh_process_is_current_by_its_peers_while_the_store_is_down(
    make_process,
):
    """An instance that is replaced in an outage would take no work for an hour.

    Or worse, it would take work under no contracts at all. It waits until peers
    that are current have given it their highest version.
    """
    old, fresh = make_process(), make_process()
    for number in range(3):
        await old.editor.propose(make_edit(str(number), f"customer-{number}"))
    fresh.store.down = True
    with pytest.raises(StoreUnavailable):
        await fresh.keeper.poll()
    fresh.keeper.hear("unconfirmed", 0, False)
    assert not fresh.keeper.current
    fresh.keeper.hear("old", 3, True)
    assert not fresh.keeper.current and fresh.keeper.wanted_after == 0
    fresh.keeper.offer_items(old.keeper.list_items(0))
    assert fresh.keeper.current and fresh.keeper.version == 3


async def test_the_word_of_peers_does_not_count_while_the_store_answers(make_process):
    """A peer that is itself cut off from the store would make it current too soon."""
    writer, fresh = make_process(), make_process()
    await writer.editor.propose(make_edit("a"))
    fresh.keeper.hear("cut-off", 0, True)
    assert not fresh.keeper.current
    await fresh.keeper.poll()
    assert fresh.keeper.current and fresh.keeper.version == 1


@pytest.mark.fault
async def test_an_hour_without_the_store_changes_nothing_in_force(make_process):
    """Contracts would vanish or revert in a long outage, or stay frozen after it.

    The store is down for an hour in which everybody goes on asking, and then comes
    back; the next edit follows on the version from before.
    """
    process = make_process()
    await process.editor.propose(make_edit("a"))
    before = process.keeper.configuration
    process.store.down = True
    for _ in range(1800):
        with pytest.raises(StoreUnavailable):
            await process.keeper.poll()
    assert process.keeper.configuration is before and process.keeper.current
    process.store.down = False
    assert await process.editor.propose(make_edit("b", "tram")) == 2


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(data=st.data())
async def test_versions_never_fall_whatever_order_entries_come_in(data):
    tables, objects, clock = LocalTables().tables, LocalObjects(), VirtualClock()
    writer = Process(tables, objects, clock)
    for number in range(12):
        await writer.editor.propose(make_edit(str(number), f"customer-{number}", 0, 0))
    items = list(writer.keeper.list_items(0))
    reader = Process(tables, objects, clock, seed=1)
    versions = [0]
    order = st.lists(st.integers(0, len(items) - 1), max_size=30)
    for position in data.draw(order):
        reader.keeper.offer_items([items[position]])
        reader.keeper.hear("peer", position, True)
        versions.append(reader.keeper.version)
    assert versions == sorted(versions)
    wanted = reader.keeper.wanted_after
    if wanted is not None:
        reader.keeper.offer_items(writer.keeper.list_items(wanted))
    await reader.keeper.poll()
    assert reader.keeper.configuration == writer.keeper.configuration


async def test_a_process_far_behind_catches_up_from_a_snapshot(make_process):
    writer = make_process(snapshot_interval=5)
    for number in range(23):
        await writer.editor.propose(make_edit(str(number), f"customer-{number}", 0, 0))
    rows = writer.store.tables.scan(CONFIGURATIONS, "entry/", 1000)
    kept = [row for row in rows if row.key.startswith("entry/")]
    assert kept[0].key == build_entry_key(16)
    assert writer.store.tables.read(CONFIGURATIONS, CHANGE_PREFIX + "3") is None
    late, later = make_process(), make_process()
    await late.keeper.poll()
    assert late.keeper.configuration == writer.keeper.configuration
    (snapshot, *_) = late.keeper.list_items(2)
    later.keeper.offer_items([snapshot])
    assert later.keeper.configuration == writer.keeper.configuration
