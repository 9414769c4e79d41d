"""Generation limits: which generations are refused, and after what delay to retry them.

Handles bursts that exceed the prefill capacity of the engines, where a long queue would
make all answers late. Prefill is queued in order only as long as its answer can still
be in time. Requests that are late anyway are processed with a lower priority while
engines have capacity left; all others are refused at once with a retry delay.
"""

from datetime import timedelta
from random import Random

from .placements import Placement
from .routing_tables import Route

__all__ = [
    "admits_generation",
    "admits_late",
    "admits_rate_limit_wait",
    "admits_take_up",
    "draw_retry_delay",
    "is_retry",
    "rank_generation",
]

TARGET_SHARE = 0.85
"""Fraction of a route's target available for rate limit waits and the first event; the
rest is for the prefill of an average prompt and the network to the caller."""
MIN_LIMIT_WAIT_SHARE = 0.3
"""Fraction of the target that a rate limit wait may always take, also where the first
event leaves less."""
CALLER_SHARE = 0.05
"""Fraction of the target for the network between the caller and this process, which is
not included in the times that it measures."""
LIGHT_PREFILL_SHARE = 0.06
"""Fraction of the target up to which a prefill is light: it delays others by less than
their usual variation."""
LIGHT_WAIT_SHARE = 0.1
"""Fraction of its time that a prompt with a light prefill may wait: decoding takes most
of the rest."""
FULL_OCCUPANCY = 1.6
"""Occupancy of an engine's slots up to which short answers are sent there. Requests
beyond its slots queue there, ahead of long answers of a lower rank; about 40 are
finished in 0.2 s."""
LONG_OCCUPANCY = 1.2
"""The same for long answers, which occupy slots for seconds. With few decode engines
left, short answers would queue for a slot until their deadline."""
LONG_ANSWER = 0.9
"""Seconds of its stream, at the maximum length, from which an answer is long: it
occupies its slot for longer than a caller waits for a short one."""
FIRST_ATTEMPT_SHARE = 0.95
"""Fraction of the route's timeout below which the time left indicates a retry, or a
caller with a shorter timeout than others. First attempts have all of it."""
LATE_RANK = 5
"""Rank from which generations queue whose answers can't be in time, in the order of
their routes' ranks; engines support 0 to 9."""
LATE_OCCUPANCY = 0.5
"""Occupancy of a prefill engine's slots up to which late prompts are sent there. Those
that hold a slot are processed after others, but keep the slot."""
LATE_DECODER_OCCUPANCY = 1.0
"""The same for a decode engine, which doesn't order its streams by rank."""
LATE_WAIT_SHARE = 0.5
"""Fraction of its time that a request which is late anyway may wait; the other half is
for prefill and decoding."""
MIN_RETRY_DELAY = timedelta(milliseconds=250)
"""Minimum retry delay: twice the time to process the queue that caused the refusal."""
RETRY_JITTER = timedelta(milliseconds=350)
"""Jitter of the retry delay, so that requests refused together aren't retried together.
Callers follow a delay of at most a third of the time that they have left."""


def admits_generation(
    route: Route, placement: Placement, time_left: timedelta, margin: timedelta
) -> bool:
    """Return whether the answer is expected in time.

    `margin` is the learned difference between expected and measured latency.

    The bound applies to the wait and not to the prefill: large prompts must not be
    refused more often than small ones. Light prefills may wait longer: refusing them
    would free almost no capacity, unless slots are scarce.
    """
    if _is_full(placement) or not admits_rate_limit_wait(route, placement):
        return False
    target = route.latency_target.total_seconds()
    reserved = (
        placement.usual_seconds + placement.first_seconds + margin.total_seconds()
    )
    bound = (1 - CALLER_SHARE) * target - reserved
    is_light = placement.prefill_seconds <= LIGHT_PREFILL_SHARE * target
    if is_light and not placement.slot_wait:
        bound = max(bound, LIGHT_WAIT_SHARE * time_left.total_seconds())
    return placement.delay_seconds <= bound


def admits_rate_limit_wait(route: Route, placement: Placement) -> bool:
    """Return whether rate limits allow a generation to be sent soon enough.

    The bound is the same for all requests: those with a longer one would reserve all of
    the capacity in advance, and no others would be served.
    """
    return placement.limit_wait_seconds <= _bound_limit_wait(route, placement)


def _bound_limit_wait(route: Route, placement: Placement) -> float:
    """Return the longest delay by rate limits, in seconds."""
    target = route.latency_target.total_seconds()
    return max(
        TARGET_SHARE * target - placement.first_seconds, MIN_LIMIT_WAIT_SHARE * target
    )


def admits_late(route: Route, placement: Placement, time_left: timedelta) -> bool:
    """Return whether an answer that can't be in time is expected before the deadline.

    Engines process such prompts after all others, so that they don't delay these.
    """
    if _is_full(placement) or not admits_rate_limit_wait(route, placement):
        return False
    if placement.reader_occupancy > LATE_OCCUPANCY:
        return False
    if placement.occupancy > LATE_DECODER_OCCUPANCY:
        return False
    return placement.wait_seconds <= LATE_WAIT_SHARE * time_left.total_seconds()


def admits_take_up(route: Route, placement: Placement, time_left: timedelta) -> bool:
    """Return whether a stream goes on that its caller has a part of.

    It waits for longer than new ones may: its first event has come, and few engines may
    be of its software version, so that new streams would displace it.
    """
    is_full = placement.occupancy >= FULL_OCCUPANCY
    if is_full or not admits_rate_limit_wait(route, placement):
        return False
    return placement.delay_seconds <= LATE_WAIT_SHARE * time_left.total_seconds()


def is_retry(route: Route, time_allowed: timedelta) -> bool:
    """Return whether a request was refused before, judging by the time that is left."""
    return time_allowed < FIRST_ATTEMPT_SHARE * route.timeout


def rank_generation(route: Route, is_late: bool) -> int:
    """Return the rank by which engines order a generation; 0 is processed first.

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
    """Return the time after which a refused request should be retried."""
    wait = timedelta()
    if placement is not None:
        wait = timedelta(seconds=placement.delay_seconds)
    earliest = max(MIN_RETRY_DELAY, wait / 2)
    return min(earliest + RETRY_JITTER * random.random(), max(time_left / 3, wait))
