"""Which gateways take callers while some of them stop."""

from datetime import timedelta

from mustardquay.peer_availability import (
    BALANCER_PACE,
    COMEBACK_TIME,
    LEAST_COMEBACK,
    MEMORY,
    Member,
    MemberState,
    PeerAvailability,
    find_retry_delay,
    is_still_routed,
    may_stop_early,
)
from mustardquay.peer_digests import DIGEST_LIFETIME, PeerDigest

SECOND = timedelta(seconds=1)
READY, LEAVING, AWAY = MemberState.READY, MemberState.LEAVING, MemberState.AWAY


def member(name, state=READY, changes_at=0.0, zone="a"):
    return Member(name, zone, state, changes_at * SECOND)


def digest(number=1, **changes):
    return PeerDigest("g2", 1, number, 1, availability_zone="a", **changes)


def test_a_gateway_is_ready_leaving_or_away():
    book = PeerAvailability()
    book.apply_digest(digest(1), SECOND)
    asked_at = SECOND + BALANCER_PACE
    assert book.list_members(SECOND) == [Member("g2", "a", AWAY, asked_at)]
    book.apply_digest(digest(2), asked_at)
    assert book.list_members(asked_at) == [Member("g2", "a", READY, asked_at)]
    book.apply_digest(digest(3, is_ready=False, ends_in=3 * SECOND), asked_at)
    ends_at = asked_at + 3 * SECOND
    assert book.list_members(asked_at) == [Member("g2", "a", LEAVING, ends_at)]
    silent = asked_at + 1.5 * DIGEST_LIFETIME
    back_at = asked_at + COMEBACK_TIME
    assert book.list_members(silent) == [Member("g2", "a", AWAY, back_at)]
    late = asked_at + MEMORY
    assert book.list_members(late)[0].changes_at == late + LEAST_COMEBACK
    assert book.list_members(late + SECOND) == []


def test_a_digest_that_was_overtaken_changes_nothing():
    book = PeerAvailability()
    book.apply_digest(digest(2, ends_in=3 * SECOND), SECOND)
    book.apply_digest(digest(1), SECOND)
    assert book.list_members(SECOND)[0].state is LEAVING


def test_fewer_than_half_of_a_zone_need_those_that_stop():
    """One gateway in ten requests of a zone got no connection.

    Two of three gateways of a zone stopped, so that the balancer asked all of it; the
    two had closed their doors 2.6 s into their stops.
    """
    assert is_still_routed("a", [member("g2"), member("g3", LEAVING)])
    assert not is_still_routed("a", [member("g2"), member("g3")])
    assert not is_still_routed("a", [member("g2")])


def test_a_zone_without_a_ready_gateway_is_served_by_another_one():
    assert not is_still_routed("a", [member("g2", zone="b")])
    assert is_still_routed("a", [member("g2", LEAVING, zone="b")])
    one_of_three = [member("g2", zone="b"), member("g3", AWAY, zone="b")]
    assert is_still_routed("a", [*one_of_three, member("g4", LEAVING, zone="b")])
    assert is_still_routed("a", [])


def test_gateways_that_are_needed_end_early_one_at_a_time():
    """All gateways of a site are away at the same time, as all were told to stop.

    They had nothing to wait for, and each ended as if it were the only one.
    """
    others = [member("g2", LEAVING, 5), member("g3", LEAVING, 6)]
    assert may_stop_early("g1", others)
    assert not may_stop_early("g4", others)
    assert may_stop_early("g4", [member("g1")])
    assert not may_stop_early("g1", [*others, member("g4", AWAY)])
    assert may_stop_early("g1", [])


def test_refused_callers_come_back_when_somebody_is_there():
    now, end = 10 * SECOND, 12 * SECOND
    assert find_retry_delay([member("g2")], end, SECOND, now) == timedelta()
    leaving = [member("g2", LEAVING, 16)]
    assert find_retry_delay(leaving, end, 5 * SECOND, now) == timedelta()
    assert find_retry_delay(leaving, end, 9 * SECOND, now) == 2 * SECOND + COMEBACK_TIME
    away = [member("g2", AWAY, 11)]
    assert find_retry_delay(away, end, SECOND, now) == SECOND
    assert find_retry_delay([], end, SECOND, now) == 2 * SECOND + COMEBACK_TIME
