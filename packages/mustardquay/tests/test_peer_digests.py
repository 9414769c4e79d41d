from datetime import timedelta

from mustardquay.peer_digests import (
    DIGEST_LIFETIME,
    EngineDigest,
    PeerDigest,
    PeerDigests,
)

NOW = timedelta(seconds=9)


def make_digest(gateway, number, seconds, incarnation=1):
    engines = (EngineDigest("e", (seconds,), 2),)
    return PeerDigest(gateway, incarnation, number, 3, engines)


def test_the_newest_digest_of_each_gateway_counts():
    peers = PeerDigests()
    assert peers.apply_digest(make_digest("g1", 5, 0.1), NOW)
    assert peers.apply_digest(make_digest("g2", 1, 0.2), NOW)
    assert not peers.apply_digest(make_digest("g1", 4, 9.0), NOW)
    assert round(peers.get_prefill_seconds("e"), 3) == 0.3
    assert peers.get_running("e") == 4


def test_digests_of_a_new_incarnation_replace_older_ones():
    peers = PeerDigests()
    peers.apply_digest(make_digest("g1", 500, 0.4), NOW)
    assert peers.apply_digest(make_digest("g1", 1, 0.0, incarnation=2), NOW)
    assert peers.get_prefill_seconds("e") == 0


def test_digests_expire():
    """Guards against permanent refusals at idle engines after the loss of a gateway.

    Its last digest contained outstanding work whose end it can't report any more.
    """
    peers = PeerDigests()
    peers.apply_digest(make_digest("g1", 1, 5.0), NOW)
    peers.expire(NOW + DIGEST_LIFETIME)
    assert peers.get_prefill_seconds("e") == 5.0
    peers.expire(NOW + DIGEST_LIFETIME + timedelta(milliseconds=1))
    assert peers.get_prefill_seconds("e") == 0


def test_work_of_unreported_gateways_is_extrapolated():
    """Guards against overloaded engines where some digests don't arrive."""
    peers = PeerDigests()
    peers.apply_digest(make_digest("g1", 1, 0.2), NOW)
    peers.apply_digest(make_digest("g2", 1, 0.4), NOW)
    peers.unreported_ratio = 0.5
    assert round(peers.get_prefill_seconds("e"), 3) == 0.9
    assert peers.get_running("e") == 6


def test_sums_return_to_zero():
    """Guards against outstanding work that remains in the sums permanently."""
    peers = PeerDigests()
    for number in range(1, 200):
        peers.apply_digest(make_digest("g1", number, 0.1 * number), NOW)
        peers.apply_digest(make_digest("g2", number, 0.7 / number), NOW)
    peers.expire(NOW + 2 * DIGEST_LIFETIME)
    assert peers.get_prefill_seconds("e") == 0
    assert peers.get_running("e") == 0
