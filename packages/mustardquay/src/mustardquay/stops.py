"""Graceful stop: which requests a stopping gateway accepts, and when it exits.

Each state guards against a failure during planned stops:

- leaving: the load balancer keeps routing callers to the gateway for a while, and for
  the whole stop if too few other gateways are ready. Requests that can be answered
  completely in the remaining time are accepted; all others are refused, since a
  truncated answer is worse than none.
- draining (`last_calls`): other gateways are ready. No request is accepted, so that the
  process exits as soon as the running ones have ended; callers that still connect get a
  refusal rather than no response.
- closed: the time is over, or no request is running.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from .route_times import LongestTimes

__all__ = [
    "ANSWER_MARGIN",
    "BALANCER_REMOVAL_DELAY",
    "RequestEstimate",
    "StopContext",
    "StopState",
    "StopTimes",
    "admit_request",
    "find_state",
]

BALANCER_REMOVAL_DELAY = timedelta(seconds=2.6)
"""Time after which the load balancer routes no callers to a gateway that isn't ready:
it probes each second and removes a gateway after two failed probes."""
ANSWER_MARGIN = timedelta(milliseconds=200)
"""How long before the end of a stop the last answers must end, so that they arrive."""


class StopState(StrEnum):
    """Phase of a gateway's graceful stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "last_calls"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Begin and end of a stop, on the monotonic clock."""

    began_at: timedelta
    ends_at: timedelta

    @property
    def answer_by(self) -> timedelta:
        """Return the time by which the last answers must end."""
        return self.ends_at - ANSWER_MARGIN


@dataclass(frozen=True, slots=True)
class StopContext:
    """State of the other gateways as far as it affects a stopping gateway."""

    is_still_routed: bool = False
    """Whether the load balancer still routes callers to this gateway."""
    may_stop_early: bool = False
    """Whether this gateway may exit early although callers are still routed to it."""


NOT_ROUTED = StopContext()


def find_state(
    times: StopTimes | None,
    now: timedelta,
    in_flight: int,
    context: StopContext = NOT_ROUTED,
) -> StopState:
    """Return the state of a gateway with `in_flight` requests.

    >>> second = timedelta(seconds=1)
    >>> times = StopTimes(0 * second, 7 * second)
    >>> [find_state(times, at * second, 1).value for at in (1, 3, 7)]
    ['leaving', 'last_calls', 'closed']
    >>> find_state(times, 3 * second, 0).value
    'closed'
    >>> find_state(times, 3 * second, 0, StopContext(is_still_routed=True)).value
    'leaving'
    """
    if times is None:
        return StopState.SERVING
    if now >= times.ends_at:
        return StopState.CLOSED
    if now - times.began_at < BALANCER_REMOVAL_DELAY:
        return StopState.LEAVING
    if context.is_still_routed and (in_flight or not context.may_stop_early):
        return StopState.LEAVING
    return StopState.DRAINING if in_flight else StopState.CLOSED


@dataclass(frozen=True, slots=True)
class RequestEstimate:
    """Estimated duration of a request, and how it could be interrupted."""

    time_allowed: timedelta
    """Timeout of its caller and its route, after which it ends in any case."""
    longest: LongestTimes | None
    """Longest recent times of its route; None if not known."""
    max_events: int = 0
    """Maximum number of events of its stream."""
    is_stream: bool = False
    is_resumable: bool = False

    @property
    def expected(self) -> timedelta:
        """Return the estimated maximum duration."""
        if self.longest is None:
            return self.time_allowed
        expected = self.longest.predict_stream(self.max_events)
        return min(self.time_allowed, expected)


def admit_request(
    state: StopState, times: StopTimes, now: timedelta, estimate: RequestEstimate
) -> timedelta | None:
    """Return when the answer of a request must have begun; None if it is refused.

    Guards against requests that arrive late in a stop, on an open connection or on a
    new one: they would still run at its end, and their answers would be truncated.
    Each request is checked after it has been read, so that it doesn't matter on which
    connection it arrived.

    A request whose timeout is before the end of the stop is accepted. Other requests
    are accepted by an estimate. An answer that is passed on as a whole is estimated by
    the recent times of its route; if the estimate is too low, the caller gets an error
    instead. A stream can't be replaced by an error once it has begun. So it is accepted
    only in the first seconds, in which the load balancer still routes callers normally,
    if the time for its maximum number of events suffices and if its caller can resume
    it: a stream that takes longer continues at another gateway, with each event
    delivered once.
    """
    if state is not StopState.LEAVING:
        return None
    ends_at = now + estimate.time_allowed
    if ends_at <= times.answer_by:
        return ends_at
    if estimate.longest is None or now + estimate.expected > times.answer_by:
        return None
    is_early = now - times.began_at < BALANCER_REMOVAL_DELAY
    if estimate.is_stream and not (is_early and estimate.is_resumable):
        return None
    return times.answer_by
