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


def test_a_failing_upstream_is_ejected_and_probed():
    """Guards against failures of every third request while two of three upstreams work.

    One upstream passes its health checks but fails all requests, and the gateway
    continues to choose it in turn.
    """
    upstreams = make_upstreams("a", "a", "a")
    loads = UpstreamLoads()
    random = Random(1)
    failing_sends = 0
    for step in range(3000):
        now = NOW + timedelta(milliseconds=10 * step)
        chosen = choose_plain(upstreams, loads, now, "a", random)
        loads.begin(chosen.id)
        has_failed = chosen.id == "u1"
        failing_sends += has_failed
        loads.end(chosen.id, has_failed, now)
    assert 3 <= failing_sends <= 30


def test_errors_common_to_all_upstreams_eject_none():
    upstreams = make_upstreams("a", "a", "a")
    loads = UpstreamLoads()
    random = Random(2)
    for step in range(600):
        now = NOW + timedelta(milliseconds=10 * step)
        chosen = choose_plain(upstreams, loads, now, "a", random)
        loads.begin(chosen.id)
        assert not loads.end(chosen.id, random.random() < 0.07, now)


def test_the_shortest_queue_and_the_own_zone_are_preferred():
    upstreams = make_upstreams("a", "b", "b")
    loads = UpstreamLoads()
    random = Random(3)
    chosen = Counter(
        choose_plain(upstreams, loads, NOW, "a", random).id for _ in range(20)
    )
    assert chosen == {"u0": 20}
    for _ in range(3):
        loads.begin("u0")
    assert choose_plain(upstreams, loads, NOW, "a", random).id in ("u1", "u2")


def test_ejected_upstreams_are_used_when_no_others_are_left():
    upstreams = make_upstreams("a")
    loads = UpstreamLoads()
    loads.note_unreachable("u0", NOW)
    assert choose_plain(upstreams, loads, NOW, "a", Random(4)).id == "u0"
    assert choose_plain(upstreams, loads, NOW, "a", Random(4), ["u0"]) is None


def test_long_failures_do_not_overflow_the_ejection_time():
    """Guards against an internal error of the gateway.

    An engine is lost for long. Each attempt doubled the ejection time, which overflowed
    the range of a timedelta.
    """
    loads = UpstreamLoads()
    for step in range(2_000):
        now = NOW + timedelta(seconds=step)
        loads.begin("u0")
        loads.end("u0", True, now)
        loads.note_refusal("u0", now)
    assert not loads.get("u0").is_ejected(now + timedelta(seconds=5))


def test_an_unreachable_upstream_is_lost_until_it_answers():
    loads = UpstreamLoads()
    loads.note_unreachable("u0", NOW)
    assert not loads.is_lost("u0", NOW)
    later = NOW + timedelta(seconds=1)
    assert loads.is_lost("u0", later)
    loads.note_reached("u0", later)
    assert not loads.is_lost("u0", later)
