"""What gateways have to know of parts of prompts is told in time."""

from datetime import timedelta

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.crash_suspects import PartReporter
from mustardquay_node.crash_suspects.part_exchanges import NEWS_INTERVAL

CONTACT = timedelta(seconds=3)
"""Time within which all gateways must know what has crashed engines."""
SPREAD = timedelta(seconds=0.5)
"""Time in which news that was told once reaches all gateways."""
REQUESTS, CRASHES = 600, 3


def test_parts_of_all_that_was_in_flight_in_three_crashes_are_told_in_time():
    """Guards against news that waits behind that of all that was in flight with it."""
    clock = VirtualClock()
    clock.advance(timedelta(seconds=100))
    reporter = PartReporter(clock, EventRing("g", HybridClock(clock), 10))
    for number in range(REQUESTS):
        id = f"u{number % CRASHES}"
        upstream = UpstreamRecord(id, "llm", "127.0.0.1:1", "a", 400, False)
        reporter.note_broken_send(upstream, (number,))
    for number in range(CRASHES):
        reporter.note_upstream_lost(f"u{number}")
    told, took = set(), timedelta()
    while records := reporter.take_records():
        took += NEWS_INTERVAL
        if took <= CONTACT - SPREAD:
            told |= {record.part for record in records}
    assert told >= set(range(REQUESTS))
