from datetime import timedelta

from mustardquay.upstream_lists import (
    RESTORE_GRACE,
    Stage,
    UpstreamList,
    UpstreamRecord,
)

NOW = timedelta(seconds=100)
OUTAGE = timedelta(seconds=4)
"""Long enough for records of live upstreams to expire."""


def make_record(id, draining=False, service="app"):
    return UpstreamRecord(id, service, "10.0.0.1:80", "a", 6, draining, Stage.NONE)


def test_draining_upstreams_get_no_new_work():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one"), make_record("two", draining=True)], NOW)
    assert [each.id for each in upstreams.list_usable("app")] == ["one"]
    assert upstreams.get("two").draining


def test_a_removed_record_removes_its_upstream():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one")], NOW)
    assert upstreams.remove("one", NOW)
    assert upstreams.list_usable("app") == []


def test_records_are_kept_after_an_outage():
    """Guards against refusals although every upstream is serving.

    During an outage of the store, upstreams can't renew their records for some seconds.
    When the store recovers, the list is empty, and the records are written again only
    two seconds later.
    """
    upstreams = UpstreamList()
    upstreams.replace([make_record("one"), make_record("two")], NOW)
    upstreams.end_outage(OUTAGE, NOW)
    assert upstreams.replace([], NOW) == []
    assert len(upstreams.list_usable("app")) == 2

    upstreams.put(make_record("one"))
    later = NOW + RESTORE_GRACE
    assert [each.id for each in upstreams.expire(later)] == ["two"]
    assert [each.id for each in upstreams.list_usable("app")] == ["one"]


def test_a_short_loss_of_the_store_keeps_no_removed_record():
    """Guards against a gateway that still sends to an upstream which has left.

    One failed call to the store is no outage in which records expire.
    """
    upstreams = UpstreamList()
    upstreams.replace([make_record("one")], NOW)
    upstreams.end_outage(timedelta(seconds=1.2), NOW)
    assert upstreams.remove("one", NOW)


def test_draining_upstreams_get_no_grace():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one", draining=True)], NOW)
    upstreams.end_outage(OUTAGE, NOW)
    assert upstreams.remove("one", NOW)


def test_an_unread_list_is_not_known():
    upstreams = UpstreamList()
    assert not upstreams.is_known
    upstreams.replace([], NOW)
    assert upstreams.is_known


def test_a_longer_grace_period_of_list_readers_counts():
    """Guards against an upstream that only the gateways that read the list keep."""
    upstreams = UpstreamList()
    upstreams.replace([make_record("one")], NOW)
    upstreams.extend_grace(NOW + RESTORE_GRACE)
    upstreams.extend_grace(NOW)
    assert not upstreams.remove("one", NOW + RESTORE_GRACE / 2)
    assert [each.id for each in upstreams.expire(NOW + RESTORE_GRACE)] == ["one"]


def test_kept_upstreams_stay_in_a_replaced_list():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one"), make_record("two")], NOW)
    gone = upstreams.replace([make_record("three")], NOW, kept={"two"})
    assert [each.id for each in gone] == ["one"]
    assert {each.id for each in upstreams} == {"two", "three"}
