"""Route times: the longest that requests have lately taken, by their route.

A gateway that stops asks whether a request ends in time. The route's timeout answers
that too, but it is many times what requests usually take.

Those that still wait for their answer count by their age. Guards against a gateway that
has just started and knows only its quick answers: the slow ones haven't ended yet.
"""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["LongestTimes", "RouteTimes", "WaitingRequest"]

WINDOW = timedelta(seconds=20)
"""Answers of the present window and the one before it count: some hundred on a route
that is in use, and none from before a change of what upstreams can do for long."""
MIN_SAMPLES = 50
"""Answers below which nothing is known: of so many, the next one takes longer than all
of them once in fifty times, whatever their times are like."""
HEADROOM = 2.0
"""Times the longest that was seen: upstreams that others load take longer soon."""


@dataclass(frozen=True, slots=True)
class LongestTimes:
    """What a request of a route takes at the longest, with headroom."""

    first: timedelta
    """To the first part of its answer."""
    per_event: timedelta
    """From there to its end, for each event of a stream."""

    def predict_stream(self, max_events: int) -> timedelta:
        """Return the time to the end of a stream of at most so many events."""
        return self.first + max_events * self.per_event


@dataclass(frozen=True, eq=False, slots=True)
class WaitingRequest:
    """A request of which no part of the answer has come."""

    route: str
    since: timedelta


@dataclass(slots=True)
class _Window:
    """The longest of the answers of one window."""

    samples: int = 0
    first: timedelta = timedelta()
    per_event: timedelta = timedelta()

    def note(self, first: timedelta, rest: timedelta, events: int) -> None:
        self.samples += 1
        self.first = max(self.first, first)
        self.per_event = max(self.per_event, rest / max(events, 1))


@dataclass(slots=True)
class _Recent:
    began_at: timedelta
    present: _Window = field(default_factory=_Window)
    before: _Window = field(default_factory=_Window)

    def turn(self, now: timedelta) -> None:
        """Begin a new window when the present one is over."""
        passed = (now - self.began_at) // WINDOW
        if passed == 0:
            return
        self.before = self.present if passed == 1 else _Window()
        self.present = _Window()
        self.began_at += passed * WINDOW


@dataclass(slots=True)
class RouteTimes:
    """The longest times of all routes."""

    _routes: dict[str, _Recent] = field(default_factory=dict)
    _waiting: dict[str, set[WaitingRequest]] = field(default_factory=dict)

    def begin(self, route: str, now: timedelta) -> WaitingRequest:
        """Note that a request waits for its answer."""
        waiting = WaitingRequest(route, now)
        self._waiting.setdefault(route, set()).add(waiting)
        return waiting

    def end(self, waiting: WaitingRequest) -> None:
        """Note that a request waits no longer; may be called twice."""
        self._waiting[waiting.route].discard(waiting)

    def note(
        self,
        route: str,
        now: timedelta,
        first: timedelta,
        rest: timedelta = timedelta(),
        events: int = 0,
    ) -> None:
        """Take in an answer, or what there was of one that did not come to its end.

        Its first part came after `first`, its last one `rest` later, with as many
        `events` of a stream.
        """
        recent = self._routes.setdefault(route, _Recent(now))
        recent.turn(now)
        recent.present.note(first, rest, events)

    def find_longest(self, route: str, now: timedelta) -> LongestTimes | None:
        """Return what requests take at the longest; None if too few were seen."""
        recent = self._routes.get(route)
        if recent is None:
            return None
        recent.turn(now)
        windows = (recent.present, recent.before)
        if sum(each.samples for each in windows) < MIN_SAMPLES:
            return None
        ages = [now - each.since for each in self._waiting.get(route, ())]
        return LongestTimes(
            HEADROOM * max(*(each.first for each in windows), *ages),
            HEADROOM * max(each.per_event for each in windows),
        )
