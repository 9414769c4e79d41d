"""All gateways know within the contact time what has crashed three upstreams."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from simulated_crash_news import NewsFleet, make_upstream, measure

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay_node.crash_suspects import CrashReporter
from mustardquay_node.crash_suspects.body_exchanges import BodyExchange
from mustardquay_node.digest_frames import DATAGRAM_LIMIT, decode_crashes

CONTACT = 3.0
"""Seconds after the third crash in which requests may still reach upstreams."""


@pytest.mark.parametrize("in_flight", [8, 64, 400])
@pytest.mark.parametrize("size", [2, 4, 28, 100])
def test_a_request_that_crashed_three_upstreams_is_known_everywhere(size, in_flight):
    """Guards against news that waits behind that of all that was in flight with it."""
    _, p99, unheard, _ = measure(size, False, in_flight, seconds=CONTACT)
    assert unheard == 0 and p99 < CONTACT


def test_many_crashes_at_a_time_are_known_everywhere():
    fleet = NewsFleet(28)
    bad = [fleet.random.getrandbits(64) for _ in range(12)]
    for each in bad:
        fleet.crash(64, [each])
    assert fleet.play(bad, CONTACT) == 0


class Link:
    """A link that keeps what is sent."""

    names = ["g1", "g2"]

    def __init__(self):
        self.sent = []

    def add_channel(self, prefix, receive):
        pass

    def send_to(self, data, names):
        self.sent.append(data)


async def test_no_datagram_of_news_is_fragmented():
    """Guards against news of which the loss of one fragment loses all."""
    clock = VirtualClock()
    clock.advance(timedelta(seconds=100))
    reporter = CrashReporter(clock, EventRing("g", HybridClock(clock), 10))
    link = Link()
    exchange = BodyExchange("g1", reporter, link, Random(1))
    exchange.start()
    requests = range(2**63, 2**63 + 12)
    for number in range(8):
        for fingerprint in requests:
            upstream = make_upstream(2**39 + number)
            reporter.note_broken_send(upstream, fingerprint, text=2**62 + fingerprint)
        reporter.note_upstream_lost(upstream.id)
    async with asyncio.timeout(5):
        while reporter.has_news:
            await asyncio.sleep(0.01)
    await exchange.close()
    assert max(map(len, link.sent)) <= DATAGRAM_LIMIT
    told = {record.fingerprint for data in link.sent for record in decode(data)}
    assert told == set(requests)


def decode(data):
    return decode_crashes(data[1:])
