"""Where what a stop relies on does not hold."""

from datetime import timedelta

from mustardquay.peer_availability import (
    MEMBER_LIFETIME,
    PeerAvailability,
    find_retry_delay,
    is_still_routed,
    may_stop_early,
)
from mustardquay.peer_digests import DIGEST_LIFETIME, PeerDigest
from mustardquay.route_times import LEAST_SAMPLES, RouteTimes

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


def hear(book, name, now, zone="a", **changes):
    digest = PeerDigest(name, 1, 1, 1, availability_zone=zone, **changes)
    book.apply_digest(digest, now)


def test_two_gateways_that_end_together_do_not_both_end_early():
    """Two gateways leave at once though one at a time should.

    Their ends are a few milliseconds apart, and a digest takes some milliseconds, so
    that each sees its own end before the other's.
    """
    ends = {"g1": 7201 * MILLISECOND, "g2": 7199 * MILLISECOND}
    now, way = 3 * SECOND, 2 * MILLISECOND
    for late in range(0, 400):
        shifted = {name: end + late * MILLISECOND for name, end in ends.items()}
        books = {"g1": PeerAvailability(), "g2": PeerAvailability()}
        hear(books["g1"], "g2", now + way, ends_in=shifted["g2"] - now, is_ready=False)
        hear(books["g2"], "g1", now + way, ends_in=shifted["g1"] - now, is_ready=False)
        later = now + 2 * way
        both = [
            may_stop_early(name, book.list_members(later))
            for name, book in books.items()
        ]
        assert sum(both) == 1, (late, both)


def test_a_gateway_that_stays_away_draws_nobody_back_at_once():
    """Refused callers come back at once, again and again, to nobody.

    A gateway that has been silent for longer than it usually takes to come back is
    expected in the past.
    """
    book = PeerAvailability()
    hear(book, "g2", timedelta())
    now = MEMBER_LIFETIME - SECOND
    assert now > DIGEST_LIFETIME
    members = book.list_members(now)
    assert find_retry_delay(members, now + 5 * SECOND, 9 * SECOND, now) > timedelta()


def test_a_longer_generation_is_not_held_for_a_short_one():
    """A stop takes a generation that then lasts longer than was foretold.

    The number of tokens that a request names is the most that may come. Those before
    it ended after a tenth of theirs: 20 events of the 200 that it may have.
    """
    times = RouteTimes()
    token = timedelta(milliseconds=20)
    for _ in range(LEAST_SAMPLES):
        times.note("r", SECOND, token, 20 * token, events=20)
    longest = times.find_longest("r", SECOND)
    assert longest.expect_stream(200) >= token + 200 * token


def test_a_gateway_that_has_just_become_ready_does_not_yet_relieve_others():
    """Callers are refused, or find nobody, for up to a second.

    The balancer asks each second whether a gateway is ready. Until it has asked a
    successor, it goes on sending callers to all gateways of the zone, also to one
    that stops and takes nothing more since it has heard of the successor.
    """
    book = PeerAvailability()
    hear(book, "g2", SECOND, is_ready=False)
    assert is_still_routed("a", book.list_members(SECOND))
    ready = PeerDigest("g2", 2, 1, 1, availability_zone="a", is_ready=True)
    book.apply_digest(ready, 2 * SECOND)
    assert is_still_routed("a", book.list_members(2 * SECOND + 50 * MILLISECOND))


def test_the_first_of_a_zone_of_a_large_fleet_knows_that_it_is_needed():
    """A gateway refuses all while the balancer sends it callers.

    Of 40 gateways each tells the 16 that follow it by name, so that the first one of a
    zone hears nobody of its own zone; 8 of the 13 there stop.
    """
    from mustardquay_node.peers import list_recipients

    names = [f"{zone}-{index:02}" for zone in "abc" for index in range(13)]
    own = "b-00"
    book = PeerAvailability()
    for name in names:
        if name != own and own in list_recipients(name, set(names) - {name}):
            stops = name.startswith("b") and name < "b-08"
            left = 5 * SECOND if stops else None
            hear(book, name, SECOND, name[0], is_ready=not stops, ends_in=left)
    assert is_still_routed("b", book.list_members(SECOND))
