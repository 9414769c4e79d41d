"""All gateways know within the contact time what has crashed three upstreams."""

import pytest
from simulated_crash_news import NewsFleet, measure

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
