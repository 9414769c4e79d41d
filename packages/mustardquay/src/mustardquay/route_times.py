"""Route times: the longest recent durations of requests, by route.

A gateway that is shutting down needs to estimate whether a request ends in time. The
route's timeout is an upper bound, but many times the usual duration.

Requests that still wait for their answer count by their age. Guards against a gateway
that has just started and has seen only fast answers: the slow requests haven't ended.
"""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["LongestTimes", "RouteTimes", "WaitingRequest"]

WINDOW = timedelta(seconds=20)
"""Answers of the current window and the previous one count: about a hundred on a route
in use, while answers from before a change of the upstreams' speed soon expire."""
MIN_SAMPLES = 50
"""Minimum answers for an estimate: after so many, the next one takes longer than all of
them once in fifty times, whatever the distribution of the times."""
HEADROOM = 2.0
"""Factor over the longest observed time: upstreams can be loaded by other gateways and
become slower."""


@dataclass(frozen=True, slots=True)
class LongestTimes:
    """The estimated maximum duration of a request of a route, with headroom."""

    first: timedelta
    """Time to the first part of the answer."""
    per_event: timedelta
    """Time for each event of a stream after that."""

    def predict_stream(self, max_events: int) -> timedelta:
        """Return the time to the end of a stream of at most `max_events` events."""
        return self.first + max_events * self.per_event


@dataclass(frozen=True, eq=False, slots=True)
class WaitingRequest:
    """A request of whose answer nothing has arrived yet."""

    route: str
    since: timedelta


@dataclass(slots=True)
class _Window:
    """The longest times of the answers of one window."""

    samples: int = 0
    first: timedelta = timedelta()
    per_event: timedelta = timedelta()

    def note(self, first: timedelta, rest: timedelta, events: int) -> None:
        self.samples += 1
        self.first = max(self.first, first)
        self.per_event = max(self.per_event, rest / max(events, 1))


@dataclass(slots=True)
class _RecentWindows:
    started_at: timedelta
    current: _Window = field(default_factory=_Window)
    previous: _Window = field(default_factory=_Window)

    def rotate(self, now: timedelta) -> None:
        """Start a new window if the current one has ended."""
        passed = (now - self.started_at) // WINDOW
        if passed == 0:
            return
        self.previous = self.current if passed == 1 else _Window()
        self.current = _Window()
        self.started_at += passed * WINDOW


@dataclass(slots=True)
class RouteTimes:
    """The longest recent times of all routes."""

    _routes: dict[str, _RecentWindows] = field(default_factory=dict)
    _waiting: dict[str, set[WaitingRequest]] = field(default_factory=dict)

    def begin(self, route: str, now: timedelta) -> WaitingRequest:
        """Record that a request waits for its answer."""
        waiting = WaitingRequest(route, now)
        self._waiting.setdefault(route, set()).add(waiting)
        return waiting

    def end(self, waiting: WaitingRequest) -> None:
        """Record that a request no longer waits; idempotent."""
        self._waiting[waiting.route].discard(waiting)

    def note(
        self,
        route: str,
        now: timedelta,
        first: timedelta,
        rest: timedelta = timedelta(),
        events: int = 0,
    ) -> None:
        """Record the times of an answer, which may be incomplete.

        Its first part arrived after `first` and its last part `rest` later, with
        `events` events of a stream.
        """
        recent = self._routes.setdefault(route, _RecentWindows(now))
        recent.rotate(now)
        recent.current.note(first, rest, events)

    def find_longest(self, route: str, now: timedelta) -> LongestTimes | None:
        """Return the longest times of a route; None if there are too few samples."""
        recent = self._routes.get(route)
        if recent is None:
            return None
        recent.rotate(now)
        windows = (recent.current, recent.previous)
        if sum(each.samples for each in windows) < MIN_SAMPLES:
            return None
        ages = [now - each.since for each in self._waiting.get(route, ())]
        return LongestTimes(
            HEADROOM * max(*(each.first for each in windows), *ages),
            HEADROOM * max(each.per_event for each in windows),
        )
