"""Where streams began, who keeps that, and where they may go on."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given, strategies

from mustardquay.streams import (
    KEEPERS,
    GatewayRing,
    OriginRecord,
    OriginTable,
    StreamOrigin,
    VersionDoubts,
    VersionMarks,
    compute_stream_key,
    filter_continuing,
    find_only_origin,
    prefer_marked,
)
from mustardquay.upstream_lists import Stage, UpstreamRecord

OLD, NEW = StreamOrigin("app", "1"), StreamOrigin("app", "2")
SECOND = timedelta(seconds=1)
LIFETIME = 30 * SECOND


def make_upstream(id, version, stage=Stage.NONE):
    return UpstreamRecord(
        id, "app", "10.0.0.1:80", "a", 6, False, stage, software_version=version
    )


def test_an_origin_is_kept_as_long_as_its_longest_record():
    table = OriginTable()
    table.note(OriginRecord(1, OLD, 9 * SECOND), SECOND)
    table.note(OriginRecord(1, OLD, 2 * SECOND), 2 * SECOND)
    assert table.find(1, 9 * SECOND) == OLD
    assert table.find(1, 10 * SECOND) is None
    table.expire(10 * SECOND)
    assert len(table) == 0


def test_a_key_of_two_streams_stays_ambiguous():
    """Guards against two callers that use one id: the last one would name both."""
    table = OriginTable()
    for origin in (OLD, NEW, OLD):
        table.note(OriginRecord(1, origin, LIFETIME), SECOND)
    assert table.find(1, SECOND) is None
    assert table.is_ambiguous(1, SECOND)
    assert list(table.list_records(SECOND)) == []


def test_a_full_table_drops_its_oldest_records():
    table = OriginTable(capacity=3)
    for key in range(5):
        table.note(OriginRecord(key, OLD, LIFETIME), SECOND)
    assert [table.find(key, SECOND) is None for key in range(5)] == [True] * 2 + [
        False
    ] * 3


def test_the_ids_of_two_organisations_are_not_confused():
    assert compute_stream_key("r1", "a") != compute_stream_key("r1", "b")
    assert compute_stream_key("r1", "") == compute_stream_key("r1", None)


@given(
    strategies.sets(strategies.text(min_size=1), max_size=20),
    strategies.integers(0, 2**64 - 1),
)
def test_keepers_are_different_gateways(names, key):
    keepers = GatewayRing(names).find_keepers(key)
    assert len(set(keepers)) == len(keepers) == min(KEEPERS, len(names))
    assert set(keepers) <= names


@pytest.mark.parametrize("count", [28, 1000])
def test_few_streams_change_their_keepers_with_one_gateway(count):
    """Guards against a list that moves most origins when a gateway comes or goes."""
    names = [f"front-{n}" for n in range(count)]
    before, after = GatewayRing(names), GatewayRing(names[1:])
    keys = [compute_stream_key(str(n), None) for n in range(2000)]
    moved = sum(before.find_keepers(key) != after.find_keepers(key) for key in keys)
    kept_there = sum(names[0] in before.find_keepers(key) for key in keys)
    assert moved == kept_there
    load = Counter(name for key in keys for name in before.find_keepers(key))
    assert sum(load.values()) == KEEPERS * len(keys)


def test_a_stream_goes_on_at_its_version_whoever_prefills():
    old, new = make_upstream("a", "1"), make_upstream("b", "2")
    reader = make_upstream("c", "2", Stage.PREFILL)
    assert filter_continuing([old, new, reader], OLD) == [old, reader]


def test_a_version_without_a_mark_is_used_only_if_no_other_can_run():
    old, new = make_upstream("a", "1"), make_upstream("b", "2")
    reader = make_upstream("c", "1", Stage.PREFILL)

    def is_old(upstream):
        return upstream.software_version == "1"

    assert prefer_marked([old, new, reader], is_old) == [old, reader]
    assert prefer_marked([new, reader], is_old) == [new, reader]


@pytest.mark.parametrize(
    "marked, listed, is_known",
    [
        ({"1"}, {"1"}, True),
        ({"1"}, set(), True),
        (set(), {"1"}, False),
        ({"1", "2"}, {"1"}, False),
        ({"1"}, {"2"}, False),
        ({"1"}, {"1", "2"}, False),
    ],
)
def test_an_origin_follows_only_from_the_only_marked_version(marked, listed, is_known):
    marks = VersionMarks(frozenset(marked), 1)
    found = find_only_origin("app", marks, listed)
    assert found == (OLD if is_known else None)


def test_an_upstream_that_was_unreachable_is_in_doubt_until_it_writes_on():
    """Guards against a stream that goes on at an upstream started again as another."""
    doubts, record = VersionDoubts(), replace(make_upstream("a", "1"), sequence=5)
    assert doubts.is_certain(record)
    doubts.note_unreachable(record)
    assert not doubts.is_certain(record)
    assert filter_continuing([record], OLD, doubts.is_certain) == []
    # The next record may have been written before the upstream ended.
    assert not doubts.is_certain(replace(record, sequence=6))
    assert doubts.is_certain(replace(record, sequence=7))
    assert doubts.is_certain(record)
    doubts.note_unreachable(record)
    assert doubts.is_certain(replace(record, started_ms=9, sequence=1))
