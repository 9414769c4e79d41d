from datetime import timedelta

from mustardquay.upstream_lists import (
    RESTORE_GRACE,
    Stage,
    UpstreamList,
    UpstreamRecord,
)

NOW = timedelta(seconds=100)


def make_record(id, draining=False, service="app"):
    return UpstreamRecord(id, service, "10.0.0.1:80", "a", 6, draining, Stage.NONE)


def test_draining_upstreams_get_no_new_work():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one"), make_record("two", draining=True)], NOW)
    assert [each.id for each in upstreams.list_usable("app")] == ["one"]
    assert upstreams.get("two").draining


def test_a_record_that_is_removed_ends_the_work_at_once():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one")], NOW)
    assert upstreams.remove("one", NOW)
    assert upstreams.list_usable("app") == []


def test_upstreams_stay_while_they_may_come_back_after_an_outage():
    """Callers are refused although every upstream serves.

    The store is out of service for some seconds, and the upstreams can't renew their
    records. When it answers again, the list is empty, and the records are back only
    two seconds later.
    """
    upstreams = UpstreamList()
    upstreams.replace([make_record("one"), make_record("two")], NOW)
    upstreams.begin_grace(NOW)
    assert upstreams.replace([], NOW) == []
    assert len(upstreams.list_usable("app")) == 2

    upstreams.put(make_record("one"))
    later = NOW + RESTORE_GRACE
    assert [each.id for each in upstreams.expire(later)] == ["two"]
    assert [each.id for each in upstreams.list_usable("app")] == ["one"]


def test_an_upstream_that_was_leaving_gets_no_grace():
    upstreams = UpstreamList()
    upstreams.replace([make_record("one", draining=True)], NOW)
    upstreams.begin_grace(NOW)
    assert upstreams.remove("one", NOW)


def test_a_list_that_was_never_read_is_not_an_empty_list():
    upstreams = UpstreamList()
    assert not upstreams.is_known
    upstreams.replace([], NOW)
    assert upstreams.is_known
