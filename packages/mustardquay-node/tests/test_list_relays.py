"""Lists of upstreams kept up to date by few list readers, in virtual time."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from list_reader_faults import (
    FAULTS,
    RESTORE_FAULT,
    cut_readers_from_the_store,
    kill_all_readers,
    lose_datagrams,
    mute_all_readers,
    play_fault,
    slow_the_store,
    stop_the_store,
)
from simulated_list_readers import HEARTBEAT, SimulatedAdapter, run_fleet

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.list_readers import ListNotice, ListRow
from mustardquay.list_readers.change_windows import MAX_BYTES, ROW_OVERHEAD
from mustardquay.store_eras import StorePosition
from mustardquay.upstream_lists import RESTORE_GRACE, ListSource, UpstreamList
from mustardquay_node.adapters import StoreRow
from mustardquay_node.list_relays import decode_notice, encode_notice
from mustardquay_node.list_relays.frames import (
    LAYOUT,
    NOTICE_PREFIX,
    PART_BYTES,
    SCHEMA,
)
from mustardquay_node.upstream_list_updaters import UpstreamListUpdater

BOUND = 1.5
"""Seconds from the store's answer to a draining record to each gateway's list."""
ONCE = [1]
SEEDS = [1, 2]
LARGE_FAULTS = [
    kill_all_readers,
    mute_all_readers,
    cut_readers_from_the_store,
    stop_the_store,
    slow_the_store,
    lose_datagrams,
]
DIVIDING = {"cut_readers_from_the_store", "cut_half_from_the_store"}
"""Faults in which a small fleet, which has no list readers, knows no new upstreams."""


def check_fault(fault, gateways, seed):
    """Harm a fleet; check that each gateway knew of each drain within the bound."""
    outdated = []

    async def play(fleet):
        await play_fault(fault)(fleet)
        outdated.extend(fleet.list_outdated())
        assert fleet.list_regressions() == []

    fleet = run_fleet(play, gateways, seed=seed)
    assert len(fleet.delays) > 10
    assert max(fleet.delays) <= BOUND
    assert outdated == []
    if fault.__name__ not in DIVIDING:
        assert fleet.dropped == set()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_drain_is_known_in_a_small_fleet(fault, seed):
    check_fault(fault, 4, seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_drain_is_known_in_time_whatever_fails(fault, seed):
    """Guards against prompts to engines that have said they leave."""
    check_fault(fault, 28, seed)


@pytest.mark.parametrize("fault", LARGE_FAULTS, ids=lambda fault: fault.__name__)
def test_a_drain_is_known_in_time_at_a_hundred_gateways(fault):
    check_fault(fault, 100, 1)


def test_a_drain_is_known_in_time_at_three_hundred_gateways():
    check_fault(kill_all_readers, 300, 1)


@pytest.mark.parametrize("gateways, seed", [(4, 1), (4, 2), (28, 1), (28, 2), (100, 1)])
def test_a_restored_store_makes_no_gateway_go_back(gateways, seed):
    """Guards against a copy by which a draining upstream gets work again.

    What the store acknowledged since the copy is lost until the next heartbeat of the
    upstream, which is added to the bound.
    """
    outdated = []

    async def play(fleet):
        await play_fault(RESTORE_FAULT)(fleet)
        outdated.extend(fleet.list_outdated())
        assert fleet.list_regressions() == []

    fleet = run_fleet(play, gateways, seed=seed)
    assert max(fleet.delays) <= BOUND + HEARTBEAT
    assert fleet.dropped == set()
    assert outdated == []


def test_calls_to_the_store_do_not_grow_with_the_fleet():
    """Guards against gateways that read though list readers confirm their lists."""

    async def play(fleet):
        await asyncio.sleep(5)
        fleet.store.calls.clear()
        await asyncio.sleep(10)

    small, large = (run_fleet(play, count) for count in (28, 100))
    assert len(small.store.calls) == len(large.store.calls) == 4
    assert abs(small.store.calls.total() - large.store.calls.total()) <= 4
    assert run_fleet(play, 28, readers=0).store.calls.total() > 330


def test_upstreams_that_lapsed_in_an_outage_are_kept_by_all():
    """Guards against gateways that refuse requests after an outage as others read.

    All records lapse while the store is away. A gateway that doesn't read the list
    hears of their removal from readers, and must keep them as these do.
    """
    known = []

    async def play(fleet):
        await asyncio.sleep(4)
        fleet.store.is_down = True
        await asyncio.sleep(3.6)
        fleet.store.is_down = False
        fleet.store.expire()
        assert fleet.store.rows == {}
        for _ in range(20):
            await asyncio.sleep(0.1)
            known.append({len(list(each.list)) for each in fleet.members.values()})

    run_fleet(play, 28)
    assert known == [{27}] * 20


def list_events(member, kind):
    return [each.details for each in member.events.list_events() if each.kind == kind]


def test_the_log_says_who_reads_and_why():
    async def play(fleet):
        await asyncio.sleep(4)
        follower = next(
            each for each in fleet.members.values() if not each.relay.is_reading
        )
        (selected,) = list_events(follower, "list.readers")
        assert sorted(selected["readers"].split(",")) == sorted(fleet.list_readers())
        assert list_events(follower, "list.following")[-1]["confirmers"] >= 2
        fleet.muted.update(fleet.members)
        await asyncio.sleep(1.1)
        begun = list_events(follower, "list.reading")[-1]
        assert begun["reason"] == "unconfirmed"
        assert begun["confirmers"] == 0
        assert 750 <= begun["age_ms"] <= 1_000
        assert begun["before_s"] > 2

    run_fleet(play, 28)


def make_rows(count, size):
    random = Random(1)
    return tuple(
        ListRow(f"engine-{n:03}", random.randbytes(size), n + 1, n % 3 == 0)
        for n in range(count)
    )


@pytest.mark.parametrize("count, size", [(0, 0), (1, 950), (20, 250), (9, 700)])
def test_a_notice_is_split_into_datagrams_and_read_back(count, size):
    notice = ListNotice(
        "gateway-a-001",
        7,
        2,
        2**40,
        2**40 + 9,
        timedelta(milliseconds=380),
        make_rows(count, size),
        grace=timedelta(seconds=2),
        is_away=True,
    )
    datagrams = encode_notice(notice)
    assert max(map(len, datagrams)) <= 1_400
    parts = [decode_notice(each) for each in datagrams]
    assert [each.part for each in parts] == list(range(len(parts)))
    assert {each.parts for each in parts} == {len(parts)}
    assert sum((each.rows for each in parts), ()) == notice.rows
    assert (parts[0].age, parts[0].grace) == (notice.age, notice.grace)
    assert (parts[0].base, parts[0].version) == (notice.base, notice.version)


@pytest.mark.parametrize("count", [0, 3])
def test_damaged_datagrams_are_ignored(count):
    """Guards against a datagram that ends the receiver, or has an impossible range."""
    rows = make_rows(count, 100)
    data = encode_notice(ListNotice("g", 1, 1, 1, 2, timedelta(), rows))[0]
    random = Random(1)
    for _ in range(5_000):
        end = random.randrange(1, len(data) + 1)
        damaged = bytearray(data[:end])
        damaged[random.randrange(end)] = random.randrange(256)
        notice = decode_notice(bytes(damaged))
        # Datagrams have no checksum of their own, so a changed value can't be found,
        # but each notice that is not refused must be consistent.
        assert notice is None or notice.part < notice.parts <= 11
        assert notice is None or notice.base <= notice.version


@pytest.mark.parametrize(
    "part, parts, base, version, is_valid",
    [
        (0, 1, 7, 7, True),
        (10, 11, 7, 8, True),
        (0, 12, 7, 8, False),
        (0, 65_535, 7, 8, False),
        (0, 0, 7, 8, False),
        (2, 2, 7, 8, False),
        (0, 1, 8, 7, False),
    ],
)
def test_inconsistent_notices_are_refused(part, parts, base, version, is_valid):
    """Guards against parts without end and against ranges that go backwards."""
    built = SCHEMA.Notice.new_message()
    built.layout, built.sender = LAYOUT, "g"
    built.part, built.parts = part, parts
    built.base, built.version = base, version
    data = NOTICE_PREFIX + built.to_bytes_packed()
    assert (decode_notice(data) is not None) == is_valid


def test_the_largest_notice_of_a_reader_is_read_back():
    """Guards against a limit of parts below what a list reader sends."""
    size = PART_BYTES // 2
    rows = make_rows(MAX_BYTES // size, size - ROW_OVERHEAD - len("engine-000") + 1)
    datagrams = encode_notice(ListNotice("g", 1, 1, 1, 99, timedelta(), rows))
    assert len(datagrams) == 11
    assert None not in [decode_notice(each) for each in datagrams]


class UpdatedList:
    """A list with its updater, fed by a store and by list readers."""

    def __init__(self):
        self.clock = VirtualClock()
        self.list = UpstreamList()
        self.updater = UpstreamListUpdater(
            SimulatedAdapter,
            self.list,
            EventRing("g1", HybridClock(self.clock)),
            self.clock,
            lambda id: None,
            lambda record: None,
        )

    def read(self, version, *rows, is_whole=False, era=1):
        self.updater.apply_rows(rows, is_whole, StorePosition(era, version))

    def report(self, *rows, era=1):
        reported = [ListRow(r.key, r.value, r.version, r.deleted) for r in rows]
        self.updater.apply_reported(reported, era)

    def is_draining(self, id="e1"):
        return self.list.get(id).draining


def make_row(version, draining=False, sequence=1, deleted=False, key="e1"):
    value = b'{"born": 5, "seq": %d, "draining": %s}' % (
        sequence,
        b"true" if draining else b"false",
    )
    return StoreRow(key, b"" if deleted else value, version, deleted)


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_read_that_began_before_a_report_does_not_undo_it(is_whole):
    """Guards against new work for a draining engine after a slow read."""
    updated = UpdatedList()
    updated.read(9, make_row(9), is_whole=True)
    updated.report(make_row(12, draining=True, sequence=3))
    updated.read(10, make_row(10, sequence=2), is_whole=is_whole)
    assert updated.is_draining()


def test_a_read_that_began_before_a_reported_removal_does_not_undo_it():
    updated = UpdatedList()
    updated.read(9, make_row(9), is_whole=True)
    updated.report(make_row(12, deleted=True))
    updated.read(10, make_row(10, sequence=2), is_whole=True)
    assert updated.list.get("e1") is None


def test_a_read_that_began_before_a_reported_start_keeps_the_upstream():
    updated = UpdatedList()
    updated.read(9, is_whole=True)
    updated.report(make_row(12))
    updated.read(10, is_whole=True)
    assert updated.list.get("e1") is not None
    updated.read(13, is_whole=True)
    assert updated.list.get("e1") is None


def test_an_older_report_does_not_undo_a_newer_one():
    updated = UpdatedList()
    updated.report(make_row(12, draining=True, sequence=3))
    updated.report(make_row(11, sequence=2))
    assert updated.is_draining()


def test_an_earlier_record_of_an_incarnation_is_never_used():
    """Guards against a store that returns older rows without a new era."""
    updated = UpdatedList()
    updated.read(9, make_row(9, draining=True, sequence=8), is_whole=True)
    updated.report(make_row(12, sequence=7))
    updated.read(13, make_row(13, sequence=6), is_whole=True)
    assert updated.is_draining()


def test_a_store_that_counts_anew_is_believed():
    """Guards against reported versions that hide the rows of a restored store."""
    updated = UpdatedList()
    updated.report(make_row(12, draining=True, sequence=3))
    updated.read(2, make_row(2, sequence=9), is_whole=True, era=2)
    assert not updated.is_draining()


def test_a_reported_removal_in_the_grace_period_keeps_the_upstream_for_a_time():
    updated = UpdatedList()
    updated.read(9, make_row(9), is_whole=True)
    updated.updater.extend_grace(RESTORE_GRACE)
    updated.report(make_row(12, deleted=True))
    updated.read(13, is_whole=True)
    assert updated.list.get("e1") is not None
    updated.clock.advance(RESTORE_GRACE)
    updated.updater.expire()
    assert updated.list.get("e1") is None


def test_a_confirmation_names_its_source():
    updated = UpdatedList()
    updated.read(9, make_row(9), is_whole=True)
    updated.clock.advance(timedelta(seconds=1))
    updated.updater.note_confirmed(updated.clock.monotonic())
    assert updated.list.confirmation.source is ListSource.PEER
