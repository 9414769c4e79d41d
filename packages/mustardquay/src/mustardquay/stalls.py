"""Stalls: how long an engine may be silent before its work goes on elsewhere.

Answers engines that are lost without closing their connections. Their callers give up
after two seconds without an event. Only what may be resumed or has not been sent goes
on elsewhere: an engine that is merely slow may still answer the rest.
"""

from datetime import timedelta

from .placements import Placement
from .routing_tables import Route

__all__ = ["limit_reading", "limit_silence"]

PAUSES = 3
"""Pauses of the longest kind that is still on time, in one. Events come some 50 ms
apart, and 100 ms with 50 streams at an engine."""
LEAST_SILENCE = timedelta(milliseconds=450)
READING_SLACK = timedelta(milliseconds=400)
"""How much longer than expected a prompt may take to be read. Of 3,000 readings in a
day with bursts one in a hundred took 250 ms longer."""


def limit_silence(route: Route) -> timedelta | None:
    """Return the longest time without an event of a stream; None for no limit."""
    if not route.resumable:
        return None
    pause = route.longest_pause or timedelta()
    return max(pause * PAUSES, LEAST_SILENCE)


def limit_reading(placement: Placement) -> timedelta:
    """Return how long an engine may take to read a prompt."""
    expected = placement.wait_seconds + placement.read_seconds
    return timedelta(seconds=2 * expected) + READING_SLACK
