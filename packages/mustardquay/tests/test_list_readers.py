"""List readers: who reads the list of upstreams, and what the others believe."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest

from mustardquay.list_readers import (
    ArrivalDelays,
    ChangeWindow,
    ListFollower,
    ListNotice,
    ListRead,
    ListRow,
    ListTimings,
    NoticeUse,
    OutageReports,
    ReadDecider,
    ReaderSelection,
    ReadReason,
    ReadRow,
    RowVersions,
    is_older_record,
    rank_gateways,
    select_readers,
)
from mustardquay.store_eras import StorePosition
from mustardquay.upstream_lists import UpstreamRecord

TIMINGS = ListTimings(timedelta(seconds=3))
SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=50)
RECORD = UpstreamRecord(
    "e1", "llm", "10.0.0.1:80", "a", 12, False, started_ms=5, sequence=1
)


def make_zones(count, zones="abc"):
    chosen = [zones[n % len(zones)] for n in range(count)]
    return {f"{zone}-{n:03}": zone for n, zone in enumerate(chosen)}


def make_notice(sender="g1", number=1, base=0, version=0, rows=(), **changes):
    age = changes.pop("age", timedelta())
    era = changes.pop("era", 1)
    return ListNotice(sender, number, era, base, version, age, tuple(rows), **changes)


def make_read(before, version, *rows, is_whole=False, era=1, begun_at=timedelta()):
    known = None if before is None else StorePosition(era, before)
    position = StorePosition(era, version)
    return ListRead(known, position, rows, is_whole, begun_at)


def make_row(version, deleted=False, **changes):
    record = replace(RECORD, **changes)
    row = ListRow(record.id, b"value", version, deleted)
    return ReadRow(row, None if deleted else record)


@pytest.mark.parametrize("count", [17, 28, 100, 300])
def test_all_gateways_select_the_same_readers_in_different_zones(count):
    zones = make_zones(count)
    names = list(zones)
    Random(count).shuffle(names)
    readers = select_readers(rank_gateways(names), zones, 4)
    assert readers == select_readers(rank_gateways(list(zones)), zones, 4)
    assert len({zones[name] for name in readers[:3]}) == 3
    assert len(set(readers)) == 4


@pytest.mark.parametrize("count", [28, 100, 300])
def test_a_gateway_that_ends_changes_one_reader_at_most(count):
    """Guards against all readers changing when one gateway ends or starts."""
    zones = make_zones(count)
    before = set(select_readers(rank_gateways(list(zones)), zones, 4))
    for name in zones:
        left = {each: zone for each, zone in zones.items() if each != name}
        after = set(select_readers(rank_gateways(list(left)), left, 4))
        assert len(after - before) == (name in before)


@pytest.mark.parametrize("count", [1, 4, 16])
def test_a_small_fleet_has_no_readers(count):
    selection = ReaderSelection("a-000", 4, TIMINGS)
    selection.set_gateways(make_zones(count))
    selection.update(SECOND, True)
    assert not selection.is_shared
    assert selection.selected == []


class SelectionFleet:
    """Gateways of which some are silent, each with its own selection."""

    def __init__(self, count):
        self.zones = make_zones(count)
        self.selections = {
            name: ReaderSelection(name, 4, TIMINGS) for name in self.zones
        }
        self.silent = set()
        self.now = SECOND
        for each in self.selections.values():
            each.set_gateways(self.zones)

    def list_readers(self):
        return {
            name
            for name, each in self.selections.items()
            if each.is_reader and name not in self.silent
        }

    def run(self, seconds):
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.now += 4 * STEP
            for sender in self.list_readers():
                for name, each in self.selections.items():
                    if name != sender:
                        each.note_confirmed(sender, self.now, self.now)
            for each in self.selections.values():
                each.update(self.now, True)


@pytest.mark.parametrize("count", [28, 100, 300])
@pytest.mark.parametrize("lost", [1, 4])
def test_readers_that_are_not_heard_are_replaced_and_return(count, lost):
    """Guards against a fleet without readers once the selected ones have ended."""
    fleet = SelectionFleet(count)
    fleet.run(2)
    first = fleet.list_readers()
    assert len(first) == 4
    fleet.silent = set(sorted(first)[:lost])
    fleet.run(3.5)
    assert len(fleet.list_readers()) == 4
    fleet.silent = set()
    fleet.run(6)
    assert fleet.list_readers() == first


def test_a_gateway_that_hears_nobody_does_not_become_a_reader():
    """Guards against a divided network in which all gateways send to all."""
    selection = ReaderSelection("x", 1, TIMINGS)
    selection.set_gateways({**make_zones(28), "x": "a"})
    for step in range(200):
        selection.update(step * STEP, is_connected=False)
    assert not selection.is_reader


def test_heartbeats_are_not_reported():
    window = ChangeWindow(SECOND)
    window.note_read(make_read(None, 10, make_row(9), is_whole=True))
    window.note_read(make_read(10, 12, make_row(12, sequence=2)))
    content = window.build(timedelta())
    assert (content.base.version, content.position.version) == (10, 12)
    assert content.rows == ()


def test_a_change_is_repeated_until_the_window_has_passed():
    window = ChangeWindow(SECOND)
    window.note_read(make_read(None, 10, make_row(9), is_whole=True))
    window.note_read(make_read(10, 12, make_row(12, draining=True)))
    window.note_read(make_read(12, 14, make_row(14, draining=True, sequence=3)))
    content = window.build(SECOND)
    assert [row.version for row in content.rows] == [12]
    assert content.base.version == 10
    later = window.build(3 * SECOND)
    assert later.base == later.position
    assert later.rows == ()


def test_a_change_is_sent_twice():
    """Guards against the bandwidth of a list reader that serves hundreds of others."""
    window = ChangeWindow(SECOND)
    window.note_read(make_read(None, 10, make_row(9), is_whole=True))
    window.note_read(make_read(10, 11))
    window.note_read(make_read(11, 12, make_row(12, draining=True)))
    sent = [len(window.build(timedelta()).rows) for _ in range(3)]
    assert sent == [1, 1, 0]


def test_a_record_that_was_only_reported_counts_as_unknown():
    """Guards against a reader that omits a change that another one has reported.

    A gateway that had not received that report would believe that it has all changes.
    """
    window = ChangeWindow(SECOND)
    window.begin(StorePosition(1, 10), {"e1": None})
    window.note_read(make_read(10, 12, make_row(12, draining=True)))
    assert [row.version for row in window.build(timedelta()).rows] == [12]


def test_a_removal_is_found_by_a_read_of_all_rows():
    window = ChangeWindow(SECOND)
    window.note_read(make_read(None, 10, make_row(9), is_whole=True))
    window.note_read(make_read(10, 15, is_whole=True))
    (row,) = window.build(timedelta()).rows
    assert (row.key, row.version, row.deleted) == ("e1", 15, True)


def test_a_burst_of_changes_is_not_claimed():
    """Guards against hundreds of datagrams when all upstreams restart at once."""
    window = ChangeWindow(SECOND)
    rows = [make_row(9, id=f"e{n}") for n in range(300)]
    window.note_read(make_read(None, 10, *rows, is_whole=True))
    changed = [make_row(20, id=f"e{n}", draining=True) for n in range(300)]
    window.note_read(make_read(10, 20, *changed))
    content = window.build(timedelta())
    assert content.base == content.position == StorePosition(1, 20)
    assert content.rows == ()


@pytest.mark.parametrize("era, version", [(2, 30), (1, 5)])
def test_nothing_is_claimed_across_a_restore(era, version):
    window = ChangeWindow(SECOND)
    window.note_read(make_read(None, 10, make_row(9), is_whole=True))
    read = make_read(10, version, make_row(version), is_whole=True)
    window.note_read(replace(read, position=StorePosition(era, version)))
    content = window.build(timedelta())
    assert content.base == content.position == StorePosition(era, version)


def make_follower(version=10):
    follower = ListFollower()
    follower.note_read(make_read(None, version, is_whole=True))
    return follower


def test_a_notice_that_continues_the_list_confirms_it():
    follower = make_follower()
    row = ListRow("e1", b"", 12)
    use, rows = follower.take(make_notice(base=8, version=15, rows=[row]), SECOND)
    assert (use, list(rows)) == (NoticeUse.CONFIRMS, [row])
    assert follower.position == StorePosition(1, 15)
    assert follower.confirmed_at == SECOND


def test_a_missed_version_confirms_nothing():
    """Guards against a list that lacks a change whose datagrams were lost."""
    follower = make_follower()
    use, _ = follower.take(make_notice(base=12, version=15), SECOND)
    assert use is NoticeUse.GAP
    assert follower.position.version == 10
    assert follower.confirmed_at == timedelta()


def test_all_parts_of_a_notice_are_needed():
    follower = make_follower()
    parts = [make_notice(base=9, version=15, part=n, parts=3) for n in range(3)]
    uses = [follower.take(parts[n], SECOND)[0] for n in (2, 0, 0)]
    assert uses == [NoticeUse.PARTIAL] * 3
    assert follower.position.version == 10
    assert follower.take(parts[1], SECOND)[0] is NoticeUse.CONFIRMS


@pytest.mark.parametrize(
    "changes",
    [{}, {"base": 8}, {"version": 16}, {"number": 2}, {"sender": "g2"}, {"parts": 4}],
)
def test_parts_of_an_earlier_notice_do_not_complete_another(changes):
    """Guards against a list that lacks rows after a list reader has restarted.

    Its numbers start anew, so that a notice can have the number of an earlier one.
    """
    follower = make_follower()
    notice = {"base": 9, "version": 15, "parts": 3}
    for part in range(3):
        use, _ = follower.take(make_notice(**notice, part=part), SECOND)
    assert use is NoticeUse.CONFIRMS
    for part in range(2):
        again = make_notice(**notice | changes, part=part)
        assert follower.take(again, SECOND)[0] is NoticeUse.PARTIAL


@pytest.mark.parametrize("changes", [{"base": 8}, {"version": 16}, {"parts": 4}])
def test_parts_of_two_notices_with_one_number_are_not_joined(changes):
    """Guards against a restarted list reader whose notice has a number used before."""
    follower = make_follower()
    notice = {"base": 9, "version": 15, "parts": 3}
    for part in range(2):
        follower.take(make_notice(**notice, part=part), SECOND)
    last = make_notice(**notice | changes, part=2)
    assert follower.take(last, SECOND)[0] is NoticeUse.PARTIAL
    assert follower.position.version == 10


def test_rows_before_the_position_are_no_news():
    """Guards against a draining upstream that a late notice shows as ready."""
    follower = make_follower(version=20)
    row = ListRow("e1", b"", 12)
    assert follower.take(make_notice(base=5, version=15, rows=[row]), SECOND)[1] == []


def test_notices_of_another_era_are_not_applied():
    follower = make_follower()
    row = ListRow("e1", b"", 99)
    newer = make_notice(base=1, version=99, rows=[row], era=2)
    older = make_notice(base=1, version=99, rows=[row], era=0)
    assert follower.take(newer, SECOND) == (NoticeUse.NEWER_ERA, ())
    assert follower.take(older, SECOND) == (NoticeUse.IGNORED, ())
    assert follower.position == StorePosition(1, 10)


def test_a_store_that_counts_anew_resets_the_position():
    """Guards against notices that seem old for ever after a restore without an era."""
    follower = make_follower(version=20)
    follower.note_read(make_read(20, 5, is_whole=True))
    assert follower.position == StorePosition(1, 5)


def test_a_lower_version_of_a_later_read_confirms_nothing():
    """Guards against a stale list that counts as confirmed after a restore.

    The store was restored without a new era, so its versions are below the position.
    """
    follower = make_follower(version=1000)
    drain = ListRow("e1", b"", 905)
    notice = make_notice(base=900, version=905, rows=[drain])
    assert follower.take(notice, SECOND) == (NoticeUse.NEWER_ERA, [])
    assert follower.position == StorePosition(1, 1000)
    assert follower.confirmed_at == timedelta()


def test_a_lower_version_of_an_overlapping_read_causes_no_read():
    """Guards against needless reads: overlapping reads end in either order."""
    follower = make_follower(version=1000)
    notice = make_notice(base=900, version=999)
    assert follower.take(notice, STEP) == (NoticeUse.IGNORED, [])
    assert follower.confirmed_at == timedelta()
    assert follower.take(notice, timedelta())[0] is NoticeUse.CONFIRMS


def test_a_whole_read_after_the_newest_confirmation_resets_the_position():
    """Guards against a position that stays above all versions of a restored store.

    A whole read that is not continued from a position has no version to compare with.
    """
    follower = make_follower(version=1000)
    follower.take(make_notice(base=1000, version=1010), SECOND)
    follower.note_read(make_read(None, 905, is_whole=True, begun_at=SECOND))
    assert follower.position == StorePosition(1, 1010)
    follower.note_read(make_read(None, 905, is_whole=True, begun_at=SECOND + STEP))
    assert follower.position == StorePosition(1, 905)
    later = make_notice(base=900, version=906)
    assert follower.take(later, 2 * SECOND)[0] is NoticeUse.CONFIRMS


def test_a_read_in_flight_does_not_move_the_position_back():
    follower = make_follower()
    follower.take(make_notice(base=10, version=30), SECOND)
    follower.note_read(make_read(10, 20))
    assert follower.position == StorePosition(1, 30)


def test_reported_rows_are_newer_than_reads_that_began_before():
    versions = RowVersions()
    assert versions.note("e1", 1, 12, SECOND)
    assert not versions.note("e1", 1, 11, SECOND)
    assert versions.is_older("e1", 1, 11)
    assert not versions.is_older("e1", 1, 12)
    assert versions.find_newer(1, 11) == {"e1"}
    assert versions.find_newer(1, 12) == set()
    assert versions.find_newer(2, 1) == set()


def test_reported_versions_are_forgotten():
    versions = RowVersions()
    for number in range(100):
        versions.note(f"e{number}", 1, number, number * SECOND)
    assert len(versions) == 31


def test_only_the_same_incarnation_can_be_older():
    assert is_older_record(RECORD, replace(RECORD, sequence=2))
    assert not is_older_record(RECORD, RECORD)
    assert not is_older_record(RECORD, replace(RECORD, started_ms=9, sequence=2))
    assert not is_older_record(replace(RECORD, started_ms=0), RECORD)
    assert not is_older_record(RECORD, None)


def test_entries_are_kept_if_the_store_was_away_for_most_readers():
    """Guards against one bad connection that keeps ended upstreams everywhere."""
    reports = OutageReports(SECOND)
    grace = 2 * SECOND
    reports.note(make_notice("g1", grace=grace), SECOND)
    reports.note(make_notice("g2"), SECOND)
    reports.note(make_notice("g3"), SECOND)
    assert reports.find_grace(SECOND) == timedelta()
    reports.note(make_notice("g2", is_away=True), SECOND)
    assert reports.find_grace(SECOND) == grace
    assert reports.find_grace(3 * SECOND) == timedelta()


def test_a_datagram_that_waited_for_a_held_process_is_old():
    """Guards against a resumed gateway that takes old confirmations for new ones."""
    delays = ArrivalDelays(STEP, 5 * STEP)
    for step in range(1, 10):
        delays.note_tick(step * STEP)
    now = 9 * STEP + 2 * SECOND
    assert delays.measure(now) == 2 * SECOND
    delays.note_tick(now)
    assert delays.measure(now + STEP) >= 2 * SECOND
    delays.note_tick(now + STEP)
    assert delays.measure(now + 6 * STEP) < SECOND


class DecidingGateway:
    """One gateway of 28 that is no reader, and two readers that it hears."""

    def __init__(self, seed=1):
        zones = make_zones(28)
        readers = select_readers(rank_gateways(list(zones)), zones, 4)
        name = next(each for each in zones if each not in readers)
        self.selection = ReaderSelection(name, 4, TIMINGS)
        self.selection.set_gateways(zones)
        self.follower = ListFollower()
        self.decider = ReadDecider(self.selection, self.follower, TIMINGS, Random(seed))
        self.now = SECOND
        self.decide()

    def decide(self, is_restoring=False):
        self.selection.update(self.now, True)
        return self.decider.decide(self.now, is_restoring)

    def read(self):
        self.follower.note_read(make_read(None, 10, begun_at=self.now))
        self.decider.note_read(self.now)

    def hear(self, *senders, **changes):
        for sender in senders:
            notice = make_notice(sender, base=5, version=12, **changes)
            use, _ = self.follower.take(notice, self.now)
            if use is NoticeUse.CONFIRMS:
                self.decider.note_confirmed(sender, self.now)


def test_a_gateway_reads_until_two_readers_confirm_its_list():
    gateway = DecidingGateway()
    assert gateway.decide() is ReadReason.UNKNOWN
    gateway.hear("g1", "g2")
    assert gateway.decide() is ReadReason.UNKNOWN
    gateway.read()
    gateway.hear("g1")
    assert gateway.decide() is ReadReason.UNCONFIRMED
    gateway.hear("g2")
    assert gateway.decide() is ReadReason.NONE


def test_a_gateway_without_confirmations_reads_within_the_limit_and_its_jitter():
    """Guards against gateways that all read at the instant at which readers end."""
    delays = Counter()
    for seed in range(200):
        gateway = DecidingGateway(seed)
        gateway.read()
        gateway.hear("g1", "g2")
        gateway.decide()
        begun = gateway.now
        while gateway.decide() is ReadReason.NONE:
            gateway.now += timedelta(milliseconds=5)
        delays[(gateway.now - begun) // timedelta(milliseconds=50)] += 1
    limit = TIMINGS.confirmed_limit // timedelta(milliseconds=50)
    assert limit <= min(delays) <= max(delays) <= limit + 4
    assert max(delays.values()) < 90


def test_a_gap_makes_a_gateway_read():
    gateway = DecidingGateway()
    gateway.read()
    gateway.hear("g1", "g2")
    gateway.decide()
    for _ in range(20):
        gateway.now += STEP
        notice = make_notice("g1", base=50, version=60)
        assert gateway.follower.take(notice, gateway.now)[0] is NoticeUse.GAP
        reason = gateway.decide()
    assert reason is ReadReason.UNCONFIRMED


def test_a_restored_store_is_read_until_its_rows_are_checked():
    gateway = DecidingGateway()
    gateway.read()
    gateway.hear("g1", "g2")
    assert gateway.decide() is ReadReason.NONE
    gateway.decider.note_newer_era(gateway.now)
    assert gateway.decide() is ReadReason.ERA
    gateway.now += STEP
    gateway.read()
    assert gateway.decide(is_restoring=True) is ReadReason.ERA
    gateway.hear("g1", "g2")
    assert gateway.decide() is ReadReason.NONE


def test_the_bound_is_kept_by_the_sum_of_its_shares():
    """Guards against a change of one share that breaks the bound of the news."""
    slow_read = timedelta(milliseconds=300)
    waits = TIMINGS.confirmed_limit + TIMINGS.jitter + TIMINGS.tick
    assert waits + slow_read <= TIMINGS.news_bound
    assert TIMINGS.window > TIMINGS.confirmed_limit
    assert 3 * TIMINGS.confirm_interval <= TIMINGS.confirmed_limit
