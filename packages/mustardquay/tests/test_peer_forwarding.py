"""Which gateway gets a long request, and whether it is worth forwarding."""

from collections import Counter
from datetime import timedelta
from random import Random

import pytest

from mustardquay.peer_digests import DIGEST_LIFETIME, PeerDigest
from mustardquay.peer_forwarding import ForwardingPeers, saves_link_time

NOW = timedelta(seconds=100)
SLOW, MEDIUM, FAST = 5.0, 12.5, 100.0
"""Rates of links in Mbit/s."""
PROMPT = 9_200
"""Bytes of a long prompt with its headers."""
TARGET = 0.235
"""Seconds from a prompt's arrival to the first event of its answer."""


def make_digest(name, link_rate, **changes):
    fields = {"availability_zone": "a", "forward_port": 7101, "number": 1}
    fields |= changes
    number = fields.pop("number")
    return PeerDigest(name, 1, number, 1, link_rate=link_rate, **fields)


def make_peers(link_rate=SLOW, *digests):
    peers = ForwardingPeers("a", link_rate)
    for digest in digests:
        peers.apply_digest(digest, NOW)
    return peers


def choose(peers, now=NOW, seed=1, version=1):
    return peers.choose(now, Random(seed), version)


@pytest.mark.parametrize(("version", "chosen"), [(1, "g"), (2, None)])
def test_a_gateway_with_an_older_configuration_is_left_out(version, chosen):
    """Guards against a request that is run as only an older version allows."""
    peers = make_peers(SLOW, make_digest("g", FAST))
    assert choose(peers, version=version) == chosen


def test_a_gateway_on_a_faster_link_is_chosen():
    peers = make_peers(SLOW, make_digest("fast", FAST), make_digest("slow", SLOW))
    assert choose(peers) == "fast"


@pytest.mark.parametrize(
    "changes",
    [
        {"is_ready": False},
        {"is_busy": True},
        {"ends_in": timedelta(seconds=5)},
        {"availability_zone": "b"},
        {"forward_port": 0},
    ],
)
def test_gateways_that_take_no_requests_are_left_out(changes):
    """Guards against requests to a gateway that stops or can't keep up."""
    peers = make_peers(SLOW, make_digest("g", FAST))
    peers.apply_digest(make_digest("g", FAST, number=2, **changes), NOW)
    assert choose(peers) is None


def test_a_silent_gateway_is_left_out():
    """Guards against requests to a gateway that was killed or cut off."""
    peers = make_peers(SLOW, make_digest("g", FAST))
    assert choose(peers, NOW + DIGEST_LIFETIME) == "g"
    assert choose(peers, NOW + 1.1 * DIGEST_LIFETIME) is None


def test_a_gateway_that_could_not_be_reached_rests():
    """Guards against a row of attempts at a gateway that has just ended."""
    peers = make_peers(SLOW, make_digest("g", FAST))
    peers.note_failure("g", NOW)
    assert choose(peers) is None
    later = NOW + timedelta(seconds=1.1)
    peers.apply_digest(make_digest("g", FAST, number=2), later)
    assert choose(peers, later) == "g"


@pytest.mark.parametrize("rate", [float("inf"), float("nan"), 1e12, -1.0])
def test_an_impossible_rate_is_not_believed(rate):
    """Guards against a wrong setting at one gateway that fails requests of others."""
    peers = make_peers(SLOW, make_digest("wrong", rate), make_digest("g", FAST))
    assert choose(peers) == "g"


def test_no_request_goes_in_a_circle():
    """Guards against gateways that forward to each other."""
    rates = [1.0, SLOW, 6.0, MEDIUM, 25.0, FAST]
    for own in rates:
        peers = make_peers(own, *(make_digest(str(rate), rate) for rate in rates))
        chosen = choose(peers)
        assert chosen is None or float(chosen) > own


def test_a_gateway_without_a_known_rate_forwards_nothing():
    assert choose(make_peers(0.0, make_digest("g", FAST))) is None
    assert not saves_link_time(1_000_000, 0.0)


def play(rates, per_second, is_forwarding, seconds=20, seed=1):
    """Return the share of prompts whose sends end in time, of all gateways.

    Each gateway gets as many callers, whatever its link. A prompt takes its link twice
    where it is placed, and once where it is forwarded; engines take 60 ms.
    """
    random = Random(seed)
    now, in_time, count = 0.0, 0, 0
    free_at = [0.0] * len(rates)
    forwarders = [ForwardingPeers("a", rate) for rate in rates]
    for number, rate in enumerate(rates):
        for each in forwarders:
            each.apply_digest(make_digest(str(number), rate), timedelta())

    def send(gateway, times):
        seconds = times * PROMPT * 8 / (rates[gateway] * 1e6)
        free_at[gateway] = max(free_at[gateway], now) + seconds
        return free_at[gateway] - now

    while now < seconds:
        now += random.expovariate(per_second)
        gateway = random.randrange(len(rates))
        chosen = None
        if is_forwarding and saves_link_time(PROMPT, rates[gateway]):
            chosen = forwarders[gateway].choose(timedelta(), random, 1)
        if chosen is None:
            waited = send(gateway, 2)
        else:
            waited = send(gateway, 1) + send(int(chosen), 2)
        count += 1
        in_time += waited + 0.06 <= TARGET
    return in_time / count


@pytest.mark.parametrize("gateways", [4, 28, 100])
def test_prompts_are_in_time_on_links_of_very_different_rates(gateways):
    """Guards against callers who wait for a slow link while fast ones are idle.

    Half of the gateways have a twentieth of the others' rate, and together they get a
    tenth more than their links carry.
    """
    slow = gateways // 2
    rates = [SLOW] * slow + [FAST] * (gateways - slow)
    per_second = 1.1 * gateways * SLOW * 1e6 / (2 * PROMPT * 8)
    before = play(rates, per_second, is_forwarding=False)
    after = play(rates, per_second, is_forwarding=True)
    assert before < 0.75
    assert after >= 0.95


def test_choices_follow_the_rates_of_links():
    peers = make_peers(SLOW, make_digest("g1", FAST), make_digest("g2", FAST / 4))
    random = Random(1)
    chosen = Counter(peers.choose(NOW, random, 1) for _ in range(1000))
    assert 0.7 < chosen["g1"] / 1000 < 0.9
