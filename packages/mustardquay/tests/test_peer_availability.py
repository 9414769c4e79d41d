"""Which gateways serve callers while some of them are stopping."""

from datetime import timedelta

from mustardquay.peer_availability import (
    MEMBER_LIFETIME,
    MIN_RESTART_TIME,
    PROBE_INTERVAL,
    RESTART_TIME,
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


def test_states_of_a_gateway():
    peers = PeerAvailability()
    peers.apply_digest(digest(1), SECOND)
    probed_at = SECOND + PROBE_INTERVAL
    assert peers.list_members(SECOND) == [Member("g2", "a", AWAY, probed_at)]
    peers.apply_digest(digest(2), probed_at)
    assert peers.list_members(probed_at) == [Member("g2", "a", READY, probed_at)]
    peers.apply_digest(digest(3, is_ready=False, ends_in=3 * SECOND), probed_at)
    ends_at = probed_at + 3 * SECOND
    assert peers.list_members(probed_at) == [Member("g2", "a", LEAVING, ends_at)]
    silent = probed_at + 1.5 * DIGEST_LIFETIME
    back_at = probed_at + RESTART_TIME
    assert peers.list_members(silent) == [Member("g2", "a", AWAY, back_at)]
    late = probed_at + MEMBER_LIFETIME
    assert peers.list_members(late)[0].changes_at == late + MIN_RESTART_TIME
    assert peers.list_members(late + SECOND) == []


def test_digests_out_of_order_are_dropped():
    peers = PeerAvailability()
    peers.apply_digest(digest(2, ends_in=3 * SECOND), SECOND)
    peers.apply_digest(digest(1), SECOND)
    assert peers.list_members(SECOND)[0].state is LEAVING


def test_unready_gateways_are_routed_below_half_of_a_zone():
    """Guards against failed connections for one in ten requests of a zone.

    Two of three gateways of a zone were stopping, so that the load balancer sent
    callers to all of them; the two had stopped listening 2.6 s after the begin of their
    stops.
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


def test_routed_gateways_stop_early_one_at_a_time():
    """Guards against a simultaneous outage of all gateways that are stopped together.

    None of them had requests left, and each ended as if it were the only one.
    """
    others = [member("g2", LEAVING, 5), member("g3", LEAVING, 6)]
    assert may_stop_early("g1", others)
    assert not may_stop_early("g4", others)
    assert may_stop_early("g4", [member("g1")])
    assert not may_stop_early("g1", [*others, member("g4", AWAY)])
    assert may_stop_early("g1", [])


def test_retry_delay_ends_when_a_gateway_is_ready():
    now, end = 10 * SECOND, 12 * SECOND
    assert find_retry_delay([member("g2")], end, SECOND, now) == timedelta()
    leaving = [member("g2", LEAVING, 16)]
    assert find_retry_delay(leaving, end, 5 * SECOND, now) == timedelta()
    assert find_retry_delay(leaving, end, 9 * SECOND, now) == 2 * SECOND + RESTART_TIME
    away = [member("g2", AWAY, 11)]
    assert find_retry_delay(away, end, SECOND, now) == SECOND
    assert find_retry_delay([], end, SECOND, now) == 2 * SECOND + RESTART_TIME
