"""Configuration replicas and editors with lost answers, outages, races and gaps."""

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
from mustardquay_node.configurations import ConfigurationReplica, configuration_changed
from mustardquay_node.editors import ConfigurationEditor
from mustardquay_standins.stores import LocalObjects, LocalTables


class Process:
    """A process with its configuration replica and editor on a shared store."""

    def __init__(self, tables, objects, clock, seed=0, **options):
        self.store = LocalTables(tables)
        self.replica = ConfigurationReplica(
            self.store, objects, Random(seed), lambda: True
        )

        async def sleep(duration):
            clock.advance(duration)

        self.editor = ConfigurationEditor(
            self.replica,
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

    with configuration_changed.connected_to(note, sender=second.replica):
        assert await first.editor.propose(make_edit("a")) == 1
        await second.replica.poll()
    assert seen == [1] and second.replica.current
    assert second.replica.configuration.find_contract("hash-radio").revision == 1


@pytest.mark.fault
@pytest.mark.parametrize("fault", ["lose_answers", "lose_calls"])
async def test_a_lost_answer_is_resolved(make_process, fault):
    """Guards against a contract that is applied twice or wrongly reported as refused.

    The answer to the transaction is lost, after or before it was applied. The editor
    retries the same transaction, which is idempotent by its change id.
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
async def test_an_edit_with_an_unknown_result_can_be_sent_again(make_process):
    """The answer to an edit is lost and the store is then down."""
    process = make_process(timeout=timedelta(seconds=3))
    process.store.lose_answers = 1000
    with pytest.raises(StoreResultUnknown):
        await process.editor.propose(make_edit("a"))
    process.store.lose_answers = 0
    assert await process.editor.propose(make_edit("a")) == 1


@pytest.mark.fault
async def test_of_racing_edits_one_wins_and_the_other_gets_a_conflict(make_process):
    """Two operators amend one contract at once; no edit may be lost silently.

    The second editor reads the head row before the first edit is committed. Its
    transaction then fails because the head has moved, and its edit because the
    contract has a newer revision.
    """
    first, second = make_process(1), make_process(2)
    await first.editor.propose(make_edit("base"))
    poll = second.replica.poll

    async def poll_then_lose_the_race():
        head = await poll()
        second.replica.poll = poll
        await first.editor.propose(make_edit("winner", revision=1, share=0.2))
        return head

    second.replica.poll = poll_then_lose_the_race
    with pytest.raises(ConflictError, match="revision 2"):
        await second.editor.propose(make_edit("loser", revision=1, share=0.3))
    assert second.replica.configuration.contracts["radio"].share == 0.2
    assert second.store.tables.read(CONFIGURATIONS, CHANGE_PREFIX + "loser") is None
    merged = make_edit("merged", revision=2, share=0.3)
    assert await second.editor.propose(merged) == 3


async def test_a_race_about_other_items_is_not_a_conflict(make_process):
    first, second = make_process(1), make_process(2)
    await first.replica.poll()
    await second.editor.propose(make_edit("a"))
    assert await first.editor.propose(make_edit("b", "tram")) == 2


async def test_a_refused_edit_never_takes_effect(make_process):
    process = make_process()
    with pytest.raises(DocumentError):
        await process.editor.propose(make_edit("a", share=1.5))
    process.store.down = True
    with pytest.raises(StoreUnavailable):
        await process.editor.propose(make_edit("b"))
    process.store.down = False
    await process.replica.poll()
    assert process.replica.version == 0


@pytest.mark.fault
async def test_a_fresh_process_is_current_by_its_peers_while_the_store_is_down(
    make_process,
):
    """An instance that is replaced during an outage must be able to accept work.

    Otherwise it would accept none for the hour that an outage may last. It must not
    accept work without any contracts either, so it waits until peers that are current
    have sent it their highest version.
    """
    old, fresh = make_process(), make_process()
    for number in range(3):
        await old.editor.propose(make_edit(str(number), f"customer-{number}"))
    fresh.store.down = True
    with pytest.raises(StoreUnavailable):
        await fresh.replica.poll()
    fresh.replica.note_peer_version("unconfirmed", 0, False)
    assert not fresh.replica.current
    fresh.replica.note_peer_version("old", 3, True)
    assert not fresh.replica.current and fresh.replica.missing_after == 0
    fresh.replica.add_items(old.replica.list_items(0))
    assert fresh.replica.current and fresh.replica.version == 3


async def test_peers_confirm_no_version_while_the_store_answers(make_process):
    """A peer that can't reach the store must not confirm an outdated version."""
    writer, fresh = make_process(), make_process()
    await writer.editor.propose(make_edit("a"))
    fresh.replica.note_peer_version("cut-off", 0, True)
    assert not fresh.replica.current
    await fresh.replica.poll()
    assert fresh.replica.current and fresh.replica.version == 1


@pytest.mark.fault
async def test_the_configuration_is_kept_through_an_hour_without_the_store(
    make_process,
):
    """Guards against contracts that are lost, reverted or can't be edited afterwards.

    The store is down for an hour, during which the process keeps polling. The next
    edit after the outage gets the version after the one from before.
    """
    process = make_process()
    await process.editor.propose(make_edit("a"))
    before = process.replica.configuration
    process.store.down = True
    for _ in range(1800):
        with pytest.raises(StoreUnavailable):
            await process.replica.poll()
    assert process.replica.configuration is before and process.replica.current
    process.store.down = False
    assert await process.editor.propose(make_edit("b", "tram")) == 2


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(data=st.data())
async def test_versions_never_decrease_in_any_order_of_entries(data):
    tables, objects, clock = LocalTables().tables, LocalObjects(), VirtualClock()
    writer = Process(tables, objects, clock)
    for number in range(12):
        await writer.editor.propose(make_edit(str(number), f"customer-{number}", 0, 0))
    items = list(writer.replica.list_items(0))
    reader = Process(tables, objects, clock, seed=1)
    versions = [0]
    order = st.lists(st.integers(0, len(items) - 1), max_size=30)
    for position in data.draw(order):
        reader.replica.add_items([items[position]])
        reader.replica.note_peer_version("peer", position, True)
        versions.append(reader.replica.version)
    assert versions == sorted(versions)
    wanted = reader.replica.missing_after
    if wanted is not None:
        reader.replica.add_items(writer.replica.list_items(wanted))
    await reader.replica.poll()
    assert reader.replica.configuration == writer.replica.configuration


async def test_a_process_far_behind_catches_up_from_a_snapshot(make_process):
    writer = make_process(snapshot_interval=5)
    for number in range(23):
        await writer.editor.propose(make_edit(str(number), f"customer-{number}", 0, 0))
    rows = writer.store.tables.scan(CONFIGURATIONS, "entry/", 1000)
    kept = [row for row in rows if row.key.startswith("entry/")]
    assert kept[0].key == build_entry_key(16)
    assert writer.store.tables.read(CONFIGURATIONS, CHANGE_PREFIX + "3") is None
    late, later = make_process(), make_process()
    await late.replica.poll()
    assert late.replica.configuration == writer.replica.configuration
    (snapshot, *_) = late.replica.list_items(2)
    later.replica.add_items([snapshot])
    assert later.replica.configuration == writer.replica.configuration
