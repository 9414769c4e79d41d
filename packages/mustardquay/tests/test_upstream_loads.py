from collections import Counter
from datetime import timedelta
from random import Random

from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads, choose_plain

NOW = timedelta(seconds=50)


def make_upstreams(*zones):
    return [
        UpstreamRecord(f"u{number}", "app", f"10.0.0.{number}:80", zone, 6, False)
        for number, zone in enumerate(zones)
    ]


def test_an_upstream_that_fails_is_left_alone_and_tried_again():
    """Every third request fails although two of three upstreams are well.

    One upstream answers its health checks and fails what it is sent, and the gateway
    goes on choosing it in turn.
    """
    upstreams = make_upstreams("a", "a", "a")
    book = UpstreamLoads()
    random = Random(1)
    sick_sends = 0
    for step in range(3000):
        now = NOW + timedelta(milliseconds=10 * step)
        chosen = choose_plain(upstreams, book, now, "a", random)
        book.begin(chosen.id)
        is_sick = chosen.id == "u1"
        sick_sends += is_sick
        book.end(chosen.id, is_sick, now)
    assert 3 <= sick_sends <= 30


def test_errors_that_all_upstreams_give_eject_nobody():
    upstreams = make_upstreams("a", "a", "a")
    book = UpstreamLoads()
    random = Random(2)
    for step in range(600):
        now = NOW + timedelta(milliseconds=10 * step)
        chosen = choose_plain(upstreams, book, now, "a", random)
        book.begin(chosen.id)
        assert not book.end(chosen.id, random.random() < 0.07, now)


def test_the_shortest_queue_wins_and_the_own_zone_goes_first():
    upstreams = make_upstreams("a", "b", "b")
    book = UpstreamLoads()
    random = Random(3)
    chosen = Counter(
        choose_plain(upstreams, book, NOW, "a", random).id for _ in range(20)
    )
    assert chosen == {"u0": 20}
    for _ in range(3):
        book.begin("u0")
    assert choose_plain(upstreams, book, NOW, "a", random).id in ("u1", "u2")


def test_when_all_are_ejected_a_place_is_still_not_refused():
    upstreams = make_upstreams("a")
    book = UpstreamLoads()
    book.note_unreachable("u0", NOW)
    assert choose_plain(upstreams, book, NOW, "a", Random(4)).id == "u0"
    assert choose_plain(upstreams, book, NOW, "a", Random(4), ["u0"]) is None


def test_an_upstream_that_fails_for_an_hour_can_still_be_chosen():
    """Requests fail with a fault of the gateway.

    An engine is lost for long, each try doubles its pause, and the pause grows past
    what a duration can hold.
    """
    book = UpstreamLoads()
    for step in range(2_000):
        now = NOW + timedelta(seconds=step)
        book.begin("u0")
        book.end("u0", True, now)
        book.note_refusal("u0", now)
    assert not book.get("u0").is_ejected(now + timedelta(seconds=5))


def test_an_upstream_out_of_reach_counts_as_lost_until_it_answers():
    book = UpstreamLoads()
    book.note_unreachable("u0", NOW)
    assert not book.is_lost("u0", NOW)
    later = NOW + timedelta(seconds=1)
    assert book.is_lost("u0", later)
    book.note_reached("u0", later)
    assert not book.is_lost("u0", later)
