"""Graceful stops in cases where their assumptions about other gateways fail."""

from datetime import timedelta

from mustardquay.peer_availability import (
    MEMBER_LIFETIME,
    PeerAvailability,
    find_retry_delay,
    is_still_routed,
    may_stop_early,
)
from mustardquay.peer_digests import DIGEST_LIFETIME, PeerDigest
from mustardquay.route_times import MIN_SAMPLES, RouteTimes

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


def receive(peers, name, now, zone="a", **changes):
    digest = PeerDigest(name, 1, 1, 1, availability_zone=zone, **changes)
    peers.apply_digest(digest, now)


def test_two_gateways_that_end_together_do_not_both_end_early():
    """Guards against two gateways that exit early at the same time.

    Their stops end a few milliseconds apart, and a digest takes a few milliseconds, so
    that by the times alone each gateway would be the first to end.
    """
    ends = {"g1": 7201 * MILLISECOND, "g2": 7199 * MILLISECOND}
    now, way = 3 * SECOND, 2 * MILLISECOND
    for late in range(0, 400):
        shifted = {name: end + late * MILLISECOND for name, end in ends.items()}
        views = {"g1": PeerAvailability(), "g2": PeerAvailability()}
        receive(
            views["g1"], "g2", now + way, ends_in=shifted["g2"] - now, is_ready=False
        )
        receive(
            views["g2"], "g1", now + way, ends_in=shifted["g1"] - now, is_ready=False
        )
        later = now + 2 * way
        both = [
            may_stop_early(name, peers.list_members(later))
            for name, peers in views.items()
        ]
        assert sum(both) == 1, (late, both)


def test_callers_retry_with_a_delay_after_a_missed_return():
    """Guards against refused callers that retry repeatedly without any delay.

    A gateway was silent for longer than a restart usually takes, so that its expected
    return is in the past.
    """
    peers = PeerAvailability()
    receive(peers, "g2", timedelta())
    now = MEMBER_LIFETIME - SECOND
    assert now > DIGEST_LIFETIME
    members = peers.list_members(now)
    assert find_retry_delay(members, now + 5 * SECOND, 9 * SECOND, now) > timedelta()


def test_a_long_generation_is_not_estimated_as_a_short_one():
    """Guards against accepting a generation that takes longer than estimated.

    The number of tokens in a request is an upper bound. Earlier requests ended after a
    tenth of theirs: 20 events, where this one may have 200.
    """
    times = RouteTimes()
    token = timedelta(milliseconds=20)
    for _ in range(MIN_SAMPLES):
        times.note("r", SECOND, token, 20 * token, events=20)
    longest = times.find_longest("r", SECOND)
    assert longest.predict_stream(200) >= token + 200 * token


def test_a_gateway_counts_as_ready_only_after_a_probe():
    """Guards against callers being refused, or finding no gateway, for up to a second.

    The load balancer probes each second whether a gateway is ready. Until it has probed
    a new gateway, it routes callers to all gateways of the zone, including one that is
    stopping and would accept nothing more because of the new gateway's digest.
    """
    peers = PeerAvailability()
    receive(peers, "g2", SECOND, is_ready=False)
    assert is_still_routed("a", peers.list_members(SECOND))
    ready = PeerDigest("g2", 2, 1, 1, availability_zone="a", is_ready=True)
    peers.apply_digest(ready, 2 * SECOND)
    assert is_still_routed("a", peers.list_members(2 * SECOND + 50 * MILLISECOND))


def test_the_first_gateway_of_a_zone_in_a_large_fleet_is_still_routed():
    """Guards against a gateway that refuses all callers while they are routed to it.

    Each of 40 gateways sends digests to the 16 that follow it by name, so that the
    first one of a zone gets none from its own zone; 8 of the 13 there are stopping.
    """
    from mustardquay_node.peers import list_recipients

    names = [f"{zone}-{index:02}" for zone in "abc" for index in range(13)]
    own = "b-00"
    peers = PeerAvailability()
    for name in names:
        if name != own and own in list_recipients(name, set(names) - {name}):
            stops = name.startswith("b") and name < "b-08"
            left = 5 * SECOND if stops else None
            receive(peers, name, SECOND, name[0], is_ready=not stops, ends_in=left)
    assert is_still_routed("b", peers.list_members(SECOND))
