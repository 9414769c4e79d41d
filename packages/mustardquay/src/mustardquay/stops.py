"""Stops: what a gateway that was told to end still takes, and when it ends.

Each state guards against a failure of planned stops:

- leaving: the balancer goes on sending callers for a while, and for the whole stop
  where too few other gateways are ready. What gets its whole answer in the time that is
  left is taken; anything else is refused, since an answer that is cut off is worse than
  none.
- last calls: others are ready. Nothing is taken any more, so that the process ends as
  soon as what runs has ended; callers that come all the same are told so and not left
  without a word.
- closed: the time is over, or nothing runs.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from .route_times import LongestTimes

__all__ = [
    "ANSWER_MARGIN",
    "BALANCER_NOTICE",
    "Demand",
    "StopPlace",
    "StopState",
    "StopTimes",
    "admit_request",
    "find_state",
]

BALANCER_NOTICE = timedelta(seconds=2.6)
"""Time after which the balancer sends nobody to a gateway that isn't ready: it asks
each second and takes a gateway out after two answers."""
ANSWER_MARGIN = timedelta(milliseconds=200)
"""How long before the end of a stop the last answers are due, so that they arrive."""


class StopState(StrEnum):
    """How far a gateway is on its way to its end."""

    SERVING = "serving"
    LEAVING = "leaving"
    LAST_CALLS = "last_calls"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class StopTimes:
    """When a stop began and ends, on the monotonic clock."""

    began_at: timedelta
    ends_at: timedelta

    @property
    def answer_by(self) -> timedelta:
        """Return when the last answers are due."""
        return self.ends_at - ANSWER_MARGIN


@dataclass(frozen=True, slots=True)
class StopPlace:
    """What a gateway is to its fleet while it stops."""

    is_still_routed: bool = False
    """Whether the balancer sends callers all the same."""
    is_next: bool = False
    """Whether it is its turn to end early though it is needed."""


NOT_NEEDED = StopPlace()


def find_state(
    times: StopTimes | None,
    now: timedelta,
    in_flight: int,
    place: StopPlace = NOT_NEEDED,
) -> StopState:
    """Return the state of a gateway with `in_flight` requests.

    >>> second = timedelta(seconds=1)
    >>> times = StopTimes(0 * second, 7 * second)
    >>> [find_state(times, at * second, 1).value for at in (1, 3, 7)]
    ['leaving', 'last_calls', 'closed']
    >>> find_state(times, 3 * second, 0).value
    'closed'
    >>> find_state(times, 3 * second, 0, StopPlace(is_still_routed=True)).value
    'leaving'
    """
    if times is None:
        return StopState.SERVING
    if now >= times.ends_at:
        return StopState.CLOSED
    if now - times.began_at < BALANCER_NOTICE:
        return StopState.LEAVING
    if place.is_still_routed and (in_flight or not place.is_next):
        return StopState.LEAVING
    return StopState.LAST_CALLS if in_flight else StopState.CLOSED


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of a gateway that stops."""

    time_allowed: timedelta
    """What its caller and its route leave it; it ends then in any case."""
    longest: LongestTimes | None
    """What requests of its route have lately taken; None if that isn't known."""
    most_events: int = 0
    """Events of its stream at most."""
    is_stream: bool = False
    is_resumable: bool = False

    @property
    def expected(self) -> timedelta:
        """Return the time that it is held to need."""
        if self.longest is None:
            return self.time_allowed
        expected = self.longest.expect_stream(self.most_events)
        return min(self.time_allowed, expected)


def admit_request(
    state: StopState, times: StopTimes, now: timedelta, demand: Demand
) -> timedelta | None:
    """Return when the answer of a request must have begun; None if it is refused.

    Guards against a request that comes late in a stop, be it on an open connection or
    on a new one: it would still run at the end, and be cut off in its answer. What
    decides is asked of each request when it has been read, so that it doesn't matter
    how it came.

    A request whose own limit is over in time is taken. Of the others, an answer that
    is passed on whole is held to what its route has lately taken; should that prove
    wrong, its caller gets a word in its place. A stream that has begun can't be taken
    back. So it is taken only in the first seconds, in which the balancer sends callers
    as on any day, by the events that it may have, and if its caller can resume it:
    should it last longer, it goes on at another gateway with each event once.
    """
    if state is not StopState.LEAVING:
        return None
    ends_at = now + demand.time_allowed
    if ends_at <= times.answer_by:
        return ends_at
    if demand.longest is None or now + demand.expected > times.answer_by:
        return None
    is_early = now - times.began_at < BALANCER_NOTICE
    if demand.is_stream and not (is_early and demand.is_resumable):
        return None
    return times.answer_by
