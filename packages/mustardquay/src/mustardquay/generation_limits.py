"""Generation limits: which generations are refused, and when they should come back.

Answers bursts that ask for more than the engines can read. A long queue would make
all answers late. So no more is read in turn than can still be answered in time. What is
late anyway is read behind it, while it takes no places from others; the rest is told at
once when to come back.
"""

from datetime import timedelta
from random import Random

from .placements import Placement
from .routing_tables import Route

__all__ = [
    "admits_generation",
    "admits_late",
    "admits_rate_limit_wait",
    "draw_retry_delay",
    "is_retry",
    "rank_generation",
]

TARGET_SHARE = 0.85
"""Part of a route's target that waiting for rate limits and the first event may fill;
the rest is for the reading of a usual prompt and the way to the caller."""
LEAST_TURN_SHARE = 0.3
"""Part of the target that is always accepted as wait for rate limits, also where the
first event leaves less."""
CALLER_SHARE = 0.05
"""Part of the target for the ways between the caller and this process, which are not in
the times that it measures."""
LIGHT_READ_SHARE = 0.06
"""Part of the target: reading that delays others by less than their answers vary."""
LIGHT_SHARE = 0.1
"""Part of its time that a prompt of such a reading may wait: the tokens after it take
most of the rest."""
FULL_OCCUPANCY = 1.6
"""Part of an engine's places up to which short answers are sent there. Those beyond
its places wait, before long answers of a lower rank; some 40 are through in 0.2 s."""
LONG_OCCUPANCY = 1.2
"""The same for long answers, which hold their places for seconds. When few engines are
left to generate, short answers would wait for one of them until their deadline."""
LONG_ANSWER = 0.9
"""Seconds of its stream, at the longest that it may become, from which an answer is
long: it holds its place for longer than a caller waits for a short one."""
FRESH_SHARE = 0.95
"""Part of the route's timeout below which the time left shows a caller that has been
here before, or that waits for less than others. Callers that come anew have it all."""
LATE_RANK = 5
"""Rank from which generations wait whose answers can't be in time, ordered by the rank
of their route; engines know 0 to 9."""
LATE_OCCUPANCY = 0.5
"""Part of the places of an engine that reads up to which late prompts are sent there.
Those that hold places are read behind others, but no other gets their places."""
LATE_GENERATING = 1.0
"""The same of an engine that generates, which knows no rank among its streams."""
LATE_WAIT_SHARE = 0.5
"""Part of its time that a request may wait whose answer is late anyway; the other half
is for reading and generating."""
EARLIEST_RETURN = timedelta(milliseconds=250)
"""Time in which the queue that was in the way is read, twice over."""
RETURN_SPREAD = timedelta(milliseconds=350)
"""Returns are drawn over this time, so that those refused together don't meet again.
Callers follow a hint of at most a third of the time that they have left."""


def admits_generation(
    route: Route, placement: Placement, time_left: timedelta, rest: timedelta
) -> bool:
    """Return whether the answer is expected in time.

    `rest` is the time that answers take beside what is expected of them, as learned.

    What counts is the wait, not the reading: large prompts must not be refused more
    often than small ones. Only what is read in a moment waits longer: to refuse it
    makes room for nobody.
    """
    if _is_full(placement) or not admits_rate_limit_wait(route, placement):
        return False
    target = route.latency_target.total_seconds()
    taken = placement.usual_seconds + placement.first_seconds + rest.total_seconds()
    bound = (1 - CALLER_SHARE) * target - taken
    if placement.prefill_seconds <= LIGHT_READ_SHARE * target:
        bound = max(bound, LIGHT_SHARE * time_left.total_seconds())
    return placement.delay_seconds <= bound


def admits_rate_limit_wait(route: Route, placement: Placement) -> bool:
    """Return whether rate limits of engines let a generation be sent soon enough.

    The bound is the same for all: who may wait longer would take each turn before it
    is free, and nobody else would be served.
    """
    return placement.limit_wait_seconds <= _bound_turn(route, placement)


def _bound_turn(route: Route, placement: Placement) -> float:
    """Return the seconds for which rate limits may hold a generation up."""
    target = route.latency_target.total_seconds()
    return max(
        TARGET_SHARE * target - placement.first_seconds, LEAST_TURN_SHARE * target
    )


def admits_late(route: Route, placement: Placement, time_left: timedelta) -> bool:
    """Return whether an answer that can't be in time is expected before the deadline.

    Engines read such prompts behind all others, so that they take nobody's place.
    """
    if _is_full(placement) or not admits_rate_limit_wait(route, placement):
        return False
    if placement.reader_occupancy > LATE_OCCUPANCY:
        return False
    if placement.occupancy > LATE_GENERATING:
        return False
    return placement.wait_seconds <= LATE_WAIT_SHARE * time_left.total_seconds()


def is_retry(route: Route, time_allowed: timedelta) -> bool:
    """Return whether a caller has been here before, by the time that it has left."""
    return time_allowed < FRESH_SHARE * route.timeout


def rank_generation(route: Route, is_late: bool) -> int:
    """Return the rank by which engines order a generation; 0 goes first.

    >>> from mustardquay.routing_tables import Repeat
    >>> late = Route("r", "h", "/", Repeat.STREAM, (), timedelta(1), timedelta(1), 2)
    >>> rank_generation(late, is_late=False), rank_generation(late, is_late=True)
    (2, 7)
    """
    rank = min(route.priority, LATE_RANK - 1)
    return LATE_RANK + rank if is_late else rank


def _is_full(placement: Placement) -> bool:
    is_long = placement.stream_seconds >= LONG_ANSWER
    return placement.occupancy >= (LONG_OCCUPANCY if is_long else FULL_OCCUPANCY)


def draw_retry_delay(
    placement: Placement | None, time_left: timedelta, random: Random
) -> timedelta:
    """Return when a refused caller should come back."""
    wait = timedelta()
    if placement is not None:
        wait = timedelta(seconds=placement.delay_seconds)
    earliest = max(EARLIEST_RETURN, wait / 2)
    return min(earliest + RETURN_SPREAD * random.random(), max(time_left / 3, wait))
