"""Stall timeouts: how long an engine may be silent before its work goes on elsewhere.

Answers engines that are lost without closing their connections. Their callers give up
after two seconds without an event. Only what may be resumed or has not been sent goes
on elsewhere: an engine that is merely slow may still answer the rest.
"""

from datetime import timedelta

from .placements import Placement
from .routing_tables import Route

__all__ = ["find_first_event_timeout", "find_prefill_timeout", "find_idle_timeout"]

PAUSES = 3
"""Pauses of the longest kind that is still on time, in one. Events come some 50 ms
apart, and 100 ms with 50 streams at an engine."""
LEAST_SILENCE = timedelta(milliseconds=450)
LEAST_READING_SLACK = timedelta(milliseconds=400)
"""How much longer than expected a prompt may take to be read, at least. Of 3,000
readings in a day with bursts one in a hundred took 250 ms longer."""


def find_idle_timeout(route: Route) -> timedelta | None:
    """Return the longest time without an event of a stream; None for no limit."""
    if not route.resumable:
        return None
    pause = route.longest_pause or timedelta()
    return max(pause * PAUSES, LEAST_SILENCE)


def find_prefill_timeout(route: Route, placement: Placement) -> timedelta:
    """Return how long an engine may take to read a prompt.

    From all that it has to read, since more urgent prompts go before this one also
    when they come later. Guards against work that is taken from an engine that lives:
    with the wait by rank alone, 24 to 100 readings of a day were cut for nothing and
    began again at the end of another queue.
    """
    work = max(placement.work_seconds, placement.wait_seconds)
    expected = work + placement.prefill_seconds
    slack = max(LEAST_READING_SLACK, route.latency_target)
    return timedelta(seconds=2 * expected) + slack


def find_first_event_timeout(route: Route, placement: Placement) -> timedelta | None:
    """Return how long an engine that also reads may take to its first event."""
    silence = find_idle_timeout(route)
    if silence is None:
        return None
    reading = find_prefill_timeout(route, placement)
    return max(silence, reading + timedelta(seconds=placement.first_seconds))
