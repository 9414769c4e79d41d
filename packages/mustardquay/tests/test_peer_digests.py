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
    book = PeerDigests()
    assert book.apply_digest(make_digest("g1", 5, 0.1), NOW)
    assert book.apply_digest(make_digest("g2", 1, 0.2), NOW)
    assert not book.apply_digest(make_digest("g1", 4, 9.0), NOW)
    assert round(book.get_prefill_seconds("e"), 3) == 0.3
    assert book.get_running("e") == 4


def test_a_gateway_that_starts_anew_is_heard_though_it_counts_from_one():
    book = PeerDigests()
    book.apply_digest(make_digest("g1", 500, 0.4), NOW)
    assert book.apply_digest(make_digest("g1", 1, 0.0, incarnation=2), NOW)
    assert book.get_prefill_seconds("e") == 0


def test_the_work_of_a_gateway_that_is_lost_is_forgotten():
    """Free engines are refused for good after the loss of a gateway.

    It had told of work that it can't tell the end of any more.
    """
    book = PeerDigests()
    book.apply_digest(make_digest("g1", 1, 5.0), NOW)
    book.expire(NOW + DIGEST_LIFETIME)
    assert book.get_prefill_seconds("e") == 5.0
    book.expire(NOW + DIGEST_LIFETIME + timedelta(milliseconds=1))
    assert book.get_prefill_seconds("e") == 0


def test_gateways_that_are_not_heard_count_as_much_as_the_others():
    """Guards against engines that are overrun where only some gateways are heard."""
    book = PeerDigests()
    book.apply_digest(make_digest("g1", 1, 0.2), NOW)
    book.apply_digest(make_digest("g2", 1, 0.4), NOW)
    book.unreported_ratio = 0.5
    assert round(book.get_prefill_seconds("e"), 3) == 0.9
    assert book.get_running("e") == 6


def test_what_was_told_and_taken_back_leaves_nothing():
    """Guards against work that stays in the sums for good."""
    book = PeerDigests()
    for number in range(1, 200):
        book.apply_digest(make_digest("g1", number, 0.1 * number), NOW)
        book.apply_digest(make_digest("g2", number, 0.7 / number), NOW)
    book.expire(NOW + 2 * DIGEST_LIFETIME)
    assert book.get_prefill_seconds("e") == 0
    assert book.get_running("e") == 0
