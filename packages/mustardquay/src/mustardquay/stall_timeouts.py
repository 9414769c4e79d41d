"""Stall timeouts: how long an upstream may send nothing before it is suspected.

Detects upstreams that are silent without closing their connections. What follows from
a suspicion is decided in `silences`.
"""

from datetime import timedelta

from .placements import Placement
from .routing_tables import Repeat, Route

__all__ = ["find_first_event_timeout", "find_idle_timeout", "find_prefill_timeout"]

IDLE_PAUSES = 3
"""Number of the longest pauses allowed by a route after which a stream counts as
stalled. Events come about 50 ms apart, and 100 ms with 50 streams on an engine."""
MIN_IDLE_TIMEOUT = timedelta(milliseconds=450)
ANSWER_TARGETS = 3
"""Number of latency targets of a route after which a short answer is overdue."""
MIN_PREFILL_SLACK = timedelta(milliseconds=400)
"""Minimum time by which a prefill may exceed its estimate. Of 3,000 prefills in a day
with bursts, one in a hundred took 250 ms longer."""


def find_idle_timeout(route: Route) -> timedelta:
    """Return the usual time without a byte, of a stream or before a short answer."""
    if route.repeat is not Repeat.STREAM:
        return max(route.latency_target * ANSWER_TARGETS, MIN_IDLE_TIMEOUT)
    pause = route.longest_pause or timedelta()
    return max(pause * IDLE_PAUSES, MIN_IDLE_TIMEOUT)


def find_prefill_timeout(route: Route, placement: Placement) -> timedelta:
    """Return how long an engine may take to prefill a prompt.

    Based on all of its outstanding prefill, since more urgent prompts precede this one
    even if they arrive later. Guards against cancelling work on a healthy engine: with
    the queueing time by rank alone, 24 to 100 prefills a day were cancelled needlessly
    and started again at the end of another queue.
    """
    work = max(placement.work_seconds, placement.wait_seconds)
    expected = work + placement.prefill_seconds
    slack = max(MIN_PREFILL_SLACK, route.latency_target)
    return timedelta(seconds=2 * expected) + slack


def find_first_event_timeout(route: Route, placement: Placement) -> timedelta:
    """Return how long an engine that also prefills may take to its first event."""
    prefill_timeout = find_prefill_timeout(route, placement)
    first = prefill_timeout + timedelta(seconds=placement.first_seconds)
    return max(find_idle_timeout(route), first)
